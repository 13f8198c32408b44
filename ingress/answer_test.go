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

func TestLongAnswersComeWhole(t *testing.T) {
	long := strings.Repeat("plank ", 300_000)
	cases := map[string]struct {
		text  string
		whole bool
	}{
		"with a length":                     {stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, true},
		"in chunks":                         {stamped + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(long)) + long + "\r\n0\r\n\r\n", true},
		"until the connection ends":         {stamped + "\r\n" + long, true},
		"shorter than its length":           {stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)+1) + long, false},
		"in chunks of which the last lacks": {stamped + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(long)) + long + "\r\n", false},
	}
	for name, test := range cases {
		Convey("a long answer is whole or does not look so: "+name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", test.text)}}
			status, _, body, err := request(t, start(t, offered, true), "/once/a", "plan", "")
			So(status, ShouldEqual, 200)
			if test.whole {
				So(err, ShouldBeNil)
				So(len(body), ShouldEqual, len(long))
			} else {
				So(err, ShouldNotBeNil)
			}
		})
	}
}

func TestResumedStreamsGoOn(t *testing.T) {
	broken := events(1, 2, "")
	end := "0\r\n\r\n"
	cases := map[string]struct {
		next  string
		body  string
		whole bool
	}{
		"behind the last event":          {events(3, 4, end), eventText(1) + eventText(2) + eventText(3) + eventText(4), true},
		"from the beginning":             {events(1, 4, end), eventText(1) + eventText(2), false},
		"with the last event once more":  {events(2, 4, end), eventText(1) + eventText(2), false},
		"with an event twice behind it":  {strings.Replace(events(3, 4, end), "id: 4", "id: 3", 1), eventText(1) + eventText(2) + eventText(3), false},
		"with an event that goes before": {strings.Replace(events(3, 4, end), "id: 4", "id: 1", 1), eventText(1) + eventText(2) + eventText(3), false},
	}
	for name, test := range cases {
		Convey("no piece of a stream comes twice: the next target goes on "+name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", broken), startTarget(t, "u", test.next)}}
			_, _, body, err := request(t, start(t, offered, true), "/resumable/a", "plan", "")
			So(body, ShouldEqual, test.body)
			So(err == nil, ShouldEqual, test.whole)
		})
	}
}

// endlessTarget writes a piece again and again until its caller closes, and counts the bytes.
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

func TestEndlessAnswersAreGivenUp(t *testing.T) {
	// most leaves room for what the buffers of the kernel take.
	const most = 80 << 20
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	event := "id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n"
	cases := map[string]struct {
		path, begin, piece string
		most               int64
	}{
		"in the line of the status":       {"/once/a", "HTTP/1.1 200 ", "x", 16 << 20},
		"in one line of the head":         {"/once/a", stamped + "X: ", "x", 16 << 20},
		"in lines of the head":            {"/once/a", stamped, "X: y\r\n", 16 << 20},
		"in heads of interim answers":     {"/once/a", "", "HTTP/1.1 100 Continue\r\n\r\n", 16 << 20},
		"in answers of others":            {"/once/a", "", "HTTP/1.1 200 OK\r\nAttempt-Id: r-2\r\nContent-Length: 1\r\n\r\nx", 16 << 20},
		"in the body of another's answer": {"/once/a", "HTTP/1.1 200 OK\r\nAttempt-Id: r-2\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 16 << 20},
		"in a body without length":        {"/once/a", stamped + "\r\n", "x", most},
		"in a body in chunks":             {"/once/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", chunk, most},
		"in the size of a chunk":          {"/once/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", "0", most},
		"in a trailer":                    {"/once/a", stamped + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", most},
		"in a line of an event":           {"/resumable/a", stamped + "\r\n", "x", 16 << 20},
		"in lines of an event":            {"/resumable/a", stamped + "\r\n", "data: x\n", 16 << 20},
		"in events":                       {"/stream/a", stamped + "\r\n", event, most},
		"in events without identifiers":   {"/resumable/a", stamped + "\r\n", "data: x\n\n", most},
	}
	for name, test := range cases {
		Convey("an answer without end is given up: "+name, t, func() {
			fake, endless := startEndless(t, test.begin, test.piece)
			status, _, _, err := request(t, start(t, &offer{targets: []*fakeTarget{fake}}, true), test.path, "plan", "")
			So(err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout, ShouldBeTrue)
			<-endless.closed
			So(endless.written.Load(), ShouldBeLessThan, test.most)
		})
	}
}

func TestLongLinesAreNoEvents(t *testing.T) {
	cases := map[string]int{"as long as the buffer": streamBytes, "one shorter": streamBytes - 1, "one longer": streamBytes + 1, "twice as long": 2 * streamBytes}
	for name, length := range cases {
		Convey("an event is passed on whole or not at all: a line "+name, t, func() {
			line := "data: " + strings.Repeat("x", length-len("data: ")) + "\n"
			piece := "id: 2\n" + line
			broken := events(1, 1, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
			next := startTarget(t, "u", events(2, 3, "0\r\n\r\n"))
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", broken), next}}
			_, _, body, err := request(t, start(t, offered, true), "/resumable/a", "plan", "")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, eventText(1)+eventText(2)+eventText(3))
			So(next.seen()[0].Header.Get("Last-Event-Id"), ShouldEqual, "1")
		})
	}
}

func TestEventsThatCameTogetherGoTogether(t *testing.T) {
	cases := map[string]struct{ path, end string }{
		"and the stream ends":       {"/resumable/a", "0\r\n\r\n"},
		"and the next is cut":       {"/resumable/a", "9\r\nid: 41\nda"},
		"and none can be resumed":   {"/stream/a", "0\r\n\r\n"},
		"and the stream is cut off": {"/resumable/a", ""},
	}
	for name, test := range cases {
		Convey("events that wait are sent in few writes: "+name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", events(1, 40, test.end))}}
			conn, err := net.Dial("tcp4", strings.TrimPrefix(start(t, offered, true), "http://"))
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
