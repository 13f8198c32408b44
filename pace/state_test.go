package pace

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	start    = time.UnixMilli(1_700_000_000_000)
	limits   = Limits{Requests: 16, Ramp: 3 * time.Second}
	expected = 100 * time.Millisecond
)

// begun returns a pace that began at the start.
func begun(cause Cause) State { return State{}.WithReturn(start, cause).WithRequest(start, limits) }

// answers returns the state after answers to requests that use the window fully, one every step from a moment on.
func answers(state State, from, step, took time.Duration, count int) State {
	for number := range count {
		now := start.Add(from + time.Duration(number)*step)
		state = state.WithAnswer(now, Answer{GrantedAt: start.Add(from), Took: took, Expected: expected, Unanswered: state.Window()})
	}
	return state
}

// TestWindow guards against a window that floods a slow target, or that forgets it.
func TestWindow(t *testing.T) {
	second := time.Second
	cases := map[string]struct {
		change func(state State) State
		window int
	}{
		"at the beginning":       {func(state State) State { return state }, 2},
		"one answer in time":     {func(state State) State { return answers(state, 0, 0, expected, 1) }, 3},
		"a window in time":       {func(state State) State { return answers(state, 0, 0, expected, 2) }, 4},
		"within the tolerance":   {func(state State) State { return answers(state, 0, 0, 175*time.Millisecond, 1) }, 3},
		"late answers":           {func(state State) State { return answers(state, 0, 0, 200*time.Millisecond, 5) }, 2},
		"a very late answer":     {func(state State) State { return answers(state, 0, 0, 400*time.Millisecond, 1) }, 1},
		"many very late answers": {func(state State) State { return answers(state, 0, second, 400*time.Millisecond, 9) }, 1},
		"very late, one window":  {func(state State) State { return answers(answers(state, 0, 0, expected, 6), second, 1, second, 6) }, 4},
		"nothing expected": {func(state State) State {
			return state.WithAnswer(start, Answer{GrantedAt: start, Took: second, Unanswered: 2})
		}, 3},
		"a failure": {func(state State) State {
			return answers(state, 0, 0, expected, 6).WithFailure(start.Add(second), start)
		}, 4},
		"failure of an older one": {func(state State) State { return state.WithFailure(start, start.Add(-1)) }, 2},
		"answer of an older one":  {func(state State) State { return answers(state, -second, 0, expected, 3) }, 2},
		"window hardly used": {func(state State) State {
			return answers(state, 0, 0, expected, 2).WithAnswer(start, Answer{GrantedAt: start, Took: expected, Expected: expected, Unanswered: 1})
		}, 4},
		"failed again": {func(state State) State {
			return answers(state, 0, 0, expected, 6).WithReturn(start.Add(second), BlockEnded).WithRequest(start.Add(second), limits)
		}, 2},
		"restart before a long backoff ended": {func(state State) State {
			return answers(state, 0, 0, expected, 6).WithReturn(start.Add(time.Hour), BackoffEnded).WithRestart().WithRequest(start, limits)
		}, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := test.change(begun(ColdStart))
			So(state.Window(), ShouldEqual, test.window)
			So(state.Allows(test.window-1), ShouldBeTrue)
			So(state.Allows(test.window), ShouldBeFalse)
		})
	}
	Convey("a new owner that does not know how far a target had got gives it half of its requests", t, func() {
		So(begun(NewOwner).Window(), ShouldEqual, 8)
	})
}

// TestEnding guards against a pace that stays in force on a target in normal operation, or ends before anything is known.
func TestEnding(t *testing.T) {
	cold := Limits{Requests: 16, Ramp: 3 * time.Second, ColdUntil: start.Add(3 * time.Second)}
	cases := map[string]struct {
		change func(state State) State
		limits Limits
		after  time.Duration
		reason Reason
	}{
		"not limited for a second": {func(state State) State { return answers(state, 0, 0, expected, 1) }, limits, time.Second, NotLimited},
		"not limited for less":     {func(state State) State { return answers(state, 0, 0, expected, 1) }, limits, 999 * time.Millisecond, ""},
		"no answer yet":            {func(state State) State { return state }, limits, 2 * time.Second, ""},
		"limited half a second ago": {func(state State) State {
			return answers(state, 0, 0, expected, 1).WithRefusal(start.Add(time.Second / 2))
		}, limits, time.Second, ""},
		"late half a second ago": {func(state State) State {
			return answers(answers(state, 0, 0, expected, 1), time.Second/2, 0, time.Second, 1)
		}, limits, time.Second, ""},
		"in its cold time":                    {func(state State) State { return answers(state, 0, 0, expected, 1) }, cold, 3900 * time.Millisecond, ""},
		"a second after its cold time":        {func(state State) State { return answers(state, 0, 0, expected, 1) }, cold, 4 * time.Second, NotLimited},
		"all requests":                        {func(state State) State { return answers(state, 0, 0, expected, 14) }, limits, 0, AllRequests},
		"late until a second after the ramp":  {func(state State) State { return answers(state, 0, 100*time.Millisecond, 200*time.Millisecond, 40) }, limits, 4 * time.Second, TimeOver},
		"known to be at work":                 {func(State) State { return begun(NewOwner).WithSettled(start) }, limits, 0, AtWork},
		"at work before it failed":            {func(state State) State { return state.WithSettled(start) }, limits, 0, ""},
		"failed again, before the next begin": {func(state State) State { return state.WithReturn(start.Add(time.Second), BlockEnded) }, limits, time.Second / 2, ""},
		"failed again":                        {func(state State) State { return state.WithReturn(start, BlockEnded) }, limits, time.Second, Replaced},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := test.change(begun(ColdStart)).WithRequest(start.Add(test.after), test.limits)
			So(state.LastEnding().Reason, ShouldEqual, test.reason)
			cause, _ := state.Current()
			So(cause == "", ShouldEqual, test.reason != "" && test.reason != Replaced)
		})
	}
}

// TestPaceBounds guards against a target that is forgotten, and a pace that outlasts the fixed ramp and the allowance,
// whatever the answers.
func TestPaceBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := begun(ColdStart), start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				took := time.Duration(rapid.IntRange(0, 800).Draw(t, "took")) * time.Millisecond
				state = state.WithAnswer(now, Answer{GrantedAt: now.Add(-took), Took: took, Expected: expected, Unanswered: rapid.IntRange(1, 9).Draw(t, "unanswered")})
			case 1:
				state = state.WithFailure(now, now)
			default:
				state = state.WithRefusal(now)
			}
			state = state.WithTime(now, limits)
			if !state.Allows(0) {
				t.Fatalf("target gets nothing after %v", now.Sub(start))
			}
			if cause, _ := state.Current(); cause != "" && !now.Before(start.Add(limits.Ramp+allowance)) {
				t.Fatalf("pace is in force after %v", now.Sub(start))
			}
		}
	})
}
