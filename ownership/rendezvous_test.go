package ownership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

func member(name, zone string, live, listed, leaving bool) coltsfootlink.Member {
	return coltsfootlink.Member{
		Instance: coltsfootlink.Instance{
			Name: coltsfootlink.InstanceName(name), Zone: coltsfootlink.ZoneName(zone), Leaving: leaving,
		},
		Live:   live,
		Listed: listed,
	}
}

func viewOf(members ...coltsfootlink.Member) coltsfootlink.View {
	return coltsfootlink.View{Members: members}
}

var shard = coltsfootlink.Shard{Pool: "pool", Zone: "a"}

func TestOwner(t *testing.T) {
	cases := map[string]struct {
		view  coltsfootlink.View
		owner coltsfootlink.InstanceName
	}{
		"an instance of the zone": {viewOf(member("a-1", "a", true, true, false), member("b-1", "b", true, true, false)), "a-1"},
		"not an unresponsive one": {viewOf(member("a-1", "a", false, true, false), member("a-2", "a", true, true, false)), "a-2"},
		"not a leaving one":       {viewOf(member("a-1", "a", true, true, true), member("a-2", "a", true, true, false)), "a-2"},
		"nobody for a zone whose instances are all unresponsive": {
			viewOf(member("a-1", "a", false, true, false), member("b-1", "b", true, true, false)), ""},
		"an instance of another zone for a zone without instances": {viewOf(member("b-1", "b", true, true, false)), "b-1"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			owner, found := Rendezvous{}.Owner(shard, test.view)
			So(owner, ShouldEqual, test.owner)
			So(found, ShouldEqual, test.owner != "")
		})
	}
}

func TestPortion(t *testing.T) {
	cases := map[string]struct {
		view    coltsfootlink.View
		portion int
	}{
		"all live":                          {viewOf(member("a-1", "a", true, true, false), member("a-2", "a", true, true, false)), 8},
		"one of two live":                   {viewOf(member("a-1", "a", true, true, false), member("a-2", "a", false, true, false)), 4},
		"a leaving instance does not count": {viewOf(member("a-1", "a", true, true, false), member("a-2", "a", false, true, true)), 8},
		"an unlisted, unresponsive instance does not count": {viewOf(member("a-1", "a", true, true, false), member("a-2", "a", false, false, false)), 8},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(Rendezvous{}.Portion(8, shard, test.view), ShouldEqual, test.portion) })
	}
}

// TestPortionsOfAPartitionedZoneNeverExceedTheLimit divides the instances of a zone at random into sides that see
// only their own instances as live.
func TestPortionsOfAPartitionedZoneNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "instances")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		sides := rapid.SliceOfN(rapid.IntRange(0, 2), count, count).Draw(t, "side")
		total := 0
		for viewer := range 3 {
			var members []coltsfootlink.Member
			hasLive := false
			for index := range count {
				live := sides[index] == viewer
				hasLive = hasLive || live
				members = append(members, member(fmt.Sprintf("a-%d", index), "a", live, true, false))
			}
			if hasLive {
				total += Rendezvous{}.Portion(limit, shard, viewOf(members...))
			}
		}
		if total > limit {
			t.Fatalf("the sides of the partition may grant %d permits together, of a limit of %d", total, limit)
		}
	})
}

func TestFixedSplitPortionsAddUpToTheLimit(t *testing.T) {
	Convey("the portions of all instances add up to the limit", t, func() {
		view := viewOf(member("a-1", "a", true, true, false), member("a-2", "a", true, true, false), member("b-1", "b", true, true, false))
		for limit := range 10 {
			total := 0
			for _, owner := range view.Members {
				total += FixedSplit{}.Portion(limit, coltsfootlink.Shard{Slice: owner.Name}, view)
			}
			So(total, ShouldEqual, limit)
		}
	})
}

func TestTargetsStayInTheirShards(t *testing.T) {
	Convey("a target stays in its shard when other targets are removed", t, func() {
		pool := coltsfootlink.Pool{Name: "pool", ShardsPerZone: 3}
		var targets []coltsfootlink.Target
		for index := range 20 {
			targets = append(targets, coltsfootlink.Target{Name: coltsfootlink.TargetName(fmt.Sprint(index)), Pool: "pool", Zone: "a"})
		}
		all := shardByTarget(Rendezvous{}.Shards(pool, coltsfootlink.View{}, targets))
		for name, shard := range shardByTarget(Rendezvous{}.Shards(pool, coltsfootlink.View{}, targets[5:])) {
			So(shard, ShouldEqual, all[name])
		}
	})
}

func shardByTarget(shards map[coltsfootlink.Shard][]coltsfootlink.Target) map[coltsfootlink.TargetName]coltsfootlink.Shard {
	byTarget := make(map[coltsfootlink.TargetName]coltsfootlink.Shard)
	for shard, targets := range shards {
		for _, target := range targets {
			byTarget[target.Name] = shard
		}
	}
	return byTarget
}
