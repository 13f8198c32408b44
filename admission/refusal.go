package admission

import (
	"math"
	"time"

	"coltsfootlink"
	"coltsfootlink/engine"
)

// refusal returns why a request may not be sent now, and when it may come again; zero if that is of no use.
func (book Book) refusal(now time.Time, ask coltsfootlink.Ask) (coltsfootlink.Reason, time.Time) {
	switch {
	case ask.Expired(now):
		return coltsfootlink.PastDeadline, time.Time{}
	case now.Before(book.ownedAt.Add(settleSpan)):
		return coltsfootlink.OwnerNew, book.ownedAt.Add(settleSpan)
	case now.Before(book.blockedUntil):
		return coltsfootlink.TargetDown, book.blockedUntil
	case book.silent(now):
		return coltsfootlink.TargetSilent, now.Add(probeInterval)
	case book.trust.lost() && now.Before(book.trust.tryAt):
		return coltsfootlink.TargetFailing, book.trust.tryAt
	case book.overPace(now):
		return coltsfootlink.TargetCold, now.Add(paceWindow)
	case !book.traits.Engine:
		return book.plainRefusal(now, ask)
	default:
		return book.engineRefusal(now, ask)
	}
}

// silent says that the target owes a first event for long; now and then a request finds out.
func (book Book) silent(now time.Time) bool {
	if now.Before(book.eventAt.Add(silenceLimit)) || len(after(book.grants, now.Add(-probeInterval))) == 0 {
		return false
	}
	for iterator := book.runs.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		if !held.read && now.After(held.expectedAt.Add(book.shift+silenceLimit)) {
			return true
		}
	}
	return false
}

// overPace says that a cold target has got as many requests as it may.
func (book Book) overPace(now time.Time) bool {
	if book.traits.ColdPerSecond <= 0 || !book.cold(now) {
		return false
	}
	return len(book.grants) >= book.coldLimit() || now.Before(book.ownedAt.Add(paceWindow+viewLag))
}

// cold says whether the target may be cold.
func (book Book) cold(now time.Time) bool {
	return now.Before(book.target.ColdUntil) || now.Before(book.coldUntil)
}

// coldLimit is half of what a cold target bears in the window, for two instances may take themselves for
// its owner for a moment.
func (book Book) coldLimit() int {
	bearable := book.traits.ColdPerSecond*book.policy.ColdOverage + book.policy.ColdSlack
	return max(1, int(bearable/2))
}

func (book Book) plainRefusal(now time.Time, ask coltsfootlink.Ask) (coltsfootlink.Reason, time.Time) {
	depth := 1.0
	if book.meanMillis > 0 {
		depth = ask.Objective.Sub(now).Seconds() * 1000 * plainShare / book.meanMillis
	}
	limit := float64(book.target.Slots) * min(maxPlainDepth, max(1, depth))
	if float64(book.runs.Len()) >= limit {
		return coltsfootlink.TargetFull, now.Add(minRetry)
	}
	return "", time.Time{}
}

func (book Book) engineRefusal(now time.Time, ask coltsfootlink.Ask) (coltsfootlink.Reason, time.Time) {
	if book.running() >= book.target.Slots {
		return coltsfootlink.TargetFull, now.Add(minRetry)
	}
	if book.memory()+engine.OwnTokens(ask.Work) > int(book.policy.MemoryShare*float64(book.traits.MemoryTokens)) && book.runs.Len() > 0 {
		return coltsfootlink.TargetFull, now.Add(minRetry)
	}
	own := book.readMillis(ask.Work) + book.policy.Rates.FirstMillis
	objective := float64(ask.Objective.Sub(now)) / float64(time.Millisecond)
	wait := book.waitMillis(now)
	allowed := book.allowedWait(ask, objective, own)
	if wait > allowed {
		excess := spanOf(wait - allowed)
		return coltsfootlink.TargetFull, now.Add(max(minRetry, excess))
	}
	return "", time.Time{}
}

// allowedWait is how long a prompt may have to wait, in milliseconds, by the time to its objective and the time
// that the target takes for it.
func (book Book) allowedWait(ask coltsfootlink.Ask, objective, own float64) float64 {
	allowed := max(book.policy.ObjectiveShare*objective-own, book.policy.LargeShare*objective)
	allowed *= math.Pow(rankShare, float64(ask.Rank))
	patience := max(1, ask.MaxWaitFraction/book.policy.BearableShare)
	switch ask.Standing {
	case coltsfootlink.Bearable:
		return min(allowed, patience*book.policy.BearableShare*objective)
	case coltsfootlink.Surplus:
		return min(allowed, patience*book.policy.SurplusShare*objective)
	default:
		return allowed
	}
}

// waitMillis is how long a new prompt is expected to wait before it is read.
func (book Book) waitMillis(now time.Time) float64 {
	return max(0, float64(book.clearAt.Sub(now))/float64(time.Millisecond))
}

// memory is the tokens that running requests take besides shared parts.
func (book Book) memory() int {
	sum := 0
	for iterator := book.runs.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		sum += engine.OwnTokens(held.work)
	}
	return sum
}

func (book Book) readMillis(work coltsfootlink.Work) float64 {
	found := book.cache.Kept(work)
	return book.pace * book.policy.Rates.ReadMillis(found, max(0, work.PromptTokens-found), book.running())
}
