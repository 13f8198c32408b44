package admission

import (
	"math"
	"time"

	"coltsfootlink"
	"coltsfootlink/engine"
)

// refusal returns why a request may not be sent now, or an empty reason if it may, and when it may be retried; the time
// is zero if a retry is of no use.
func (ledger Ledger) refusal(now time.Time, ask coltsfootlink.Ask) (coltsfootlink.Reason, time.Time) {
	switch {
	case ask.Expired(now):
		return coltsfootlink.PastDeadline, time.Time{}
	case now.Before(ledger.ownedAt.Add(settleDelay)):
		return coltsfootlink.OwnerNew, ledger.ownedAt.Add(settleDelay)
	case ledger.announced.withheld(now):
		return ledger.announced.refusal()
	case now.Before(ledger.blockedUntil):
		return coltsfootlink.TargetDown, ledger.blockedUntil
	case ledger.unresponsive(now):
		return coltsfootlink.TargetSilent, now.Add(trialInterval)
	case ledger.breaker.open() && now.Before(ledger.breaker.nextTrialAt):
		return coltsfootlink.TargetFailing, ledger.breaker.nextTrialAt
	case ledger.overRateLimit(now):
		return coltsfootlink.TargetCold, now.Add(coldRateWindow)
	case !ledger.traits.Engine:
		return ledger.plainRefusal(now, ask)
	default:
		return ledger.engineRefusal(now, ask)
	}
}

// unresponsive reports whether a first event is overdue by more than unresponsiveTimeout and the target has made no
// progress for as long. It is false once per trialInterval, so that a trial request finds out whether the target
// responds again.
func (ledger Ledger) unresponsive(now time.Time) bool {
	if now.Before(ledger.lastProgressAt.Add(unresponsiveTimeout)) || len(timesAfter(ledger.grantTimes, now.Add(-trialInterval))) == 0 {
		return false
	}
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		if ledger.firstEventOverdue(now, held) {
			return true
		}
	}
	return false
}

// firstEventOverdue reports whether the first event of a request is overdue by more than unresponsiveTimeout.
func (ledger Ledger) firstEventOverdue(now time.Time, held request) bool {
	return !held.firstEventReceived && now.After(held.expectedAt.Add(ledger.lag+unresponsiveTimeout))
}

// rateLimited reports whether the rate of requests to the target is limited, because it is cold or its backoff has ended. After a
// backoff, the window of the pace takes the place of the rate limit.
func (ledger Ledger) rateLimited(now time.Time) bool {
	return ledger.traits.ColdPerSecond > 0 && ledger.cold(now) || !ledger.policy.Pace && ledger.announced.ramping(now)
}

// overRateLimit reports whether a paced target has reached its rate limit. A new owner grants nothing to a cold target until
// the permits that the previous owner may have granted are out of the window.
func (ledger Ledger) overRateLimit(now time.Time) bool {
	if !ledger.rateLimited(now) {
		return false
	}
	return len(ledger.grantTimes) >= ledger.coldRateLimit() || ledger.cold(now) && now.Before(ledger.ownedAt.Add(coldRateWindow+viewLag))
}

// cold reports whether the target may still be in its cold start.
func (ledger Ledger) cold(now time.Time) bool {
	return now.Before(ledger.target.ColdUntil) || now.Before(ledger.coldUntil)
}

// coldRateLimit is the maximum number of requests to a paced target within coldRateWindow. It is half of what the policy
// allows for a cold one, because two instances may both believe for a moment that they own the target; a pool without cold
// starts gets as many requests as the target has slots.
func (ledger Ledger) coldRateLimit() int {
	if ledger.traits.ColdPerSecond <= 0 {
		return max(1, ledger.target.Slots)
	}
	limit := ledger.traits.ColdPerSecond*ledger.policy.ColdOverage + ledger.policy.ColdSlack
	return max(1, int(limit/2))
}

// plainRefusal refuses requests to a plain service beyond its concurrency limit.
func (ledger Ledger) plainRefusal(now time.Time, ask coltsfootlink.Ask) (coltsfootlink.Reason, time.Time) {
	if float64(ledger.requests.Len()) >= ledger.plainLimit(now, ask) {
		return coltsfootlink.TargetFull, now.Add(minRetryDelay)
	}
	return "", time.Time{}
}

// plainLimit is the concurrency limit of a plain service. The limit per slot is the number of requests that can be served
// one after another within the request's maximum wait, from 1 to maxPlainDepth.
func (ledger Ledger) plainLimit(now time.Time, ask coltsfootlink.Ask) float64 {
	depth := 1.0
	if ledger.meanDurationMillis > 0 {
		depth = ask.Objective.Sub(now).Seconds() * 1000 * plainWaitFraction / ledger.meanDurationMillis
	}
	return float64(ledger.target.Slots) * min(maxPlainDepth, max(1, depth))
}

// engineRefusal refuses requests to an engine whose slots or memory are used up, or where the prompt would wait too
// long to be read. A request that is alone on the engine is not refused for its size.
func (ledger Ledger) engineRefusal(now time.Time, ask coltsfootlink.Ask) (coltsfootlink.Reason, time.Time) {
	if ledger.running() >= ledger.target.Slots {
		return coltsfootlink.TargetFull, now.Add(minRetryDelay)
	}
	if ledger.usedTokens()+engine.OwnTokens(ask.Work) > ledger.maxTokens() && ledger.requests.Len() > 0 {
		return coltsfootlink.TargetFull, now.Add(minRetryDelay)
	}
	firstEventMillis := ledger.readMillis(ask.Work) + ledger.firstEventMillis()
	objective := float64(ask.Objective.Sub(now)) / float64(time.Millisecond)
	wait := ledger.expectedWait(now)
	allowed := ledger.allowedWait(now, ask, objective, firstEventMillis)
	if wait > allowed {
		excess := durationOf(wait - allowed)
		return coltsfootlink.TargetFull, now.Add(max(minRetryDelay, excess))
	}
	return "", time.Time{}
}

// allowedWait is the maximum time in milliseconds that a prompt may wait to be read. objective is the time left until
// the request's objective, and firstEventMillis the time from the start of reading to the first event, both in
// milliseconds. It is negative if the prompt is not to be read on this target.
func (ledger Ledger) allowedWait(now time.Time, ask coltsfootlink.Ask, objective, firstEventMillis float64) float64 {
	allowed := max(ledger.policy.ObjectiveShare*objective-firstEventMillis-ledger.marginMillis(objective), ledger.largeWait(now, objective, firstEventMillis))
	allowed *= math.Pow(rankWaitFactor, float64(ask.Rank))
	factor := max(1, ask.MaxWaitFraction/ledger.policy.BearableShare)
	switch ask.Standing {
	case coltsfootlink.Bearable:
		return min(allowed, factor*ledger.policy.BearableShare*objective)
	case coltsfootlink.Surplus:
		return min(allowed, factor*ledger.policy.SurplusShare*objective)
	default:
		return allowed
	}
}

// waitMillis is the time in milliseconds until the target begins to read a new prompt if it reads the queue as expected.
func (ledger Ledger) waitMillis(now time.Time) float64 {
	return max(0, float64(ledger.queueEndsAt.Sub(now))/float64(time.Millisecond))
}

// maxTokens is the memory in tokens that the permitted requests may use together.
func (ledger Ledger) maxTokens() int {
	return int(ledger.policy.MemoryShare * float64(ledger.traits.MemoryTokens))
}

// usedTokens is the memory in tokens that the permitted requests use, without the prefixes that they share.
func (ledger Ledger) usedTokens() int {
	sum := 0
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		sum += engine.OwnTokens(held.work)
	}
	return sum
}

// readMillis is the expected time in milliseconds to read the part of a prompt that is not in the target's prefix
// cache.
func (ledger Ledger) readMillis(work coltsfootlink.Work) float64 {
	return ledger.currentSlowdown() * ledger.ratesMillis(work)
}

// ratesMillis is the time in milliseconds that reading the same part takes at the rates in the settings.
func (ledger Ledger) ratesMillis(work coltsfootlink.Work) float64 {
	cached := ledger.cache.CachedTokens(work)
	return ledger.policy.Rates.ReadMillis(cached, max(0, work.PromptTokens-cached), ledger.running())
}
