package pressure

import (
	"context"
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
			task := &Task{Meter: waits(test.wait), Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
			for range test.looks {
				task.look()
			}
			So(box.Drain(), ShouldHaveLength, test.told)
		})
	}
	Convey("a task that starts anew takes back what it told before", t, func() {
		box := mailbox.NewDeliveries()
		task := &Task{Meter: waits(0), Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop(), Subscribers: []*mailbox.Deliveries{box}}
		task.told = State{}.WithWait(time.Second)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		So(task.Run(ctx), ShouldBeNil)
		told := box.Drain()
		So(told, ShouldHaveLength, 1)
		So(told[0].Message, ShouldResemble, Changed{})
	})
}
