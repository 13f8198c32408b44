package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

// startWriter starts a target that answers each request by calling write with the connection.
func startWriter(t *testing.T, write func(conn net.Conn)) *fakeTarget {
	t.Helper()
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			write(conn)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeTarget{Target: coltsfootlink.Target{Name: "t", Pool: "p", Address: address}}
}

const streamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestSlowStreamsEndWholeAndStalledOnesAtTheDeadline plays targets whose callers wait for 700 ms.
func TestSlowStreamsEndWholeAndStalledOnesAtTheDeadline(t *testing.T) {
	slowly := func(conn net.Conn, gap time.Duration, texts ...string) {
		_, _ = conn.Write([]byte(streamHead))
		for _, text := range texts {
			time.Sleep(gap)
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
	}
	trickle := func(head, text string) func(conn net.Conn) {
		return func(conn net.Conn) {
			_, _ = conn.Write([]byte(head))
			for range 200 {
				time.Sleep(20 * time.Millisecond)
				if _, err := conn.Write([]byte(text)); err != nil {
					return
				}
			}
		}
	}
	whole := []string{chunk(eventText(1)), chunk(eventText(2)), "0\r\n\r\n"}
	cases := map[string]struct {
		write func(conn net.Conn)
		whole bool
	}{
		"events far apart":   {func(conn net.Conn) { slowly(conn, 150*time.Millisecond, whole...) }, true},
		"a late first event": {func(conn net.Conn) { slowly(conn, 500*time.Millisecond, strings.Join(whole, "")) }, true},
		"an event in small pieces": {func(conn net.Conn) {
			slowly(conn, 15*time.Millisecond, append(strings.SplitAfter(strings.TrimSuffix(chunk(eventText(1)), "\r\n"), ""), "\r\n", "0\r\n\r\n")...)
		}, true},
		"no byte after the head":           {func(conn net.Conn) { slowly(conn, 0); time.Sleep(4 * time.Second) }, false},
		"no byte after an event":           {func(conn net.Conn) { slowly(conn, 0, chunk(eventText(1))); time.Sleep(4 * time.Second) }, false},
		"a byte now and then":              {trickle(streamHead, chunk("x")), false},
		"a comment now and then":           {trickle(streamHead+chunk(eventText(1)), chunk(":\n")), false},
		"a byte now and then, of the head": {trickle("HTTP/1.1 200 OK\r\nX: ", "x"), false},
		"an interim answer now and then":   {trickle("", "HTTP/1.1 102 Processing\r\n\r\n"), false},
		"a byte now and then, of a length": {trickle(strings.Replace(streamHead, "Transfer-Encoding: chunked", "Content-Length: 5000", 1), "x"), false},
	}
	for name, test := range cases {
		for _, path := range []string{"/stream/a", "/resumable/a"} {
			Convey("a slow stream is forwarded whole, a stalled one ends visibly at its deadline: "+name+", "+path, t, func() {
				dispatcher := &fakeDispatcher{targets: []*fakeTarget{startWriter(t, test.write)}}
				service := newService(t, dispatcher, true)
				server := httptest.NewServer(service)
				defer server.Close()
				startedAt := time.Now()
				status, _, body, err := requestWith(t, server.URL, path, "plan", http.Header{"Time-Left-Ms": {"700"}})
				So(time.Since(startedAt), ShouldBeLessThan, 1100*time.Millisecond)
				if test.whole {
					So(err, ShouldBeNil)
					So(status, ShouldEqual, http.StatusOK)
					So(body, ShouldStartWith, eventText(1))
					return
				}
				So(err != nil || status >= http.StatusInternalServerError, ShouldBeTrue)
				So(status, ShouldNotEqual, http.StatusServiceUnavailable)
			})
		}
	}
}

// TestCallersThatStopReading checks that a caller that asks for a long answer and does not read it holds nothing after its
// deadline.
func TestCallersThatStopReading(t *testing.T) {
	endless := func(conn net.Conn) {
		_, _ = conn.Write([]byte(streamHead))
		for {
			if _, err := conn.Write([]byte(chunk(strings.Repeat(eventText(1), 500)))); err != nil {
				return
			}
		}
	}
	for _, path := range []string{"/stream/a", "/safe/a"} {
		Convey("the request ends at its deadline: "+path, t, func() {
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startWriter(t, endless)}}, true)
			server := httptest.NewServer(service)
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 500\r\nContent-Length: 4\r\n\r\nplan")
			So(err, ShouldBeNil)
			time.Sleep(200 * time.Millisecond)
			So(service.Active(), ShouldEqual, 1)
			time.Sleep(1500 * time.Millisecond)
			So(service.Active(), ShouldEqual, 0)
		})
	}
}

// TestRequestsAtTheEndOfTheInstance checks how requests end that are in progress when a planned stop has run out of time.
func TestRequestsAtTheEndOfTheInstance(t *testing.T) {
	silent := func(net.Conn) { time.Sleep(4 * time.Second) }
	halfStream := func(conn net.Conn) {
		_, _ = conn.Write([]byte(streamHead + chunk(eventText(1))))
		time.Sleep(4 * time.Second)
	}
	cases := map[string]struct {
		path   string
		write  func(net.Conn)
		waits  bool
		status int
		cut    bool
	}{
		"no target yet":                       {"/unsafe/a", silent, true, http.StatusServiceUnavailable, false},
		"sent to a target":                    {"/unsafe/a", silent, false, http.StatusGatewayTimeout, false},
		"sent to a target, may run once more": {"/safe/a", silent, false, http.StatusGatewayTimeout, false},
		"a stream without its first event":    {"/stream/a", silent, false, http.StatusGatewayTimeout, false},
		"a stream after its first event":      {"/stream/a", halfStream, false, http.StatusOK, true},
	}
	for name, test := range cases {
		Convey("each gets an answer that is true, or ends visibly: "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startWriter(t, test.write)}, neverReplies: test.waits}
			service := newService(t, dispatcher, true)
			ending, end := context.WithCancel(t.Context())
			service.Ending = ending
			server := httptest.NewServer(service)
			defer server.Close()
			time.AfterFunc(200*time.Millisecond, end)
			startedAt := time.Now()
			status, _, _, err := request(t, server.URL, test.path, "plan", "")
			So(time.Since(startedAt), ShouldBeLessThan, time.Second)
			So(status, ShouldEqual, test.status)
			So(err != nil, ShouldEqual, test.cut)
		})
	}
}
