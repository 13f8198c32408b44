// Package health detects requests that crash targets, so that they are no longer sent.
package health

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// maxStrikes is the number of crashes from which a request is held back.
	maxStrikes = 2
	// StrikeTTL is how long a strike counts: long enough that a request which comes back every few minutes adds up.
	StrikeTTL = 10 * time.Minute
	// SuspicionTTL is how long a strike counts while it is only known that the connection broke.
	SuspicionTTL = 5 * time.Second
	// probeDelay is the time from the crash that has a request held back until it is probed. It doubles with each further
	// crash, up to StrikeTTL.
	probeDelay = 30 * time.Second
	// maxFingerprints bounds the fingerprints with strikes. All requests in progress on a target that crashes get one.
	maxFingerprints = 4096
)

// Strikes lists, by request fingerprint, the crashes of targets while they ran such a request; it is immutable.
type Strikes struct {
	byFingerprint *immutable.Map[uint64, []coltsfootlink.Strike]
}

// NewStrikes returns an empty list.
func NewStrikes() Strikes {
	return Strikes{byFingerprint: immutable.NewMap[uint64, []coltsfootlink.Strike](nil)}
}

// WithStrike adds a strike, or extends the one of the same incarnation of the target, which crashes only once. A strike that is
// Cleared removes all of its fingerprint. It returns false if nothing changes.
func (strikes Strikes) WithStrike(strike coltsfootlink.Strike) (Strikes, bool) {
	held, found := strikes.byFingerprint.Get(strike.Fingerprint)
	if strike.Cleared {
		strikes.byFingerprint = strikes.byFingerprint.Delete(strike.Fingerprint)
		return strikes, found
	}
	kept := make([]coltsfootlink.Strike, 0, len(held)+1)
	for _, earlier := range held {
		same := sameCrash(earlier, strike)
		if same && !earlier.Deadline.Before(strike.Deadline) {
			return strikes, false
		}
		if !same {
			kept = append(kept, earlier)
		}
	}
	if !found && strikes.byFingerprint.Len() >= maxFingerprints {
		strikes = strikes.withoutOldest()
	}
	strikes.byFingerprint = strikes.byFingerprint.Set(strike.Fingerprint, append(kept, strike))
	return strikes, true
}

// sameCrash reports whether two strikes may stand for the same crash: of the same target, in the same incarnation if both are
// known.
func sameCrash(one, other coltsfootlink.Strike) bool {
	sameIncarnation := one.Incarnation == other.Incarnation || one.Incarnation == 0 || other.Incarnation == 0
	return one.Target == other.Target && sameIncarnation
}

// withoutOldest removes the fingerprint with the fewest strikes, and of these the one whose newest strike expires first.
func (strikes Strikes) withoutOldest() Strikes {
	var oldest uint64
	var fewest int
	var earliest time.Time
	for iterator := strikes.byFingerprint.Iterator(); !iterator.Done(); {
		fingerprint, held, _ := iterator.Next()
		deadline := newestDeadline(held)
		if fewest == 0 || len(held) < fewest || len(held) == fewest && deadline.Before(earliest) {
			oldest, fewest, earliest = fingerprint, len(held), deadline
		}
	}
	strikes.byFingerprint = strikes.byFingerprint.Delete(oldest)
	return strikes
}

// WithoutExpired removes the strikes whose deadlines have passed.
func (strikes Strikes) WithoutExpired(now time.Time) Strikes {
	for iterator := strikes.byFingerprint.Iterator(); !iterator.Done(); {
		fingerprint, held, _ := iterator.Next()
		kept := unexpired(held, now)
		switch {
		case len(kept) == 0:
			strikes.byFingerprint = strikes.byFingerprint.Delete(fingerprint)
		case len(kept) < len(held):
			strikes.byFingerprint = strikes.byFingerprint.Set(fingerprint, kept)
		}
	}
	return strikes
}

// WithStrikes adds strikes.
func (strikes Strikes) WithStrikes(added []coltsfootlink.Strike) Strikes {
	for _, strike := range added {
		strikes, _ = strikes.WithStrike(strike)
	}
	return strikes
}

// SendToJoined sends the strikes to the instances that have joined since an earlier view.
func (strikes Strikes) SendToJoined(now time.Time, sender coltsfootlink.Sender, before, after coltsfootlink.View) {
	all := strikes.All(now)
	if len(all) == 0 {
		return
	}
	for _, member := range after.JoinedSince(before) {
		sender.Send(member.Name, coltsfootlink.Strikes{Strikes: all})
	}
}

// All returns the strikes that have not expired.
func (strikes Strikes) All(now time.Time) []coltsfootlink.Strike {
	var all []coltsfootlink.Strike
	for iterator := strikes.byFingerprint.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		all = append(all, unexpired(held, now)...)
	}
	return all
}

// HoldingBack returns the unexpired strikes against requests that are held back.
func (strikes Strikes) HoldingBack(now time.Time) []coltsfootlink.Strike {
	var holding []coltsfootlink.Strike
	for iterator := strikes.byFingerprint.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		if kept := unexpired(held, now); len(kept) >= maxStrikes {
			holding = append(holding, kept...)
		}
	}
	return holding
}

// Struck reports whether there is any strike against a fingerprint.
func (strikes Strikes) Struck(fingerprint uint64) bool {
	_, found := strikes.byFingerprint.Get(fingerprint)
	return found
}

// Barred reports whether requests with a fingerprint have crashed targets maxStrikes times or more and must not be sent.
func (strikes Strikes) Barred(now time.Time, fingerprint uint64) bool {
	held, _ := strikes.byFingerprint.Get(fingerprint)
	return len(unexpired(held, now)) >= maxStrikes
}

// ProbeAt returns from when a barred request may be probed: sent once in the whole fleet, to find out whether it still
// crashes targets. Each crash doubles the delay, so that a request that always crashes its target reaches few.
func (strikes Strikes) ProbeAt(now time.Time, fingerprint uint64) time.Time {
	held, _ := strikes.byFingerprint.Get(fingerprint)
	crashes := len(unexpired(held, now))
	delay := probeDelay
	for range crashes - maxStrikes {
		delay = min(2*delay, StrikeTTL)
	}
	return newestDeadline(held).Add(delay - StrikeTTL)
}

// newestDeadline returns the latest deadline of strikes.
func newestDeadline(strikes []coltsfootlink.Strike) time.Time {
	var newest time.Time
	for _, strike := range strikes {
		if strike.Deadline.After(newest) {
			newest = strike.Deadline
		}
	}
	return newest
}

func unexpired(strikes []coltsfootlink.Strike, now time.Time) []coltsfootlink.Strike {
	var kept []coltsfootlink.Strike
	for _, strike := range strikes {
		if now.Before(strike.Deadline) {
			kept = append(kept, strike)
		}
	}
	return kept
}
