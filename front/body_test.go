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

// serve runs a service that gives requests 300 ms, and whose entry task's mailbox nobody reads.
func serve(t *testing.T) (*Service, net.Conn) {
	t.Helper()
	configuration := coltsfootlink.Configuration{Revision: 1}.
		WithTeam(coltsfootlink.Team{Name: "carpenters", Weight: 1}.WithToken("secret")).
		WithPool(coltsfootlink.Pool{Name: "p", MaxBodyBytes: 4, Routes: []coltsfootlink.Route{{Path: "layout", Repeatable: true}}})
	service := serviceWith(&configuration)
	service.Clock = coltsfootlink.SystemClock{}
	service.RequestLimit = 300 * time.Millisecond
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

// send sends a request of which the body may come in part.
func send(conn net.Conn, route, token string, length int, part string) {
	_, _ = fmt.Fprintf(conn, "POST /v1/p/%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", route, token, length, part)
}

func TestBodiesThatDoNotCome(t *testing.T) {
	cases := map[string]struct {
		route, token string
		length       int
		part         string
		status       int
	}{
		"taken":            {"layout", "secret", 4, "p", http.StatusGatewayTimeout},
		"too large":        {"layout", "secret", 9, "plans", http.StatusRequestEntityTooLarge},
		"a wrong token":    {"layout", "guess", 4, "p", http.StatusUnauthorized},
		"an unknown route": {"nowhere", "secret", 4, "p", http.StatusNotFound},
	}
	for name, test := range cases {
		Convey("a request whose body does not come is answered, and its connection closed: "+name, t, func() {
			_, conn := serve(t)
			begun := time.Now()
			send(conn, test.route, test.token, test.length, test.part)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.Close, ShouldBeTrue)
			So(time.Since(begun), ShouldBeLessThan, time.Second)
		})
	}
}

func TestKeptConnections(t *testing.T) {
	cases := map[string]struct {
		route, body string
		status      int
	}{
		"taken":                {"layout", "plan", http.StatusGatewayTimeout},
		"taken, without body":  {"layout", "", http.StatusGatewayTimeout},
		"refused":              {"nowhere", "plan", http.StatusNotFound},
		"refused without body": {"nowhere", "", http.StatusNotFound},
	}
	for name, test := range cases {
		Convey("the time for one body does not end the next request: "+name, t, func() {
			service, conn := serve(t)
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
				told := service.Entry.Drain()
				So(told, ShouldHaveLength, 4)
				So(told[2].Message, ShouldHaveSameTypeAs, entry.Acquire{})
			}
		})
	}
}
