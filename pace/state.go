// Package pace decides how many requests a target gets while it starts or recovers. Its limit is a window that grows with
// answers that come in time, so that the target's own answers set the pace (slow start).
package pace

import "time"

const (
	// startWindow is the window at the beginning: the target works on one request while the next one is on its way.
	startWindow = 2.0
	// newOwnerShare is the window at the beginning, as a fraction of all requests, if a new owner does not know how far the
	// target had got.
	newOwnerShare = 0.5
	// minWindow is the smallest window; with it the target still gets requests and can show that it has recovered.
	minWindow = 1.0
	// lateFactor and veryLateFactor are the ratios of the time of an answer to the expected one above which the answer
	// counts as late or very late.
	lateFactor     = 1.5
	veryLateFactor = 3.0
	// tolerance is added to both bounds, so that the usual errors of predictions do not make short answers count as late.
	tolerance = 25 * time.Millisecond
	// reduction is the factor by which the window falls after a failure or a very late answer.
	reduction = 0.5
	// quietPeriod is how long the window has not limited requests, with answers in time, when the pace ends.
	quietPeriod = time.Second
	// allowance is how much longer than the fixed ramp a pace may last.
	allowance = time.Second
)

// Cause is why a pace begins.
type Cause string

// The causes of a pace.
const (
	ColdStart      Cause = "cold-start"
	NewIncarnation Cause = "new-incarnation"
	BlockEnded     Cause = "block-ended"
	BackoffEnded   Cause = "backoff-ended"
	BreakerClosed  Cause = "breaker-closed"
	AnswersAgain   Cause = "answers-again"
	ZoneReturned   Cause = "zone-returned"
	NewOwner       Cause = "new-owner"
)

// Reason is why a pace ends.
type Reason string

// The reasons for the end of a pace.
const (
	// NotLimited means that the window has not limited requests for quietPeriod, while answers came in time.
	NotLimited Reason = "not-limited"
	// AllRequests means that the window has reached the number of requests that the target gets without a pace.
	AllRequests Reason = "all-requests"
	// TimeOver means that the fixed ramp and the allowance are over.
	TimeOver Reason = "time-over"
	// Replaced means that the target has failed again, so that another pace has begun.
	Replaced Reason = "replaced"
	// AtWork means that other instances have reported requests which the target answers.
	AtWork Reason = "at-work"
)

// Limits holds what bounds a pace besides the target's answers.
type Limits struct {
	// Requests is the maximum number of requests that the target gets at the same time without a pace.
	Requests int
	// ColdUntil is when the target's cold start ends. Until then another limit applies, so that a window which does not
	// limit requests shows nothing.
	ColdUntil time.Time
	// Ramp is the duration of the fixed ramp that the pace replaces. A pace that takes longer than that and the
	// allowance would leave the target to fewer requests than without it.
	Ramp time.Duration
}

// Answer is the first event of an answer, or the whole answer of a plain service.
type Answer struct {
	GrantedAt time.Time
	// Took is the time from the permit to the answer, and Expected what was expected of it; zero if nothing was.
	Took, Expected time.Duration
	// Unanswered is the number of requests on the target without an answer when this one came, including its own.
	Unanswered int
}

// Ending describes a pace that has ended.
type Ending struct {
	Cause       Cause
	Reason      Reason
	BegunAt, At time.Time
}

// State is the pace of one target; it is immutable, and its zero value limits nothing. It answers the load that arrives all
// at once when a target starts or recovers, perhaps slower than its settings say: what is sent to it then waits in its queue
// beyond the objective, while other targets could serve it.
//
// The window limits the requests that wait for their answers (an engine's: for their first events). Requests whose answers
// have begun do not count: they would keep the window shut for as long as an answer lasts, while the target reads nothing.
type State struct {
	// next is the cause of a pace that begins with the first request from nextAt on; empty if there is none.
	next   Cause
	nextAt time.Time

	// cause is the cause of the current pace; empty if there is none.
	cause   Cause
	begunAt time.Time
	window  float64
	// limitedAt is when the window last refused a request, lateAt when the last late answer came, and reducedAt when the
	// window was last reduced.
	limitedAt, lateAt, reducedAt time.Time
	// answered indicates that an answer has come in time.
	answered bool

	ending Ending
}

// WithReturn returns the state in which a pace begins with the first request from a time on. A pace that is still running
// goes on until then.
func (state State) WithReturn(at time.Time, cause Cause) State {
	if state.next != "" && state.nextAt.After(at) {
		return state
	}
	state.next, state.nextAt = cause, at
	return state
}

// WithRestart returns the state in which a pace begins with the first request to a new incarnation of the target; what was to
// begin for the previous one no longer counts.
func (state State) WithRestart() State {
	state.next, state.nextAt = NewIncarnation, time.Time{}
	return state
}

// WithSettled ends the pace of a new owner because the target is known to be at work. Other paces go on: what is known may be
// older than their causes.
func (state State) WithSettled(now time.Time) State {
	if state.next == NewOwner {
		state.next = ""
	}
	if state.cause == NewOwner {
		return state.withEnding(now, AtWork)
	}
	return state
}

// WithRequest applies the passing of time up to a request: a pace that is due begins, and one whose conditions are met
// ends.
func (state State) WithRequest(now time.Time, limits Limits) State {
	if state.next != "" && !now.Before(state.nextAt) {
		state = state.withEnding(now, Replaced)
		state.cause, state.next = state.next, ""
		state.begunAt, state.limitedAt = now, now
		state.lateAt, state.reducedAt, state.answered = time.Time{}, time.Time{}, false
		state.window = startWindow
		if state.cause == NewOwner {
			state.window = max(startWindow, newOwnerShare*float64(limits.Requests))
		}
		return state
	}
	return state.WithTime(now, limits)
}

// WithTime ends the pace if its conditions are met.
func (state State) WithTime(now time.Time, limits Limits) State {
	if state.cause == "" {
		return state
	}
	quietFrom := latest(state.limitedAt, state.lateAt, limits.ColdUntil)
	switch {
	case state.answered && state.window >= float64(limits.Requests):
		return state.withEnding(now, AllRequests)
	case state.answered && !now.Before(quietFrom.Add(quietPeriod)):
		return state.withEnding(now, NotLimited)
	case !now.Before(latest(limits.ColdUntil, state.begunAt.Add(limits.Ramp)).Add(allowance)):
		return state.withEnding(now, TimeOver)
	default:
		return state
	}
}

// WithRefusal records that the window has refused a request.
func (state State) WithRefusal(now time.Time) State {
	if state.cause != "" {
		state.limitedAt = now
	}
	return state
}

// WithAnswer applies an answer. The window grows by one if the answer came in time and the window was used at least by half,
// so that it doubles in about one answer time and never grows beyond what the target has been seen to bear.
func (state State) WithAnswer(now time.Time, answer Answer) State {
	if state.cause == "" || answer.GrantedAt.Before(state.begunAt) {
		return state
	}
	switch {
	case answer.later(veryLateFactor):
		state.lateAt = now
		return state.withReduction(now, answer.GrantedAt)
	case answer.later(lateFactor):
		state.lateAt = now
	default:
		state.answered = true
		if 2*float64(answer.Unanswered) >= state.window {
			state.window++
		}
	}
	return state
}

// WithFailure applies a request that the target has refused or failed.
func (state State) WithFailure(now, grantedAt time.Time) State {
	if state.cause == "" || grantedAt.Before(state.begunAt) {
		return state
	}
	state.lateAt = now
	return state.withReduction(now, grantedAt)
}

// withReduction reduces the window, at most once for the requests that were granted under the same window.
func (state State) withReduction(now, grantedAt time.Time) State {
	if grantedAt.After(state.reducedAt) {
		state.window = max(minWindow, reduction*state.window)
		state.reducedAt = now
	}
	return state
}

// withEnding ends the current pace, if there is one.
func (state State) withEnding(now time.Time, reason Reason) State {
	if state.cause != "" {
		state.ending = Ending{Cause: state.cause, Reason: reason, BegunAt: state.begunAt, At: now}
		state.cause = ""
	}
	return state
}

// Allows reports whether a target with a number of requests without answers may get another one.
func (state State) Allows(unanswered int) bool {
	return state.cause == "" || unanswered < state.Window()
}

// Window is the number of requests that may wait for their answers; zero if there is no limit.
func (state State) Window() int {
	if state.cause == "" {
		return 0
	}
	return int(state.window)
}

// Current returns the cause of the current pace and when it began; the cause is empty if there is none.
func (state State) Current() (Cause, time.Time) { return state.cause, state.begunAt }

// LastEnding describes the pace that has ended last; it is zero if there was none.
func (state State) LastEnding() Ending { return state.ending }

// later reports whether the answer took longer than a multiple of what was expected.
func (answer Answer) later(factor float64) bool {
	return answer.Expected > 0 && answer.Took > time.Duration(factor*float64(answer.Expected))+tolerance
}

// Overdue is how long after a permit an answer that was expected within a duration counts as very late.
func Overdue(expected time.Duration) time.Duration {
	return time.Duration(veryLateFactor*float64(expected)) + tolerance
}

// latest returns the latest of several times.
func latest(times ...time.Time) time.Time {
	var newest time.Time
	for _, one := range times {
		if one.After(newest) {
			newest = one
		}
	}
	return newest
}
