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

// splitVersions changes the plan so that half of the engines of each zone have version v2.
func splitVersions(plan *rig.Plan) {
	for index := range plan.Targets {
		if strings.HasPrefix(plan.Targets[index].Name, "engine") && index%2 == 0 {
			plan.Targets[index].Version = "v2"
		}
	}
}

// startedByVersion returns the number of requests that the engines of a version have started.
func startedByVersion(t *testing.T, fleet *rig.Fleet, version string) int {
	t.Helper()
	count := 0
	for _, target := range fleet.Stats(t.Context()) {
		if versionOf(fleet, target.Target) == version {
			count += target.Started
		}
	}
	return count
}

// versionOf returns the version of an engine; empty for other targets.
func versionOf(fleet *rig.Fleet, name string) string {
	for _, target := range fleet.Plan.Targets {
		if target.Name == name && strings.HasPrefix(name, "engine") {
			return target.Version
		}
	}
	return ""
}

// setVersionFault sets the fault of all engines of a version.
func setVersionFault(t *testing.T, fleet *rig.Fleet, version string, fault standin.Fault) {
	t.Helper()
	for _, target := range fleet.Plan.Targets {
		if versionOf(fleet, target.Name) == version {
			So(fleet.SetFault(t.Context(), target.Name, fault), ShouldBeNil)
		}
	}
}

// waitMoveState waits until the pool's version move is in a state, and returns the reason shown for it.
func waitMoveState(t *testing.T, fleet *rig.Fleet, state string) string {
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

// startMoveStatement returns the statement that starts a move of the pool from v1 to v2 with a time limit.
func startMoveStatement(fleet *rig.Fleet, timeLimit time.Duration) string {
	return "start move assistant from v1 to v2 by " + time.Now().Add(timeLimit).UTC().Format(time.RFC3339)
}

// startLoad starts 32 callers of all running instances. The returned function stops them and returns their results.
func startLoad(t *testing.T, fleet *rig.Fleet) func() []rig.Result {
	t.Helper()
	return runCallers(t, 32, func(caller, count int) rig.Result {
		instances := fleet.Running()
		return fleet.Do(t.Context(), layoutCall(instances[caller%len(instances)], fmt.Sprintf("m-%d-%d", caller, count), 10))
	})
}

func TestMoves(t *testing.T) {
	cases := map[string]struct {
		run func(*rig.Fleet)
	}{
		"a working version gets all requests, and the move is done": {func(fleet *rig.Fleet) {
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(waitMoveState(t, fleet, "done"), ShouldContainSubstring, "moved over")
			Convey("a later fault rolls the move back while the old version still runs", func() {
				setVersionFault(t, fleet, "v2", standin.Fault{Fail: 1 << 40})
				So(waitMoveState(t, fleet, "taken-back"), ShouldContainSubstring, "fail on route layout")
			})
		}},
		"the move to a failing version is rolled back, and the old version serves on": {func(fleet *rig.Fleet) {
			setVersionFault(t, fleet, "v2", standin.Fault{Fail: 1 << 40})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(waitMoveState(t, fleet, "taken-back"), ShouldContainSubstring, "fail on route layout")
			before := startedByVersion(t, fleet, "v2")
			oldBefore := startedByVersion(t, fleet, "v1")
			eventually(t, "the old version serves more requests", func() bool { return startedByVersion(t, fleet, "v1") > oldBefore+100 })
			So(startedByVersion(t, fleet, "v2"), ShouldEqual, before)
		}},
		"the move to a slow version is rolled back": {func(fleet *rig.Fleet) {
			setVersionFault(t, fleet, "v2", standin.Fault{SlowFactor: 40})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(waitMoveState(t, fleet, "taken-back"), ShouldContainSubstring, "slow on route layout")
		}},
		"a move whose version is not confirmed as working by its deadline is rolled back": {func(fleet *rig.Fleet) {
			setVersionFault(t, fleet, "v2", standin.Fault{Crash: true, DownMillis: 60_000})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, 2*time.Second))
			So(err, ShouldBeNil)
			So(waitMoveState(t, fleet, "taken-back"), ShouldNotBeEmpty)
		}},
		"operators cannot start a second move, and can end a move only once": {func(fleet *rig.Fleet) {
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Hour))
			So(err, ShouldBeNil)
			_, err = fleet.RunStatement(t.Context(), fleet.Instances[1], startMoveStatement(fleet, time.Hour))
			So(err, ShouldNotBeNil)
			_, err = fleet.RunStatement(t.Context(), fleet.Instances[2], `take back move assistant because "the sawmills ask"`)
			So(err, ShouldBeNil)
			So(waitMoveState(t, fleet, "taken-back"), ShouldEqual, "the sawmills ask")
			_, err = fleet.RunStatement(t.Context(), fleet.Instances[3], "finish move assistant")
			So(err.Error(), ShouldContainSubstring, "already taken-back")
		}},
		"a fault that occurs only under load rolls the move back": {func(fleet *rig.Fleet) {
			setVersionFault(t, fleet, "v2", standin.Fault{FailAbove: 0.6})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Minute))
			So(err, ShouldBeNil)
			So(waitMoveState(t, fleet, "taken-back"), ShouldContainSubstring, "fail on route layout")
		}},
		"an instance that was down during the move gets its end from its peers": {func(fleet *rig.Fleet) {
			absent := fleet.Instances[5]
			So(absent.Kill(), ShouldBeNil)
			setVersionFault(t, fleet, "v2", standin.Fault{Fail: 1 << 40})
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Minute))
			So(err, ShouldBeNil)
			waitMoveState(t, fleet, "taken-back")
			So(fleet.SetOutage(t.Context(), standin.Outage{Down: true}), ShouldBeNil)
			So(absent.Start(), ShouldBeNil)
			So(fleet.WaitReady(t.Context()), ShouldBeNil)
			waitTargetsOwned(t, fleet)
			before := startedByVersion(t, fleet, "v2")
			for count := range 20 {
				So(fleet.Do(t.Context(), layoutCall(absent, fmt.Sprint("absent-", count), 10)).Complete, ShouldBeTrue)
			}
			So(startedByVersion(t, fleet, "v2"), ShouldEqual, before)
		}},
		"a move does not end while the log is down": {func(fleet *rig.Fleet) {
			_, err := fleet.RunStatement(t.Context(), fleet.Instances[0], startMoveStatement(fleet, time.Hour))
			So(err, ShouldBeNil)
			So(fleet.SetOutage(t.Context(), standin.Outage{Down: true}), ShouldBeNil)
			oldBefore := startedByVersion(t, fleet, "v1")
			eventually(t, "many requests are served", func() bool { return startedByVersion(t, fleet, "v1") > oldBefore+2000 })
			answer, err := fleet.RunStatement(t.Context(), fleet.Instances[0], "show moves")
			So(err, ShouldBeNil)
			So(answer.Rows[0][3], ShouldEqual, "running")
			So(fleet.SetOutage(t.Context(), standin.Outage{}), ShouldBeNil)
			waitMoveState(t, fleet, "done")
		}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			fleet := startFleet(t, splitVersions)
			stop := startLoad(t, fleet)
			defer stop()
			test.run(fleet)
		})
	}
}
