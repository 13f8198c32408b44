package rig

import (
	"bufio"
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// listenEcho starts a server that echoes each line, and returns its address and a channel of the lines it received.
func listenEcho(t *testing.T) (string, <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan string, 10)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				scanner := bufio.NewScanner(connection)
				for scanner.Scan() {
					received <- scanner.Text()
					_, _ = connection.Write(append(scanner.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}

func TestProxyModes(t *testing.T) {
	cases := map[string]struct {
		mode Mode
		// received, answered and broken indicate that the request reaches the server, that its answer reaches the client, and
		// that the connection ends.
		received, answered, broken bool
	}{
		"bytes are forwarded":              {Pass, true, true, false},
		"bytes are forwarded with a delay": {Slow, true, true, false},
		"answers are held":                 {HoldAnswers, true, false, false},
		"requests are held":                {HoldRequests, false, false, false},
		"both directions are held":         {Hold, false, false, false},
		"connections are reset":            {Abort, false, false, true},
		"connections are closed":           {Close, false, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			address, lines := listenEcho(t)
			proxy, err := StartProxy(t.Context(), address)
			So(err, ShouldBeNil)
			client, err := net.Dial("tcp", proxy.Address)
			So(err, ShouldBeNil)
			defer func() { _ = client.Close() }()
			reader := bufio.NewReader(client)
			_, _ = client.Write([]byte("first\n"))
			line, err := reader.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "first\n")
			<-lines
			proxy.Set(test.mode)
			_, _ = client.Write([]byte("second\n"))
			_ = client.SetReadDeadline(time.Now().Add(time.Second))
			_, err = reader.ReadString('\n')
			So(err == nil, ShouldEqual, test.answered)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldEqual, !test.answered && !test.broken)
			So(len(lines) > 0, ShouldEqual, test.received)
			if !test.broken {
				proxy.Set(Pass)
				_ = client.SetReadDeadline(time.Now().Add(10 * time.Second))
				if !test.answered {
					line, err = reader.ReadString('\n')
					So(err, ShouldBeNil)
					So(line, ShouldEqual, "second\n")
				}
			}
		})
	}
}

func TestSettingTheModeOfAnEndedProxyDoesNotBlock(t *testing.T) {
	Convey("an ended proxy takes modes and does nothing", t, func() {
		address, _ := listenEcho(t)
		ctx, cancel := context.WithCancel(t.Context())
		proxy, err := StartProxy(ctx, address)
		So(err, ShouldBeNil)
		cancel()
		done := make(chan struct{})
		go func() {
			for range 10 {
				proxy.Set(Hold)
			}
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Error("setting a mode blocks")
		}
	})
}
