package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootlink"
)

// loadInterval is the time between two reports of the loads of the owned targets.
const loadInterval = time.Second

// loadKey is the pool and the zone to which a load belongs.
type loadKey struct {
	pool coltsfootlink.PoolName
	zone coltsfootlink.ZoneName
}

// loadSampler adds up the loads of the owned targets between two reports; it is immutable.
type loadSampler struct {
	// since is the time of the previous report; zero before the first sample.
	since   time.Time
	samples int
	// sums are the loads so far. Running is the sum of the samples, Targets and Slots are those of the last sample.
	sums map[loadKey]coltsfootlink.TargetsLoad
}

// withAsk adds a decision on a request to a target of a pool whose number of targets is ordered. Surplus requests, which only
// use idle capacity, count for nothing, so that a team's flood orders no targets.
func (sampler loadSampler) withAsk(ledger Ledger, from coltsfootlink.InstanceName, ask coltsfootlink.Ask, reason coltsfootlink.Reason) loadSampler {
	if !ledger.traits.Scale.Ordered() || ask.Standing == coltsfootlink.Surplus {
		return sampler
	}
	tokens := ask.Work.WeightedTokens()
	added := coltsfootlink.TargetsLoad{}
	switch {
	case reason == "":
		granted, _ := ledger.requests.Get(requestID{holder: from, serial: ask.Serial})
		added.GrantedTokens, added.ReadMillis = tokens, granted.readMillis
	case reason == coltsfootlink.TargetFull && ask.Standing == coltsfootlink.Entitled:
		added.RefusedTokens = tokens
	default:
		return sampler
	}
	return sampler.with(ledger.target, added)
}

// withSample samples the requests in progress on the owned targets.
func (sampler loadSampler) withSample(now time.Time, ledgers map[coltsfootlink.TargetName]Ledger) loadSampler {
	if sampler.since.IsZero() {
		sampler.since = now
	}
	sampler.samples++
	for key, sum := range sampler.sums {
		sum.Targets, sum.Slots = 0, 0
		sampler.sums = withSum(sampler.sums, key, sum)
	}
	for _, ledger := range ledgers {
		if ledger.traits.Scale.Ordered() && !ledger.target.Leaving {
			sampler = sampler.with(ledger.target, coltsfootlink.TargetsLoad{Targets: 1, Slots: ledger.target.Slots, Running: float64(ledger.runningWithinShares())})
		}
	}
	return sampler
}

// with adds a load.
func (sampler loadSampler) with(target coltsfootlink.Target, added coltsfootlink.TargetsLoad) loadSampler {
	key := loadKey{pool: target.Pool, zone: target.Zone}
	sum := sampler.sums[key]
	sum.Pool, sum.Zone = target.Pool, target.Zone
	sum.Targets += added.Targets
	sum.Slots += added.Slots
	sum.Running += added.Running
	sum.ReadMillis += added.ReadMillis
	sum.GrantedTokens += added.GrantedTokens
	sum.RefusedTokens += added.RefusedTokens
	sampler.sums = withSum(sampler.sums, key, sum)
	return sampler
}

// withSum returns the sums with one replaced; there are a few at most.
func withSum(sums map[loadKey]coltsfootlink.TargetsLoad, key loadKey, sum coltsfootlink.TargetsLoad) map[loadKey]coltsfootlink.TargetsLoad {
	sums = maps.Clone(sums)
	if sums == nil {
		sums = make(map[loadKey]coltsfootlink.TargetsLoad)
	}
	sums[key] = sum
	return sums
}

// withReport returns the loads since the previous report, if the next one is due, and begins the next interval.
func (sampler loadSampler) withReport(now time.Time) (loadSampler, []coltsfootlink.TargetsLoad) {
	interval := now.Sub(sampler.since)
	if sampler.samples == 0 || interval < loadInterval {
		return sampler, nil
	}
	loads := slices.SortedFunc(maps.Values(sampler.sums), func(left, right coltsfootlink.TargetsLoad) int {
		return cmp.Or(cmp.Compare(left.Pool, right.Pool), cmp.Compare(left.Zone, right.Zone))
	})
	for index := range loads {
		loads[index].Running /= float64(sampler.samples)
		loads[index].IntervalMillis = float64(interval) / float64(time.Millisecond)
	}
	return loadSampler{since: now}, loads
}

// runningWithinShares is the number of requests on the target, including orphaned ones but not Surplus ones.
func (ledger Ledger) runningWithinShares() int {
	running := ledger.running()
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		if _, held, _ := iterator.Next(); held.surplus {
			running--
		}
	}
	return running
}

// sampleLoads samples the owned targets, and sends the loads to the duty task when they are due.
func (task *Task) sampleLoads(now time.Time) {
	if task.Duties == nil {
		return
	}
	sampler, loads := task.loads.withSample(now, task.ledgers).withReport(now)
	task.loads = sampler
	if len(loads) > 0 {
		task.Duties.Put(coltsfootlink.Delivery{From: task.Self, Message: coltsfootlink.LoadsSampled{Loads: loads}})
	}
}
