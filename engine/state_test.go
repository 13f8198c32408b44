package engine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

var traits = Traits{Rates: rates, Slots: 4, MemoryTokens: 20_000, EventTokens: 6}

// finish runs an engine until nothing is left, and returns when each job's first event came and when it ended.
func finish(state State) (State, map[uint64]time.Time, map[uint64]time.Time, []Occurrence) {
	first, ended := make(map[uint64]time.Time), make(map[uint64]time.Time)
	var all []Occurrence
	for at, runs := state.NextAt(); runs; at, runs = state.NextAt() {
		var occurrences []Occurrence
		state, occurrences = state.WithTime(at)
		all = append(all, occurrences...)
		for _, seen := range occurrences {
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
		// firstAt is about when the last job's first event comes, in milliseconds.
		firstAt     float64
		read, found int
	}{
		// A thousand tokens take 10 ms and one step of 4.1, six tokens six more steps.
		"one prompt":                        {[]coltsfootlink.Work{short(prompt(0, 1000, 1))}, 14.1 + 6*4.1, 1000, 0},
		"a prompt that is partly kept":      {[]coltsfootlink.Work{short(prompt(900, 100, 1)), short(prompt(900, 100, 4))}, 0, 1100, 900},
		"a prompt of several chunks":        {[]coltsfootlink.Work{short(prompt(0, 3000, 1))}, 3*14.1 + 6*4.1, 3000, 0},
		"a prompt behind another":           {[]coltsfootlink.Work{short(prompt(0, 2000, 1)), short(prompt(0, 1000, 2))}, 3*14.2 + 6*4.2, 3000, 0},
		"more than runs at once":            {[]coltsfootlink.Work{short(prompt(0, 10, 1)), short(prompt(0, 10, 2)), short(prompt(0, 10, 3)), short(prompt(0, 10, 4)), short(prompt(0, 10, 5))}, 0, 50, 0},
		"more than the memory holds":        {[]coltsfootlink.Work{short(prompt(0, 15_000, 1)), short(prompt(0, 15_000, 2))}, 0, 30_000, 0},
		"one that is larger than all of it": {[]coltsfootlink.Work{short(prompt(0, 30_000, 1))}, 0, 30_000, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(traits)
			for place, work := range test.jobs {
				state = state.WithJob(start, Job{ID: uint64(place), Work: work})
			}
			state, first, ended, _ := finish(state)
			So(ended, ShouldHaveLength, len(test.jobs))
			if test.firstAt > 0 {
				So(millis(first[uint64(len(test.jobs)-1)]), ShouldAlmostEqual, test.firstAt, 1)
			}
			read, found := state.Read()
			So(read, ShouldEqual, test.read)
			So(found, ShouldEqual, test.found)
			So(state.Report(), ShouldResemble, coltsfootlink.EngineReport{})
		})
	}
	Convey("what is given up makes room", t, func() {
		state := NewState(traits).WithJob(start, Job{ID: 1, Work: prompt(0, 15_000, 1)}).WithJob(start, Job{ID: 2, Work: prompt(0, 15_000, 2)})
		So(state.Report(), ShouldResemble, coltsfootlink.EngineReport{Running: 1, Waiting: 1})
		state, _ = state.WithoutJob(1).WithTime(start.Add(time.Second))
		So(state.Report().Waiting, ShouldEqual, 0)
	})
	Convey("the owner's expectation is what an idle engine does", t, func() {
		for _, tokens := range []int{100, 1000, 5000, 12_000} {
			state := NewState(traits).WithJob(start, Job{ID: 1, Work: short(prompt(0, tokens, 1))})
			_, first, _, _ := finish(state)
			So(millis(first[1]), ShouldAlmostEqual, rates.ReadMillis(0, tokens, 1)+rates.FirstMillis, 10)
		}
	})
}

// TestStreams: whatever comes, each stream has all of its events in order, and then ends.
func TestStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState(traits)
		now := start
		wanted := make(map[uint64]int)
		seen := make(map[uint64]int)
		take := func(occurrences []Occurrence) {
			for _, one := range occurrences {
				// A request that was put back begins again, so that its events come once more.
				if one.Events > seen[one.Job]+1 {
					t.Fatalf("job %d: event %d after %d", one.Job, one.Events, seen[one.Job])
				}
				seen[one.Job] = one.Events
				if one.Ended != (one.Events == wanted[one.Job]) {
					t.Fatalf("job %d: event %d of %d, ended %t", one.Job, one.Events, wanted[one.Job], one.Ended)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 20).Draw(t, "jobs")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			var occurrences []Occurrence
			state, occurrences = state.WithTime(now)
			take(occurrences)
			work := prompt(rapid.IntRange(0, 2000).Draw(t, "shared"), rapid.IntRange(1, 9000).Draw(t, "own"), id)
			work.OutputTokens = rapid.IntRange(1, 200).Draw(t, "output")
			wanted[id] = (work.OutputTokens + traits.EventTokens - 1) / traits.EventTokens
			state = state.WithJob(now, Job{ID: id, Work: work})
		}
		_, _, ended, rest := finish(state)
		take(rest)
		for id, events := range wanted {
			if seen[id] != events {
				t.Fatalf("job %d has %d of %d events, ended at %v", id, seen[id], events, ended[id])
			}
		}
	})
}
