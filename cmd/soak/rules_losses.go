package main

import (
	"fmt"
	"time"
)

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
