package permit

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// WithTakeover gives a shard up when another instance announces a newer epoch.
func (state State) WithTakeover(takeover coltsfootlink.Takeover) State {
	owned, found := state.shards.Get(takeover.Shard.String())
	if found && takeover.Owner != state.self && takeover.Epoch > owned.epoch {
		state.shards = state.shards.Delete(takeover.Shard.String())
	}
	return state
}

// WithHoldings notes the permits that an instance holds. A holder that knows a newer epoch makes the
// owner start one that is newer still.
func (state State) WithHoldings(now time.Time, from coltsfootlink.InstanceName, holdings coltsfootlink.Holdings) (State, []Post) {
	owned, found := state.shards.Get(holdings.Shard.String())
	if !found {
		return state, nil
	}
	if state.rules.Blind {
		return state, nil
	}
	if holdings.Epoch > owned.epoch {
		owned.epoch = holdings.Epoch
		return state.withTakeover(now, owned)
	}
	return state.withShard(owned.withAnnouncement(now, from, holdings)), nil
}

// WithOwnership takes over the shards that this instance should own and gives up the others. It has to be
// looked at again and again: a shard that was given up to another instance by mistake has no owner once the
// other sees that it should not have it.
func (state State) WithOwnership(now time.Time) (State, []Post) {
	var posts []Post
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
			posts = append(posts, more...)
		}
	}
	state.shards = kept
	return state, posts
}

func (state State) ownedShard(now time.Time, name coltsfootlink.Shard, pool coltsfootlink.Pool, targets []coltsfootlink.Target) (shard, []Post) {
	start := func(target coltsfootlink.Target) coltsfootlink.Limiter {
		return state.rules.NewLimiter(pool, target, now)
	}
	owned, found := state.shards.Get(name.String())
	if found {
		return owned.withTargets(now, targets, start), nil
	}
	return state.takenOver(now, newShard(name).withTargets(now, targets, start).withReportsAwaited())
}

// takenOver starts a new epoch of a shard and asks every live instance for its permits.
func (state State) takenOver(now time.Time, owned shard) (shard, []Post) {
	var from []coltsfootlink.InstanceName
	for _, member := range state.view.Live() {
		from = append(from, member.Name)
	}
	until := now.Add(awaitLimit)
	if state.rules.Blind {
		until = now
	}
	owned = owned.withTakeover(coltsfootlink.Epoch(now.UnixNano()), from, until)
	owned.askAt = now.Add(askPause)
	posts := make([]Post, 0, len(from))
	for _, instance := range from {
		posts = append(posts, Post{To: instance, Message: state.announcement(owned)})
	}
	return owned, posts
}

func (state State) withTakeover(now time.Time, owned shard) (State, []Post) {
	owned, posts := state.takenOver(now, owned)
	return state.withShard(owned), posts
}

// withArrival asks an instance that came into sight for its permits; shards of its zone wait for them.
func (state State) withArrival(now time.Time, member coltsfootlink.Member) (State, []Post) {
	var posts []Post
	for _, owned := range state.owned() {
		if owned.name.Zone != member.Zone {
			posts = append(posts, Post{To: member.Name, Message: state.announcement(owned)})
			continue
		}
		var more []Post
		state, more = state.withTakeover(now, owned)
		posts = append(posts, more...)
	}
	return state, posts
}

func (state State) withLostHolders(now time.Time, previous coltsfootlink.View) State {
	for _, member := range arrived(state.view, previous) {
		state.agesUntil = state.agesUntil.Delete(member.Name)
		for _, owned := range state.owned() {
			state = state.withShard(owned.withHolderLost(member.Name, now.Add(orphanLimit)))
		}
	}
	return state
}

// arrived returns the members that are live in the second view and not in the first.
func arrived(previous, present coltsfootlink.View) []coltsfootlink.Member {
	var members []coltsfootlink.Member
	for _, member := range present.Live() {
		before, found := previous.Member(member.Name)
		if !found || !before.Live || before.Incarnation != member.Incarnation {
			members = append(members, member)
		}
	}
	return members
}
