package dispatch

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestAnnouncedSpeeds guards against announcements that do not reach the ranking, and weights that outlive them or change
// without a line in the log.
func TestAnnouncedSpeeds(t *testing.T) {
	// homes returns how many of 200 prefixes ask for a target first.
	homes := func(task *Task, sender *recorder, clock *fakeClock, target coltsfootlink.TargetName) int {
		count := 0
		for key := range uint64(200) {
			want := newWant(clock, make(chan Choice, 1))
			want.Work.Prompt[0].Key = key + 1
			task.handle(coltsfootlink.Delivery{Message: want})
			if sender.takeAsks()[0].Target == target {
				count++
			}
			clear(task.pending)
		}
		return count
	}
	cases := map[string]struct {
		// act happens after a speed of 0.25 was announced and put in force.
		act      func(task *Task, clock *fakeClock)
		weighted bool
		lines    int
	}{
		"announced":    {func(*Task, *fakeClock) {}, true, 1},
		"repeated":     {func(task *Task, clock *fakeClock) { clock.now = clock.now.Add(11 * time.Second) }, true, 1},
		"not repeated": {func(task *Task, clock *fakeClock) { clock.now = clock.now.Add(12 * time.Second) }, false, 2},
		"target restarted": {func(task *Task, clock *fakeClock) {
			catalog := task.catalog.WithTarget(task.catalog.Targets["t-1"].WithIncarnation(2))
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
		}, false, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			var log bytes.Buffer
			task.Log = zerolog.New(&log)
			even := homes(task, sender, clock, "t-1")
			speeds := coltsfootlink.TargetSpeeds{Speeds: []coltsfootlink.TargetSpeed{{Target: "t-1", Speed: 0.25}}}
			task.Inbox.Put(coltsfootlink.Delivery{From: "i-b", Message: speeds})
			clock.now = clock.now.Add(placementInterval)
			task.turn()
			test.act(task, clock)
			task.turn()
			if test.weighted {
				So(homes(task, sender, clock, "t-1"), ShouldBeLessThan, even/2)
			} else {
				So(homes(task, sender, clock, "t-1"), ShouldEqual, even)
			}
			So(bytes.Count(log.Bytes(), []byte("weights of the pool's targets changed")), ShouldEqual, test.lines)
		})
	}
}

// TestPlacementInZones guards against cheap prefixes that leave their zone while its targets have capacity, callers that
// starve because the targets of their zone are full, and another order where demand is even.
func TestPlacementInZones(t *testing.T) {
	uneven := []coltsfootlink.ZoneDemand{{Zone: "a", Fraction: 0.1}, {Zone: "b", Fraction: 0.9}}
	even := []coltsfootlink.ZoneDemand{{Zone: "a", Fraction: 0.4}, {Zone: "b", Fraction: 0.6}}
	cases := map[string]struct {
		demand   []coltsfootlink.ZoneDemand
		tokens   int
		standing coltsfootlink.Standing
		// reason is that of each refusal; asked are the targets that are asked, in order.
		reason coltsfootlink.Reason
		asked  []coltsfootlink.TargetName
		// paused indicates that the next request does not prefer the zone.
		paused bool
	}{
		"full targets":            {uneven, 100, coltsfootlink.Entitled, coltsfootlink.TargetFull, []coltsfootlink.TargetName{"t-8", "t-3", "t-6", "t-1"}, true},
		"cold targets":            {uneven, 100, coltsfootlink.Entitled, coltsfootlink.TargetCold, []coltsfootlink.TargetName{"t-8", "t-5", "t-4", "t-3"}, false},
		"beyond its team's share": {uneven, 100, coltsfootlink.Surplus, coltsfootlink.TargetFull, []coltsfootlink.TargetName{"t-8"}, false},
		"a long prefix":           {uneven, 9000, coltsfootlink.Entitled, coltsfootlink.TargetFull, []coltsfootlink.TargetName{"t-5", "t-4", "t-2", "t-8"}, false},
		"even demand":             {even, 100, coltsfootlink.Entitled, coltsfootlink.TargetFull, []coltsfootlink.TargetName{"t-5", "t-4", "t-2", "t-8"}, false},
		"no demand known":         {nil, 100, coltsfootlink.Entitled, coltsfootlink.TargetFull, []coltsfootlink.TargetName{"t-5", "t-4", "t-2", "t-8"}, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			// Zone a has the targets 1, 6 and 8. By hash, the order for this prefix is 5, 4, 2, 8, 1, 3, 6.
			catalog := task.catalog
			for target, zone := range map[coltsfootlink.TargetName]coltsfootlink.ZoneName{"t-4": "b", "t-5": "b", "t-6": "a", "t-8": "a"} {
				catalog = catalog.WithTarget(targetIn(target, zone))
			}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.Shares{Pool: "p", Zones: test.demand}})
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
			for target, millis := range map[coltsfootlink.TargetName]int{"t-1": 30, "t-2": 900, "t-3": 10, "t-4": 900, "t-5": 900, "t-6": 20, "t-8": 0} {
				task.waits.record(clock.now, target, coltsfootlink.Verdict{WaitMillis: millis})
			}
			want := newWant(clock, make(chan Choice, 1))
			want.Standing, want.Work.Prompt[0].Tokens = test.standing, test.tokens
			task.handle(coltsfootlink.Delivery{Message: want})
			var asked []coltsfootlink.TargetName
			for asks := sender.takeAsks(); len(asks) > 0; asks = sender.takeAsks() {
				asked = append(asked, asks[0].Target)
				verdict := coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: test.reason, WaitMillis: 1000}
				task.handle(coltsfootlink.Delivery{From: "i-b", Message: verdict})
			}
			So(asked, ShouldResemble, test.asked)
			if test.asked[0] == "t-8" {
				task.handle(coltsfootlink.Delivery{Message: want})
				So(sender.takeAsks()[0].Target != "t-8", ShouldEqual, test.paused)
			}
		})
	}
}

// TestRestartKeepsLiveZones guards against a task that its supervisor has started again and that offers targets of zones
// behind a partition until the membership changes.
func TestRestartKeepsLiveZones(t *testing.T) {
	Convey("a task that starts again knows the live zones", t, func() {
		task, _, clock := newTask()
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a")}}}})
		task.reset()
		targets, _ := task.candidates(clock.now, task.catalog, newWant(clock, nil), 1, nil)
		So(targets, ShouldResemble, []coltsfootlink.Target{task.catalog.Targets["t-1"]})
	})
}
