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

// script is what a target does with each connection: it gets the requests' heads and writes bytes.
type script func(conn net.Conn, requests *bufio.Reader)

// startTarget runs a target that counts its connections until the test ends.
func startTarget(t *testing.T, act script) (coltsfootlink.Target, *atomic.Int32) {
	t.Helper()
	connections := new(atomic.Int32)
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		connections.Add(1)
		act(conn, bufio.NewReader(conn))
	})
	if err != nil {
		t.Fatal(err)
	}
	return coltsfootlink.Target{Name: "t", Address: address}, connections
}

// readRequest reads one request; false if the connection has ended.
func readRequest(requests *bufio.Reader) bool {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// answering writes the same bytes after each request.
func answering(text string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		for readRequest(requests) {
			_, _ = conn.Write([]byte(text))
		}
	}
}

// once writes bytes after the first request and closes the connection.
func once(text string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			_, _ = conn.Write([]byte(text))
		}
	}
}

func newClient(t *testing.T) *Client {
	t.Helper()
	keeper := &Keeper{Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	ctx := t.Context()
	go func() { _ = keeper.Run(ctx) }()
	return &Client{Clock: coltsfootlink.SystemClock{}, Keeper: keeper.Inbox}
}

func forwardTo(target coltsfootlink.Target, body string) platform.TargetRequest {
	incoming := httptest.NewRequest(http.MethodPost, "/a/b", strings.NewReader(body))
	incoming.RequestURI = "/a/b"
	return platform.TargetRequest{Incoming: incoming, Target: target, Deadline: time.Now().Add(time.Minute), Body: []byte(body)}
}

// call sends a request and reads the whole answer.
func call(t *testing.T, client *Client, target coltsfootlink.Target, repeatable bool) (string, error) {
	t.Helper()
	answer, err := client.Call(t.Context(), "r-1", forwardTo(target, "plan"), repeatable)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

const whole = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 4\r\n\r\nroof"

// TestAnswers holds for one request on a new connection.
func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		act  script
		body string
		fail bool
	}{
		"whole":                           {answering(whole), "roof", false},
		"in chunks":                       {answering("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n0\r\n\r\n"), "roof", false},
		"without a length":                {once("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n\r\nroof"), "roof", false},
		"after an interim answer":         {answering("HTTP/1.1 100 Continue\r\n\r\n" + whole), "roof", false},
		"after another request's answer":  {answering("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother" + whole), "roof", false},
		"only another request's answer":   {once("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother"), "", true},
		"another's answer without an end": {once("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\n\r\nother"), "", true},
		"shorter than it said":            {once("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 9\r\n\r\nroof"), "roof", true},
		"chunks without an end":           {once("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n"), "roof", true},
		"bytes that are no answer":        {answering("\x00\x01\x02\x03\r\n\r\n"), "", true},
		"nothing":                         {once(""), "", true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, _ := startTarget(t, test.act)
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
	Convey("a reset in an answer without a length is no end", t, func() {
		target, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n\r\nroof"))
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		_, err := call(t, newClient(t), target, true)
		So(err, ShouldNotBeNil)
	})
	Convey("nobody there", t, func() {
		target, _ := startTarget(t, once(""))
		target.Address = "127.0.0.1:1"
		_, err := call(t, newClient(t), target, true)
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Sent, ShouldBeFalse)
		So(failure.Result, ShouldEqual, coltsfootlink.Refused)
	})
}

// TestReuse holds for two requests in a row.
func TestReuse(t *testing.T) {
	cases := map[string]struct {
		act         script
		connections int32
	}{
		"a whole answer":                      {answering(whole), 1},
		"an answer that ends the connection":  {answering("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nroof"), 2},
		"bytes that nobody asked for":         {answering(whole + "HTTP/1.1 200 OK\r\n\r\n"), 2},
		"a target that closes at once":        {once(whole), 2},
		"a target that keeps for a moment":    {answering("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\nroof"), 2},
		"a target that names a longer time":   {answering("HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nroof"), 1},
		"an answer before the body was taken": {earlyAnswer, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, connections := startTarget(t, test.act)
			client := newClient(t)
			body := "plan"
			if name == "an answer before the body was taken" {
				body = strings.Repeat("plan", 4<<20)
			}
			for range 2 {
				answer, err := client.Call(t.Context(), "r-1", forwardTo(target, body), true)
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

// earlyAnswer answers before it has read the body.
func earlyAnswer(conn net.Conn, requests *bufio.Reader) {
	if _, err := http.ReadRequest(requests); err == nil {
		_, _ = conn.Write([]byte(whole))
		time.Sleep(time.Second)
	}
}

func TestOldConnections(t *testing.T) {
	cases := map[string]struct {
		repeatable  bool
		connections int32
	}{
		"a request that may be repeated takes one":  {true, 1},
		"a request that may run only once does not": {false, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, connections := startTarget(t, answering(whole))
			client := newClient(t)
			_, err := call(t, client, target, true)
			So(err, ShouldBeNil)
			time.Sleep(freshSpan + 100*time.Millisecond)
			_, err = call(t, client, target, test.repeatable)
			So(err, ShouldBeNil)
			So(connections.Load(), ShouldEqual, test.connections)
		})
	}
}

func TestCallerLeaves(t *testing.T) {
	Convey("the target sees at once that nobody waits any more", t, func() {
		gone := make(chan struct{})
		target, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			_, _ = conn.Read(make([]byte, 1))
			close(gone)
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := newClient(t).Call(ctx, "r-1", forwardTo(target, "plan"), true)
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Result, ShouldEqual, coltsfootlink.Cancelled)
		<-gone
	})
}

func TestGoneTargets(t *testing.T) {
	Convey("idle connections to targets that are gone are closed", t, func() {
		closed := make(chan struct{})
		target, _ := startTarget(t, func(conn net.Conn, requests *bufio.Reader) {
			answering(whole)(conn, requests)
			close(closed)
		})
		client := newClient(t)
		_, err := call(t, client, target, true)
		So(err, ShouldBeNil)
		client.Keeper.Put(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{}})
		<-closed
	})
}

func TestGivenUp(t *testing.T) {
	Convey("what waits to be sent does not reach the target after the caller has left", t, func() {
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
		_, err := newClient(t).Call(ctx, "r-1", forwardTo(target, strings.Repeat("plan", 4<<20)), true)
		So(err, ShouldNotBeNil)
		close(read)
		So(<-end, ShouldNotBeNil)
	})
}
