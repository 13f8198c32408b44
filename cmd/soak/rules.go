package main

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"
)

// Bounds of the sites.
const (
	contactLimit    = 4 * time.Second
	drainLimit      = 3 * time.Second
	tableLimit      = 3 * time.Second
	zoneLimit       = 5 * time.Second
	recoveryLimit   = 15 * time.Second
	lossSlack       = 200 * time.Millisecond
	stopLimit       = 8 * time.Second
	coldOverage     = 1.5
	coldSlack       = 5
	retryShare      = 0.2
	retrySlack      = 50
	retryWindow     = 10 * time.Second
	exposureShare   = 0.1
	exposureSlack   = 50
	goneLimit       = 500 * time.Millisecond
	goneSlack       = 3
	deniedSlack     = 5
	deniedEach      = 500
	fairWindow      = 6
	fairSlack       = 3
	fairDivisor     = 2
	answerBodyLimit = 1 << 20
)

const okStatus = http.StatusOK

// breach is a promise that was broken.
type breach struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// rules returns the promises by name; each tells what has broken it.
func rules() map[string]func(history) []string {
	return map[string]func(history) []string{
		"whole":    wholeAnswers,
		"unasked":  requestsAsSent,
		"once":     runsOnce,
		"refused":  refusalsHold,
		"revoked":  revokedKeys,
		"denied":   denials,
		"routes":   newRoutes,
		"drain":    drainedTargets,
		"zones":    emptyZones,
		"cold":     coldTargets,
		"budget":   retryBudget,
		"exposure": exposures,
		"fair":     fairShares,
		"gone":     abandoned,
		"lost":     plannedLosses,
		"recover":  recoveries,
		"running":  func(seen history) []string { return seen.endings },
	}
}

// wholeAnswers: what looks complete is the whole answer of the target that signed it, and of no other request.
func wholeAnswers(seen history) []string {
	stamps := make(map[string]string)
	for _, arrived := range seen.arrivals {
		stamps[arrived.stamp] = arrived.id
	}
	var found []string
	for _, tried := range seen.attempts {
		owner, issued := stamps[tried.stamp]
		switch {
		case tried.fault != "":
			found = append(found, tried.id+": "+tried.fault)
		case tried.stamp != "" && (!issued || owner != tried.id):
			found = append(found, fmt.Sprintf("%s: stamp %q is of request %q", tried.id, tried.stamp, owner))
		case tried.stamp == "" && tried.status >= 200 && tried.status < 300:
			found = append(found, fmt.Sprintf("%s: status %d without a stamp", tried.id, tried.status))
		}
	}
	return found
}

// requestsAsSent: targets get requests as callers have sent them.
func requestsAsSent(seen history) []string {
	var found []string
	for _, arrived := range seen.arrivals {
		if arrived.fault != "" {
			found = append(found, arrived.id+" at "+arrived.target+": "+arrived.fault)
		}
	}
	return found
}

// runsOnce: what may not run again runs once at most.
func runsOnce(seen history) []string {
	first := make(map[string]arrival)
	var found []string
	for _, arrived := range seen.arrivals {
		if !arrived.ran || arrived.repeatable {
			continue
		}
		if before, again := first[arrived.id]; again {
			found = append(found, fmt.Sprintf("%s ran at %s and, %v later, at %s", arrived.id, before.target, arrived.at.Sub(before.at), arrived.target))
			continue
		}
		first[arrived.id] = arrived
	}
	return found
}

// promises says that a status promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refusalsHold: a request that may not run again and was refused has not run, and does not run later.
func refusalsHold(seen history) []string {
	tried := seen.byID()
	var found []string
	for _, arrived := range seen.arrivals {
		if known := tried[arrived.id]; arrived.ran && !arrived.repeatable && promises(known.status) {
			found = append(found, fmt.Sprintf("%s was answered %d and ran at %s", arrived.id, known.status, arrived.target))
		}
	}
	return found
}

// revokedKeys: a key that is gone opens nothing once the change has to be in force.
func revokedKeys(seen history) []string {
	var found []string
	for _, gone := range seen.orders {
		if gone.kind != keyGone {
			continue
		}
		for _, tried := range seen.attempts {
			if tried.key != gone.name || !tried.sent.After(gone.acked.Add(tableLimit)) || !seen.inTouch(tried.instance, gone.acked, tried.sent) {
				continue
			}
			if tried.status != 0 && tried.status != http.StatusUnauthorized && !promises(tried.status) {
				found = append(found, fmt.Sprintf("%s: status %d, %v after its key went", tried.id, tried.status, tried.sent.Sub(gone.acked)))
			}
		}
	}
	return found
}

// denials: what every table allows is not denied, but for a few.
func denials(seen history) []string {
	var found []string
	for _, tried := range seen.attempts {
		denied := tried.status >= 300 && tried.status < 500 && !promises(tried.status) && tried.stamp == ""
		if denied && seen.always(tried) {
			found = append(found, fmt.Sprintf("%s: status %d", tried.id, tried.status))
		}
	}
	if len(found) <= deniedSlack+len(seen.attempts)/deniedEach {
		return nil
	}
	return found
}

// always says that every table allows a request: its route and its key were never added or taken away.
func (seen history) always(tried attempt) bool {
	return !slices.ContainsFunc(seen.orders, func(given order) bool { return given.name == tried.key || given.name == tried.route })
}

// newRoutes: a route that was added is there, and so is a key, once the change has to be in force.
func newRoutes(seen history) []string {
	var found []string
	for _, given := range seen.orders {
		if given.kind != routeAdded && given.kind != keyAdded {
			continue
		}
		for _, tried := range seen.attempts {
			late := tried.sent.After(given.acked.Add(tableLimit)) && (given.ends.IsZero() || tried.ended.Before(given.ends))
			missing := given.kind == routeAdded && tried.route == given.name && tried.status == http.StatusNotFound ||
				given.kind == keyAdded && tried.key == given.name && tried.status == http.StatusUnauthorized
			if late && missing && seen.inTouch(tried.instance, given.acked, tried.sent) {
				found = append(found, fmt.Sprintf("%s: status %d, %v after %s", tried.id, tried.status, tried.sent.Sub(given.acked), given.name))
			}
		}
	}
	return found
}

// after returns the requests that came to targets later than a limit after an order, from instances in touch.
func (seen history) after(given order, limit time.Duration, holds func(arrival) bool) []string {
	tried := seen.byID()
	var found []string
	for _, arrived := range seen.arrivals {
		late := arrived.at.Sub(given.acked) > limit && (given.ends.IsZero() || arrived.at.Before(given.ends))
		if !late || arrived.misdirected || !holds(arrived) {
			continue
		}
		known, ended := tried[arrived.id]
		if ended && seen.inTouch(known.instance, given.acked, arrived.at) && seen.targetSound(arrived.index, arrived.at, arrived.at) {
			found = append(found, fmt.Sprintf("%s came to %s %v after %s %s", arrived.id, arrived.target, arrived.at.Sub(given.acked), given.kind, given.name))
		}
	}
	return found
}

// drainedTargets: a target that drains gets nothing after its time.
func drainedTargets(seen history) []string {
	var found []string
	for _, given := range seen.orders {
		if given.kind != drained {
			continue
		}
		tried := seen.byID()
		for _, arrived := range seen.arrivals {
			if arrived.target != given.name || arrived.misdirected || arrived.at.Sub(given.acked) <= drainLimit {
				continue
			}
			// The link alone matters here: that the target leaves is no fault of its link.
			linked := seen.disrupted(arrived.at, arrived.at, func(step step) bool { return step.seat() == targetLink(arrived.index) })
			if known, ended := tried[arrived.id]; ended && !linked && seen.inTouch(known.instance, given.acked, arrived.at) {
				found = append(found, fmt.Sprintf("%s came to %s %v after it drained", arrived.id, arrived.target, arrived.at.Sub(given.acked)))
			}
		}
	}
	return found
}

// emptyZones: a zone that is out gets nothing after the limit.
func emptyZones(seen history) []string {
	var found []string
	for _, given := range seen.orders {
		if given.kind == zoneOut {
			found = append(found, seen.after(given, zoneLimit, func(arrived arrival) bool { return arrived.zone == given.name })...)
		}
	}
	return found
}

// coldTargets: a cold target gets no more in any second than it bears.
func coldTargets(seen history) []string {
	times := make(map[string][]time.Time)
	place := make(map[string]int)
	for _, arrived := range seen.arrivals {
		if arrived.cold && !arrived.misdirected {
			times[arrived.target] = append(times[arrived.target], arrived.at)
			place[arrived.target] = arrived.index
		}
	}
	const bearable = coldPerSecond*coldOverage + coldSlack
	limit := int(math.Floor(bearable))
	var found []string
	for target, at := range times {
		slices.SortFunc(at, time.Time.Compare)
		for last := limit; last < len(at); last++ {
			from := at[last-limit]
			held := seen.disrupted(from, at[last], func(step step) bool {
				return step.seat() == targetLink(place[target]) || step.Kind == stallKind
			})
			if at[last].Sub(from) < time.Second && !held {
				found = append(found, fmt.Sprintf("%s got %d requests in %v while cold", target, limit+1, at[last].Sub(from)))
				break
			}
		}
	}
	return found
}

// retryBudget: requests are sent to targets again no more than the fleet's budget allows.
func retryBudget(seen history) []string {
	if len(seen.attempts) == 0 {
		return nil
	}
	firsts := make(map[string]bool)
	began := seen.attempts[0].sent
	half := retryWindow / 2
	again, asked := make(map[int]int), make(map[int]int)
	for _, arrived := range seen.arrivals {
		if firsts[arrived.id] {
			again[int(arrived.at.Sub(began)/half)]++
		}
		firsts[arrived.id] = true
	}
	for _, tried := range seen.attempts {
		asked[int(tried.sent.Sub(began)/half)]++
	}
	var found []string
	for place := range again {
		requests := 0
		for back := range 3 {
			requests = max(requests, asked[place-back]+asked[place-back+1])
		}
		if repeats := again[place] + again[place+1]; float64(repeats) > retryShare*float64(requests)+retrySlack {
			found = append(found, fmt.Sprintf("%d requests came again beside %d", repeats, requests))
		}
	}
	return found
}

// exposures: a bad version gets a small part of the requests while it is on trial.
func exposures(seen history) []string {
	var found []string
	for _, given := range seen.orders {
		if given.kind != badMove || given.ends.IsZero() || !seen.untouched(given.acked, given.ends) {
			continue
		}
		all, bad := 0, 0
		for _, arrived := range seen.arrivals {
			if arrived.at.Before(given.acked) || arrived.at.After(given.ends) || arrived.misdirected {
				continue
			}
			all++
			if arrived.version == given.name {
				bad++
			}
		}
		if float64(bad) > exposureShare*float64(all)+exposureSlack {
			found = append(found, fmt.Sprintf("version %s got %d of %d requests", given.name, bad, all))
		}
	}
	return found
}

// untouched says that no instance and not the store was at fault.
func (seen history) untouched(from, to time.Time) bool {
	return !seen.disrupted(from, to, func(step step) bool {
		return step.Subject == onInstance || step.Subject == onStore || step.Kind == stallKind
	})
}

// plannedLosses: around a stop, requests that were read get a complete answer.
func plannedLosses(seen history) []string {
	reached := make(map[string]bool)
	for _, arrived := range seen.arrivals {
		reached[arrived.id] = true
	}
	kinds := traits()
	var found []string
	for _, held := range seen.disruptions {
		if held.step.Kind != stoppedKind {
			continue
		}
		for _, tried := range seen.attempts {
			around := tried.ended.After(held.from) && tried.ended.Before(held.from.Add(stopLimit+time.Second)) && tried.sent.Before(held.from.Add(stopLimit))
			if tried.instance != held.step.Index || !around || tried.complete || tried.left || tried.status != 0 && tried.stamp == "" {
				continue
			}
			unplanned := seen.disrupted(tried.sent, tried.ended, func(step step) bool { return step.Kind == stallKind || !kinds[step.Kind].planned })
			if reached[tried.id] && !unplanned && tried.ended.Sub(tried.sent) > 0 {
				found = append(found, fmt.Sprintf("%s was lost %v after instance %d had to stop", tried.id, tried.ended.Sub(held.from), held.step.Index))
			}
		}
	}
	return found
}

// abandoned: what its caller has given up reaches no target later, but for a few.
func abandoned(seen history) []string {
	tried := seen.byID()
	var found []string
	for _, arrived := range seen.arrivals {
		known, ended := tried[arrived.id]
		late := ended && !known.complete && arrived.at.After(known.ended.Add(goneLimit))
		if late && seen.inTouch(known.instance, known.sent, arrived.at) && seen.targetSound(arrived.index, known.sent, arrived.at) {
			found = append(found, fmt.Sprintf("%s came to %s %v after its caller had left", arrived.id, arrived.target, arrived.at.Sub(known.ended)))
		}
	}
	if len(found) <= goneSlack {
		return nil
	}
	return found
}

// recoveries: once faults are over long enough, every call is served.
func recoveries(seen history) []string {
	if seen.calmFrom.IsZero() {
		return nil
	}
	var found []string
	for _, ended := range seen.calls {
		due := ended.began.After(seen.calmFrom.Add(recoveryLimit)) && (seen.closed.IsZero() || ended.ended.Before(seen.closed))
		if due && !ended.served && !ended.left && ended.team != staleTeam {
			found = append(found, fmt.Sprintf("%s (%s) was not served, last status %d, %v after the last fault", ended.name, ended.route, ended.last, ended.began.Sub(seen.calmFrom)))
		}
	}
	return found
}
