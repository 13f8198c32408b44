package ownership

import (
	"slices"

	"coltsfootlink"
)

// FixedSplit reserves an equal, fixed part of every target's capacity for each instance. It is the baseline that
// dynamic sharing is compared with.
type FixedSplit struct{}

// Shards returns one shard for each instance, each with all targets of the pool.
func (FixedSplit) Shards(pool coltsfootlink.Pool, view coltsfootlink.View, targets []coltsfootlink.Target) map[coltsfootlink.Shard][]coltsfootlink.Target {
	var poolTargets []coltsfootlink.Target
	for _, target := range targets {
		if target.Pool == pool.Name {
			poolTargets = append(poolTargets, target)
		}
	}
	shards := make(map[coltsfootlink.Shard][]coltsfootlink.Target)
	for _, member := range view.Members {
		shards[coltsfootlink.Shard{Pool: pool.Name, Zone: member.Zone, Slice: member.Name}] = poolTargets
	}
	return shards
}

// Serves reports whether the shard is the instance's own, the only one that it sends demand to.
func (FixedSplit) Serves(shard coltsfootlink.Shard, instance coltsfootlink.InstanceName) bool {
	return shard.Slice == instance
}

// Owner returns the instance for which the shard's capacity is reserved.
func (FixedSplit) Owner(shard coltsfootlink.Shard, _ coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return shard.Slice, true
}

// Portion returns an equal part of the limit. The remainder goes to the first instances by name, one request each.
func (FixedSplit) Portion(limit int, shard coltsfootlink.Shard, view coltsfootlink.View) int {
	count := len(view.Members)
	if count == 0 {
		return 0
	}
	rank := slices.IndexFunc(view.Members, func(member coltsfootlink.Member) bool { return member.Name == shard.Slice })
	portion := limit / count
	if rank >= 0 && rank < limit%count {
		portion++
	}
	return portion
}
