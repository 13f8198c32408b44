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
	// minSpeed and maxSpeed bound the announced speeds. Owners measure slowdowns from 0.5 to 4.
	minSpeed, maxSpeed = 0.25, 2.0
)

// Weights are the weights of targets that differ from 1. A target of weight 0.5 is preferred by half as many prefixes
// as one of weight 1.
type Weights map[coltsfootlink.TargetName]float64

// speed is the announced speed of one incarnation of a target.
type speed struct {
	incarnation uint64
	speed       float64
	validUntil  time.Time
}

// State is what an instance knows of the speed of targets; it is immutable. It answers the load of a pool some of whose
// targets work at half the rate of the others: with equal weights these are the home of as many prefixes as the others,
// and long requests to them are late while others have capacity.
type State struct {
	zone    coltsfootlink.ZoneName
	speeds  map[coltsfootlink.TargetName]speed
	weights map[coltsfootlink.PoolName]Weights
}

// NewState returns the state of an instance in a zone, which knows of no differences between targets.
func NewState(zone coltsfootlink.ZoneName) State { return State{zone: zone} }

// WithSpeeds adds speeds that the owner of targets has announced. They are used as weights from the next WithCatalog on.
// A speed of an earlier incarnation than the one known is late and ignored, and so is one that is no positive number.
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

// WithCatalog drops expired speeds, and derives the weights of the catalog's targets from the others.
func (state State) WithCatalog(now time.Time, catalog coltsfootlink.Catalog) State {
	if len(state.speeds) == 0 {
		state.weights = nil
		return state
	}
	state.speeds = maps.Clone(state.speeds)
	maps.DeleteFunc(state.speeds, func(_ coltsfootlink.TargetName, known speed) bool { return !now.Before(known.validUntil) })
	pools := make(map[coltsfootlink.PoolName]Weights)
	for name, known := range state.speeds {
		if target, found := catalog.Targets[name]; found && target.Incarnation == known.incarnation {
			if pools[target.Pool] == nil {
				pools[target.Pool] = make(Weights)
			}
			pools[target.Pool][name] = known.speed
		}
	}
	for pool, speeds := range pools {
		if pools[pool] = speeds.normalised(pool, catalog); len(pools[pool]) == 0 {
			delete(pools, pool)
		}
	}
	state.weights = pools
	return state
}

// normalised returns the speeds of a pool's targets divided by the median of all its targets, without those that are 1
// then. Owners may announce speeds relative to the rates in the settings, which no target may have; the speed of targets
// without an announcement counts as 1.
func (weights Weights) normalised(pool coltsfootlink.PoolName, catalog coltsfootlink.Catalog) Weights {
	speeds := make(map[coltsfootlink.TargetName]float64)
	for name, target := range catalog.Targets {
		if target.Pool != pool {
			continue
		}
		speeds[name] = 1
		if announced, found := weights[name]; found {
			speeds[name] = announced
		}
	}
	sorted := slices.Sorted(maps.Values(speeds))
	// Of two middle values the larger one is used, not their mean, so that at least one target has weight 1.
	median := sorted[len(sorted)/2]
	for name, speed := range speeds {
		speeds[name] = speed / median
	}
	maps.DeleteFunc(speeds, func(_ coltsfootlink.TargetName, weight float64) bool { return weight == 1 })
	return speeds
}

// Weights returns the weights in force by pool; pools whose targets all have weight 1 are not listed.
func (state State) Weights() map[coltsfootlink.PoolName]Weights { return state.weights }

// Range returns the lowest and the highest weight; both are 1 if there are none.
func (weights Weights) Range() (lowest, highest float64) {
	lowest, highest = 1, 1
	for _, weight := range weights {
		lowest, highest = min(lowest, weight), max(highest, weight)
	}
	return lowest, highest
}
