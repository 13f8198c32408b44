package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/share"
	"coltsfootlink/upstream"
)

// startUndispatched starts a service whose dispatcher mailbox nothing reads, and returns its address.
func startUndispatched(t *testing.T, service *Service, shares coltsfootlink.Shares) string {
	t.Helper()
	gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop()}
	table := coltsfootlink.RoutingTable{Version: 1, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
	gate.setCatalog(coltsfootlink.Catalog{}.WithTable(table.WithRules(rules()).WithKeys("team", []string{"key"}).WithKeys("small", []string{"other"})))
	standings := share.Standings{}.WithShares(time.Now(), shares)
	gate.standings.Store(&standings)
	pool := &upstream.ConnPool{Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	go func() { _ = pool.Run(t.Context()) }()
	service.Gate = gate
	service.Client = &upstream.Client{Clock: coltsfootlink.SystemClock{}, ConnPool: pool.Inbox}
	service.Clock = coltsfootlink.SystemClock{}
	service.Dispatch = mailbox.NewDeliveries()
	service.Connections, service.MaxConnections = new(atomic.Int64), 100
	server := httptest.NewServer(service)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// rawRequest describes a request with a body of four bytes, of which bodySent are sent at first, or without a body.
type rawRequest struct {
	path, key string
	bodySent  int
	timeLeft  time.Duration
	bodiless  bool
}

// beginRequest connects and sends the headers of a request and part of its body.
func beginRequest(t *testing.T, address string, raw rawRequest) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	raw.send(conn)
	return conn
}

// send sends the headers of the request and part of its body.
func (raw rawRequest) send(conn net.Conn) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: %d\r\n", raw.path, raw.timeLeft.Milliseconds())
	if !raw.bodiless {
		head += "Content-Length: 4\r\n"
	}
	if raw.key != "" {
		head += "Authorization: Bearer " + raw.key + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+"plan"[:raw.bodySent])
}

// readStatusLine reads the start of an answer; it is empty if none arrives before the timeout.
func readStatusLine(conn net.Conn, timeout time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, len("HTTP/1.1 503"))
	count, _ := io.ReadFull(conn, buffer)
	return string(buffer[:count])
}

// waitForCount waits up to a second for the counter to reach the value, and returns the counter's value.
func waitForCount(count *atomic.Int64, value int64) int64 {
	for end := time.Now().Add(time.Second); count.Load() != value && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return count.Load()
}

// TestRequestsWithoutDispatcherReplyReleaseTheirSlots covers a dispatcher that failed while it handled a request, or
// replies too late.
func TestRequestsWithoutDispatcherReplyReleaseTheirSlots(t *testing.T) {
	cases := map[string]struct {
		disconnects, late bool
	}{
		"no reply, until the deadline":           {},
		"no reply, until the caller disconnects": {disconnects: true},
		"reply after the deadline":               {late: true},
		"reply after the caller disconnected":    {disconnects: true, late: true},
	}
	for name, test := range cases {
		Convey("a request releases its slot and a target that arrives late: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxWaiting: 1}
			address := startUndispatched(t, service, coltsfootlink.Shares{})
			conn := beginRequest(t, address, rawRequest{path: "/safe/a", bodySent: 4, timeLeft: 300 * time.Millisecond})
			So(waitForCount(&service.waiting, 1), ShouldEqual, 1)
			<-service.Dispatch.Ready()
			wants := service.Dispatch.Drain()
			So(wants, ShouldHaveLength, 1)
			if test.disconnects {
				_ = conn.Close()
			} else {
				So(readStatusLine(conn, time.Second), ShouldEqual, "HTTP/1.1 503")
			}
			So(waitForCount(&service.waiting, 0), ShouldEqual, 0)
			So(waitForCount(&service.active, 0), ShouldEqual, 0)
			if !test.late {
				return
			}
			wants[0].Message.(dispatch.Want).Reply <- dispatch.Choice{Serial: 7, Target: coltsfootlink.Target{Name: "t"}}
			select {
			case <-service.Dispatch.Ready():
			case <-time.After(time.Second):
			}
			reported := service.Dispatch.Drain()
			So(reported, ShouldHaveLength, 1)
			So(reported[0].Message, ShouldResemble, dispatch.Report{Serial: 7, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		})
	}
}

func TestWaitingRequestsAreBounded(t *testing.T) {
	Convey("requests with slow bodies count against the limit", t, func() {
		service := &Service{MaxActive: 100, MaxWaiting: 2}
		address := startUndispatched(t, service, coltsfootlink.Shares{})
		var conns []net.Conn
		for range 20 {
			conns = append(conns, beginRequest(t, address, rawRequest{path: "/private/a", key: "key", bodySent: 1, timeLeft: 1500 * time.Millisecond}))
		}
		So(waitForCount(&service.active, 20), ShouldEqual, 20)
		for _, conn := range conns {
			_, _ = io.WriteString(conn, "lan")
		}
		So(waitForCount(&service.active, 2), ShouldEqual, 2)
		So(service.waiting.Load(), ShouldEqual, 2)
		kinds := messageKinds(service)
		So(kinds, ShouldResemble, map[string]int{"dispatch.Want": 2, "dispatch.Shed": 18})
	})
	Convey("second attempts count against the limit, and towards the team's load only once", t, func() {
		service := &Service{MaxActive: 100, MaxWaiting: 1}
		address := startUndispatched(t, service, coltsfootlink.Shares{})
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		first := beginRequest(t, address, rawRequest{path: "/private/a", key: "key", bodySent: 4, timeLeft: 1500 * time.Millisecond})
		So(waitForCount(&service.waiting, 1), ShouldEqual, 1)
		wants := service.Dispatch.Drain()
		So(wants, ShouldHaveLength, 1)
		wants[0].Message.(dispatch.Want).Reply <- dispatch.Choice{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
		toTarget, err := listener.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = toTarget.Close() }()
		beginRequest(t, address, rawRequest{path: "/private/a", key: "key", bodySent: 4, timeLeft: 1500 * time.Millisecond})
		So(waitForCount(&service.waiting, 1), ShouldEqual, 1)
		_, _ = io.WriteString(toTarget, notRun)
		So(readStatusLine(first, time.Second), ShouldEqual, "HTTP/1.1 503")
		So(service.waiting.Load(), ShouldEqual, 1)
		So(messageKinds(service), ShouldResemble, map[string]int{"dispatch.Want": 1, "dispatch.Report": 1})
	})
}

// messageKinds counts the messages to the dispatcher by type.
func messageKinds(service *Service) map[string]int {
	kinds := make(map[string]int)
	for _, delivery := range service.Dispatch.Drain() {
		kinds[fmt.Sprintf("%T", delivery.Message)]++
	}
	return kinds
}

func TestSlotsAreReservedForRequestsWithinShares(t *testing.T) {
	cases := map[string]struct {
		beyondShare, withinShare, waiting int64
	}{
		"beyond shares, half of the slots":            {beyondShare: 9, waiting: 2},
		"within shares, all slots":                    {withinShare: 9, waiting: 4},
		"within shares, after requests beyond shares": {beyondShare: 9, withinShare: 2, waiting: 4},
	}
	for name, test := range cases {
		Convey("requests beyond shares do not use the slots reserved for those within: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxWaiting: 4}
			address := startUndispatched(t, service, coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team", Surplus: 1}}})
			for range test.beyondShare {
				beginRequest(t, address, rawRequest{path: "/private/a", key: "key", bodySent: 4, timeLeft: 1500 * time.Millisecond})
			}
			So(waitForCount(&service.waiting, min(2, test.beyondShare)), ShouldEqual, min(2, test.beyondShare))
			for range test.withinShare {
				beginRequest(t, address, rawRequest{path: "/private/a", key: "other", bodySent: 4, timeLeft: 1500 * time.Millisecond})
			}
			So(waitForCount(&service.waiting, test.waiting), ShouldEqual, test.waiting)
			So(waitForCount(&service.active, test.waiting), ShouldEqual, test.waiting)
		})
	}
}

func TestRefusalReasonsAreLogged(t *testing.T) {
	overloaded := pressure.State{}
	for range 100 {
		overloaded = overloaded.WithWait(time.Second)
	}
	cases := map[string]struct {
		state      pressure.State
		maxWaiting int64
		logged     string
	}{
		"the instance is short of CPU": {overloaded, 100, "instance-busy: the instance is short of CPU"},
		"no slot is free":              {pressure.State{}, 0, "queue-full: too many requests wait for a target"},
	}
	for name, test := range cases {
		Convey("the log names the cause of a refusal: "+name, t, func() {
			log := make(logLines, 10)
			service := &Service{MaxActive: 100, MaxWaiting: test.maxWaiting, Log: zerolog.New(log)}
			address := startUndispatched(t, service, coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team", Surplus: 1}}})
			service.Gate.pressure.Store(&test.state)
			So(readStatusLine(beginRequest(t, address, rawRequest{path: "/private/a", key: "key", bodySent: 4, timeLeft: 1500 * time.Millisecond}), time.Second), ShouldEqual, "HTTP/1.1 503")
			So(<-log, ShouldContainSubstring, test.logged)
		})
	}
}

func TestRefusalsAboveMaxActiveCountAsTeamLoad(t *testing.T) {
	cases := map[string]struct {
		request rawRequest
		status  string
		sheds   int
	}{
		"with a team":             {rawRequest{path: "/private/a", key: "key", bodySent: 4}, "HTTP/1.1 503", 1},
		"with an incomplete body": {rawRequest{path: "/private/a", key: "key", bodySent: 1}, "HTTP/1.1 503", 1},
		"with a public rule":      {rawRequest{path: "/safe/a", bodySent: 4}, "HTTP/1.1 503", 0},
		"an unknown key":          {rawRequest{path: "/private/a", key: "guess", bodySent: 4}, "HTTP/1.1 401", 0},
	}
	for name, test := range cases {
		Convey("a refusal above MaxActive counts towards the team's load: "+name, t, func() {
			log := make(logLines, 10)
			service := &Service{MaxActive: 0, MaxWaiting: 100, Log: zerolog.New(log)}
			test.request.timeLeft = 300 * time.Millisecond
			conn := beginRequest(t, startUndispatched(t, service, coltsfootlink.Shares{}), test.request)
			So(readStatusLine(conn, time.Second), ShouldEqual, test.status)
			So(messageKinds(service)["dispatch.Shed"], ShouldEqual, test.sheds)
			So(strings.Contains(<-log, "too many requests at once"), ShouldEqual, test.status == "HTTP/1.1 503")
		})
	}
}
