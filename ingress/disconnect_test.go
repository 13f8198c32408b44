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

// unseen is a connection whose end the server does not get to see, as one whose processor is behind.
type unseen struct {
	*net.TCPConn
	// readFrom is closed when the server gets the processor to read the first bytes.
	readFrom <-chan struct{}
	// over is closed at the end of the test.
	over <-chan struct{}
}

// Read reads what has come, and waits at the end of it.
func (unseen unseen) Read(buffer []byte) (int, error) {
	<-unseen.readFrom
	count, err := unseen.TCPConn.Read(buffer)
	if err != nil {
		<-unseen.over
	}
	return count, err
}

// behind is a doorman of an instance whose processor is behind.
type behind struct{ readFrom, over chan struct{} }

// Admit has each connection served late.
func (behind behind) Admit(conn net.Conn, _ func(net.Conn)) net.Conn {
	return unseen{TCPConn: conn.(*net.TCPConn), readFrom: behind.readFrom, over: behind.over}
}

// serveBehind serves callers with a doorman and returns the address.
func serveBehind(t testing.TB, service *Service, doorman coltsfootlink.ConnectionFilter) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	server := &web.Server{Part: "callers", Address: address, Handler: service, ConnectionFilter: doorman, Log: zerolog.Nop()}
	ctx, stop := context.WithCancel(context.Background())
	var stopped sync.WaitGroup
	stopped.Go(func() { _ = server.Run(ctx) })
	t.Cleanup(func() {
		stop()
		stopped.Wait()
	})
	return address
}

func TestRequestsWhoseCallersHaveLeftReachNoTarget(t *testing.T) {
	cases := map[string]struct {
		// leaves is when the caller does: as soon as it has sent all, once a target is asked for, or not at all.
		early, late bool
		path        string
		seen        int
	}{
		"before its request is read":        {true, false, "/safe/a", 0},
		"before it is read, and only once":  {true, false, "/unsafe/a", 0},
		"while its request waits":           {false, true, "/safe/a", 0},
		"while a stream waits":              {false, true, "/stream/a", 0},
		"not at all":                        {false, false, "/safe/a", 1},
		"not at all, and asks for a stream": {false, false, "/stream/a", 1},
	}
	for name, test := range cases {
		Convey("a caller leaves, and the instance is behind and has not seen it: "+name, t, func() {
			doorman := behind{readFrom: make(chan struct{}), over: make(chan struct{})}
			fake := startTarget(t, "t", events(1, 1, "0\r\n\r\n"))
			waits, chosen := make(chan struct{}), make(chan struct{})
			offered := &offer{targets: []*fakeTarget{fake}, hold: func() {
				close(waits)
				<-chosen
			}}
			address := serveBehind(t, newService(t, offered, true), doorman)
			defer close(doorman.over)
			conn := dialUntil(t, address)
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, "POST "+test.path+" HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 1500\r\nContent-Length: 4\r\n\r\nplan")
			So(err, ShouldBeNil)
			if test.early {
				_ = conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
			close(doorman.readFrom)
			if !test.early {
				<-waits
				if test.late {
					_ = conn.Close()
					time.Sleep(50 * time.Millisecond)
				}
			}
			close(chosen)
			time.Sleep(100 * time.Millisecond)
			So(fake.seen(), ShouldHaveLength, test.seen)
			if test.late {
				So(offered.resultsOf(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Unused})
			}
		})
	}
}

// dialUntil connects to a server that is about to listen.
func dialUntil(t testing.TB, address string) net.Conn {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			return conn
		}
	}
	t.Fatal("nobody listens")
	return nil
}
