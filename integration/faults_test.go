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

// TestInstanceFaults keeps a load on the fleet while one instance misbehaves.
func TestInstanceFaults(t *testing.T) {
	cases := map[string]struct {
		fault func(*rig.Fleet, *rig.Instance) error
		// cuts says that requests on the instance itself may be cut.
		cuts bool
	}{
		"killed":  {func(_ *rig.Fleet, instance *rig.Instance) error { return instance.Kill() }, true},
		"stopped": {func(_ *rig.Fleet, instance *rig.Instance) error { return instance.Stop(time.Now().Add(patience)) }, false},
		"frozen for longer than the silence limit": {func(_ *rig.Fleet, instance *rig.Instance) error {
			if err := instance.Freeze(); err != nil {
				return err
			}
			time.Sleep(3 * time.Second)
			return instance.Thaw()
		}, false},
		"killed and restarted empty": {func(fleet *rig.Fleet, instance *rig.Instance) error {
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
			stop := inBackground(t, 12, func(caller, count int) rig.Result {
				instances := fleet.Running()
				result := fleet.Do(ctx, layout(instances[caller%len(instances)], fmt.Sprintf("s-%d-%d", caller, count), 40))
				if !test.cuts && !result.Whole {
					t.Errorf("caller %d: %+v", caller, result)
				}
				return result
			})
			time.Sleep(300 * time.Millisecond)
			So(test.fault(fleet, victim), ShouldBeNil)
			settleSurvivors(t, fleet)
			time.Sleep(500 * time.Millisecond)
			for _, result := range stop() {
				So(result.Crossed, ShouldBeFalse)
				So(result.Ended && result.Status == 200 && !result.Whole, ShouldBeFalse)
			}
			So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
			So(fleet.Do(ctx, layout(fleet.Running()[0], "after", 20)).Whole, ShouldBeTrue)
		})
	}
}

// settleSurvivors waits until every target is owned by an instance that runs.
func settleSurvivors(t *testing.T, fleet *rig.Fleet) {
	t.Helper()
	eventually(t, "the survivors own all targets", func() bool {
		owned := make(map[string]bool)
		answer, err := fleet.Operate(t.Context(), fleet.Running()[0], "show targets where state = live")
		if err != nil {
			return false
		}
		for _, cells := range answer.Rows {
			owned[cells[0]] = true
		}
		return len(owned) == len(fleet.Plan.Targets)
	})
}

func TestZoneCutOff(t *testing.T) {
	modes := map[string]rig.Mode{"connections are refused": rig.Cut, "connections hang": rig.Hold}
	for name, mode := range modes {
		Convey("a zone is cut off from the others and the platform: "+name, t, func() {
			fleet := startFleet(t)
			ctx := t.Context()
			fleet.SetZone("a", mode)
			for _, zone := range zones {
				instance := fleet.InZone(zone)[0]
				eventually(t, "zone "+zone+" serves", func() bool {
					call := layout(instance, "cut-"+zone, 10)
					call.Deadline = time.Now().Add(2 * time.Second)
					return fleet.Do(ctx, call).Whole
				})
			}
			So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
			fleet.SetZone("a", rig.Pass)
			settle(t, fleet)
			So(fleet.Do(ctx, layout(fleet.InZone("a")[0], "healed", 10)).Whole, ShouldBeTrue)
			So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
		})
	}
}

func TestTargetFaults(t *testing.T) {
	Convey("a target that restarts without warning gets no more than a cold one bears", t, func() {
		fleet := startFleet(t)
		ctx := t.Context()
		stop := inBackground(t, 30, func(caller, count int) rig.Result {
			instances := fleet.Running()
			return fleet.Do(ctx, layout(instances[caller%len(instances)], fmt.Sprintf("s-%d-%d", caller, count), 60))
		})
		for _, target := range []string{"engine-a-1", "engine-b-2", "engine-c-3"} {
			time.Sleep(400 * time.Millisecond)
			So(fleet.Fault(ctx, target, standin.Fault{Crash: true, DownMillis: 50}), ShouldBeNil)
		}
		time.Sleep(time.Second)
		for _, result := range stop() {
			So(result.Crossed, ShouldBeFalse)
			So(result.Ended && result.Status == 200 && !result.Whole, ShouldBeFalse)
		}
		So(overAdmission(ctx, fleet), ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("a leaving target finishes its work and gets no new work", t, func() {
		fleet := startFleet(t)
		ctx := t.Context()
		So(fleet.ChangeList(ctx, standin.ListChange{Leaving: []string{"engine-a-1", "engine-a-2", "engine-a-3", "engine-a-4"}}), ShouldBeNil)
		eventually(t, "the owner knows", func() bool {
			answer, err := fleet.Operate(ctx, fleet.Instances[0], "show targets where state = leaving")
			return err == nil && len(answer.Rows) == 4
		})
		before := started(ctx, fleet, "a")
		for count := range 20 {
			So(fleet.Do(ctx, layout(fleet.InZone("a")[0], fmt.Sprint("leaving-", count), 10)).Whole, ShouldBeTrue)
		}
		So(started(ctx, fleet, "a"), ShouldEqual, before)
	})
}

func TestFlood(t *testing.T) {
	Convey("one team's flood is refused early and the other team does not notice", t, func() {
		fleet := startFleet(t, func(plan *rig.Plan) { plan.Instances, plan.Targets = 3, targets(1, 1) })
		ctx := t.Context()
		stop := inBackground(t, 100, func(caller, count int) rig.Result {
			return fleet.Do(ctx, layout(fleet.Instances[0], fmt.Sprintf("flood-%d-%d", caller, count), 80))
		})
		time.Sleep(500 * time.Millisecond)
		for count := range 5 {
			call := layout(fleet.Instances[0], fmt.Sprint("small-", count), 20)
			call.Token, call.Work.Team = "sawmills", "sawmills"
			So(fleet.Do(ctx, call).Whole, ShouldBeTrue)
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
