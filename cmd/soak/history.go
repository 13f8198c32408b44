package main

import (
	"slices"
	"time"

	"coltsfootlink/standin"
)

// attempt is one request of a caller and its result.
type attempt struct {
	id, call, route, team, key string
	// instance is the index of the instance that received the request.
	instance    int
	repeatable  bool
	sent, ended time.Time
	// firstByte is when the first byte of the answer's body arrived; zero if none did.
	firstByte time.Time
	// status is the HTTP status; zero if no answer began.
	status int
	// complete indicates that the answer ended as its framing (Content-Length or chunks) announced.
	complete bool
	// stamp is the signature of the target that answered; empty if there was none.
	stamp string
	// defect describes what is wrong with the bytes of the answer; empty if nothing is.
	defect string
	// abandoned indicates that the caller was set to give up early, before its usual timeout.
	abandoned bool
	// crashing indicates that the prompt crashes targets.
	crashing bool
}

// served reports whether the caller got a complete answer with status 200.
func (attempt attempt) served() bool { return attempt.status == okStatus && attempt.complete }

// call is an operation of a caller with all of its attempts.
type call struct {
	name, route, team string
	began, ended      time.Time
	served            bool
	// lastStatus is the status of the last attempt.
	lastStatus int
	// abandoned indicates that the caller was set to give up early, before its usual timeout.
	abandoned bool
}

// arrival is a request that has reached a target.
type arrival struct {
	id, target, zone, version string
	// index is the index of the replica to which the target belongs.
	index int
	at    time.Time
	// ran indicates that the target began to execute the request; stamp is then the signature of its answer.
	ran   bool
	stamp string
	// misdirected indicates that the target rejected the request because it was meant for another target.
	misdirected bool
	// leaving indicates that the target announced in its answer that it is shutting down, and backoff for how long it asked
	// for no requests.
	leaving bool
	backoff time.Duration
	// crashing indicates that the request crashed the target.
	crashing bool
	// cold indicates that the target was in its cold start.
	cold bool
	// repeatable indicates that the request may be executed more than once.
	repeatable bool
	// alteration describes how the request differs from what its caller sent; empty if it does not.
	alteration string
}

// order is a change by operators or targets that the store has acknowledged.
type order struct {
	kind  orderKind
	name  string
	acked time.Time
	// ends is when the order was withdrawn; zero while it is in force.
	ends time.Time
}

// orderKind is a kind of order.
type orderKind string

// The kinds of orders: an API key or a route was added, a key was revoked, a target drains, a zone is out of service,
// a version move to a bad version was started.
const (
	keyAdded   orderKind = "key-added"
	keyGone    orderKind = "key-gone"
	routeAdded orderKind = "route-added"
	drained    orderKind = "drained"
	zoneOut    orderKind = "zone-out"
	badMove    orderKind = "bad-move"
)

// disruption is a fault with the times at which it was observed.
type disruption struct {
	step step
	// from and to are when it began and ended; to is zero while it lasts.
	from, to time.Time
}

// history is everything that was observed in a run, in the order in which it was recorded.
type history struct {
	attempts    []attempt
	calls       []call
	arrivals    []arrival
	orders      []order
	disruptions []disruption
	// dutyCalls are the calls that the platform's control address has accepted, and those that it has answered.
	dutyCalls []standin.DutyCall
	// controlRepairs are when the instances' links to the control address were repaired.
	controlRepairs []controlRepaired
	// exits describe instances that exited unexpectedly and targets that could not start.
	exits []string
	// faultsOverAt is when all faults of the plan had ended and all instances were ready; zero before.
	faultsOverAt time.Time
	// verificationOverAt is the end of the period in which calls are checked for being served; callers go on until the
	// context ends. Zero before.
	verificationOverAt time.Time
}

// WithAttempt returns the history with an attempt added; the other methods do the same for what they name.
func (seen history) WithAttempt(added attempt) history {
	seen.attempts = append(seen.attempts, added)
	return seen
}

func (seen history) WithCall(added call) history {
	seen.calls = append(seen.calls, added)
	return seen
}

func (seen history) WithArrival(added arrival) history {
	seen.arrivals = append(seen.arrivals, added)
	return seen
}

func (seen history) WithDutyCall(added standin.DutyCall) history {
	seen.dutyCalls = append(seen.dutyCalls, added)
	return seen
}

func (seen history) WithControlRepaired(added controlRepaired) history {
	seen.controlRepairs = append(seen.controlRepairs, added)
	return seen
}

// WithOrder returns the history with an order added. An earlier order of the same kind and name ends when the new one
// was acknowledged. An order with an end only ends the earlier one.
func (seen history) WithOrder(given order) history {
	seen.orders = slices.Clone(seen.orders)
	for index, earlier := range seen.orders {
		if earlier.kind == given.kind && earlier.name == given.name && earlier.ends.IsZero() {
			seen.orders[index].ends = given.acked
		}
	}
	if given.ends.IsZero() {
		seen.orders = append(seen.orders, given)
	}
	return seen
}

// WithDisruption returns the history with the end of the disruption in progress for the same step, or with a new
// disruption if there is none.
func (seen history) WithDisruption(reported disruption) history {
	seen.disruptions = slices.Clone(seen.disruptions)
	for index, earlier := range seen.disruptions {
		if earlier.step == reported.step && earlier.to.IsZero() {
			seen.disruptions[index].to = reported.to
			return seen
		}
	}
	seen.disruptions = append(seen.disruptions, reported)
	return seen
}

func (seen history) WithExit(description string) history {
	seen.exits = append(seen.exits, description)
	return seen
}

func (seen history) WithFaultsOver(at time.Time) history {
	seen.faultsOverAt = at
	return seen
}

func (seen history) WithVerificationOver(at time.Time) history {
	seen.verificationOverAt = at
	return seen
}

// disrupted reports whether a matching fault lasted at any time between from and to, or ended less than contactTimeout
// before from.
func (seen history) disrupted(from, to time.Time, matches func(step) bool) bool {
	from = from.Add(-contactTimeout)
	return slices.ContainsFunc(seen.disruptions, func(disruption disruption) bool {
		return disruption.from.Before(to) && (disruption.to.IsZero() || disruption.to.After(from)) && matches(disruption.step)
	})
}

// instanceHealthy reports whether no fault disrupted an instance, its connections, the store or the soak itself in an
// interval and the contactTimeout before it.
func (seen history) instanceHealthy(instance int, from, to time.Time) bool {
	return !seen.disrupted(from, to, func(step step) bool {
		return step.Subject == onInstance && step.Index == instance || step.Subject == onStore || step.Kind == stallKind
	})
}

// targetHealthy reports whether no fault disrupted a target or its connections in an interval and the contactTimeout
// before it.
func (seen history) targetHealthy(target int, from, to time.Time) bool {
	return !seen.disrupted(from, to, func(step step) bool { return step.Subject == onTarget && step.Index == target })
}

// byID returns the attempts by request identifier.
func (seen history) byID() map[string]attempt {
	found := make(map[string]attempt, len(seen.attempts))
	for _, attempt := range seen.attempts {
		found[attempt.id] = attempt
	}
	return found
}
