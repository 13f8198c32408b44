package permit

import "coltsfootlink"

// RolloutReport is the progress of a version move in one shard.
type RolloutReport struct {
	Shard    coltsfootlink.Shard
	Move     coltsfootlink.Move
	Share    float64
	Complete bool
	Healthy  bool
	// Fault describes the fault found in the new version; empty if none was found.
	Fault string
}

// WithRolloutGrowth raises the traffic shares of new versions on which enough requests have succeeded.
func (state State) WithRolloutGrowth() State {
	for _, owned := range state.ownedShards() {
		if owned.rollout != nil {
			owned.rollout = owned.rollout.WithGrowth()
			state = state.withShard(owned)
		}
	}
	return state
}

// WithMoveFault stops all traffic to the new version of a move.
func (state State) WithMoveFault(fault coltsfootlink.MoveFault) State {
	for _, owned := range state.ownedShards() {
		if owned.name.Pool != fault.Pool || owned.rollout == nil || owned.rollout.Move().Started != fault.Started {
			continue
		}
		owned.rollout = owned.rollout.WithFault(fault.Reason)
		state = state.withShard(owned)
	}
	return state
}

// Rollouts returns the progress of the owned shards in their moves.
func (state State) Rollouts() []RolloutReport {
	var reports []RolloutReport
	for _, owned := range state.ownedShards() {
		if owned.rollout == nil {
			continue
		}
		reports = append(reports, RolloutReport{
			Shard:    owned.name,
			Move:     owned.rollout.Move(),
			Share:    owned.rollout.Share(),
			Complete: owned.rollout.Complete(),
			Healthy:  owned.rollout.Healthy(),
			Fault:    owned.rollout.Fault(),
		})
	}
	return reports
}

// withMove starts, updates or removes the shard's rollout according to the pool's newest move.
func (owned shard) withMove(move coltsfootlink.Move, found bool, start func(coltsfootlink.Move) coltsfootlink.Rollout) shard {
	switch {
	case !found:
		owned.rollout = nil
	case owned.rollout == nil || owned.rollout.Move().Started != move.Started:
		owned.rollout = start(move)
	default:
		owned.rollout = owned.rollout.WithMove(move)
	}
	return owned
}

// withRolloutUsage adds the result of a request to the statistics of the shard's rollout.
func (owned shard) withRolloutUsage(version coltsfootlink.Version, usage coltsfootlink.Usage) shard {
	if owned.rollout != nil {
		owned.rollout = owned.rollout.WithUsage(version, usage)
	}
	return owned
}

// pickSlot returns the target for the next permit: the one with the most headroom among those of the version that the
// rollout prefers, or else among all that it allows; false if none has headroom.
func (owned shard) pickSlot(headroom func(Slot) int) (Slot, bool) {
	if owned.rollout == nil {
		return owned.best(headroom)
	}
	preferred := owned.rollout.Prefers()
	slot, found := owned.best(func(slot Slot) int {
		if slot.Target.Version != preferred || !owned.rollout.Allows(preferred) {
			return 0
		}
		return headroom(slot)
	})
	if found {
		return slot, true
	}
	return owned.best(func(slot Slot) int {
		if !owned.rollout.Allows(slot.Target.Version) {
			return 0
		}
		return headroom(slot)
	})
}
