package permit

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// holdingsTimeout is how long a new owner waits for the other instances' holdings before it grants permits.
	holdingsTimeout = 2 * time.Second
	// holdingsRetryInterval is the time between two requests for an instance's holdings.
	holdingsRetryInterval = 200 * time.Millisecond
	// orphanTimeout is how long permits of an instance that is no longer live count if no load report shows that they
	// have ended.
	orphanTimeout = 60 * time.Second
	// startTimeout is how long after the grant a holder may start using a permit.
	startTimeout = 2 * time.Second
	// confirmTimeout is how long a permit counts before its holder is asked to confirm it.
	confirmTimeout = 5 * time.Second
	// contactTimeout is how long the charges of an instance's permits continue to age after its last message. An
	// instance whose waiting requests use up its permits sends several messages in that time.
	contactTimeout = 250 * time.Millisecond
)

// Rules are the policies of a shard owner, as configured by operators.
type Rules struct {
	Placement coltsfootlink.Placement
	// Blind lets a new owner grant permits at once, without collecting the permits that are held. It is the baseline
	// that the handover with collection is compared with.
	Blind bool
	// NewShare returns a fair scheduler for a pool, with empty counters.
	NewShare func(coltsfootlink.Pool) coltsfootlink.FairShare
	// NewLimiter returns the limiter of a target that has just started.
	NewLimiter func(coltsfootlink.Pool, coltsfootlink.Target, time.Time) coltsfootlink.Limiter
	// NewRollout returns the rollout of a version move that has just started.
	NewRollout func(coltsfootlink.Move) coltsfootlink.Rollout
}

// Envelope is a message and the instance that it is sent to.
type Envelope struct {
	To      coltsfootlink.InstanceName
	Message coltsfootlink.Message
}

// State is what one instance knows as an owner of shards; it is immutable.
type State struct {
	self          coltsfootlink.InstanceName
	rules         Rules
	configuration coltsfootlink.Configuration
	view          coltsfootlink.View
	targets       []coltsfootlink.Target
	shards        *immutable.SortedMap[string, shard]
	shares        *immutable.SortedMap[coltsfootlink.PoolName, coltsfootlink.FairShare]
	// agingUntil is when the charges of an instance's permits stop aging, for each instance that has sent a message.
	agingUntil *immutable.SortedMap[coltsfootlink.InstanceName, time.Time]
}

// NewState returns the state of an owner without shards.
func NewState(self coltsfootlink.InstanceName, rules Rules) State {
	return State{
		self:       self,
		rules:      rules,
		shards:     immutable.NewSortedMap[string, shard](nil),
		shares:     immutable.NewSortedMap[coltsfootlink.PoolName, coltsfootlink.FairShare](nil),
		agingUntil: immutable.NewSortedMap[coltsfootlink.InstanceName, time.Time](nil),
	}
}

// WithConfiguration applies a new configuration. Targets of a zone that returns to service start cold.
func (state State) WithConfiguration(now time.Time, configuration coltsfootlink.Configuration) (State, []Envelope) {
	before := state.configuration
	state.configuration = configuration
	state, envelopes := state.WithOwnership(now)
	for _, owned := range state.ownedShards() {
		state = state.withShard(owned.withSlots(func(slot Slot) Slot {
			if before.ZoneOut(slot.Target.Zone) && !configuration.ZoneOut(slot.Target.Zone) {
				slot.limiter = slot.limiter.WithCold(now)
			}
			return slot
		}))
	}
	return state, envelopes
}

// WithTargets applies the targets of a new instance list.
func (state State) WithTargets(now time.Time, targets []coltsfootlink.Target) (State, []Envelope) {
	state.targets = targets
	return state.WithOwnership(now)
}

// WithView applies a new view of the membership. When an instance of a shard's zone becomes live, the shard grants
// nothing until the instance has reported the permits that it holds.
func (state State) WithView(now time.Time, view coltsfootlink.View) (State, []Envelope) {
	previous := state.view
	state.view = view
	state = state.withLostHolders(now, previous)
	state, envelopes := state.WithOwnership(now)
	for _, member := range view.JoinedSince(previous) {
		var more []Envelope
		state, more = state.withNewMember(now, member)
		envelopes = append(envelopes, more...)
	}
	return state, envelopes
}

// WithSuspension makes every shard collect the held permits again after the process was suspended.
func (state State) WithSuspension(now time.Time) (State, []Envelope) {
	var envelopes []Envelope
	for _, owned := range state.ownedShards() {
		var more []Envelope
		state, more = state.withNewEpoch(now, owned)
		envelopes = append(envelopes, more...)
	}
	return state, envelopes
}

// WithContact records that a message from an instance was received, so that the charges of its permits continue to
// age. A period without messages is charged as well once the instance sends again, but not if it never does, since
// its teams would then be charged for service that they did not get.
func (state State) WithContact(now time.Time, from coltsfootlink.InstanceName) State {
	state.agingUntil = state.agingUntil.Set(from, now.Add(contactTimeout))
	return state
}

// WithBrokenLink drops the demand of an instance that may be dead and stops aging the charges of its permits; if it
// is alive, it reports its demand again and aging resumes. Without this, a dead instance would be granted permits
// until the membership finds it unresponsive, and its teams would be charged for time in which they were not served.
// The permits that it holds stay counted.
func (state State) WithBrokenLink(now time.Time, to coltsfootlink.InstanceName) State {
	for _, owned := range state.ownedShards() {
		owned.demands = owned.demands.Delete(to)
		state = state.withShard(owned)
	}
	state.agingUntil = state.agingUntil.Set(to, state.agingTime(now, to))
	return state
}

// agingTime returns the time up to which the charges of an instance's permits age.
func (state State) agingTime(now time.Time, holder coltsfootlink.InstanceName) time.Time {
	until, contacted := state.agingUntil.Get(holder)
	if contacted && until.Before(now) {
		return until
	}
	return now
}

// WithDemand applies an instance's report of its backlog. If this instance does not own the shard, it answers with
// NotOwner. If the report is of another epoch, it answers with a Takeover that announces the current one.
func (state State) WithDemand(from coltsfootlink.InstanceName, report coltsfootlink.Demand) (State, []Envelope) {
	owned, found := state.shards.Get(report.Shard.String())
	if !found {
		return state, []Envelope{{To: from, Message: coltsfootlink.NotOwner{Shard: report.Shard}}}
	}
	state = state.withShard(owned.withDemand(from, report))
	if report.Epoch == owned.epoch {
		return state, nil
	}
	return state, []Envelope{{To: from, Message: state.takeover(owned)}}
}

// WithoutExpired drops orphaned permits whose deadlines have passed, and asks again for holdings that are missing or
// due to be confirmed.
func (state State) WithoutExpired(now time.Time) (State, []Envelope) {
	var envelopes []Envelope
	for _, owned := range state.ownedShards() {
		owned, holders := owned.withoutExpired(now)
		owned, awaited := owned.withHoldingsRequested(now)
		state = state.withShard(owned)
		for _, holder := range append(holders, awaited...) {
			envelopes = append(envelopes, Envelope{To: holder, Message: state.takeover(owned)})
		}
	}
	return state, envelopes
}

// Slots returns the state of the targets of the owned shards.
func (state State) Slots() []Slot {
	var slots []Slot
	for _, owned := range state.ownedShards() {
		for iterator := owned.slots.Iterator(); !iterator.Done(); {
			_, slot, _ := iterator.Next()
			slots = append(slots, slot)
		}
	}
	return slots
}

// Shards returns the names of the owned shards.
func (state State) Shards() []coltsfootlink.Shard {
	var names []coltsfootlink.Shard
	for _, owned := range state.ownedShards() {
		names = append(names, owned.name)
	}
	return names
}

func (state State) withShard(owned shard) State {
	state.shards = state.shards.Set(owned.name.String(), owned)
	return state
}

func (state State) withShare(pool coltsfootlink.PoolName, share coltsfootlink.FairShare) State {
	state.shares = state.shares.Set(pool, share)
	return state
}

func (state State) withSlot(target coltsfootlink.TargetName, change func(shard, Slot) Slot) State {
	for _, owned := range state.ownedShards() {
		if slot, found := owned.slots.Get(target); found {
			owned.slots = owned.slots.Set(target, change(owned, slot))
			state = state.withShard(owned)
		}
	}
	return state
}

func (state State) share(pool coltsfootlink.Pool) coltsfootlink.FairShare {
	if share, found := state.shares.Get(pool.Name); found {
		return share
	}
	return state.rules.NewShare(pool)
}

func (state State) portion(owned shard, limit int) int {
	return state.rules.Placement.Portion(limit, owned.name, state.view)
}

// headroom returns how many more permits may be granted on a target, given the owner's portion and the zones in service.
func (state State) headroom(owned shard, slot Slot) int {
	if state.configuration.ZoneOut(slot.Target.Zone) {
		return 0
	}
	portion := state.portion(owned, slot.Limit())
	if portion < slot.Limit() && slot.loadUnreported {
		// An unresponsive instance may still use the full limit, and no instance reports its permits.
		return 0
	}
	return slot.headroom(portion)
}

func (state State) takeover(owned shard) coltsfootlink.Takeover {
	return coltsfootlink.Takeover{Shard: owned.name, Epoch: owned.epoch, Owner: state.self}
}

func (state State) ownedShards() []shard {
	shards := make([]shard, 0, state.shards.Len())
	for iterator := state.shards.Iterator(); !iterator.Done(); {
		_, owned, _ := iterator.Next()
		shards = append(shards, owned)
	}
	return shards
}

func (state State) ownedPools() []coltsfootlink.PoolName {
	var pools []coltsfootlink.PoolName
	for _, owned := range state.ownedShards() {
		if !slices.Contains(pools, owned.name.Pool) {
			pools = append(pools, owned.name.Pool)
		}
	}
	return pools
}
