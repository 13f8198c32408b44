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
	// awaiting are the instances that have not yet announced their permits.
	awaiting map[coltsfootlink.InstanceName]bool
	// askAt is when the missing announcements are asked for again.
	askAt time.Time
	// awaitUntil is when granting starts without the missing announcements.
	awaitUntil time.Time
	// rollout follows the pool's version move; nil if there is none.
	rollout coltsfootlink.Rollout
	// pace is the usual cost of a second of a permit, in the pool's unit; zero if not yet known.
	pace    float64
	slots   *immutable.SortedMap[coltsfootlink.TargetName, Slot]
	demands *immutable.SortedMap[coltsfootlink.InstanceName, demand]
}

func newShard(name coltsfootlink.Shard) shard {
	return shard{
		name:    name,
		slots:   immutable.NewSortedMap[coltsfootlink.TargetName, Slot](nil),
		demands: immutable.NewSortedMap[coltsfootlink.InstanceName, demand](nil),
	}
}

// collecting says whether announcements of permits are still awaited.
func (owned shard) collecting(now time.Time) bool {
	return len(owned.awaiting) > 0 && now.Before(owned.awaitUntil)
}

// withTakeover starts a new epoch and awaits the announcements of the given instances.
func (owned shard) withTakeover(epoch coltsfootlink.Epoch, from []coltsfootlink.InstanceName, until time.Time) shard {
	owned.epoch = max(epoch, owned.epoch+1)
	owned.serial = 0
	owned.awaiting = make(map[coltsfootlink.InstanceName]bool, len(from))
	for _, instance := range from {
		owned.awaiting[instance] = true
	}
	owned.awaitUntil = until
	owned.demands = immutable.NewSortedMap[coltsfootlink.InstanceName, demand](nil)
	return owned.withSlots(func(slot Slot) Slot {
		slot.unsettled = true
		return slot
	})
}

// withReportsAwaited notes that the targets have not reported to this owner yet.
func (owned shard) withReportsAwaited() shard {
	return owned.withSlots(func(slot Slot) Slot {
		slot.unreported = true
		return slot
	})
}

// withAnnouncement notes the permits that an instance holds.
func (owned shard) withAnnouncement(now time.Time, from coltsfootlink.InstanceName, holdings coltsfootlink.Holdings) shard {
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

// withTargets follows the instance list; new targets start cold, vanished ones are dropped.
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

// withHolderLost forgets the demand of an instance out of sight and marks its permits as orphans.
func (owned shard) withHolderLost(holder coltsfootlink.InstanceName, until time.Time) shard {
	owned.demands = owned.demands.Delete(holder)
	if owned.awaiting[holder] {
		owned.awaiting = maps.Clone(owned.awaiting)
		delete(owned.awaiting, holder)
	}
	return owned.withSlots(func(slot Slot) Slot { return slot.withHolderLost(holder, until) })
}

func (owned shard) demand(from coltsfootlink.InstanceName) demand {
	if asked, found := owned.demands.Get(from); found {
		return asked
	}
	return newDemand()
}

// withAsked returns the instances that have to be asked again for their announcements.
func (owned shard) withAsked(now time.Time) (shard, []coltsfootlink.InstanceName) {
	if !owned.collecting(now) || now.Before(owned.askAt) {
		return owned, nil
	}
	owned.askAt = now.Add(askPause)
	return owned, slices.Sorted(maps.Keys(owned.awaiting))
}

// withoutExpired gives up orphans whose deadlines have passed, and returns the holders that have to
// confirm their permits.
func (owned shard) withoutExpired(now time.Time) (shard, []coltsfootlink.InstanceName) {
	var holders []coltsfootlink.InstanceName
	owned = owned.withSlots(func(slot Slot) Slot {
		slot, unconfirmed := slot.withoutExpired(now).withUnconfirmed(now)
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
	owned.slots = owned.slots.Set(permit.Target, slot.withHolding(holding{permit: permit, grantedAt: now, confirmBy: now.Add(confirmLimit)}))
	owned.demands = owned.demands.Set(permit.Holder, owned.demand(permit.Holder).withGrant(permit))
	owned.serial = permit.ID.Serial
	if owned.rollout != nil {
		owned.rollout = owned.rollout.WithGrant(slot.Target.Version)
	}
	return owned
}

// lines returns the demand by team, in the order of the teams' names.
func (owned shard) lines(now time.Time, teams map[coltsfootlink.TeamName]coltsfootlink.Team) []line {
	byTeam := make(map[coltsfootlink.TeamName]line)
	for iterator := owned.demands.Iterator(); !iterator.Done(); {
		instance, asked, _ := iterator.Next()
		for wanted := asked.teams.Iterator(); !wanted.Done(); {
			name, known, _ := wanted.Next()
			team, configured := teams[name]
			if !configured || known.waiting() <= 0 {
				continue
			}
			lined := byTeam[name]
			lined.candidate.Team = team
			byTeam[name] = lined.withHolder(now, instance, known)
		}
	}
	var lines []line
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		lines = append(lines, byTeam[team])
	}
	return lines
}

// best returns the target with the most headroom; false if none has any.
func (owned shard) best(headroom func(Slot) int) (Slot, bool) {
	var best Slot
	bestHeadroom := 0
	for iterator := owned.slots.Iterator(); !iterator.Done(); {
		_, slot, _ := iterator.Next()
		if room := headroom(slot); room > bestHeadroom {
			best, bestHeadroom = slot, room
		}
	}
	return best, bestHeadroom > 0
}
