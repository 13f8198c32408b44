package permit

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Slot is what the owner of a shard knows of one target.
type Slot struct {
	Target  coltsfootlink.Target
	limiter coltsfootlink.Limiter
	held    *immutable.Map[coltsfootlink.PermitID, holding]
	// peak is the largest number of permits held since the last report.
	peak int
	// regained is the part of the limit won back while instances of the zone are out of sight.
	regained int
	// unsettled says that others may have granted permits that are not known here.
	unsettled bool
	// unreported says that the target has not reported since the shard was taken over.
	unreported bool
	// downSince is when the target was found not to answer; zero if it answers.
	downSince time.Time
	// suspects are the fingerprints of requests whose connections broke since the target was last known to run.
	suspects []uint64
	// suspectIncarnation is the target's incarnation when the first of the suspects' connections broke.
	suspectIncarnation uint64
	// foreign is the running requests of the newest report that no known permit explains, while unsettled.
	foreign int
}

// holding is a permit that counts against a target's limit.
type holding struct {
	permit coltsfootlink.Permit
	// grantedAt is when the permit became known here.
	grantedAt time.Time
	// confirmBy is when the holder is asked whether it holds the permit.
	confirmBy time.Time
	// orphanUntil is when the permit of an instance out of sight is given up; zero if its holder is seen.
	orphanUntil time.Time
}

// permitHasher hashes permit identifiers for immutable maps.
type permitHasher struct{}

// Hash returns the hash of an identifier.
func (permitHasher) Hash(id coltsfootlink.PermitID) uint32 {
	mixed := (uint64(id.Epoch) ^ id.Serial*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return uint32(mixed >> 32)
}

// Equal says whether two identifiers are the same.
func (permitHasher) Equal(left, right coltsfootlink.PermitID) bool { return left == right }

func newSlot(target coltsfootlink.Target, limiter coltsfootlink.Limiter) Slot {
	return Slot{
		Target:  target,
		limiter: limiter,
		held:    immutable.NewMap[coltsfootlink.PermitID, holding](permitHasher{}),
	}
}

// Held returns the number of permits that count against the target's limit.
func (slot Slot) Held() int { return slot.held.Len() }

// Limit returns the number of requests that the target may run.
func (slot Slot) Limit() int { return slot.limiter.Limit() }

// State returns live, leaving or silent.
func (slot Slot) State() string {
	switch {
	case !slot.downSince.IsZero():
		return "silent"
	case slot.Target.Leaving:
		return "leaving"
	default:
		return "live"
	}
}

// headroom returns how many more permits the portion of the limit allows.
func (slot Slot) headroom(portion int) int {
	if slot.Target.Leaving || !slot.downSince.IsZero() {
		return 0
	}
	allowed := min(slot.Limit(), portion+slot.regained)
	return allowed - slot.Held() - slot.foreign
}

func (slot Slot) withHolding(held holding) Slot {
	slot.held = slot.held.Set(held.permit.ID, held)
	slot.peak = max(slot.peak, slot.held.Len())
	return slot
}

func (slot Slot) withoutHolding(id coltsfootlink.PermitID) Slot {
	slot.held = slot.held.Delete(id)
	return slot
}

// withTarget follows the instance list.
func (slot Slot) withTarget(now time.Time, target coltsfootlink.Target) Slot {
	slot.limiter = slot.limiter.WithIncarnation(now, target.Incarnation)
	slot.Target = target
	return slot
}

// withUsage learns from the end of a request that ran beside running others.
func (slot Slot) withUsage(now time.Time, usage coltsfootlink.Usage, running int) Slot {
	slot.limiter = slot.limiter.WithUsage(now, usage, running)
	switch usage.Result {
	case coltsfootlink.Refused:
		return slot.withDown(now)
	case coltsfootlink.Crashed:
		if len(slot.suspects) == 0 {
			slot.suspectIncarnation = slot.limiter.Incarnation()
		}
		suspects := append([]uint64(nil), slot.suspects...)
		slot.suspects = append(suspects, usage.Fingerprint)
		return slot.withDown(now)
	default:
		return slot
	}
}

// withoutSuspects clears the suspects and returns a strike for each.
func (slot Slot) withoutSuspects(deadline time.Time) (Slot, []coltsfootlink.Strike) {
	var strikes []coltsfootlink.Strike
	for _, fingerprint := range slot.suspects {
		strikes = append(strikes, coltsfootlink.Strike{Fingerprint: fingerprint, Target: slot.Target.Name, Deadline: deadline})
	}
	slot.suspects = nil
	return slot, strikes
}

// withLoad learns from a report; the portion is what may be granted while instances of the zone are out of sight.
func (slot Slot) withLoad(now time.Time, load coltsfootlink.Load, asked time.Time, portion int) Slot {
	slot.limiter = slot.limiter.WithIncarnation(now, load.Incarnation)
	if asked.After(slot.downSince) {
		slot.downSince = time.Time{}
	}
	slot.unreported = false
	slot = slot.withoutEndedOrphans(load.Running, asked)
	slot.unsettled = slot.unsettled && load.Running > slot.peak
	slot.foreign = 0
	if slot.unsettled {
		slot.foreign = load.Running - slot.peak
	}
	slot.regained = slot.regainedAfter(load.Running, portion)
	slot.peak = slot.held.Len()
	return slot
}

// regainedAfter returns the part of the limit won back after a report. Only a portion that is used up and
// beside which the target runs nothing else shows that nobody else grants; an idle target shows nothing.
func (slot Slot) regainedAfter(running, portion int) int {
	split := portion < slot.Limit()
	usedUp := slot.peak >= portion+slot.regained
	switch {
	case !split || running > slot.peak:
		return 0
	case usedUp:
		return min(slot.regained+1, slot.Limit())
	default:
		return slot.regained
	}
}

// withDown stops grants until the target reports again.
func (slot Slot) withDown(now time.Time) Slot {
	if slot.downSince.IsZero() {
		slot.downSince = now
	}
	return slot
}

// withoutEndedOrphans gives up orphans that a report shows to have ended.
func (slot Slot) withoutEndedOrphans(running int, asked time.Time) Slot {
	for _, held := range slot.holdings() {
		orphan := !held.orphanUntil.IsZero() && held.grantedAt.Before(asked)
		if orphan && slot.held.Len() > running {
			slot = slot.withoutHolding(held.permit.ID)
		}
	}
	return slot
}

// withoutExpired gives up orphans whose deadline has passed.
func (slot Slot) withoutExpired(now time.Time) Slot {
	for _, held := range slot.holdings() {
		if !held.orphanUntil.IsZero() && now.After(held.orphanUntil) {
			slot = slot.withoutHolding(held.permit.ID)
		}
	}
	return slot
}

// withHolderLost marks the permits of an instance out of sight as orphans.
func (slot Slot) withHolderLost(holder coltsfootlink.InstanceName, until time.Time) Slot {
	for _, held := range slot.holdings() {
		if held.permit.Holder == holder && held.orphanUntil.IsZero() {
			held.orphanUntil = until
			slot.held = slot.held.Set(held.permit.ID, held)
		}
	}
	return slot
}

// withHoldings makes the holder's own list the truth for the permits that it can have seen.
func (slot Slot) withHoldings(now time.Time, holder coltsfootlink.InstanceName, holdings coltsfootlink.Holdings) Slot {
	listed := make(map[coltsfootlink.PermitID]bool, len(holdings.Permits))
	for _, permit := range holdings.Permits {
		if permit.Target != slot.Target.Name {
			continue
		}
		listed[permit.ID] = true
		known, found := slot.held.Get(permit.ID)
		if !found {
			known = holding{permit: permit, grantedAt: now}
		}
		known.confirmBy = now.Add(confirmLimit)
		known.orphanUntil = time.Time{}
		slot = slot.withHolding(known)
	}
	for _, held := range slot.holdings() {
		seen := held.permit.ID.Epoch < holdings.Epoch ||
			held.permit.ID.Epoch == holdings.Epoch && held.permit.ID.Serial <= holdings.LastSerial
		lost := now.After(held.permit.StartBy)
		if held.permit.Holder == holder && !listed[held.permit.ID] && (seen || lost) {
			slot = slot.withoutHolding(held.permit.ID)
		}
	}
	return slot
}

// withUnconfirmed returns the holders that have to be asked for their permits.
func (slot Slot) withUnconfirmed(now time.Time) (Slot, []coltsfootlink.InstanceName) {
	var holders []coltsfootlink.InstanceName
	for _, held := range slot.holdings() {
		if held.orphanUntil.IsZero() && now.After(held.confirmBy) {
			holders = append(holders, held.permit.Holder)
			held.confirmBy = now.Add(confirmLimit)
			slot.held = slot.held.Set(held.permit.ID, held)
		}
	}
	return slot, holders
}

func (slot Slot) holdings() []holding {
	holdings := make([]holding, 0, slot.held.Len())
	for iterator := slot.held.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		holdings = append(holdings, held)
	}
	return holdings
}
