package front

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/entry"
	"coltsfootlink/mailbox"
)

// TestRequestsThatTheEntryTaskLost holds for an entry task that failed with a request in hand, or answers too late.
func TestRequestsThatTheEntryTaskLost(t *testing.T) {
	cases := map[string]struct {
		leaves, late bool
		reason       coltsfootlink.Reason
	}{
		"lost, until the deadline":           {reason: coltsfootlink.PastDeadline},
		"lost, until the caller leaves":      {leaves: true, reason: coltsfootlink.CallerGone},
		"answered after the deadline":        {late: true, reason: coltsfootlink.PastDeadline},
		"answered after the caller has left": {leaves: true, late: true, reason: coltsfootlink.CallerGone},
	}
	for name, test := range cases {
		Convey("a request ends, and gives a permit back that comes late: "+name, t, func() {
			service := &Service{Clock: coltsfootlink.SystemClock{}, Entry: mailbox.NewDeliveries()}
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(50*time.Millisecond))
			defer cancel()
			if test.leaves {
				cancel()
			}
			asking := &call{service: service, request: coltsfootlink.Request{ID: "r", Deadline: time.Now()}}
			ended := make(chan entry.Decision, 1)
			go func() { ended <- asking.wait(ctx, false) }()
			var decision entry.Decision
			select {
			case decision = <-ended:
			case <-time.After(time.Second):
			}
			So(decision.Refusal, ShouldNotBeNil)
			So(decision.Refusal.Reason, ShouldEqual, test.reason)
			<-service.Entry.Ready()
			told := service.Entry.Drain()
			So(told, ShouldHaveLength, 2)
			So(told[1].Message, ShouldResemble, entry.Cancel{ID: "r"})
			if !test.late {
				return
			}
			permit := coltsfootlink.Permit{Target: "t"}
			told[0].Message.(entry.Acquire).Reply <- entry.Decision{Permit: permit}
			select {
			case <-service.Entry.Ready():
			case <-time.After(time.Second):
			}
			told = service.Entry.Drain()
			So(told, ShouldHaveLength, 1)
			So(told[0].Message, ShouldResemble, entry.Finish{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Unused}})
		})
	}
}
