package main

import (
	"fmt"
	"math"
	"slices"
	"time"
)

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
