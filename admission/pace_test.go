package admission

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/pace"
)

// granted returns the ledger with a number of requests permitted, and ended with a result unless it is empty.
func granted(ledger Ledger, now time.Time, count int, result coltsfootlink.Result) Ledger {
	for serial := range uint64(count) {
		ledger, _ = ledger.WithAsk(now, "b", ask(now, serial, prompt(0, 10, serial), time.Second))
	}
	for serial := range uint64(count) {
		if result != "" {
			ledger = ledger.WithProgress(now, "b", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: result})
		}
	}
	return ledger
}

// TestPaceCauses guards against a target that returns and gets everything at once, and against a pace on a target that has
// been at work all the time.
func TestPaceCauses(t *testing.T) {
	warmTraits := coltsfootlink.PoolTraits{Engine: true, MemoryTokens: 500_000}
	held := func(answered bool) coltsfootlink.Held {
		return coltsfootlink.Held{Target: "t", Requests: []coltsfootlink.HeldRequest{{Serial: 1, Deadline: start.Add(time.Hour), FirstEventReceived: answered}}}
	}
	owner := func(traits coltsfootlink.PoolTraits, coldUntil time.Duration) Ledger {
		return NewLedger(start, coltsfootlink.Target{Name: "t", Slots: 12, ColdUntil: start.Add(coldUntil)}, traits, policy)
	}
	cases := map[string]struct {
		traits coltsfootlink.PoolTraits
		change func(ledger Ledger, now time.Time) Ledger
		after  time.Duration
		cause  pace.Cause
	}{
		"warm and known":     {engineTraits, func(ledger Ledger, _ time.Time) Ledger { return ledger }, 0, ""},
		"cold by its record": {engineTraits, func(Ledger, time.Time) Ledger { return owner(engineTraits, time.Minute) }, 0, pace.ColdStart},
		"cold, and at work for the old owner": {engineTraits, func(Ledger, time.Time) Ledger {
			return owner(engineTraits, time.Minute).WithHeld(start, "b", held(true))
		}, 0, pace.ColdStart},
		"owner changes during the ramp": {engineTraits, func(Ledger, time.Time) Ledger { return owner(engineTraits, -time.Second) }, 0, pace.NewOwner},
		"the same, and it answers a request": {engineTraits, func(Ledger, time.Time) Ledger {
			return owner(engineTraits, -time.Second).WithHeld(start, "b", held(true))
		}, 0, ""},
		"the same, but does not answer yet": {engineTraits, func(Ledger, time.Time) Ledger {
			return owner(engineTraits, -time.Second).WithHeld(start, "b", held(false))
		}, 0, pace.NewOwner},
		"owner changes long after the ramp": {engineTraits, func(Ledger, time.Time) Ledger { return owner(engineTraits, -time.Minute) }, 0, ""},
		"owner changes, no cold starts":     {warmTraits, func(Ledger, time.Time) Ledger { return owner(warmTraits, -time.Since(time.Time{})) }, 0, ""},
		"restart, no cold starts": {plainTraits, func(ledger Ledger, _ time.Time) Ledger {
			return ledger.WithTarget(ledger.target.WithIncarnation(2), plainTraits)
		}, 0, pace.NewIncarnation},
		"zone returned":                       {plainTraits, func(ledger Ledger, now time.Time) Ledger { return ledger.WithZoneReturned(now) }, 0, pace.ZoneReturned},
		"connection refused":                  {warmTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 1, coltsfootlink.Refused) }, blockDuration, pace.BlockEnded},
		"still blocked":                       {warmTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 1, coltsfootlink.Refused) }, blockDuration / 2, ""},
		"crash":                               {engineTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 5, coltsfootlink.Crashed) }, blockDuration, pace.BlockEnded},
		"only request breaks":                 {engineTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 1, coltsfootlink.Crashed) }, 0, pace.ColdStart},
		"only request breaks, no cold starts": {warmTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 1, coltsfootlink.Crashed) }, 0, ""},
		"one of many breaks": {engineTraits, func(ledger Ledger, now time.Time) Ledger {
			return granted(ledger, now, 9, "").WithProgress(now, "b", coltsfootlink.Progress{Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed})
		}, 0, ""},
		"backoff over": {plainTraits, func(ledger Ledger, now time.Time) Ledger {
			return ledger.WithNotice(coltsfootlink.TargetNotice{RetryAt: now.Add(time.Second)})
		}, time.Second, pace.BackoffEnded},
		"breaker open": {plainTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 9, coltsfootlink.Failed) }, 0, ""},
		"breaker closes": {plainTraits, func(ledger Ledger, now time.Time) Ledger {
			return granted(granted(ledger, now, 9, coltsfootlink.Failed), now.Add(trialDelay), 1, coltsfootlink.Succeeded)
		}, trialDelay, pace.BreakerClosed},
		"unresponsive": {warmTraits, func(ledger Ledger, now time.Time) Ledger { return granted(ledger, now, 2, "") }, 2 * time.Second, ""},
		"answers again": {warmTraits, func(ledger Ledger, now time.Time) Ledger {
			return granted(ledger, now, 2, "").WithProgress(now.Add(2*time.Second), "b", coltsfootlink.Progress{Stage: coltsfootlink.FirstEvent})
		}, 2 * time.Second, pace.AnswersAgain},
		"plain service of long answers": {plainTraits, func(ledger Ledger, now time.Time) Ledger {
			ledger.meanDurationMillis = 2500
			return granted(ledger, now, 1, "").WithProgress(now.Add(2500*time.Millisecond), "b", coltsfootlink.Progress{Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
		}, 2500 * time.Millisecond, ""},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(test.traits, 12)
			ledger = test.change(ledger, now)
			now = now.Add(test.after)
			after, _ := ledger.WithAsk(now, "b", ask(now, 99, prompt(0, 10, 99), time.Second))
			cause, _ := after.recovery.pace.Current()
			So(cause, ShouldEqual, test.cause)
		})
	}
}

// TestPaceRefusals guards against a refusal with a time at which nothing has changed, and against a target that is forgotten
// because the report of an answer was lost or because it is unresponsive.
func TestPaceRefusals(t *testing.T) {
	answer := func(ledger Ledger, now time.Time, serial uint64) Ledger {
		return ledger.WithProgress(now, "b", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent})
	}
	cases := map[string]struct {
		change func(ledger Ledger, now time.Time) Ledger
		after  time.Duration
		reason coltsfootlink.Reason
	}{
		"window used up": {func(ledger Ledger, _ time.Time) Ledger { return ledger }, 0, coltsfootlink.TargetPaced},
		"one answered":   {func(ledger Ledger, now time.Time) Ledger { return answer(ledger, now, 0) }, 0, ""},
		"one ended unused": {func(ledger Ledger, now time.Time) Ledger {
			return ledger.WithProgress(now, "b", coltsfootlink.Progress{Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		}, 0, ""},
		"overdue":       {func(ledger Ledger, _ time.Time) Ledger { return ledger }, time.Second, coltsfootlink.TargetPaced},
		"trial request": {func(ledger Ledger, _ time.Time) Ledger { return ledger }, 3 * time.Second, ""},
		"reports of two lost": {func(ledger Ledger, now time.Time) Ledger {
			now = now.Add(3 * time.Second)
			ledger, _ = ledger.WithAsk(now, "b", ask(now, 5, prompt(0, 10, 5), time.Second))
			return answer(ledger, now, 5)
		}, 3 * time.Second, ""},
		"waits behind another": {func(ledger Ledger, now time.Time) Ledger { return granted(answer(ledger, now, 0), now, 4, "") }, 0, coltsfootlink.TargetPaced},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(engineTraits, 12)
			ledger = test.change(granted(ledger.WithZoneReturned(now), now, 2, ""), now)
			expectedAt := now.Add(durationOf(rates.ReadMillis(0, 10, 0) + rates.FirstEventMillis))
			now = now.Add(test.after)
			after, verdict := ledger.WithAsk(now, "b", ask(now, 99, prompt(0, 10, 99), time.Second))
			So(verdict.Reason, ShouldEqual, test.reason)
			So(ledger.Explain(now, ask(now, 99, prompt(0, 10, 99), time.Second)).agrees(verdict), ShouldBeTrue)
			if test.reason == coltsfootlink.TargetPaced {
				So(verdict.RetryAt, ShouldHappenOnOrAfter, later(now.Add(minRetryDelay), expectedAt))
				So(verdict.RetryAt, ShouldHappenBefore, now.Add(test.after+100*time.Millisecond))
				So(verdict.WaitMillis, ShouldEqual, verdict.RetryAt.Sub(now).Milliseconds())
				So(after.requests.Len(), ShouldEqual, ledger.requests.Len())
			}
		})
	}
}

// TestPaceSparesTargetsAtWork guards against a pace that changes any verdict on a target that answers, also after changes of
// its owner.
func TestPaceSparesTargetsAtWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		traits := rapid.SampledFrom([]coltsfootlink.PoolTraits{engineTraits, plainTraits}).Draw(t, "pool")
		on, now := settledLedger(traits, rapid.IntRange(1, 12).Draw(t, "slots"))
		off := on
		off.policy.Pace = false
		for serial := range uint64(rapid.IntRange(1, 60).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "owner") == 0 {
				on, off = NewLedger(now, on.target, traits, on.policy), NewLedger(now, off.target, traits, off.policy)
			}
			asked := ask(now, serial, prompt(0, rapid.IntRange(1, 5000).Draw(t, "tokens"), serial), time.Second)
			var with, without coltsfootlink.Verdict
			on, with = on.WithAsk(now, "b", asked)
			off, without = off.WithAsk(now, "b", asked)
			if with != without {
				t.Fatalf("verdict is %+v with the pace, %+v without", with, without)
			}
			ended := coltsfootlink.Progress{Serial: serial - uint64(rapid.IntRange(0, 5).Draw(t, "behind")), Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded}
			on, off = on.WithProgress(now, "b", ended), off.WithProgress(now, "b", ended)
		}
	})
}

// TestReturnedZone guards against a zone whose targets all get full load at once, and checks what operators see of it.
func TestReturnedZone(t *testing.T) {
	Convey("the targets of a returned zone are paced, and the log says so", t, func() {
		task, last := ownerTask(start)
		var log bytes.Buffer
		task.Log = zerolog.New(&log)
		task.catalog = task.catalog.WithTable(coltsfootlink.RoutingTable{}.WithPool(engineTraits))
		task.view = coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: coltsfootlink.Instance{Name: "o"}, Live: true}}}
		for _, out := range []bool{true, false} {
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithZoneOut("", out)}})
		}
		for serial := range uint64(3) {
			task.handle(coltsfootlink.Delivery{From: "i", Message: ask(start, serial, prompt(0, 10, serial), time.Second)})
		}
		So(last.Reason, ShouldEqual, coltsfootlink.TargetPaced)
		So(task.table(start).Rows, ShouldResemble, [][]string{{"t", "p", "", "2", "8", "2", "1.00", "o"}})
		task.Clock = fixedClock{start.Add(5 * time.Second)}
		task.tick()
		So(log.String(), ShouldContainSubstring, `"cause":"zone-returned","window":2`)
		So(log.String(), ShouldContainSubstring, `"cause":"zone-returned","reason":"time-over","ms":5000`)
		So(task.table(start).Rows[0][5], ShouldEqual, "-")
	})
}
