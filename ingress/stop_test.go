package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

// TestRequestsInProgressAtTheEndAreSentToNoTarget guards against requests that were accepted before the end of the instance, are
// sent to a target after it, and are given up at once.
func TestRequestsInProgressAtTheEndAreSentToNoTarget(t *testing.T) {
	cases := map[string]struct {
		path string
		// bodyAfterEnd: the body ends after the instance's end; otherwise the dispatcher offers a target after it.
		bodyAfterEnd bool
	}{
		"must not run twice, body ends late":  {"/unsafe/a", true},
		"may run twice, body ends late":       {"/safe/a", true},
		"a stream, body ends late":            {"/stream/a", true},
		"must not run twice, late target":     {"/unsafe/a", false},
		"a stream that waits, target is late": {"/stream/a", false},
	}
	for name, test := range cases {
		Convey("a request without a target at the end is refused and not run: "+name, t, func() {
			executions := new(atomic.Int64)
			address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
				// The connection is kept, so that the requests after the first need no new one.
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					executions.Add(1)
					_, _ = io.WriteString(conn, succeeded)
				}
			})
			So(err, ShouldBeNil)
			target := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Pool: "p", Address: address}}
			for range 20 {
				ending, end := context.WithCancel(t.Context())
				defer end()
				endsBeforeReply := new(atomic.Bool)
				dispatcher := &fakeDispatcher{targets: []*fakeTarget{target}, beforeReply: func() {
					if endsBeforeReply.Load() {
						end()
					}
				}}
				service := newService(t, dispatcher, true)
				service.Ending = ending
				conn := dialWithRetry(t, serveFiltered(t, service, nil))
				response, _, err := roundTrip(conn, test.path, time.Minute)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusOK)
				before := executions.Load()
				endsBeforeReply.Store(!test.bodyAfterEnd)
				_, err = io.WriteString(conn, "POST "+test.path+" HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 1500\r\nContent-Length: 4\r\n\r\npl")
				So(err, ShouldBeNil)
				time.Sleep(20 * time.Millisecond)
				So(service.Active(), ShouldEqual, 1)
				if test.bodyAfterEnd {
					end()
				}
				_, err = io.WriteString(conn, "an")
				So(err, ShouldBeNil)
				response, err = http.ReadResponse(bufio.NewReader(conn), nil)
				So(err, ShouldBeNil)
				_ = response.Body.Close()
				_ = conn.Close()
				So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
				So(executions.Load(), ShouldEqual, before)
			}
		})
	}
}
