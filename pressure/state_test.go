package pressure

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// simulatedInstance has one processor, which runs its work in order of arrival.
type simulatedInstance struct {
	state State
	// freeAt is when the processor has completed the queued work.
	freeAt   time.Duration
	wait     time.Duration
	sampleAt time.Duration
}

// run handles a request that arrives at the given time; false if it is refused, or answered after the caller's timeout.
func (instance *simulatedInstance) run(at time.Duration, standing coltsfootlink.Standing, draw float64, flood flood) bool {
	for instance.sampleAt <= at {
		instance.state = instance.state.WithWait(instance.wait)
		instance.sampleAt += sampleInterval
		instance.wait = 0
	}
	instance.freeAt = max(instance.freeAt, at)
	instance.wait = max(instance.wait, instance.freeAt-at)
	instance.freeAt += flood.refuseCost
	if !instance.state.Admits(standing, draw) {
		return false
	}
	instance.freeAt += flood.serveCost
	return instance.freeAt-at < flood.callerTimeout
}

// flood describes the interval between requests, the CPU time that each costs and the callers' timeout.
type flood struct {
	interval, refuseCost, serveCost, callerTimeout time.Duration
	// entitledFraction is the fraction of Entitled requests.
	entitledFraction float64
}

func TestFloodedInstanceStillServes(t *testing.T) {
	micros := time.Microsecond
	cases := map[string]flood{
		"twice its capacity":     {2000 * micros, 100 * micros, 4000 * micros, time.Second, 0.5},
		"ten times its capacity": {400 * micros, 100 * micros, 4000 * micros, time.Second, 0.1},
		"thirty times, with a quarter of the CPU spent on refusals": {400 * micros, 100 * micros, 12000 * micros, time.Second, 0.1},
		"ten times, with a short caller timeout":                    {400 * micros, 100 * micros, 4000 * micros, 250 * time.Millisecond, 0.1},
		"ten times, all Entitled":                                   {400 * micros, 100 * micros, 4000 * micros, time.Second, 1},
	}
	for name, test := range cases {
		Convey("a flooded instance still serves most of what it has capacity for: "+name, t, func() {
			draws := rand.New(rand.NewPCG(1, 2))
			flooded := new(simulatedInstance)
			served, within := 0, 0
			for at := time.Duration(0); at < 20*time.Second; at += test.interval {
				standing := coltsfootlink.Surplus
				if draws.Float64() < test.entitledFraction {
					standing = coltsfootlink.Entitled
				}
				if flooded.run(at, standing, draws.Float64(), test) {
					served++
					if standing == coltsfootlink.Entitled {
						within++
					}
				}
			}
			// most is how many requests can be served with the CPU time that is left if every request has been refused
			// once.
			left := 20*time.Second - 20*time.Second/test.interval*test.refuseCost
			most := float64(left / test.serveCost)
			So(float64(served), ShouldBeGreaterThan, 0.6*most)
			So(float64(within), ShouldBeGreaterThan, 0.6*min(most, test.entitledFraction*float64(20*time.Second/test.interval)))
		})
	}
	Convey("an instance with enough capacity serves all requests, also within 6 s after a flood", t, func() {
		quiet := flood{10 * time.Millisecond, 100 * micros, 4000 * micros, time.Second, 0}
		unloaded := new(simulatedInstance)
		for at := time.Duration(0); at < 10*time.Second; at += quiet.interval {
			So(unloaded.run(at, coltsfootlink.Surplus, 0.99, quiet), ShouldBeTrue)
		}
		flooded := &simulatedInstance{state: State{reduction: FullAdmission - minAdmitted}}
		for at := time.Duration(0); at < 10*time.Second; at += quiet.interval {
			served := flooded.run(at, coltsfootlink.Surplus, 0.99, quiet)
			So(served || at < 6*time.Second, ShouldBeTrue)
		}
	})
}

func TestStandingsUnderPressure(t *testing.T) {
	cases := map[string]struct {
		admitted         float64
		within, beyond   bool
		withinDraw, draw float64
	}{
		"normal":                      {2, true, true, 0.99, 0.99},
		"slightly short of CPU":       {1.5, true, false, 0.99, 0.6},
		"short of CPU":                {1, true, false, 0.99, 0.01},
		"very short of CPU":           {0.3, false, false, 0.4, 0.01},
		"very short of CPU, low draw": {0.3, true, false, 0.2, 0.01},
	}
	for name, test := range cases {
		Convey("requests beyond shares are refused first: "+name, t, func() {
			state := State{reduction: FullAdmission - test.admitted}
			So(state.Admits(coltsfootlink.Entitled, test.withinDraw), ShouldEqual, test.within)
			So(state.Admits(coltsfootlink.Surplus, test.draw), ShouldEqual, test.beyond)
			So(state.Admits(coltsfootlink.Bearable, test.draw), ShouldEqual, test.beyond)
		})
	}
}

func TestOverloadedInstanceSendsCallersElsewhere(t *testing.T) {
	long, short := time.Second, time.Millisecond
	cases := map[string]struct {
		waits      []time.Duration
		overloaded bool
	}{
		"normal":                       {[]time.Duration{short, short}, false},
		"CPU short briefly":            {[]time.Duration{long, long}, false},
		"CPU short for long":           {slices.Repeat([]time.Duration{long}, 10), true},
		"normal again briefly":         {append(slices.Repeat([]time.Duration{long}, 10), slices.Repeat([]time.Duration{short}, 20)...), true},
		"normal again for long":        {append(slices.Repeat([]time.Duration{long}, 10), slices.Repeat([]time.Duration{short}, 80)...), false},
		"one long wait after recovery": {append(slices.Repeat([]time.Duration{long}, 10), append(slices.Repeat([]time.Duration{short}, 80), long)...), false},
	}
	for name, test := range cases {
		Convey("an instance that refuses most Entitled requests counts as overloaded: "+name, t, func() {
			var state State
			for _, wait := range test.waits {
				state = state.WithWait(wait)
			}
			So(state.Overloaded(), ShouldEqual, test.overloaded)
		})
	}
}
