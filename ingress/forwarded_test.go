package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/relay"
	"coltsfootlink/web"
)

// startForwarder starts an instance that forwards all its callers' connections to one other instance, which the service serves.
// It returns its callers' address, its relay, and a function that ends it.
func startForwarder(t *testing.T, service *Service) (string, *relay.Task, func()) {
	t.Helper()
	receiver, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	callers, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	host, port, err := net.SplitHostPort(receiver)
	So(err, ShouldBeNil)
	task := &relay.Task{
		Self: coltsfootlink.Instance{Name: "forwarder", Zone: "z"}, Port: port, MaxOpen: 100, MaxOpening: 10,
		Draw: func() float64 { return 0 }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop(),
	}
	var busy pressure.State
	for range 30 {
		busy = busy.WithWait(time.Second)
	}
	other := coltsfootlink.Instance{Name: "other", Zone: "z", PeerAddress: net.JoinHostPort(host, "1")}
	view := coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: other, Live: true}}}
	task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
	task.Inbox.Put(coltsfootlink.Delivery{Message: pressure.Changed{State: busy}})
	ctx, end := context.WithCancel(t.Context())
	t.Cleanup(end)
	go func() { _ = task.Run(ctx) }()
	server := func(address string, handler http.Handler, filter coltsfootlink.ConnectionFilter) {
		served := &web.Server{Part: "test", Address: address, Handler: handler, ConnectionFilter: filter, Log: zerolog.Nop()}
		go func() { _ = served.Run(t.Context()) }()
	}
	server(receiver, service, relay.Receiver{Full: func() bool { return false }})
	server(callers, http.NotFoundHandler(), task)
	for _, address := range []string{receiver, callers} {
		_ = dialWithRetry(t, address).Close()
	}
	for deadline := time.Now().Add(5 * time.Second); !task.ShouldForward() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return callers, task, end
}

// roundTrip sends a request with the time that its caller waits on a connection, and reads the answer.
func roundTrip(conn net.Conn, path string, left time.Duration) (*http.Response, string, error) {
	const body = "plan"
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", path, left.Milliseconds(), len(body), body)
	if err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text := new(strings.Builder)
	_, err = bufio.NewReader(response.Body).WriteTo(text)
	return response, text.String(), err
}

// TestForwardedRequestsAreNotCutAtTheEndOfTheForwarder guards against requests that are accepted on a forwarded connection though
// the instance that forwards it ends before the answer.
func TestForwardedRequestsAreNotCutAtTheEndOfTheForwarder(t *testing.T) {
	const untilEnd = 600 * time.Millisecond
	cases := map[string]struct {
		work, left time.Duration
		status     int
	}{
		"the answer ends in time":                {10 * time.Millisecond, untilEnd / 2, http.StatusOK},
		"the deadline lies after the end":        {10 * time.Millisecond, time.Minute, http.StatusServiceUnavailable},
		"the answer would come after the end":    {2 * untilEnd, time.Minute, http.StatusServiceUnavailable},
		"the answer would come after a deadline": {2 * untilEnd, untilEnd / 2, http.StatusGatewayTimeout},
	}
	for name, test := range cases {
		Convey("a request on a forwarded connection gets a whole answer or is not run: "+name, t, func() {
			first := startTarget(t, "t", succeeded)
			executions := new(atomic.Int64)
			late := startWriter(t, func(conn net.Conn) {
				executions.Add(1)
				time.Sleep(test.work)
				_, _ = conn.Write([]byte(succeeded))
			})
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{first}}
			callers, task, end := startForwarder(t, newService(t, dispatcher, true))
			caller := dialWithRetry(t, callers)
			defer func() { _ = caller.Close() }()
			response, text, err := roundTrip(caller, "/unsafe/a", time.Minute)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			So(text, ShouldEqual, "roof")
			dispatcher.targets = []*fakeTarget{late}
			endsAt := time.Now().Add(untilEnd)
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.Leave{}})
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.Stopping{EndsAt: endsAt}})
			time.Sleep(50 * time.Millisecond)
			time.AfterFunc(time.Until(endsAt), end)
			response, text, err = roundTrip(caller, "/unsafe/a", test.left)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, test.status)
			if test.status == http.StatusOK {
				So(text, ShouldEqual, "roof")
			}
			So(response.Close, ShouldBeTrue)
			So(executions.Load() == 0, ShouldEqual, test.status == http.StatusServiceUnavailable)
		})
	}
}

// TestRequestsAfterTheEndReachNoTarget guards against requests that are sent to a target and given up at once, because the
// instance has already ended its requests.
func TestRequestsAfterTheEndReachNoTarget(t *testing.T) {
	for name, path := range map[string]string{"must not run twice": "/unsafe/a", "may run twice": "/safe/a", "is a stream": "/stream/a"} {
		Convey("a request that comes after the end is refused and not run: "+name, t, func() {
			fake := startTarget(t, "t", succeeded)
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{fake}}, true)
			ending, end := context.WithCancel(t.Context())
			service.Ending = ending
			end()
			callers := serveFiltered(t, service, nil)
			for range 50 {
				conn := dialWithRetry(t, callers)
				response, _, err := roundTrip(conn, path, time.Minute)
				_ = conn.Close()
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
				So(fake.received(), ShouldBeEmpty)
				So(response.Close, ShouldBeTrue)
			}
		})
	}
}
