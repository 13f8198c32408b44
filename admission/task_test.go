package admission

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// verdictRecorder is a sender that records the latest verdict.
type verdictRecorder struct{ coltsfootlink.Verdict }

// Send records a verdict and drops other messages.
func (last *verdictRecorder) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if verdict, matches := message.(coltsfootlink.Verdict); matches {
		last.Verdict = verdict
	}
}

// fixedClock is a clock that always returns the same time.
type fixedClock struct{ now time.Time }

func (clock fixedClock) Now() time.Time { return clock.now }

// ownerTask returns a task that has owned a target for an hour.
func ownerTask(now time.Time) (*Task, *verdictRecorder) {
	target := coltsfootlink.Target{Name: "t", Pool: "p", Slots: 12}
	last := new(verdictRecorder)
	task := &Task{
		Self: "o", Policy: policy, Clock: fixedClock{now}, Sender: last, Log: zerolog.Nop(),
		Inbox: mailbox.NewDeliveries(), Prober: mailbox.NewDeliveries(),
	}
	task.ledgers = map[coltsfootlink.TargetName]Ledger{"t": NewLedger(now.Add(-time.Hour), target, engineTraits, policy)}
	task.catalog = task.catalog.WithTarget(target)
	return task, last
}

// TestReportMaxAge checks that a report of a target without free slots counts only until reportMaxAge.
func TestReportMaxAge(t *testing.T) {
	cases := map[string]struct {
		age    time.Duration
		reason coltsfootlink.Reason
	}{
		"just received":                      {0, coltsfootlink.TargetFull},
		"the next one has been requested":    {reportInterval, coltsfootlink.TargetFull},
		"two later ones have been requested": {2*reportInterval + 1, ""},
		"delayed by three seconds":           {3 * time.Second, ""},
	}
	for name, test := range cases {
		Convey("a report counts until it is too old: "+name, t, func() {
			task, last := ownerTask(start)
			task.handle(coltsfootlink.Delivery{Message: probeResult{target: "t", askedAt: start.Add(-test.age), report: coltsfootlink.EngineReport{Running: 12}}})
			task.handle(coltsfootlink.Delivery{From: "calm", Message: ask(start, 1, prompt(0, 800, 9), time.Second)})
			So(last.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestAskAfterDeadline checks that no permit is granted after the caller's deadline. The cases are named after the time
// that is left until the deadline.
func TestAskAfterDeadline(t *testing.T) {
	cases := map[string]struct {
		deadline time.Time
		reason   coltsfootlink.Reason
	}{
		"one millisecond": {start.Add(time.Millisecond), ""},
		"none":            {start, coltsfootlink.PastDeadline},
		"negative":        {start.Add(-time.Second), coltsfootlink.PastDeadline},
		"no deadline":     {time.Time{}, ""},
	}
	for name, test := range cases {
		Convey("a request whose deadline has passed gets no permit: "+name, t, func() {
			task, last := ownerTask(start)
			request := ask(start, 1, prompt(0, 800, 9), time.Second)
			request.Deadline = test.deadline
			task.handle(coltsfootlink.Delivery{From: "i", Message: request})
			So(last.Reason, ShouldEqual, test.reason)
			So(task.ledgers["t"].requests.Len() == 0, ShouldEqual, test.reason != "")
			So(task.ledgers["t"].waitMillis(start) == 0, ShouldEqual, test.reason != "")
		})
	}
}
