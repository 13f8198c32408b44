package scaling

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

const (
	slots = 32
	// tokensPerTarget is the work of a target that is fully at work, in tokens per second.
	tokensPerTarget = 30_000.0
)

var (
	start      = time.Unix(1_700_000_000, 0)
	zoneNames  = []coltsfootlink.ZoneName{"a", "b", "c"}
	scaleRange = coltsfootlink.ScaleRange{Min: 26, Max: 60, StartupTime: 8 * time.Second}
)

// fleet simulates the targets of a pool in three zones, which serve a demand and start or end when they are ordered.
type fleet struct {
	planner Planner
	// demand is what callers ask for at a second, in targets that would be fully at work.
	demand func(second int) float64
	// weights are the parts of the demand that callers of each zone ask from their own zone; nil if it is even over all
	// targets.
	weights map[coltsfootlink.ZoneName]float64
	// out are the zones out of service at a second, and cut those that are cut off; nil for none. unfit are those in which new targets do not start, and
	// mute those whose owners report nothing.
	out, cut    func(zone coltsfootlink.ZoneName, second int) bool
	unfit, mute map[coltsfootlink.ZoneName]bool
	// before is called before each second; nil if nothing happens.
	before func(second int)
	// targets are the started targets, and ordered when more have started.
	targets map[coltsfootlink.ZoneName]int
	ordered map[coltsfootlink.ZoneName][]Order
	dueAt   map[coltsfootlink.ZoneName][]int
	// orders are all orders by second, and refusedAt the seconds at which callers were refused.
	orders    map[int][]Order
	refusedAt []int
}

func never(coltsfootlink.ZoneName, int) bool { return false }

// zoneB returns a condition of zone b from a second on, until another.
func zoneB(from, until int) func(coltsfootlink.ZoneName, int) bool {
	return func(zone coltsfootlink.ZoneName, second int) bool {
		return zone == "b" && second >= from && second < until
	}
}

func newFleet(demand func(int) float64) *fleet {
	return &fleet{
		planner: NewPlanner(), demand: demand, out: never, cut: never,
		targets: map[coltsfootlink.ZoneName]int{"a": 30, "b": 30, "c": 30},
		ordered: make(map[coltsfootlink.ZoneName][]Order), dueAt: make(map[coltsfootlink.ZoneName][]int), orders: make(map[int][]Order),
	}
}

// catalog returns the catalog and the view at a second.
func (fleet *fleet) catalog(second int) (coltsfootlink.Catalog, coltsfootlink.View) {
	targets := make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	var view coltsfootlink.View
	var catalog coltsfootlink.Catalog
	for _, zone := range zoneNames {
		for number := range fleet.targets[zone] {
			name := coltsfootlink.TargetName(string(zone) + string(rune('0'+number)))
			targets[name] = coltsfootlink.Target{Name: name, Pool: "p", Zone: zone, Slots: slots}
		}
		catalog = catalog.WithZoneOut(zone, fleet.out(zone, second))
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: coltsfootlink.InstanceName("i-" + zone), Zone: zone}, Live: !fleet.cut(zone, second)})
	}
	table := coltsfootlink.RoutingTable{}.WithPool(coltsfootlink.PoolTraits{Name: "p", Engine: true, Scale: scaleRange})
	return catalog.WithTable(table).WithTargets(targets), view
}

// step simulates one second: targets start, demand is served or refused, owners report, and the planner orders.
func (fleet *fleet) step(second int) {
	now := start.Add(time.Duration(second) * time.Second)
	if fleet.before != nil {
		fleet.before(second)
	}
	serving := 0
	for _, zone := range zoneNames {
		for len(fleet.dueAt[zone]) > 0 && fleet.dueAt[zone][0] <= second {
			fleet.targets[zone] = fleet.ordered[zone][0].Count
			fleet.dueAt[zone], fleet.ordered[zone] = fleet.dueAt[zone][1:], fleet.ordered[zone][1:]
		}
		if !fleet.out(zone, second) && !fleet.cut(zone, second) {
			serving += fleet.targets[zone]
		}
	}
	catalog, view := fleet.catalog(second)
	fleet.planner = fleet.planner.WithCatalog(now, catalog, view)
	for _, zone := range zoneNames {
		count := fleet.targets[zone]
		load := coltsfootlink.TargetsLoad{Pool: "p", Zone: zone, Targets: count, Slots: count * slots, IntervalMillis: 1000}
		if !fleet.out(zone, second) && count > 0 {
			asked := fleet.demand(second) * float64(count) / float64(serving)
			if fleet.weights != nil {
				asked = fleet.demand(second) * fleet.weights[zone]
			}
			granted := min(asked, fullUtilization*float64(count))
			load.ReadMillis, load.Running = 1000*granted, granted*slots/2
			load.GrantedTokens, load.RefusedTokens = granted*tokensPerTarget, offersPerRefusal*(asked-granted)*tokensPerTarget
			if asked > granted {
				fleet.refusedAt = append(fleet.refusedAt, second)
			}
		}
		if !fleet.mute[zone] && !fleet.cut(zone, second) {
			fleet.planner = fleet.planner.WithLoads(now, coltsfootlink.InstanceName("i-"+zone), []coltsfootlink.TargetsLoad{load})
		}
	}
	var orders []Order
	fleet.planner, orders = fleet.planner.Orders(now)
	if len(orders) > 0 {
		fleet.orders[second] = orders
	}
	for _, order := range orders {
		switch {
		case order.Count < fleet.targets[order.Zone]:
			fleet.targets[order.Zone] = order.Count
		case !fleet.unfit[order.Zone]:
			fleet.ordered[order.Zone] = append(fleet.ordered[order.Zone], order)
			fleet.dueAt[order.Zone] = append(fleet.dueAt[order.Zone], second+8)
		}
	}
}

func (fleet *fleet) run(seconds int) *fleet {
	for second := range seconds {
		fleet.step(second)
	}
	return fleet
}

// total returns the sum of the targets.
func (fleet *fleet) total() int { return fleet.targets["a"] + fleet.targets["b"] + fleet.targets["c"] }

func steady(demand float64) func(int) float64 { return func(int) float64 { return demand } }

// between returns a demand that differs from another one from a second on, until another.
func between(base, demand float64, from, until int) func(int) float64 {
	return func(second int) float64 {
		if second >= from && second < until {
			return demand
		}
		return base
	}
}

func wave(mean, part float64, period int) func(int) float64 {
	return func(second int) float64 {
		return mean * (1 + part*math.Sin(2*math.Pi*float64(second)/float64(period)))
	}
}

func TestWithoutOrders(t *testing.T) {
	cases := map[string]struct {
		demand  func(int) float64
		seconds int
		change  func(*fleet)
	}{
		"steady demand":                          {steady(45), 120, nil},
		"a burst":                                {between(45, 1.7*45, 30, 35), 80, nil},
		"a burst soon after a new holder begins": {between(45, 1.7*45, 2, 7), 15, nil},
		"a wave that the targets can serve":      {wave(36, 0.5, 15), 120, nil},
		"a slow wave that they can serve":        {wave(40, 0.25, 30), 120, nil},
		"not enough is known yet":                {steady(85), lastingSamples - 1, nil},
		"no loads are known":                     {steady(85), 60, func(fleet *fleet) { fleet.mute = map[coltsfootlink.ZoneName]bool{"a": true, "b": true, "c": true} }},
		"most targets are not reported":          {steady(85), 60, func(fleet *fleet) { fleet.mute = map[coltsfootlink.ZoneName]bool{"a": true, "b": true} }},
		"owners stop to report during a rise":    {step(70), 60, func(fleet *fleet) { fleet.before = muted(fleet, 22, 60) }},
		"little demand, known for a moment only": {steady(20), 24, func(fleet *fleet) { fleet.before = muted(fleet, 3, 18) }},
		"a zone is cut off for a moment":         {steady(45), 60, func(fleet *fleet) { fleet.cut = zoneB(30, 33) }},
		"a zone's owners report nothing":         {steady(45), 60, func(fleet *fleet) { fleet.mute = map[coltsfootlink.ZoneName]bool{"a": true} }},
		"less demand for a moment":               {between(45, 10, 30, 45), 60, nil},
	}
	for name, test := range cases {
		Convey("targets would be ordered or given up without need: "+name, t, func() {
			fleet := newFleet(test.demand)
			if test.change != nil {
				test.change(fleet)
			}
			So(fleet.run(test.seconds).orders, ShouldBeEmpty)
		})
	}
}

// muted returns a change by which no loads are reported from a second on, until another.
func muted(fleet *fleet, from, until int) func(int) {
	return func(second int) {
		fleet.mute = make(map[coltsfootlink.ZoneName]bool)
		for _, zone := range zoneNames {
			fleet.mute[zone] = second >= from && second < until
		}
	}
}

// step returns a demand of 45 that rises to another one after 20 s.
func step(demand float64) func(int) float64 { return between(45, demand, 20, math.MaxInt) }

func TestOrders(t *testing.T) {
	type counts = map[coltsfootlink.ZoneName]int
	cases := map[string]struct {
		demand  func(int) float64
		seconds int
		change  func(*fleet)
		// first is the second of the first orders, and ordered what they order.
		first   int
		ordered counts
		// orders is the number of seconds with orders, and targets what is there in the end.
		orders  int
		targets counts
		// refused is the last second at which callers were refused; zero if none were.
		refused int
	}{
		"demand rises for good": {step(70), 120, nil, 26, counts{"a": 47, "b": 47, "c": 47}, 1, counts{"a": 47, "b": 47, "c": 47}, 33},
		"beyond the maximum":    {step(120), 60, nil, 26, counts{"a": 60, "b": 60, "c": 60}, 1, counts{"a": 60, "b": 60, "c": 60}, 33},
		"a wave that targets can't serve": {
			wave(45, 0.5, 15), 120, nil, 16, counts{"a": 37, "b": 37, "c": 37}, 1, counts{"a": 37, "b": 37, "c": 37}, 20,
		},
		"a single burst, at the fourth second of a new holder": {between(45, 1.7*45, 4, 9), 60, nil, 0, nil, 0, counts{"a": 30, "b": 30, "c": 30}, 8},
		"little demand for long":                               {steady(20), 60, nil, 20, counts{"a": 28, "b": 28, "c": 28}, 3, counts{"a": 26, "b": 26, "c": 26}, 0},
		"a zone goes and returns": {steady(45), 79, func(fleet *fleet) {
			fleet.out = zoneB(30, 60)
		}, 30, counts{"a": 45, "c": 45}, 1, counts{"a": 45, "b": 30, "c": 45}, 37},
		"a zone has returned for long": {steady(45), 88, func(fleet *fleet) {
			fleet.out = zoneB(30, 60)
		}, 30, counts{"a": 45, "c": 45}, 3, counts{"a": 40, "b": 30, "c": 40}, 37},
		"a zone is cut off": {steady(45), 60, func(fleet *fleet) { fleet.cut = zoneB(30, 100) }, 33, counts{"a": 45, "c": 45}, 1, counts{"a": 45, "b": 30, "c": 45}, 40},
		"a zone loses its targets": {steady(45), 60, func(fleet *fleet) {
			fleet.before = func(second int) {
				if second == 30 {
					fleet.targets["b"] = 0
				}
			}
		}, 30, counts{"a": 45, "c": 45}, 1, counts{"a": 45, "b": 0, "c": 45}, 37},
		"no ordered target starts": {step(70), 57, func(fleet *fleet) {
			fleet.unfit = map[coltsfootlink.ZoneName]bool{"a": true, "b": true, "c": true}
		}, 26, counts{"a": 47, "b": 47, "c": 47}, 4, counts{"a": 30, "b": 30, "c": 30}, 56},
		"one zone's targets end and don't start": {step(60), 60, func(fleet *fleet) {
			fleet.before = func(second int) {
				if second == 45 {
					fleet.targets["a"], fleet.unfit = 5, map[coltsfootlink.ZoneName]bool{"a": true}
				}
			}
		}, 45, counts{"a": 40, "b": 58, "c": 58}, 3, counts{"a": 5, "b": 58, "c": 58}, 52},
		"callers of one zone": {steady(40), 60, func(fleet *fleet) {
			fleet.weights = map[coltsfootlink.ZoneName]float64{"a": 0.6, "b": 0.2, "c": 0.2}
		}, 6, counts{"a": 40}, 3, counts{"a": 40, "b": 27, "c": 27}, 13},
	}
	for name, test := range cases {
		Convey("callers would be refused, or targets paid for that nobody needs: "+name, t, func() {
			fleet := newFleet(test.demand)
			if test.change != nil {
				test.change(fleet)
			}
			fleet.run(test.seconds)
			if test.ordered != nil {
				first := make(counts)
				for _, order := range fleet.orders[test.first] {
					first[order.Zone] = order.Count
					So(order.Pool, ShouldEqual, coltsfootlink.PoolName("p"))
					So(order.Reason, ShouldNotBeEmpty)
				}
				So(first, ShouldResemble, test.ordered)
			}
			So(fleet.orders, ShouldHaveLength, test.orders)
			So(fleet.targets, ShouldResemble, test.targets)
			last := 0
			if count := len(fleet.refusedAt); count > 0 {
				last = fleet.refusedAt[count-1]
			}
			So(last, ShouldEqual, test.refused)
		})
	}
}

// TestTable checks the operators' table of a pool in which one zone was raised.
func TestTable(t *testing.T) {
	Convey("operators would not see what was ordered", t, func() {
		fleet := newFleet(steady(40))
		fleet.weights = map[coltsfootlink.ZoneName]float64{"a": 0.6, "b": 0.2, "c": 0.2}
		zones := fleet.run(20).planner.Zones()
		for index := range zones {
			zones[index].Demand, zones[index].Peak = math.Round(10*zones[index].Demand)/10, math.Round(10*zones[index].Peak)/10
		}
		So(zones, ShouldResemble, []Zone{
			{Pool: "p", Zone: "a", Targets: 40, Desired: 40, Serving: true, Demand: 24, Peak: 24},
			{Pool: "p", Zone: "b", Targets: 30, Desired: 30, Serving: true, Demand: 8, Peak: 8},
			{Pool: "p", Zone: "c", Targets: 30, Desired: 30, Serving: true, Demand: 8, Peak: 8},
		})
	})
}

// TestRamp checks that targets are ordered ahead of a steady rise.
func TestRamp(t *testing.T) {
	Convey("callers would be refused while ordered targets start, or the trend would be overestimated", t, func() {
		fleet := newFleet(func(second int) float64 { return 40 + min(30, 0.7*max(0, float64(second-20))) }).run(100)
		So(fleet.refusedAt, ShouldBeEmpty)
		So(float64(fleet.total()), ShouldBeBetweenOrEqual, 70/maxUtilization, 70/utilization)
	})
}

// TestOrdersKeepRules checks, for any demand, that orders stay within the range and that steps down are small and keep
// enough for the loss of a zone.
func TestOrdersKeepRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := rapid.SliceOfN(rapid.Float64Range(0, 130), 20, 20).Draw(t, "levels")
		hold := rapid.IntRange(1, 20).Draw(t, "hold")
		lost := rapid.IntRange(0, 100).Draw(t, "lost")
		fleet := newFleet(func(second int) float64 { return levels[second/hold%len(levels)] })
		fleet.out = func(zone coltsfootlink.ZoneName, second int) bool {
			return zone == "b" && second >= lost && second < lost+15
		}
		counts := map[coltsfootlink.ZoneName]int{"a": 30, "b": 30, "c": 30}
		for second := range 150 {
			fleet.step(second)
			for _, order := range fleet.orders[second] {
				before := counts[order.Zone]
				counts[order.Zone] = order.Count
				switch {
				case order.Count < scaleRange.Min || order.Count > scaleRange.Max:
					t.Fatalf("second %d: %v is out of range", second, order)
				case fleet.out(order.Zone, second):
					t.Fatalf("second %d: %v in a zone out of service", second, order)
				case order.Count < before-max(1, before/15):
					t.Fatalf("second %d: %v after %d is a large step", second, order, before)
				case order.Count < before && float64(order.Count*2)*lossUtilization < levels[second/hold%len(levels)]-1e-6 && order.Count < scaleRange.Max:
					t.Fatalf("second %d: %v after %d does not bear the loss of a zone", second, order, before)
				}
			}
		}
	})
}

// TestZoneTargets checks which targets of a zone count, and whether the zone serves.
func TestZoneTargets(t *testing.T) {
	started := coltsfootlink.Target{Name: "t-1", Pool: "p", Zone: "a"}
	leaving := coltsfootlink.Target{Name: "t-2", Pool: "p", Zone: "a", Leaving: true}
	other := coltsfootlink.Target{Name: "t-3", Pool: "p", Zone: "b"}
	member := func(zone coltsfootlink.ZoneName, live bool) coltsfootlink.Member {
		return coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: coltsfootlink.InstanceName("i-" + zone), Zone: zone}, Live: live}
	}
	cases := map[string]struct {
		targets  []coltsfootlink.Target
		members  []coltsfootlink.Member
		out      bool
		expected zoneTargets
	}{
		"in service":                         {[]coltsfootlink.Target{started, leaving, other}, []coltsfootlink.Member{member("a", true)}, false, zoneTargets{count: 1, serving: true}},
		"out of service":                     {[]coltsfootlink.Target{started, other}, []coltsfootlink.Member{member("a", true)}, true, zoneTargets{count: 1, out: true}},
		"only a leaving target":              {[]coltsfootlink.Target{leaving}, []coltsfootlink.Member{member("a", true)}, false, zoneTargets{}},
		"cut off":                            {[]coltsfootlink.Target{started, other}, []coltsfootlink.Member{member("a", false), member("b", true)}, false, zoneTargets{count: 1}},
		"instances in zones without targets": {[]coltsfootlink.Target{started, other}, []coltsfootlink.Member{member("c", true)}, false, zoneTargets{count: 1, serving: true}},
	}
	for name, test := range cases {
		Convey("the load of a zone would be ordered twice or nowhere: "+name, t, func() {
			catalog := coltsfootlink.Catalog{}.WithZoneOut("a", test.out)
			for _, target := range test.targets {
				catalog = catalog.WithTarget(target)
			}
			planner := NewPlanner().WithCatalog(start, catalog, coltsfootlink.View{Members: test.members})
			So(planner.targets("p")["a"], ShouldResemble, test.expected)
		})
	}
}

// TestUnreportedTargets checks the demand that is assumed for targets without loads, of 30 or more in a zone.
func TestUnreportedTargets(t *testing.T) {
	cases := map[string]struct {
		// before is the number of targets at the previous sample, and reported the number in each owner's report.
		before, now int
		reported    []int
		demand      float64
	}{
		"all are reported":            {30, 30, []int{15, 15}, 15},
		"one owner is silent":         {30, 30, []int{15}, 15},
		"two owners report the same":  {30, 30, []int{30, 30}, 15},
		"new targets, not reported":   {30, 45, []int{30}, 15},
		"new targets, reported":       {30, 45, []int{45}, 22.5},
		"targets that ended meantime": {30, 20, []int{30}, 10},
	}
	for name, test := range cases {
		Convey("demand would jump when targets or their owners change: "+name, t, func() {
			planner := NewPlanner()
			planner.pools = map[coltsfootlink.PoolName]plan{"p": {zones: map[coltsfootlink.ZoneName]zonePlan{"a": {targets: zoneTargets{count: test.before}}}}}
			for owner, count := range test.reported {
				load := coltsfootlink.TargetsLoad{Pool: "p", Zone: "a", Targets: count, ReadMillis: 500 * float64(count), IntervalMillis: 1000}
				planner = planner.WithLoads(start, coltsfootlink.InstanceName(rune('a'+owner)), []coltsfootlink.TargetsLoad{load})
			}
			works, known := planner.works(start, "p", map[coltsfootlink.ZoneName]zoneTargets{"a": {count: test.now, serving: true}})
			So(known, ShouldBeTrue)
			So(works["a"].demand(), ShouldAlmostEqual, test.demand, 0.001)
		})
	}
}

// TestDemand checks what full targets and successive samples count for.
func TestDemand(t *testing.T) {
	busy := coltsfootlink.TargetsLoad{Pool: "p", Zone: "a", Targets: 10, Slots: 320, Running: 64, ReadMillis: 4000, IntervalMillis: 1000, GrantedTokens: 100}
	with := func(change func(*coltsfootlink.TargetsLoad)) coltsfootlink.TargetsLoad {
		load := busy
		change(&load)
		return load
	}
	cases := map[string]struct {
		loads  []coltsfootlink.TargetsLoad
		demand float64
	}{
		"reading takes more than slots":                    {[]coltsfootlink.TargetsLoad{busy}, 4},
		"slots take more than reading":                     {[]coltsfootlink.TargetsLoad{with(func(load *coltsfootlink.TargetsLoad) { load.Running = 192 })}, 6},
		"a plain service":                                  {[]coltsfootlink.TargetsLoad{with(func(load *coltsfootlink.TargetsLoad) { load.ReadMillis = 0 })}, 2},
		"each refused request counts at three":             {[]coltsfootlink.TargetsLoad{with(func(load *coltsfootlink.TargetsLoad) { load.RefusedTokens = 150 })}, 6},
		"refusals at most double the demand":               {[]coltsfootlink.TargetsLoad{with(func(load *coltsfootlink.TargetsLoad) { load.RefusedTokens = 9000 })}, 8},
		"two samples in one report":                        {[]coltsfootlink.TargetsLoad{busy, busy}, 4},
		"a long interval, after lost samples":              {[]coltsfootlink.TargetsLoad{with(func(load *coltsfootlink.TargetsLoad) { load.IntervalMillis = 2000 })}, 2},
		"an interval of no length, or targets of no slots": {[]coltsfootlink.TargetsLoad{{Pool: "p", Zone: "a", Targets: 10, Running: 3, ReadMillis: 4000}}, 0},
	}
	for name, test := range cases {
		Convey("demand would be over- or underestimated: "+name, t, func() {
			loads := combined(test.loads)
			So(loads, ShouldHaveLength, 1)
			So(workOf(loads[0]).demand(), ShouldAlmostEqual, test.demand, 0.001)
		})
	}
}
