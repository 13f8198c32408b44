package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/entry"
	"coltsfootlink/mailbox"
)

// startService starts a service with a request timeout of 300 ms and opens a connection to it. No entry task reads the
// service's messages, so requests are never granted a permit.
func startService(t *testing.T) (*Service, net.Conn) {
	t.Helper()
	configuration := coltsfootlink.Configuration{Revision: 1}.
		WithTeam(coltsfootlink.Team{Name: "carpenters", Weight: 1}.WithToken("secret")).
		WithPool(coltsfootlink.Pool{Name: "p", MaxBodyBytes: 4, Routes: []coltsfootlink.Route{{Path: "layout", Repeatable: true}}})
	service := serviceWith(&configuration)
	service.Clock = coltsfootlink.SystemClock{}
	service.RequestTimeout = 300 * time.Millisecond
	service.Entry = mailbox.NewDeliveries()
	server := httptest.NewServer(Handler(service, zerolog.Nop()))
	t.Cleanup(server.CloseClientConnections)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	return service, conn
}

// send sends a request with a body of the given length, of which only a part is sent.
func send(conn net.Conn, route, token string, length int, part string) {
	_, _ = fmt.Fprintf(conn, "POST /v1/p/%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", route, token, length, part)
}

func TestIncompleteBodiesTimeOut(t *testing.T) {
	cases := map[string]struct {
		route, token string
		length       int
		part         string
		status       int
	}{
		"accepted":         {"layout", "secret", 4, "p", http.StatusGatewayTimeout},
		"too large":        {"layout", "secret", 9, "plans", http.StatusRequestEntityTooLarge},
		"a wrong token":    {"layout", "guess", 4, "p", http.StatusUnauthorized},
		"an unknown route": {"nowhere", "secret", 4, "p", http.StatusNotFound},
	}
	for name, test := range cases {
		Convey("a request whose body does not arrive gets a response within 1 s, and its connection is closed: "+name, t, func() {
			_, conn := startService(t)
			start := time.Now()
			send(conn, test.route, test.token, test.length, test.part)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.Close, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, time.Second)
		})
	}
}

func TestBodyDeadlineEndsWithItsRequest(t *testing.T) {
	cases := map[string]struct {
		route, body string
		status      int
	}{
		"accepted":              {"layout", "plan", http.StatusGatewayTimeout},
		"accepted without body": {"layout", "", http.StatusGatewayTimeout},
		"refused":               {"nowhere", "plan", http.StatusNotFound},
		"refused without body":  {"nowhere", "", http.StatusNotFound},
	}
	for name, test := range cases {
		Convey("the read deadline of one body does not apply to the next request on the connection: "+name, t, func() {
			service, conn := startService(t)
			reader := bufio.NewReader(conn)
			for range 2 {
				send(conn, test.route, "secret", len(test.body), test.body)
				response, err := http.ReadResponse(reader, nil)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, test.status)
				So(response.Close, ShouldBeFalse)
				_, err = io.Copy(io.Discard, response.Body)
				So(err, ShouldBeNil)
			}
			if test.status == http.StatusGatewayTimeout {
				messages := service.Entry.Drain()
				So(messages, ShouldHaveLength, 4)
				So(messages[2].Message, ShouldHaveSameTypeAs, entry.Acquire{})
			}
		})
	}
}
