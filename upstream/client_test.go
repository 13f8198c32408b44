package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
)

// behaviour is what a test target does on each connection; requests reads what the client sends.
type behaviour func(conn net.Conn, requests *bufio.Reader)

// startTarget runs a target until the test ends and returns it with the number of its connections.
func startTarget(t *testing.T, behave behaviour) (coltsfootlink.Target, *atomic.Int32) {
	t.Helper()
	connections := new(atomic.Int32)
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		connections.Add(1)
		behave(conn, bufio.NewReader(conn))
	})
	if err != nil {
		t.Fatal(err)
	}
	return coltsfootlink.Target{Name: "t", Address: address}, connections
}

// readRequest reads one request and reports whether a complete one came.
func readRequest(requests *bufio.Reader) bool {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// answerEach writes text after each request.
func answerEach(text string) behaviour {
	return func(conn net.Conn, requests *bufio.Reader) {
		for readRequest(requests) {
			_, _ = conn.Write([]byte(text))
		}
	}
}

// answerOnce writes text after the first request and closes the connection.
func answerOnce(text string) behaviour {
	return func(conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			_, _ = conn.Write([]byte(text))
		}
	}
}

func newClient(t *testing.T) *Client {
	t.Helper()
	pool := &ConnPool{Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	ctx := t.Context()
	go func() { _ = pool.Run(ctx) }()
	return &Client{Clock: coltsfootlink.SystemClock{}, ConnPool: pool.Inbox}
}

func requestTo(target coltsfootlink.Target, body string) platform.TargetRequest {
	incoming := httptest.NewRequest(http.MethodPost, "/a/b", strings.NewReader(body))
	incoming.RequestURI = "/a/b"
	return platform.TargetRequest{Incoming: incoming, Target: target, Deadline: time.Now().Add(time.Minute), Body: []byte(body)}
}

// call sends a request and returns the body of its answer.
func call(t *testing.T, client *Client, target coltsfootlink.Target, repeatable bool) (string, error) {
	t.Helper()
	answer, err := client.Call(t.Context(), "r-1", requestTo(target, "plan"), repeatable)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

const completeAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 4\r\n\r\nroof"

// TestCall sends one request on a new connection.
func TestCall(t *testing.T) {
	cases := map[string]struct {
		behave behaviour
		body   string
		fail   bool
	}{
		"a complete answer":                                          {answerEach(completeAnswer), "roof", false},
		"a chunked answer":                                           {answerEach("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n0\r\n\r\n"), "roof", false},
		"an answer that ends with the connection":                    {answerOnce("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n\r\nroof"), "roof", false},
		"an answer after an interim one":                             {answerEach("HTTP/1.1 100 Continue\r\n\r\n" + completeAnswer), "roof", false},
		"an answer after one to another request":                     {answerEach("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother" + completeAnswer), "roof", false},
		"only an answer to another request":                          {answerOnce("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother"), "", true},
		"an answer to another request that ends with the connection": {answerOnce("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\n\r\nother"), "", true},
		"a body shorter than its Content-Length":                     {answerOnce("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 9\r\n\r\nroof"), "roof", true},
		"a chunked answer without the last chunk":                    {answerOnce("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n"), "roof", true},
		"bytes that are not HTTP":                                    {answerEach("\x00\x01\x02\x03\r\n\r\n"), "", true},
		"a connection that ends without an answer":                   {answerOnce(""), "", true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, _ := startTarget(t, test.behave)
			body, err := call(t, newClient(t), target, true)
			So(body, ShouldEqual, test.body)
			So(err != nil, ShouldEqual, test.fail)
			var failure *coltsfootlink.CallError
			if errors.As(err, &failure) {
				So(failure.Sent, ShouldBeTrue)
				So(failure.Result, ShouldEqual, coltsfootlink.Crashed)
			}
		})
	}
	Convey("an answer that ends with the connection is not complete if the connection is reset", t, func() {
		target, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n\r\nroof"))
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		_, err := call(t, newClient(t), target, true)
		So(err, ShouldNotBeNil)
	})
	Convey("a target that refuses connections", t, func() {
		target, _ := startTarget(t, answerOnce(""))
		target.Address = "127.0.0.1:1"
		_, err := call(t, newClient(t), target, true)
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Sent, ShouldBeFalse)
		So(failure.Result, ShouldEqual, coltsfootlink.Refused)
	})
}

// TestConnectionReuse counts the connections that two requests in a row use.
func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		behave      behaviour
		connections int32
	}{
		"a complete answer":                                    {answerEach(completeAnswer), 1},
		"an answer with Connection: close":                     {answerEach("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nroof"), 2},
		"unrequested bytes after the answer":                   {answerEach(completeAnswer + "HTTP/1.1 200 OK\r\n\r\n"), 2},
		"a target that closes the connection after its answer": {answerOnce(completeAnswer), 2},
		"a Keep-Alive timeout no longer than the margin":       {answerEach("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\nroof"), 2},
		"a Keep-Alive timeout longer than the margin":          {answerEach("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nroof"), 1},
		"an answer before the body was read":                   {answerBeforeBody, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, connections := startTarget(t, test.behave)
			client := newClient(t)
			body := "plan"
			if name == "an answer before the body was read" {
				body = strings.Repeat("plan", 4<<20)
			}
			for range 2 {
				answer, err := client.Call(t.Context(), "r-1", requestTo(target, body), true)
				So(err, ShouldBeNil)
				text, err := io.ReadAll(answer.Body)
				So(err, ShouldBeNil)
				So(string(text), ShouldEqual, "roof")
				So(answer.Body.Close(), ShouldBeNil)
				time.Sleep(20 * time.Millisecond)
			}
			So(connections.Load(), ShouldEqual, test.connections)
		})
	}
}

// answerBeforeBody answers after the head of the request, without reading its body.
func answerBeforeBody(conn net.Conn, requests *bufio.Reader) {
	if _, err := http.ReadRequest(requests); err == nil {
		_, _ = conn.Write([]byte(completeAnswer))
		time.Sleep(time.Second)
	}
}

func TestReuseAfterIdling(t *testing.T) {
	cases := map[string]struct {
		repeatable  bool
		connections int32
	}{
		"a repeatable request uses a connection that was idle for long": {true, 1},
		"a request that is not repeatable opens a new one":              {false, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, connections := startTarget(t, answerEach(completeAnswer))
			client := newClient(t)
			_, err := call(t, client, target, true)
			So(err, ShouldBeNil)
			time.Sleep(maxIdleNonRepeatable + 100*time.Millisecond)
			_, err = call(t, client, target, test.repeatable)
			So(err, ShouldBeNil)
			So(connections.Load(), ShouldEqual, test.connections)
		})
	}
}

func TestCallerDisconnects(t *testing.T) {
	Convey("the connection to the target is closed as soon as the caller disconnects", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan struct{})
		target, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			cancel()
			_, _ = conn.Read(make([]byte, 1))
			close(gone)
		})
		_, err := newClient(t).Call(ctx, "r-1", requestTo(target, "plan"), true)
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Result, ShouldEqual, coltsfootlink.Cancelled)
		<-gone
	})
}

func TestRemovedTargets(t *testing.T) {
	Convey("idle connections to targets that left the catalog are closed", t, func() {
		closed := make(chan struct{})
		target, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			answerEach(completeAnswer)(conn, requests)
			close(closed)
		})
		client := newClient(t)
		_, err := call(t, client, target, true)
		So(err, ShouldBeNil)
		client.ConnPool.Put(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{}})
		<-closed
	})
}

func TestAbortDropsUnsentBytes(t *testing.T) {
	Convey("bytes that are still unsent when the caller disconnects never reach the target", t, func() {
		end := make(chan error, 1)
		read, accepted := make(chan struct{}), make(chan struct{})
		target, _ := startTarget(t, func(conn net.Conn, _ *bufio.Reader) {
			close(accepted)
			<-read
			_, err := io.Copy(io.Discard, conn)
			end <- err
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-accepted
			time.Sleep(50 * time.Millisecond)
			cancel()
		}()
		_, err := newClient(t).Call(ctx, "r-1", requestTo(target, strings.Repeat("plan", 4<<20)), true)
		So(err, ShouldNotBeNil)
		close(read)
		So(<-end, ShouldNotBeNil)
	})
}
