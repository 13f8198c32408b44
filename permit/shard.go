package permit

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// shard is the state of one owned shard.
type shard struct {
	name   coltsfootlink.Shard
	epoch  coltsfootlink.Epoch
	serial uint64
	// awaiting are the instances that have not yet reported their holdings in this epoch.
	awaiting map[coltsfootlink.InstanceName]bool
	// retryAt is when the instances in awaiting are asked again.
	retryAt time.Time
	// awaitUntil is when granting starts even if holdings are still missing.
	awaitUntil time.Time
	// rollout carries out the pool's version move; nil if there is none.
	rollout coltsfootlink.Rollout
	// costRate is the average cost per second for which a permit is held, in the pool's unit; zero if not known yet.
	costRate float64
	slots    *immutable.SortedMap[coltsfootlink.TargetName, Slot]
	demands  *immutable.SortedMap[coltsfootlink.InstanceName, demand]
}

func newShard(name coltsfootlink.Shard) shard {
	return shard{
		name:    name,
		slots:   immutable.NewSortedMap[coltsfootlink.TargetName, Slot](nil),
		demands: immutable.NewSortedMap[coltsfootlink.InstanceName, demand](nil),
	}
}

// collecting reports whether the shard still waits for holdings and grants nothing.
func (owned shard) collecting(now time.Time) bool {
	return len(owned.awaiting) > 0 && now.Before(owned.awaitUntil)
}

// withEpoch starts a new epoch and waits for the holdings of the given instances.
func (owned shard) withEpoch(epoch coltsfootlink.Epoch, from []coltsfootlink.InstanceName, until time.Time) shard {
	owned.epoch = max(epoch, owned.epoch+1)
	owned.serial = 0
	owned.awaiting = make(map[coltsfootlink.InstanceName]bool, len(from))
	for _, instance := range from {
		owned.awaiting[instance] = true
	}
	owned.awaitUntil = until
	owned.demands = immutable.NewSortedMap[coltsfootlink.InstanceName, demand](nil)
	return owned.withSlots(func(slot Slot) Slot {
		slot.unreconciled = true
		return slot
	})
}

// withLoadUnreported marks all targets as not having reported their load to this owner yet.
func (owned shard) withLoadUnreported() shard {
	return owned.withSlots(func(slot Slot) Slot {
		slot.loadUnreported = true
		return slot
	})
}

// withHoldings applies an instance's report of the permits that it holds.
func (owned shard) withHoldings(now time.Time, from coltsfootlink.InstanceName, holdings coltsfootlink.Holdings) shard {
	collecting := owned.awaiting[from]
	if collecting {
		owned.awaiting = maps.Clone(owned.awaiting)
		delete(owned.awaiting, from)
	}
	return owned.withSlots(func(slot Slot) Slot {
		slot = slot.withHoldings(now, from, holdings)
		if collecting {
			slot.limiter = slot.limiter.WithRunning(slot.Held())
		}
		return slot
	})
}

// withTargets applies the targets of the instance list: new ones start cold, missing ones are dropped.
func (owned shard) withTargets(now time.Time, targets []coltsfootlink.Target, start func(coltsfootlink.Target) coltsfootlink.Limiter) shard {
	slots := immutable.NewSortedMap[coltsfootlink.TargetName, Slot](nil)
	for _, target := range targets {
		slot, found := owned.slots.Get(target.Name)
		if !found {
			slot = newSlot(target, start(target))
		}
		slots = slots.Set(target.Name, slot.withTarget(now, target))
	}
	owned.slots = slots
	return owned
}

func (owned shard) withDemand(from coltsfootlink.InstanceName, report coltsfootlink.Demand) shard {
	owned.demands = owned.demands.Set(from, owned.demand(from).withReport(report, owned.epoch))
	return owned
}

// withHolderLost drops the demand of an instance that is no longer live and marks its permits as orphans.
func (owned shard) withHolderLost(holder coltsfootlink.InstanceName, until time.Time) shard {
	owned.demands = owned.demands.Delete(holder)
	if owned.awaiting[holder] {
		owned.awaiting = maps.Clone(owned.awaiting)
		delete(owned.awaiting, holder)
	}
	return owned.withSlots(func(slot Slot) Slot { return slot.withHolderLost(holder, until) })
}

func (owned shard) demand(from coltsfootlink.InstanceName) demand {
	if reported, found := owned.demands.Get(from); found {
		return reported
	}
	return newDemand()
}

// withHoldingsRequested returns the instances that have to be asked again for their holdings, and sets the time of
// the next retry.
func (owned shard) withHoldingsRequested(now time.Time) (shard, []coltsfootlink.InstanceName) {
	if !owned.collecting(now) || now.Before(owned.retryAt) {
		return owned, nil
	}
	owned.retryAt = now.Add(holdingsRetryInterval)
	return owned, slices.Sorted(maps.Keys(owned.awaiting))
}

// withoutExpired drops orphaned permits whose deadlines have passed, and returns the holders that have to confirm
// their permits.
func (owned shard) withoutExpired(now time.Time) (shard, []coltsfootlink.InstanceName) {
	var holders []coltsfootlink.InstanceName
	owned = owned.withSlots(func(slot Slot) Slot {
		slot, unconfirmed := slot.withoutExpired(now).withConfirmationRequested(now)
		holders = append(holders, unconfirmed...)
		return slot
	})
	slices.Sort(holders)
	return owned, slices.Compact(holders)
}

func (owned shard) withSlots(change func(Slot) Slot) shard {
	for iterator := owned.slots.Iterator(); !iterator.Done(); {
		name, slot, _ := iterator.Next()
		owned.slots = owned.slots.Set(name, change(slot))
	}
	return owned
}

func (owned shard) withGrant(now time.Time, permit coltsfootlink.Permit) shard {
	slot, _ := owned.slots.Get(permit.Target)
	owned.slots = owned.slots.Set(permit.Target, slot.withHolding(holding{permit: permit, grantedAt: now, confirmBy: now.Add(confirmTimeout)}))
	owned.demands = owned.demands.Set(permit.Holder, owned.demand(permit.Holder).withGrant(permit))
	owned.serial = permit.ID.Serial
	if owned.rollout != nil {
		owned.rollout = owned.rollout.WithGrant(slot.Target.Version)
	}
	return owned
}

// backlogs returns the backlog of each team, sorted by team name.
func (owned shard) backlogs(now time.Time, teams map[coltsfootlink.TeamName]coltsfootlink.Team) []teamBacklog {
	byTeam := make(map[coltsfootlink.TeamName]teamBacklog)
	for iterator := owned.demands.Iterator(); !iterator.Done(); {
		instance, reported, _ := iterator.Next()
		for teamDemands := reported.teams.Iterator(); !teamDemands.Done(); {
			name, known, _ := teamDemands.Next()
			team, configured := teams[name]
			if !configured || known.waiting() <= 0 {
				continue
			}
			backlog := byTeam[name]
			backlog.candidate.Team = team
			byTeam[name] = backlog.withInstance(now, instance, known)
		}
	}
	var backlogs []teamBacklog
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		backlogs = append(backlogs, byTeam[team])
	}
	return backlogs
}

// best returns the target with the most headroom; false if none has any.
func (owned shard) best(headroom func(Slot) int) (Slot, bool) {
	var best Slot
	bestHeadroom := 0
	for iterator := owned.slots.Iterator(); !iterator.Done(); {
		_, slot, _ := iterator.Next()
		if free := headroom(slot); free > bestHeadroom {
			best, bestHeadroom = slot, free
		}
	}
	return best, bestHeadroom > 0
}
