package relay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/web"
)

// TestFramesArriveWhole guards against parts of frames that are lost when a read of the connection is interrupted.
func TestFramesArriveWhole(t *testing.T) {
	const text = "POST /a HTTP/1.1\r\n"
	stop := make([]byte, frameBytes)
	frame{kind: stopFrame, first: 100, second: 5000}.put(stop)
	dataOf := func(bytes string) string {
		header := make([]byte, frameBytes)
		newDataFrame(len(bytes), 0).put(header)
		return string(header) + bytes
	}
	cases := map[string]string{
		"data":                  dataOf(text),
		"a stop, then data":     string(stop) + dataOf(text),
		"data without bytes":    dataOf("") + dataOf(text),
		"data in two frames":    dataOf(text[:4]) + dataOf(text[4:]),
		"a stop between frames": dataOf(text[:4]) + string(stop) + dataOf(text[4:]),
	}
	for name, sent := range cases {
		Convey("all bytes arrive, wherever reading is interrupted: "+name, t, func() {
			for cut := range sent {
				near, far := pair(t)
				conn := Receiver{Full: never}.Admit(far, nil).(*forwardedConn)
				var got []byte
				buffer := make([]byte, 64)
				read := func() error {
					count, err := conn.Read(buffer)
					got = append(got, buffer[:count]...)
					return err
				}
				_, err := io.WriteString(near, sent[:cut])
				So(err, ShouldBeNil)
				So(conn.SetReadDeadline(time.Now().Add(2*time.Millisecond)), ShouldBeNil)
				for err == nil {
					err = read()
				}
				So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
				So(conn.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
				_, err = io.WriteString(near, sent[cut:])
				So(err, ShouldBeNil)
				So(near.(*net.TCPConn).CloseWrite(), ShouldBeNil)
				for err == nil {
					err = read()
				}
				So(err, ShouldEqual, io.EOF)
				So(string(got), ShouldEqual, text)
			}
		})
	}
	Convey("an unknown frame breaks the connection", t, func() {
		near, far := pair(t)
		conn := Receiver{Full: never}.Admit(far, nil)
		_, err := io.WriteString(near, "POST /a")
		So(err, ShouldBeNil)
		_, err = conn.Read(make([]byte, 8))
		So(err, ShouldEqual, errUnknownFrame)
	})
}

// TestStopsAreAnnounced guards against a receiver that accepts requests which outlast the forwarding instance, because it does not
// learn of its end.
func TestStopsAreAnnounced(t *testing.T) {
	cases := map[string]struct {
		refusesIn, endsIn time.Duration
	}{
		"the load balancer has not caught up": {2 * time.Second, 6 * time.Second},
		"nothing late is accepted any more":   {0, time.Second},
		"the end has passed":                  {0, 0},
	}
	for name, test := range cases {
		Convey("the receiver learns when the forwarding instance ends, before and after it connected: "+name, t, func() {
			for _, connectsFirst := range []bool{true, false} {
				now := time.Now()
				stopping := coltsfootlink.Stopping{RefusesAt: now.Add(test.refusesIn), EndsAt: now.Add(test.endsIn)}
				task := &Task{Clock: coltsfootlink.SystemClock{}}
				if !connectsFirst {
					task.shutdown.announce(stopping)
				}
				_, here := pair(t)
				there, other := pair(t)
				received := Receiver{Full: never}.Admit(other, nil).(*forwardedConn)
				So(received.Stopping().IsZero(), ShouldBeTrue)
				go (&forwarding{task: task, caller: here}).copyBoth(t.Context(), there)
				if connectsFirst {
					task.shutdown.announce(stopping)
				}
				So(received.SetReadDeadline(time.Now().Add(200*time.Millisecond)), ShouldBeNil)
				_, err := received.Read(make([]byte, 1))
				So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
				got := received.Stopping()
				So(got.RefusesAt, ShouldHappenWithin, 150*time.Millisecond, stopping.RefusesAt)
				So(got.EndsAt, ShouldHappenWithin, 150*time.Millisecond, stopping.EndsAt)
			}
		})
	}
}

// TestUnknownFramesAreNotAnswered guards against a caller that gets 400 for its request because two versions of instances do not
// know each other's frames.
func TestUnknownFramesAreNotAnswered(t *testing.T) {
	data := make([]byte, frameBytes)
	const head = "GET / HTTP/1.1\r\nHost: h\r\n"
	newDataFrame(len(head), 0).put(data)
	cases := map[string]string{
		"before a request": "xxxxxxx",
		"within a request": string(data) + head + "xxxxxxx",
	}
	for name, sent := range cases {
		Convey("the connection is closed without an answer: "+name, t, func() {
			address := freeAddress(t)
			serve(t, &web.Server{Address: address, Handler: echo("other"), ConnectionFilter: Receiver{Full: never}})
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, sent)
			So(err, ShouldBeNil)
			got, _ := io.ReadAll(conn)
			So(string(got), ShouldEqual, string(rune(acceptByte)))
		})
	}
}

// TestUnreadStopsDoNotResetAnswers guards against answers that are lost, because a stop frame that arrives as the connection is
// closed makes the kernel reset it.
func TestUnreadStopsDoNotResetAnswers(t *testing.T) {
	stop := make([]byte, frameBytes)
	frame{kind: stopFrame, first: 100, second: 5000}.put(stop)
	cases := map[string]string{"a stop has arrived": string(stop), "nothing has arrived": ""}
	for name, unread := range cases {
		Convey("the answer arrives whole: "+name, t, func() {
			near, far := pair(t)
			conn := Receiver{Full: never}.Admit(far, nil)
			_, err := io.WriteString(near, unread)
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(conn, "answer")
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			got, err := io.ReadAll(near)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, string(rune(acceptByte))+"answer")
		})
	}
}
