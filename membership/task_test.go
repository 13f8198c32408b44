package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// standIns takes the place of the clock, of the other instances and of the timeline.
type standIns struct{ now time.Time }

func (standIns *standIns) Now() time.Time                                         { return standIns.now }
func (standIns *standIns) Send(coltsfootlink.InstanceName, coltsfootlink.Message) {}
func (standIns *standIns) Record(string, string)                                  {}

// Instances were shown as live to which the other tasks did not yet send what they announce.
func TestInstancesAreShownAsTheOtherTasksSeeThem(t *testing.T) {
	cases := map[string]struct {
		// since is the time from one view to the next, and shown the number of instances.
		since time.Duration
		shown int
	}{
		"the new view is withheld":  {publishInterval / 2, 1},
		"the new view is passed on": {publishInterval, 2},
	}
	for name, test := range cases {
		Convey("the instances shown are those of the view that the subscribers have: "+name, t, func() {
			standIns, subscriber := &standIns{now: start}, mailbox.NewDeliveries()
			task := &Task{
				Self: instance("a", 1), Interval: policy.Interval, UnresponsiveAfter: 2 * policy.ReplyTimeout, Fanout: policy.Fanout, Clock: standIns,
				Sender: standIns, Recorder: standIns, Inbox: mailbox.NewDeliveries(), Links: mailbox.NewDeliveries(),
				Subscribers: []*mailbox.Deliveries{subscriber},
			}
			task.reset()
			task.publish()
			standIns.now = start.Add(test.since)
			task.handle(coltsfootlink.Delivery{From: "b", Message: coltsfootlink.Heartbeat{Entries: []coltsfootlink.HeartbeatEntry{live("b", 1, 1)}}})
			task.publish()
			deliveries := subscriber.Drain()
			view := deliveries[len(deliveries)-1].Message.(coltsfootlink.ViewChanged).View
			So(view.Members, ShouldHaveLength, test.shown)
			So(task.answer().Rows, ShouldHaveLength, test.shown)
		})
	}
}
