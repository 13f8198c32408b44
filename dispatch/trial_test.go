package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestTrialsGoToOneTarget checks that instances of different zones offer trials of the same parts to one target only.
func TestTrialsGoToOneTarget(t *testing.T) {
	Convey("a trial is offered to one target, the same for all instances and prompts", t, func() {
		for trial := range uint64(20) {
			targets := make(map[coltsfootlink.TargetName]bool)
			for _, zone := range []coltsfootlink.ZoneName{"a", "b"} {
				for key := range uint64(3) {
					task, sender, clock := newTask()
					task.Self.Zone = zone
					reply := make(chan Choice, 1)
					want := newWant(clock, reply)
					want.Trial, want.Work.Prompt[0].Key = trial+1, key
					task.handle(coltsfootlink.Delivery{Message: want})
					asks := sender.takeAsks()
					So(asks, ShouldHaveLength, 1)
					So(asks[0].Trial, ShouldEqual, trial+1)
					targets[asks[0].Target] = true
					task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: coltsfootlink.TrialRunning}})
					So((<-reply).Refusal.Reason, ShouldEqual, coltsfootlink.TrialRunning)
				}
			}
			So(targets, ShouldHaveLength, 1)
		}
	})
}
