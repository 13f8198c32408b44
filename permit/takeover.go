package permit

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// WithTakeover gives up a shard when another instance announces a newer epoch of it.
func (state State) WithTakeover(takeover coltsfootlink.Takeover) State {
	owned, found := state.shards.Get(takeover.Shard.String())
	if found && takeover.Owner != state.self && takeover.Epoch > owned.epoch {
		state.shards = state.shards.Delete(takeover.Shard.String())
	}
	return state
}

// WithHoldings applies an instance's report of the permits that it holds. If the report is of an epoch newer than the
// owner's, the owner starts one that is newer still.
func (state State) WithHoldings(now time.Time, from coltsfootlink.InstanceName, holdings coltsfootlink.Holdings) (State, []Envelope) {
	owned, found := state.shards.Get(holdings.Shard.String())
	if !found {
		return state, nil
	}
	if state.rules.Blind {
		return state, nil
	}
	if holdings.Epoch > owned.epoch {
		owned.epoch = holdings.Epoch
		return state.withNewEpoch(now, owned)
	}
	return state.withShard(owned.withHoldings(now, from, holdings)), nil
}

// WithOwnership takes over the shards that the placement assigns to this instance and gives up the others. It has to
// be called periodically: a shard that was given up to another instance by mistake is left without an owner once that
// instance finds that the shard is not assigned to it.
func (state State) WithOwnership(now time.Time) (State, []Envelope) {
	var envelopes []Envelope
	kept := immutable.NewSortedMap[string, shard](nil)
	for _, name := range state.configuration.PoolNames() {
		pool := state.configuration.Pools[name]
		for shardName, targets := range state.rules.Placement.Shards(pool, state.view, state.targets) {
			owner, found := state.rules.Placement.Owner(shardName, state.view)
			if !found || owner != state.self {
				continue
			}
			owned, more := state.ownedShard(now, shardName, pool, targets)
			move, moves := state.configuration.Moves[name]
			owned = owned.withMove(move, moves, state.rules.NewRollout)
			kept = kept.Set(shardName.String(), owned)
			envelopes = append(envelopes, more...)
		}
	}
	state.shards = kept
	return state, envelopes
}

func (state State) ownedShard(now time.Time, name coltsfootlink.Shard, pool coltsfootlink.Pool, targets []coltsfootlink.Target) (shard, []Envelope) {
	start := func(target coltsfootlink.Target) coltsfootlink.Limiter {
		return state.rules.NewLimiter(pool, target, now)
	}
	owned, found := state.shards.Get(name.String())
	if found {
		return owned.withTargets(now, targets, start), nil
	}
	return state.startEpoch(now, newShard(name).withTargets(now, targets, start).withLoadUnreported())
}

// startEpoch starts a new epoch of a shard and asks every live instance for the permits that it holds.
func (state State) startEpoch(now time.Time, owned shard) (shard, []Envelope) {
	var from []coltsfootlink.InstanceName
	for _, member := range state.view.Live() {
		from = append(from, member.Name)
	}
	until := now.Add(holdingsTimeout)
	if state.rules.Blind {
		until = now
	}
	owned = owned.withEpoch(coltsfootlink.Epoch(now.UnixNano()), from, until)
	owned.retryAt = now.Add(holdingsRetryInterval)
	envelopes := make([]Envelope, 0, len(from))
	for _, instance := range from {
		envelopes = append(envelopes, Envelope{To: instance, Message: state.takeover(owned)})
	}
	return owned, envelopes
}

func (state State) withNewEpoch(now time.Time, owned shard) (State, []Envelope) {
	owned, envelopes := state.startEpoch(now, owned)
	return state.withShard(owned), envelopes
}

// withNewMember asks an instance that has become live for the permits that it holds. Shards of its zone start a new
// epoch and grant nothing until the live instances have reported their holdings; shards of other zones grant on.
func (state State) withNewMember(now time.Time, member coltsfootlink.Member) (State, []Envelope) {
	var envelopes []Envelope
	for _, owned := range state.ownedShards() {
		if owned.name.Zone != member.Zone {
			envelopes = append(envelopes, Envelope{To: member.Name, Message: state.takeover(owned)})
			continue
		}
		var more []Envelope
		state, more = state.withNewEpoch(now, owned)
		envelopes = append(envelopes, more...)
	}
	return state, envelopes
}

func (state State) withLostHolders(now time.Time, previous coltsfootlink.View) State {
	for _, member := range previous.JoinedSince(state.view) {
		state.agingUntil = state.agingUntil.Delete(member.Name)
		for _, owned := range state.ownedShards() {
			state = state.withShard(owned.withHolderLost(member.Name, now.Add(orphanTimeout)))
		}
	}
	return state
}
