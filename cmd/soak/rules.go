package main

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"
)

// Limits that the rules check, and those that the site itself keeps to.
const (
	// contactTimeout is how long after a fault the affected parts may still be out of contact with the others.
	contactTimeout = 4 * time.Second
	// drainTimeout is the time after which a draining target gets no more requests.
	drainTimeout = 3 * time.Second
	// tableTimeout is the time in which a change of the table takes effect.
	tableTimeout = 3 * time.Second
	// zoneTimeout is the time after which a zone taken out of service gets no more requests.
	zoneTimeout = 5 * time.Second
	// backoffSlack is how long after a target's wish for no requests some may still arrive, and backoffExceptions how many
	// of an instance may after that.
	backoffSlack      = 500 * time.Millisecond
	backoffExceptions = 2
	// recoveryTimeout is the time after the faults from which on every call has to be served.
	recoveryTimeout = 15 * time.Second
	lossSlack       = 200 * time.Millisecond
	// stopTimeout is the time that an instance has for a graceful shutdown before it is killed.
	stopTimeout = 8 * time.Second
	// coldOverage is the factor by which a cold target may get more requests than it sustains, and coldSlack the number
	// of requests allowed beyond that.
	coldOverage = 1.5
	coldSlack   = 5
	// retryShare is the maximum number of retries to targets in a window as a fraction of the callers' requests, and
	// retrySlack the number of retries allowed beyond that.
	retryShare  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
	// exposureShare is the share of requests that a bad version may get, and exposureSlack the number of requests
	// allowed beyond that.
	exposureShare = 0.1
	exposureSlack = 50
	// abandonTimeout is the time after the end of an attempt without a complete answer from which its request may no
	// longer reach a target, and abandonSlack the number of exceptions allowed in a run.
	abandonTimeout = 500 * time.Millisecond
	abandonSlack   = 3
	// deniedSlack is the number of wrong denials allowed in a run, in addition to one per deniedDivisor attempts.
	deniedSlack = 5
	// crashesToLearn is the number of crashes under a part of prompts from which on, after contactTimeout, at most
	// crashingSlack more requests with it may reach targets. Of minSound sound prompts or more beside them, one in soundDivisor
	// has to be served then.
	crashesToLearn = 5
	crashingSlack  = 3
	minSound       = 20
	soundDivisor   = 2
	deniedDivisor  = 500
	// fairWindow is the length in seconds of the windows in which fairness is checked, fairDivisor divides what a team
	// is entitled to into what it has to get, and fairSlack is the number of requests that it may get less.
	fairWindow  = 6
	fairSlack   = 3
	fairDivisor = 2
	// answerBodyLimit is the size in bytes up to which callers read answers and the table allows bodies.
	answerBodyLimit = 1 << 20
)

const okStatus = http.StatusOK

// breach is one violation of a rule.
type breach struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// rules returns the rules by name. Each checks a history and returns descriptions of what violates it.
func rules() map[string]func(history) []string {
	return map[string]func(history) []string{
		"whole":    completeAnswers,
		"unasked":  unalteredRequests,
		"once":     atMostOnce,
		"refused":  refusedNeverRun,
		"revoked":  revokedKeys,
		"denied":   unexpectedDenials,
		"routes":   tableAdditions,
		"drain":    drainedTargets,
		"leaving":  leavingTargets,
		"backoff":  targetsLeftAlone,
		"zones":    zonesOutOfService,
		"cold":     coldTargets,
		"budget":   retryBudget,
		"exposure": badVersionExposure,
		"fair":     fairShares,
		"gone":     abandonedRequests,
		"lost":     lossesInStops,
		"recover":  unservedAfterRecovery,
		"prompts":  crashingPrompts,
		"duties":   dutyCalls,
		"usage":    usageWindows,
		"running":  func(seen history) []string { return seen.exits },
	}
}

// completeAnswers checks that no answer has wrong bytes, that a stamp, if there is one, was issued by a target for this
// very request, and that no success comes without a stamp.
func completeAnswers(seen history) []string {
	stamps := make(map[string]string)
	for _, arrival := range seen.arrivals {
		stamps[arrival.stamp] = arrival.id
	}
	var found []string
	for _, attempt := range seen.attempts {
		owner, issued := stamps[attempt.stamp]
		switch {
		case attempt.defect != "":
			found = append(found, attempt.id+": "+attempt.defect)
		case attempt.stamp != "" && (!issued || owner != attempt.id):
			found = append(found, fmt.Sprintf("%s: stamp %q belongs to request %q", attempt.id, attempt.stamp, owner))
		case attempt.stamp == "" && attempt.status >= 200 && attempt.status < 300:
			found = append(found, fmt.Sprintf("%s: status %d without a stamp", attempt.id, attempt.status))
		}
	}
	return found
}

// unalteredRequests checks that requests reach targets as callers sent them.
func unalteredRequests(seen history) []string {
	var found []string
	for _, arrival := range seen.arrivals {
		if arrival.alteration != "" {
			found = append(found, arrival.id+" at "+arrival.target+": "+arrival.alteration)
		}
	}
	return found
}

// atMostOnce checks that a request that is not repeatable is executed at most once.
func atMostOnce(seen history) []string {
	first := make(map[string]arrival)
	var found []string
	for _, arrival := range seen.arrivals {
		if !arrival.ran || arrival.repeatable {
			continue
		}
		if earlier, repeated := first[arrival.id]; repeated {
			found = append(found, fmt.Sprintf("%s ran at %s and, %v later, at %s", arrival.id, earlier.target, arrival.at.Sub(earlier.at), arrival.target))
			continue
		}
		first[arrival.id] = arrival
	}
	return found
}

// guaranteesNotRun reports whether a status guarantees that the request was not executed and never will be.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refusedNeverRun checks that a request that is not repeatable and was refused is executed neither before nor after
// its refusal.
func refusedNeverRun(seen history) []string {
	attempts := seen.byID()
	var found []string
	for _, arrival := range seen.arrivals {
		if attempt := attempts[arrival.id]; arrival.ran && !arrival.repeatable && guaranteesNotRun(attempt.status) {
			found = append(found, fmt.Sprintf("%s was answered %d and ran at %s", arrival.id, attempt.status, arrival.target))
		}
	}
	return found
}

// revokedKeys checks that a revoked API key is not accepted after tableTimeout.
func revokedKeys(seen history) []string {
	var found []string
	for _, revoked := range seen.orders {
		if revoked.kind != keyGone {
			continue
		}
		for _, attempt := range seen.attempts {
			if attempt.key != revoked.name || !attempt.sent.After(revoked.acked.Add(tableTimeout)) || !seen.instanceHealthy(attempt.instance, revoked.acked, attempt.sent) {
				continue
			}
			if attempt.status != 0 && attempt.status != http.StatusUnauthorized && !guaranteesNotRun(attempt.status) {
				found = append(found, fmt.Sprintf("%s: status %d, %v after its key was revoked", attempt.id, attempt.status, attempt.sent.Sub(revoked.acked)))
			}
		}
	}
	return found
}

// unexpectedDenials checks that requests which every version of the table allows are not denied, apart from a few.
func unexpectedDenials(seen history) []string {
	var found []string
	for _, attempt := range seen.attempts {
		denied := attempt.status >= 300 && attempt.status < 500 && !guaranteesNotRun(attempt.status) && attempt.stamp == ""
		if denied && seen.alwaysAllowed(attempt) {
			found = append(found, fmt.Sprintf("%s: status %d", attempt.id, attempt.status))
		}
	}
	if len(found) <= deniedSlack+len(seen.attempts)/deniedDivisor {
		return nil
	}
	return found
}

// alwaysAllowed reports whether every version of the table allows a request: neither its route nor its key was ever
// added or removed.
func (seen history) alwaysAllowed(attempt attempt) bool {
	return !slices.ContainsFunc(seen.orders, func(order order) bool { return order.name == attempt.key || order.name == attempt.route })
}

// tableAdditions checks that an added route or API key is known after tableTimeout, until it is removed.
func tableAdditions(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind != routeAdded && order.kind != keyAdded {
			continue
		}
		for _, attempt := range seen.attempts {
			late := attempt.sent.After(order.acked.Add(tableTimeout)) && (order.ends.IsZero() || attempt.ended.Before(order.ends))
			missing := order.kind == routeAdded && attempt.route == order.name && attempt.status == http.StatusNotFound ||
				order.kind == keyAdded && attempt.key == order.name && attempt.status == http.StatusUnauthorized
			if late && missing && seen.instanceHealthy(attempt.instance, order.acked, attempt.sent) {
				found = append(found, fmt.Sprintf("%s: status %d, %v after %s", attempt.id, attempt.status, attempt.sent.Sub(order.acked), order.name))
			}
		}
	}
	return found
}

// arrivalsAfter describes the matching requests that reached targets later than a timeout after an order and before its
// end, although instance and target were healthy.
func (seen history) arrivalsAfter(order order, timeout time.Duration, matches func(arrival) bool) []string {
	attempts := seen.byID()
	var found []string
	for _, arrival := range seen.arrivals {
		late := arrival.at.Sub(order.acked) > timeout && (order.ends.IsZero() || arrival.at.Before(order.ends))
		if !late || arrival.misdirected || !matches(arrival) {
			continue
		}
		attempt, ended := attempts[arrival.id]
		if ended && seen.instanceHealthy(attempt.instance, order.acked, arrival.at) && seen.targetHealthy(arrival.index, arrival.at, arrival.at) {
			found = append(found, fmt.Sprintf("%s reached %s %v after order %s %s", arrival.id, arrival.target, arrival.at.Sub(order.acked), order.kind, order.name))
		}
	}
	return found
}

// drainedTargets checks that a draining target gets no requests after drainTimeout.
func drainedTargets(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind != drained {
			continue
		}
		attempts := seen.byID()
		for _, arrival := range seen.arrivals {
			if arrival.target != order.name || arrival.misdirected || arrival.at.Sub(order.acked) <= drainTimeout {
				continue
			}
			// Of the target's faults, only those of its connections are an excuse here: targetHealthy would count the
			// drain itself as a fault.
			linkFault := seen.disrupted(arrival.at, arrival.at, func(step step) bool { return step.resource() == targetLinkResource(arrival.index) })
			if attempt, ended := attempts[arrival.id]; ended && !linkFault && seen.instanceHealthy(attempt.instance, order.acked, arrival.at) {
				found = append(found, fmt.Sprintf("%s reached %s %v after its drain was acknowledged", arrival.id, arrival.target, arrival.at.Sub(order.acked)))
			}
		}
	}
	return found
}

// heldBy identifies an instance and a target.
type heldBy struct {
	instance int
	target   string
}

// leavingTargets checks that an instance that has passed on an answer in which a target announced that it is shutting down
// sends it no requests of callers that are made later than drainTimeout after that, unless the instance was disrupted.
func leavingTargets(seen history) []string {
	attempts := seen.byID()
	told := make(map[heldBy]time.Time)
	for _, arrival := range seen.arrivals {
		attempt, ended := attempts[arrival.id]
		key := heldBy{attempt.instance, arrival.target}
		if arrival.leaving && ended && attempt.stamp != "" && attempt.stamp == arrival.stamp && (told[key].IsZero() || attempt.ended.Before(told[key])) {
			told[key] = attempt.ended
		}
	}
	var found []string
	for _, arrival := range seen.arrivals {
		attempt, ended := attempts[arrival.id]
		at, known := told[heldBy{attempt.instance, arrival.target}]
		if ended && known && attempt.sent.Sub(at) > drainTimeout && !seen.instanceDisrupted(attempt.instance, at, arrival.at) {
			found = append(found, fmt.Sprintf("%s reached %s, %v after instance %d had passed on that it is leaving", arrival.id, arrival.target, attempt.sent.Sub(at), attempt.instance))
		}
	}
	return found
}

// targetsLeftAlone checks that a target that refused a request with a Retry-After gets no more than a few requests from that
// instance until then, unless the instance was disrupted.
func targetsLeftAlone(seen history) []string {
	attempts := seen.byID()
	arrivals := make(map[heldBy][]arrival)
	for _, arrival := range seen.arrivals {
		if attempt, ended := attempts[arrival.id]; ended {
			key := heldBy{attempt.instance, arrival.target}
			arrivals[key] = append(arrivals[key], arrival)
		}
	}
	var found []string
	for key, received := range arrivals {
		for _, refused := range received {
			until, late := refused.at.Add(refused.backoff), 0
			for _, later := range received {
				if later.at.After(refused.at.Add(backoffSlack)) && later.at.Before(until) {
					late++
				}
			}
			if late > backoffExceptions && !seen.instanceDisrupted(key.instance, refused.at, until) {
				found = append(found, fmt.Sprintf("%d requests of instance %d reached %s, which had asked for none after %s", late, key.instance, key.target, refused.id))
			}
		}
	}
	return found
}

// instanceDisrupted reports whether a fault disrupted an instance or its connections, or the soak itself.
func (seen history) instanceDisrupted(instance int, from, to time.Time) bool {
	return seen.disrupted(from, to, func(step step) bool {
		return step.Subject == onInstance && step.Index == instance || step.Kind == stallKind
	})
}

// zonesOutOfService checks that a zone out of service gets no requests after zoneTimeout.
func zonesOutOfService(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind == zoneOut {
			found = append(found, seen.arrivalsAfter(order, zoneTimeout, func(arrival arrival) bool { return arrival.zone == order.name })...)
		}
	}
	return found
}

// coldTargets checks that a target in its cold start never gets more requests within a second than it sustains, plus
// the allowed overage.
func coldTargets(seen history) []string {
	times := make(map[string][]time.Time)
	indexes := make(map[string]int)
	for _, arrival := range seen.arrivals {
		if arrival.cold && !arrival.misdirected {
			times[arrival.target] = append(times[arrival.target], arrival.at)
			indexes[arrival.target] = arrival.index
		}
	}
	const sustainable = coldPerSecond*coldOverage + coldSlack
	limit := int(math.Floor(sustainable))
	var found []string
	for target, at := range times {
		slices.SortFunc(at, time.Time.Compare)
		for last := limit; last < len(at); last++ {
			from := at[last-limit]
			excused := seen.disrupted(from, at[last], func(step step) bool {
				return step.resource() == targetLinkResource(indexes[target]) || step.Kind == stallKind
			})
			if at[last].Sub(from) < time.Second && !excused {
				found = append(found, fmt.Sprintf("%s got %d requests in %v while cold", target, limit+1, at[last].Sub(from)))
				break
			}
		}
	}
	return found
}

// retryBudget checks that the requests sent to targets again stay within the fleet's retry budget in every window. Each
// window consists of two adjacent intervals of half its length. Its retries are compared with the requests of the busiest
// among the windows that begin with the same interval or one of the two previous ones.
func retryBudget(seen history) []string {
	if len(seen.attempts) == 0 {
		return nil
	}
	arrivedBefore := make(map[string]bool)
	began := seen.attempts[0].sent
	half := retryWindow / 2
	retries, requested := make(map[int]int), make(map[int]int)
	for _, arrival := range seen.arrivals {
		if arrivedBefore[arrival.id] {
			retries[int(arrival.at.Sub(began)/half)]++
		}
		arrivedBefore[arrival.id] = true
	}
	for _, attempt := range seen.attempts {
		requested[int(attempt.sent.Sub(began)/half)]++
	}
	var found []string
	for interval := range retries {
		requests := 0
		for back := range 3 {
			requests = max(requests, requested[interval-back]+requested[interval-back+1])
		}
		if repeats := retries[interval] + retries[interval+1]; float64(repeats) > retryShare*float64(requests)+retrySlack {
			found = append(found, fmt.Sprintf("%d retries reached targets beside %d requests", repeats, requests))
		}
	}
	return found
}

// badVersionExposure checks that a bad version gets only a small share of the requests during its move, if no fault
// disrupted an instance, the store or the soak itself meanwhile.
func badVersionExposure(seen history) []string {
	var found []string
	for _, order := range seen.orders {
		if order.kind != badMove || order.ends.IsZero() || !seen.undisturbed(order.acked, order.ends) {
			continue
		}
		all, bad := 0, 0
		for _, arrival := range seen.arrivals {
			if arrival.at.Before(order.acked) || arrival.at.After(order.ends) || arrival.misdirected {
				continue
			}
			all++
			if arrival.version == order.name {
				bad++
			}
		}
		if float64(bad) > exposureShare*float64(all)+exposureSlack {
			found = append(found, fmt.Sprintf("version %s got %d of %d requests", order.name, bad, all))
		}
	}
	return found
}

// crashingPrompts checks that requests whose prompts crash targets stop reaching them, and that others are served then.
func crashingPrompts(seen history) []string {
	attempts := seen.byID()
	crashed := make(map[string]bool)
	var learned time.Time
	var found []string
	for _, arrival := range seen.arrivals {
		if !arrival.crashing {
			continue
		}
		if crashed[arrival.target] = true; len(crashed) == crashesToLearn && learned.IsZero() {
			learned = arrival.at
		}
		attempt, ended := attempts[arrival.id]
		if ended && !learned.IsZero() && arrival.at.Sub(learned) > contactTimeout && seen.instanceHealthy(attempt.instance, arrival.at, arrival.at) {
			found = append(found, fmt.Sprintf("%s reached %s %v after the fifth crash", arrival.id, arrival.target, arrival.at.Sub(learned)))
		}
	}
	if len(found) <= crashingSlack {
		found = nil
	}
	return append(found, seen.soundPrompts(learned)...)
}

// soundPrompts checks that prompts which crash no target are served once it is known which ones do.
func (seen history) soundPrompts(learned time.Time) []string {
	if learned.IsZero() {
		return nil
	}
	sent, served := 0, 0
	for _, attempt := range seen.attempts {
		if attempt.team != steadyTeam || !streams(attempt.route) || attempt.crashing || attempt.abandoned || attempt.sent.Sub(learned) <= 2*contactTimeout {
			continue
		}
		if seen.disrupted(attempt.sent, attempt.ended, func(step step) bool { return step.Kind != crashingPromptsKind }) {
			continue
		}
		sent++
		if attempt.status == okStatus {
			served++
		}
	}
	if sent >= minSound && served*soundDivisor < sent {
		return []string{fmt.Sprintf("%d of %d sound prompts were served beside those that crash targets", served, sent)}
	}
	return nil
}

// undisturbed reports whether no fault disrupted an instance, the store or the soak itself.
func (seen history) undisturbed(from, to time.Time) bool {
	return !seen.disrupted(from, to, func(step step) bool {
		return step.Subject == onInstance || step.Subject == onStore || step.Kind == stallKind
	})
}

// lossesInStops checks that a graceful shutdown loses no requests: those that reached a target and end during the
// shutdown get a complete answer, unless the caller abandoned them or an unplanned fault lasted meanwhile.
func lossesInStops(seen history) []string {
	reached := make(map[string]bool)
	for _, arrival := range seen.arrivals {
		reached[arrival.id] = true
	}
	specs := faultSpecs()
	var found []string
	for _, stop := range seen.disruptions {
		if stop.step.Kind != stoppedKind {
			continue
		}
		for _, attempt := range seen.attempts {
			duringStop := attempt.ended.After(stop.from) && attempt.ended.Before(stop.from.Add(stopTimeout+time.Second)) && attempt.sent.Before(stop.from.Add(stopTimeout))
			if attempt.instance != stop.step.Index || !duringStop || attempt.complete || attempt.abandoned || attempt.status != 0 && attempt.stamp == "" {
				continue
			}
			unplanned := seen.disrupted(attempt.sent, attempt.ended, func(step step) bool { return step.Kind == stallKind || !specs[step.Kind].planned })
			if reached[attempt.id] && !unplanned && attempt.ended.Sub(attempt.sent) > 0 {
				found = append(found, fmt.Sprintf("%s was lost %v after instance %d was asked to stop", attempt.id, attempt.ended.Sub(stop.from), stop.step.Index))
			}
		}
	}
	return found
}

// abandonedRequests checks that requests whose attempt ended without a complete answer, for whatever reason (not only
// those marked abandoned), do not reach targets later than abandonTimeout after that end, apart from a few.
func abandonedRequests(seen history) []string {
	attempts := seen.byID()
	var found []string
	for _, arrival := range seen.arrivals {
		attempt, ended := attempts[arrival.id]
		late := ended && !attempt.complete && arrival.at.After(attempt.ended.Add(abandonTimeout))
		if late && seen.instanceHealthy(attempt.instance, attempt.sent, arrival.at) && seen.targetHealthy(arrival.index, attempt.sent, arrival.at) {
			found = append(found, fmt.Sprintf("%s reached %s %v after its caller gave up", arrival.id, arrival.target, arrival.at.Sub(attempt.ended)))
		}
	}
	if len(found) <= abandonSlack {
		return nil
	}
	return found
}

// unservedAfterRecovery checks that every call that begins later than recoveryTimeout after the faults is served.
func unservedAfterRecovery(seen history) []string {
	if seen.faultsOverAt.IsZero() {
		return nil
	}
	var found []string
	for _, call := range seen.calls {
		due := call.began.After(seen.faultsOverAt.Add(recoveryTimeout)) && (seen.verificationOverAt.IsZero() || call.ended.Before(seen.verificationOverAt))
		if due && !call.served && !call.abandoned && call.team != staleTeam {
			found = append(found, fmt.Sprintf("%s (%s) was not served, last status %d, %v after the last fault", call.name, call.route, call.lastStatus, call.began.Sub(seen.faultsOverAt)))
		}
	}
	return found
}
