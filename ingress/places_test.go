package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/mailbox"
	"coltsfootlink/share"
	"coltsfootlink/upstream"
)

// unserved returns a service whose dispatcher's mailbox nobody reads, and its address.
func unserved(t *testing.T, active, choosing int64, shares coltsfootlink.Shares) (*Service, string) {
	t.Helper()
	gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop()}
	table := coltsfootlink.RoutingTable{Version: 1, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
	gate.follow(coltsfootlink.Catalog{}.WithTable(table.WithRules(rules()).WithKeys("team", []string{"key"}).WithKeys("small", []string{"other"})))
	standings := share.Standings{}.WithShares(time.Now(), shares)
	gate.standings.Store(&standings)
	service := &Service{
		Gate: gate, Clock: coltsfootlink.SystemClock{}, Dispatch: mailbox.NewDeliveries(), Log: zerolog.Nop(),
		Open: new(atomic.Int64), MaxOpen: 100, MaxActive: active, MaxChoosing: choosing,
		Client: &upstream.Client{Clock: coltsfootlink.SystemClock{}, Keeper: mailbox.NewDeliveries()},
	}
	server := httptest.NewServer(service)
	t.Cleanup(server.CloseClientConnections)
	return service, server.Listener.Addr().String()
}

// begin connects and sends the head of a request that has 300 ms left, and a part of its body.
func begin(t *testing.T, address, path, key, body string, part int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	send(conn, path, key, body, part)
	return conn
}

// send sends the head of a request that has 300 ms left, and a part of its body.
func send(conn net.Conn, path, key, body string, part int) {
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 300\r\n"
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	_, _ = io.WriteString(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body[:part]))
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
			service, address := unserved(t, 100, 1, coltsfootlink.Shares{})
			conn := begin(t, address, "/safe/a", "", "plan", 4)
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
