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

// listen returns the address of a target that accepts connections in the kernel.
func listen(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// listenFull returns the address of a target that answers no further connection.
func listenFull(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	So(err, ShouldBeNil)
	So(raw.Control(func(descriptor uintptr) { err = unix.Listen(int(descriptor), 0) }), ShouldBeNil)
	So(err, ShouldBeNil)
	for range 2 {
		waiting, err := net.DialTimeout("tcp4", listener.Addr().String(), dialLimit/4)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = waiting.Close() })
	}
	return listener.Addr().String()
}

// TestDials holds for what is said of a target that a connection is opened to.
func TestDials(t *testing.T) {
	cases := map[string]struct {
		address func(t *testing.T) string
		// patience is how long the caller stays.
		patience time.Duration
		// least and most bound the time that it takes.
		least, most time.Duration
		// result is empty if there is a connection.
		result coltsfootlink.Result
	}{
		"it accepts":                    {listen, time.Minute, 0, dialLimit, ""},
		"it refuses":                    {func(*testing.T) string { return "127.0.0.1:1" }, time.Minute, 0, dialLimit / 2, coltsfootlink.Refused},
		"it does not answer":            {listenFull, time.Minute, dialLimit, 2 * dialLimit, coltsfootlink.Refused},
		"the caller leaves before that": {listenFull, dialLimit / 4, dialLimit / 4, dialLimit, coltsfootlink.Unused},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target := coltsfootlink.Target{Name: "t", Address: test.address(t)}
			ctx, cancel := context.WithTimeout(t.Context(), test.patience)
			defer cancel()
			began := time.Now()
			conn, err := dial(ctx, target)
			So(time.Since(began), ShouldBeBetweenOrEqual, test.least, test.most)
			if test.result == "" {
				So(err, ShouldBeNil)
				_ = conn.Close()
				return
			}
			So(err, ShouldNotBeNil)
			So(coltsfootlink.NewCallError(ctx, false, err).Result, ShouldEqual, test.result)
			So(errors.Is(err, errNotAccepted), ShouldEqual, name == "it does not answer")
		})
	}
}

func TestDialsOfAnInstanceThatIsBehind(t *testing.T) {
	cases := map[string]struct {
		// busy is the number of goroutines that wait for the one processor beside the dial.
		busy int
	}{
		"calm":   {0},
		"behind": {60},
	}
	for name, test := range cases {
		Convey("a target that accepts at once is not taken for one that refuses: "+name, t, func() {
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
