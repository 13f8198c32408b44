package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/fairness"
	"coltsfootlink/limit"
	"coltsfootlink/ownership"
)

var (
	start  = time.Unix(1_000_000, 0)
	shard0 = coltsfootlink.Shard{Pool: "pool", Zone: "a"}
)

func rules() Rules {
	return Rules{
		Placement: ownership.Rendezvous{},
		NewShare: func(pool coltsfootlink.Pool) coltsfootlink.FairShare {
			return fairness.NewLeastService("a-1", 1, pool.MaxCost)
		},
		NewLimiter: func(pool coltsfootlink.Pool, target coltsfootlink.Target, now time.Time) coltsfootlink.Limiter {
			return limit.NewAdaptive(pool, target.Incarnation, now)
		},
	}
}

func configuration() coltsfootlink.Configuration {
	return coltsfootlink.Configuration{Revision: 1}.
		WithZone(coltsfootlink.AvailabilityZone{Name: "a"}).
		WithTeam(coltsfootlink.Team{Name: "x", Weight: 1}).
		WithTeam(coltsfootlink.Team{Name: "y", Weight: 1}).
		WithPool(coltsfootlink.Pool{Name: "pool", ColdLimit: 2, MaxLimit: 8, GrowthPerSecond: 2, MaxCost: 100, ShardsPerZone: 1})
}

func memberOf(name string, live bool) coltsfootlink.Member {
	return coltsfootlink.Member{
		Instance: coltsfootlink.Instance{Name: coltsfootlink.InstanceName(name), Zone: "a", Incarnation: 1},
		Live:     live, Listed: true,
	}
}

func target(name string) coltsfootlink.Target {
	return coltsfootlink.Target{Name: coltsfootlink.TargetName(name), Pool: "pool", Zone: "a", Incarnation: 1}
}

// owning returns an owner of one shard that has heard of all permits held by the other instances.
func owning(others ...string) State {
	members := []coltsfootlink.Member{memberOf("a-1", true)}
	for _, other := range others {
		members = append(members, memberOf(other, true))
	}
	state := NewState("a-1", rules())
	state, _ = state.WithView(start, coltsfootlink.View{Members: members[:1]})
	state, _ = state.WithTargets(start, []coltsfootlink.Target{target("t")})
	state, _ = state.WithConfiguration(start, configuration())
	for _, member := range members {
		state, _ = state.WithHoldings(start, member.Name, coltsfootlink.Holdings{Shard: shard0})
	}
	return state
}

func demandOf(team coltsfootlink.TeamName, waiting int, seen uint64, epoch coltsfootlink.Epoch) coltsfootlink.Demand {
	return coltsfootlink.Demand{Shard: shard0, Epoch: epoch, LastSerial: seen, Teams: []coltsfootlink.TeamDemand{
		{Team: team, Waiting: waiting, Oldest: start},
	}}
}

func epochOf(state State) coltsfootlink.Epoch { return state.owned()[0].epoch }

func granted(posts []Post) []coltsfootlink.Permit {
	var permits []coltsfootlink.Permit
	for _, post := range posts {
		if grant, is := post.Message.(coltsfootlink.Grant); is {
			permits = append(permits, grant.Permits...)
		}
	}
	return permits
}

func TestGrants(t *testing.T) {
	cases := map[string]struct {
		prepare func(State) State
		permits int
	}{
		"as many as a cold target bears": {
			prepare: func(state State) State { return withDemand(state, "x", 5) },
			permits: 2,
		},
		"no more than wait": {
			prepare: func(state State) State { return withDemand(state, "x", 1) },
			permits: 1,
		},
		"none for an unknown team": {
			prepare: func(state State) State { return withDemand(state, "z", 5) },
			permits: 0,
		},
		"none on a leaving target": {
			prepare: func(state State) State {
				state, _ = state.WithTargets(start, []coltsfootlink.Target{target("t").WithLeaving(true)})
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"none in a zone that is out": {
			prepare: func(state State) State {
				out := configuration().WithZone(coltsfootlink.AvailabilityZone{Name: "a", Out: true})
				state, _ = state.WithConfiguration(start, out)
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"none on a target that does not answer": {
			prepare: func(state State) State {
				state, _ = state.WithMissingLoad(start, coltsfootlink.LoadMissing{Target: "t"})
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"again once it answers": {
			prepare: func(state State) State {
				state, _ = state.WithMissingLoad(start, coltsfootlink.LoadMissing{Target: "t"})
				state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1}, start.Add(time.Second))
				return withDemand(state, "x", 5)
			},
			permits: 2,
		},
		"none before the permits of the zone are known": {
			prepare: func(state State) State {
				state = withDemand(state, "x", 5)
				state, _ = state.WithView(start, coltsfootlink.View{Members: []coltsfootlink.Member{memberOf("a-1", true), memberOf("a-0", true)}})
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"less the work that a report shows after a takeover": {
			prepare: func(state State) State {
				state, _ = state.WithPause(start)
				state, _ = state.WithHoldings(start, "a-1", coltsfootlink.Holdings{Shard: shard0})
				state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1, Running: 1}, start)
				return withDemand(state, "x", 5)
			},
			permits: 1,
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			_, posts := test.prepare(owning()).WithGrants(start)
			So(granted(posts), ShouldHaveLength, test.permits)
		})
	}
}

func withDemand(state State, team coltsfootlink.TeamName, waiting int) State {
	epoch := coltsfootlink.Epoch(0)
	if len(state.owned()) > 0 {
		epoch = epochOf(state)
	}
	state, _ = state.WithDemand("a-1", demandOf(team, waiting, 0, epoch))
	return state
}

func TestPermitsUnderWayAreNotGrantedTwice(t *testing.T) {
	Convey("a demand that was sent before the permit came does not count it again", t, func() {
		state := withDemand(owning(), "x", 1)
		state, posts := state.WithGrants(start)
		So(granted(posts), ShouldHaveLength, 1)
		state = withDemand(state, "x", 1)
		state, posts = state.WithGrants(start)
		So(granted(posts), ShouldBeEmpty)
		state, _ = state.WithDemand("a-1", demandOf("x", 1, 1, epochOf(state)))
		_, posts = state.WithGrants(start)
		So(granted(posts), ShouldHaveLength, 1)
	})
}

func TestNoPermitsForADeadInstance(t *testing.T) {
	Convey("once messages to an instance are lost, it gets no permits until it asks again", t, func() {
		state := withDemand(owning(), "x", 5).WithBrokenLink(start, "a-1")
		state, posts := state.WithGrants(start)
		So(granted(posts), ShouldBeEmpty)
		_, posts = withDemand(state, "x", 5).WithGrants(start)
		So(granted(posts), ShouldHaveLength, 2)
	})
}

func TestReleases(t *testing.T) {
	cases := map[string]struct {
		usage   coltsfootlink.Usage
		service float64
		held    int
	}{
		"an unused permit costs nothing":       {coltsfootlink.Usage{Result: coltsfootlink.Unused}, 0, 0},
		"a refused connection costs nothing":   {coltsfootlink.Usage{Result: coltsfootlink.Refused}, 0, 0},
		"an answer costs what it cost":         {coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 30}, 30, 0},
		"a failure costs what it is known for": {coltsfootlink.Usage{Result: coltsfootlink.Failed, Cost: 7}, 7, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, posts := withDemand(owning(), "x", 1).WithGrants(start)
			permit := granted(posts)[0]
			release := coltsfootlink.Release{Permit: permit, Usage: test.usage}
			// Only the permit's name comes with a release.
			release.Permit.Team, release.Permit.Charge = "", 0
			state = state.WithRelease(start.Add(time.Second), release)
			state = state.WithRelease(start.Add(time.Second), release)
			So(state.Service("pool")["x"], ShouldAlmostEqual, test.service, 1e-9)
			So(state.Slots()[0].Held(), ShouldEqual, test.held)
		})
	}
}

func TestLostPermitsComeBack(t *testing.T) {
	cases := map[string]struct {
		holdings func(coltsfootlink.Permit) coltsfootlink.Holdings
		at       time.Time
		held     int
	}{
		"seen and not listed": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch, LastSerial: permit.ID.Serial}
			},
			at: start, held: 0,
		},
		"not yet seen": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch}
			},
			at: start, held: 1,
		},
		"lost on the way": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch}
			},
			at: start.Add(startLimit + time.Second), held: 0,
		},
		"of an epoch that the holder has not heard of": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch - 1, LastSerial: 99}
			},
			at: start, held: 1,
		},
		"held": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch, LastSerial: permit.ID.Serial, Permits: []coltsfootlink.Permit{permit}}
			},
			at: start.Add(time.Hour), held: 1,
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, posts := withDemand(owning(), "x", 1).WithGrants(start)
			state, _ = state.WithHoldings(test.at, "a-1", test.holdings(granted(posts)[0]))
			So(state.Slots()[0].Held(), ShouldEqual, test.held)
		})
	}
}

func TestUnconfirmedPermitsAreAskedFor(t *testing.T) {
	Convey("the holder of a permit that nobody has confirmed is asked", t, func() {
		state, _ := withDemand(owning(), "x", 1).WithGrants(start)
		_, posts := state.WithoutExpired(start.Add(confirmLimit + time.Second))
		So(posts, ShouldHaveLength, 1)
		So(posts[0].Message, ShouldHaveSameTypeAs, coltsfootlink.Takeover{})
	})
}

func TestOrphans(t *testing.T) {
	lose := func() State {
		state := owning("a-0")
		state, _ = state.WithDemand("a-0", demandOf("x", 1, 0, epochOf(state)))
		state, _ = state.WithGrants(start)
		seen := coltsfootlink.View{Members: []coltsfootlink.Member{memberOf("a-0", true), memberOf("a-1", true)}}
		lost := coltsfootlink.View{Members: []coltsfootlink.Member{memberOf("a-0", false), memberOf("a-1", true)}}
		state.view = seen
		state = state.withLostHolders(start, seen)
		state.view = lost
		return state.withLostHolders(start, seen)
	}
	cases := map[string]struct {
		after func(State) State
		held  int
	}{
		"count while nothing is known": {func(state State) State { return state }, 1},
		"count while the target runs them": {func(state State) State {
			state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1, Running: 1}, start.Add(time.Second))
			return state
		}, 1},
		"end when the target runs nothing": {func(state State) State {
			state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1}, start.Add(time.Second))
			return state
		}, 0},
		"end at their deadline": {func(state State) State {
			state, _ = state.WithoutExpired(start.Add(2 * orphanLimit))
			return state
		}, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.after(lose()).Slots()[0].Held(), ShouldEqual, test.held) })
	}
}

func TestAPortionIsWonBackOnlyWhereItIsUsedUp(t *testing.T) {
	cases := map[string]struct {
		peak, regained, running, portion int
		after                            int
	}{
		"an idle target shows nothing":     {peak: 0, running: 0, portion: 4, after: 0},
		"used up and nobody else":          {peak: 4, running: 4, portion: 4, after: 1},
		"used up beside another's work":    {peak: 4, running: 6, portion: 4, after: 0},
		"keeps what it has while not used": {peak: 2, regained: 2, running: 2, portion: 4, after: 2},
		"lost when the zone is whole":      {peak: 8, regained: 3, running: 8, portion: 8, after: 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			slot := newSlot(target("t"), limit.NewAdaptive(configuration().Pools["pool"], 1, start).WithRunning(8))
			slot.peak, slot.regained = test.peak, test.regained
			So(slot.regainedAfter(test.running, test.portion), ShouldEqual, test.after)
		})
	}
}

func TestStrikes(t *testing.T) {
	crash := func() State {
		state, posts := withDemand(owning(), "x", 1).WithGrants(start)
		return state.WithRelease(start, coltsfootlink.Release{
			Permit: granted(posts)[0],
			Usage:  coltsfootlink.Usage{Result: coltsfootlink.Crashed, Fingerprint: 7},
		})
	}
	later := start.Add(time.Second)
	cases := map[string]struct {
		report  func(State) []Post
		strikes int
	}{
		"the target has restarted": {func(state State) []Post {
			_, posts := state.WithLoad(later, coltsfootlink.Load{Target: "t", Incarnation: 2}, later)
			return posts
		}, 1},
		"the target refuses connections": {func(state State) []Post {
			_, posts := state.WithMissingLoad(later, coltsfootlink.LoadMissing{Target: "t", Refused: true})
			return posts
		}, 1},
		"only the connection broke": {func(state State) []Post {
			state, _ = state.WithLoad(later, coltsfootlink.Load{Target: "t", Incarnation: 1}, later)
			_, posts := state.WithLoad(later, coltsfootlink.Load{Target: "t", Incarnation: 2}, later)
			return posts
		}, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.report(crash()), ShouldHaveLength, test.strikes) })
	}
}

func TestTakeovers(t *testing.T) {
	Convey("a newer epoch of another instance takes the shard away", t, func() {
		state := owning()
		newer := coltsfootlink.Takeover{Shard: shard0, Owner: "a-0", Epoch: epochOf(state) + 1}
		So(state.WithTakeover(newer).Shards(), ShouldBeEmpty)
		older := coltsfootlink.Takeover{Shard: shard0, Owner: "a-0", Epoch: epochOf(state) - 1}
		So(state.WithTakeover(older).Shards(), ShouldHaveLength, 1)
	})
	Convey("who asks an instance that does not own the shard is told", t, func() {
		state := NewState("a-1", rules())
		_, posts := state.WithDemand("a-0", demandOf("x", 1, 0, 7))
		So(posts, ShouldResemble, []Post{{To: "a-0", Message: coltsfootlink.NotOwner{Shard: shard0}}})
	})
	Convey("a shard that was given up by mistake is taken back", t, func() {
		state := owning()
		newer := epochOf(state) + 1
		state = state.WithTakeover(coltsfootlink.Takeover{Shard: shard0, Owner: "a-0", Epoch: newer})
		state, posts := state.WithOwnership(start.Add(time.Second))
		So(state.Shards(), ShouldHaveLength, 1)
		So(epochOf(state), ShouldBeGreaterThan, newer)
		So(posts, ShouldHaveLength, 1)
	})
	Convey("a holder that knows a newer epoch makes the owner start one that is newer still", t, func() {
		state := owning()
		known := epochOf(state) + 100
		state, posts := state.WithHoldings(start, "a-1", coltsfootlink.Holdings{Shard: shard0, Epoch: known})
		So(epochOf(state), ShouldBeGreaterThan, known)
		So(posts, ShouldHaveLength, 1)
	})
	Convey("what the holders still run limits the new owner", t, func() {
		state := owning()
		state, _ = state.WithPause(start)
		permits := []coltsfootlink.Permit{}
		for serial := range 5 {
			permits = append(permits, coltsfootlink.Permit{
				ID: coltsfootlink.PermitID{Epoch: 1, Serial: uint64(serial)}, Shard: shard0, Target: "t", Team: "x", Holder: "a-1",
			})
		}
		state, _ = state.WithHoldings(start, "a-1", coltsfootlink.Holdings{Shard: shard0, Permits: permits})
		So(state.Slots()[0].Limit(), ShouldEqual, 5)
		_, posts := withDemand(state, "x", 9).WithGrants(start)
		So(granted(posts), ShouldBeEmpty)
	})
}

func TestTakeoverWhileAnInstanceIsOutOfSight(t *testing.T) {
	report := func(running int) func(State) State {
		return func(state State) State {
			load := coltsfootlink.Load{Target: "t", Incarnation: 1, Running: running}
			state, _ = state.WithLoad(start, load, start)
			return state
		}
	}
	none := func(state State) State { return state }
	cases := map[string]struct {
		live    bool
		change  func(State) State
		permits int
	}{
		"all announce their permits, so no report is needed":   {true, none, 2},
		"nothing is granted before the target has reported":    {false, none, 0},
		"nor while it runs what the other instance granted":    {false, report(8), 0},
		"the portion is granted on a target that runs nothing": {false, report(0), 1},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			members := []coltsfootlink.Member{memberOf("a-0", test.live), memberOf("a-1", true)}
			state := NewState("a-1", rules())
			state.rules.Placement = ownedByLast{}
			state, _ = state.WithView(start, coltsfootlink.View{Members: members})
			state, _ = state.WithTargets(start, []coltsfootlink.Target{target("t")})
			state, _ = state.WithConfiguration(start, configuration())
			for _, member := range members {
				state, _ = state.WithHoldings(start, member.Name, coltsfootlink.Holdings{Shard: shard0})
			}
			_, posts := test.change(withDemand(state, "x", 5)).WithGrants(start)
			So(granted(posts), ShouldHaveLength, test.permits)
		})
	}
}

// ownedByLast gives every shard to the last of the live instances.
type ownedByLast struct{ ownership.Rendezvous }

func (ownedByLast) Owner(_ coltsfootlink.Shard, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	live := view.Live()
	return live[len(live)-1].Name, true
}

func TestAgedCharges(t *testing.T) {
	Convey("a long request counts before it ends, and its cost replaces the aged charge", t, func() {
		state, posts := withDemand(owning(), "x", 2).WithGrants(start)
		permits := granted(posts)
		ended := start.Add(time.Second)
		state = state.WithRelease(ended, coltsfootlink.Release{
			Permit: permits[0], Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 30},
		})
		state = state.WithAgedCharges(start.Add(3 * time.Second))
		So(state.Service("pool")["x"], ShouldAlmostEqual, 30+90, 1e-6)
		state = state.WithRelease(start.Add(4*time.Second), coltsfootlink.Release{
			Permit: permits[1], Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 50},
		})
		So(state.Service("pool")["x"], ShouldAlmostEqual, 30+50, 1e-6)
	})
}

func TestAgesOfADeadInstance(t *testing.T) {
	half, late, now := start.Add(time.Second/2), start.Add(2900*time.Millisecond), start.Add(3*time.Second)
	cases := map[string]struct {
		change  func(State) State
		service float64
	}{
		"a permit ages while its holder is in touch":     {func(state State) State { return state.WithTouch(late, "a-1") }, 90},
		"not while nothing is heard of its holder":       {func(state State) State { return state.WithTouch(half, "a-1") }, 50},
		"though something is heard of another":           {func(state State) State { return state.WithTouch(half, "a-1").WithTouch(late, "a-2") }, 50},
		"all of its age counts once its holder speaks":   {func(state State) State { return state.WithTouch(half, "a-1").WithTouch(late, "a-1") }, 90},
		"not once messages to its holder are lost":       {func(state State) State { return state.WithBrokenLink(half, "a-1") }, 50},
		"nor because messages are lost again":            {func(state State) State { return state.WithBrokenLink(half, "a-1").WithBrokenLink(late, "a-1") }, 50},
		"though messages to another are lost":            {func(state State) State { return state.WithTouch(late, "a-1").WithBrokenLink(half, "a-2") }, 90},
		"again once its holder speaks over another link": {func(state State) State { return state.WithBrokenLink(half, "a-1").WithTouch(late, "a-1") }, 90},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, posts := withDemand(owning(), "x", 2).WithGrants(start)
			state = state.WithRelease(start.Add(time.Second), coltsfootlink.Release{
				Permit: granted(posts)[0], Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 30},
			})
			state = test.change(state).WithAgedCharges(now)
			So(state.Service("pool")["x"], ShouldAlmostEqual, 30+test.service, 1e-6)
		})
	}
}

// TestNeverMoreThanTheLimit lets two holders use permits while messages are lost, doubled and late.
func TestNeverMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := owning()
		running := map[coltsfootlink.PermitID]coltsfootlink.Permit{}
		seen := map[coltsfootlink.InstanceName]uint64{}
		var late []coltsfootlink.Release
		now := start
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "millis")) * time.Millisecond)
			holder := coltsfootlink.InstanceName(rapid.SampledFrom([]string{"a-1", "a-0"}).Draw(t, "holder"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				waiting := rapid.IntRange(0, 5).Draw(t, "waiting")
				state, _ = state.WithDemand(holder, demandOf("x", waiting, seen[holder], epochOf(state)))
			case 1:
				state, _ = state.WithHoldings(now, holder, holdingsOf(state, holder, seen[holder], running))
			case 2:
				for id, permit := range running {
					release := coltsfootlink.Release{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 5, FirstByteMillis: 9, Incarnation: 1}}
					late = append(late, release)
					delete(running, id)
					break
				}
			case 3:
				for _, release := range late {
					if rapid.Bool().Draw(t, "arrives") {
						state = state.WithRelease(now, release)
					}
				}
			case 4:
				var posts []Post
				state, posts = state.WithGrants(now)
				for _, permit := range granted(posts) {
					if rapid.Bool().Draw(t, "lost") {
						continue
					}
					running[permit.ID] = permit
					seen[permit.Holder] = max(seen[permit.Holder], permit.ID.Serial)
				}
			}
			if limit := state.Slots()[0].Limit(); len(running) > limit {
				t.Fatalf("%d run on a target of limit %d", len(running), limit)
			}
		}
	})
}

func holdingsOf(state State, holder coltsfootlink.InstanceName, seen uint64, running map[coltsfootlink.PermitID]coltsfootlink.Permit) coltsfootlink.Holdings {
	holdings := coltsfootlink.Holdings{Shard: shard0, Epoch: epochOf(state), LastSerial: seen}
	for _, permit := range running {
		if permit.Holder == holder {
			holdings.Permits = append(holdings.Permits, permit)
		}
	}
	return holdings
}

// BenchmarkGrants measures one grant and release by the number of teams and instances with demand.
func BenchmarkGrants(b *testing.B) {
	for _, size := range []struct{ teams, instances int }{{16, 8}, {64, 8}, {280, 8}, {16, 64}, {16, 320}, {280, 320}} {
		b.Run(fmt.Sprintf("teams-%d-instances-%d", size.teams, size.instances), func(b *testing.B) {
			state := owning()
			full := configuration()
			for index := range size.teams {
				full = full.WithTeam(coltsfootlink.Team{Name: coltsfootlink.TeamName(fmt.Sprint("team-", index)), Weight: 1})
			}
			state, _ = state.WithConfiguration(start, full)
			for instance := range size.instances {
				// A team waits on few instances, as the balancer and a tenth of the teams would have it.
				for index := range max(1, 3*size.teams/size.instances) {
					team := coltsfootlink.TeamName(fmt.Sprint("team-", (instance+index*7)%size.teams))
					state, _ = state.WithDemand(coltsfootlink.InstanceName(fmt.Sprint("i-", instance)), demandOf(team, 1<<30, 0, epochOf(state)))
				}
			}
			for b.Loop() {
				var posts []Post
				state, posts = state.WithGrants(start)
				for _, permit := range granted(posts) {
					state = state.WithRelease(start, coltsfootlink.Release{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 1}})
					state, _ = state.WithDemand(permit.Holder, demandOf(permit.Team, 1<<30, permit.ID.Serial, epochOf(state)))
				}
			}
		})
	}
}
