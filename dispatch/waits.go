package dispatch

import (
	"time"

	"coltsfootlink"
)

const (
	// knownSpan is how long an owner's word on the wait at its target is believed.
	knownSpan = 2 * time.Second
	// unknownWait is the wait at a target of which nothing is known.
	unknownWait = 100 * time.Millisecond
)

// waits is until when prompts wait at targets, as their owners have said.
type waits map[coltsfootlink.TargetName]wait

type wait struct {
	// until is when a prompt that came at the time of the word would be read.
	until time.Time
	// known is the end of the time for which the word is believed.
	known time.Time
	// closed says that the target takes nothing for another reason.
	closed bool
}

// note keeps what an owner says of its target.
func (waits waits) note(now time.Time, target coltsfootlink.TargetName, verdict coltsfootlink.Verdict) {
	waits[target] = wait{
		until:  now.Add(time.Duration(verdict.WaitMillis) * time.Millisecond),
		known:  now.Add(knownSpan),
		closed: closes(verdict.Reason),
	}
}

// closes says whether a target takes nothing when its owner refuses a request for a reason.
func closes(reason coltsfootlink.Reason) bool {
	return reason != "" && reason != coltsfootlink.TargetFull && reason != coltsfootlink.PastDeadline
}

// least returns the usable target of a pool where a prompt waits least; false if none is left.
func (waits waits) least(now time.Time, catalog coltsfootlink.Catalog, pool coltsfootlink.PoolName, tried map[coltsfootlink.TargetName]bool) (coltsfootlink.Target, bool) {
	var best coltsfootlink.Target
	var bestWait time.Duration
	found := false
	for _, target := range catalog.Targets {
		if target.Pool != pool || tried[target.Name] || !catalog.Usable(target) {
			continue
		}
		known := waits[target.Name]
		left := known.until.Sub(now)
		switch {
		case now.After(known.known):
			left = unknownWait
		case known.closed:
			continue
		}
		if !found || left < bestWait {
			best, bestWait, found = target, left, true
		}
	}
	return best, found
}
