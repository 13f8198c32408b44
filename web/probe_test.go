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

// slowListener delays each accepted connection, like a server that is short of CPU.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept returns the next connection after the delay.
func (listener slowListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	time.Sleep(listener.delay)
	return conn, err
}

func TestProbe(t *testing.T) {
	const delay = 150 * time.Millisecond
	cases := map[string]struct {
		delay       time.Duration
		least, most time.Duration
	}{
		"at once":                 {0, 0, delay / 2},
		"late":                    {delay, delay / 2, time.Minute},
		"never, while it listens": {time.Hour, 2 * delay, time.Minute},
	}
	for name, test := range cases {
		Convey("a probe measures how long connections wait that are accepted "+name, t, func() {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			probe := &Probe{Address: listener.Addr().String(), Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
			So(probe.Wait(), ShouldEqual, time.Duration(0))
			go func() {
				server := &liveListener{Listener: slowListener{listener, test.delay}, probe: probe}
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
	for name, address := range map[string]string{"the usual loopback address": "127.0.0.1:0", "another loopback address": "127.7.8.9:0", "all addresses": ":0"} {
		Convey("a probe's connections are recognised on every address that the server listens on: "+name, t, func() {
			listener, err := net.Listen("tcp4", address)
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			probe := &Probe{Address: listener.Addr().String(), Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
			server := &liveListener{Listener: listener, probe: probe}
			go func() { _, _ = server.Accept() }()
			ctx, stop := context.WithCancel(t.Context())
			var stopped sync.WaitGroup
			stopped.Go(func() { _ = probe.Run(ctx) })
			time.Sleep(2 * delay)
			So(probe.Wait(), ShouldBeLessThan, delay/2)
			So(probe.published.Load(), ShouldNotBeNil)
			stop()
			stopped.Wait()
		})
	}
	Convey("a server with a probe serves its clients and does not serve the probe's connections", t, func() {
		address := freeAddress(t)
		open, served := new(atomic.Int64), new(atomic.Int64)
		server := &Server{
			Part: "web", Address: address, ShutdownTimeout: time.Second, Log: zerolog.Nop(), Open: open,
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
		So(server.Probe.Wait(), ShouldBeLessThan, probeTimeout)
		stop()
		stopped.Wait()
		So(open.Load(), ShouldEqual, 0)
	})
}
