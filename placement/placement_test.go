package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/engine"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	rates = engine.Rates{PromptTokensPerMilli: 112, PairsMillis: 0.2, StepMillis: 3.41, StepMillisPerRequest: 0.1, ChunkTokens: 1024, FirstEventMillis: 35}
)

// poolOf returns a catalog with a number of targets of pool p, in turn in each of the zones.
func poolOf(count int, zones ...coltsfootlink.ZoneName) coltsfootlink.Catalog {
	targets := make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	for index := range count {
		name := coltsfootlink.TargetName(fmt.Sprint("t-", index))
		targets[name] = coltsfootlink.Target{Name: name, Pool: "p", Zone: zones[index%len(zones)], Incarnation: 7, Slots: 4}
	}
	return coltsfootlink.Catalog{}.WithTargets(targets)
}

// newState returns the state of an instance while the zones a, b and c have live instances.
func newState(zone coltsfootlink.ZoneName) State {
	return NewState(zone, rates).WithLive(map[coltsfootlink.ZoneName]bool{"a": true, "b": true, "c": true})
}

// prefixed returns a request with a shared prefix.
func prefixed(key uint64) Request {
	return Request{Pool: "p", Work: coltsfootlink.Work{Prompt: []coltsfootlink.CachePart{{Key: key, Tokens: 112}, {Key: key + 1}}, PromptTokens: 200}}
}

func speedOf(index int, speed float64) coltsfootlink.TargetSpeed {
	return coltsfootlink.TargetSpeed{Target: coltsfootlink.TargetName(fmt.Sprint("t-", index)), Incarnation: 7, Speed: speed}
}

// home returns the first candidate of a prefix.
func (state State) home(catalog coltsfootlink.Catalog, key uint64) coltsfootlink.TargetName {
	return state.Candidates(catalog, prefixed(key))[0].Name
}

// TestOrder guards against another order of any candidate than that of rendezvous hashing, with the best target of the own
// zone first if that is preferred. While nothing is announced, another order would move all prefixes during an upgrade.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalog := poolOf(rapid.IntRange(0, 40).Draw(t, "targets"), "a", "b", "c")
		request := prefixed(rapid.Uint64Range(1, 1<<63).Draw(t, "key"))
		if rapid.Bool().Draw(t, "plain") {
			request = Request{Pool: "p", Draw: rapid.Uint64().Draw(t, "draw")}
		}
		zone := coltsfootlink.ZoneName(rapid.SampledFrom([]string{"a", "b", "d"}).Draw(t, "zone"))
		request.OwnZone = request.Work.Affinity() != 0 && rapid.Bool().Draw(t, "own zone")
		var announced []coltsfootlink.TargetSpeed
		if rapid.Bool().Draw(t, "weighted") {
			for index := range len(catalog.Targets) {
				announced = append(announced, speedOf(index, float64(rapid.IntRange(5, 20).Draw(t, "tenths"))/10))
			}
		}
		live := make(map[coltsfootlink.ZoneName]bool)
		for _, name := range []coltsfootlink.ZoneName{"a", "b", "c"} {
			live[name] = rapid.IntRange(0, 4).Draw(t, "cut off") > 0
		}
		request.Avoid = make(map[coltsfootlink.TargetName]bool)
		var inLive, inOthers []coltsfootlink.TargetName
		for index := range len(catalog.Targets) {
			target := catalog.Targets[speedOf(index, 1).Target]
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				request.Avoid[target.Name] = true
			case 1:
				catalog = catalog.WithTarget(target.WithLeaving(true))
			default:
				if live[target.Zone] {
					inLive = append(inLive, target.Name)
				} else {
					inOthers = append(inOthers, target.Name)
				}
			}
		}
		state := NewState(zone, rates).WithLive(live).WithSpeeds(start, announced).WithCatalog(start, catalog)
		expected := inLive
		if len(expected) == 0 {
			expected = inOthers
		}
		for range 10 {
			checkOrder(t, state, catalog, request, expected)
			if request.Work.Affinity() != 0 {
				request.Work.Prompt[0].Key++
			}
			request.Draw++
		}
	})
}

// checkOrder checks the candidates of a request against all targets that it may be offered to.
func checkOrder(t *rapid.T, state State, catalog coltsfootlink.Catalog, request Request, offered []coltsfootlink.TargetName) {
	key := cmp.Or(request.Work.Affinity(), request.Draw)
	expected := slices.SortedFunc(slices.Values(offered), func(one, other coltsfootlink.TargetName) int {
		local := catalog.Targets[one].Zone == state.zone
		switch {
		case request.Work.Affinity() == 0 && local != (catalog.Targets[other].Zone == state.zone):
			return map[bool]int{true: -1, false: 1}[local]
		case request.Work.Affinity() == 0 || len(state.speeds) == 0:
			return cmp.Compare(hash(other, key), hash(one, key))
		default:
			return cmp.Compare(announcedScore(state, other, key), announcedScore(state, one, key))
		}
	})
	isOwn := func(name coltsfootlink.TargetName) bool {
		return state.live[state.zone] && catalog.Targets[name].Zone == state.zone
	}
	if best := slices.IndexFunc(expected, isOwn); request.OwnZone && best > 0 {
		name := expected[best]
		expected = slices.Insert(slices.Delete(expected, best, best+1), 0, name)
	}
	var ranked []coltsfootlink.TargetName
	for _, target := range state.Candidates(catalog, request) {
		ranked = append(ranked, target.Name)
	}
	if !slices.Equal(ranked, expected[:min(3, len(expected))]) {
		t.Fatalf("candidates %v, expected the first of %v", ranked, expected)
	}
}

// announcedScore returns the score of weighted rendezvous hashing with a target's announced speed as its weight.
func announcedScore(state State, name coltsfootlink.TargetName, key uint64) float64 {
	return -state.speeds[name].speed / math.Log(float64(hash(name, key))/(1<<64))
}

// TestWeights guards against weights by announcements that no longer hold, or that move the prefixes of even targets.
func TestWeights(t *testing.T) {
	slowQuarter := []coltsfootlink.TargetSpeed{speedOf(0, 0.6), speedOf(1, 1.2), speedOf(2, 1.2), speedOf(3, 1.2)}
	cases := map[string]struct {
		announced []coltsfootlink.TargetSpeed
		age       time.Duration
		expected  map[coltsfootlink.TargetName]float64
	}{
		"nothing announced":                           {nil, 0, nil},
		"a slow target":                               {[]coltsfootlink.TargetSpeed{speedOf(0, 0.5)}, 0, map[coltsfootlink.TargetName]float64{"t-0": 0.5}},
		"relative to the median of the pool":          {slowQuarter, 0, map[coltsfootlink.TargetName]float64{"t-0": 0.5}},
		"all faster than the settings":                {[]coltsfootlink.TargetSpeed{speedOf(0, 1.2), speedOf(1, 1.2), speedOf(2, 1.2), speedOf(3, 1.2)}, 0, nil},
		"back at the speed of the others":             {[]coltsfootlink.TargetSpeed{speedOf(0, 0.5), speedOf(0, 1)}, 0, nil},
		"after one lost repetition":                   {slowQuarter, 11 * time.Second, map[coltsfootlink.TargetName]float64{"t-0": 0.5}},
		"not repeated any more":                       {slowQuarter, 12 * time.Second, nil},
		"of an earlier incarnation":                   {[]coltsfootlink.TargetSpeed{{Target: "t-0", Incarnation: 6, Speed: 0.5}}, 0, nil},
		"of an incarnation not yet in the catalog":    {[]coltsfootlink.TargetSpeed{{Target: "t-0", Incarnation: 8, Speed: 0.5}}, 0, nil},
		"a late one of an earlier incarnation":        {[]coltsfootlink.TargetSpeed{speedOf(0, 0.5), {Target: "t-0", Incarnation: 6, Speed: 2}}, 0, map[coltsfootlink.TargetName]float64{"t-0": 0.5}},
		"of a target that is not in the catalog":      {[]coltsfootlink.TargetSpeed{speedOf(99, 0.5)}, 0, nil},
		"no number":                                   {[]coltsfootlink.TargetSpeed{speedOf(0, math.NaN()), speedOf(1, math.Inf(1)), speedOf(2, 0), speedOf(3, -1)}, 0, nil},
		"beyond what owners measure":                  {[]coltsfootlink.TargetSpeed{speedOf(0, 1e-9), speedOf(1, 1e9)}, 0, map[coltsfootlink.TargetName]float64{"t-0": 0.25, "t-1": 2.5}},
		"half of the targets are slow: relative to 1": {[]coltsfootlink.TargetSpeed{speedOf(0, 0.5), speedOf(1, 0.5)}, 0, map[coltsfootlink.TargetName]float64{"t-0": 0.5, "t-1": 0.5}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			catalog := poolOf(4, "a", "b")
			state := newState("a").WithSpeeds(start, test.announced).WithCatalog(start.Add(test.age), catalog)
			So(state.Weights("p").byTarget, ShouldResemble, test.expected)
		})
	}
}

// TestSharesOfUnevenTargets guards against slow targets that are the home of more prefixes than their speed allows. The
// tolerance is five standard deviations of the number of prefixes of a target.
func TestSharesOfUnevenTargets(t *testing.T) {
	const prefixes, targets = 20_000, 40
	cases := map[string]func(index int) float64{
		"even targets":                func(int) float64 { return 1 },
		"a quarter at less than half": func(index int) float64 { return map[bool]float64{true: 0.5, false: 1.2}[index%4 == 0] },
		"one at double speed":         func(index int) float64 { return map[bool]float64{true: 2, false: 1}[index == 0] },
	}
	for name, speedOfTarget := range cases {
		Convey(name, t, func() {
			catalog := poolOf(targets, "a", "b", "c")
			var announced []coltsfootlink.TargetSpeed
			sum := 0.0
			for index := range targets {
				announced = append(announced, speedOf(index, speedOfTarget(index)))
				sum += speedOfTarget(index)
			}
			state := newState("a").WithSpeeds(start, announced).WithCatalog(start, catalog)
			homes := make(map[coltsfootlink.TargetName]int)
			for key := range uint64(prefixes) {
				homes[state.home(catalog, key+1)]++
			}
			for index := range targets {
				expected := prefixes * speedOfTarget(index) / sum
				So(float64(homes[speedOf(index, 1).Target]), ShouldAlmostEqual, expected, 5*math.Sqrt(expected))
			}
		})
	}
}

// TestChangedWeightMovesFewPrefixes guards against a change of one target's weight that moves prefixes between other
// targets, which would have to read them again.
func TestChangedWeightMovesFewPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prefixes, targets = 300, 12
		catalog := poolOf(targets, "a", "b", "c")
		steps := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(5, 20).Draw(t, "tenths")) / 10 })
		// Speeds of up to four targets leave the median at 1.
		before := newState("a").WithSpeeds(start, []coltsfootlink.TargetSpeed{speedOf(0, steps.Draw(t, "first")), speedOf(1, steps.Draw(t, "second"))})
		changed := speedOf(rapid.IntRange(0, 3).Draw(t, "target"), steps.Draw(t, "changed"))
		after := before.WithSpeeds(start, []coltsfootlink.TargetSpeed{changed}).WithCatalog(start, catalog)
		before = before.WithCatalog(start, catalog)
		weight := func(state State) float64 { return cmp.Or(state.Weights("p").byTarget[changed.Target], 1) }
		offset := rapid.Uint64Range(1, 1<<60).Draw(t, "offset")
		for key := range uint64(prefixes) {
			from, to := before.home(catalog, offset+key), after.home(catalog, offset+key)
			switch {
			case from == to:
			case weight(after) > weight(before) && to == changed.Target:
			case weight(after) < weight(before) && from == changed.Target:
			default:
				t.Fatalf("prefix moved from %s to %s when the weight of %s changed from %v to %v", from, to, changed.Target, weight(before), weight(after))
			}
		}
	})
}

// BenchmarkCandidates measures the ranking of the 150 targets of a large pool.
func BenchmarkCandidates(b *testing.B) {
	cases := map[string]int{"even": 0, "a quarter weighted": 4, "half weighted": 2, "own zone first": 0}
	for name, every := range cases {
		b.Run(name, func(b *testing.B) {
			catalog := poolOf(150, "a", "b", "c")
			state := newState("a")
			for index := range 150 {
				if every > 0 && index%every == 1 {
					state = state.WithSpeeds(start, []coltsfootlink.TargetSpeed{speedOf(index, 0.5)})
				}
			}
			state = state.WithCatalog(start, catalog)
			request := prefixed(1)
			request.OwnZone = name == "own zone first"
			b.ReportAllocs()
			for b.Loop() {
				request.Work.Prompt[0].Key++
				state.Candidates(catalog, request)
			}
		})
	}
}
