package permit

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Slot is the state of one target at the owner of its shard.
type Slot struct {
	Target  coltsfootlink.Target
	limiter coltsfootlink.Limiter
	held    *immutable.Map[coltsfootlink.PermitID, holding]
	// peakHeld is the largest number of permits held since the last load report.
	peakHeld int
	// reclaimed is the part of the limit beyond the owner's portion that the owner may use while instances of the zone
	// are unresponsive; it grows while load reports show that no other owner grants permits.
	reclaimed int
	// unreconciled indicates that another owner may have granted permits that are not known here.
	unreconciled bool
	// loadUnreported indicates that the target has not reported its load since the shard was taken over.
	loadUnreported bool
	// downSince is when the target was found unresponsive; zero again once it answers a later request for its load
	// report.
	downSince time.Time
	// suspects are the fingerprints of requests whose connections broke since the target was last known to be up.
	suspects []uint64
	// suspectIncarnation is the target's incarnation when the first of these connections broke.
	suspectIncarnation uint64
	// unexplained is the number of running requests in the newest load report that no known permit accounts for; zero
	// unless unreconciled is set.
	unexplained int
}

// holding is a permit that counts against a target's limit.
type holding struct {
	permit coltsfootlink.Permit
	// grantedAt is when the permit was granted, or first reported to this owner by its holder.
	grantedAt time.Time
	// confirmBy is when the holder is next asked whether it still holds the permit.
	confirmBy time.Time
	// orphanUntil is when the permit of an instance that is no longer live is dropped; zero if its holder is live.
	orphanUntil time.Time
}

// permitHasher hashes and compares permit identifiers, as keys of immutable maps.
type permitHasher struct{}

// Hash returns the hash of a permit identifier.
func (permitHasher) Hash(id coltsfootlink.PermitID) uint32 {
	mixed := (uint64(id.Epoch) ^ id.Serial*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return uint32(mixed >> 32)
}

// Equal reports whether two permit identifiers are equal.
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

// Limit returns the target's concurrency limit.
func (slot Slot) Limit() int { return slot.limiter.Limit() }

// State returns the state that operators are shown: live, leaving or silent, which means that the target is
// unresponsive.
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

// headroom returns how many more permits may be granted if the owner may use the given portion of the limit.
func (slot Slot) headroom(portion int) int {
	if slot.Target.Leaving || !slot.downSince.IsZero() {
		return 0
	}
	allowed := min(slot.Limit(), portion+slot.reclaimed)
	return allowed - slot.Held() - slot.unexplained
}

func (slot Slot) withHolding(held holding) Slot {
	slot.held = slot.held.Set(held.permit.ID, held)
	slot.peakHeld = max(slot.peakHeld, slot.held.Len())
	return slot
}

func (slot Slot) withoutHolding(id coltsfootlink.PermitID) Slot {
	slot.held = slot.held.Delete(id)
	return slot
}

// withTarget applies the target's entry in the instance list.
func (slot Slot) withTarget(now time.Time, target coltsfootlink.Target) Slot {
	slot.limiter = slot.limiter.WithIncarnation(now, target.Incarnation)
	slot.Target = target
	return slot
}

// withUsage applies the result of a request; running is the number of requests that ran beside it. A refused or
// broken connection stops grants until the target reports its load again.
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
		strikes = append(strikes, coltsfootlink.Strike{Fingerprint: fingerprint, Target: slot.Target.Name, Incarnation: slot.suspectIncarnation, Deadline: deadline})
	}
	slot.suspects = nil
	return slot, strikes
}

// withLoad applies a load report; portion is the part of the limit that this owner may grant.
func (slot Slot) withLoad(now time.Time, load coltsfootlink.Load, asked time.Time, portion int) Slot {
	slot.limiter = slot.limiter.WithIncarnation(now, load.Incarnation)
	if asked.After(slot.downSince) {
		slot.downSince = time.Time{}
	}
	slot.loadUnreported = false
	slot = slot.withoutEndedOrphans(load.Running, asked)
	slot.unreconciled = slot.unreconciled && load.Running > slot.peakHeld
	slot.unexplained = 0
	if slot.unreconciled {
		slot.unexplained = load.Running - slot.peakHeld
	}
	slot.reclaimed = slot.reclaimedAfter(load.Running, portion)
	slot.peakHeld = slot.held.Len()
	return slot
}

// reclaimedAfter returns the reclaimed part of the limit after a load report. It grows by one if the portion is used
// up and the target runs nothing beyond it, which shows that no other owner grants permits; an idle target does not
// show that. It falls to zero if the portion is the full limit, or if the target runs more than the known permits.
func (slot Slot) reclaimedAfter(running, portion int) int {
	split := portion < slot.Limit()
	usedUp := slot.peakHeld >= portion+slot.reclaimed
	switch {
	case !split || running > slot.peakHeld:
		return 0
	case usedUp:
		return min(slot.reclaimed+1, slot.Limit())
	default:
		return slot.reclaimed
	}
}

// withDown stops grants until the target reports its load again.
func (slot Slot) withDown(now time.Time) Slot {
	if slot.downSince.IsZero() {
		slot.downSince = now
	}
	return slot
}

// withoutEndedOrphans drops orphaned permits as long as more permits are held than the target was running requests when
// it was asked. Permits granted after that are kept.
func (slot Slot) withoutEndedOrphans(running int, asked time.Time) Slot {
	for _, held := range slot.holdings() {
		orphan := !held.orphanUntil.IsZero() && held.grantedAt.Before(asked)
		if orphan && slot.held.Len() > running {
			slot = slot.withoutHolding(held.permit.ID)
		}
	}
	return slot
}

// withoutExpired drops orphaned permits whose deadlines have passed.
func (slot Slot) withoutExpired(now time.Time) Slot {
	for _, held := range slot.holdings() {
		if !held.orphanUntil.IsZero() && now.After(held.orphanUntil) {
			slot = slot.withoutHolding(held.permit.ID)
		}
	}
	return slot
}

// withHolderLost marks the permits of an instance that is no longer live as orphans.
func (slot Slot) withHolderLost(holder coltsfootlink.InstanceName, until time.Time) Slot {
	for _, held := range slot.holdings() {
		if held.permit.Holder == holder && held.orphanUntil.IsZero() {
			held.orphanUntil = until
			slot.held = slot.held.Set(held.permit.ID, held)
		}
	}
	return slot
}

// withHoldings reconciles the permits of a holder with its own list. A permit that is not listed is dropped if the
// holder must have received it, or if it is too late to start using it; otherwise the permit may still be in flight.
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
		known.confirmBy = now.Add(confirmTimeout)
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

// withConfirmationRequested returns the holders of permits whose confirmation is due, and sets the time of the next
// one.
func (slot Slot) withConfirmationRequested(now time.Time) (Slot, []coltsfootlink.InstanceName) {
	var holders []coltsfootlink.InstanceName
	for _, held := range slot.holdings() {
		if held.orphanUntil.IsZero() && now.After(held.confirmBy) {
			holders = append(holders, held.permit.Holder)
			held.confirmBy = now.Add(confirmTimeout)
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
