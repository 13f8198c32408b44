package dispatch

import (
	"time"

	"coltsfootlink"
)

const (
	// waitEstimateTTL is how long an owner's estimate of the wait at its target is used.
	waitEstimateTTL = 2 * time.Second
	// defaultWait is the wait assumed for a target without a valid estimate.
	defaultWait = 100 * time.Millisecond
)

// waitEstimates are the waits of prompts at targets, as last estimated by the targets' owners.
type waitEstimates map[coltsfootlink.TargetName]waitEstimate

type waitEstimate struct {
	// readAt is when the target is expected to read a prompt that reached it at the time of the verdict.
	readAt time.Time
	// validUntil is when the estimate expires.
	validUntil time.Time
	// unavailable indicates that the target takes no requests for a reason other than its load.
	unavailable bool
}

// record stores the estimate in an owner's verdict on its target.
func (estimates waitEstimates) record(now time.Time, target coltsfootlink.TargetName, verdict coltsfootlink.Verdict) {
	estimates[target] = waitEstimate{
		readAt:      now.Add(time.Duration(verdict.WaitMillis) * time.Millisecond),
		validUntil:  now.Add(waitEstimateTTL),
		unavailable: refusesAll(verdict.Reason),
	}
}

// refusesAll reports whether a target takes no requests at all if its owner refuses one for this reason.
func refusesAll(reason coltsfootlink.Reason) bool {
	return reason != "" && reason != coltsfootlink.TargetFull && reason != coltsfootlink.TargetPaced && reason != coltsfootlink.PastDeadline
}

// shortest returns the usable target of a pool with the shortest estimated wait, without those that were tried; false
// if none is left.
func (estimates waitEstimates) shortest(now time.Time, catalog coltsfootlink.Catalog, pool coltsfootlink.PoolName, tried map[coltsfootlink.TargetName]bool) (coltsfootlink.Target, bool) {
	var best coltsfootlink.Target
	var bestWait time.Duration
	found := false
	for _, target := range catalog.Targets {
		if target.Pool != pool || tried[target.Name] || !catalog.Usable(target) {
			continue
		}
		estimate := estimates[target.Name]
		remaining := estimate.readAt.Sub(now)
		switch {
		case now.After(estimate.validUntil):
			remaining = defaultWait
		case estimate.unavailable:
			continue
		}
		if !found || remaining < bestWait {
			best, bestWait, found = target, remaining, true
		}
	}
	return best, found
}
