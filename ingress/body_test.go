package ingress

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/pressure"
)

// TestRequestsWithIncompleteBodiesAreAnswered checks that a caller that sends only the headers and part of the body gets
// an answer, at the latest when the request's deadline passes.
func TestRequestsWithIncompleteBodiesAreAnswered(t *testing.T) {
	overloaded := pressure.State{}
	for range 100 {
		overloaded = overloaded.WithWait(time.Second)
	}
	noShare := coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team"}}}
	cases := map[string]struct {
		path, key    string
		maxWaiting   int64
		shares       coltsfootlink.Shares
		state        pressure.State
		tableMissing bool
		status       string
		sheds        int
	}{
		"admitted":                                   {path: "/safe/a", maxWaiting: 10, status: "HTTP/1.1 408"},
		"refused because no slot is free":            {path: "/private/a", key: "key", status: "HTTP/1.1 503", sheds: 1},
		"refused for lack of CPU":                    {path: "/private/a", key: "key", maxWaiting: 10, shares: coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team", Surplus: 1}}}, state: overloaded, status: "HTTP/1.1 503", sheds: 1},
		"refused because the team exceeds its share": {path: "/private/a", key: "key", maxWaiting: 10, shares: noShare, status: "HTTP/1.1 503", sheds: 1},
		"an unknown key":                             {path: "/private/a", key: "guess", maxWaiting: 10, status: "HTTP/1.1 401"},
		"no route":                                   {path: "/novel/a", maxWaiting: 10, status: "HTTP/1.1 404"},
		"no configuration has been loaded":           {path: "/safe/a", maxWaiting: 10, tableMissing: true, status: "HTTP/1.1 503"},
	}
	for name, test := range cases {
		Convey("a request with an incomplete body is answered and its connection closed: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxWaiting: test.maxWaiting}
			address := startUndispatched(t, service, test.shares)
			service.Gate.pressure.Store(&test.state)
			if test.tableMissing {
				service.Gate.catalog.Store(&coltsfootlink.Catalog{})
			}
			conn := beginRequest(t, address, rawRequest{path: test.path, key: test.key, bodySent: 1, timeLeft: 300 * time.Millisecond})
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So("HTTP/1.1 "+response.Status, ShouldStartWith, test.status)
			So(response.Close, ShouldBeTrue)
			So(waitForCount(&service.active, 0), ShouldEqual, 0)
			So(messageKinds(service)["dispatch.Shed"], ShouldEqual, test.sheds)
		})
	}
}

// TestReadDeadlineDoesNotAffectTheNextRequest sends two requests on one connection; the second takes longer than the
// read deadline of the first allows.
func TestReadDeadlineDoesNotAffectTheNextRequest(t *testing.T) {
	cases := map[string]struct {
		first, second rawRequest
		status        int
	}{
		"admitted":              {first: rawRequest{path: "/safe/a", bodySent: 4}, second: rawRequest{path: "/safe/a", bodySent: 4}, status: 503},
		"admitted without body": {first: rawRequest{path: "/safe/a", bodiless: true}, second: rawRequest{path: "/safe/a", bodiless: true}, status: 503},
		"refused":               {first: rawRequest{path: "/novel/a", bodySent: 4}, second: rawRequest{path: "/safe/a", bodySent: 4}, status: 404},
		"refused without body":  {first: rawRequest{path: "/novel/a", bodiless: true}, second: rawRequest{path: "/safe/a", bodiless: true}, status: 404},
	}
	for name, test := range cases {
		Convey("the read deadline of one body affects neither the next request nor its answer: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxWaiting: 1}
			test.first.timeLeft, test.second.timeLeft = 300*time.Millisecond, 1500*time.Millisecond
			conn := beginRequest(t, startUndispatched(t, service, coltsfootlink.Shares{}), test.first)
			reader := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.Close, ShouldBeFalse)
			service.Dispatch.Drain()
			test.second.send(conn)
			So(waitForCount(&service.waiting, 1), ShouldEqual, 1)
			// Longer than the first request's time limit, and than discardTimeout.
			time.Sleep(600 * time.Millisecond)
			So(service.waiting.Load(), ShouldEqual, 1)
			wants := service.Dispatch.Drain()
			So(wants, ShouldHaveLength, 1)
			wants[0].Message.(dispatch.Want).Reply <- dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.TargetFull, "full")}
			response, err = http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
		})
	}
}

func TestExpiredRequestsAreRefusedAndConnectionsKept(t *testing.T) {
	cases := map[string]rawRequest{
		"with a body":    {path: "/safe/a", bodySent: 4},
		"without a body": {path: "/safe/a", bodiless: true},
	}
	for name, test := range cases {
		Convey("an expired request is answered and its connection kept open: "+name, t, func() {
			test.timeLeft = 0
			conn := beginRequest(t, startUndispatched(t, &Service{MaxActive: 100, MaxWaiting: 1}, coltsfootlink.Shares{}), test)
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
			So(response.Close, ShouldBeFalse)
		})
	}
}

// deadlineRecorder is a response writer that records the read deadlines set on it.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetReadDeadline records a deadline.
func (writer *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	writer.deadlines = append(writer.deadlines, deadline)
	return nil
}

func TestReadDeadlineIsClearedAfterTheBody(t *testing.T) {
	deadline := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		body      io.ReadCloser
		deadlines []time.Time
	}{
		"complete body: deadline is cleared":                          {io.NopCloser(strings.NewReader("plan")), []time.Time{deadline, {}}},
		"truncated body: deadline stays while the server drains it":   {io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF)), []time.Time{deadline}},
		"no body: the server already reads ahead, no deadline is set": {http.NoBody, nil},
	}
	for name, test := range cases {
		Convey("the read deadline applies only to the body: "+name, t, func() {
			writer := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			current := &exchange{writer: writer, incoming: &http.Request{Body: test.body}, maxBodyBytes: 1000}
			_ = current.receive(deadline, func(body io.Reader) error {
				_, err := io.Copy(io.Discard, body)
				return err
			})
			So(writer.deadlines, ShouldResemble, test.deadlines)
		})
	}
}
