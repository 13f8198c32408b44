package engine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

var traits = Traits{Rates: rates, Slots: 4, MemoryTokens: 20_000, EventTokens: 6}

// runToEnd runs an engine until it is idle, and returns when each job's first event came, when it ended, and all
// events.
func runToEnd(state State) (State, map[uint64]time.Time, map[uint64]time.Time, []Event) {
	first, ended := make(map[uint64]time.Time), make(map[uint64]time.Time)
	var all []Event
	for at, runs := state.NextAt(); runs; at, runs = state.NextAt() {
		var events []Event
		state, events = state.WithTime(at)
		all = append(all, events...)
		for _, seen := range events {
			if _, known := first[seen.Job]; !known {
				first[seen.Job] = seen.At
			}
			if seen.Ended {
				ended[seen.Job] = seen.At
			}
		}
	}
	return state, first, ended, all
}

func TestEngine(t *testing.T) {
	short := func(work coltsfootlink.Work) coltsfootlink.Work {
		work.OutputTokens = 12
		return work
	}
	millis := func(at time.Time) float64 { return float64(at.Sub(start)) / float64(time.Millisecond) }
	cases := map[string]struct {
		jobs []coltsfootlink.Work
		// firstAt is the approximate time of the last job's first event in milliseconds; zero if it is not checked.
		firstAt      float64
		read, cached int
	}{
		// Reading 1000 tokens takes 10 ms and one step of 4.1 ms; generating the 6 tokens of an event takes 6 more steps.
		"one prompt":                                  {[]coltsfootlink.Work{short(prompt(0, 1000, 1))}, 14.1 + 6*4.1, 1000, 0},
		"a prompt that is partly cached":              {[]coltsfootlink.Work{short(prompt(900, 100, 1)), short(prompt(900, 100, 4))}, 0, 1100, 900},
		"a prompt of several chunks":                  {[]coltsfootlink.Work{short(prompt(0, 3000, 1))}, 3*14.1 + 6*4.1, 3000, 0},
		"a prompt queued after another":               {[]coltsfootlink.Work{short(prompt(0, 2000, 1)), short(prompt(0, 1000, 2))}, 3*14.2 + 6*4.2, 3000, 0},
		"more requests than slots":                    {[]coltsfootlink.Work{short(prompt(0, 10, 1)), short(prompt(0, 10, 2)), short(prompt(0, 10, 3)), short(prompt(0, 10, 4)), short(prompt(0, 10, 5))}, 0, 50, 0},
		"two prompts that exceed the memory together": {[]coltsfootlink.Work{short(prompt(0, 15_000, 1)), short(prompt(0, 15_000, 2))}, 0, 30_000, 0},
		"one prompt larger than the memory":           {[]coltsfootlink.Work{short(prompt(0, 30_000, 1))}, 0, 30_000, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(traits)
			for index, work := range test.jobs {
				state = state.WithJob(start, Job{ID: uint64(index), Work: work})
			}
			state, first, ended, _ := runToEnd(state)
			So(ended, ShouldHaveLength, len(test.jobs))
			if test.firstAt > 0 {
				So(millis(first[uint64(len(test.jobs)-1)]), ShouldAlmostEqual, test.firstAt, 1)
			}
			read, cached := state.PromptTokens()
			So(read, ShouldEqual, test.read)
			So(cached, ShouldEqual, test.cached)
			So(state.Report(), ShouldResemble, coltsfootlink.EngineReport{})
		})
	}
	Convey("a cancelled request frees its memory", t, func() {
		state := NewState(traits).WithJob(start, Job{ID: 1, Work: prompt(0, 15_000, 1)}).WithJob(start, Job{ID: 2, Work: prompt(0, 15_000, 2)})
		So(state.Report(), ShouldResemble, coltsfootlink.EngineReport{Running: 1, Waiting: 1})
		state, _ = state.WithoutJob(1).WithTime(start.Add(time.Second))
		So(state.Report().Waiting, ShouldEqual, 0)
	})
	Convey("predictions from the rates match an idle engine", t, func() {
		for _, tokens := range []int{100, 1000, 5000, 12_000} {
			state := NewState(traits).WithJob(start, Job{ID: 1, Work: short(prompt(0, tokens, 1))})
			_, first, _, _ := runToEnd(state)
			So(millis(first[1]), ShouldAlmostEqual, rates.ReadMillis(0, tokens, 1)+rates.FirstEventMillis, 10)
		}
	})
}

// TestStreams checks that each stream has all of its events in order and then ends, whatever requests arrive and when.
func TestStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState(traits)
		now := start
		wanted := make(map[uint64]int)
		seen := make(map[uint64]int)
		check := func(events []Event) {
			for _, one := range events {
				// A preempted request starts over, so that its events come again.
				if one.Number > seen[one.Job]+1 {
					t.Fatalf("job %d: event %d follows event %d", one.Job, one.Number, seen[one.Job])
				}
				seen[one.Job] = one.Number
				if one.Ended != (one.Number == wanted[one.Job]) {
					t.Fatalf("job %d: event %d of %d, ended %t", one.Job, one.Number, wanted[one.Job], one.Ended)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 20).Draw(t, "jobs")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			var events []Event
			state, events = state.WithTime(now)
			check(events)
			work := prompt(rapid.IntRange(0, 2000).Draw(t, "shared"), rapid.IntRange(1, 9000).Draw(t, "own"), id)
			work.OutputTokens = rapid.IntRange(1, 200).Draw(t, "output")
			wanted[id] = (work.OutputTokens + traits.EventTokens - 1) / traits.EventTokens
			state = state.WithJob(now, Job{ID: id, Work: work})
		}
		_, _, ended, rest := runToEnd(state)
		check(rest)
		for id, events := range wanted {
			if seen[id] != events {
				t.Fatalf("job %d: got %d of %d events, ended at %v", id, seen[id], events, ended[id])
			}
		}
	})
}
