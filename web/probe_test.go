package web

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// slowAccept is a listener of a server that seldom has the processor.
type slowAccept struct {
	net.Listener
	pause time.Duration
}

// Accept returns the next connection a while after it came.
func (slow slowAccept) Accept() (net.Conn, error) {
	conn, err := slow.Listener.Accept()
	time.Sleep(slow.pause)
	return conn, err
}

func TestProbe(t *testing.T) {
	const late = 150 * time.Millisecond
	cases := map[string]struct {
		pause       time.Duration
		least, most time.Duration
	}{
		"at once":                 {0, 0, late / 2},
		"seldom":                  {late, late / 2, time.Minute},
		"never, while it listens": {time.Hour, 2 * late, time.Minute},
	}
	for name, test := range cases {
		Convey("a probe tells how long connections wait that are accepted "+name, t, func() {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			probe := &Probe{Address: listener.Addr().String(), Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
			So(probe.Wait(), ShouldEqual, time.Duration(0))
			go func() {
				server := &attended{Listener: slowAccept{listener, test.pause}, probe: probe}
				for {
					if _, err := server.Accept(); err != nil {
						return
					}
				}
			}()
			ctx, stop := context.WithCancel(t.Context())
			var stopped sync.WaitGroup
			stopped.Go(func() { _ = probe.Run(ctx) })
			var longest time.Duration
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				longest = max(longest, probe.Wait())
			}
			So(longest, ShouldBeBetweenOrEqual, test.least, test.most)
			stop()
			stopped.Wait()
			So(probe.Wait(), ShouldEqual, time.Duration(0))
		})
	}
	for name, address := range map[string]string{"the usual one": "127.0.0.1:0", "another of the loopback": "127.7.8.9:0", "any": ":0"} {
		Convey("a probe is known at whatever address the server listens: "+name, t, func() {
			listener, err := net.Listen("tcp4", address)
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			probe := &Probe{Address: listener.Addr().String(), Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
			server := &attended{Listener: listener, probe: probe}
			go func() { _, _ = server.Accept() }()
			ctx, stop := context.WithCancel(t.Context())
			var stopped sync.WaitGroup
			stopped.Go(func() { _ = probe.Run(ctx) })
			time.Sleep(2 * late)
			So(probe.Wait(), ShouldBeLessThan, late/2)
			So(probe.published.Load(), ShouldNotBeNil)
			stop()
			stopped.Wait()
		})
	}
	Convey("a server serves its clients beside a probe, and no connection of the probe", t, func() {
		address := freeAddress(t)
		open, served := new(atomic.Int64), new(atomic.Int64)
		server := &Server{
			Part: "web", Address: address, StopLimit: time.Second, Log: zerolog.Nop(), Open: open,
			Probe:   &Probe{Address: address, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()},
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }),
		}
		ctx, stop := context.WithCancel(t.Context())
		var stopped sync.WaitGroup
		stopped.Go(func() { _ = server.Run(ctx) })
		stopped.Go(func() { _ = server.Probe.Run(ctx) })
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		answered := int64(0)
		for range 60 {
			time.Sleep(10 * time.Millisecond)
			if response, err := client.Get("http://" + address); err == nil {
				_ = response.Body.Close()
				answered++
			}
		}
		So(answered, ShouldBeGreaterThan, 40)
		So(served.Load(), ShouldEqual, answered)
		So(server.Probe.Wait(), ShouldBeLessThan, probeLimit)
		stop()
		stopped.Wait()
		So(open.Load(), ShouldEqual, 0)
	})
}
