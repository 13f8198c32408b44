package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
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
		"one joins when the strike has expired": {"i-c", strikeTTL, false},
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
