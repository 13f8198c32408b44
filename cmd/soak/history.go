package main

import (
	"slices"
	"time"
)

// attempt is one request of a caller and how it ended.
type attempt struct {
	id, call, route, team, key string
	// instance is the place of the instance that was asked.
	instance    int
	repeatable  bool
	sent, ended time.Time
	// first is when the first byte of the answer's body came; zero if none came.
	first time.Time
	// status is zero if no answer began.
	status int
	// complete says that the answer ended as though whole.
	complete bool
	// stamp is the signature of the target; empty if there was none.
	stamp string
	// fault says what is wrong with the bytes of the answer; empty if nothing is.
	fault string
	// left says that the caller gave the request up.
	left bool
}

// served says that the caller got what it asked for.
func (tried attempt) served() bool { return tried.status == okStatus && tried.complete }

// call is what a caller wants, over all of its attempts.
type call struct {
	name, route, team string
	began, ended      time.Time
	served            bool
	// last is the status of the last attempt.
	last int
	// left says that the caller gave up before an answer came.
	left bool
}

// arrival is a request that has reached a target.
type arrival struct {
	id, target, zone, version string
	// index is the place of the target.
	index int
	at    time.Time
	// ran says that the target has begun to run it, and stamp is the signature of its answer.
	ran   bool
	stamp string
	// misdirected says that the target answered that the request is for another one.
	misdirected bool
	// cold says that the target was cold.
	cold bool
	// repeatable says that the request may run again.
	repeatable bool
	// fault says in what the request differs from what its caller sent; empty if in nothing.
	fault string
}

// order is something that the store has acknowledged to operators or targets.
type order struct {
	kind  orderKind
	name  string
	acked time.Time
	// ends is when it was taken back; zero if it holds still.
	ends time.Time
}

// orderKind is a kind of order.
type orderKind string

// The kinds of orders: a key or a route is there from its ack on, or gone; a target drains, a zone is out.
const (
	keyAdded   orderKind = "key-added"
	keyGone    orderKind = "key-gone"
	routeAdded orderKind = "route-added"
	drained    orderKind = "drained"
	zoneOut    orderKind = "zone-out"
	badMove    orderKind = "bad-move"
)

// disruption is a fault while it lasts.
type disruption struct {
	step step
	// from and to are when it began and ended; it lasts still if to is zero.
	from, to time.Time
}

// history is all that was seen of a run.
type history struct {
	attempts    []attempt
	calls       []call
	arrivals    []arrival
	orders      []order
	disruptions []disruption
	// endings are the instances that ended by themselves.
	endings []string
	// calmFrom is when all faults were over; zero before.
	calmFrom time.Time
	// closed is when callers stopped; zero before.
	closed time.Time
}

// WithAttempt returns the history with another attempt; the other methods do the same for what they name.
func (seen history) WithAttempt(tried attempt) history {
	seen.attempts = append(seen.attempts, tried)
	return seen
}

func (seen history) WithCall(ended call) history {
	seen.calls = append(seen.calls, ended)
	return seen
}

func (seen history) WithArrival(arrived arrival) history {
	seen.arrivals = append(seen.arrivals, arrived)
	return seen
}

// WithOrder returns the history with an order; one of the same kind and name ends with it.
func (seen history) WithOrder(given order) history {
	seen.orders = slices.Clone(seen.orders)
	for place, held := range seen.orders {
		if held.kind == given.kind && held.name == given.name && held.ends.IsZero() {
			seen.orders[place].ends = given.acked
		}
	}
	if given.ends.IsZero() {
		seen.orders = append(seen.orders, given)
	}
	return seen
}

// WithDisruption returns the history with a fault that begins, or ends if it has an end.
func (seen history) WithDisruption(begun disruption) history {
	seen.disruptions = slices.Clone(seen.disruptions)
	for place, held := range seen.disruptions {
		if held.step == begun.step && held.to.IsZero() {
			seen.disruptions[place].to = begun.to
			return seen
		}
	}
	seen.disruptions = append(seen.disruptions, begun)
	return seen
}

func (seen history) WithEnding(instance string) history {
	seen.endings = append(seen.endings, instance)
	return seen
}

func (seen history) WithCalm(from time.Time) history {
	seen.calmFrom = from
	return seen
}

func (seen history) WithClosed(at time.Time) history {
	seen.closed = at
	return seen
}

// disrupted says whether a fault that a condition holds for fell into a span or into the contact limit before it.
func (seen history) disrupted(from, to time.Time, holds func(step) bool) bool {
	from = from.Add(-contactLimit)
	return slices.ContainsFunc(seen.disruptions, func(held disruption) bool {
		return held.from.Before(to) && (held.to.IsZero() || held.to.After(from)) && holds(held.step)
	})
}

// inTouch says that an instance, its links and the store were sound all the while and long enough before.
func (seen history) inTouch(instance int, from, to time.Time) bool {
	return !seen.disrupted(from, to, func(step step) bool {
		return step.Subject == onInstance && step.Index == instance || step.Subject == onStore || step.Kind == stallKind
	})
}

// targetSound says that a target and its link were sound.
func (seen history) targetSound(target int, from, to time.Time) bool {
	return !seen.disrupted(from, to, func(step step) bool { return step.Subject == onTarget && step.Index == target })
}

// byID returns the attempts by their identifiers.
func (seen history) byID() map[string]attempt {
	found := make(map[string]attempt, len(seen.attempts))
	for _, tried := range seen.attempts {
		found[tried.id] = tried
	}
	return found
}
