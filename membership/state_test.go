package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var (
	start  = time.Unix(1_000_000, 0)
	policy = Policy{Fanout: 3, Interval: 250 * time.Millisecond, ReplyTimeout: 500 * time.Millisecond}
)

func instance(name string, incarnation uint64) coltsfootlink.Instance {
	return coltsfootlink.Instance{Name: coltsfootlink.InstanceName(name), Zone: "a", PeerAddress: name + ":1", Incarnation: incarnation}
}

func live(name string, incarnation, sequence uint64) coltsfootlink.HeartbeatEntry {
	return coltsfootlink.HeartbeatEntry{Instance: instance(name, incarnation), Sequence: sequence}
}

func unresponsive(name string, incarnation, sequence uint64) coltsfootlink.HeartbeatEntry {
	entry := live(name, incarnation, sequence)
	entry.Unresponsive = true
	return entry
}

func TestView(t *testing.T) {
	listing := func(names ...string) coltsfootlink.Listing {
		var listing coltsfootlink.Listing
		for _, name := range names {
			listing.Instances = append(listing.Instances, instance(name, 5))
		}
		return listing
	}
	withEntries := func(entries ...coltsfootlink.HeartbeatEntry) func(State) State {
		return func(state State) State {
			for _, entry := range entries {
				state = state.withEntry(start, entry)
			}
			return state
		}
	}
	cases := map[string]struct {
		change func(State) State
		live   bool
		listed bool
		found  bool
	}{
		"never seen, not listed": {withEntries(), false, false, false},
		"listed, never seen":     {func(state State) State { return state.WithListing(listing("b")) }, false, true, true},
		"listed, seen":           {func(state State) State { return withEntries(live("b", 5, 0))(state.WithListing(listing("b"))) }, true, true, true},
		"listed with a newer incarnation than the one seen":        {func(state State) State { return withEntries(live("b", 4, 0))(state).WithListing(listing("b")) }, false, true, true},
		"seen, not yet listed":                                     {withEntries(live("b", 1, 0)), true, false, true},
		"reported unresponsive":                                    {withEntries(live("b", 1, 0), unresponsive("b", 1, 0)), false, false, true},
		"reported unresponsive with a sequence older than its own": {withEntries(live("b", 1, 1), unresponsive("b", 1, 0)), true, false, true},
		"reported unresponsive, then refuted":                      {withEntries(live("b", 1, 0), unresponsive("b", 1, 0), live("b", 1, 1)), true, false, true},
		"reported unresponsive, then an entry that is no newer":    {withEntries(live("b", 1, 0), unresponsive("b", 1, 0), live("b", 1, 0)), false, false, true},
		"an older incarnation reported unresponsive":               {withEntries(live("b", 2, 0), unresponsive("b", 1, 9)), true, false, true},
		"reported unresponsive, then seen in a newer incarnation":  {withEntries(live("b", 1, 9), unresponsive("b", 1, 9), live("b", 2, 0)), true, false, true},
		"reported unresponsive, never seen":                        {withEntries(unresponsive("b", 1, 0)), false, false, false},
		"no longer listed, live":                                   {func(state State) State { return withEntries(live("b", 1, 0))(state).WithListing(listing()) }, true, false, true},
		"no longer listed, unresponsive": {func(state State) State {
			return withEntries(live("b", 1, 0), unresponsive("b", 1, 0))(state).WithListing(listing())
		}, false, false, false},
		"a seed that was never seen": {func(state State) State { return state.WithSeeds([]coltsfootlink.Instance{instance("b", 0)}) }, false, false, true},
		"a seed that is not listed": {func(state State) State {
			return state.WithSeeds([]coltsfootlink.Instance{instance("b", 0)}).WithListing(listing())
		}, false, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			view := test.change(NewState(instance("a", 1), nil, policy)).View()
			member, found := view.Member("b")
			So(found, ShouldEqual, test.found)
			So(member.Live, ShouldEqual, test.live)
			So(member.Listed, ShouldEqual, test.listed)
			self, _ := view.Member("a")
			So(self.Live, ShouldBeTrue)
		})
	}
}

func TestEntryOnSelf(t *testing.T) {
	cases := map[string]struct {
		entry       coltsfootlink.HeartbeatEntry
		incarnation uint64
		sequence    uint64
	}{
		"correct entry":                                  {live("a", 7, 0), 7, 0},
		"reported unresponsive":                          {unresponsive("a", 7, 0), 7, 1},
		"reported unresponsive with a later sequence":    {unresponsive("a", 7, 4), 7, 5},
		"an older incarnation reported unresponsive":     {unresponsive("a", 6, 4), 7, 0},
		"a later incarnation, since the clock went back": {live("a", 9, 4), 10, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, _ := NewState(instance("a", 7), nil, policy).withEntryOnSelf(test.entry)
			So(state.own.Instance.Incarnation, ShouldEqual, test.incarnation)
			So(state.own.Sequence, ShouldEqual, test.sequence)
		})
	}
}

func TestPeerAddress(t *testing.T) {
	Convey("the address of the instance list takes precedence over that of a heartbeat", t, func() {
		listed := instance("b", 0)
		listed.PeerAddress = "listed:1"
		state := NewState(instance("a", 1), nil, policy).WithListing(coltsfootlink.Listing{Instances: []coltsfootlink.Instance{listed}})
		member, _ := state.withEntry(start, live("b", 1, 1)).View().Member("b")
		So(member.PeerAddress, ShouldEqual, "listed:1")
	})
	Convey("seeds are members before the instance list is read", t, func() {
		member, found := NewState(instance("a", 1), []coltsfootlink.Instance{instance("b", 0)}, policy).View().Member("b")
		So(found, ShouldBeTrue)
		So(member.PeerAddress, ShouldEqual, "b:1")
	})
}
