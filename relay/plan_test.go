package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/pressure"
)

// behind returns the state of a processor after some looks at which it was behind.
func behind(looks int) pressure.State {
	var state pressure.State
	for range looks {
		state = state.WithWait(time.Second)
	}
	return state
}

func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	two := Plan{}.WithAddresses([]string{"a", "b"})
	cases := map[string]struct {
		plan   Plan
		draw   float64
		passes bool
	}{
		"nothing is known":        {Plan{}, 0, false},
		"calm":                    {two.WithPressure(pressure.State{}), 0, false},
		"behind, and nobody else": {Plan{}.WithPressure(behind(10)), 0, false},
		"a little behind, a connection is passed": {two.WithPressure(behind(1)), 0.3, true},
		"a little behind, another is kept":        {two.WithPressure(behind(1)), 0.4, false},
		"far behind":                              {two.WithPressure(behind(20)), 0.98, true},
		"calm again":                              {two.WithPressure(behind(20)).WithPressure(pressure.State{}), 0, false},
		"one is full":                             {two.WithPressure(behind(20)).WithRefusal(now, "a"), 0, true},
		"both are full":                           {two.WithPressure(behind(20)).WithRefusal(now, "a").WithRefusal(now, "b"), 0, false},
		"both were full": {
			two.WithPressure(behind(20)).WithRefusal(now.Add(-refusedPause), "a").WithRefusal(now.Add(-refusedPause), "b"), 0, true,
		},
	}
	for name, test := range cases {
		Convey("connections are passed on while the processor is behind and others have room: "+name, t, func() {
			So(test.plan.Passes(now, test.draw), ShouldEqual, test.passes)
		})
	}
	refuses := map[string]struct {
		looks   int
		draw    float64
		refuses bool
	}{
		"calm": {0, 0.99, false},
		"only what lies beyond shares is refused": {1, 0.99, false},
		"a part within shares is refused":         {2, 0.9, true},
		"and another part is not":                 {2, 0.8, false},
		"hardly anything is taken":                {30, 0.03, true},
		"what little is taken":                    {30, 0.01, false},
	}
	for name, test := range refuses {
		Convey("what would be refused within shares, too, is refused unread: "+name, t, func() {
			So(Plan{}.WithPressure(behind(test.looks)).Refuses(test.draw), ShouldEqual, test.refuses)
		})
	}
	Convey("addresses that refused or were tried are not asked", t, func() {
		plan := Plan{}.WithAddresses([]string{"a", "b", "c"}).WithRefusal(now, "b")
		for range 100 {
			address, found := plan.Address(now, []string{"a"})
			So(found, ShouldBeTrue)
			So(address, ShouldEqual, "c")
		}
		_, found := plan.Address(now, []string{"a", "c"})
		So(found, ShouldBeFalse)
	})
	Convey("all addresses are drawn", t, func() {
		plan := Plan{}.WithAddresses([]string{"a", "b", "c"})
		drawn := make(map[string]int)
		for range 600 {
			address, _ := plan.Address(now, nil)
			drawn[address]++
		}
		for _, address := range []string{"a", "b", "c"} {
			So(drawn[address], ShouldBeGreaterThan, 120)
		}
	})
	Convey("a plan is not changed by what follows from it", t, func() {
		before := Plan{}.WithAddresses([]string{"a"}).WithPressure(behind(20))
		_ = before.WithRefusal(now, "a")
		So(before.Passes(now, 0), ShouldBeTrue)
	})
}
