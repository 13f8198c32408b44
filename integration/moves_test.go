package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

// versions gives half of the engines of each zone to a second version.
func versions(plan *rig.Plan) {
	for index := range plan.Targets {
		if strings.HasPrefix(plan.Targets[index].Name, "engine") && index%2 == 0 {
			plan.Targets[index].Version = "v2"
		}
	}
}

// ofVersion returns the requests that the engines of a version have started.
func ofVersion(t *testing.T, fleet *rig.Fleet, version string) int {
	t.Helper()
	count := 0
	for _, target := range fleet.Stats(t.Context()) {
		if versionOf(fleet, target.Target) == version {
			count += target.Started
		}
	}
	return count
}

func versionOf(fleet *rig.Fleet, name string) string {
	for _, target := range fleet.Plan.Targets {
		if target.Name == name && strings.HasPrefix(name, "engine") {
			return target.Version
		}
	}
	return ""
}

// faultVersion makes the engines of a version misbehave.
func faultVersion(t *testing.T, fleet *rig.Fleet, version string, fault standin.Fault) {
	t.Helper()
	for _, target := range fleet.Plan.Targets {
		if versionOf(fleet, target.Name) == version {
			So(fleet.SetFault(t.Context(), target.Name, fault), ShouldBeNil)
		}
	}
}

// untilState waits until the pool's move is in a state and returns its reason.
func untilState(t *testing.T, fleet *rig.Fleet, state string) string {
	t.Helper()
	reason := ""
	eventually(t, "the move is "+state, func() bool {
		answer, err := fleet.RunStatement(t.Context(), fleet.Running()[0], "show moves")
		if err != nil || len(answer.Rows) == 0 {
			return false
		}
		reason = answer.Rows[0][5]
		return answer.Rows[0][3] == state
	})
	return reason
}

func startMove(fleet *rig.Fleet, span time.Duration) string {
	return "start move assistant from v1 to v2 by " + time.Now().Add(span).UTC().Format(time.RFC3339)
}

// underLoad keeps callers busy; stop returns when they have ended.
func underLoad(t *testing.T, fleet *rig.Fleet) func() []rig.Result {
	t.Helper()
	return inBackground(t, 32, func(caller, count int) rig.Result {
		instances := fleet.Running()
		return fleet.Do(t.Context(), layout(instances[caller%len(instances)], fmt.Sprintf("m-%d-%d", caller, count), 10))
	})
}

func TestMoves(t *testing.T) {
	cases := map[string]struct {
		run func(*rig.Fleet)
	}{
		"a good version moves over, and is done": {func(fleet *rig.Fleet) {
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(untilState(t, fleet, "done"), ShouldContainSubstring, "moved over")
			Convey("a late fault takes it back while the old version is there", func() {
				faultVersion(t, fleet, "v2", standin.Fault{Fail: 1 << 40})
				So(untilState(t, fleet, "taken-back"), ShouldContainSubstring, "fail on route layout")
			})
		}},
		"a bad version gets little and is taken back": {func(fleet *rig.Fleet) {
			faultVersion(t, fleet, "v2", standin.Fault{Fail: 1 << 40})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(untilState(t, fleet, "taken-back"), ShouldContainSubstring, "fail on route layout")
			before := ofVersion(t, fleet, "v2")
			old := ofVersion(t, fleet, "v1")
			eventually(t, "the old version serves on", func() bool { return ofVersion(t, fleet, "v1") > old+100 })
			So(ofVersion(t, fleet, "v2"), ShouldEqual, before)
		}},
		"a slow version is taken back": {func(fleet *rig.Fleet) {
			faultVersion(t, fleet, "v2", standin.Fault{SlowFactor: 40})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(untilState(t, fleet, "taken-back"), ShouldContainSubstring, "slow on route layout")
		}},
		"a move that is not shown to be good by its time is taken back": {func(fleet *rig.Fleet) {
			faultVersion(t, fleet, "v2", standin.Fault{Crash: true, DownMillis: 60_000})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, 2*time.Second))
			So(err, ShouldBeNil)
			So(untilState(t, fleet, "taken-back"), ShouldNotBeEmpty)
		}},
		"operators end it by hand, and only once": {func(fleet *rig.Fleet) {
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Hour))
			So(err, ShouldBeNil)
			_, err = fleet.RunStatement(t.Context(), fleet.Instances[1], startMove(fleet, time.Hour))
			So(err, ShouldNotBeNil)
			_, err = fleet.RunStatement(t.Context(), fleet.Instances[2], `take back move assistant because "the sawmills ask"`)
			So(err, ShouldBeNil)
			So(untilState(t, fleet, "taken-back"), ShouldEqual, "the sawmills ask")
			_, err = fleet.RunStatement(t.Context(), fleet.Instances[3], "finish move assistant")
			So(err.Error(), ShouldContainSubstring, "already taken-back")
		}},
		"a fault that shows only under load takes it back": {func(fleet *rig.Fleet) {
			faultVersion(t, fleet, "v2", standin.Fault{FailAbove: 0.6})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(untilState(t, fleet, "taken-back"), ShouldContainSubstring, "fail on route layout")
		}},
		"an instance that missed it all follows its peers": {func(fleet *rig.Fleet) {
			absent := fleet.Instances[5]
			So(absent.Kill(), ShouldBeNil)
			faultVersion(t, fleet, "v2", standin.Fault{Fail: 1 << 40})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Minute))
			So(err, ShouldBeNil)
			untilState(t, fleet, "taken-back")
			So(fleet.SetOutage(t.Context(), standin.Outage{Down: true}), ShouldBeNil)
			So(absent.Start(), ShouldBeNil)
			So(fleet.WaitReady(t.Context()), ShouldBeNil)
			settleSurvivors(t, fleet)
			before := ofVersion(t, fleet, "v2")
			for count := range 20 {
				So(fleet.Do(t.Context(), layout(absent, fmt.Sprint("absent-", count), 10)).Complete, ShouldBeTrue)
			}
			So(ofVersion(t, fleet, "v2"), ShouldEqual, before)
		}},
		"while the log is down it does not grow": {func(fleet *rig.Fleet) {
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMove(fleet, time.Hour))
			So(err, ShouldBeNil)
			So(fleet.SetOutage(t.Context(), standin.Outage{Down: true}), ShouldBeNil)
			old := ofVersion(t, fleet, "v1")
			eventually(t, "many requests are served", func() bool { return ofVersion(t, fleet, "v1") > old+2000 })
			answer, err := fleet.RunStatement(t.Context(), fleet.Instances[0], "show moves")
			So(err, ShouldBeNil)
			So(answer.Rows[0][3], ShouldEqual, "running")
			So(fleet.SetOutage(t.Context(), standin.Outage{}), ShouldBeNil)
			untilState(t, fleet, "done")
		}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			fleet := startFleet(t, versions)
			stop := underLoad(t, fleet)
			defer stop()
			test.run(fleet)
		})
	}
}
