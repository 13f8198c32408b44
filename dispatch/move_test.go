package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// askedVersions returns the versions whose targets permits are asked of for forty requests.
func askedVersions(task *Task, sender *recorder, clock *fakeClock) map[coltsfootlink.Version]bool {
	asked := make(map[coltsfootlink.Version]bool)
	for number := range 40 {
		request := newWant(clock, make(chan Choice, 1))
		request.ID = coltsfootlink.RequestID(fmt.Sprint("r-", number))
		task.handle(coltsfootlink.Delivery{Message: request})
		for asks := sender.takeAsks(); len(asks) > 0; asks = sender.takeAsks() {
			target := task.catalog.Targets[asks[0].Target]
			asked[target.Version] = true
			// All further candidates are of the same version.
			task.handle(coltsfootlink.Delivery{From: "i-a", Message: coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: coltsfootlink.TargetDown}})
		}
	}
	return asked
}

// TestRejectedVersionsGetNoRequests guards against a version that was rolled back, or superseded before its move had ended, and
// that counts as the one in service once another move is ordered.
func TestRejectedVersionsGetNoRequests(t *testing.T) {
	orderTo := func(to coltsfootlink.Version, offset uint64) coltsfootlink.Move {
		return coltsfootlink.Move{Pool: "p", To: to, Started: coltsfootlink.Revision(offset), State: coltsfootlink.MoveRunning}
	}
	said := func(move coltsfootlink.Move, state coltsfootlink.MoveState, share float64, rejected ...coltsfootlink.Version) coltsfootlink.MoveWord {
		return coltsfootlink.MoveWord{Move: move.WithState(state, "").WithVersions([]coltsfootlink.Version{"v1"}, rejected), Share: share, Recorded: state.Final()}
	}
	v1, v2, v3 := orderTo("v1", 8), orderTo("v2", 7), orderTo("v3", 8)
	type versions = []coltsfootlink.Version
	cases := map[string]struct {
		// orders and words are what the instance learns, in turn.
		orders []coltsfootlink.Move
		words  []coltsfootlink.MoveWord
		// left are the versions with targets, and asked those that get requests.
		left, asked versions
	}{
		"rolled back, then another order": {
			[]coltsfootlink.Move{v2, v3}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRolledBack, 0), said(v3, coltsfootlink.MoveRunning, 0.5, "v2")},
			versions{"v1", "v2", "v3"}, versions{"v1", "v3"},
		},
		"rolled back, another order that nothing was announced of": {
			[]coltsfootlink.Move{v2, v3}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRolledBack, 0)}, versions{"v1", "v2", "v3"}, versions{"v1"},
		},
		"recalled by an order back": {
			[]coltsfootlink.Move{v2, v1}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRunning, 0.5)}, versions{"v1", "v2"}, versions{"v1"},
		},
		"an instance that has started since": {
			[]coltsfootlink.Move{v3}, []coltsfootlink.MoveWord{said(v3, coltsfootlink.MoveRolledBack, 0, "v2")}, versions{"v1", "v2", "v3"}, versions{"v1"},
		},
		"the version in service has no targets left": {
			[]coltsfootlink.Move{v2, v3}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRolledBack, 0), said(v3, coltsfootlink.MoveRunning, 0.1, "v2")},
			versions{"v2", "v3"}, versions{"v3"},
		},
		"recalled by an order back, which is rolled back": {
			[]coltsfootlink.Move{v2, v1}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRunning, 0.5), said(v1, coltsfootlink.MoveRolledBack, 0, "v2")},
			versions{"v1", "v2"}, versions{"v1"},
		},
		"only the rejected version is left": {
			[]coltsfootlink.Move{v2, v3}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRolledBack, 0)}, versions{"v2"}, nil,
		},
		"completed, then another order": {
			[]coltsfootlink.Move{v2, v3}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveDone, 1)}, versions{"v2", "v3"}, versions{"v2"},
		},
		"completed without this instance, then another order": {
			[]coltsfootlink.Move{v2, v3}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRunning, 0.5), said(v3, coltsfootlink.MoveRunning, 0.5)},
			versions{"v2", "v3"}, versions{"v2", "v3"},
		},
		"ordered again after its rollback": {
			[]coltsfootlink.Move{v2, orderTo("v2", 8)}, []coltsfootlink.MoveWord{said(v2, coltsfootlink.MoveRolledBack, 0), said(orderTo("v2", 8), coltsfootlink.MoveRunning, 0.5)},
			versions{"v1", "v2"}, versions{"v1", "v2"},
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			catalog := coltsfootlink.Catalog{}
			for _, version := range test.left {
				target := targetIn(coltsfootlink.TargetName(version), "a")
				target.Version = version
				catalog = catalog.WithTarget(target)
			}
			for number, order := range test.orders {
				task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog.WithMove(order)}})
				if number < len(test.words) {
					task.handle(coltsfootlink.Delivery{Message: test.words[number]})
				}
			}
			expected := make(map[coltsfootlink.Version]bool)
			for _, version := range test.asked {
				expected[version] = true
			}
			So(askedVersions(task, sender, clock), ShouldResemble, expected)
		})
	}
}

// TestVersionMove checks which versions requests are sent to while their pool moves to version v2.
func TestVersionMove(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 9, State: coltsfootlink.MoveRunning}
	announcement := func(share float64, state coltsfootlink.MoveState) *coltsfootlink.MoveWord {
		return &coltsfootlink.MoveWord{Move: order.WithState(state, ""), Share: share}
	}
	previousMove := *announcement(1, coltsfootlink.MoveDone)
	previousMove.Move.Started = 8
	both := []coltsfootlink.Version{"v1", "v2"}
	cases := map[string]struct {
		announcement *coltsfootlink.MoveWord
		delay        time.Duration
		versions     []coltsfootlink.Version
		// v1 and v2 indicate whether requests are sent to these versions.
		v1, v2 bool
	}{
		"no announcement yet":                           {nil, 0, both, true, false},
		"an announcement of an earlier move":            {&previousMove, 0, both, true, false},
		"half of the requests are moved":                {announcement(0.5, coltsfootlink.MoveRunning), 0, both, true, true},
		"the announcement has expired":                  {announcement(0.5, coltsfootlink.MoveRunning), moveAnnouncementTTL + time.Second, both, true, false},
		"all requests are moved":                        {announcement(1, coltsfootlink.MoveRunning), 0, both, false, true},
		"done":                                          {announcement(1, coltsfootlink.MoveDone), time.Hour, both, false, true},
		"rolled back":                                   {announcement(0, coltsfootlink.MoveRolledBack), time.Hour, both, true, false},
		"the new version has not started":               {announcement(0.5, coltsfootlink.MoveRunning), 0, both[:1], true, false},
		"the old version is gone, no announcement":      {nil, 0, both[1:], false, true},
		"rolled back, and only the new version is left": {announcement(0, coltsfootlink.MoveRolledBack), 0, both[1:], false, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			catalog := coltsfootlink.Catalog{}.WithMove(order)
			for _, version := range test.versions {
				for number := range 2 {
					target := targetIn(coltsfootlink.TargetName(fmt.Sprint(version, "-", number)), "a")
					target.Version = version
					catalog = catalog.WithTarget(target)
				}
			}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
			if test.announcement != nil {
				task.handle(coltsfootlink.Delivery{Message: *test.announcement})
			}
			clock.now = clock.now.Add(test.delay)
			asked := askedVersions(task, sender, clock)
			So(asked["v1"], ShouldEqual, test.v1)
			So(asked["v2"], ShouldEqual, test.v2)
		})
	}
	Convey("the coordinator receives how requests ended and how many are in progress", t, func() {
		task, sender, clock := newTask()
		newTarget := targetIn("t-9", "a")
		newTarget.Version = "v2"
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTarget(newTarget).WithMove(order)}})
		grant := func(id coltsfootlink.RequestID) uint64 {
			request := newWant(clock, make(chan Choice, 1))
			request.ID, request.Rule = id, "rule"
			task.handle(coltsfootlink.Delivery{Message: request})
			serial := sender.takeAsks()[0].Serial
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial, ExpectedMillis: 30}})
			return serial
		}
		ended := grant("r-1")
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: ended, Stage: coltsfootlink.FirstEvent, Millis: 40}})
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: ended, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed, Millis: 90}})
		grant("r-2")
		task.handle(coltsfootlink.Delivery{Message: *announcement(1, coltsfootlink.MoveRunning)})
		grant("r-3")
		sender.sent = nil
		task.reportMoves(clock.now)
		So(sender.sent, ShouldHaveLength, 1)
		So(sender.sent[0].Message, ShouldResemble, coltsfootlink.MoveUsages{
			Pool: "p", Started: 9, RunningOld: 1, RunningNew: 1,
			Usages: []coltsfootlink.MoveUsage{{Route: "rule", Failed: true, Millis: 40, ExpectedMillis: 30}},
		})
	})
}
