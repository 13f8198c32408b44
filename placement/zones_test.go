package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

type parts = map[coltsfootlink.ZoneName]float64

// demandOf returns an announcement of the zones' demand in proportion to the given rates.
func demandOf(rates parts) []coltsfootlink.ZoneDemand {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	var demands []coltsfootlink.ZoneDemand
	for zone, rate := range rates {
		demands = append(demands, coltsfootlink.ZoneDemand{Zone: zone, Fraction: rate / sum})
	}
	return demands
}

// TestZones guards against a preference for the own zone that no observed demand calls for, and against one that gives the
// targets of a zone more than their part of the load.
func TestZones(t *testing.T) {
	all, some := []coltsfootlink.ZoneName{"a", "b", "c"}, []coltsfootlink.ZoneName{"a"}
	even, five := parts{"a": 1, "b": 1, "c": 1}, parts{"a": 5, "b": 1, "c": 1}
	cases := map[string]struct {
		targets  []coltsfootlink.ZoneName
		live     []coltsfootlink.ZoneName
		out      coltsfootlink.ZoneName
		before   parts
		demand   parts
		age      time.Duration
		own      coltsfootlink.ZoneName
		uneven   bool
		fraction float64
	}{
		"even demand":                       {all, all, "", nil, even, 0, "a", false, 0},
		"almost even demand":                {all, all, "", nil, parts{"a": 1.9, "b": 1, "c": 1}, 0, "a", false, 0},
		"even demand, fewer targets":        {[]coltsfootlink.ZoneName{"a", "b", "b", "b"}, all, "", nil, parts{"a": 1, "b": 3}, 0, "a", false, 0},
		"no demand known":                   {all, all, "", nil, nil, 0, "a", false, 0},
		"the demand is no longer announced": {all, all, "", nil, five, 3 * time.Second, "a", false, 0},
		"2.5 times, own zone":               {all, all, "", nil, parts{"a": 2.5, "b": 1, "c": 1}, 0, "a", true, 0.4},
		"5 times, own zone":                 {all, all, "", nil, five, 0, "a", true, 0.2},
		"7 times, own zone":                 {all, all, "", nil, parts{"a": 7, "b": 1, "c": 1}, 0, "a", true, 0.1},
		"5 times, other zone":               {all, all, "", nil, five, 0, "b", true, 1},
		"between the factors, was even":     {all, all, "", even, parts{"a": 1.6, "b": 1, "c": 1}, 0, "b", false, 0},
		"between the factors, was uneven":   {all, all, "", five, parts{"a": 1.8, "b": 1, "c": 1}, 0, "b", true, 1},
		"a pool in one zone":                {some, all, "", nil, five, 0, "a", false, 0},
		"a pool in another zone":            {some, all, "", nil, five, 0, "b", false, 0},
		"the other zones are cut off":       {all, some, "", nil, parts{"a": 1}, 0, "a", false, 0},
		"another zone is out of service":    {all, all, "c", nil, even, 0, "a", false, 0},
		"the own zone is out of service":    {all, all, "a", nil, five, 0, "a", false, 0},
		"only the own zone has callers":     {all, all, "", nil, parts{"a": 1}, 0, "a", true, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			catalog, live := poolOf(12, test.targets...).WithZoneOut(test.out, true), make(map[coltsfootlink.ZoneName]bool)
			for _, zone := range test.live {
				live[zone] = true
			}
			state := NewState(test.own, rates).WithLive(live)
			state = state.WithZoneDemand(start, "p", demandOf(test.before)).WithCatalog(start, catalog)
			zones := state.WithZoneDemand(start, "p", demandOf(test.demand)).WithCatalog(start.Add(test.age), catalog).Zones("p")
			So(zones.Uneven, ShouldEqual, test.uneven)
			So(zones.Own, ShouldAlmostEqual, test.fraction, 1e-9)
		})
	}
}

// TestPreference guards against long prefixes that are read once more in each zone, and against a preference for targets
// that have just been full.
func TestPreference(t *testing.T) {
	work := func(tokens int) coltsfootlink.Work {
		return coltsfootlink.Work{Prompt: []coltsfootlink.CachePart{{Key: 9, Tokens: tokens}, {Key: 1}}}
	}
	cases := map[string]struct {
		work      coltsfootlink.Work
		objective time.Duration
		full      time.Duration
		at        time.Duration
		expected  Preference
	}{
		"a cheap prefix":                   {work(570), 400 * time.Millisecond, -time.Minute, 0, Preference{true, true}},
		"a long prefix":                    {work(5400), 800 * time.Millisecond, -time.Minute, 0, Preference{}},
		"a cheap prefix with little time":  {work(570), 100 * time.Millisecond, -time.Minute, 0, Preference{}},
		"after the objective":              {work(570), -time.Second, -time.Minute, 0, Preference{}},
		"no shared prefix":                 {coltsfootlink.Work{Prompt: []coltsfootlink.CachePart{{Key: 1}}}, time.Second, -time.Minute, 0, Preference{}},
		"a plain service":                  {coltsfootlink.Work{}, time.Second, -time.Minute, 0, Preference{}},
		"a target of the zone was full":    {work(570), 400 * time.Millisecond, 0, 999 * time.Millisecond, Preference{false, true}},
		"a target was full a second ago":   {work(570), 400 * time.Millisecond, 0, time.Second, Preference{true, true}},
		"the demand is not known any more": {work(570), 400 * time.Millisecond, -time.Minute, 3 * time.Second, Preference{}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := newState("b").WithZoneDemand(start, "p", demandOf(parts{"a": 5, "b": 1, "c": 1})).WithCatalog(start, poolOf(12, "a", "b", "c"))
			state = state.WithOwnZoneFull(start.Add(test.full), "p")
			So(state.Preference(start.Add(test.at), "p", test.work, start.Add(test.at+test.objective)), ShouldResemble, test.expected)
		})
	}
	Convey("without the rates of the engine model no prefix is cheap", t, func() {
		state := newState("b")
		state.rates.PromptTokensPerMilli, state.rates.ChunkTokens = 0, 0
		state = state.WithZoneDemand(start, "p", demandOf(parts{"a": 5, "b": 1, "c": 1})).WithCatalog(start, poolOf(12, "a", "b", "c"))
		So(state.Preference(start, "p", work(570), start.Add(time.Second)), ShouldResemble, Preference{})
	})
}

// TestLoadOfZones guards against a preference that overloads the targets of the zone with the most demand, or saves no
// traffic between zones. All requests have cheap prefixes.
func TestLoadOfZones(t *testing.T) {
	const prefixes = 6000
	cases := map[string]struct {
		factor float64
		// maxLoad is the bound of the load of a zone's targets, as a multiple of the mean, and maxOther that of the fraction of
		// requests placed in other zones; it is two thirds if zones are ignored.
		maxLoad, maxOther float64
	}{
		"even demand":      {1, 1.1, 0.7},
		"2.5 times":        {2.5, 1.1, 0.25},
		"5 times":          {5, 1.1, 0.4},
		"7 times":          {7, 1.1, 0.5},
		"almost no others": {100, 1.1, 0.7},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			catalog, demands := poolOf(150, "a", "b", "c"), parts{"a": test.factor, "b": 1, "c": 1}
			load, other, total := make(parts), 0.0, 0.0
			for zone, rate := range demands {
				state := newState(zone).WithZoneDemand(start, "p", demandOf(demands)).WithCatalog(start, catalog)
				for key := range uint64(prefixes) {
					request := prefixed(key + 1)
					request.OwnZone = state.Preference(start, "p", request.Work, start.Add(400*time.Millisecond)).OwnZone
					placed := state.Candidates(catalog, request)[0].Zone
					load[placed] += rate
					total += rate
					if placed != zone {
						other += rate
					}
				}
			}
			for _, sum := range load {
				So(3*sum/total, ShouldBeLessThan, test.maxLoad)
			}
			So(other/total, ShouldBeLessThan, test.maxOther)
			t.Logf("%s: loads of the zones' targets as multiples of the mean %.2f, %.2f and %.2f; %.3f of the requests placed in other zones",
				name, 3*load["a"]/total, 3*load["b"]/total, 3*load["c"]/total, other/total)
		})
	}
}
