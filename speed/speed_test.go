package speed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var start = time.UnixMilli(1_700_000_000_000)

// TestSlowdown guards against averages that miss a target's speed after some seconds, or that follow a moment of slowness or
// a suspension.
func TestSlowdown(t *testing.T) {
	cases := map[string]struct {
		// took is the measured reading time of a prompt for which 50 ms are expected.
		took           func(number int) float64
		least, most    float64
		unevenPromises bool
	}{
		"like the settings":           {func(int) float64 { return 50 }, 0.99, 1.01, false},
		"noise of 5 in 100":           {func(number int) float64 { return 50 + 2.5*float64(number%3-1) }, 0.98, 1.02, false},
		"half speed":                  {func(int) float64 { return 50 / 0.55 }, 1.7, 1.83, true},
		"faster":                      {func(int) float64 { return 50 / 1.2 }, 0.82, 0.86, false},
		"slow for 100 ms of each 600": {func(number int) float64 { return []float64{50, 50, 50, 50, 50, 50, 50, 50, 50, 110}[number%10] }, 1.05, 1.2, false},
		"suspended for ten seconds":   {func(number int) float64 { return []float64{50, 10_000}[number/59] }, 1, 1.2, false},
	}
	for name, test := range cases {
		Convey("after sixty prompts, of three seconds of reading together: "+name, t, func() {
			state := New()
			for number := range 60 {
				took := time.Duration(test.took(number) * float64(time.Millisecond))
				state = state.WithReading(took, 50*time.Millisecond).WithError(took - 50*time.Millisecond)
			}
			So(state.Slowdown(), ShouldBeBetween, test.least, test.most)
			So(state.MarginMillis() > 0, ShouldEqual, test.unevenPromises)
		})
	}
}

// TestAnnouncements guards against weights that change with noise, and against messages for pools of even targets.
func TestAnnouncements(t *testing.T) {
	cases := map[string]struct {
		// speeds are measured each second.
		speeds []float64
		// announced is the speed that was sent last, and messages the number of messages.
		announced float64
		messages  int
	}{
		"even":                   {[]float64{1, 0.95, 1.05, 1.1, 0.9, 0.85, 1.15}, 0, 0},
		"half speed, with noise": {[]float64{0.55, 0.53, 0.57, 0.52, 0.58}, 0.6, 1},
		"half speed, repeated":   {[]float64{0.55, 0.55, 0.55, 0.55, 0.55, 0.55, 0.55}, 0.6, 2},
		"turns slower":           {[]float64{1, 0.7, 0.6, 0.5}, 0.5, 3},
		"at the threshold":       {[]float64{0.79, 0.81, 0.79, 0.81}, 0.8, 1},
		"like the others again":  {[]float64{0.5, 1, 1, 1}, 1, 2},
	}
	for name, test := range cases {
		Convey("speeds are announced in steps, when they change and every five seconds: "+name, t, func() {
			var announcer Announcer
			announced, messages := 0.0, 0
			for second, measured := range test.speeds {
				for _, offset := range []time.Duration{0, 200 * time.Millisecond} {
					now := start.Add(time.Duration(second)*time.Second + offset)
					var speeds []coltsfootlink.TargetSpeed
					announcer, speeds, _ = announcer.With(now, []Measured{{Target: "t", Incarnation: 3, Speed: measured}, {Target: "u", Speed: 1}})
					if len(speeds) > 0 {
						So(speeds, ShouldHaveLength, 1)
						So(speeds[0].Incarnation, ShouldEqual, 3)
						announced, messages = speeds[0].Speed, messages+1
					}
				}
			}
			So(announced, ShouldAlmostEqual, test.announced)
			So(messages, ShouldEqual, test.messages)
		})
	}
	Convey("a speed that is withdrawn is repeated and then no more sent", t, func() {
		announcer, _, _ := Announcer{}.With(start, []Measured{{Target: "t", Speed: 0.5}})
		messages := 0
		for second := 1; second < 60; second++ {
			var speeds []coltsfootlink.TargetSpeed
			announcer, speeds, _ = announcer.With(start.Add(time.Duration(second)*time.Second), []Measured{{Target: "t", Speed: 1}})
			messages += len(speeds)
		}
		So(messages, ShouldEqual, 3)
	})
	Convey("a target's speed is known after ten measurements", t, func() {
		state := New()
		for number := range 10 {
			_, known := state.Measured(coltsfootlink.Target{})
			So(known, ShouldBeFalse)
			So(number, ShouldBeLessThan, minSamples)
			state = state.WithReading(90*time.Millisecond, 50*time.Millisecond)
		}
		_, known := state.Measured(coltsfootlink.Target{})
		So(known, ShouldBeTrue)
	})
}

// TestMedians guards against comparisons with the settings where all targets of a pool are slow, and against outdated speeds.
func TestMedians(t *testing.T) {
	targets := make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	for _, name := range []coltsfootlink.TargetName{"a", "b", "c"} {
		targets[name] = coltsfootlink.Target{Name: name, Pool: "p", Incarnation: 1}
	}
	cases := map[string]struct {
		speeds []coltsfootlink.TargetSpeed
		after  time.Duration
		median float64
	}{
		"none announced":        {nil, 0, 0},
		"one slow":              {[]coltsfootlink.TargetSpeed{{Target: "a", Incarnation: 1, Speed: 0.5}}, 0, 1},
		"two slow":              {[]coltsfootlink.TargetSpeed{{Target: "a", Incarnation: 1, Speed: 0.5}, {Target: "b", Incarnation: 1, Speed: 0.6}}, 0, 0.6},
		"not repeated":          {[]coltsfootlink.TargetSpeed{{Target: "a", Incarnation: 1, Speed: 0.5}}, 15 * time.Second, 0},
		"of earlier lives":      {[]coltsfootlink.TargetSpeed{{Target: "a", Speed: 0.5}}, 0, 0},
		"of a withdrawn target": {[]coltsfootlink.TargetSpeed{{Target: "x", Incarnation: 1, Speed: 0.5}}, 0, 0},
	}
	for name, test := range cases {
		Convey("the median of a pool counts targets without an announced speed as 1: "+name, t, func() {
			board := Board{}.WithSpeeds(start, test.speeds)
			So(board.Medians(start.Add(test.after), targets)["p"], ShouldEqual, test.median)
		})
	}
}
