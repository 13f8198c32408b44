package pressure

import (
	"context"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// waits is a meter that has waited the same time at each look.
type waits time.Duration

// Wait returns that time.
func (waits waits) Wait() time.Duration { return time.Duration(waits) }

func TestTaskTellsOfChanges(t *testing.T) {
	cases := map[string]struct {
		wait  time.Duration
		looks int
		told  int
	}{
		"calm":                 {time.Millisecond, 10, 0},
		"behind":               {time.Second, 3, 3},
		"behind, at the least": {time.Second, 100, 10},
	}
	for name, test := range cases {
		Convey("subscribers are told of what changes, and of nothing else: "+name, t, func() {
			box := mailbox.NewDeliveries()
			task := &Task{Meters: []coltsfootlink.CPUWaitMeter{waits(test.wait)}, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
			for range test.looks {
				task.look()
			}
			So(box.Drain(), ShouldHaveLength, test.told)
		})
	}
	Convey("the longest wait counts: connections that wait to be accepted do, while nothing else waits", t, func() {
		box := mailbox.NewDeliveries()
		task := &Task{Meters: []coltsfootlink.CPUWaitMeter{waits(0), waits(time.Second), waits(time.Millisecond)}, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
		task.look()
		told := box.Drain()
		So(told, ShouldHaveLength, 1)
		So(told[0].Message, ShouldResemble, Changed{State: State{}.WithWait(time.Second)})
	})
	Convey("a task that starts anew takes back what it told before", t, func() {
		box := mailbox.NewDeliveries()
		task := &Task{Meters: []coltsfootlink.CPUWaitMeter{waits(0)}, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
		task.told = State{}.WithWait(time.Second)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		So(task.Run(ctx), ShouldBeNil)
		told := box.Drain()
		So(told, ShouldHaveLength, 1)
		So(told[0].Message, ShouldResemble, Changed{})
	})
}

// clock is a clock that a test moves.
type clock struct{ at time.Time }

// Now returns the clock's time.
func (moved *clock) Now() time.Time { return moved.at }

// looks lets a task look that many times.
func (moved *clock) looks(task *Task, count int) {
	for range count {
		moved.at = moved.at.Add(lookInterval)
		task.turn()
	}
}

func TestSubscribersAreToldAgain(t *testing.T) {
	cases := map[string]struct {
		// waits are those of the looks before the subscriber loses what it has been told, a second's looks each.
		waits      []time.Duration
		overloaded bool
	}{
		"calm from the start": {[]time.Duration{0}, false},
		"behind":              {slices.Repeat([]time.Duration{time.Second}, 5), true},
		"calm again":          {append(slices.Repeat([]time.Duration{time.Second}, 5), slices.Repeat([]time.Duration{0}, 10)...), false},
	}
	for name, test := range cases {
		Convey("a subscriber that lost a word hears of the state again, once a second: "+name, t, func() {
			box := mailbox.NewDeliveries()
			moved := &clock{at: time.Unix(1_000_000, 0)}
			task := &Task{Clock: moved, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
			task.start()
			for _, wait := range test.waits {
				task.Meters = []coltsfootlink.CPUWaitMeter{waits(wait)}
				moved.looks(task, int(time.Second/lookInterval))
			}
			box.Drain()
			moved.looks(task, int(5*time.Second/lookInterval))
			told := box.Drain()
			So(told, ShouldHaveLength, 5)
			So(told[0].Message.(Changed).State.Overloaded(), ShouldEqual, test.overloaded)
		})
	}
	Convey("a collector that starts anew during a flood follows it", t, func() {
		before := debug.SetGCPercent(50)
		defer debug.SetGCPercent(before)
		collector := &Collector{Calm: 30, Behind: 90, Inbox: mailbox.NewDeliveries()}
		moved := &clock{at: time.Unix(1_000_000, 0)}
		task := &Task{Meters: []coltsfootlink.CPUWaitMeter{waits(time.Second)}, Clock: moved, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{collector.Inbox}}
		task.start()
		moved.looks(task, 100)
		for range 2 {
			// What the collector left behind at its end is not to be taken for what it sets.
			debug.SetGCPercent(50)
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = collector.Run(ctx)
			}()
			moved.looks(task, int(2*time.Second/lookInterval))
			for end := time.Now().Add(time.Second); percent() != 90 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			stop()
			<-stopped
			So(percent(), ShouldEqual, 90)
		}
	})
}
