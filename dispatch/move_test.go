package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestMoving holds for where requests go while their pool moves to version v2.
func TestMoving(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 9, State: coltsfootlink.MoveRunning}
	word := func(share float64, state coltsfootlink.MoveState) *coltsfootlink.MoveWord {
		return &coltsfootlink.MoveWord{Move: order.WithState(state, ""), Share: share}
	}
	older := *word(1, coltsfootlink.MoveDone)
	older.Move.Started = 8
	both := []coltsfootlink.Version{"v1", "v2"}
	cases := map[string]struct {
		word     *coltsfootlink.MoveWord
		later    time.Duration
		versions []coltsfootlink.Version
		// v1 and v2 say whether requests go to these versions.
		v1, v2 bool
	}{
		"nothing is known yet":                      {nil, 0, both, true, false},
		"a word on an older move":                   {&older, 0, both, true, false},
		"half has moved":                            {word(0.5, coltsfootlink.MoveRunning), 0, both, true, true},
		"the coordinator fell silent":               {word(0.5, coltsfootlink.MoveRunning), moveWordSpan + time.Second, both, true, false},
		"all has moved":                             {word(1, coltsfootlink.MoveRunning), 0, both, false, true},
		"done":                                      {word(1, coltsfootlink.MoveDone), time.Hour, both, false, true},
		"taken back":                                {word(0, coltsfootlink.MoveRolledBack), time.Hour, both, true, false},
		"the new version has not started":           {word(0.5, coltsfootlink.MoveRunning), 0, both[:1], true, false},
		"the old version is gone, nothing is known": {nil, 0, both[1:], false, true},
		"taken back, and only the new one is left":  {word(0, coltsfootlink.MoveRolledBack), 0, both[1:], false, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, kept, clock := newTask()
			catalog := coltsfootlink.Catalog{}.WithMove(order)
			for _, version := range test.versions {
				for number := range 2 {
					target := targetIn(coltsfootlink.TargetName(fmt.Sprint(version, "-", number)), "a")
					target.Version = version
					catalog = catalog.WithTarget(target)
				}
			}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
			if test.word != nil {
				task.handle(coltsfootlink.Delivery{Message: *test.word})
			}
			clock.now = clock.now.Add(test.later)
			asked := make(map[coltsfootlink.Version]bool)
			for number := range 40 {
				question := want(clock, make(chan Choice, 1))
				question.ID = coltsfootlink.RequestID(fmt.Sprint("r-", number))
				task.handle(coltsfootlink.Delivery{Message: question})
				for asks := kept.asks(); len(asks) > 0; asks = kept.asks() {
					target := task.catalog.Targets[asks[0].Target]
					asked[target.Version] = true
					// The next candidates are of the same version.
					task.handle(coltsfootlink.Delivery{From: "i-a", Message: coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: coltsfootlink.TargetDown}})
				}
			}
			So(asked["v1"], ShouldEqual, test.v1)
			So(asked["v2"], ShouldEqual, test.v2)
		})
	}
	Convey("the coordinator is told how requests ended and what still runs", t, func() {
		task, kept, clock := newTask()
		fresh := targetIn("t-9", "a")
		fresh.Version = "v2"
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTarget(fresh).WithMove(order)}})
		grant := func(id coltsfootlink.RequestID) uint64 {
			question := want(clock, make(chan Choice, 1))
			question.ID, question.Rule = id, "rule"
			task.handle(coltsfootlink.Delivery{Message: question})
			serial := kept.asks()[0].Serial
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial}})
			return serial
		}
		ended := grant("r-1")
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: ended, Stage: coltsfootlink.FirstEvent, Millis: 40}})
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: ended, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed, Millis: 90}})
		grant("r-2")
		task.handle(coltsfootlink.Delivery{Message: *word(1, coltsfootlink.MoveRunning)})
		grant("r-3")
		kept.sent = nil
		task.tellCoordinators(clock.now)
		So(kept.sent, ShouldHaveLength, 1)
		So(kept.sent[0].Message, ShouldResemble, coltsfootlink.MoveUsages{
			Pool: "p", Started: 9, RunningOld: 1, RunningNew: 1,
			Usages: []coltsfootlink.MoveUsage{{Route: "rule", Failed: true, Millis: 40}},
		})
	})
}
