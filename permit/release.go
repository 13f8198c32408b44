package permit

import (
	"time"

	"coltsfootlink"
)

// WithRelease returns a permit to its target's capacity and adds its use to the statistics and the service counters.
// A permit that is not held, such as one released twice, changes nothing.
func (state State) WithRelease(now time.Time, release coltsfootlink.Release) State {
	permit := release.Permit
	owned, found := state.shards.Get(permit.Shard.String())
	if !found {
		return state
	}
	slot, found := owned.slots.Get(permit.Target)
	if !found {
		return state
	}
	known, held := slot.held.Get(permit.ID)
	if !held {
		return state
	}
	running := slot.Held()
	portion := state.portion(owned, slot.Limit())
	if running >= portion {
		// The owner's portion of the limit is used up, which counts as full use of the limit.
		running = max(running, slot.Limit())
	}
	slot = slot.withUsage(now, release.Usage, running)
	owned.slots = owned.slots.Set(permit.Target, slot.withoutHolding(permit.ID))
	owned = owned.withCostRate(now, known, release.Usage).withRolloutUsage(slot.Target.Version, release.Usage)
	usage := release.Usage
	if usage.Result == coltsfootlink.Crashed || usage.Result == coltsfootlink.Cancelled {
		// A truncated answer does not report its cost, so the cost is at least the estimate from the permit's age.
		usage.Cost = max(usage.Cost, owned.likelyCost(now, known, state.configuration.Pools[permit.Shard.Pool]))
	}
	return state.withShard(owned).withCost(known.permit, usage)
}

func (state State) withCost(permit coltsfootlink.Permit, usage coltsfootlink.Usage) State {
	pool, known := state.configuration.Pools[permit.Shard.Pool]
	team, found := state.configuration.Teams[permit.Team]
	if !known || !found {
		return state
	}
	share := state.share(pool)
	if usage.Result == coltsfootlink.Unused || usage.Result == coltsfootlink.Refused {
		return state.withShare(pool.Name, share.WithRefund(team, permit.Charge))
	}
	return state.withShare(pool.Name, share.WithCost(team, permit.Charge, usage.Cost))
}
