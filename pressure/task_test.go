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

// fixedWait is a meter that always measures the same wait.
type fixedWait time.Duration

// Wait returns the fixed wait.
func (wait fixedWait) Wait() time.Duration { return time.Duration(wait) }

func TestTaskPublishesChanges(t *testing.T) {
	cases := map[string]struct {
		wait      time.Duration
		samples   int
		published int
	}{
		"normal":                             {time.Millisecond, 10, 0},
		"CPU short":                          {time.Second, 3, 3},
		"CPU short, down to the lower bound": {time.Second, 100, 10},
	}
	for name, test := range cases {
		Convey("subscribers receive changes only: "+name, t, func() {
			box := mailbox.NewDeliveries()
			task := &Task{Meters: []coltsfootlink.CPUWaitMeter{fixedWait(test.wait)}, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
			for range test.samples {
				task.sample()
			}
			So(box.Drain(), ShouldHaveLength, test.published)
		})
	}
	Convey("the longest wait counts, for example that of connections to be accepted while no goroutine waits", t, func() {
		box := mailbox.NewDeliveries()
		task := &Task{Meters: []coltsfootlink.CPUWaitMeter{fixedWait(0), fixedWait(time.Second), fixedWait(time.Millisecond)}, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
		task.sample()
		messages := box.Drain()
		So(messages, ShouldHaveLength, 1)
		So(messages[0].Message, ShouldResemble, Changed{State: State{}.WithWait(time.Second)})
	})
	Convey("a restarted task publishes the zero state", t, func() {
		box := mailbox.NewDeliveries()
		task := &Task{Meters: []coltsfootlink.CPUWaitMeter{fixedWait(0)}, Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
		task.published = State{}.WithWait(time.Second)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		So(task.Run(ctx), ShouldBeNil)
		messages := box.Drain()
		So(messages, ShouldHaveLength, 1)
		So(messages[0].Message, ShouldResemble, Changed{})
	})
}

// manualClock is a clock that is set by the test.
type manualClock struct{ at time.Time }

// Now returns the time that was set.
func (clock *manualClock) Now() time.Time { return clock.at }

// advance lets the task take the given number of samples.
func (clock *manualClock) advance(task *Task, count int) {
	for range count {
		clock.at = clock.at.Add(sampleInterval)
		task.step()
	}
}

func TestStateIsPublishedAgain(t *testing.T) {
	cases := map[string]struct {
		// waits are the measured waits before the subscriber loses its state, each for the samples of one second.
		waits      []time.Duration
		overloaded bool
	}{
		"normal from the start": {[]time.Duration{0}, false},
		"CPU short":             {slices.Repeat([]time.Duration{time.Second}, 5), true},
		"normal again":          {append(slices.Repeat([]time.Duration{time.Second}, 5), slices.Repeat([]time.Duration{0}, 10)...), false},
	}
	for name, test := range cases {
		Convey("the state is published again once a second, for subscribers that have lost it: "+name, t, func() {
			box := mailbox.NewDeliveries()
			clock := &manualClock{at: time.Unix(1_000_000, 0)}
			task := &Task{Clock: clock, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
			task.reset()
			for _, wait := range test.waits {
				task.Meters = []coltsfootlink.CPUWaitMeter{fixedWait(wait)}
				clock.advance(task, int(time.Second/sampleInterval))
			}
			box.Drain()
			clock.advance(task, int(5*time.Second/sampleInterval))
			messages := box.Drain()
			So(messages, ShouldHaveLength, 5)
			So(messages[0].Message.(Changed).State.Overloaded(), ShouldEqual, test.overloaded)
		})
	}
	Convey("a tuner restarted during a flood applies the published state", t, func() {
		before := debug.SetGCPercent(50)
		defer debug.SetGCPercent(before)
		tuner := &GCTuner{NormalPercent: 30, PressurePercent: 90, Inbox: mailbox.NewDeliveries()}
		clock := &manualClock{at: time.Unix(1_000_000, 0)}
		task := &Task{Meters: []coltsfootlink.CPUWaitMeter{fixedWait(time.Second)}, Clock: clock, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{tuner.Inbox}}
		task.reset()
		clock.advance(task, 100)
		for range 2 {
			// The value that the previous run left must not pass for one set by the restarted tuner.
			debug.SetGCPercent(50)
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = tuner.Run(ctx)
			}()
			clock.advance(task, int(2*time.Second/sampleInterval))
			for end := time.Now().Add(time.Second); gcPercent() != 90 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			stop()
			<-stopped
			So(gcPercent(), ShouldEqual, 90)
		}
	})
}
