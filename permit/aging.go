package permit

import (
	"time"

	"coltsfootlink"
)

const (
	// minAgingStep is the smallest increase of a charge by aging, as a fraction of the pool's maximum cost.
	minAgingStep = 0.1
	// costRateWeight is the weight of a new sample in the moving average of a shard's cost rate.
	costRateWeight = 0.05
)

// WithAgedCharges raises the charges of permits that have been held for longer than their charges account for, so
// that a long request counts against its team before it ends.
func (state State) WithAgedCharges(now time.Time) State {
	for _, owned := range state.ownedShards() {
		if owned.costRate > 0 {
			state = state.withAgedShard(now, owned)
		}
	}
	return state
}

func (state State) withAgedShard(now time.Time, owned shard) State {
	pool, known := state.configuration.Pools[owned.name.Pool]
	if !known {
		return state
	}
	share := state.share(pool)
	owned = owned.withSlots(func(slot Slot) Slot {
		for _, held := range slot.holdings() {
			team, found := state.configuration.Teams[held.permit.Team]
			likely := owned.likelyCost(state.agingTime(now, held.permit.Holder), held, pool)
			increase := likely - held.permit.Charge
			orphan := !held.orphanUntil.IsZero()
			if !found || orphan || increase < minAgingStep*pool.MaxCost {
				continue
			}
			share = share.WithCharge(team, increase)
			held.permit.Charge = likely
			slot.held = slot.held.Set(held.permit.ID, held)
		}
		return slot
	})
	return state.withShard(owned).withShare(pool.Name, share)
}

// likelyCost estimates the cost of a permit so far from the time for which it has been held.
func (owned shard) likelyCost(now time.Time, held holding, pool coltsfootlink.Pool) float64 {
	return min(pool.MaxCost, owned.costRate*now.Sub(held.grantedAt).Seconds())
}

// withCostRate adds the cost per second of a request that succeeded to the moving average of the shard.
func (owned shard) withCostRate(now time.Time, held holding, usage coltsfootlink.Usage) shard {
	seconds := now.Sub(held.grantedAt).Seconds()
	if usage.Result != coltsfootlink.Succeeded || seconds <= 0 || usage.Cost <= 0 {
		return owned
	}
	sample := usage.Cost / seconds
	if owned.costRate == 0 {
		owned.costRate = sample
		return owned
	}
	owned.costRate += costRateWeight * (sample - owned.costRate)
	return owned
}
