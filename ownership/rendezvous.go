// Package ownership decides which instance owns which shard.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

// Rendezvous gives each shard to one instance of its availability zone by rendezvous hashing.
type Rendezvous struct{}

// Shards cuts the targets of a pool into the shards of each zone.
func (Rendezvous) Shards(pool coltsfootlink.Pool, _ coltsfootlink.View, targets []coltsfootlink.Target) map[coltsfootlink.Shard][]coltsfootlink.Target {
	shards := make(map[coltsfootlink.Shard][]coltsfootlink.Target)
	for _, target := range targets {
		if target.Pool != pool.Name {
			continue
		}
		shard := coltsfootlink.Shard{Pool: pool.Name, Zone: target.Zone, Index: shardIndex(target.Name, pool.ShardsPerZone)}
		shards[shard] = append(shards[shard], target)
	}
	return shards
}

// Serves says that every instance may ask every shard.
func (Rendezvous) Serves(coltsfootlink.Shard, coltsfootlink.InstanceName) bool { return true }

// Owner returns the instance of the shard's zone with the highest weight.
// A zone without any instance is served by the instances of the other zones.
func (Rendezvous) Owner(shard coltsfootlink.Shard, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	candidates := view.Candidates(shard.Zone)
	if len(candidates) == 0 && len(view.Expected(shard.Zone)) == 0 {
		candidates = staying(view.Live())
	}
	return highest(shard.String(), candidates)
}

// Portion returns the whole limit where all instances of the zone are seen. In a split, the portions
// of all sides together never exceed the limit.
func (Rendezvous) Portion(limit int, shard coltsfootlink.Shard, view coltsfootlink.View) int {
	expected := view.Expected(shard.Zone)
	seen := len(view.Candidates(shard.Zone))
	if seen >= len(expected) {
		return limit
	}
	first, _ := highest(shard.String(), expected)
	member, _ := view.Member(first)
	if !member.Live {
		return limit * seen / len(expected)
	}
	unseen := len(expected) - seen
	return limit - limit*unseen/len(expected)
}

func staying(members []coltsfootlink.Member) []coltsfootlink.Member {
	var kept []coltsfootlink.Member
	for _, member := range members {
		if !member.Leaving {
			kept = append(kept, member)
		}
	}
	return kept
}

// Ranked returns the members of a list in the order of their weights for a name, the highest first.
func Ranked(name string, members []coltsfootlink.Member) []coltsfootlink.InstanceName {
	ranked := make([]coltsfootlink.InstanceName, 0, len(members))
	weights := make(map[coltsfootlink.InstanceName]uint64, len(members))
	for _, member := range members {
		ranked = append(ranked, member.Name)
		weights[member.Name] = xxhash.Sum64String(name + " " + string(member.Name))
	}
	slices.SortFunc(ranked, func(left, right coltsfootlink.InstanceName) int {
		return cmp.Or(cmp.Compare(weights[right], weights[left]), cmp.Compare(left, right))
	})
	return ranked
}

// TargetOwner returns the instance that owns a target: one of the target's zone; where that has none, of any.
func TargetOwner(target coltsfootlink.Target, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	candidates := view.Candidates(target.Zone)
	if len(candidates) == 0 {
		candidates = staying(view.Live())
	}
	return highest(string(target.Name), candidates)
}

// Keeper returns the instance that looks after something of which the fleet has one: a live one that does not leave.
func Keeper(name string, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return highest(name, staying(view.Live()))
}

// highest returns the member with the highest weight for a name.
func highest(name string, members []coltsfootlink.Member) (coltsfootlink.InstanceName, bool) {
	var best coltsfootlink.InstanceName
	var bestWeight uint64
	for _, member := range members {
		weight := xxhash.Sum64String(name + " " + string(member.Name))
		if best == "" || weight > bestWeight {
			best, bestWeight = member.Name, weight
		}
	}
	return best, best != ""
}

func shardIndex(name coltsfootlink.TargetName, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(strconv.Itoa(shards)+" "+string(name)) % uint64(shards))
}
