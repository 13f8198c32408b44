package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// speedTTL is how long an announced speed is used. Owners repeat it every 5 s; one repetition may be lost.
	speedTTL = 12 * time.Second
	// minSpeed and maxSpeed bound the announced speeds. Owners measure slowdowns from 0.4 to 4.
	minSpeed, maxSpeed = 0.25, 2.5
)

// Weights are the weights of the targets of a pool that differ from 1. They answer the load of a pool some of whose targets
// work at half the rate of the others: with equal weights these are the home of as many prefixes as the others, and long
// requests to them are late while others have capacity. A target of weight 0.5 is preferred by half as many prefixes as
// one of weight 1.
type Weights struct {
	byTarget map[coltsfootlink.TargetName]float64
	// lowest and highest are the range of all weights of the pool; zero if none differs from 1.
	lowest, highest float64
}

// speed is the announced speed of one incarnation of a target.
type speed struct {
	incarnation uint64
	speed       float64
	validUntil  time.Time
}

// WithSpeeds adds speeds that the owner of targets has announced. A speed of an earlier incarnation than the one known is
// late and ignored, and so is one that is no positive number.
func (state State) WithSpeeds(now time.Time, announced []coltsfootlink.TargetSpeed) State {
	speeds := maps.Clone(state.speeds)
	if speeds == nil {
		speeds = make(map[coltsfootlink.TargetName]speed, len(announced))
	}
	for _, added := range announced {
		valid := added.Speed > 0 && !math.IsInf(added.Speed, 1)
		if known, found := speeds[added.Target]; !valid || found && known.incarnation > added.Incarnation {
			continue
		}
		speeds[added.Target] = speed{
			incarnation: added.Incarnation,
			speed:       min(max(added.Speed, minSpeed), maxSpeed),
			validUntil:  now.Add(speedTTL),
		}
	}
	state.speeds = speeds
	return state
}

// poolWeights returns the weights of the catalog's targets by pool, without pools whose targets all have weight 1.
func (state State) poolWeights(catalog coltsfootlink.Catalog) map[coltsfootlink.PoolName]Weights {
	pools := make(map[coltsfootlink.PoolName]Weights)
	for name, known := range state.speeds {
		target, found := catalog.Targets[name]
		if _, derived := pools[target.Pool]; found && !derived && target.Incarnation == known.incarnation {
			pools[target.Pool] = state.weightsOf(target.Pool, catalog)
		}
	}
	maps.DeleteFunc(pools, func(_ coltsfootlink.PoolName, weights Weights) bool { return weights.Len() == 0 })
	return pools
}

// weightsOf returns the announced speeds of a pool's targets divided by the median of all its targets. Owners may announce
// speeds relative to the rates in the settings, which no target may have; the speed of targets without an announcement
// counts as 1.
func (state State) weightsOf(pool coltsfootlink.PoolName, catalog coltsfootlink.Catalog) Weights {
	speeds := make(map[coltsfootlink.TargetName]float64)
	for name, target := range catalog.Targets {
		if target.Pool != pool {
			continue
		}
		speeds[name] = 1
		if known, found := state.speeds[name]; found && known.incarnation == target.Incarnation {
			speeds[name] = known.speed
		}
	}
	sorted := slices.Sorted(maps.Values(speeds))
	// Of two middle values the larger one is used, not their mean, so that at least one target has weight 1.
	median := sorted[len(sorted)/2]
	weights := Weights{byTarget: speeds, lowest: sorted[0] / median, highest: sorted[len(sorted)-1] / median}
	for name, speed := range speeds {
		speeds[name] = speed / median
	}
	maps.DeleteFunc(speeds, func(_ coltsfootlink.TargetName, weight float64) bool { return weight == 1 })
	return weights
}

// Of returns the weight of a target.
func (weights Weights) Of(name coltsfootlink.TargetName) float64 {
	if weight, found := weights.byTarget[name]; found {
		return weight
	}
	return 1
}

// Len returns the number of targets whose weight differs from 1.
func (weights Weights) Len() int { return len(weights.byTarget) }

// Range returns the lowest and the highest weight of the pool's targets; zero if all are 1.
func (weights Weights) Range() (lowest, highest float64) { return weights.lowest, weights.highest }

// Equal reports whether two pools' weights are the same.
func (weights Weights) Equal(other Weights) bool { return maps.Equal(weights.byTarget, other.byTarget) }
