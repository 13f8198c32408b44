package quarantine

import (
	"maps"
	"slices"

	"coltsfootlink"
)

// anyPool stands for the pools of which nothing is known but the crashes in others.
const anyPool coltsfootlink.PoolName = ""

// Pools holds the states of all pools; it is immutable. A part of prompts that crashes targets of one pool is likely to crash
// those of others, so each state takes the crashes elsewhere into account. What counts for each pool is its own answers.
type Pools struct {
	states map[coltsfootlink.PoolName]State
}

// State returns the state of a pool.
func (pools Pools) State(pool coltsfootlink.PoolName) State {
	if state, found := pools.states[pool]; found {
		return state
	}
	if state, found := pools.states[anyPool]; found {
		return state
	}
	return NewState()
}

// With replaces the state of a pool.
func (pools Pools) With(pool coltsfootlink.PoolName, state State) Pools {
	before := pools.State(pool)
	pools.states = maps.Clone(pools.states)
	if pools.states == nil {
		pools.states = map[coltsfootlink.PoolName]State{anyPool: NewState()}
	}
	pools.states[pool] = state
	if slices.EqualFunc(before.suspected, state.suspected, sameEvidence) {
		return pools
	}
	for other, next := range pools.states {
		if other != pool {
			pools.states[other] = next.withElsewhere(pools.suspectedOutside(other))
		}
	}
	return pools
}

// suspectedOutside returns the evidence of the crashes in other pools.
func (pools Pools) suspectedOutside(pool coltsfootlink.PoolName) []evidence {
	var found []evidence
	for other, state := range pools.states {
		if other != pool {
			found = append(found, state.suspected...)
		}
	}
	slices.SortFunc(found, evidence.compare)
	return found
}
