package rig

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// listenEcho answers each line with itself and tells of each on a channel.
func listenEcho(t *testing.T) (string, <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	came := make(chan string, 10)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(connection)
				for lines.Scan() {
					came <- lines.Text()
					_, _ = connection.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String(), came
}

func TestProxyModes(t *testing.T) {
	cases := map[string]struct {
		mode Mode
		// reaches says that requests come through, answered that answers do, and broken that the connection ends.
		reaches, answered, broken bool
	}{
		"all passes":         {Pass, true, true, false},
		"slow":               {Slow, true, true, false},
		"answers are held":   {HoldAnswers, true, false, false},
		"requests are held":  {HoldRequests, false, false, false},
		"nothing passes":     {Hold, false, false, false},
		"reset":              {Abort, false, false, true},
		"closed without end": {Cut, false, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			address, came := listenEcho(t)
			proxy, err := StartProxy(t.Context(), address)
			So(err, ShouldBeNil)
			link, err := net.Dial("tcp", proxy.Address)
			So(err, ShouldBeNil)
			defer func() { _ = link.Close() }()
			reader := bufio.NewReader(link)
			_, _ = link.Write([]byte("first\n"))
			line, err := reader.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "first\n")
			<-came
			proxy.Set(test.mode)
			_, _ = link.Write([]byte("second\n"))
			_ = link.SetReadDeadline(time.Now().Add(time.Second))
			_, err = reader.ReadString('\n')
			So(err == nil, ShouldEqual, test.answered)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldEqual, !test.answered && !test.broken)
			So(len(came) > 0, ShouldEqual, test.reaches)
			if !test.broken {
				proxy.Set(Pass)
				_ = link.SetReadDeadline(time.Now().Add(10 * time.Second))
				if !test.answered {
					line, err = reader.ReadString('\n')
					So(err, ShouldBeNil)
					So(line, ShouldEqual, "second\n")
				}
			}
		})
	}
}
