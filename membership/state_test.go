package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var (
	start  = time.Unix(1_000_000, 0)
	policy = Policy{Fanout: 3, Interval: 250 * time.Millisecond, AnswerLimit: 500 * time.Millisecond}
)

func instance(name string, incarnation uint64) coltsfootlink.Instance {
	return coltsfootlink.Instance{Name: coltsfootlink.InstanceName(name), Zone: "a", PeerAddress: name + ":1", Incarnation: incarnation}
}

func beat(name string, incarnation, sequence uint64) coltsfootlink.HeartbeatEntry {
	return coltsfootlink.HeartbeatEntry{Instance: instance(name, incarnation), Sequence: sequence}
}

func silent(name string, incarnation, sequence uint64) coltsfootlink.HeartbeatEntry {
	said := beat(name, incarnation, sequence)
	said.Unresponsive = true
	return said
}

func TestView(t *testing.T) {
	listing := func(names ...string) coltsfootlink.Listing {
		var listing coltsfootlink.Listing
		for _, name := range names {
			listing.Instances = append(listing.Instances, instance(name, 5))
		}
		return listing
	}
	words := func(beats ...coltsfootlink.HeartbeatEntry) func(State) State {
		return func(state State) State {
			for _, beat := range beats {
				state = state.withWord(start, beat)
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
		"unknown":                         {words(), false, false, false},
		"listed and never heard of":       {func(state State) State { return state.WithListing(listing("b")) }, false, true, true},
		"listed and heard of":             {func(state State) State { return words(beat("b", 5, 0))(state.WithListing(listing("b"))) }, true, true, true},
		"listed, in a later life":         {func(state State) State { return words(beat("b", 4, 0))(state).WithListing(listing("b")) }, false, true, true},
		"live and not yet listed":         {words(beat("b", 1, 0)), true, false, true},
		"said to be silent":               {words(beat("b", 1, 0), silent("b", 1, 0)), false, false, true},
		"silent before it contradicted":   {words(beat("b", 1, 1), silent("b", 1, 0)), true, false, true},
		"silent, and then contradicted":   {words(beat("b", 1, 0), silent("b", 1, 0), beat("b", 1, 1)), true, false, true},
		"a word that is no newer":         {words(beat("b", 1, 0), silent("b", 1, 0), beat("b", 1, 0)), false, false, true},
		"a word from an older life":       {words(beat("b", 2, 0), silent("b", 1, 9)), true, false, true},
		"a newer life":                    {words(beat("b", 1, 9), silent("b", 1, 9), beat("b", 2, 0)), true, false, true},
		"silent, and never heard of here": {words(silent("b", 1, 0)), false, false, false},
		"no longer listed, but live":      {func(state State) State { return words(beat("b", 1, 0))(state).WithListing(listing()) }, true, false, true},
		"no longer listed and silent": {func(state State) State {
			return words(beat("b", 1, 0), silent("b", 1, 0))(state).WithListing(listing())
		}, false, false, false},
		"a seed that never answered": {func(state State) State { return state.WithSeeds([]coltsfootlink.Instance{instance("b", 0)}) }, false, false, true},
		"a seed stays when it is unlisted": {func(state State) State {
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

func TestWordsOnSelf(t *testing.T) {
	cases := map[string]struct {
		word        coltsfootlink.HeartbeatEntry
		incarnation uint64
		sequence    uint64
	}{
		"true":                                  {beat("a", 7, 0), 7, 0},
		"said to be silent":                     {silent("a", 7, 0), 7, 1},
		"said to be silent later than it knows": {silent("a", 7, 4), 7, 5},
		"an older life is silent":               {silent("a", 6, 4), 7, 0},
		"a later life, for the clock went back": {beat("a", 9, 4), 10, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, _ := NewState(instance("a", 7), nil, policy).withWordOnSelf(test.word)
			So(state.own.Instance.Incarnation, ShouldEqual, test.incarnation)
			So(state.own.Sequence, ShouldEqual, test.sequence)
		})
	}
}

func TestAddresses(t *testing.T) {
	Convey("the list's address goes before the one that a heartbeat names", t, func() {
		listed := instance("b", 0)
		listed.PeerAddress = "listed:1"
		state := NewState(instance("a", 1), nil, policy).WithListing(coltsfootlink.Listing{Instances: []coltsfootlink.Instance{listed}})
		member, _ := state.withWord(start, beat("b", 1, 1)).View().Member("b")
		So(member.PeerAddress, ShouldEqual, "listed:1")
	})
	Convey("seeds are known without the list", t, func() {
		member, found := NewState(instance("a", 1), []coltsfootlink.Instance{instance("b", 0)}, policy).View().Member("b")
		So(found, ShouldBeTrue)
		So(member.PeerAddress, ShouldEqual, "b:1")
	})
}
