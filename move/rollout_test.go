package move

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var runningMove = coltsfootlink.Move{Pool: "p", From: "v1", To: "v2", Started: 1, State: coltsfootlink.MoveRunning}

// versionBehaviour describes the answers of a version on one route: failure rate and mean time to the first byte.
type versionBehaviour struct {
	failures float64
	millis   float64
	// faultAfter is the number of requests on the new version before the failures begin.
	faultAfter int
}

// simulateRollout serves requests until the rollout is complete, has found a fault, or the requests are used up. It returns
// the rollout and the number of requests on the new version.
func simulateRollout(random *rand.Rand, requests int, routes []string, old versionBehaviour, newByRoute map[string]versionBehaviour) (Rollout, int) {
	var rollout coltsfootlink.Rollout = NewRollout(runningMove)
	toNew := 0
	for count := 0; count < requests && !rollout.Complete() && rollout.Fault() == ""; count++ {
		route := routes[random.IntN(len(routes))]
		chosen := rollout.Prefers()
		rollout = rollout.WithGrant(chosen)
		behaviour := old
		if chosen == runningMove.To {
			behaviour = newByRoute[route]
			toNew++
		}
		usage := coltsfootlink.Usage{Result: coltsfootlink.Succeeded, Route: route, FirstByteMillis: behaviour.millis * (0.5 + random.ExpFloat64()/2)}
		if random.Float64() < behaviour.failures && (chosen != runningMove.To || toNew > behaviour.faultAfter) {
			usage.Result = coltsfootlink.Failed
		}
		rollout = rollout.WithUsage(chosen, usage).WithGrowth()
	}
	return rollout.(Rollout), toNew
}

func TestRolloutOutcome(t *testing.T) {
	healthy := versionBehaviour{failures: 0.01, millis: 50}
	cases := map[string]struct {
		routes     []string
		newByRoute map[string]versionBehaviour
		complete   bool
		fault      string
		// maxNew is the maximum number of requests that a bad version may get.
		maxNew int
	}{
		"a healthy version gets all traffic":               {[]string{"a"}, map[string]versionBehaviour{"a": healthy}, true, "", 0},
		"a failing version is rolled back":                 {[]string{"a"}, map[string]versionBehaviour{"a": {failures: 0.5, millis: 50}}, false, "requests fail on route a", 20},
		"a slow version is rolled back":                    {[]string{"a"}, map[string]versionBehaviour{"a": {failures: 0.01, millis: 500}}, false, "requests are slow on route a", 30},
		"a version that fails later is rolled back":        {[]string{"a"}, map[string]versionBehaviour{"a": {failures: 1, millis: 50, faultAfter: 30}}, false, "requests fail on route a", 40},
		"a version that fails on one route is rolled back": {[]string{"a", "b"}, map[string]versionBehaviour{"a": healthy, "b": {failures: 1, millis: 50}}, false, "requests fail on route b", 20},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			rollout, toNew := simulateRollout(rand.New(rand.NewPCG(1, 1)), 20_000, test.routes, healthy, test.newByRoute)
			So(rollout.Complete(), ShouldEqual, test.complete)
			So(rollout.Fault(), ShouldEqual, test.fault)
			if test.fault != "" {
				So(toNew, ShouldBeLessThanOrEqualTo, test.maxNew)
				So(rollout.Share(), ShouldEqual, 0)
				So(rollout.Allows("v2"), ShouldBeFalse)
				So(rollout.Allows("v1"), ShouldBeTrue)
			}
		})
	}
}

// TestFalseRollbacks guards against false alarms of the statistical tests: of 2000 moves to a healthy version, at most one
// in a hundred may be rolled back.
func TestFalseRollbacks(t *testing.T) {
	const moves, allowed = 2000, 20
	Convey("at most 1 % of the moves to a healthy version are rolled back", t, func() {
		healthy := versionBehaviour{failures: 0.01, millis: 50}
		rolledBack := 0
		for seed := range uint64(moves) {
			rollout, _ := simulateRollout(rand.New(rand.NewPCG(seed, 7)), 5000, []string{"a", "b"}, healthy, map[string]versionBehaviour{"a": healthy, "b": healthy})
			if rollout.Fault() != "" {
				rolledBack++
			}
		}
		So(rolledBack, ShouldBeLessThanOrEqualTo, allowed)
	})
}

func TestRolloutShare(t *testing.T) {
	cases := map[string]struct {
		rollout   coltsfootlink.Rollout
		share     float64
		allowsOld bool
		// allowsOther tells of a version that is neither the old nor the new one.
		allowsOther bool
	}{
		"first stage":                {NewRollout(runningMove), stages[0], true, true},
		"move done":                  {NewRollout(runningMove).WithMove(runningMove.WithState(coltsfootlink.MoveDone, "")), 1, false, true},
		"move rolled back":           {NewRollout(runningMove).WithMove(runningMove.WithState(coltsfootlink.MoveRolledBack, "")), 0, true, true},
		"fault found":                {NewRollout(runningMove).WithFault("slow"), 0, true, true},
		"fault found, and move done": {NewRollout(runningMove).WithMove(runningMove.WithState(coltsfootlink.MoveDone, "")).WithFault("slow"), 0, true, true},
		"other versions rejected":    {NewRollout(runningMove.WithVersions(nil, []coltsfootlink.Version{"v0"})), stages[0], true, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(test.rollout.Share(), ShouldEqual, test.share)
			So(test.rollout.Allows("v1"), ShouldEqual, test.allowsOld)
			So(test.rollout.Allows("v0"), ShouldEqual, test.allowsOther)
		})
	}
	Convey("the share of the first stage is never exceeded, and does not grow without results of requests", t, func() {
		var rollout coltsfootlink.Rollout = NewRollout(runningMove)
		grantedNew := 0
		for count := 1; count <= 1000; count++ {
			chosen := rollout.Prefers()
			rollout = rollout.WithGrant(chosen).WithGrowth()
			if chosen == "v2" {
				grantedNew++
			}
			So(float64(grantedNew), ShouldBeLessThanOrEqualTo, stages[0]*float64(count))
		}
		So(grantedNew, ShouldEqual, 50)
	})
}
