package admission

import (
	"strconv"
	"time"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/pace"
)

// recovery is what the owner knows of how the target starts or recovers; it is immutable.
type recovery struct {
	// pace limits the requests that wait for their answers.
	pace pace.State
	// unresponsive indicates that the target was found to be unresponsive.
	unresponsive bool
	// wholeAnswers indicates that requests to the engine have ended without a first event: some are answered as a whole.
	wholeAnswers bool
	// answeredGrant is when the newest permit whose request has been answered was granted.
	answeredGrant time.Time
	// settledMillis is the mean duration of requests when the pace began, in milliseconds; zero if it was unknown.
	settledMillis float64
}

// newRecovery returns what a new owner knows. A target that is cold by its record starts. One whose cold start has ended
// recently may still be on its ramp; any other has been at work, and the new owner does not limit it.
func (ledger Ledger) newRecovery(now time.Time) recovery {
	var state pace.State
	switch settledAt := now.Add(settleDelay); {
	case !ledger.policy.Pace:
	case ledger.cold(now):
		state = state.WithReturn(settledAt, pace.ColdStart)
	case now.Before(ledger.target.ColdUntil.Add(ledger.rampDuration())):
		state = state.WithReturn(settledAt, pace.NewOwner)
	}
	return recovery{pace: state}
}

// rampDuration is the duration of the fixed ramp of a target that recovers.
func (ledger Ledger) rampDuration() time.Duration {
	if ledger.traits.ColdStartDuration > 0 {
		return ledger.traits.ColdStartDuration
	}
	return defaultRampDuration
}

// paceLimits returns what bounds the pace of the target besides its answers.
func (ledger Ledger) paceLimits() pace.Limits {
	limits := pace.Limits{Requests: ledger.target.Slots, Ramp: ledger.rampDuration()}
	if !ledger.traits.Engine {
		limits.Requests *= maxPlainDepth
	}
	if ledger.traits.ColdPerSecond > 0 {
		limits.ColdUntil = later(ledger.target.ColdUntil, ledger.coldUntil)
	}
	return limits
}

// withReturn begins a pace with the first request from a time on.
func (ledger Ledger) withReturn(at time.Time, cause pace.Cause) Ledger {
	if ledger.policy.Pace {
		ledger.recovery.pace = ledger.recovery.pace.WithReturn(at, cause)
	}
	return ledger
}

// withRestart begins a pace for a new incarnation of the target.
func (ledger Ledger) withRestart() Ledger {
	if ledger.policy.Pace {
		ledger.recovery.unresponsive = false
		ledger.recovery.pace = ledger.recovery.pace.WithRestart()
	}
	return ledger
}

// WithZoneReturned records that the target's zone has been returned to service.
func (ledger Ledger) WithZoneReturned(now time.Time) Ledger {
	return ledger.withReturn(now, pace.ZoneReturned)
}

// withUnresponsive records whether the target is unresponsive, and that it has ceased to be.
func (ledger Ledger) withUnresponsive(now time.Time) Ledger {
	if !ledger.policy.Pace {
		return ledger
	}
	was := ledger.recovery.unresponsive
	ledger.recovery.unresponsive = ledger.stalled(now)
	if was && !ledger.recovery.unresponsive {
		return ledger.withReturn(now, pace.AnswersAgain)
	}
	return ledger
}

// stalled reports whether the target is unresponsive, whether or not a trial request is due. Where only whole answers are
// seen, which may take long, one must also take much longer than they usually do.
func (ledger Ledger) stalled(now time.Time) bool {
	if now.Before(ledger.lastProgressAt.Add(unresponsiveTimeout)) {
		return false
	}
	usual := time.Duration(0)
	if !ledger.traits.Engine || ledger.recovery.wholeAnswers {
		usual = pace.Overdue(durationOf(ledger.meanDurationMillis))
	}
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		if ledger.firstEventOverdue(now, held) && now.Sub(held.grantedAt) > usual {
			return true
		}
	}
	return false
}

// withPaceAt applies the passing of time up to a request: the pace that is due begins, and one that has done its part ends.
func (ledger Ledger) withPaceAt(now time.Time) Ledger {
	if !ledger.policy.Pace {
		return ledger
	}
	ledger = ledger.withUnresponsive(now)
	_, before := ledger.recovery.pace.Current()
	ledger.recovery.pace = ledger.recovery.pace.WithRequest(now, ledger.paceLimits())
	if _, begunAt := ledger.recovery.pace.Current(); begunAt != before {
		ledger.recovery.settledMillis = ledger.meanDurationMillis
	}
	return ledger
}

// withPaceTime ends a pace that has done its part, also if there are no requests.
func (ledger Ledger) withPaceTime(now time.Time) Ledger {
	ledger.recovery.pace = ledger.recovery.pace.WithTime(now, ledger.paceLimits())
	return ledger
}

// withPaceVerdict refuses a request that nothing else refuses if the window of the target's pace is used up. It may be
// retried when an answer is expected that makes room for it; if the first one is overdue, it is expected to take as long
// again. Trial requests to an unresponsive target are not limited.
func (ledger Ledger) withPaceVerdict(now time.Time, verdict coltsfootlink.Verdict) (Ledger, coltsfootlink.Verdict) {
	if ledger.recovery.pace.Window() == 0 || ledger.recovery.unresponsive {
		return ledger, verdict
	}
	unanswered, nextAt := ledger.unanswered(now)
	if ledger.recovery.pace.Allows(unanswered) {
		return ledger, verdict
	}
	ledger.recovery.pace = ledger.recovery.pace.WithRefusal(now)
	delay := max(minRetryDelay, nextAt.Sub(now).Abs())
	verdict.Reason, verdict.RetryAt = coltsfootlink.TargetPaced, now.Add(delay)
	return ledger, verdict.WithWait(delay)
}

// unanswered returns the number of requests that wait for their answers, and when the first of these is expected. An overdue
// request no longer counts if one that was granted later has been answered: the report of its answer may be lost. Where
// engines answer requests as a whole, one counts until its prompt should have been read.
func (ledger Ledger) unanswered(now time.Time) (int, time.Time) {
	count := 0
	var nextAt time.Time
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		if held.firstEventReceived {
			continue
		}
		expected := ledger.expectedAnswer(held)
		overdue := now.After(held.grantedAt.Add(pace.Overdue(expected) + unresponsiveTimeout))
		if overdue && held.grantedAt.Before(ledger.recovery.answeredGrant) || ledger.recovery.wholeAnswers && now.After(held.grantedAt.Add(expected)) {
			continue
		}
		count++
		if expectedAt := held.grantedAt.Add(expected); nextAt.IsZero() || expectedAt.Before(nextAt) {
			nextAt = expectedAt
		}
	}
	return count, nextAt
}

// expectedAnswer is the time from the permit to the first event that was expected when the permit was granted, or to the
// whole answer of a plain service.
func (ledger Ledger) expectedAnswer(held request) time.Duration {
	if !ledger.traits.Engine {
		return ledger.settledDuration()
	}
	expected := durationOf(held.readMillis + ledger.firstEventMillis())
	if !held.readStartsAt.IsZero() {
		expected += held.plannedWait()
	}
	return expected
}

// expectedWhole is the time of a whole answer that counts as expected: the settled duration, or the maximum wait at a plain
// service, if that is longer. The target's slots would stand idle if answers that callers get in time held the window back.
func (ledger Ledger) expectedWhole(held request) time.Duration {
	allowed := time.Duration(0)
	if !held.objective.IsZero() {
		allowed = time.Duration(plainWaitFraction * float64(held.objective.Sub(held.grantedAt)))
	}
	return max(ledger.settledDuration(), allowed)
}

// settledDuration is the mean duration of requests before the pace began, or that of all requests so far if none had ended
// before.
func (ledger Ledger) settledDuration() time.Duration {
	if ledger.recovery.settledMillis > 0 {
		return durationOf(ledger.recovery.settledMillis)
	}
	return durationOf(ledger.meanDurationMillis)
}

// WithProgress applies a report from the request's holder: its first event has arrived, or it has ended with a result.
func (ledger Ledger) WithProgress(now time.Time, from coltsfootlink.InstanceName, progress coltsfootlink.Progress) Ledger {
	held, found := ledger.requests.Get(requestID{holder: from, serial: progress.Serial})
	if !found || !ledger.policy.Pace {
		return ledger.withProgress(now, from, progress)
	}
	before := ledger.withUnresponsive(now)
	ledger = before.withProgress(now, from, progress).withPaceProgress(now, before, held, progress)
	switch {
	case ledger.blockedUntil.After(before.blockedUntil):
		ledger = ledger.withReturn(ledger.blockedUntil, pace.BlockEnded)
	case ledger.traits.ColdPerSecond > 0 && ledger.coldUntil.After(before.coldUntil) && ledger.coldUntil.After(now.Add(crashWindow)):
		ledger = ledger.withReturn(now, pace.ColdStart)
	case before.breaker.open() && !ledger.breaker.open():
		ledger = ledger.withReturn(now, pace.BreakerClosed)
	}
	return ledger.withUnresponsive(now)
}

// withPaceProgress applies to the pace what a report says of the target. before is the ledger without the report.
func (ledger Ledger) withPaceProgress(now time.Time, before Ledger, held request, progress coltsfootlink.Progress) Ledger {
	answered := progress.Stage == coltsfootlink.FirstEvent
	switch progress.Result {
	case coltsfootlink.Failed, coltsfootlink.Refused, coltsfootlink.Crashed:
		ledger.recovery.pace = ledger.recovery.pace.WithFailure(now, held.grantedAt)
	case coltsfootlink.Succeeded:
		answered = true
		ledger.recovery.wholeAnswers = ledger.recovery.wholeAnswers || ledger.traits.Engine && !held.firstEventReceived
	}
	if !answered || held.firstEventReceived {
		return ledger
	}
	ledger.recovery.answeredGrant = later(ledger.recovery.answeredGrant, held.grantedAt)
	if ledger.recovery.pace.Window() == 0 {
		return ledger
	}
	answer := pace.Answer{GrantedAt: held.grantedAt, Took: held.seenAt(now, progress).Sub(held.grantedAt)}
	answer.Unanswered, _ = before.unanswered(now)
	if progress.Stage == coltsfootlink.FirstEvent {
		answer.Expected = before.expectedAnswer(held)
	} else {
		answer.Expected = before.expectedWhole(held)
	}
	ledger.recovery.pace = ledger.recovery.pace.WithAnswer(now, answer)
	return ledger.withPaceTime(now)
}

// withHeldEvidence ends the pace of a target that is not cold if another instance holds a request that the target
// answers: it is at work.
func (ledger Ledger) withHeldEvidence(now time.Time, held coltsfootlink.Held) Ledger {
	if ledger.cold(now) {
		return ledger
	}
	for _, other := range held.Requests {
		if other.FirstEventReceived {
			ledger.recovery.pace = ledger.recovery.pace.WithSettled(now)
			return ledger
		}
	}
	return ledger
}

// Pace returns the window of the target's pace and its slowdown against the configured rates as operators read them; a dash
// stands for no limit, and for plain services, which have no configured rates.
func (ledger Ledger) Pace() (window, slowdown string) {
	window, slowdown = "-", "-"
	if limit := ledger.recovery.pace.Window(); limit > 0 {
		window = strconv.Itoa(limit)
	}
	if ledger.traits.Engine {
		slowdown = strconv.FormatFloat(ledger.currentSlowdown(), 'f', 2, 64)
	}
	return window, slowdown
}

// keep stores a changed ledger, and logs and counts the paces that have begun or ended with the change.
func (task *Task) keep(name coltsfootlink.TargetName, ledger Ledger) {
	known := task.ledgers[name].recovery.pace
	task.ledgers[name] = ledger
	current := ledger.recovery.pace
	if ending := current.LastEnding(); ending != known.LastEnding() {
		metrics.Count("paces-ended")
		task.Log.Info().Str("target", string(name)).Str("cause", string(ending.Cause)).Str("reason", string(ending.Reason)).
			Int64("ms", ending.At.Sub(ending.BegunAt).Milliseconds()).Msg("admission: pace of target ended")
	}
	_, knownBegunAt := known.Current()
	if cause, begunAt := current.Current(); cause != "" && begunAt != knownBegunAt {
		metrics.Count("paces-begun")
		task.Log.Info().Str("target", string(name)).Str("cause", string(cause)).Int("window", current.Window()).
			Time("cold-until", ledger.paceLimits().ColdUntil).Msg("admission: pace of target begins")
	}
}

// beginReturnedZones begins the pace of owned targets whose zones were out of service in the previous catalog.
func (task *Task) beginReturnedZones(now time.Time, previous coltsfootlink.Catalog) {
	for name, ledger := range task.ledgers {
		zone := ledger.target.Zone
		if previous.ZonesOut[zone] && !task.catalog.ZonesOut[zone] {
			task.ledgers[name] = ledger.WithZoneReturned(now)
		}
	}
}
