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

// ownerWith returns an owner of one shard to which all other instances have reported that they hold no permits.
func ownerWith(others ...string) State {
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

func epochOf(state State) coltsfootlink.Epoch { return state.ownedShards()[0].epoch }

func granted(envelopes []Envelope) []coltsfootlink.Permit {
	var permits []coltsfootlink.Permit
	for _, envelope := range envelopes {
		if grant, is := envelope.Message.(coltsfootlink.Grant); is {
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
		"up to the limit of a cold target": {
			prepare: func(state State) State { return withDemand(state, "x", 5) },
			permits: 2,
		},
		"no more than there are waiting requests": {
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
		"none in a zone that is out of service": {
			prepare: func(state State) State {
				out := configuration().WithZone(coltsfootlink.AvailabilityZone{Name: "a", Out: true})
				state, _ = state.WithConfiguration(start, out)
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"none on an unresponsive target": {
			prepare: func(state State) State {
				state, _ = state.WithMissingLoad(start, coltsfootlink.LoadMissing{Target: "t"})
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"on an unresponsive target once it responds": {
			prepare: func(state State) State {
				state, _ = state.WithMissingLoad(start, coltsfootlink.LoadMissing{Target: "t"})
				state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1}, start.Add(time.Second))
				return withDemand(state, "x", 5)
			},
			permits: 2,
		},
		"none before a new instance of the zone has reported its permits": {
			prepare: func(state State) State {
				state = withDemand(state, "x", 5)
				state, _ = state.WithView(start, coltsfootlink.View{Members: []coltsfootlink.Member{memberOf("a-1", true), memberOf("a-0", true)}})
				return withDemand(state, "x", 5)
			},
			permits: 0,
		},
		"less the running requests in a load report after a takeover": {
			prepare: func(state State) State {
				state, _ = state.WithSuspension(start)
				state, _ = state.WithHoldings(start, "a-1", coltsfootlink.Holdings{Shard: shard0})
				state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1, Running: 1}, start)
				return withDemand(state, "x", 5)
			},
			permits: 1,
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			_, envelopes := test.prepare(ownerWith()).WithGrants(start)
			So(granted(envelopes), ShouldHaveLength, test.permits)
		})
	}
}

func withDemand(state State, team coltsfootlink.TeamName, waiting int) State {
	epoch := coltsfootlink.Epoch(0)
	if len(state.ownedShards()) > 0 {
		epoch = epochOf(state)
	}
	state, _ = state.WithDemand("a-1", demandOf(team, waiting, 0, epoch))
	return state
}

func TestPermitsInFlightAreNotGrantedTwice(t *testing.T) {
	Convey("a demand sent before the permit was received does not get a second permit", t, func() {
		state := withDemand(ownerWith(), "x", 1)
		state, envelopes := state.WithGrants(start)
		So(granted(envelopes), ShouldHaveLength, 1)
		state = withDemand(state, "x", 1)
		state, envelopes = state.WithGrants(start)
		So(granted(envelopes), ShouldBeEmpty)
		state, _ = state.WithDemand("a-1", demandOf("x", 1, 1, epochOf(state)))
		_, envelopes = state.WithGrants(start)
		So(granted(envelopes), ShouldHaveLength, 1)
	})
}

func TestNoPermitsForAnInstanceWithABrokenLink(t *testing.T) {
	Convey("an instance to which messages were lost gets no permits until it reports demand again", t, func() {
		state := withDemand(ownerWith(), "x", 5).WithBrokenLink(start, "a-1")
		state, envelopes := state.WithGrants(start)
		So(granted(envelopes), ShouldBeEmpty)
		_, envelopes = withDemand(state, "x", 5).WithGrants(start)
		So(granted(envelopes), ShouldHaveLength, 2)
	})
}

func TestReleases(t *testing.T) {
	cases := map[string]struct {
		usage   coltsfootlink.Usage
		service float64
		held    int
	}{
		"an unused permit is not charged":        {coltsfootlink.Usage{Result: coltsfootlink.Unused}, 0, 0},
		"a refused connection is not charged":    {coltsfootlink.Usage{Result: coltsfootlink.Refused}, 0, 0},
		"a success is charged its measured cost": {coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 30}, 30, 0},
		"a failure is charged its measured cost": {coltsfootlink.Usage{Result: coltsfootlink.Failed, Cost: 7}, 7, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, envelopes := withDemand(ownerWith(), "x", 1).WithGrants(start)
			permit := granted(envelopes)[0]
			release := coltsfootlink.Release{Permit: permit, Usage: test.usage}
			// A release identifies its permit only; team and charge are not sent with it.
			release.Permit.Team, release.Permit.Charge = "", 0
			state = state.WithRelease(start.Add(time.Second), release)
			state = state.WithRelease(start.Add(time.Second), release)
			So(state.Service("pool")["x"], ShouldAlmostEqual, test.service, 1e-9)
			So(state.Slots()[0].Held(), ShouldEqual, test.held)
		})
	}
}

func TestHoldingsReconcilePermits(t *testing.T) {
	cases := map[string]struct {
		holdings func(coltsfootlink.Permit) coltsfootlink.Holdings
		at       time.Time
		held     int
	}{
		"received but not listed": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch, LastSerial: permit.ID.Serial}
			},
			at: start, held: 0,
		},
		"not received yet": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch}
			},
			at: start, held: 1,
		},
		"not received before its start deadline": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch}
			},
			at: start.Add(startTimeout + time.Second), held: 0,
		},
		"of an epoch that the holder does not know yet": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch - 1, LastSerial: 99}
			},
			at: start, held: 1,
		},
		"listed": {
			holdings: func(permit coltsfootlink.Permit) coltsfootlink.Holdings {
				return coltsfootlink.Holdings{Shard: shard0, Epoch: permit.ID.Epoch, LastSerial: permit.ID.Serial, Permits: []coltsfootlink.Permit{permit}}
			},
			at: start.Add(time.Hour), held: 1,
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, envelopes := withDemand(ownerWith(), "x", 1).WithGrants(start)
			state, _ = state.WithHoldings(test.at, "a-1", test.holdings(granted(envelopes)[0]))
			So(state.Slots()[0].Held(), ShouldEqual, test.held)
		})
	}
}

func TestHoldersAreAskedToConfirmPermits(t *testing.T) {
	Convey("the holder of a permit that is due to be confirmed is asked for its permits", t, func() {
		state, _ := withDemand(ownerWith(), "x", 1).WithGrants(start)
		_, envelopes := state.WithoutExpired(start.Add(confirmTimeout + time.Second))
		So(envelopes, ShouldHaveLength, 1)
		So(envelopes[0].Message, ShouldHaveSameTypeAs, coltsfootlink.Takeover{})
	})
}

func TestOrphanedPermits(t *testing.T) {
	withOrphan := func() State {
		state := ownerWith("a-0")
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
		"count without a load report": {func(state State) State { return state }, 1},
		"count while the target reports them as running": {func(state State) State {
			state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1, Running: 1}, start.Add(time.Second))
			return state
		}, 1},
		"are dropped when the target reports nothing running": {func(state State) State {
			state, _ = state.WithLoad(start, coltsfootlink.Load{Target: "t", Incarnation: 1}, start.Add(time.Second))
			return state
		}, 0},
		"are dropped at their deadline": {func(state State) State {
			state, _ = state.WithoutExpired(start.Add(2 * orphanTimeout))
			return state
		}, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.after(withOrphan()).Slots()[0].Held(), ShouldEqual, test.held) })
	}
}

func TestLimitIsReclaimedOnlyAfterThePortionIsUsedUp(t *testing.T) {
	cases := map[string]struct {
		peak, reclaimed, running, portion int
		after                             int
	}{
		"no growth on an idle target":                   {peak: 0, running: 0, portion: 4, after: 0},
		"growth if used up and nothing else runs":       {peak: 4, running: 4, portion: 4, after: 1},
		"no growth if used up while other requests run": {peak: 4, running: 6, portion: 4, after: 0},
		"unchanged while not used up":                   {peak: 2, reclaimed: 2, running: 2, portion: 4, after: 2},
		"zero once the portion is the full limit":       {peak: 8, reclaimed: 3, running: 8, portion: 8, after: 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			slot := newSlot(target("t"), limit.NewAdaptive(configuration().Pools["pool"], 1, start).WithRunning(8))
			slot.peakHeld, slot.reclaimed = test.peak, test.reclaimed
			So(slot.reclaimedAfter(test.running, test.portion), ShouldEqual, test.after)
		})
	}
}

func TestStrikes(t *testing.T) {
	withSuspect := func() State {
		state, envelopes := withDemand(ownerWith(), "x", 1).WithGrants(start)
		return state.WithRelease(start, coltsfootlink.Release{
			Permit: granted(envelopes)[0],
			Usage:  coltsfootlink.Usage{Result: coltsfootlink.Crashed, Fingerprint: 7},
		})
	}
	later := start.Add(time.Second)
	cases := map[string]struct {
		report  func(State) []Envelope
		strikes int
	}{
		"strike if the target has restarted": {func(state State) []Envelope {
			_, envelopes := state.WithLoad(later, coltsfootlink.Load{Target: "t", Incarnation: 2}, later)
			return envelopes
		}, 1},
		"strike if the target refuses connections": {func(state State) []Envelope {
			_, envelopes := state.WithMissingLoad(later, coltsfootlink.LoadMissing{Target: "t", Refused: true})
			return envelopes
		}, 1},
		"no strike if only the connection broke": {func(state State) []Envelope {
			state, _ = state.WithLoad(later, coltsfootlink.Load{Target: "t", Incarnation: 1}, later)
			_, envelopes := state.WithLoad(later, coltsfootlink.Load{Target: "t", Incarnation: 2}, later)
			return envelopes
		}, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.report(withSuspect()), ShouldHaveLength, test.strikes) })
	}
}

func TestTakeovers(t *testing.T) {
	Convey("an owner gives up a shard when another instance announces a newer epoch", t, func() {
		state := ownerWith()
		newer := coltsfootlink.Takeover{Shard: shard0, Owner: "a-0", Epoch: epochOf(state) + 1}
		So(state.WithTakeover(newer).Shards(), ShouldBeEmpty)
		older := coltsfootlink.Takeover{Shard: shard0, Owner: "a-0", Epoch: epochOf(state) - 1}
		So(state.WithTakeover(older).Shards(), ShouldHaveLength, 1)
	})
	Convey("demand sent to an instance that does not own the shard is answered with NotOwner", t, func() {
		state := NewState("a-1", rules())
		_, envelopes := state.WithDemand("a-0", demandOf("x", 1, 0, 7))
		So(envelopes, ShouldResemble, []Envelope{{To: "a-0", Message: coltsfootlink.NotOwner{Shard: shard0}}})
	})
	Convey("a shard that was given up by mistake is taken over again", t, func() {
		state := ownerWith()
		newer := epochOf(state) + 1
		state = state.WithTakeover(coltsfootlink.Takeover{Shard: shard0, Owner: "a-0", Epoch: newer})
		state, envelopes := state.WithOwnership(start.Add(time.Second))
		So(state.Shards(), ShouldHaveLength, 1)
		So(epochOf(state), ShouldBeGreaterThan, newer)
		So(envelopes, ShouldHaveLength, 1)
	})
	Convey("an owner starts an epoch above the newest one that a holder reports", t, func() {
		state := ownerWith()
		known := epochOf(state) + 100
		state, envelopes := state.WithHoldings(start, "a-1", coltsfootlink.Holdings{Shard: shard0, Epoch: known})
		So(epochOf(state), ShouldBeGreaterThan, known)
		So(envelopes, ShouldHaveLength, 1)
	})
	Convey("permits still held after a takeover count against the new owner's limit", t, func() {
		state := ownerWith()
		state, _ = state.WithSuspension(start)
		permits := []coltsfootlink.Permit{}
		for serial := range 5 {
			permits = append(permits, coltsfootlink.Permit{
				ID: coltsfootlink.PermitID{Epoch: 1, Serial: uint64(serial)}, Shard: shard0, Target: "t", Team: "x", Holder: "a-1",
			})
		}
		state, _ = state.WithHoldings(start, "a-1", coltsfootlink.Holdings{Shard: shard0, Permits: permits})
		So(state.Slots()[0].Limit(), ShouldEqual, 5)
		_, envelopes := withDemand(state, "x", 9).WithGrants(start)
		So(granted(envelopes), ShouldBeEmpty)
	})
}

func TestTakeoverWhileAnInstanceIsUnresponsive(t *testing.T) {
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
		"no load report is needed if all instances report their permits":       {true, none, 2},
		"nothing is granted before the target has reported its load":           {false, none, 0},
		"nothing is granted while the target runs requests of the other owner": {false, report(8), 0},
		"the portion is granted on an idle target":                             {false, report(0), 1},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			members := []coltsfootlink.Member{memberOf("a-0", test.live), memberOf("a-1", true)}
			state := NewState("a-1", rules())
			state.rules.Placement = lastInstanceOwns{}
			state, _ = state.WithView(start, coltsfootlink.View{Members: members})
			state, _ = state.WithTargets(start, []coltsfootlink.Target{target("t")})
			state, _ = state.WithConfiguration(start, configuration())
			for _, member := range members {
				state, _ = state.WithHoldings(start, member.Name, coltsfootlink.Holdings{Shard: shard0})
			}
			_, envelopes := test.change(withDemand(state, "x", 5)).WithGrants(start)
			So(granted(envelopes), ShouldHaveLength, test.permits)
		})
	}
}

// lastInstanceOwns assigns every shard to the last live instance.
type lastInstanceOwns struct{ ownership.Rendezvous }

func (lastInstanceOwns) Owner(_ coltsfootlink.Shard, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	live := view.Live()
	return live[len(live)-1].Name, true
}

func TestAgedCharges(t *testing.T) {
	Convey("a long request is charged before it ends, and its measured cost replaces the aged charge", t, func() {
		state, envelopes := withDemand(ownerWith(), "x", 2).WithGrants(start)
		permits := granted(envelopes)
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

func TestChargesAgeOnlyWhileTheHolderIsInContact(t *testing.T) {
	half, late, now := start.Add(time.Second/2), start.Add(2900*time.Millisecond), start.Add(3*time.Second)
	cases := map[string]struct {
		change  func(State) State
		service float64
	}{
		"a charge ages while its holder sends messages":               {func(state State) State { return state.WithContact(late, "a-1") }, 90},
		"a charge stops aging when its holder stops sending":          {func(state State) State { return state.WithContact(half, "a-1") }, 50},
		"a charge does not age by messages of another instance":       {func(state State) State { return state.WithContact(half, "a-1").WithContact(late, "a-2") }, 50},
		"the full time is charged once its holder sends again":        {func(state State) State { return state.WithContact(half, "a-1").WithContact(late, "a-1") }, 90},
		"a charge stops aging once messages to its holder are lost":   {func(state State) State { return state.WithBrokenLink(half, "a-1") }, 50},
		"a charge does not age when messages are lost again":          {func(state State) State { return state.WithBrokenLink(half, "a-1").WithBrokenLink(late, "a-1") }, 50},
		"a charge ages though messages to another instance are lost":  {func(state State) State { return state.WithContact(late, "a-1").WithBrokenLink(half, "a-2") }, 90},
		"a charge ages again once its holder sends over another link": {func(state State) State { return state.WithBrokenLink(half, "a-1").WithContact(late, "a-1") }, 90},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, envelopes := withDemand(ownerWith(), "x", 2).WithGrants(start)
			state = state.WithRelease(start.Add(time.Second), coltsfootlink.Release{
				Permit: granted(envelopes)[0], Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 30},
			})
			state = test.change(state).WithAgedCharges(now)
			So(state.Service("pool")["x"], ShouldAlmostEqual, 30+test.service, 1e-6)
		})
	}
}

// TestRunningRequestsNeverExceedTheLimit lets two holders use permits at random while grants are lost and releases
// are lost, duplicated or delayed.
func TestRunningRequestsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := ownerWith()
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
				var envelopes []Envelope
				state, envelopes = state.WithGrants(now)
				for _, permit := range granted(envelopes) {
					if rapid.Bool().Draw(t, "lost") {
						continue
					}
					running[permit.ID] = permit
					seen[permit.Holder] = max(seen[permit.Holder], permit.ID.Serial)
				}
			}
			if limit := state.Slots()[0].Limit(); len(running) > limit {
				t.Fatalf("%d requests run on a target with a limit of %d", len(running), limit)
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

// BenchmarkGrants measures one grant and release for several numbers of teams and instances with demand.
func BenchmarkGrants(b *testing.B) {
	for _, size := range []struct{ teams, instances int }{{16, 8}, {64, 8}, {280, 8}, {16, 64}, {16, 320}, {280, 320}} {
		b.Run(fmt.Sprintf("teams-%d-instances-%d", size.teams, size.instances), func(b *testing.B) {
			state := ownerWith()
			full := configuration()
			for index := range size.teams {
				full = full.WithTeam(coltsfootlink.Team{Name: coltsfootlink.TeamName(fmt.Sprint("team-", index)), Weight: 1})
			}
			state, _ = state.WithConfiguration(start, full)
			for instance := range size.instances {
				// Each team waits on few instances, as the balancer arranges it when a tenth of the teams are active.
				for index := range max(1, 3*size.teams/size.instances) {
					team := coltsfootlink.TeamName(fmt.Sprint("team-", (instance+index*7)%size.teams))
					state, _ = state.WithDemand(coltsfootlink.InstanceName(fmt.Sprint("i-", instance)), demandOf(team, 1<<30, 0, epochOf(state)))
				}
			}
			for b.Loop() {
				var envelopes []Envelope
				state, envelopes = state.WithGrants(start)
				for _, permit := range granted(envelopes) {
					state = state.WithRelease(start, coltsfootlink.Release{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Cost: 1}})
					state, _ = state.WithDemand(permit.Holder, demandOf(permit.Team, 1<<30, permit.ID.Serial, epochOf(state)))
				}
			}
		})
	}
}
