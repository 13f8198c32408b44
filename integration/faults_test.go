package integration

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

// TestInstanceFaults keeps a load on the fleet while an instance fails. No answer may contain lines of another request
// or end as complete when it is truncated, and no target may get more requests than its capacity.
func TestInstanceFaults(t *testing.T) {
	cases := map[string]struct {
		fault func(*rig.Fleet, *rig.Instance) error
		// mayFail indicates that calls need not get a complete answer, since the instance loses those in flight on it.
		mayFail bool
	}{
		"killed":               {func(_ *rig.Fleet, instance *rig.Instance) error { return instance.Kill() }, true},
		"shut down gracefully": {func(_ *rig.Fleet, instance *rig.Instance) error { return instance.Stop(time.Now().Add(waitTimeout)) }, false},
		"suspended for longer than the heartbeat timeout": {func(_ *rig.Fleet, instance *rig.Instance) error {
			if err := instance.Suspend(); err != nil {
				return err
			}
			time.Sleep(3 * time.Second)
			return instance.Resume()
		}, false},
		"killed and restarted without its state": {func(fleet *rig.Fleet, instance *rig.Instance) error {
			if err := instance.Kill(); err != nil {
				return err
			}
			return instance.Start()
		}, true},
	}
	for name, test := range cases {
		Convey("an instance is "+name, t, func() {
			fleet := startFleet(t)
			ctx := t.Context()
			victim := fleet.Instances[0]
			stop := runCallers(t, 12, func(caller, count int) rig.Result {
				instances := fleet.Running()
				result := fleet.Do(ctx, layoutCall(instances[caller%len(instances)], fmt.Sprintf("s-%d-%d", caller, count), 40))
				if !test.mayFail && !result.Complete {
					t.Errorf("caller %d: %+v", caller, result)
				}
				return result
			})
			time.Sleep(300 * time.Millisecond)
			So(test.fault(fleet, victim), ShouldBeNil)
			waitTargetsOwned(t, fleet)
			time.Sleep(500 * time.Millisecond)
			for _, result := range stop() {
				So(result.Crossed, ShouldBeFalse)
				So(result.Ended && result.Status == 200 && !result.Complete, ShouldBeFalse)
			}
			So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
			So(fleet.Do(ctx, layoutCall(fleet.Running()[0], "after", 20)).Complete, ShouldBeTrue)
		})
	}
}

// waitTargetsOwned waits until every target is owned by a running instance.
func waitTargetsOwned(t *testing.T, fleet *rig.Fleet) {
	t.Helper()
	eventually(t, "running instances own all targets", func() bool {
		owned := make(map[string]bool)
		answer, err := fleet.RunStatement(t.Context(), fleet.Running()[0], "show targets where state = live")
		if err != nil {
			return false
		}
		for _, cells := range answer.Rows {
			owned[cells[0]] = true
		}
		return len(owned) == len(fleet.Plan.Targets)
	})
}

func TestZonePartition(t *testing.T) {
	modes := map[string]rig.Mode{"connections are closed": rig.Close, "connections hang": rig.Hold}
	for name, mode := range modes {
		Convey("all zones serve while one is partitioned from the others and the platform: "+name, t, func() {
			fleet := startFleet(t)
			ctx := t.Context()
			fleet.SetZone("a", mode)
			for _, zone := range zones {
				instance := fleet.InZone(zone)[0]
				eventually(t, "zone "+zone+" serves", func() bool {
					call := layoutCall(instance, "cut-"+zone, 10)
					call.Deadline = time.Now().Add(2 * time.Second)
					return fleet.Do(ctx, call).Complete
				})
			}
			So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
			fleet.SetZone("a", rig.Pass)
			waitSettled(t, fleet)
			So(fleet.Do(ctx, layoutCall(fleet.InZone("a")[0], "healed", 10)).Complete, ShouldBeTrue)
			So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
		})
	}
}

func TestTargetRestartAndDrain(t *testing.T) {
	Convey("targets that crash and restart get no more requests than their cold capacity", t, func() {
		fleet := startFleet(t)
		ctx := t.Context()
		stop := runCallers(t, 30, func(caller, count int) rig.Result {
			instances := fleet.Running()
			return fleet.Do(ctx, layoutCall(instances[caller%len(instances)], fmt.Sprintf("s-%d-%d", caller, count), 60))
		})
		for _, target := range []string{"engine-a-1", "engine-b-2", "engine-c-3"} {
			time.Sleep(400 * time.Millisecond)
			So(fleet.SetFault(ctx, target, standin.Fault{Crash: true, DownMillis: 50}), ShouldBeNil)
		}
		time.Sleep(time.Second)
		for _, result := range stop() {
			So(result.Crossed, ShouldBeFalse)
			So(result.Ended && result.Status == 200 && !result.Complete, ShouldBeFalse)
		}
		So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("targets that are listed as leaving get no new requests", t, func() {
		fleet := startFleet(t)
		ctx := t.Context()
		So(fleet.ChangeList(ctx, standin.ListChange{Leaving: []string{"engine-a-1", "engine-a-2", "engine-a-3", "engine-a-4"}}), ShouldBeNil)
		eventually(t, "the owners show the targets as leaving", func() bool {
			answer, err := fleet.RunStatement(ctx, fleet.Instances[0], "show targets where state = leaving")
			return err == nil && len(answer.Rows) == 4
		})
		before := startedInZone(ctx, fleet, "a")
		for count := range 20 {
			So(fleet.Do(ctx, layoutCall(fleet.InZone("a")[0], fmt.Sprint("leaving-", count), 10)).Complete, ShouldBeTrue)
		}
		So(startedInZone(ctx, fleet, "a"), ShouldEqual, before)
	})
}

func TestFlood(t *testing.T) {
	Convey("requests of a flooding team beyond its queue are refused, and the other team is still served", t, func() {
		fleet := startFleet(t, func(plan *rig.Plan) { plan.Instances, plan.Targets = 3, planTargets(1, 1) })
		ctx := t.Context()
		stop := runCallers(t, 100, func(caller, count int) rig.Result {
			return fleet.Do(ctx, layoutCall(fleet.Instances[0], fmt.Sprintf("flood-%d-%d", caller, count), 80))
		})
		time.Sleep(500 * time.Millisecond)
		for count := range 5 {
			call := layoutCall(fleet.Instances[0], fmt.Sprint("small-", count), 20)
			call.Token, call.Work.Team = "sawmills", "sawmills"
			So(fleet.Do(ctx, call).Complete, ShouldBeTrue)
		}
		refused := 0
		for _, result := range stop() {
			if result.Reason == coltsfootlink.QueueFull {
				So(result.Outcome, ShouldEqual, coltsfootlink.NotRun)
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, 0)
	})
}
