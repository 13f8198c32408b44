package permit

import (
	"coltsfootlink"
)

// WithCounters merges the service counters of another instance.
func (state State) WithCounters(counters coltsfootlink.Counters) State {
	pool, known := state.configuration.Pools[counters.Pool]
	if !known {
		return state
	}
	return state.withShare(pool.Name, state.share(pool).WithCounters(counters))
}

// WithSentCounters marks the counters of a pool as sent to the other instances.
func (state State) WithSentCounters(pool coltsfootlink.PoolName) State {
	share, found := state.shares.Get(pool)
	if !found {
		return state
	}
	return state.withShare(pool, share.WithSent())
}

// Counters returns, for each owned pool, the counters that have changed since they were last sent.
func (state State) Counters() []coltsfootlink.Counters {
	var all []coltsfootlink.Counters
	for _, pool := range state.ownedPools() {
		counters := state.poolCounters(pool, false)
		if len(counters.Parts)+len(counters.Lifts) > 0 {
			all = append(all, counters)
		}
	}
	return all
}

// PoolCounters returns all known service counters of a pool.
func (state State) PoolCounters(pool coltsfootlink.PoolName) coltsfootlink.Counters {
	return state.poolCounters(pool, true)
}

func (state State) poolCounters(pool coltsfootlink.PoolName, full bool) coltsfootlink.Counters {
	share, found := state.shares.Get(pool)
	if !found {
		return coltsfootlink.Counters{}
	}
	counters := share.Counters(full)
	counters.Pool = pool
	return counters
}

// Service returns the service that each team has got in a pool, in the whole fleet and divided by the team's weight.
func (state State) Service(pool coltsfootlink.PoolName) map[coltsfootlink.TeamName]float64 {
	services := make(map[coltsfootlink.TeamName]float64)
	share, found := state.shares.Get(pool)
	if !found {
		return services
	}
	for team := range state.configuration.Teams {
		services[team] = share.Service(team)
	}
	return services
}
