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
			clock.now = clock.now.Add(weightsInterval)
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
