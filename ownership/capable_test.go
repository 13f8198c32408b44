package ownership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// unequalFleet returns a view of two zones with 3 instances of 800 thousandths of a core and 30 of 192 each. Those whose
// names are listed are not live.
func unequalFleet(down ...coltsfootlink.InstanceName) coltsfootlink.View {
	var view coltsfootlink.View
	for _, zone := range []string{"a", "b"} {
		for number := range 33 {
			capacity := 192
			if number < 3 {
				capacity = 800
			}
			added := member(fmt.Sprint(zone, "-", number), zone, true, true, false)
			added.Capacity = capacity
			for _, name := range down {
				added.Live = added.Live && added.Name != name
			}
			view.Members = append(view.Members, added)
		}
	}
	return view
}

func TestStrongInstancesOwnTargets(t *testing.T) {
	cases := map[string]struct {
		view coltsfootlink.View
		// owners is the number of instances that own targets of zone a, and capacity that of each of them.
		owners, capacity int
	}{
		"all instances are live":        {unequalFleet(), 3, 800},
		"one of the strong ones fails":  {unequalFleet("a-0"), 2, 800},
		"all of the strong ones fail":   {unequalFleet("a-0", "a-1", "a-2"), 30, 192},
		"all instances are of one size": {viewOf(member("a-0", "a", true, true, false), member("a-1", "a", true, true, false), member("a-2", "a", true, true, false)), 3, 0},
	}
	for name, test := range cases {
		for index, view := range map[string]coltsfootlink.View{"with an index": test.view.WithIndex(), "without an index": test.view} {
			Convey("targets are owned by the instances with the most CPU capacity: "+name+", "+index, t, func() {
				owned := make(map[coltsfootlink.InstanceName]int)
				for number := range 600 {
					owner, found := TargetOwner(coltsfootlink.Target{Name: coltsfootlink.TargetName(fmt.Sprint("t-", number)), Zone: "a"}, view)
					So(found, ShouldBeTrue)
					owned[owner]++
					holder, _ := view.Member(owner)
					So(holder.Capacity, ShouldEqual, test.capacity)
					So(holder.Zone, ShouldEqual, coltsfootlink.ZoneName("a"))
				}
				So(owned, ShouldHaveLength, test.owners)
				for _, count := range owned {
					So(count, ShouldBeBetween, 300/test.owners, 1200/test.owners)
				}
				singleton, found := SingletonOwner("shares p", view)
				So(found, ShouldBeTrue)
				holder, _ := view.Member(singleton)
				So(holder.Capacity, ShouldEqual, view.AllCapable()[0].Capacity)
			})
		}
	}
	Convey("the targets of a zone without instances are owned by strong ones of other zones", t, func() {
		owner, found := TargetOwner(coltsfootlink.Target{Name: "t", Zone: "c"}, unequalFleet().WithIndex())
		So(found, ShouldBeTrue)
		holder, _ := unequalFleet().Member(owner)
		So(holder.Capacity, ShouldEqual, 800)
	})
}
