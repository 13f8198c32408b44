package admission

import (
	"math"
	"time"

	"coltsfootlink"
	"coltsfootlink/engine"
	"coltsfootlink/pace"
)

// Explanation is what the owner of a target would answer to a request now, with the figures behind it.
type Explanation struct {
	// Verdict is the answer itself.
	Verdict coltsfootlink.Verdict
	// Unavailable is why the target takes no requests at all; empty if it depends on the request.
	Unavailable coltsfootlink.Reason
	// Requests is the number of requests on the target, including those that no live instance holds, and MaxRequests how
	// many it may have for a request like this. Slots is how many it runs at the same time.
	Requests, MaxRequests, Slots int
	// UsedTokens is the memory of an engine that requests would use together with this one, and MaxTokens what they may use.
	UsedTokens, MaxTokens int
	// CachedTokens is the part of the prompt that an engine has in its cache.
	CachedTokens int
	// Wait is the expected time until an engine begins to read the prompt, and MaxWait the longest with which it is accepted;
	// it is negative if reading the prompt takes too long in any case. Answer is the expected time to the first event, and
	// that of a plain service to the whole answer; zero if nothing is known. Objective is the time that is left for it.
	Wait, MaxWait, Answer, Objective time.Duration
	// Slowdown is the ratio of an engine's reading time to the one computed from the configured rates.
	Slowdown float64
	// ColdUntil is when the target's cold start ends, and Cold whether it may still be in it.
	Cold      bool
	ColdUntil time.Time
	// Granted is the number of permits that count against the limit of the rate of a target in cold start, and MaxGranted
	// that limit; zero if the rate is not limited.
	Granted, MaxGranted int
	// Pace is the cause of the target's pace, empty if it has none. Unanswered is the number of requests that wait for their
	// answers, and Window how many may.
	Pace               pace.Cause
	Unanswered, Window int
	// Unresponsive indicates that an answer is so late that the target gets only trial requests, which its pace does not limit.
	Unresponsive bool
	// FailureRate is the moving average of the failures of the target's requests. BreakerOpen indicates that it gets only
	// trial requests, the next one from NextTrialAt on.
	FailureRate float64
	BreakerOpen bool
	NextTrialAt time.Time
}

// Explain returns what WithAsk would answer, and why; nothing is recorded.
func (ledger Ledger) Explain(now time.Time, ask coltsfootlink.Ask) Explanation {
	_, verdict := ledger.WithAsk(now, "", ask)
	ledger = ledger.withPaceAt(now)
	cause, _ := ledger.recovery.pace.Current()
	explanation := Explanation{
		Verdict:      verdict,
		Requests:     ledger.running(),
		MaxRequests:  ledger.target.Slots,
		Slots:        ledger.target.Slots,
		Objective:    ask.Objective.Sub(now),
		Cold:         ledger.cold(now),
		ColdUntil:    later(ledger.target.ColdUntil, ledger.coldUntil),
		Pace:         cause,
		Unresponsive: ledger.stalled(now) || verdict.Reason == coltsfootlink.TargetSilent,
		Window:       ledger.recovery.pace.Window(),
		FailureRate:  ledger.breaker.failureRate,
		BreakerOpen:  ledger.breaker.open(),
		NextTrialAt:  ledger.breaker.nextTrialAt,
	}
	if takesNone(verdict.Reason) {
		explanation.Unavailable = verdict.Reason
	}
	explanation.Unanswered, _ = ledger.unanswered(now)
	if ledger.rateLimited(now) {
		explanation.Granted = len(timesAfter(ledger.grantTimes, now.Add(-coldRateWindow)))
		explanation.MaxGranted = ledger.coldRateLimit()
	}
	if !ledger.traits.Engine {
		explanation.Answer = durationOf(ledger.meanDurationMillis)
		explanation.MaxRequests = int(math.Ceil(ledger.plainLimit(now, ask)))
		return explanation
	}
	firstEventMillis := ledger.readMillis(ask.Work) + ledger.firstEventMillis()
	objectiveMillis := float64(explanation.Objective) / float64(time.Millisecond)
	explanation.UsedTokens = ledger.usedTokens() + engine.OwnTokens(ask.Work)
	explanation.MaxTokens = ledger.maxTokens()
	explanation.CachedTokens = ledger.cache.CachedTokens(ask.Work)
	explanation.Wait = durationOf(ledger.expectedWait(now))
	explanation.MaxWait = durationOf(ledger.allowedWait(now, ask, objectiveMillis, firstEventMillis))
	explanation.Answer = explanation.Wait + durationOf(firstEventMillis)
	explanation.Slowdown = ledger.currentSlowdown()
	return explanation
}

// takesNone reports whether a refusal for a reason would meet any other request, too.
func takesNone(reason coltsfootlink.Reason) bool {
	switch reason {
	case "", coltsfootlink.PastDeadline, coltsfootlink.TargetFull, coltsfootlink.TargetPaced:
		return false
	default:
		return true
	}
}
