package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/mailbox"
)

// TestForwarderStopsApplyToRequestsInProgress guards against requests that are sent to a target too late to end before the instance
// that forwards their connection, because its stop was announced after their heads.
func TestForwarderStopsApplyToRequestsInProgress(t *testing.T) {
	cases := map[string]struct {
		// beforeStop and afterStop are what the caller sends before and after the stop is announced.
		beforeStop, afterStop string
		// failFirst: the first target fails once the stop is announced, and the request is sent again.
		failFirst bool
	}{
		"its body is still coming": {"pl", "an", false},
		"it is sent again":         {"plan", "", true},
	}
	for name, test := range cases {
		Convey("the dispatcher knows when the forwarder ends: "+name, t, func() {
			service := newService(t, &fakeDispatcher{}, true)
			service.Dispatch = mailbox.NewDeliveries()
			callers, task, _ := startForwarder(t, service)
			caller := dialWithRetry(t, callers)
			defer func() { _ = caller.Close() }()
			announced := make(chan struct{})
			first := startWriter(t, func(conn net.Conn) {
				if test.failFirst {
					<-announced
					_ = conn.Close()
					return
				}
				_, _ = conn.Write([]byte(succeeded))
			})
			second := startTarget(t, "second", succeeded)
			wants := make(chan dispatch.Want, 2)
			go func() {
				targets := []*fakeTarget{first, second}
				for {
					select {
					case <-t.Context().Done():
						return
					case <-service.Dispatch.Ready():
					}
					for _, delivery := range service.Dispatch.Drain() {
						if want, is := delivery.Message.(dispatch.Want); is {
							want.Reply <- dispatch.Choice{Target: targets[0].Target}
							targets = targets[1:]
							wants <- want
						}
					}
				}
			}()
			_, err := io.WriteString(caller, "POST /safe/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 1500\r\nContent-Length: 4\r\n\r\n"+test.beforeStop)
			So(err, ShouldBeNil)
			for until := time.Now().Add(time.Second); service.Active() == 0 && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			endsAt := time.Now().Add(3 * time.Second)
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.Stopping{RefusesAt: time.Now().Add(time.Second), EndsAt: endsAt}})
			time.Sleep(50 * time.Millisecond)
			close(announced)
			_, err = io.WriteString(caller, test.afterStop)
			So(err, ShouldBeNil)
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			want := <-wants
			if test.failFirst {
				want = <-wants
			}
			So(want.ForwarderEndsAt, ShouldHappenWithin, 200*time.Millisecond, endsAt)
		})
	}
}
