package web

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leave ends a connection in one of the ways in which clients do.
var leave = map[string]func(*net.TCPConn){
	"closed":      func(conn *net.TCPConn) { _ = conn.Close() },
	"half closed": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	"reset": func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	},
}

// settle is long enough for the kernel to bring the end of a connection on this machine.
const settle = 20 * time.Millisecond

func TestConnectionsWhoseClientsHaveLeftAreNotServed(t *testing.T) {
	for name, end := range leave {
		Convey("what waits to be accepted, and was "+name+" meanwhile, is passed over", t, func() {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			dial := func(text string) *net.TCPConn {
				conn, err := net.Dial("tcp4", listener.Addr().String())
				So(err, ShouldBeNil)
				_, err = conn.Write([]byte(text))
				So(err, ShouldBeNil)
				return conn.(*net.TCPConn)
			}
			for range 3 {
				end(dial("GET /gone HTTP/1.1\r\nHost: h\r\n\r\n"))
			}
			stays := dial("GET /stays HTTP/1.1\r\nHost: h\r\n\r\n")
			defer func() { _ = stays.Close() }()
			time.Sleep(settle)
			conn, err := (&attended{Listener: listener}).Accept()
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			So(err, ShouldBeNil)
			So(request.URL.Path, ShouldEqual, "/stays")
		})
	}
}

func TestLeft(t *testing.T) {
	for name, end := range leave {
		Convey("a client that has "+name+" its connection has left, whatever it has sent before", t, func() {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			client, err := net.Dial("tcp4", listener.Addr().String())
			So(err, ShouldBeNil)
			conn, err := listener.Accept()
			So(err, ShouldBeNil)
			_, err = client.Write([]byte("unread"))
			So(err, ShouldBeNil)
			request := (&http.Request{}).WithContext(withSocket(t.Context(), conn))
			time.Sleep(settle)
			So(Left(request), ShouldBeFalse)
			end(client.(*net.TCPConn))
			time.Sleep(settle)
			So(Left(request), ShouldBeTrue)
			So(conn.Close(), ShouldBeNil)
			So(Left(request), ShouldBeFalse)
			So(Left(&http.Request{}), ShouldBeFalse)
		})
	}
}
