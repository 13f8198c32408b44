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

// unserved runs a service whose dispatcher's mailbox nobody reads, and returns its address.
func unserved(t *testing.T, service *Service, shares coltsfootlink.Shares) string {
	t.Helper()
	gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop()}
	table := coltsfootlink.RoutingTable{Version: 1, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
	gate.follow(coltsfootlink.Catalog{}.WithTable(table.WithRules(rules()).WithKeys("team", []string{"key"}).WithKeys("small", []string{"other"})))
	standings := share.Standings{}.WithShares(time.Now(), shares)
	gate.standings.Store(&standings)
	keeper := &upstream.Keeper{Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	go func() { _ = keeper.Run(t.Context()) }()
	service.Gate = gate
	service.Client = &upstream.Client{Clock: coltsfootlink.SystemClock{}, Keeper: keeper.Inbox}
	service.Clock = coltsfootlink.SystemClock{}
	service.Dispatch = mailbox.NewDeliveries()
	service.Open, service.MaxOpen = new(atomic.Int64), 100
	server := httptest.NewServer(service)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// plan is a request with a body of four bytes, of which a part is sent at once, or with none.
type plan struct {
	path, key string
	part      int
	left      time.Duration
	bodiless  bool
}

// begin connects and sends the head of a request and a part of its body.
func begin(t *testing.T, address string, sent plan) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	sent.send(conn)
	return conn
}

// send sends the head of the request and a part of its body.
func (sent plan) send(conn net.Conn) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: %d\r\n", sent.path, sent.left.Milliseconds())
	if !sent.bodiless {
		head += "Content-Length: 4\r\n"
	}
	if sent.key != "" {
		head += "Authorization: Bearer " + sent.key + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+"plan"[:sent.part])
}

// statusOf waits for the first line of an answer; empty if none came within the span.
func statusOf(conn net.Conn, span time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(span))
	buffer := make([]byte, len("HTTP/1.1 503"))
	count, _ := io.ReadFull(conn, buffer)
	return string(buffer[:count])
}

// settles waits up to a second until a count has a value, and returns the count.
func settles(count *atomic.Int64, value int64) int64 {
	for end := time.Now().Add(time.Second); count.Load() != value && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return count.Load()
}

// TestRequestsThatTheDispatcherLost holds for a dispatcher that failed with a request in hand, or answers too late.
func TestRequestsThatTheDispatcherLost(t *testing.T) {
	cases := map[string]struct {
		leaves, late bool
	}{
		"lost, until the deadline":           {},
		"lost, until the caller leaves":      {leaves: true},
		"answered after the deadline":        {late: true},
		"answered after the caller has left": {leaves: true, late: true},
	}
	for name, test := range cases {
		Convey("a request gives its place back, and a target that comes late: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxChoosing: 1}
			address := unserved(t, service, coltsfootlink.Shares{})
			conn := begin(t, address, plan{path: "/safe/a", part: 4, left: 300 * time.Millisecond})
			So(settles(&service.choosing, 1), ShouldEqual, 1)
			<-service.Dispatch.Ready()
			asked := service.Dispatch.Drain()
			So(asked, ShouldHaveLength, 1)
			if test.leaves {
				_ = conn.Close()
			} else {
				So(statusOf(conn, time.Second), ShouldEqual, "HTTP/1.1 503")
			}
			So(settles(&service.choosing, 0), ShouldEqual, 0)
			So(settles(&service.active, 0), ShouldEqual, 0)
			if !test.late {
				return
			}
			asked[0].Message.(dispatch.Want).Reply <- dispatch.Choice{Serial: 7, Target: coltsfootlink.Target{Name: "t"}}
			select {
			case <-service.Dispatch.Ready():
			case <-time.After(time.Second):
			}
			told := service.Dispatch.Drain()
			So(told, ShouldHaveLength, 1)
			So(told[0].Message, ShouldResemble, dispatch.Report{Serial: 7, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		})
	}
}

func TestPlacesAreBounded(t *testing.T) {
	Convey("requests whose bodies come slowly are bounded as others", t, func() {
		service := &Service{MaxActive: 100, MaxChoosing: 2}
		address := unserved(t, service, coltsfootlink.Shares{})
		var conns []net.Conn
		for range 20 {
			conns = append(conns, begin(t, address, plan{path: "/private/a", key: "key", part: 1, left: 1500 * time.Millisecond}))
		}
		So(settles(&service.active, 20), ShouldEqual, 20)
		for _, conn := range conns {
			_, _ = io.WriteString(conn, "lan")
		}
		So(settles(&service.active, 2), ShouldEqual, 2)
		So(service.choosing.Load(), ShouldEqual, 2)
		kinds := kindsOf(service)
		So(kinds, ShouldResemble, map[string]int{"dispatch.Want": 2, "dispatch.Shed": 18})
	})
	Convey("second attempts are bounded as first ones, and count as asked for once", t, func() {
		service := &Service{MaxActive: 100, MaxChoosing: 1}
		address := unserved(t, service, coltsfootlink.Shares{})
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		first := begin(t, address, plan{path: "/private/a", key: "key", part: 4, left: 1500 * time.Millisecond})
		So(settles(&service.choosing, 1), ShouldEqual, 1)
		asked := service.Dispatch.Drain()
		So(asked, ShouldHaveLength, 1)
		asked[0].Message.(dispatch.Want).Reply <- dispatch.Choice{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
		toTarget, err := listener.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = toTarget.Close() }()
		begin(t, address, plan{path: "/private/a", key: "key", part: 4, left: 1500 * time.Millisecond})
		So(settles(&service.choosing, 1), ShouldEqual, 1)
		_, _ = io.WriteString(toTarget, shed)
		So(statusOf(first, time.Second), ShouldEqual, "HTTP/1.1 503")
		So(service.choosing.Load(), ShouldEqual, 1)
		So(kindsOf(service), ShouldResemble, map[string]int{"dispatch.Want": 1, "dispatch.Report": 1})
	})
}

// kindsOf counts what the service told its dispatcher by the kind of the message.
func kindsOf(service *Service) map[string]int {
	kinds := make(map[string]int)
	for _, delivery := range service.Dispatch.Drain() {
		kinds[fmt.Sprintf("%T", delivery.Message)]++
	}
	return kinds
}

func TestPlacesAreKeptForSharesPromised(t *testing.T) {
	cases := map[string]struct {
		beyond, within, waiting int64
	}{
		"beyond shares, half of the places":    {beyond: 9, waiting: 2},
		"within, all of them":                  {within: 9, waiting: 4},
		"within, what lies beyond comes first": {beyond: 9, within: 2, waiting: 4},
	}
	for name, test := range cases {
		Convey("what lies beyond its share takes no place from what lies within: "+name, t, func() {
			service := &Service{MaxActive: 100, MaxChoosing: 4}
			address := unserved(t, service, coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team", Surplus: 1}}})
			for range test.beyond {
				begin(t, address, plan{path: "/private/a", key: "key", part: 4, left: 1500 * time.Millisecond})
			}
			So(settles(&service.choosing, min(2, test.beyond)), ShouldEqual, min(2, test.beyond))
			for range test.within {
				begin(t, address, plan{path: "/private/a", key: "other", part: 4, left: 1500 * time.Millisecond})
			}
			So(settles(&service.choosing, test.waiting), ShouldEqual, test.waiting)
			So(settles(&service.active, test.waiting), ShouldEqual, test.waiting)
		})
	}
}

func TestReasonsWhileTheInstanceRefuses(t *testing.T) {
	behind := pressure.State{}
	for range 100 {
		behind = behind.WithWait(time.Second)
	}
	cases := map[string]struct {
		state       pressure.State
		maxChoosing int64
		why         string
	}{
		"the processor is behind": {behind, 100, "instance-busy: the processor is behind"},
		"too many wait":           {pressure.State{}, 0, "queue-full: too many requests wait for a target"},
	}
	for name, test := range cases {
		Convey("a refusal says what is true: "+name, t, func() {
			noted := make(lines, 10)
			service := &Service{MaxActive: 100, MaxChoosing: test.maxChoosing, Log: zerolog.New(noted)}
			address := unserved(t, service, coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team", Surplus: 1}}})
			service.Gate.pressure.Store(&test.state)
			So(statusOf(begin(t, address, plan{path: "/private/a", key: "key", part: 4, left: 1500 * time.Millisecond}), time.Second), ShouldEqual, "HTTP/1.1 503")
			So(<-noted, ShouldContainSubstring, test.why)
		})
	}
}

func TestWhatIsBeyondTheOpenRequestsCounts(t *testing.T) {
	cases := map[string]struct {
		sent   plan
		status string
		sheds  int
	}{
		"with a team":          {plan{path: "/private/a", key: "key", part: 4}, "HTTP/1.1 503", 1},
		"its body is not read": {plan{path: "/private/a", key: "key", part: 1}, "HTTP/1.1 503", 1},
		"without a team":       {plan{path: "/safe/a", part: 4}, "HTTP/1.1 503", 0},
		"an unknown key":       {plan{path: "/private/a", key: "guess", part: 4}, "HTTP/1.1 401", 0},
	}
	for name, test := range cases {
		Convey("what is refused because too many requests are open counts as asked for by its team: "+name, t, func() {
			noted := make(lines, 10)
			service := &Service{MaxActive: 0, MaxChoosing: 100, Log: zerolog.New(noted)}
			test.sent.left = 300 * time.Millisecond
			conn := begin(t, unserved(t, service, coltsfootlink.Shares{}), test.sent)
			So(statusOf(conn, time.Second), ShouldEqual, test.status)
			So(kindsOf(service)["dispatch.Shed"], ShouldEqual, test.sheds)
			So(strings.Contains(<-noted, "too many requests at once"), ShouldEqual, test.status == "HTTP/1.1 503")
		})
	}
}
