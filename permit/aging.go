package permit

import (
	"time"

	"coltsfootlink"
)

const (
	// agingStep is the share of the largest cost by which a charge is raised at least.
	agingStep = 0.1
	// paceWeight is the weight of a new sample in the pace of a pool's targets.
	paceWeight = 0.05
)

// WithAgedCharges raises the charges of permits that are held for longer than their charges explain, so
// that a long request counts before it ends.
func (state State) WithAgedCharges(now time.Time) State {
	for _, owned := range state.owned() {
		if owned.pace > 0 {
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
			likely := owned.likelyCost(state.lastAge(now, held.permit.Holder), held, pool)
			missing := likely - held.permit.Charge
			orphan := !held.orphanUntil.IsZero()
			if !found || orphan || missing < agingStep*pool.MaxCost {
				continue
			}
			share = share.WithCharge(team, missing)
			held.permit.Charge = likely
			slot.held = slot.held.Set(held.permit.ID, held)
		}
		return slot
	})
	return state.withShard(owned).withShare(pool.Name, share)
}

// likelyCost returns what a permit has cost by its age.
func (owned shard) likelyCost(now time.Time, held holding, pool coltsfootlink.Pool) float64 {
	return min(pool.MaxCost, owned.pace*now.Sub(held.grantedAt).Seconds())
}

// withPace learns how fast targets work from a permit that was held for a while.
func (owned shard) withPace(now time.Time, held holding, usage coltsfootlink.Usage) shard {
	seconds := now.Sub(held.grantedAt).Seconds()
	if usage.Result != coltsfootlink.Succeeded || seconds <= 0 || usage.Cost <= 0 {
		return owned
	}
	sample := usage.Cost / seconds
	if owned.pace == 0 {
		owned.pace = sample
		return owned
	}
	owned.pace += paceWeight * (sample - owned.pace)
	return owned
}
