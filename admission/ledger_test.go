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
	rates  = engine.Rates{PromptTokensPerMilli: 100, StepMillis: 4, StepMillisPerRun: 0.1, ChunkTokens: 1000, FirstMillis: 30}
	policy = Policy{
		Rates: rates, ObjectiveShare: 0.75, LargeShare: 0.25, BearableShare: 0.2, SurplusShare: 0.05,
		MemoryShare: 0.9, ColdOverage: 1.5, ColdSlack: 5,
	}
	servedByEngine = coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 500_000, ColdStartDuration: 3 * time.Second, ColdPerSecond: 14}
	plain          = coltsfootlink.PoolTraits{Name: "q"}
)

// settled returns a book whose owner has heard from all others.
func settled(traits coltsfootlink.PoolTraits, slots int) (Book, time.Time) {
	return NewBook(start, coltsfootlink.Target{Name: "t", Pool: traits.Name, Slots: slots}, traits, policy), start.Add(2 * time.Second)
}

// prompt returns work of so many tokens, of which the shared ones come first.
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
		// before brings the book into its state; it returns the time of the question.
		before func(book Book, now time.Time) (Book, time.Time)
		work   coltsfootlink.Work
		reason coltsfootlink.Reason
	}{
		"an idle engine":        {servedByEngine, 128, nil, prompt(500, 1000, 1), ""},
		"an idle plain service": {plain, 6, nil, coltsfootlink.Work{}, ""},
		"an owner that is new": {servedByEngine, 128, func(book Book, _ time.Time) (Book, time.Time) {
			return book, start.Add(settleSpan / 2)
		}, prompt(500, 1000, 1), coltsfootlink.OwnerNew},
		"a target that accepts no connections": {servedByEngine, 128, func(book Book, now time.Time) (Book, time.Time) {
			book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 100, 9), time.Second))
			return book.WithProgress(now, "a", coltsfootlink.Progress{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Refused}), now
		}, prompt(500, 1000, 1), coltsfootlink.TargetDown},
		"a target whose connections break all at once": {servedByEngine, 128, func(book Book, now time.Time) (Book, time.Time) {
			for serial := range uint64(burstCrashes) {
				book, _ = book.WithAsk(now, "a", ask(now, serial, prompt(0, 100, 9), time.Second))
				book = book.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed})
			}
			return book, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetDown},
		"one broken connection among many": {servedByEngine, 128, func(book Book, now time.Time) (Book, time.Time) {
			book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 100, 9), time.Second))
			return book.WithProgress(now, "a", coltsfootlink.Progress{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed}), now
		}, prompt(500, 1000, 1), ""},
		"an engine with much to read": {servedByEngine, 128, func(book Book, now time.Time) (Book, time.Time) {
			for serial := range uint64(3) {
				book, _ = book.WithAsk(now, "a", ask(now, serial, prompt(0, 20_000, serial+10), 10*time.Second))
			}
			return book, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetFull},
		"an engine that owes an event for long": {servedByEngine, 128, func(book Book, now time.Time) (Book, time.Time) {
			book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 1000, 9), time.Second))
			now = now.Add(3 * time.Second)
			book, _ = book.WithAsk(now.Add(-probeInterval/2), "a", ask(now, 2, prompt(0, 1000, 9), time.Second))
			return book, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetSilent},
		"all slots taken": {servedByEngine, 2, func(book Book, now time.Time) (Book, time.Time) {
			for serial := range uint64(2) {
				book, _ = book.WithAsk(now, "a", ask(now, serial, prompt(0, 10, 9), time.Second))
			}
			return book, now
		}, prompt(500, 1000, 1), coltsfootlink.TargetFull},
		"memory taken": {coltsfootlink.PoolTraits{Engine: true, MemoryTokens: 12_000}, 128, func(book Book, now time.Time) (Book, time.Time) {
			book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 10_000, 9), 10*time.Second))
			return book, now
		}, prompt(0, 1000, 1), coltsfootlink.TargetFull},
		"a plain service with its slots taken": {plain, 2, func(book Book, now time.Time) (Book, time.Time) {
			for serial := range uint64(2) {
				book, _ = book.WithAsk(now, "a", ask(now, serial, coltsfootlink.Work{}, time.Second))
			}
			return book, now
		}, coltsfootlink.Work{}, coltsfootlink.TargetFull},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			book, now := settled(test.traits, test.slots)
			if test.before != nil {
				book, now = test.before(book, now)
			}
			_, verdict := book.WithAsk(now, "b", ask(now, 99, test.work, 400*time.Millisecond))
			So(verdict.Reason, ShouldEqual, test.reason)
			if test.reason != "" {
				So(verdict.RetryAt, ShouldHappenAfter, now)
			}
		})
	}
}

func TestStandings(t *testing.T) {
	// So much is to be read that a new prompt waits about 130 ms.
	cases := map[string]struct {
		standing coltsfootlink.Standing
		reason   coltsfootlink.Reason
	}{
		"within the share":          {coltsfootlink.Entitled, ""},
		"what targets could bear":   {coltsfootlink.Bearable, coltsfootlink.TargetFull},
		"beyond what they can do":   {coltsfootlink.Surplus, coltsfootlink.TargetFull},
		"beyond, on an idle target": {coltsfootlink.Surplus, ""},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			book, now := settled(servedByEngine, 128)
			if name != "beyond, on an idle target" {
				book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 10_000, 9), 10*time.Second))
			}
			question := ask(now, 2, prompt(0, 1000, 1), 500*time.Millisecond)
			question.Standing = test.standing
			_, verdict := book.WithAsk(now, "a", question)
			So(verdict.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestColdPace: in no second does a cold target get more than half of what it bears, so that two instances
// that both take themselves for its owner do it no harm.
func TestColdPace(t *testing.T) {
	bearable := servedByEngine.ColdPerSecond*policy.ColdOverage + policy.ColdSlack
	rapid.Check(t, func(t *rapid.T) {
		book := NewBook(start, coltsfootlink.Target{Name: "t", Slots: 128, ColdUntil: start.Add(time.Hour)}, servedByEngine, policy)
		now := start
		var granted []time.Time
		for serial := range uint64(rapid.IntRange(1, 200).Draw(t, "questions")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			var verdict coltsfootlink.Verdict
			book, verdict = book.WithAsk(now, "a", ask(now, serial, prompt(0, 10, serial), time.Second))
			if verdict.Reason == "" {
				granted = append(granted, now)
				book = book.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
			}
		}
		for _, end := range granted {
			if count := len(granted) - len(after(granted, end)) - (len(granted) - len(after(granted, end.Add(-time.Second)))); float64(count) > bearable/2 {
				t.Fatalf("%d requests in the second before %v", count, end)
			}
		}
		if len(granted) > 0 && granted[0].Before(start.Add(paceWindow)) {
			t.Fatalf("a new owner grants after %v", granted[0].Sub(start))
		}
	})
}

// TestExpectations: prompts that are read as slowly as the model says, or at another pace, are expected in time.
func TestExpectations(t *testing.T) {
	cases := map[string]struct {
		// pace is the engine's true pace.
		pace float64
	}{
		"as the model says": {1},
		"slower":            {1.5},
		"faster":            {0.7},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			book, now := settled(servedByEngine, 128)
			free := now
			var worst time.Duration
			for serial := range uint64(200) {
				work := prompt(0, 8000, serial+10)
				read := spanOf(test.pace * rates.ReadMillis(0, 8000, 0))
				var verdict coltsfootlink.Verdict
				book, verdict = book.WithAsk(now, "a", ask(now, serial, work, 10*time.Second))
				So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
				if free.Before(now) {
					free = now
				}
				free = free.Add(read)
				event := free.Add(spanOf(rates.FirstMillis))
				book = book.WithProgress(event, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent})
				book = book.WithProgress(event, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
				expected := now.Add(time.Duration(verdict.ExpectedMillis) * time.Millisecond)
				if serial > 150 {
					worst = max(worst, expected.Sub(event).Abs())
				}
				now = event.Add(100 * time.Millisecond)
			}
			So(worst, ShouldBeLessThan, spanOf(0.1*rates.ReadMillis(0, 8000, 0)))
		})
	}
}

// TestLostConnections holds for connections that break while the target runs other requests.
func TestLostConnections(t *testing.T) {
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
			book, now := settled(servedByEngine, 128)
			for serial := range uint64(test.running) {
				book, _ = book.WithAsk(now, "a", ask(now, serial, prompt(0, 10, serial), time.Second))
			}
			for serial := range uint64(test.broken) {
				now = now.Add(time.Millisecond)
				book = book.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed})
			}
			later := now.Add(2 * burstSpan)
			So(book.cold(now), ShouldBeTrue)
			So(book.cold(later), ShouldEqual, test.cold)
			So(later.Before(book.blockedUntil), ShouldEqual, test.blocked)
		})
	}
}

// TestReports holds for work on a target that was left behind by instances that are gone.
func TestReports(t *testing.T) {
	cases := map[string]struct {
		report coltsfootlink.EngineReport
		slots  int
		reason coltsfootlink.Reason
	}{
		"nothing but the owner's own":    {coltsfootlink.EngineReport{Running: 1}, 2, ""},
		"others run":                     {coltsfootlink.EngineReport{Running: 2}, 2, coltsfootlink.TargetFull},
		"others run where there is room": {coltsfootlink.EngineReport{Running: 10}, 128, ""},
		"others wait":                    {coltsfootlink.EngineReport{Running: 10, Waiting: 8}, 128, coltsfootlink.TargetFull},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			book, now := settled(servedByEngine, test.slots)
			book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 10, 9), time.Second))
			book = book.WithReport(now, test.report)
			_, verdict := book.WithAsk(now, "b", ask(now, 2, prompt(0, 1000, 1), 400*time.Millisecond))
			So(verdict.Reason, ShouldEqual, test.reason)
		})
	}
	Convey("a new owner asks, and goes on while others' work is left", t, func() {
		book, _ := settled(servedByEngine, 128)
		book, wanted := book.WithProbe(start)
		So(wanted, ShouldBeTrue)
		book, wanted = book.WithProbe(start.Add(reportInterval / 2))
		So(wanted, ShouldBeFalse)
		late := start.Add(probeSpan + time.Second)
		_, wanted = book.WithProbe(late)
		So(wanted, ShouldBeFalse)
		_, wanted = book.WithReport(late, coltsfootlink.EngineReport{Running: 3}).WithProbe(late)
		So(wanted, ShouldBeTrue)
	})
}

func TestTakeover(t *testing.T) {
	Convey("a new owner counts what others hold, and forgets it with them", t, func() {
		book, now := settled(servedByEngine, 2)
		held := coltsfootlink.Held{Target: "t", Requests: []coltsfootlink.HeldRequest{
			{Serial: 1, Work: prompt(0, 1000, 1), Deadline: now.Add(time.Minute)},
			{Serial: 2, Work: prompt(0, 1000, 2), Deadline: now.Add(time.Second), FirstEventReceived: true},
		}}
		book = book.WithHeld(now, "a", held).WithHeld(now, "a", held)
		question := ask(now, 9, prompt(0, 100, 3), time.Second)
		_, verdict := book.WithAsk(now, "b", question)
		So(verdict.Reason, ShouldEqual, coltsfootlink.TargetFull)
		_, verdict = book.WithoutHolder("a").WithAsk(now, "b", question)
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
		_, verdict = book.WithoutExpired(now.Add(2*time.Second)).WithAsk(now, "b", question)
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
	})
	Convey("a target that started again runs nothing and keeps nothing", t, func() {
		book, now := settled(servedByEngine, 1)
		book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 100, 3), time.Second))
		book = book.WithTarget(coltsfootlink.Target{Name: "t", Slots: 1, Incarnation: 7}, servedByEngine)
		So(book.cache.Kept(prompt(0, 100, 3)), ShouldEqual, 0)
		_, verdict := book.WithAsk(now, "b", ask(now, 2, prompt(0, 100, 3), time.Second))
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
	})
}

// TestPermitsGivenBack holds for prompts that are let in and never read, or not to their end.
func TestPermitsGivenBack(t *testing.T) {
	cases := map[string]struct {
		result coltsfootlink.Result
		// read says that the first event comes before the end.
		read bool
		// after is the time from the permit to the end.
		after time.Duration
		// left is the part of the reading time for which another prompt waits then.
		left float64
	}{
		"at once":                              {coltsfootlink.Unused, false, 0, 0},
		"when it might have been read by half": {coltsfootlink.Unused, false, 50 * time.Millisecond, 0},
		"a target that takes no connection":    {coltsfootlink.Refused, false, 0, 0},
		"a caller that leaves at once":         {coltsfootlink.Cancelled, false, 0, 0},
		"a caller that leaves later":           {coltsfootlink.Cancelled, false, 50 * time.Millisecond, 0},
		"a prompt that may have been read":     {coltsfootlink.Crashed, false, 0, 1},
	}
	for name, test := range cases {
		Convey("what is not read leaves no wait behind: "+name, t, func() {
			book, now := settled(servedByEngine, 128)
			book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 8000, 10), 10*time.Second))
			now = now.Add(test.after)
			book = book.WithProgress(now, "a", coltsfootlink.Progress{Serial: 1, Stage: coltsfootlink.Ended, Result: test.result})
			So(book.waitMillis(now), ShouldAlmostEqual, test.left*rates.ReadMillis(0, 8000, 0), 1)
		})
	}
	Convey("ten that come back make no target full", t, func() {
		book, now := settled(servedByEngine, 128)
		for serial := range uint64(10) {
			var verdict coltsfootlink.Verdict
			book, verdict = book.WithAsk(now, "flooded", ask(now, serial, prompt(0, 8000, serial+10), 10*time.Second))
			So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
			book = book.WithProgress(now, "flooded", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		}
		So(book.runs.Len(), ShouldEqual, 0)
		_, verdict := book.WithAsk(now, "calm", ask(now, 100, prompt(0, 8000, 99), 800*time.Millisecond))
		So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
		So(verdict.WaitMillis, ShouldEqual, 0)
	})
	Convey("a prompt that was half read leaves the others what they have to read", t, func() {
		book, now := settled(servedByEngine, 128)
		for serial := range uint64(2) {
			book, _ = book.WithAsk(now, "a", ask(now, serial, prompt(0, 8000, serial+10), 10*time.Second))
		}
		second, _ := book.runs.Get(runID{holder: "a", serial: 1})
		now = now.Add(spanOf(rates.ReadMillis(0, 8000, 0) / 2))
		book = book.WithProgress(now, "a", coltsfootlink.Progress{Serial: 0, Stage: coltsfootlink.Ended, Result: coltsfootlink.Cancelled})
		So(book.waitMillis(now), ShouldAlmostEqual, second.readMillis, 1)
	})
	Convey("what another owner let in is not taken off", t, func() {
		book, now := settled(servedByEngine, 128)
		book, _ = book.WithAsk(now, "a", ask(now, 1, prompt(0, 8000, 10), 10*time.Second))
		before := book.waitMillis(now)
		book = book.WithHeld(now, "b", coltsfootlink.Held{Target: "t", Requests: []coltsfootlink.HeldRequest{{Serial: 2, Work: prompt(0, 8000, 11), Deadline: now.Add(time.Minute)}}})
		book = book.WithProgress(now, "b", coltsfootlink.Progress{Serial: 2, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		So(book.waitMillis(now), ShouldEqual, before)
	})
}

// TestGivenBackLeavesWhatOthersTake: whichever permits come back, and when, the others wait as if these had never been.
func TestGivenBackLeavesWhatOthersTake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book, now := settled(servedByEngine, 128)
		var held []uint64
		for serial := range uint64(rapid.IntRange(1, 30).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			if len(held) > 0 && rapid.Bool().Draw(t, "gives back") {
				place := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				book = book.WithProgress(now, "a", coltsfootlink.Progress{Serial: held[place], Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
				held = append(held[:place:place], held[place+1:]...)
				continue
			}
			work := prompt(0, rapid.IntRange(100, 9000).Draw(t, "tokens"), serial+10)
			book, _ = book.WithAsk(now, "a", ask(now, serial, work, time.Minute))
			held = append(held, serial)
		}
		clearAt := start
		for _, serial := range held {
			run, _ := book.runs.Get(runID{holder: "a", serial: serial})
			if clearAt.Before(run.grantedAt) {
				clearAt = run.grantedAt
			}
			clearAt = clearAt.Add(spanOf(run.readMillis))
			if apart := run.expectedAt.Sub(clearAt).Abs(); apart > time.Millisecond {
				t.Fatalf("a prompt is expected %v apart from when it is read", apart)
			}
		}
		wanted := max(0, float64(clearAt.Sub(now))/float64(time.Millisecond))
		if got := book.waitMillis(now); got < wanted-1 || got > wanted+1 {
			t.Fatalf("a prompt waits %.0f ms, and not %.0f", got, wanted)
		}
	})
}

// TestHoldersThatAreBehind holds for first events that are seen in time and told late.
func TestHoldersThatAreBehind(t *testing.T) {
	cases := map[string]struct {
		late time.Duration
		// every is how many of the requests there are for each one that is told late.
		every int
	}{
		"in time":                  {0, 1},
		"half a second late":       {500 * time.Millisecond, 1},
		"4.5 s late":               {4500 * time.Millisecond, 1},
		"one in two, 250 ms late":  {250 * time.Millisecond, 2},
		"one in five, 250 ms late": {250 * time.Millisecond, 5},
		"one in ten, 4.5 s late":   {4500 * time.Millisecond, 10},
	}
	for name, test := range cases {
		Convey("a target is no slower for others: "+name, t, func() {
			book, now := settled(servedByEngine, 128)
			read := spanOf(rates.ReadMillis(0, 8000, 0) + rates.FirstMillis)
			for serial := range uint64(40) {
				book, _ = book.WithAsk(now, "flooded", ask(now, serial, prompt(0, 8000, serial+10), 10*time.Second))
				told := now.Add(read)
				if int(serial)%test.every == 0 {
					told = told.Add(test.late)
				}
				book = book.WithProgress(told, "flooded", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent, Millis: int(read.Milliseconds())})
				book = book.WithProgress(told, "flooded", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
				now = told.Add(50 * time.Millisecond)
			}
			_, verdict := book.WithAsk(now, "calm", ask(now, 100, prompt(0, 8000, 99), 800*time.Millisecond))
			So(verdict.Reason, ShouldEqual, coltsfootlink.Reason(""))
			So(verdict.ExpectedMillis, ShouldAlmostEqual, read.Milliseconds(), 10)
			So(book.pace, ShouldAlmostEqual, 1, 0.05)
			So(book.shift.Abs(), ShouldBeLessThan, 10*time.Millisecond)
		})
	}
}
