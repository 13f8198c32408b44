package permit

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// awaitLimit is how long a new owner waits for announcements of permits.
	awaitLimit = 2 * time.Second
	// askPause is the time between two questions for an announcement.
	askPause = 200 * time.Millisecond
	// orphanLimit is how long the permits of an instance out of sight count without a report.
	orphanLimit = 60 * time.Second
	// startLimit is how long a permit may stay unused.
	startLimit = 2 * time.Second
	// confirmLimit is how long a permit counts before its holder has to confirm it.
	confirmLimit = 5 * time.Second
	// touchLimit is how long the ages of an instance's permits count after its last message. Instances whose
	// permits are used up by waiting teams send several in that time.
	touchLimit = 250 * time.Millisecond
)

// Rules are the choices that operators make for an owner.
type Rules struct {
	Placement coltsfootlink.Placement
	// Blind makes a new owner grant at once, without knowing the permits that are held; it is the baseline.
	Blind bool
	// NewShare returns the empty counters of a pool.
	NewShare func(coltsfootlink.Pool) coltsfootlink.FairShare
	// NewLimiter returns the limiter of a target that has just started.
	NewLimiter func(coltsfootlink.Pool, coltsfootlink.Target, time.Time) coltsfootlink.Limiter
	// NewRollout returns the start of a version move.
	NewRollout func(coltsfootlink.Move) coltsfootlink.Rollout
}

// Post is a message and the instance that it goes to.
type Post struct {
	To      coltsfootlink.InstanceName
	Message coltsfootlink.Message
}

// State is what one instance knows as the owner of shards; it is immutable.
type State struct {
	self          coltsfootlink.InstanceName
	rules         Rules
	configuration coltsfootlink.Configuration
	view          coltsfootlink.View
	targets       []coltsfootlink.Target
	shards        *immutable.SortedMap[string, shard]
	shares        *immutable.SortedMap[coltsfootlink.PoolName, coltsfootlink.FairShare]
	// agesUntil is until when the ages of an instance's permits count, for instances that were heard of.
	agesUntil *immutable.SortedMap[coltsfootlink.InstanceName, time.Time]
}

// NewState returns the state of an owner without shards.
func NewState(self coltsfootlink.InstanceName, rules Rules) State {
	return State{
		self:      self,
		rules:     rules,
		shards:    immutable.NewSortedMap[string, shard](nil),
		shares:    immutable.NewSortedMap[coltsfootlink.PoolName, coltsfootlink.FairShare](nil),
		agesUntil: immutable.NewSortedMap[coltsfootlink.InstanceName, time.Time](nil),
	}
}

// WithConfiguration follows a new configuration.
// The targets of a zone that is brought back start cold.
func (state State) WithConfiguration(now time.Time, configuration coltsfootlink.Configuration) (State, []Post) {
	before := state.configuration
	state.configuration = configuration
	state, posts := state.WithOwnership(now)
	for _, owned := range state.owned() {
		state = state.withShard(owned.withSlots(func(slot Slot) Slot {
			if before.ZoneOut(slot.Target.Zone) && !configuration.ZoneOut(slot.Target.Zone) {
				slot.limiter = slot.limiter.WithCold(now)
			}
			return slot
		}))
	}
	return state, posts
}

// WithTargets follows the instance list's targets.
func (state State) WithTargets(now time.Time, targets []coltsfootlink.Target) (State, []Post) {
	state.targets = targets
	return state.WithOwnership(now)
}

// WithView follows the members that are seen. Instances of a shard's zone that come into sight
// announce their permits before the shard grants again.
func (state State) WithView(now time.Time, view coltsfootlink.View) (State, []Post) {
	previous := state.view
	state.view = view
	state = state.withLostHolders(now, previous)
	state, posts := state.WithOwnership(now)
	for _, member := range arrived(previous, view) {
		var more []Post
		state, more = state.withArrival(now, member)
		posts = append(posts, more...)
	}
	return state, posts
}

// WithPause makes every shard collect announcements again after the process stood still.
func (state State) WithPause(now time.Time) (State, []Post) {
	var posts []Post
	for _, owned := range state.owned() {
		var more []Post
		state, more = state.withTakeover(now, owned)
		posts = append(posts, more...)
	}
	return state, posts
}

// WithTouch notes that an instance was heard of, so that the ages of its permits count a little longer. The time for
// which nothing is heard of it counts as well once it speaks again, but not if it never does: its teams would be
// charged for service that nobody had.
func (state State) WithTouch(now time.Time, from coltsfootlink.InstanceName) State {
	state.agesUntil = state.agesUntil.Set(from, now.Add(touchLimit))
	return state
}

// WithBrokenLink forgets what waits on an instance that may be gone, and stops the ages of its permits; one that
// is not says both again. Permits would otherwise go to a dead instance until its silence is noticed, and its
// teams would be charged for time in which they were not served. The permits that it holds stay counted.
func (state State) WithBrokenLink(now time.Time, to coltsfootlink.InstanceName) State {
	for _, owned := range state.owned() {
		owned.demands = owned.demands.Delete(to)
		state = state.withShard(owned)
	}
	state.agesUntil = state.agesUntil.Set(to, state.lastAge(now, to))
	return state
}

// lastAge returns until when the ages of an instance's permits count.
func (state State) lastAge(now time.Time, holder coltsfootlink.InstanceName) time.Time {
	until, touched := state.agesUntil.Get(holder)
	if touched && until.Before(now) {
		return until
	}
	return now
}

// WithDemand notes the requests that wait on an instance. One that follows a former owner is told.
func (state State) WithDemand(from coltsfootlink.InstanceName, report coltsfootlink.Demand) (State, []Post) {
	owned, found := state.shards.Get(report.Shard.String())
	if !found {
		return state, []Post{{To: from, Message: coltsfootlink.NotOwner{Shard: report.Shard}}}
	}
	state = state.withShard(owned.withDemand(from, report))
	if report.Epoch == owned.epoch {
		return state, nil
	}
	return state, []Post{{To: from, Message: state.announcement(owned)}}
}

// WithoutExpired gives up permits whose deadlines have passed, and asks again for what is not confirmed.
func (state State) WithoutExpired(now time.Time) (State, []Post) {
	var posts []Post
	for _, owned := range state.owned() {
		owned, holders := owned.withoutExpired(now)
		owned, awaited := owned.withAsked(now)
		state = state.withShard(owned)
		for _, holder := range append(holders, awaited...) {
			posts = append(posts, Post{To: holder, Message: state.announcement(owned)})
		}
	}
	return state, posts
}

// Slots returns what is known of the targets of the owned shards.
func (state State) Slots() []Slot {
	var slots []Slot
	for _, owned := range state.owned() {
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
	for _, owned := range state.owned() {
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
	for _, owned := range state.owned() {
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

// headroom returns how many more permits may be granted on a target.
func (state State) headroom(owned shard, slot Slot) int {
	if state.configuration.ZoneOut(slot.Target.Zone) {
		return 0
	}
	portion := state.portion(owned, slot.Limit())
	if portion < slot.Limit() && slot.unreported {
		// An instance out of sight may still use the whole limit, and nobody announces its permits.
		return 0
	}
	return slot.headroom(portion)
}

func (state State) announcement(owned shard) coltsfootlink.Takeover {
	return coltsfootlink.Takeover{Shard: owned.name, Epoch: owned.epoch, Owner: state.self}
}

func (state State) owned() []shard {
	shards := make([]shard, 0, state.shards.Len())
	for iterator := state.shards.Iterator(); !iterator.Done(); {
		_, owned, _ := iterator.Next()
		shards = append(shards, owned)
	}
	return shards
}

func (state State) ownedPools() []coltsfootlink.PoolName {
	var pools []coltsfootlink.PoolName
	for _, owned := range state.owned() {
		if !slices.Contains(pools, owned.name.Pool) {
			pools = append(pools, owned.name.Pool)
		}
	}
	return pools
}
