package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/crashlog"
	"coltsfootlink/health"
	"coltsfootlink/mailbox"
)

// Gateways that joined after a crash sent the request that had crashed targets to two more.
func TestInstancesThatJoinLearnOfCrashes(t *testing.T) {
	cases := map[string]struct {
		// joins is the instance that joins a while after the crash.
		joins coltsfootlink.InstanceName
		after time.Duration
		told  bool
	}{
		"one joins":                             {"i-c", time.Second, true},
		"one was there before":                  {"i-b", time.Second, false},
		"one joins when the strike has expired": {"i-c", health.StrikeTTL, false},
	}
	for name, test := range cases {
		Convey("gateways that join are told of the crashes that this one has announced: "+name, t, func() {
			task, sender, clock := newTask()
			task.running[1] = running{want: Want{Fingerprint: 7}, target: "t-1", owner: "i-a"}
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed}})
			task.handle(coltsfootlink.Delivery{From: "i-a", Message: strikesTo(sender, "i-a")})
			sender.sent, clock.now = nil, clock.now.Add(test.after)
			view := coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a"), member(test.joins, "b")}}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
			So(len(strikesTo(sender, test.joins).Strikes) > 0, ShouldEqual, test.told)
		})
	}
}

// A request that crashed the same target each time was never held back, and one that was held back came through again as
// soon as its strikes had expired (review/5).
func TestRequestsThatCrashOneTargetAreHeldBack(t *testing.T) {
	cases := map[string]struct {
		// incarnations are those of the target t-1 at its crashes.
		incarnations []uint64
		after        time.Duration
		reason       coltsfootlink.Reason
		probe        bool
	}{
		"one crash":                               {[]uint64{1}, 0, "", false},
		"one crash seen on two connections":       {[]uint64{1, 1}, 0, "", false},
		"two crashes":                             {[]uint64{1, 2}, 0, coltsfootlink.CrashingRequest, false},
		"two crashes, half a minute later":        {[]uint64{1, 2}, 30 * time.Second, "", true},
		"a probe crashed it again, half a minute": {[]uint64{1, 2, 3}, 30 * time.Second, coltsfootlink.CrashingRequest, false},
		"a probe crashed it again, a minute":      {[]uint64{1, 2, 3}, time.Minute, "", true},
	}
	for name, test := range cases {
		Convey("a request that crashes one target is held back, and probed now and then: "+name, t, func() {
			task, sender, clock := newTask()
			for _, incarnation := range test.incarnations {
				task.running[1] = running{want: Want{Fingerprint: 7}, target: "t-1", incarnation: incarnation, owner: "i-a"}
				task.handle(coltsfootlink.Delivery{Message: Report{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed}})
				task.handle(coltsfootlink.Delivery{From: "i-a", Message: strikesTo(sender, "i-a")})
			}
			clock.now = clock.now.Add(test.after)
			sender.sent = nil
			reply := make(chan Choice, 1)
			want := newWant(clock, reply)
			want.Fingerprint = 7
			task.handle(coltsfootlink.Delivery{Message: want})
			if test.reason != "" {
				So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
				return
			}
			asks := sender.takeAsks()
			So(asks, ShouldHaveLength, 1)
			So(asks[0].Trial != 0, ShouldEqual, test.probe)
		})
	}
	Convey("an answer clears the strikes against a request on all instances", t, func() {
		task, sender, _ := newTask()
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{{Fingerprint: 7, Target: "t-1", Deadline: task.Clock.Now().Add(time.Minute)}}}})
		task.running[1] = running{want: Want{Fingerprint: 7}, target: "t-1", owner: "i-a"}
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: 1, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded}})
		So(strikesTo(sender, "i-b").Strikes, ShouldResemble, []coltsfootlink.Strike{{Fingerprint: 7, Cleared: true}})
	})
}

// strikesTo returns the last strikes that were sent to an instance; none if there are none.
func strikesTo(sender *recorder, to coltsfootlink.InstanceName) coltsfootlink.Strikes {
	var last coltsfootlink.Strikes
	for _, sent := range sender.sent {
		if strikes, is := sent.Message.(coltsfootlink.Strikes); is && sent.From == to {
			last = strikes
		}
	}
	return last
}

// TestStrikesOutliveAllInstances guards against a request that is held back and crashes targets anew after all instances were killed.
func TestStrikesOutliveAllInstances(t *testing.T) {
	cases := map[string]struct {
		crashes int
		cleared bool
		after   time.Duration
		held    bool
	}{
		"one crash":                     {1, false, 0, false},
		"two crashes":                   {2, false, 0, true},
		"two crashes, then answered":    {2, true, 0, false},
		"two crashes that have expired": {2, false, health.StrikeTTL, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTask()
			task.CrashLog = mailbox.NewDeliveries()
			for crash := range test.crashes {
				task.handle(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{
					{Fingerprint: 7, Target: "t-1", Incarnation: uint64(crash + 1), Deadline: clock.now.Add(health.StrikeTTL)},
				}}})
			}
			if test.cleared {
				task.handle(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{{Fingerprint: 7, Cleared: true}}}})
			}
			var state crashlog.State
			for _, delivery := range task.CrashLog.Drain() {
				switch message := delivery.Message.(type) {
				case coltsfootlink.CrashesHeld:
					state = state.WithHeld(message)
				case coltsfootlink.CrashesVoid:
					state = state.WithVoid(message.Keys)
				}
			}
			records, removed := state.Changes(false)
			So(removed, ShouldHaveLength, map[bool]int{true: test.crashes}[test.cleared])
			restarted, _, clock := newTask()
			clock.now = clock.now.Add(test.after)
			restarted.handle(coltsfootlink.Delivery{Message: coltsfootlink.CrashesRead{Records: records}})
			So(restarted.strikes.Barred(clock.now, 7), ShouldEqual, test.held)
		})
	}
}
