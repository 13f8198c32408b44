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

// TestBodiesThatDoNotCome holds for callers that send the head and a part of the body, and nothing more.
func TestBodiesThatDoNotCome(t *testing.T) {
	behind := pressure.State{}
	for range 100 {
		behind = behind.WithWait(time.Second)
	}
	none := coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team"}}}
	cases := map[string]struct {
		path, key string
		choosing  int64
		shares    coltsfootlink.Shares
		state     pressure.State
		unknown   bool
		status    string
		sheds     int
	}{
		"taken":                     {path: "/safe/a", choosing: 10, status: "HTTP/1.1 408"},
		"refused for places":        {path: "/private/a", key: "key", status: "HTTP/1.1 503", sheds: 1},
		"refused for the processor": {path: "/private/a", key: "key", choosing: 10, shares: coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team", Surplus: 1}}}, state: behind, status: "HTTP/1.1 503", sheds: 1},
		"refused for its share":     {path: "/private/a", key: "key", choosing: 10, shares: none, status: "HTTP/1.1 503", sheds: 1},
		"an unknown key":            {path: "/private/a", key: "guess", choosing: 10, status: "HTTP/1.1 401"},
		"no route":                  {path: "/novel/a", choosing: 10, status: "HTTP/1.1 404"},
		"no configuration is known": {path: "/safe/a", choosing: 10, unknown: true, status: "HTTP/1.1 503"},
	}
	for name, test := range cases {
		Convey("a request whose body does not come is answered, and its connection closed: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxChoosing: test.choosing}
			address := unserved(t, service, test.shares)
			service.Gate.pressure.Store(&test.state)
			if test.unknown {
				service.Gate.catalog.Store(&coltsfootlink.Catalog{})
			}
			conn := begin(t, address, plan{path: test.path, key: test.key, part: 1, left: 300 * time.Millisecond})
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So("HTTP/1.1 "+response.Status, ShouldStartWith, test.status)
			So(response.Close, ShouldBeTrue)
			So(settles(&service.active, 0), ShouldEqual, 0)
			So(kindsOf(service)["dispatch.Shed"], ShouldEqual, test.sheds)
		})
	}
}

// TestKeptConnections holds for two requests on one connection, of which the second lasts longer than the first may.
func TestKeptConnections(t *testing.T) {
	cases := map[string]struct {
		first, second plan
		status        int
	}{
		"taken":                {first: plan{path: "/safe/a", part: 4}, second: plan{path: "/safe/a", part: 4}, status: 503},
		"taken without body":   {first: plan{path: "/safe/a", bodiless: true}, second: plan{path: "/safe/a", bodiless: true}, status: 503},
		"refused":              {first: plan{path: "/novel/a", part: 4}, second: plan{path: "/safe/a", part: 4}, status: 404},
		"refused without body": {first: plan{path: "/novel/a", bodiless: true}, second: plan{path: "/safe/a", bodiless: true}, status: 404},
	}
	for name, test := range cases {
		Convey("the time for one body does not end the next request, nor the wait for its answer: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxChoosing: 1}
			test.first.left, test.second.left = 300*time.Millisecond, 1500*time.Millisecond
			conn := begin(t, unserved(t, service, coltsfootlink.Shares{}), test.first)
			reader := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.Close, ShouldBeFalse)
			service.Dispatch.Drain()
			test.second.send(conn)
			So(settles(&service.choosing, 1), ShouldEqual, 1)
			// Longer than the first request had, and than the body of a refused one is waited for.
			time.Sleep(600 * time.Millisecond)
			So(service.choosing.Load(), ShouldEqual, 1)
			asked := service.Dispatch.Drain()
			So(asked, ShouldHaveLength, 1)
			asked[0].Message.(dispatch.Want).Reply <- dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.TargetFull, "full")}
			response, err = http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
		})
	}
}

func TestRequestsWithoutTimeLeft(t *testing.T) {
	cases := map[string]plan{
		"with a body":    {path: "/safe/a", part: 4},
		"without a body": {path: "/safe/a", bodiless: true},
	}
	for name, test := range cases {
		Convey("a request that comes too late is answered, and its connection kept: "+name, t, func() {
			test.left = 0
			conn := begin(t, unserved(t, &Service{MaxActive: 100, MaxChoosing: 1}, coltsfootlink.Shares{}), test)
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 503)
			So(response.Close, ShouldBeFalse)
		})
	}
}

// limited is a writer that keeps the time limits of reading.
type limited struct {
	*httptest.ResponseRecorder
	limits []time.Time
}

// SetReadDeadline keeps a time limit.
func (writer *limited) SetReadDeadline(limit time.Time) error {
	writer.limits = append(writer.limits, limit)
	return nil
}

func TestLimitsAreTakenBack(t *testing.T) {
	by := time.Unix(1_700_000_000, 0)
	cases := map[string]struct {
		body   io.ReadCloser
		limits []time.Time
	}{
		"come whole":                 {io.NopCloser(strings.NewReader("plan")), []time.Time{by, {}}},
		"cut, the server reads on":   {io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF)), []time.Time{by}},
		"none, the server has begun": {http.NoBody, nil},
	}
	for name, test := range cases {
		Convey("the time limit of a body ends with the body: "+name, t, func() {
			writer := &limited{ResponseRecorder: httptest.NewRecorder()}
			current := &exchange{writer: writer, incoming: &http.Request{Body: test.body}, mostBytes: 1000}
			_ = current.receive(by, func(body io.Reader) error {
				_, err := io.Copy(io.Discard, body)
				return err
			})
			So(writer.limits, ShouldResemble, test.limits)
		})
	}
}
