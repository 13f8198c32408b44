package admission

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// lastVerdict is a sender that keeps the newest verdict.
type lastVerdict struct{ coltsfootlink.Verdict }

// Send keeps a verdict.
func (last *lastVerdict) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if verdict, is := message.(coltsfootlink.Verdict); is {
		last.Verdict = verdict
	}
}

// stopped is a clock that stands still.
type stopped struct{ now time.Time }

// Now returns the time of the clock.
func (stopped stopped) Now() time.Time { return stopped.now }

// newTask returns a task that has owned a target for an hour.
func newTask(now time.Time) (*Task, *lastVerdict) {
	target := coltsfootlink.Target{Name: "t", Pool: "p", Slots: 12}
	last := new(lastVerdict)
	task := &Task{
		Self: "o", Policy: policy, Clock: stopped{now}, Sender: last, Log: zerolog.Nop(),
		Inbox: mailbox.NewDeliveries(), Prober: mailbox.NewDeliveries(),
	}
	task.books = map[coltsfootlink.TargetName]Book{"t": NewBook(now.Add(-time.Hour), target, servedByEngine, policy)}
	task.catalog = task.catalog.WithTarget(target)
	return task, last
}

// TestOldReports holds for a report that says that all slots of a target are taken.
func TestOldReports(t *testing.T) {
	cases := map[string]struct {
		age    time.Duration
		reason coltsfootlink.Reason
	}{
		"it has just come":               {0, coltsfootlink.TargetFull},
		"the next one has been asked":    {reportInterval, coltsfootlink.TargetFull},
		"two more have been asked":       {2*reportInterval + 1, ""},
		"it lay unread for some seconds": {3 * time.Second, ""},
	}
	for name, test := range cases {
		Convey("a report counts while it is new: "+name, t, func() {
			task, last := newTask(start)
			task.handle(coltsfootlink.Delivery{Message: reported{target: "t", asked: start.Add(-test.age), report: coltsfootlink.EngineReport{Running: 12}}})
			task.handle(coltsfootlink.Delivery{From: "calm", Message: ask(start, 1, prompt(0, 800, 9), time.Second)})
			So(last.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestQuestionsOutOfTime holds for questions by the time that is left to the caller's deadline.
func TestQuestionsOutOfTime(t *testing.T) {
	cases := map[string]struct {
		deadline time.Time
		reason   coltsfootlink.Reason
	}{
		"some":            {start.Add(time.Millisecond), ""},
		"none":            {start, coltsfootlink.PastDeadline},
		"less than none":  {start.Add(-time.Second), coltsfootlink.PastDeadline},
		"it is not known": {time.Time{}, ""},
	}
	for name, test := range cases {
		Convey("a caller that waits no more gets no permit: "+name, t, func() {
			task, last := newTask(start)
			question := ask(start, 1, prompt(0, 800, 9), time.Second)
			question.Deadline = test.deadline
			task.handle(coltsfootlink.Delivery{From: "i", Message: question})
			So(last.Reason, ShouldEqual, test.reason)
			So(task.books["t"].runs.Len() == 0, ShouldEqual, test.reason != "")
			So(task.books["t"].waitMillis(start) == 0, ShouldEqual, test.reason != "")
		})
	}
}
