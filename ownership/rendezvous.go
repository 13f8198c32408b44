// Package ownership assigns shards, targets and other roles to instances.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

// Rendezvous assigns each shard to one instance of its availability zone by rendezvous hashing, also known as highest
// random weight hashing.
type Rendezvous struct{}

// Shards divides the targets of a pool into the shards of each zone.
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

// Serves returns true: every instance may send demand to every shard.
func (Rendezvous) Serves(coltsfootlink.Shard, coltsfootlink.InstanceName) bool { return true }

// Owner returns the instance of the shard's zone with the highest weight. A zone to which no instance belongs is
// served by the instances of other zones; a zone whose instances are all unresponsive has no owner.
func (Rendezvous) Owner(shard coltsfootlink.Shard, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	candidates := view.Candidates(shard.Zone)
	if len(candidates) == 0 && len(view.Expected(shard.Zone)) == 0 {
		candidates = withoutLeaving(view.Live())
	}
	return highestRanked(shard.String(), candidates)
}

// Portion returns the full limit if all instances expected in the zone are live. In a network partition, the portions
// of all sides together never exceed the limit.
func (Rendezvous) Portion(limit int, shard coltsfootlink.Shard, view coltsfootlink.View) int {
	expected := view.Expected(shard.Zone)
	seen := len(view.Candidates(shard.Zone))
	if seen >= len(expected) {
		return limit
	}
	first, _ := highestRanked(shard.String(), expected)
	member, _ := view.Member(first)
	if !member.Live {
		return limit * seen / len(expected)
	}
	unseen := len(expected) - seen
	return limit - limit*unseen/len(expected)
}

func withoutLeaving(members []coltsfootlink.Member) []coltsfootlink.Member {
	var kept []coltsfootlink.Member
	for _, member := range members {
		if !member.Leaving {
			kept = append(kept, member)
		}
	}
	return kept
}

// Ranked returns the names of the members, sorted by their hash weights for a name with the highest first.
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

// TargetOwner returns the instance that owns a target: a capable one of the target's zone, or of all zones if this one has
// no candidate.
func TargetOwner(target coltsfootlink.Target, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	candidates := view.Capable(target.Zone)
	if len(candidates) == 0 {
		candidates = view.AllCapable()
	}
	return highestRanked(string(target.Name), candidates)
}

// SingletonOwner returns the capable instance that holds a role of which the fleet has only one; leaving instances are not
// chosen. It returns false if there is none.
func SingletonOwner(name string, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return highestRanked(name, view.AllCapable())
}

// highestRanked returns the member with the highest hash weight for a name; false if there are no members.
func highestRanked(name string, members []coltsfootlink.Member) (coltsfootlink.InstanceName, bool) {
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
