package duty

import (
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// minRetryDelay and maxRetryDelay are the delays before the first and the later repeats of a call that was not confirmed.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// jitter is the fraction by which a delay is lengthened at random, so that calls that failed together are not repeated
	// together.
	jitter = 0.25
	// maxRejections is the number of attempts after which a usage report that the platform refuses is given up.
	maxRejections = 10
	// maxCallsInProgress limits the calls in progress at a time, so that a platform that does not answer holds few connections.
	maxCallsInProgress = 32
)

// Subject is what a call is about. The platform compares the fencing tokens of calls with the same subject.
type Subject struct {
	// Window is the index of a usage window, if Pool is empty.
	Window uint64
	Pool   coltsfootlink.PoolName
	Zone   coltsfootlink.ZoneName
}

// Call is one call to the platform that has to be made until it is confirmed.
type Call struct {
	Subject
	// Teams are the recorded counts of a usage window.
	Teams []coltsfootlink.TeamCount
	// Count is the ordered number of targets.
	Count int
	// Attempts is the number of times that the call was made.
	Attempts int
	// Confirmed indicates that the platform has answered with success.
	Confirmed bool

	// inProgress indicates that the call is being made, with sentCount as the number of targets.
	inProgress bool
	sentCount  int
	// dueAt is when the call is made next.
	dueAt time.Time
	delay time.Duration
}

// Calls are the calls of the holder that have to be made and those that were confirmed. It is immutable. It answers a platform
// that is slow, throttles calls or loses answers: each call is repeated by itself until it is confirmed, and none waits for
// another one.
type Calls struct {
	calls []Call
}

// WithWindow returns the calls with the report of a recorded usage window. A window that is there already stays as it is.
func (calls Calls) WithWindow(now time.Time, window coltsfootlink.UsageWindow) Calls {
	subject := Subject{Window: window.Index}
	if calls.index(subject) >= 0 {
		return calls
	}
	return calls.with(Call{Subject: subject, Teams: window.Teams, dueAt: now})
}

// WithOrder returns the calls with an order of targets, which replaces the one for the same pool and zone. It is made once a
// call in progress for these has ended, so that the platform cannot get the two in another order.
func (calls Calls) WithOrder(now time.Time, pool coltsfootlink.PoolName, zone coltsfootlink.ZoneName, count int) Calls {
	order := Call{Subject: Subject{Pool: pool, Zone: zone}, Count: count, dueAt: now}
	if index := calls.index(order.Subject); index >= 0 {
		order.inProgress, order.sentCount = calls.calls[index].inProgress, calls.calls[index].sentCount
	}
	return calls.with(order)
}

// WithoutBefore returns the calls without the reports of windows before an index.
func (calls Calls) WithoutBefore(window uint64) Calls {
	calls.calls = slices.DeleteFunc(slices.Clone(calls.calls), func(call Call) bool {
		return call.Pool == "" && call.Window < window && !call.inProgress
	})
	return calls
}

// Due returns the call that has been due for longest; false if none is due.
func (calls Calls) Due(now time.Time) (Call, bool) {
	due, inProgress := -1, 0
	for index, call := range calls.calls {
		switch {
		case call.inProgress:
			inProgress++
		case !call.Confirmed && !now.Before(call.dueAt) && (due < 0 || call.dueAt.Before(calls.calls[due].dueAt)):
			due = index
		}
	}
	if due < 0 || inProgress >= maxCallsInProgress {
		return Call{}, false
	}
	return calls.calls[due], true
}

// WithBegun returns the calls after one was begun.
func (calls Calls) WithBegun(subject Subject) Calls {
	return calls.update(subject, func(call Call) Call {
		call.inProgress, call.sentCount = true, call.Count
		call.Attempts++
		return call
	})
}

// WithConfirmed returns the calls after one was confirmed. An order that has been replaced meanwhile is still to be made.
func (calls Calls) WithConfirmed(subject Subject) Calls {
	return calls.update(subject, func(call Call) Call {
		call.inProgress, call.Confirmed = false, call.sentCount == call.Count
		call.Teams = nil
		return call
	})
}

// WithFailure returns the calls after one was not confirmed. It is repeated after a delay that doubles each time; random is a
// number from 0 to 1 that lengthens the delay.
func (calls Calls) WithFailure(now time.Time, subject Subject, random float64) Calls {
	return calls.update(subject, func(call Call) Call {
		call.inProgress = false
		call.delay = min(maxRetryDelay, max(minRetryDelay, 2*call.delay))
		call.dueAt = now.Add(time.Duration(float64(call.delay) * (1 + jitter*random)))
		return call
	})
}

// FirstUnconfirmed returns the first usage window whose report is not confirmed, or the given one if all are.
func (calls Calls) FirstUnconfirmed(next uint64) uint64 {
	for _, call := range calls.calls {
		if call.Pool == "" && !call.Confirmed {
			next = min(next, call.Window)
		}
	}
	return next
}

// Orders returns the newest order of each pool and zone.
func (calls Calls) Orders() []Call {
	return slices.DeleteFunc(slices.Clone(calls.calls), func(call Call) bool { return call.Pool == "" })
}

func (calls Calls) index(subject Subject) int {
	return slices.IndexFunc(calls.calls, func(call Call) bool { return call.Subject == subject })
}

// with returns the calls with one that is added or replaced.
func (calls Calls) with(call Call) Calls {
	calls.calls = slices.Clone(calls.calls)
	if index := calls.index(call.Subject); index >= 0 {
		calls.calls[index] = call
		return calls
	}
	calls.calls = append(calls.calls, call)
	return calls
}

func (calls Calls) update(subject Subject, change func(Call) Call) Calls {
	index := calls.index(subject)
	if index < 0 {
		return calls
	}
	return calls.with(change(calls.calls[index]))
}
