package move

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var running = coltsfootlink.Move{Pool: "p", From: "v1", To: "v2", Started: 1, State: coltsfootlink.MoveRunning}

// version is how a version behaves on one route.
type version struct {
	failures float64
	millis   float64
	// faultAfter is the number of requests before the failures begin.
	faultAfter int
}

// drive serves requests until the move is complete, faulty, or the requests are used up, and returns the
// largest share that the new version got of a stage's traffic.
func drive(random *rand.Rand, requests int, routes []string, old version, fresh map[string]version) (Rollout, int) {
	var rollout coltsfootlink.Rollout = NewRollout(running)
	toNew := 0
	for count := 0; count < requests && !rollout.Complete() && rollout.Fault() == ""; count++ {
		route := routes[random.IntN(len(routes))]
		chosen := rollout.Prefers()
		rollout = rollout.WithGrant(chosen)
		behaviour := old
		if chosen == running.To {
			behaviour = fresh[route]
			toNew++
		}
		usage := coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Route: route, FirstByteMillis: behaviour.millis * (0.5 + random.ExpFloat64()/2)}
		if random.Float64() < behaviour.failures && (chosen != running.To || toNew > behaviour.faultAfter) {
			usage.Result = coltsfootlink.Failed
		}
		rollout = rollout.WithUsage(chosen, usage).WithGrowth()
	}
	return rollout.(Rollout), toNew
}

func TestMoves(t *testing.T) {
	healthy := version{failures: 0.01, millis: 50}
	cases := map[string]struct {
		routes   []string
		fresh    map[string]version
		complete bool
		fault    string
		// most is the most requests that a bad version may get.
		most int
	}{
		"a good version moves over":        {[]string{"a"}, map[string]version{"a": healthy}, true, "", 0},
		"one that fails is taken back":     {[]string{"a"}, map[string]version{"a": {failures: 0.5, millis: 50}}, false, "requests fail on route a", 20},
		"one that is slow is taken back":   {[]string{"a"}, map[string]version{"a": {failures: 0.01, millis: 500}}, false, "requests are slow on route a", 30},
		"one that fails late":              {[]string{"a"}, map[string]version{"a": {failures: 1, millis: 50, faultAfter: 30}}, false, "requests fail on route a", 40},
		"one that fails on one route only": {[]string{"a", "b"}, map[string]version{"a": healthy, "b": {failures: 1, millis: 50}}, false, "requests fail on route b", 20},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			rollout, toNew := drive(rand.New(rand.NewPCG(1, 1)), 20_000, test.routes, healthy, test.fresh)
			So(rollout.Complete(), ShouldEqual, test.complete)
			So(rollout.Fault(), ShouldEqual, test.fault)
			if test.fault != "" {
				So(toNew, ShouldBeLessThanOrEqualTo, test.most)
				So(rollout.Share(), ShouldEqual, 0)
				So(rollout.Allows("v2"), ShouldBeFalse)
				So(rollout.Allows("v1"), ShouldBeTrue)
			}
		})
	}
}

// TestFalseTakeBacks moves a healthy version over many times; at most one move in a hundred may be taken back.
func TestFalseTakeBacks(t *testing.T) {
	const moves, allowed = 2000, 20
	Convey("healthy noise hardly ever takes a move back", t, func() {
		healthy := version{failures: 0.01, millis: 50}
		taken := 0
		for seed := range uint64(moves) {
			rollout, _ := drive(rand.New(rand.NewPCG(seed, 7)), 5000, []string{"a", "b"}, healthy, map[string]version{"a": healthy, "b": healthy})
			if rollout.Fault() != "" {
				taken++
			}
		}
		So(taken, ShouldBeLessThanOrEqualTo, allowed)
	})
}

func TestShares(t *testing.T) {
	cases := map[string]struct {
		rollout coltsfootlink.Rollout
		share   float64
		old     bool
	}{
		"at the start":      {NewRollout(running), stages[0], true},
		"done":              {NewRollout(running).WithMove(running.WithState(coltsfootlink.MoveDone, "")), 1, false},
		"taken back":        {NewRollout(running).WithMove(running.WithState(coltsfootlink.MoveRolledBack, "")), 0, true},
		"a fault":           {NewRollout(running).WithFault("slow"), 0, true},
		"a fault when done": {NewRollout(running).WithMove(running.WithState(coltsfootlink.MoveDone, "")).WithFault("slow"), 0, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(test.rollout.Share(), ShouldEqual, test.share)
			So(test.rollout.Allows("v1"), ShouldEqual, test.old)
		})
	}
	Convey("a stage's share is never exceeded, and the share does not grow without samples", t, func() {
		var rollout coltsfootlink.Rollout = NewRollout(running)
		fresh := 0
		for count := 1; count <= 1000; count++ {
			chosen := rollout.Prefers()
			rollout = rollout.WithGrant(chosen).WithGrowth()
			if chosen == "v2" {
				fresh++
			}
			So(float64(fresh), ShouldBeLessThanOrEqualTo, stages[0]*float64(count))
		}
		So(fresh, ShouldEqual, 50)
	})
}
