package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/web"
)

// TestStopsThatAreReadLateKeepTheirTime guards against a receiver that takes the forwarder's end for later than it is, because it
// reads the announcement late.
func TestStopsThatAreReadLateKeepTheirTime(t *testing.T) {
	const readAfter, tolerance = 500 * time.Millisecond, 150 * time.Millisecond
	cases := map[string]string{
		"the receiver does not read meanwhile":     "",
		"bytes of the caller wait before the stop": "GET /next HTTP/1.1\r\n",
	}
	for name, waiting := range cases {
		Convey("the end of the forwarder is not put off by the time for which its announcement waits: "+name, t, func() {
			task := &Task{Clock: coltsfootlink.SystemClock{}}
			caller, here := pair(t)
			there, other := pair(t)
			received := Receiver{Full: never}.Admit(other, nil).(*forwardedConn)
			go (&forwarding{task: task, caller: here}).copyBoth(t.Context(), there)
			_, err := io.WriteString(caller, waiting)
			So(err, ShouldBeNil)
			time.Sleep(50 * time.Millisecond)
			endsAt := time.Now().Add(2 * time.Second)
			task.shutdown.announce(coltsfootlink.Stopping{RefusesAt: time.Now().Add(time.Second), EndsAt: endsAt})
			time.Sleep(readAfter)
			So(received.SetReadDeadline(time.Now().Add(100*time.Millisecond)), ShouldBeNil)
			for err == nil {
				_, err = received.Read(make([]byte, 64))
			}
			So(received.Stopping().EndsAt, ShouldHappenBefore, endsAt.Add(tolerance))
		})
	}
}

// TestForwardedRequestsAreAnsweredAtTheEndOfTheForwarder guards against a request whose response has not begun at the end of the
// forwarder, and whose connection is reset instead of answered. An instance answers its own requests then, too.
func TestForwardedRequestsAreAnsweredAtTheEndOfTheForwarder(t *testing.T) {
	cases := map[string]struct {
		path   string
		status int
	}{
		"the response has not begun":                     {"/waits", http.StatusBadGateway},
		"the response has begun and must not look whole": {"/begun", 0},
	}
	for name, test := range cases {
		Convey("a caller gets an answer, or sees that its answer broke off: "+name, t, func() {
			address, callers := freeAddress(t), freeAddress(t)
			handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/begun" {
					_, _ = io.WriteString(writer, "be")
					_ = http.NewResponseController(writer).Flush()
				}
				<-request.Context().Done()
			})
			serve(t, &web.Server{Address: address, Handler: handler, ConnectionFilter: Receiver{Full: never}})
			task := startTask(t, shortOfCPU(30), address)
			ctx, end := context.WithCancel(t.Context())
			task.runContext.Store(&ctx)
			serve(t, &web.Server{Address: callers, Handler: echo("here"), ConnectionFilter: task})
			time.Sleep(2 * refusalBackoff)
			conn, err := net.Dial("tcp", callers)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET "+test.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			So(err, ShouldBeNil)
			time.AfterFunc(200*time.Millisecond, end)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			if test.status == 0 {
				_, err = io.ReadAll(response.Body)
				So(err, ShouldNotBeNil)
				return
			}
			So(response.StatusCode, ShouldEqual, test.status)
		})
	}
}

// TestPipelinedRequestsDoNotEndAnAnswer guards against a 502 that is written into the body of an answer that broke off, because the
// caller had already sent its next request.
func TestPipelinedRequestsDoNotEndAnAnswer(t *testing.T) {
	cases := map[string]bool{
		"the caller waits for its answer":      false,
		"the caller has sent its next request": true,
	}
	for name, pipelined := range cases {
		Convey("an answer that breaks off does not look whole: "+name, t, func() {
			address, callers := freeAddress(t), freeAddress(t)
			begun := make(chan struct{})
			handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", strconv.Itoa(len("be"+badGateway)))
				_, _ = io.WriteString(writer, "be")
				_ = http.NewResponseController(writer).Flush()
				<-begun
				time.Sleep(100 * time.Millisecond)
				panic(http.ErrAbortHandler)
			})
			serve(t, &web.Server{Address: address, Handler: handler, ConnectionFilter: Receiver{Full: never}})
			task := startTask(t, shortOfCPU(30), address)
			serve(t, &web.Server{Address: callers, Handler: echo("here"), ConnectionFilter: task})
			time.Sleep(2 * refusalBackoff)
			conn, err := net.Dial("tcp", callers)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			_, err = io.WriteString(conn, request)
			So(err, ShouldBeNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			if pipelined {
				_, err = io.WriteString(conn, request)
				So(err, ShouldBeNil)
			}
			close(begun)
			_, err = io.ReadAll(response.Body)
			So(err, ShouldNotBeNil)
		})
	}
}
