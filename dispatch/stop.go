package dispatch

import (
	"time"

	"coltsfootlink"
)

const (
	// durationWeight is the weight of the newest request in the mean time that answers take.
	durationWeight = 0.05
	// durationMargin is the factor by which a request may take longer than the mean of its pool.
	durationMargin = 1.5
	// otherInstanceDelay is the delay after which a caller that an instance refuses because it stops may try another one.
	otherInstanceDelay = 50 * time.Millisecond
)

// durations are the mean times that answers take after their first event, in milliseconds for each output token, by pool.
// Answers without tokens count as one.
type durations map[coltsfootlink.PoolName]float64

// outputTokens returns the number of output tokens that a request counts for.
func outputTokens(work coltsfootlink.Work) float64 { return float64(max(1, work.OutputTokens)) }

// record adds a request that has ended.
func (durations durations) record(request running, millis int) {
	sample := float64(max(0, millis-request.firstEventMillis)) / outputTokens(request.want.Work)
	mean, known := durations[request.want.Pool]
	if !known {
		mean = sample
	}
	durations[request.want.Pool] = mean + durationWeight*(sample-mean)
}

// endOf returns when the answer to a request that is sent now is expected to have ended, at its deadline at the latest. Its first
// event is expected at its objective, or at once if that has passed.
func (durations durations) endOf(now time.Time, want Want) time.Time {
	firstEvent := want.Objective
	if firstEvent.Before(now) {
		firstEvent = now
	}
	generating := durationMargin * durations[want.Pool] * outputTokens(want.Work)
	end := firstEvent.Add(time.Duration(generating * float64(time.Millisecond)))
	if !want.Deadline.IsZero() && want.Deadline.Before(end) {
		return want.Deadline
	}
	return end
}

// refuseUnfinishable refuses a request whose answer is not expected to end before the instance does, or the one that forwards the
// caller's connection; nil if it may go on.
func (task *Task) refuseUnfinishable(want Want) *coltsfootlink.Refusal {
	expectedEnd := task.durations.endOf(task.Clock.Now(), want)
	if endsInTime(expectedEnd, task.endsAt) && endsInTime(expectedEnd, want.ForwarderEndsAt) {
		return nil
	}
	retryAt := task.Clock.Now().Add(otherInstanceDelay)
	return coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops before the answer is expected to end").WithRetryAt(retryAt)
}

// endsInTime reports whether an answer is expected to end before an instance does; endsAt is zero if the instance does not shut
// down.
func endsInTime(expectedEnd, endsAt time.Time) bool {
	return endsAt.IsZero() || expectedEnd.Before(endsAt)
}
