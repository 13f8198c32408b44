package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

const stamped = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\n"

func TestLongAnswersAreForwardedCompletely(t *testing.T) {
	long := strings.Repeat("plank ", 300_000)
	cases := map[string]struct {
		text     string
		complete bool
	}{
		"with a length":                    {stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, true},
		"in chunks":                        {stamped + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(long)) + long + "\r\n0\r\n\r\n", true},
		"until the connection ends":        {stamped + "\r\n" + long, true},
		"shorter than its length":          {stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)+1) + long, false},
		"in chunks without the last chunk": {stamped + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(long)) + long + "\r\n", false},
	}
	for name, test := range cases {
		Convey("a long answer arrives completely or with an error: "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", test.text)}}
			status, _, body, err := request(t, start(t, dispatcher, true), "/once/a", "plan", "")
			So(status, ShouldEqual, 200)
			if test.complete {
				So(err, ShouldBeNil)
				So(len(body), ShouldEqual, len(long))
			} else {
				So(err, ShouldNotBeNil)
			}
		})
	}
}

func TestResumedStreamsDoNotRepeatEvents(t *testing.T) {
	interrupted := events(1, 2, "")
	end := "0\r\n\r\n"
	cases := map[string]struct {
		next     string
		body     string
		complete bool
	}{
		"after the last event":                {events(3, 4, end), eventText(1) + eventText(2) + eventText(3) + eventText(4), true},
		"from the beginning":                  {events(1, 4, end), eventText(1) + eventText(2), false},
		"with the last event again":           {events(2, 4, end), eventText(1) + eventText(2), false},
		"with the same ID for two new events": {strings.Replace(events(3, 4, end), "id: 4", "id: 3", 1), eventText(1) + eventText(2) + eventText(3), false},
		"with a lower ID after a new event":   {strings.Replace(events(3, 4, end), "id: 4", "id: 1", 1), eventText(1) + eventText(2) + eventText(3), false},
	}
	for name, test := range cases {
		Convey("no event reaches the caller twice: the next target continues "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", interrupted), startTarget(t, "u", test.next)}}
			_, _, body, err := request(t, start(t, dispatcher, true), "/resumable/a", "plan", "")
			So(body, ShouldEqual, test.body)
			So(err == nil, ShouldEqual, test.complete)
		})
	}
}

// endlessTarget writes the same text over and over until its peer closes the connection, and counts the bytes written.
type endlessTarget struct {
	written atomic.Int64
	closed  chan struct{}
}

func startEndless(t *testing.T, begin, piece string) (*fakeTarget, *endlessTarget) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	endless := &endlessTarget{closed: make(chan struct{})}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(endless.closed)
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		text := []byte(begin)
		for {
			count, err := conn.Write(text)
			endless.written.Add(int64(count))
			if err != nil {
				return
			}
			text = []byte(strings.Repeat(piece, 1+(16<<10)/len(piece)))
		}
	}()
	return &fakeTarget{Target: coltsfootlink.Target{Name: "t", Pool: "p", Address: listener.Addr().String()}}, endless
}

func TestEndlessAnswersAreAborted(t *testing.T) {
	// maxWritten allows for the bytes that kernel buffers hold beyond maxAnswerBytes.
	const maxWritten = 80 << 20
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	event := "id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n"
	cases := map[string]struct {
		path, begin, piece string
		maxWritten         int64
	}{
		"in the status line":                          {"/once/a", "HTTP/1.1 200 ", "x", 16 << 20},
		"in one header line":                          {"/once/a", stamped + "X: ", "x", 16 << 20},
		"in header lines":                             {"/once/a", stamped, "X: y\r\n", 16 << 20},
		"in interim answers":                          {"/once/a", "", "HTTP/1.1 100 Continue\r\n\r\n", 16 << 20},
		"in answers to another request":               {"/once/a", "", "HTTP/1.1 200 OK\r\nAttempt-Id: r-2\r\nContent-Length: 1\r\n\r\nx", 16 << 20},
		"in the body of an answer to another request": {"/once/a", "HTTP/1.1 200 OK\r\nAttempt-Id: r-2\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 16 << 20},
		"in a body without a length":                  {"/once/a", stamped + "\r\n", "x", maxWritten},
		"in a chunked body":                           {"/once/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", chunk, maxWritten},
		"in a chunk's size":                           {"/once/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", "0", maxWritten},
		"in a trailer":                                {"/once/a", stamped + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", maxWritten},
		"in one line of an event":                     {"/resumable/a", stamped + "\r\n", "x", 16 << 20},
		"in lines of an event":                        {"/resumable/a", stamped + "\r\n", "data: x\n", 16 << 20},
		"in events":                                   {"/stream/a", stamped + "\r\n", event, maxWritten},
		"in events without IDs":                       {"/resumable/a", stamped + "\r\n", "data: x\n\n", maxWritten},
	}
	for name, test := range cases {
		Convey("an endless answer is aborted: "+name, t, func() {
			fake, endless := startEndless(t, test.begin, test.piece)
			status, _, _, err := request(t, start(t, &fakeDispatcher{targets: []*fakeTarget{fake}}, true), test.path, "plan", "")
			So(err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout, ShouldBeTrue)
			<-endless.closed
			So(endless.written.Load(), ShouldBeLessThan, test.maxWritten)
		})
	}
}

func TestLongLinesDoNotSplitEvents(t *testing.T) {
	cases := map[string]int{"as long as the buffer": streamBytes, "one shorter": streamBytes - 1, "one longer": streamBytes + 1, "twice as long": 2 * streamBytes}
	for name, length := range cases {
		Convey("an event is forwarded completely or not at all: a line "+name, t, func() {
			line := "data: " + strings.Repeat("x", length-len("data: ")) + "\n"
			piece := "id: 2\n" + line
			interrupted := events(1, 1, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
			next := startTarget(t, "u", events(2, 3, "0\r\n\r\n"))
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", interrupted), next}}
			_, _, body, err := request(t, start(t, dispatcher, true), "/resumable/a", "plan", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, eventText(1)+eventText(2)+eventText(3))
			So(next.received()[0].Header.Get("Last-Event-Id"), ShouldEqual, "1")
		})
	}
}

func TestBufferedEventsAreFlushedTogether(t *testing.T) {
	cases := map[string]struct{ path, end string }{
		"and the stream ends":             {"/resumable/a", "0\r\n\r\n"},
		"and the next event is truncated": {"/resumable/a", "9\r\nid: 41\nda"},
		"and the stream is not resumable": {"/stream/a", "0\r\n\r\n"},
		"and the connection closes":       {"/resumable/a", ""},
	}
	for name, test := range cases {
		Convey("buffered events are sent in few writes: "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", events(1, 40, test.end))}}
			conn, err := net.Dial("tcp4", strings.TrimPrefix(start(t, dispatcher, true), "http://"))
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 1500\r\nContent-Length: 4\r\n\r\nplan", test.path)
			So(err, ShouldBeNil)
			text, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
			So(strings.Count(string(text), "data: x"), ShouldEqual, 40)
			chunks := regexp.MustCompile(`(?m)^[0-9a-f]+\r$`).FindAllString(string(text), -1)
			So(len(chunks), ShouldBeLessThan, 10)
		})
	}
}
