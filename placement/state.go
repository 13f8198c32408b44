package placement

import (
	"maps"
	"time"

	"coltsfootlink"
	"coltsfootlink/engine"
)

// State is what an instance knows of the speed of targets and of the demand in the zones; it is immutable. What others
// announce is in force from the next WithCatalog on.
type State struct {
	zone   coltsfootlink.ZoneName
	rates  engine.Rates
	live   map[coltsfootlink.ZoneName]bool
	speeds map[coltsfootlink.TargetName]speed
	pools  map[coltsfootlink.PoolName]poolState
}

// poolState is what decides on the placement of the requests of one pool; its zero value is that of a pool of even targets
// and even demand.
type poolState struct {
	weights Weights
	demand  demand
	zones   Zones
	// pausedUntil is when the preference for the own zone applies again after one of its targets was full.
	pausedUntil time.Time
}

// NewState returns the state of an instance in a zone, which knows of no differences between targets or zones. The rates
// are those of the engine model.
func NewState(zone coltsfootlink.ZoneName, rates engine.Rates) State {
	return State{zone: zone, rates: rates}
}

// WithLive returns the state with other zones that have live instances; the caller must not change the map afterwards.
func (state State) WithLive(zones map[coltsfootlink.ZoneName]bool) State {
	state.live = zones
	return state
}

// WithCatalog drops what has expired, and derives the weights of the catalog's targets and the preferences for zones from
// the rest.
func (state State) WithCatalog(now time.Time, catalog coltsfootlink.Catalog) State {
	if len(state.speeds) == 0 && len(state.pools) == 0 {
		return state
	}
	state.speeds = maps.Clone(state.speeds)
	maps.DeleteFunc(state.speeds, func(_ coltsfootlink.TargetName, known speed) bool { return !now.Before(known.validUntil) })
	pools := make(map[coltsfootlink.PoolName]poolState)
	for name, pool := range state.pools {
		if pool = pool.withZones(now, state.zone, state.targetsByZone(name, catalog)); pool.demand.known(now) {
			pool.weights = Weights{}
			pools[name] = pool
		}
	}
	for name, weights := range state.poolWeights(catalog) {
		pool := pools[name]
		pool.weights = weights
		pools[name] = pool
	}
	state.pools = pools
	return state
}

// withPool returns the state with another state of one pool.
func (state State) withPool(name coltsfootlink.PoolName, pool poolState) State {
	pools := maps.Clone(state.pools)
	if pools == nil {
		pools = make(map[coltsfootlink.PoolName]poolState)
	}
	pools[name] = pool
	state.pools = pools
	return state
}

// Pools returns the names of the pools in which weights or preferences for zones may be in force.
func (state State) Pools() []coltsfootlink.PoolName {
	names := make([]coltsfootlink.PoolName, 0, len(state.pools))
	for name := range state.pools {
		names = append(names, name)
	}
	return names
}

// Weights returns the weights in force in a pool.
func (state State) Weights(pool coltsfootlink.PoolName) Weights { return state.pools[pool].weights }

// Zones returns what decides on the zones of a pool's requests.
func (state State) Zones(pool coltsfootlink.PoolName) Zones { return state.pools[pool].zones }
