package pressure

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// instance is a processor that runs what is ready in its order.
type instance struct {
	state State
	// freeAt is when the processor has run what is ready.
	freeAt time.Duration
	wait   time.Duration
	lookAt time.Duration
}

// run takes or refuses a request that comes at a time; false if it was refused, or given up by its caller.
func (instance *instance) run(at time.Duration, standing coltsfootlink.Standing, draw float64, flood flood) bool {
	for instance.lookAt <= at {
		instance.state = instance.state.WithWait(instance.wait)
		instance.lookAt += lookInterval
		instance.wait = 0
	}
	instance.freeAt = max(instance.freeAt, at)
	instance.wait = max(instance.wait, instance.freeAt-at)
	instance.freeAt += flood.refuse
	if !instance.state.Takes(standing, draw) {
		return false
	}
	instance.freeAt += flood.serve
	return instance.freeAt-at < flood.patience
}

// flood is how requests come and what they cost.
type flood struct {
	pause, refuse, serve, patience time.Duration
	// entitled is the part of the requests that lies within its team's share.
	entitled float64
}

func TestFloodedInstanceStillServes(t *testing.T) {
	micros := time.Microsecond
	cases := map[string]flood{
		"twice what it can":                     {2000 * micros, 100 * micros, 4000 * micros, time.Second, 0.5},
		"ten times":                             {400 * micros, 100 * micros, 4000 * micros, time.Second, 0.1},
		"thirty times, refusals take a quarter": {400 * micros, 100 * micros, 12000 * micros, time.Second, 0.1},
		"ten times, with little patience":       {400 * micros, 100 * micros, 4000 * micros, 250 * time.Millisecond, 0.1},
		"ten times, and all within shares":      {400 * micros, 100 * micros, 4000 * micros, time.Second, 1},
	}
	for name, test := range cases {
		Convey("an instance that gets more than it can serve serves what it can: "+name, t, func() {
			draws := rand.New(rand.NewPCG(1, 2))
			flooded := new(instance)
			served, within := 0, 0
			for at := time.Duration(0); at < 20*time.Second; at += test.pause {
				standing := coltsfootlink.Surplus
				if draws.Float64() < test.entitled {
					standing = coltsfootlink.Entitled
				}
				if flooded.run(at, standing, draws.Float64(), test) {
					served++
					if standing == coltsfootlink.Entitled {
						within++
					}
				}
			}
			// What is left of the processor when each request has been refused could serve so many.
			left := 20*time.Second - 20*time.Second/test.pause*test.refuse
			most := float64(left / test.serve)
			So(float64(served), ShouldBeGreaterThan, 0.6*most)
			So(float64(within), ShouldBeGreaterThan, 0.6*min(most, test.entitled*float64(20*time.Second/test.pause)))
		})
	}
	Convey("an instance that can serve all serves all, and again after a flood", t, func() {
		quiet := flood{10 * time.Millisecond, 100 * micros, 4000 * micros, time.Second, 0}
		calm := new(instance)
		for at := time.Duration(0); at < 10*time.Second; at += quiet.pause {
			So(calm.run(at, coltsfootlink.Surplus, 0.99, quiet), ShouldBeTrue)
		}
		flooded := &instance{state: State{refused: All - least}}
		for at := time.Duration(0); at < 10*time.Second; at += quiet.pause {
			served := flooded.run(at, coltsfootlink.Surplus, 0.99, quiet)
			So(served || at < 6*time.Second, ShouldBeTrue)
		}
	})
}

func TestStandingsUnderPressure(t *testing.T) {
	cases := map[string]struct {
		taken            float64
		within, beyond   bool
		withinDraw, draw float64
	}{
		"calm":              {2, true, true, 0.99, 0.99},
		"a little behind":   {1.5, true, false, 0.99, 0.6},
		"behind":            {1, true, false, 0.99, 0.01},
		"far behind":        {0.3, false, false, 0.4, 0.01},
		"far behind, lucky": {0.3, true, false, 0.2, 0.01},
	}
	for name, test := range cases {
		Convey("what lies beyond shares is refused first: "+name, t, func() {
			state := State{refused: All - test.taken}
			So(state.Takes(coltsfootlink.Entitled, test.withinDraw), ShouldEqual, test.within)
			So(state.Takes(coltsfootlink.Surplus, test.draw), ShouldEqual, test.beyond)
			So(state.Takes(coltsfootlink.Bearable, test.draw), ShouldEqual, test.beyond)
		})
	}
}

func TestOverloadedInstanceSendsCallersElsewhere(t *testing.T) {
	long, short := time.Second, time.Millisecond
	cases := map[string]struct {
		waits      []time.Duration
		overloaded bool
	}{
		"calm":                              {[]time.Duration{short, short}, false},
		"behind for a moment":               {[]time.Duration{long, long}, false},
		"behind for long":                   {slices.Repeat([]time.Duration{long}, 10), true},
		"calm again for a moment":           {append(slices.Repeat([]time.Duration{long}, 10), slices.Repeat([]time.Duration{short}, 20)...), true},
		"calm again for long":               {append(slices.Repeat([]time.Duration{long}, 10), slices.Repeat([]time.Duration{short}, 80)...), false},
		"behind once more, but not so much": {append(slices.Repeat([]time.Duration{long}, 10), append(slices.Repeat([]time.Duration{short}, 80), long)...), false},
	}
	for name, test := range cases {
		Convey("an instance that refuses most within shares is not ready for more callers: "+name, t, func() {
			var state State
			for _, wait := range test.waits {
				state = state.WithWait(wait)
			}
			So(state.Overloaded(), ShouldEqual, test.overloaded)
		})
	}
}
