package admission

import "time"

const (
	// failWeight is the weight of the newest request in the part of a target's requests that fail.
	failWeight = 0.2
	// failingLimit is the part of failed requests above which a target counts as failing, whatever it says of itself.
	failingLimit = 0.8
	// trustPause is the time until a request finds out whether a failing target serves again; it doubles with each one
	// that fails, maxDoublings times at most.
	trustPause   = 500 * time.Millisecond
	maxDoublings = 3
)

// trust is what the traffic says of a target's health.
type trust struct {
	// failing is the part of the newest requests that failed.
	failing float64
	// triedAt is when the last request was let through that finds out, misses how many of these failed in a row, and
	// tryAt when the next one may go.
	triedAt, tryAt time.Time
	misses         int
}

// lost says that the target counts as failing.
func (trust trust) lost() bool { return trust.failing > failingLimit }

// withResult learns how a request ended that was let through at a time.
func (trust trust) withResult(now, grantedAt time.Time, failed bool) trust {
	if !failed {
		trust.failing -= failWeight * trust.failing
		trust.misses = 0
		return trust
	}
	before := trust.lost()
	trust.failing += failWeight * (1 - trust.failing)
	switch {
	case !trust.lost():
	case !before:
		trust.tryAt = now.Add(trustPause)
	case !grantedAt.Before(trust.triedAt) && !trust.triedAt.IsZero():
		trust.misses = min(trust.misses+1, maxDoublings)
		trust.tryAt = now.Add(trustPause << trust.misses)
	}
	return trust
}

// withGrant notes a request that is let through.
func (trust trust) withGrant(now time.Time) trust {
	if trust.lost() {
		trust.triedAt = now
		trust.tryAt = now.Add(trustPause << trust.misses)
	}
	return trust
}
