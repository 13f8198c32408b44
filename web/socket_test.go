package web

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// disconnects holds the ways in which a client can end a connection.
var disconnects = map[string]func(*net.TCPConn){
	"closed":      func(conn *net.TCPConn) { _ = conn.Close() },
	"half closed": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	"reset": func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	},
}

// settleTime is long enough for the kernel to deliver the end of a connection on this machine.
const settleTime = 20 * time.Millisecond

func TestAcceptSkipsConnectionsOfGoneClients(t *testing.T) {
	for name, end := range disconnects {
		Convey("a connection that was "+name+" while it waited to be accepted is skipped", t, func() {
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
			remaining := dial("GET /stays HTTP/1.1\r\nHost: h\r\n\r\n")
			defer func() { _ = remaining.Close() }()
			time.Sleep(settleTime)
			conn, err := (&liveListener{Listener: listener}).Accept()
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			So(err, ShouldBeNil)
			So(request.URL.Path, ShouldEqual, "/stays")
		})
	}
}

func TestClientGone(t *testing.T) {
	for name, end := range disconnects {
		Convey("a client that has "+name+" its connection is reported as gone, even if it sent data before", t, func() {
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
			time.Sleep(settleTime)
			So(ClientGone(request), ShouldBeFalse)
			end(client.(*net.TCPConn))
			time.Sleep(settleTime)
			So(ClientGone(request), ShouldBeTrue)
			So(conn.Close(), ShouldBeNil)
			So(ClientGone(request), ShouldBeFalse)
			So(ClientGone(&http.Request{}), ShouldBeFalse)
		})
	}
}
