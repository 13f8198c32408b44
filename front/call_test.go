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

// TestRequestsEndWithoutDecision checks that a request ends by itself if the entry task fails while it has the request, or
// replies too late, and that a permit granted too late is released.
func TestRequestsEndWithoutDecision(t *testing.T) {
	cases := map[string]struct {
		callerGone, lateDecision bool
		reason                   coltsfootlink.Reason
	}{
		"no decision before the deadline":           {reason: coltsfootlink.PastDeadline},
		"no decision before the caller disconnects": {callerGone: true, reason: coltsfootlink.CallerGone},
		"decision after the deadline":               {lateDecision: true, reason: coltsfootlink.PastDeadline},
		"decision after the caller disconnected":    {callerGone: true, lateDecision: true, reason: coltsfootlink.CallerGone},
	}
	for name, test := range cases {
		Convey("the request is refused, and a permit granted too late is released: "+name, t, func() {
			service := &Service{Clock: coltsfootlink.SystemClock{}, Entry: mailbox.NewDeliveries()}
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(50*time.Millisecond))
			defer cancel()
			if test.callerGone {
				cancel()
			}
			waiting := &call{service: service, request: coltsfootlink.Request{ID: "r", Deadline: time.Now()}}
			ended := make(chan entry.Decision, 1)
			go func() { ended <- waiting.acquire(ctx, false) }()
			var decision entry.Decision
			select {
			case decision = <-ended:
			case <-time.After(time.Second):
			}
			So(decision.Refusal, ShouldNotBeNil)
			So(decision.Refusal.Reason, ShouldEqual, test.reason)
			<-service.Entry.Ready()
			messages := service.Entry.Drain()
			So(messages, ShouldHaveLength, 2)
			So(messages[1].Message, ShouldResemble, entry.Cancel{ID: "r"})
			if !test.lateDecision {
				return
			}
			permit := coltsfootlink.Permit{Target: "t"}
			messages[0].Message.(entry.Acquire).Reply <- entry.Decision{Permit: permit}
			select {
			case <-service.Entry.Ready():
			case <-time.After(time.Second):
			}
			messages = service.Entry.Drain()
			So(messages, ShouldHaveLength, 1)
			So(messages[0].Message, ShouldResemble, entry.Finish{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Unused}})
		})
	}
}
