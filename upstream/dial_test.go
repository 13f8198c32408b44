package upstream

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"coltsfootlink"
)

// listen returns the address of a target whose connections are accepted by the kernel.
func listen(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// listenWithFullBacklog returns the address of a target whose accept queue is full: new connections get no reply.
func listenWithFullBacklog(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	So(err, ShouldBeNil)
	So(raw.Control(func(descriptor uintptr) { err = unix.Listen(int(descriptor), 0) }), ShouldBeNil)
	So(err, ShouldBeNil)
	for range 2 {
		waiting, err := net.DialTimeout("tcp4", listener.Addr().String(), dialTimeout/4)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = waiting.Close() })
	}
	return listener.Addr().String()
}

// TestDial checks how the outcome of a dial is classified and how long it takes.
func TestDial(t *testing.T) {
	cases := map[string]struct {
		address func(t *testing.T) string
		// timeout is how long the caller waits.
		timeout time.Duration
		// least and most bound the duration of the dial.
		least, most time.Duration
		// result is the expected result of a failed dial, and empty for a successful one.
		result coltsfootlink.Result
	}{
		"the target accepts":                               {listen, time.Minute, 0, dialTimeout, ""},
		"the target refuses":                               {func(*testing.T) string { return "127.0.0.1:1" }, time.Minute, 0, dialTimeout / 2, coltsfootlink.Refused},
		"the target does not reply":                        {listenWithFullBacklog, time.Minute, dialTimeout, 2 * dialTimeout, coltsfootlink.Refused},
		"the caller disconnects before the dial times out": {listenWithFullBacklog, dialTimeout / 4, dialTimeout / 4, dialTimeout, coltsfootlink.Unused},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target := coltsfootlink.Target{Name: "t", Address: test.address(t)}
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			started := time.Now()
			conn, err := dial(ctx, target)
			So(time.Since(started), ShouldBeBetweenOrEqual, test.least, test.most)
			if test.result == "" {
				So(err, ShouldBeNil)
				_ = conn.Close()
				return
			}
			So(err, ShouldNotBeNil)
			So(coltsfootlink.NewCallError(ctx, false, err).Result, ShouldEqual, test.result)
			So(errors.Is(err, errNotAccepted), ShouldEqual, name == "the target does not reply")
		})
	}
}

// TestDialWhileShortOfCPU guards against dial timeouts that occur because the dialer of an instance that is short of
// CPU is not scheduled in time, though the target has accepted.
func TestDialWhileShortOfCPU(t *testing.T) {
	cases := map[string]struct {
		// busy is the number of goroutines that compete with the dial for the one processor.
		busy int
	}{
		"idle":         {0},
		"short of CPU": {60},
	}
	for name, test := range cases {
		Convey("a target that accepts at once is not reported as refusing: "+name, t, func() {
			target := coltsfootlink.Target{Name: "t", Address: listen(t)}
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			var stop atomic.Bool
			defer stop.Store(true)
			for range test.busy {
				go func() {
					for !stop.Load() {
						continue
					}
				}()
			}
			refused := 0
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				conn, err := dial(ctx, target)
				if err != nil && coltsfootlink.NewCallError(ctx, false, err).Result == coltsfootlink.Refused {
					refused++
				} else if err == nil {
					_ = conn.Close()
				}
				cancel()
			}
			So(refused, ShouldEqual, 0)
		})
	}
}
