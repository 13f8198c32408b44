package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/engine"
)

var (
	start  = time.UnixMilli(1_700_000_000_000)
	rates  = engine.Rates{PromptTokensPerMilli: 100, StepMillis: 4, StepMillisPerRequest: 0.1, ChunkTokens: 1000, FirstEventMillis: 30}
	policy = Policy{
		Rates: rates, ObjectiveShare: 0.75, LargeShare: 0.25, BearableShare: 0.2, SurplusShare: 0.05,
		MemoryShare: 0.9, ColdOverage: 1.5, ColdSlack: 5, Pace: true,
	}
	engineTraits = coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 500_000, ColdStartDuration: 3 * time.Second, ColdPerSecond: 14}
	plainTraits  = coltsfootlink.PoolTraits{Name: "q"}
)

// settledLedger returns a new ledger and a time after its settle delay, when requests are decided on.
func settledLedger(traits coltsfootlink.PoolTraits, slots int) (Ledger, time.Time) {
	return NewLedger(start, coltsfootlink.Target{Name: "t", Pool: traits.Name, Slots: slots}, traits, policy), start.Add(2 * time.Second)
}

// prompt returns work whose prompt has a prefix of shared tokens, the same for all keys equal modulo 3, and own tokens
// after it.
func prompt(shared, own int, key uint64) coltsfootlink.Work {
	return coltsfootlink.Work{
		Prompt:       []coltsfootlink.CachePart{{Key: 1000 + key%3, Tokens: shared}, {Key: key, Tokens: own}},
		PromptTokens: shared + own,
		OutputTokens: 300,
	}
}

func ask(now time.Time, serial uint64, work coltsfootlink.Work, objective time.Duration) coltsfootlink.Ask {
	return coltsfootlink.Ask{Serial: serial, Target: "t", Team: "x", Work: work, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second)}
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		traits coltsfootlink.PoolTraits
		slots  int
		// before prepares the ledger and returns the time of the request; nil for an idle target.
		before func(ledger Ledger, now time.Time) (Ledger, time.Time)
		work   coltsfootlink.Work
		reason coltsfootlink.Reason
	}{
		"idle engine":        {engineTraits, 128, nil, prompt(500, 1000, 1), ""},
		"idle plain service": {plainTraits, 6, nil, coltsfootlink.Work{}, ""},
		"new owner before its settle delay": {engineTraits, 128, func(ledger Ledger, _ time.Time) (Ledger, time.Time) {
			return ledger, start.Add(settleDelay / 2)
		}, prompt(500, 1000, 1), coltsfootlink.OwnerNew},
		"target that refused a connection": {engineTraits, 128, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 100, 9), time.Second))
			return ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Refused}), now
		}, prompt(500, 1000, 1), coltsfootlink.TargetDown},
		"target whose connections all break at once": {engineTraits, 128, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			for serial := range uint64(crashThreshold) {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 100, 9), time.Second))
				ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed})
			}
			return ledger, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetDown},
		"one broken connection among many": {engineTraits, 128, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 100, 9), time.Second))
			return ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed}), now
		}, prompt(500, 1000, 1), ""},
		"engine with a long reading queue": {engineTraits, 128, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			for serial := range uint64(3) {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 20_000, serial+10), 10*time.Second))
			}
			return ledger, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetFull},
		"engine whose first event is overdue": {engineTraits, 128, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 1000, 9), time.Second))
			now = now.Add(3 * time.Second)
			ledger, _ = ledger.WithAsk(now.Add(-trialInterval/2), "a", ask(now, 2, prompt(0, 1000, 9), time.Second))
			return ledger, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetSilent},
		"engine without a free slot": {engineTraits, 2, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			for serial := range uint64(2) {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 10, 9), time.Second))
			}
			return ledger, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetFull},
		"engine without free memory": {coltsfootlink.PoolTraits{Engine: true, MemoryTokens: 12_000}, 128, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 10_000, 9), 10*time.Second))
			return ledger, now
		}, prompt(0, 1000, 1), coltsfootlink.TargetFull},
		"plain service without a free slot": {plainTraits, 2, func(ledger Ledger, now time.Time) (Ledger, time.Time) {
			for serial := range uint64(2) {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, coltsfootlink.Work{}, time.Second))
			}
			return ledger, now
		}, coltsfootlink.Work{}, coltsfootlink.TargetFull},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(test.traits, test.slots)
			if test.before != nil {
				ledger, now = test.before(ledger, now)
			}
			_, verdict := ledger.WithAsk(now, "b", ask(now, 99, test.work, 400*time.Millisecond))
			So(verdict.Reason, ShouldEqual, test.reason)
			So(ledger.Explain(now, ask(now, 99, test.work, 400*time.Millisecond)).agrees(verdict), ShouldBeTrue)
			if test.reason != "" {
				So(verdict.RetryAt, ShouldHappenAfter, now)
			}
		})
	}
}

func TestMaxWaitByStanding(t *testing.T) {
	// Unless the target is idle, a new prompt waits about 130 ms behind the one that is being read.
	cases := map[string]struct {
		standing coltsfootlink.Standing
		reason   coltsfootlink.Reason
	}{
		"entitled":             {coltsfootlink.Entitled, ""},
		"bearable":             {coltsfootlink.Bearable, coltsfootlink.TargetFull},
		"surplus":              {coltsfootlink.Surplus, coltsfootlink.TargetFull},
		"surplus, idle target": {coltsfootlink.Surplus, ""},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			if name != "surplus, idle target" {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 10_000, 9), 10*time.Second))
			}
			next := ask(now, 2, prompt(0, 1000, 1), 500*time.Millisecond)
			next.Standing = test.standing
			_, verdict := ledger.WithAsk(now, "a", next)
			So(verdict.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestColdRateLimit checks that a cold target gets at most half of its rate limit in any second, because two instances
// may both believe for a moment that they own it.
func TestColdRateLimit(t *testing.T) {
	limit := engineTraits.ColdPerSecond*policy.ColdOverage + policy.ColdSlack
	rapid.Check(t, func(t *rapid.T) {
		used := policy
		used.Pace = rapid.Bool().Draw(t, "pace")
		ledger := NewLedger(start, coltsfootlink.Target{Name: "t", Slots: 128, ColdUntil: start.Add(time.Hour)}, engineTraits, used)
		now := start
		var granted []time.Time
		for serial := range uint64(rapid.IntRange(1, 200).Draw(t, "asks")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			var verdict coltsfootlink.Verdict
			ledger, verdict = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 10, serial), time.Second))
			if verdict.Reason == "" {
				granted = append(granted, now)
				ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
			}
		}
		for _, end := range granted {
			if count := len(granted) - len(timesAfter(granted, end)) - (len(granted) - len(timesAfter(granted, end.Add(-time.Second)))); float64(count) > limit/2 {
				t.Fatalf("%d requests in the second before %v, expected at most half of the limit", count, end)
			}
		}
		if len(granted) > 0 && granted[0].Before(start.Add(coldRateWindow)) {
			t.Fatalf("new owner granted a permit after %v, before the previous owner's permits left the window", granted[0].Sub(start))
		}
	})
}

// TestExpectedFirstEvent checks that, after some requests, the predicted first event is close to the actual one,
// whether or not the engine reads at the configured rates.
func TestExpectedFirstEvent(t *testing.T) {
	cases := map[string]struct {
		// slowdown is the ratio of the engine's reading time to the one computed from the rates.
		slowdown float64
	}{
		"as configured":          {1},
		"slower than configured": {1.5},
		"faster than configured": {0.7},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			readUntil := now
			var worst time.Duration
			for serial := range uint64(200) {
				work := prompt(0, 8000, serial+10)
				read := durationOf(test.slowdown * rates.ReadMillis(0, 8000, 0))
				var verdict coltsfootlink.Verdict
				ledger, verdict = ledger.WithAsk(now, "a", ask(now, serial, work, 10*time.Second))
				So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
				if readUntil.Before(now) {
					readUntil = now
				}
				readUntil = readUntil.Add(read)
				event := readUntil.Add(durationOf(rates.FirstEventMillis))
				ledger = ledger.WithProgress(event, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent})
				ledger = ledger.WithProgress(event, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
				expected := now.Add(time.Duration(verdict.ExpectedMillis) * time.Millisecond)
				if serial > 150 {
					worst = max(worst, expected.Sub(event).Abs())
				}
				now = event.Add(100 * time.Millisecond)
			}
			So(worst, ShouldBeLessThan, durationOf(0.1*rates.ReadMillis(0, 8000, 0)))
		})
	}
}

// TestBrokenConnections checks when broken connections count as a crash of the target (blocked and cold) and when
// only as lost responses, by the number of other requests on the target.
func TestBrokenConnections(t *testing.T) {
	cases := map[string]struct {
		running, broken int
		cold, blocked   bool
	}{
		"one of many":    {10, 1, false, false},
		"a few of many":  {10, 3, false, false},
		"all of many":    {10, 10, true, true},
		"most of many":   {10, 6, true, true},
		"the only one":   {1, 1, true, false},
		"one of two":     {2, 1, true, false},
		"two of several": {6, 2, false, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			for serial := range uint64(test.running) {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 10, serial), time.Second))
			}
			for serial := range uint64(test.broken) {
				now = now.Add(time.Millisecond)
				ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed})
			}
			later := now.Add(2 * crashWindow)
			So(ledger.cold(now), ShouldBeTrue)
			So(ledger.cold(later), ShouldEqual, test.cold)
			So(later.Before(ledger.blockedUntil), ShouldEqual, test.blocked)
		})
	}
}

// TestOrphanedRequests checks that requests left on a target by failed instances are found by the target's reports and
// count against its capacity.
func TestOrphanedRequests(t *testing.T) {
	cases := map[string]struct {
		report coltsfootlink.EngineReport
		slots  int
		reason coltsfootlink.Reason
	}{
		"no orphaned requests":                  {coltsfootlink.EngineReport{Running: 1}, 2, ""},
		"orphaned request in the last slot":     {coltsfootlink.EngineReport{Running: 2}, 2, coltsfootlink.TargetFull},
		"orphaned requests run, slots are free": {coltsfootlink.EngineReport{Running: 10}, 128, ""},
		"orphaned requests wait":                {coltsfootlink.EngineReport{Running: 10, Waiting: 8}, 128, coltsfootlink.TargetFull},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger, now := settledLedger(engineTraits, test.slots)
			ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 10, 9), time.Second))
			ledger = ledger.WithReport(now, test.report)
			_, verdict := ledger.WithAsk(now, "b", ask(now, 2, prompt(0, 1000, 1), 400*time.Millisecond))
			So(verdict.Reason, ShouldEqual, test.reason)
		})
	}
	Convey("a new owner requests reports, and later only while there are orphaned requests", t, func() {
		ledger, _ := settledLedger(engineTraits, 128)
		ledger, due := ledger.WithProbe(start)
		So(due, ShouldBeTrue)
		ledger, due = ledger.WithProbe(start.Add(reportInterval / 2))
		So(due, ShouldBeFalse)
		afterProbes := start.Add(probeDuration + time.Second)
		_, due = ledger.WithProbe(afterProbes)
		So(due, ShouldBeFalse)
		_, due = ledger.WithReport(afterProbes, coltsfootlink.EngineReport{Running: 3}).WithProbe(afterProbes)
		So(due, ShouldBeTrue)
	})
}

func TestTakeover(t *testing.T) {
	Convey("a new owner counts the requests that other instances hold, until these fail or the deadlines pass", t, func() {
		ledger, now := settledLedger(engineTraits, 2)
		held := coltsfootlink.Held{Target: "t", Requests: []coltsfootlink.HeldRequest{
			{Serial: 1, Work: prompt(0, 1000, 1), Deadline: now.Add(time.Minute)},
			{Serial: 2, Work: prompt(0, 1000, 2), Deadline: now.Add(time.Second), FirstEventReceived: true},
		}}
		ledger = ledger.WithHeld(now, "a", held).WithHeld(now, "a", held)
		next := ask(now, 9, prompt(0, 100, 3), time.Second)
		_, verdict := ledger.WithAsk(now, "b", next)
		So(verdict.Reason, ShouldEqual, coltsfootlink.TargetFull)
		_, verdict = ledger.WithoutHolder("a").WithAsk(now, "b", next)
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
		_, verdict = ledger.WithoutExpired(now.Add(2*time.Second)).WithAsk(now, "b", next)
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
	})
	Convey("a restarted target has no requests and an empty cache", t, func() {
		ledger, now := settledLedger(engineTraits, 1)
		ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 100, 3), time.Second))
		ledger = ledger.WithTarget(coltsfootlink.Target{Name: "t", Slots: 1, Incarnation: 7}, engineTraits)
		So(ledger.cache.CachedTokens(prompt(0, 100, 3)), ShouldEqual, 0)
		_, verdict := ledger.WithAsk(now, "b", ask(now, 2, prompt(0, 100, 3), time.Second))
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
	})
}

// TestUnreadPrompts checks that prompts which the target does not read, or not to their end, leave no reading time in
// the queue: otherwise returned permits make a target look full.
func TestUnreadPrompts(t *testing.T) {
	cases := map[string]struct {
		result coltsfootlink.Result
		// read is unused; no case has a first event before the end.
		read bool
		// after is the time from the permit to the result.
		after time.Duration
		// left is the fraction of the prompt's reading time that another prompt then still waits.
		left float64
	}{
		"permit returned at once":                                   {coltsfootlink.Unused, false, 0, 0},
		"permit returned when the prompt could have been half read": {coltsfootlink.Unused, false, 50 * time.Millisecond, 0},
		"target refused the connection":                             {coltsfootlink.Refused, false, 0, 0},
		"caller disconnected at once":                               {coltsfootlink.Cancelled, false, 0, 0},
		"caller disconnected later":                                 {coltsfootlink.Cancelled, false, 50 * time.Millisecond, 0},
		"target crashed and may have read the prompt":               {coltsfootlink.Crashed, false, 0, 1},
	}
	for name, test := range cases {
		Convey("the queue keeps only what may be read: "+name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 8000, 10), 10*time.Second))
			now = now.Add(test.after)
			ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: 1, Stage: coltsfootlink.Ended, Result: test.result})
			So(ledger.waitMillis(now), ShouldAlmostEqual, test.left*rates.ReadMillis(0, 8000, 0), 1)
		})
	}
	Convey("ten returned permits leave the target idle", t, func() {
		ledger, now := settledLedger(engineTraits, 128)
		for serial := range uint64(10) {
			var verdict coltsfootlink.Verdict
			ledger, verdict = ledger.WithAsk(now, "flooded", ask(now, serial, prompt(0, 8000, serial+10), 10*time.Second))
			So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
			ledger = ledger.WithProgress(now, "flooded", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		}
		So(ledger.requests.Len(), ShouldEqual, 0)
		_, verdict := ledger.WithAsk(now, "calm", ask(now, 100, prompt(0, 8000, 99), 800*time.Millisecond))
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
		So(verdict.WaitMillis, ShouldEqual, 0)
	})
	Convey("a prompt cancelled when half read leaves the next prompt its full reading time", t, func() {
		ledger, now := settledLedger(engineTraits, 128)
		for serial := range uint64(2) {
			ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 8000, serial+10), 10*time.Second))
		}
		second, _ := ledger.requests.Get(requestID{holder: "a", serial: 1})
		now = now.Add(durationOf(rates.ReadMillis(0, 8000, 0) / 2))
		ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: 0, Stage: coltsfootlink.Ended, Result: coltsfootlink.Cancelled})
		So(ledger.waitMillis(now), ShouldAlmostEqual, second.readMillis, 1)
	})
	Convey("a permit of the previous owner, when returned, does not shorten the queue", t, func() {
		ledger, now := settledLedger(engineTraits, 128)
		ledger, _ = ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 8000, 10), 10*time.Second))
		before := ledger.waitMillis(now)
		ledger = ledger.WithHeld(now, "b", coltsfootlink.Held{Target: "t", Requests: []coltsfootlink.HeldRequest{{Serial: 2, Work: prompt(0, 8000, 11), Deadline: now.Add(time.Minute)}}})
		ledger = ledger.WithProgress(now, "b", coltsfootlink.Progress{Serial: 2, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		So(ledger.waitMillis(now), ShouldEqual, before)
	})
}

// TestReturnedPermitsLeaveNoTrace checks that, whichever permits are returned and when, the remaining prompts are
// expected at the times at which they would be read had the returned permits never been granted.
func TestReturnedPermitsLeaveNoTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, now := settledLedger(engineTraits, 128)
		var held []uint64
		for serial := range uint64(rapid.IntRange(1, 30).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			if len(held) > 0 && rapid.Bool().Draw(t, "returns permit") {
				index := rapid.IntRange(0, len(held)-1).Draw(t, "index")
				ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: held[index], Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
				held = append(held[:index:index], held[index+1:]...)
				continue
			}
			work := prompt(0, rapid.IntRange(100, 9000).Draw(t, "tokens"), serial+10)
			ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, work, time.Minute))
			held = append(held, serial)
		}
		queueEndsAt := start
		for _, serial := range held {
			found, _ := ledger.requests.Get(requestID{holder: "a", serial: serial})
			if queueEndsAt.Before(found.grantedAt) {
				queueEndsAt = found.grantedAt
			}
			queueEndsAt = queueEndsAt.Add(durationOf(found.readMillis))
			if deviation := found.expectedAt.Sub(queueEndsAt).Abs(); deviation > time.Millisecond {
				t.Fatalf("prompt is expected %v away from the time at which it is read", deviation)
			}
		}
		wanted := max(0, float64(queueEndsAt.Sub(now))/float64(time.Millisecond))
		if got := ledger.waitMillis(now); got < wanted-1 || got > wanted+1 {
			t.Fatalf("new prompt waits %.0f ms, expected %.0f ms", got, wanted)
		}
	})
}

// TestDelayedFirstEventReports checks that a target does not count as slow when a holder that is short of CPU receives
// first events in time but reports them late.
func TestDelayedFirstEventReports(t *testing.T) {
	cases := map[string]struct {
		delay time.Duration
		// every is the number of requests per delayed report.
		every int
	}{
		"in time":                  {0, 1},
		"500 ms late":              {500 * time.Millisecond, 1},
		"4.5 s late":               {4500 * time.Millisecond, 1},
		"one in two, 250 ms late":  {250 * time.Millisecond, 2},
		"one in five, 250 ms late": {250 * time.Millisecond, 5},
		"one in ten, 4.5 s late":   {4500 * time.Millisecond, 10},
	}
	for name, test := range cases {
		Convey("predictions do not change for other requests: "+name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			read := durationOf(rates.ReadMillis(0, 8000, 0) + rates.FirstEventMillis)
			for serial := range uint64(40) {
				ledger, _ = ledger.WithAsk(now, "flooded", ask(now, serial, prompt(0, 8000, serial+10), 10*time.Second))
				reportedAt := now.Add(read)
				if int(serial)%test.every == 0 {
					reportedAt = reportedAt.Add(test.delay)
				}
				ledger = ledger.WithProgress(reportedAt, "flooded", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent, Millis: int(read.Milliseconds())})
				ledger = ledger.WithProgress(reportedAt, "flooded", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
				now = reportedAt.Add(50 * time.Millisecond)
			}
			_, verdict := ledger.WithAsk(now, "calm", ask(now, 100, prompt(0, 8000, 99), 800*time.Millisecond))
			So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
			So(verdict.ExpectedMillis, ShouldAlmostEqual, read.Milliseconds(), 10)
			So(ledger.slowdown, ShouldAlmostEqual, 1, 0.05)
			So(ledger.lag.Abs(), ShouldBeLessThan, 10*time.Millisecond)
		})
	}
}
