package main

import (
	"fmt"
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
