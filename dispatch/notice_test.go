package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// takeNotices returns the recorded notices by recipient and clears the recorded messages.
func (recorder *recorder) takeNotices() map[coltsfootlink.InstanceName]coltsfootlink.TargetNotice {
	notices := make(map[coltsfootlink.InstanceName]coltsfootlink.TargetNotice)
	for _, delivery := range recorder.sent {
		if notice, is := delivery.Message.(coltsfootlink.TargetNotice); is {
			notices[delivery.From] = notice
		}
	}
	recorder.sent = nil
	return notices
}

// askedTargets returns the targets whose owners are asked for one request if all of them refuse it.
func askedTargets(task *Task, sender *recorder, clock *fakeClock) (map[coltsfootlink.TargetName]bool, *coltsfootlink.Refusal) {
	reply := make(chan Choice, 1)
	task.handle(coltsfootlink.Delivery{Message: newWant(clock, reply)})
	asked := make(map[coltsfootlink.TargetName]bool)
	for asks := sender.takeAsks(); len(asks) > 0; asks = sender.takeAsks() {
		asked[asks[0].Target] = true
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: coltsfootlink.TargetFull}})
	}
	return asked, (<-reply).Refusal
}

func TestTargetsThatTakeNoRequestsAreNotAskedFor(t *testing.T) {
	notice := func(name coltsfootlink.TargetName, leaving bool, backoff time.Duration) func(*Task, *fakeClock) {
		return func(task *Task, clock *fakeClock) {
			announced := coltsfootlink.TargetNotice{Target: name, Leaving: leaving}
			if backoff > 0 {
				announced.RetryAt = clock.now.Add(backoff)
			}
			task.handle(coltsfootlink.Delivery{Message: announced})
		}
	}
	all := func(acts ...func(*Task, *fakeClock)) func(*Task, *fakeClock) {
		return func(task *Task, clock *fakeClock) {
			for _, act := range acts {
				act(task, clock)
			}
		}
	}
	refusedBy := func(reason coltsfootlink.Reason) func(*Task, *fakeClock) {
		return func(task *Task, clock *fakeClock) {
			task.recordWithheld("t-1", coltsfootlink.Verdict{Reason: reason, RetryAt: clock.now.Add(400 * time.Millisecond)})
		}
	}
	cases := map[string]struct {
		before func(*Task, *fakeClock)
		after  time.Duration
		asked  int
		reason coltsfootlink.Reason
		// retryAfter is when a refused caller may come again.
		retryAfter time.Duration
	}{
		"none announced anything":                 {all(), 0, 3, coltsfootlink.TargetFull, defaultRetryDelay},
		"one is leaving":                          {notice("t-1", true, 0), time.Hour, 2, coltsfootlink.TargetFull, defaultRetryDelay},
		"one wants no requests":                   {notice("t-1", false, time.Second), 900 * time.Millisecond, 2, coltsfootlink.TargetFull, defaultRetryDelay},
		"one wants requests again":                {notice("t-1", false, time.Second), time.Second, 3, coltsfootlink.TargetFull, defaultRetryDelay},
		"all want none, the first for one second": {all(notice("t-1", false, 3*time.Second), notice("t-2", false, time.Second), notice("t-3", false, 2*time.Second)), 0, 0, coltsfootlink.TargetBackoff, time.Second},
		"two are leaving, one wants none":         {all(notice("t-1", true, 0), notice("t-2", true, 0), notice("t-3", false, 2*time.Second)), 0, 0, coltsfootlink.TargetBackoff, 2 * time.Second},
		"all are leaving":                         {all(notice("t-1", true, 0), notice("t-2", true, 0), notice("t-3", true, 0)), 0, 0, coltsfootlink.NoTarget, defaultRetryDelay},
		"the owner of one says it wants none":     {refusedBy(coltsfootlink.TargetBackoff), 390 * time.Millisecond, 2, coltsfootlink.TargetFull, defaultRetryDelay},
		"the owner of one says it is leaving":     {refusedBy(coltsfootlink.TargetLeaving), 390 * time.Millisecond, 2, coltsfootlink.TargetFull, defaultRetryDelay},
		"the owner of one is asked again":         {refusedBy(coltsfootlink.TargetBackoff), 400 * time.Millisecond, 3, coltsfootlink.TargetFull, defaultRetryDelay},
	}
	for name, test := range cases {
		Convey("requests go to targets that take some: "+name, t, func() {
			task, sender, clock := newTask()
			test.before(task, clock)
			sender.sent = nil
			clock.now = clock.now.Add(test.after)
			asked, refusal := askedTargets(task, sender, clock)
			So(asked, ShouldHaveLength, test.asked)
			So(refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
			So(refusal.Reason, ShouldEqual, test.reason)
			So(refusal.RetryAt.Sub(clock.now), ShouldEqual, test.retryAfter)
		})
	}
	Convey("a permit that arrives after the target's announcement is given back, and the next target is asked for", t, func() {
		task, sender, clock := newTask()
		reply := make(chan Choice, 1)
		task.handle(coltsfootlink.Delivery{Message: newWant(clock, reply)})
		first := sender.takeAsks()[0]
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.TargetNotice{Target: first.Target, Leaving: true}})
		sender.sent = nil
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: first.Serial}})
		released, is := sender.sent[0].Message.(coltsfootlink.Progress)
		So(is, ShouldBeTrue)
		So(released.Result, ShouldEqual, coltsfootlink.Unused)
		second := sender.takeAsks()
		So(second, ShouldHaveLength, 1)
		So(second[0].Target, ShouldNotEqual, first.Target)
	})
}

func TestNoticesReachTheOwner(t *testing.T) {
	leaving := coltsfootlink.TargetNotice{Target: "t-2", Leaving: true}
	withoutOwner := coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a")}}
	cases := map[string]struct {
		act func(task *Task, sender *recorder)
		// owner is the instance that gets the notice; empty if none does.
		owner coltsfootlink.InstanceName
	}{
		"received by this instance": {func(task *Task, _ *recorder) {
			task.handle(coltsfootlink.Delivery{Message: leaving})
		}, "i-b"},
		"received by another instance": {func(task *Task, _ *recorder) {
			task.handle(coltsfootlink.Delivery{From: "i-c", Message: leaving})
		}, ""},
		"received a second time": {func(task *Task, sender *recorder) {
			task.handle(coltsfootlink.Delivery{Message: leaving})
			sender.sent = nil
			task.handle(coltsfootlink.Delivery{Message: leaving})
		}, ""},
		"the owner changes": {func(task *Task, sender *recorder) {
			task.handle(coltsfootlink.Delivery{Message: leaving})
			sender.sent = nil
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: withoutOwner}})
		}, "i-a"},
		"the owner stays": {func(task *Task, sender *recorder) {
			task.handle(coltsfootlink.Delivery{Message: leaving})
			sender.sent = nil
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: task.view}})
		}, ""},
		"the owner changes after the target has restarted": {func(task *Task, sender *recorder) {
			task.handle(coltsfootlink.Delivery{Message: leaving})
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTarget(targetIn("t-2", "b").WithIncarnation(1))}})
			sender.sent = nil
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: withoutOwner}})
		}, ""},
		"the owner refuses all for another reason, and changes": {func(task *Task, sender *recorder) {
			task.recordWithheld("t-2", coltsfootlink.Verdict{Reason: coltsfootlink.TargetLeaving})
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: withoutOwner}})
		}, ""},
	}
	for name, test := range cases {
		Convey("the owner of a target learns what it announced: "+name, t, func() {
			task, sender, _ := newTask()
			test.act(task, sender)
			notices := sender.takeNotices()
			So(len(notices) == 1, ShouldEqual, test.owner != "")
			if test.owner != "" {
				So(notices[test.owner], ShouldResemble, leaving)
			}
		})
	}
}
