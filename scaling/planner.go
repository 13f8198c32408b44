// Package scaling decides how many targets of each pool are ordered in each availability zone.
package scaling

import (
	"maps"
	"time"

	"coltsfootlink"
)

// loadTTL is how long a load report counts; they come about once a second.
const loadTTL = 3 * time.Second

// Order orders a number of targets of a pool in a zone. Reason tells operators why.
type Order struct {
	Pool   coltsfootlink.PoolName
	Zone   coltsfootlink.ZoneName
	Count  int
	Reason string
}

// reported are the newest loads of one instance.
type reported struct {
	at    time.Time
	loads []coltsfootlink.TargetsLoad
}

// Planner is what the holder of the duty knows of the loads of targets and of its own orders; it is immutable. A new holder
// begins with a new planner. That orders nothing until it has lastingSamples, by which time all live instances have reported.
type Planner struct {
	catalog coltsfootlink.Catalog
	view    coltsfootlink.View
	reports map[coltsfootlink.InstanceName]reported
	pools   map[coltsfootlink.PoolName]plan
}

// NewPlanner returns a planner that knows no loads and orders nothing.
func NewPlanner() Planner { return Planner{} }

// WithLoads records the loads that an instance has reported; a report without loads changes nothing.
func (planner Planner) WithLoads(now time.Time, from coltsfootlink.InstanceName, loads []coltsfootlink.TargetsLoad) Planner {
	if len(loads) == 0 {
		return planner
	}
	planner.reports = clone(planner.reports)
	planner.reports[from] = reported{at: now, loads: loads}
	return planner
}

// WithCatalog records the targets, the zones out of service and the live instances.
func (planner Planner) WithCatalog(_ time.Time, catalog coltsfootlink.Catalog, view coltsfootlink.View) Planner {
	planner.catalog, planner.view = catalog, view
	return planner
}

// clone returns a copy of a map that is never nil.
func clone[K comparable, V any](values map[K]V) map[K]V {
	if values == nil {
		return make(map[K]V)
	}
	return maps.Clone(values)
}

// works returns the reported work of a pool by zone. Targets that are not reported, or twice while their owner changes, are
// assumed to be as busy as the others of the zone, or of the pool if none of the zone is reported, but those that are new since
// the last sample are not. It returns false if less than half of the targets in service are known.
func (planner Planner) works(now time.Time, pool coltsfootlink.PoolName, zones map[coltsfootlink.ZoneName]zoneTargets) (map[coltsfootlink.ZoneName]work, bool) {
	works := make(map[coltsfootlink.ZoneName]work)
	for _, report := range planner.reports {
		if now.After(report.at.Add(loadTTL)) {
			continue
		}
		for _, load := range combined(report.loads) {
			if load.Pool == pool {
				works[load.Zone] = works[load.Zone].plus(workOf(load))
			}
		}
	}
	var total work
	for _, work := range works {
		total = total.plus(work)
	}
	known, serving := 0, 0
	for zone, targets := range zones {
		if !targets.serving {
			continue
		}
		expected := targets.count
		if earlier, found := planner.pools[pool].zones[zone]; found {
			expected = min(expected, earlier.targets.count)
		}
		reported := works[zone]
		serving += targets.count
		known += min(targets.count, reported.targets)
		if reported.targets == 0 {
			works[zone] = total.scaled(expected)
		} else {
			works[zone] = reported.scaled(min(targets.count, max(expected, reported.targets)))
		}
	}
	return works, known > 0 && 2*known >= serving
}

// combined joins loads of the same pool and zone that one instance has sampled in successive intervals.
func combined(loads []coltsfootlink.TargetsLoad) []coltsfootlink.TargetsLoad {
	var joined []coltsfootlink.TargetsLoad
	for _, load := range loads {
		found := false
		for index, earlier := range joined {
			if earlier.Pool == load.Pool && earlier.Zone == load.Zone {
				joined[index], found = following(earlier, load), true
			}
		}
		if !found {
			joined = append(joined, load)
		}
	}
	return joined
}

// following returns the load over two successive intervals.
func following(earlier, later coltsfootlink.TargetsLoad) coltsfootlink.TargetsLoad {
	interval := earlier.IntervalMillis + later.IntervalMillis
	if interval > 0 {
		later.Running = (earlier.Running*earlier.IntervalMillis + later.Running*later.IntervalMillis) / interval
	}
	later.IntervalMillis = interval
	later.ReadMillis += earlier.ReadMillis
	later.GrantedTokens += earlier.GrantedTokens
	later.RefusedTokens += earlier.RefusedTokens
	return later
}

// zoneTargets are the targets of a pool in one zone.
type zoneTargets struct {
	// count is the number of targets that are not leaving.
	count int
	// out indicates that the zone is out of service; serving indicates that it has targets, is in service and can be reached.
	out, serving bool
}

// targets returns the targets of a pool by zone, of all zones in which the pool has or had any. As in dispatch, the targets
// of zones without live instances may be cut off and serve only if there are no others.
func (planner Planner) targets(pool coltsfootlink.PoolName) map[coltsfootlink.ZoneName]zoneTargets {
	zones := make(map[coltsfootlink.ZoneName]zoneTargets)
	for zone := range planner.pools[pool].zones {
		zones[zone] = zoneTargets{}
	}
	for _, target := range planner.catalog.Targets {
		if target.Pool == pool && !target.Leaving {
			targets := zones[target.Zone]
			targets.count++
			zones[target.Zone] = targets
		}
	}
	live := make(map[coltsfootlink.ZoneName]bool)
	for _, member := range planner.view.Live() {
		live[member.Zone] = true
	}
	reachable := false
	for zone := range zones {
		reachable = reachable || live[zone]
	}
	for zone, targets := range zones {
		targets.out = planner.catalog.ZonesOut[zone]
		targets.serving = targets.count > 0 && !targets.out && (live[zone] || !reachable)
		zones[zone] = targets
	}
	return zones
}

// Orders returns the orders that are due, and the planner that has given them. It is called about once a second; calls in
// between give no orders.
func (planner Planner) Orders(now time.Time) (Planner, []Order) {
	names := make(map[coltsfootlink.PoolName]bool)
	for pool := range planner.pools {
		names[pool] = true
	}
	for _, target := range planner.catalog.Targets {
		names[target.Pool] = true
	}
	var orders []Order
	planner.pools = clone(planner.pools)
	for _, pool := range sorted(names) {
		traits, found := planner.catalog.Table.Pool(pool)
		if !found || !traits.Scale.Ordered() {
			delete(planner.pools, pool)
			continue
		}
		zones := planner.targets(pool)
		works, known := planner.works(now, pool, zones)
		if !known || !planner.pools[pool].total.due(now) {
			continue
		}
		updated, due := planner.pools[pool].withSamples(now, zones, works).orders(now, pool, traits.Scale)
		planner.pools[pool] = updated
		orders = append(orders, due...)
	}
	return planner, orders
}

// Zone is what the planner knows of the targets of a pool in one zone.
type Zone struct {
	Pool coltsfootlink.PoolName
	Zone coltsfootlink.ZoneName
	// Targets is the number of targets, and Desired the one that was ordered, or that there is if none was.
	Targets, Desired int
	// Serving indicates that the zone's targets can be used.
	Serving bool
	// Demand is in targets that would be fully at work, now, and Peak the most of the last calmTime.
	Demand, Peak float64
}

// Zones returns what the planner knows of all pools whose number of targets may be ordered.
func (planner Planner) Zones() []Zone {
	var all []Zone
	for _, pool := range sorted(planner.pools) {
		zones := planner.pools[pool].zones
		for _, name := range sorted(zones) {
			zone := zones[name]
			known := Zone{Pool: pool, Zone: name, Targets: zone.targets.count, Desired: zone.count(), Serving: zone.targets.serving, Peak: zone.demand.peak()}
			if last := len(zone.demand) - 1; last >= 0 {
				known.Demand = zone.demand[last].demand
			}
			all = append(all, known)
		}
	}
	return all
}
