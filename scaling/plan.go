package scaling

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"coltsfootlink"
)

const (
	// fullUtilization is the fraction of the targets' time or slots from which callers are refused, because demand is uneven
	// over targets. maxUtilization is the one beyond which targets are ordered.
	fullUtilization = 2.0 / 3
	maxUtilization  = 0.6
	// utilization is the fraction for which targets are ordered. With three zones it leaves the others at lossUtilization
	// when one is lost.
	utilization = 0.5
	// lossUtilization is the fraction of the other zones' targets that is taken when one zone is lost: for one start-up
	// time, until its load is ordered in the others, some requests are refused.
	lossUtilization = 0.75
	// startMargin is how much longer than the start-up time targets may take before their zone counts with the targets
	// that it has.
	startMargin = 4 * time.Second
	// cutOffTime is how long a zone must have been cut off before its load is ordered in the others. Links that heal within it
	// would leave targets behind that nobody needs.
	cutOffTime = 3 * time.Second
	// absentTTL is how long a zone without targets counts as lost. After that it is taken to be gone for good, so that the loss
	// of another one is prepared for again, and nothing is ordered there any more.
	absentTTL = 10 * time.Minute
	// repeatInterval is the time after which an order whose targets have not appeared is repeated.
	repeatInterval = 10 * time.Second
	// downInterval is the time between two steps down, and maxDownPart the part of a zone's targets that a step may give up.
	downInterval = 5 * time.Second
	maxDownPart  = 1.0 / 15
)

// zonePlan is what is ordered in one zone of a pool.
type zonePlan struct {
	targets zoneTargets
	demand  history
	// ordered is the number that was ordered last, zero if none was; the order was given first at orderedAt and last at
	// repeatedAt.
	ordered               int
	orderedAt, repeatedAt time.Time
	// cutOffAt is when the zone was cut off; zero if it is not. seenAt is when it last had targets.
	cutOffAt, seenAt time.Time
}

// withTargets records the targets of the zone. A zone that is cut off counts as serving for cutOffTime.
func (zone zonePlan) withTargets(now time.Time, targets zoneTargets) zonePlan {
	cutOff := targets.count > 0 && !targets.serving && !targets.out
	switch {
	case !cutOff:
		zone.cutOffAt = time.Time{}
	case zone.cutOffAt.IsZero():
		zone.cutOffAt = now
	}
	targets.serving = targets.serving || cutOff && now.Before(zone.cutOffAt.Add(cutOffTime))
	zone.targets = targets
	if targets.count > 0 || zone.seenAt.IsZero() {
		zone.seenAt = now
	}
	return zone
}

// count is the number of targets that the zone is to have: what was ordered, otherwise what it has.
func (zone zonePlan) count() int {
	if zone.ordered > 0 {
		return zone.ordered
	}
	return zone.targets.count
}

// failing reports whether ordered targets have not started in time.
func (zone zonePlan) failing(now time.Time, startup time.Duration) bool {
	return zone.targets.count < zone.ordered && !now.Before(zone.orderedAt.Add(startup+startMargin))
}

// plan is what is ordered for one pool; it is immutable.
type plan struct {
	total history
	zones map[coltsfootlink.ZoneName]zonePlan
	// changedAt is when targets were last ordered in addition, or a zone was lost or returned; downAt is when targets were
	// last given up.
	changedAt, downAt time.Time
}

// withSamples records the targets and the demand.
func (plan plan) withSamples(now time.Time, zones map[coltsfootlink.ZoneName]zoneTargets, works map[coltsfootlink.ZoneName]work) plan {
	var total work
	for _, work := range works {
		total = total.plus(work)
	}
	plan.total = plan.total.with(now, total.demand())
	plan.zones = clone(plan.zones)
	for name, targets := range zones {
		earlier, known := plan.zones[name]
		zone := earlier.withTargets(now, targets)
		if !known || zone.targets.serving != earlier.targets.serving {
			plan.changedAt = now
		}
		zone.demand = zone.demand.with(now, works[name].demand())
		plan.zones[name] = zone
		if now.Sub(zone.seenAt) >= absentTTL {
			delete(plan.zones, name)
		}
	}
	return plan
}

// orders returns the orders that are due: more targets where demand needs them, and fewer only if none are needed anywhere.
func (plan plan) orders(now time.Time, pool coltsfootlink.PoolName, scale coltsfootlink.ScaleRange) (plan, []Order) {
	counts, reason := plan.more(now, scale)
	if len(counts) == 0 {
		counts, reason = plan.fewer(now, scale)
	}
	var orders []Order
	plan.zones = clone(plan.zones)
	for _, name := range sorted(plan.zones) {
		zone := plan.zones[name]
		count, changed := counts[name]
		switch {
		case changed:
			if count > zone.count() {
				plan.changedAt = now
			} else {
				plan.downAt = now
			}
			zone.ordered, zone.orderedAt, zone.repeatedAt = count, now, now
			orders = append(orders, Order{Pool: pool, Zone: name, Count: count, Reason: reason})
		case plan.repeats(now, zone):
			zone.repeatedAt = now
			orders = append(orders, Order{Pool: pool, Zone: name, Count: zone.ordered, Reason: fmt.Sprintf("only %d targets have appeared", zone.targets.count)})
		default:
			continue
		}
		plan.zones[name] = zone
	}
	return plan, orders
}

// repeats reports whether the order of a zone is due again.
func (plan plan) repeats(now time.Time, zone zonePlan) bool {
	return zone.targets.count < zone.ordered && !zone.targets.out && !now.Before(zone.repeatedAt.Add(repeatInterval))
}

// serving returns the zones that serve, sorted by name.
func (plan plan) serving() []coltsfootlink.ZoneName {
	var serving []coltsfootlink.ZoneName
	for _, name := range sorted(plan.zones) {
		if plan.zones[name].targets.serving {
			serving = append(serving, name)
		}
	}
	return serving
}

// more returns the zones in which more targets are needed, with their counts. It answers a rise of demand, the loss of a zone,
// whose load the others have to bear, targets that do not start, and one zone whose own demand is too high. Bursts are over
// before new targets serve, and a team's flood beyond its share is not in the reported loads.
func (plan plan) more(now time.Time, scale coltsfootlink.ScaleRange) (map[coltsfootlink.ZoneName]int, string) {
	demand, known := plan.total.lasting()
	expected := plan.total.expected(now, scale.StartupTime)
	serving := plan.serving()
	if !known || len(serving) == 0 {
		return nil, ""
	}
	counts := make(map[coltsfootlink.ZoneName]int)
	raise := func(name coltsfootlink.ZoneName, need int) {
		if need = bounded(need, scale); need > max(counts[name], plan.zones[name].count()) {
			counts[name] = need
		}
	}
	// Zones in which ordered targets do not start count with those that they have; what is missing is ordered in the others.
	able, capacity, started := []coltsfootlink.ZoneName{}, 0, 0
	for _, name := range serving {
		zone := plan.zones[name]
		if zone.failing(now, scale.StartupTime) {
			started += zone.targets.count
		} else {
			able = append(able, name)
			capacity += zone.count()
		}
	}
	total := float64(capacity + started)
	for _, name := range able {
		if demand > maxUtilization*total {
			raise(name, max(plan.needed(demand), ceil((demand/utilization-float64(started))/float64(len(able)))))
		}
		if expected > fullUtilization*total {
			raise(name, ceil((expected/maxUtilization-float64(started))/float64(len(able))))
		}
		zone := plan.zones[name]
		if own, _ := zone.demand.lasting(); own > fullUtilization*float64(zone.count()) {
			raise(name, ceil(own/maxUtilization))
		}
	}
	return counts, fmt.Sprintf("callers' demand would fill %.1f targets, of %.0f in %d zones%s", max(demand, expected), total, len(serving), plan.absent())
}

// fewer returns the zones in which targets are given up, with their counts, a small step at a time: demand, at its peak, has
// been low for calmTime, does not rise now, and no zone has been lost or returned meanwhile. What stays bears the loss of any one
// zone.
func (plan plan) fewer(now time.Time, scale coltsfootlink.ScaleRange) (map[coltsfootlink.ZoneName]int, string) {
	if now.Before(plan.changedAt.Add(calmTime)) || now.Before(plan.downAt.Add(downInterval)) || !plan.total.complete(now) || plan.total.expected(now, scale.StartupTime) > 0 {
		return nil, ""
	}
	serving, peak := plan.serving(), plan.total.peak()
	counts := make(map[coltsfootlink.ZoneName]int)
	for _, name := range serving {
		zone := plan.zones[name]
		need := bounded(max(plan.needed(peak), ceil(zone.demand.peak()/maxUtilization)), scale)
		step := max(1, int(maxDownPart*float64(zone.count())))
		if zone.count() > need && !zone.failing(now, scale.StartupTime) {
			counts[name] = max(need, zone.count()-step)
		}
	}
	return counts, fmt.Sprintf("callers' demand has filled at most %.1f targets for %s", peak, calmTime)
}

// absent names the zones that do not serve, for the reason of an order.
func (plan plan) absent() string {
	var names []string
	for _, name := range sorted(plan.zones) {
		if !plan.zones[name].targets.serving {
			names = append(names, string(name))
		}
	}
	if len(names) == 0 {
		return ""
	}
	return ", without " + strings.Join(names, ", ")
}

// needed returns the number of targets in each serving zone that serve a demand, also when any one zone is lost. While one is
// lost already, the loss of another is not prepared for.
func (plan plan) needed(demand float64) int {
	zones := float64(len(plan.serving()))
	need := demand / (utilization * zones)
	if zones > 1 && plan.absent() == "" {
		need = max(need, demand/(lossUtilization*(zones-1)))
	}
	return ceil(need)
}

// bounded holds a count within the range.
func bounded(count int, scale coltsfootlink.ScaleRange) int {
	return min(scale.Max, max(scale.Min, count))
}

// ceil rounds up; a difference of rounding errors is not worth a target.
func ceil(count float64) int { return int(math.Ceil(count - 1e-6)) }

// sorted returns the keys of a map in order.
func sorted[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
