package ingress

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/web"
)

// blindConn is a connection on which the server does not notice a disconnect, as on an instance short of CPU.
type blindConn struct {
	*net.TCPConn
	// readable is closed when the server may read the first bytes.
	readable <-chan struct{}
	// testEnded is closed at the end of the test.
	testEnded <-chan struct{}
}

// Read returns the available data, but blocks at the end of it until the test ends.
func (conn blindConn) Read(buffer []byte) (int, error) {
	<-conn.readable
	count, err := conn.TCPConn.Read(buffer)
	if err != nil {
		<-conn.testEnded
	}
	return count, err
}

// delayingFilter is a connection filter that imitates an instance short of CPU.
type delayingFilter struct{ readable, testEnded chan struct{} }

// Admit returns a connection that is read late and hides a disconnect.
func (filter delayingFilter) Admit(conn net.Conn, _ func(net.Conn)) net.Conn {
	return blindConn{TCPConn: conn.(*net.TCPConn), readable: filter.readable, testEnded: filter.testEnded}
}

// serveFiltered serves callers through a connection filter and returns the address.
func serveFiltered(t testing.TB, service *Service, filter coltsfootlink.ConnectionFilter) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	server := &web.Server{Part: "callers", Address: address, Handler: service, ConnectionFilter: filter, Log: zerolog.Nop()}
	ctx, stop := context.WithCancel(context.Background())
	var stopped sync.WaitGroup
	stopped.Go(func() { _ = server.Run(ctx) })
	t.Cleanup(func() {
		stop()
		stopped.Wait()
	})
	return address
}

func TestRequestsOfDisconnectedCallersReachNoTarget(t *testing.T) {
	cases := map[string]struct {
		// early: the caller disconnects once it has sent its request; late: once the dispatcher is choosing a target;
		// neither: it stays connected.
		early, late bool
		path        string
		received    int
	}{
		"before its request is read":                      {true, false, "/safe/a", 0},
		"before it is read, and it may be sent only once": {true, false, "/unsafe/a", 0},
		"while its request waits for a target":            {false, true, "/safe/a", 0},
		"while a stream waits for a target":               {false, true, "/stream/a", 0},
		"not at all":                                      {false, false, "/safe/a", 1},
		"not at all, with a streaming request":            {false, false, "/stream/a", 1},
	}
	for name, test := range cases {
		Convey("a caller disconnects, and the instance lacks the CPU to notice: "+name, t, func() {
			filter := delayingFilter{readable: make(chan struct{}), testEnded: make(chan struct{})}
			fake := startTarget(t, "t", events(1, 1, "0\r\n\r\n"))
			waiting, choose := make(chan struct{}), make(chan struct{})
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{fake}, beforeReply: func() {
				close(waiting)
				<-choose
			}}
			address := serveFiltered(t, newService(t, dispatcher, true), filter)
			defer close(filter.testEnded)
			conn := dialWithRetry(t, address)
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, "POST "+test.path+" HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 1500\r\nContent-Length: 4\r\n\r\nplan")
			So(err, ShouldBeNil)
			if test.early {
				_ = conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
			close(filter.readable)
			if !test.early {
				<-waiting
				if test.late {
					_ = conn.Close()
					time.Sleep(50 * time.Millisecond)
				}
			}
			close(choose)
			time.Sleep(100 * time.Millisecond)
			So(fake.received(), ShouldHaveLength, test.received)
			if test.late {
				So(dispatcher.waitForResults(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Unused})
			}
		})
	}
}

// dialWithRetry connects to a server that is about to listen.
func dialWithRetry(t testing.TB, address string) net.Conn {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			return conn
		}
	}
	t.Fatal("the server did not listen within 1 s")
	return nil
}
