package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/pressure"
)

// shortOfCPU returns the pressure state after a number of consecutive samples in which CPU was short.
func shortOfCPU(samples int) pressure.State {
	var state pressure.State
	for range samples {
		state = state.WithWait(time.Second)
	}
	return state
}

func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	twoAddresses := Plan{}.WithAddresses([]string{"a", "b"})
	cases := map[string]struct {
		plan     Plan
		draw     float64
		forwards bool
	}{
		"no pressure and no addresses known":             {Plan{}, 0, false},
		"CPU not short":                                  {twoAddresses.WithPressure(pressure.State{}), 0, false},
		"short of CPU, no other instance":                {Plan{}.WithPressure(shortOfCPU(10)), 0, false},
		"slightly short of CPU, draw below the fraction": {twoAddresses.WithPressure(shortOfCPU(1)), 0.3, true},
		"slightly short of CPU, draw above the fraction": {twoAddresses.WithPressure(shortOfCPU(1)), 0.4, false},
		"very short of CPU":                              {twoAddresses.WithPressure(shortOfCPU(20)), 0.98, true},
		"CPU no longer short":                            {twoAddresses.WithPressure(shortOfCPU(20)).WithPressure(pressure.State{}), 0, false},
		"one address refused":                            {twoAddresses.WithPressure(shortOfCPU(20)).WithRefusal(now, "a"), 0, true},
		"both addresses refused":                         {twoAddresses.WithPressure(shortOfCPU(20)).WithRefusal(now, "a").WithRefusal(now, "b"), 0, false},
		"short of CPU, but the instance shuts down":      {twoAddresses.WithPressure(shortOfCPU(20)).WithLeaving(), 0, false},
		"both addresses refused, backoff over": {
			twoAddresses.WithPressure(shortOfCPU(20)).WithRefusal(now.Add(-refusalBackoff), "a").WithRefusal(now.Add(-refusalBackoff), "b"), 0, true,
		},
	}
	for name, test := range cases {
		Convey("connections are forwarded while CPU is short and others may have capacity: "+name, t, func() {
			So(test.plan.ShouldForward(now, test.draw), ShouldEqual, test.forwards)
		})
	}
	refuses := map[string]struct {
		samples int
		draw    float64
		refuses bool
	}{
		"CPU not short": {0, 0.99, false},
		"shortage that affects only requests beyond shares":         {1, 0.99, false},
		"shortage within shares, draw in the refused fraction":      {2, 0.9, true},
		"shortage within shares, draw outside the refused fraction": {2, 0.8, false},
		"severe shortage, draw in the refused fraction":             {30, 0.03, true},
		"severe shortage, draw outside the refused fraction":        {30, 0.01, false},
	}
	for name, test := range refuses {
		Convey("requests that would be refused even within shares are refused unread: "+name, t, func() {
			So(Plan{}.WithPressure(shortOfCPU(test.samples)).ShouldRefuse(test.draw), ShouldEqual, test.refuses)
		})
	}
	Convey("addresses that have refused or were attempted are not picked", t, func() {
		plan := Plan{}.WithAddresses([]string{"a", "b", "c"}).WithRefusal(now, "b")
		for range 100 {
			address, found := plan.Address(now, []string{"a"})
			So(found, ShouldBeTrue)
			So(address, ShouldEqual, "c")
		}
		_, found := plan.Address(now, []string{"a", "c"})
		So(found, ShouldBeFalse)
	})
	Convey("all addresses are picked", t, func() {
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
	Convey("With-methods do not change the plan they are called on", t, func() {
		before := Plan{}.WithAddresses([]string{"a"}).WithPressure(shortOfCPU(20))
		_ = before.WithRefusal(now, "a")
		So(before.ShouldForward(now, 0), ShouldBeTrue)
	})
}
