package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

// logLines is a log writer that sends its lines to a test.
type logLines chan string

// Write sends one line to the channel.
func (log logLines) Write(line []byte) (int, error) {
	log <- string(line)
	return len(line), nil
}

// startUnresponsive starts a target that writes text after a request and then neither sends more nor closes the
// connection.
func startUnresponsive(t *testing.T, text string) *fakeTarget {
	t.Helper()
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte(text))
		_, _ = io.Copy(io.Discard, conn)
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeTarget{Target: coltsfootlink.Target{Name: "t", Pool: "p", Address: address}}
}

// waitForResults waits up to a second for that many results, and returns all that arrived.
func (dispatcher *fakeDispatcher) waitForResults(count int) []coltsfootlink.Result {
	for end := time.Now().Add(time.Second); len(dispatcher.results()) < count && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return dispatcher.results()
}

func TestHalfClosedCallersGetNoCompleteAnswer(t *testing.T) {
	cases := map[string]struct{ path, text string }{
		"before an answer":                       {"/safe/a", ""},
		"before the answer to an unsafe request": {"/unsafe/a", ""},
		"while an answer is buffered":            {"/unsafe/a", stamped + "Content-Length: 9\r\n\r\nroof"},
		"in a stream":                            {"/stream/a", events(1, 2, "")},
		"in a resumable stream":                  {"/resumable/a", events(1, 2, "7\r\nid: 3\nd")},
		"in a long answer without a length":      {"/once/a", stamped + "\r\n" + strings.Repeat("plank ", 300_000)},
	}
	for name, test := range cases {
		Convey("a caller that closes its sending direction gets no complete answer: "+name, t, func() {
			log := make(logLines, 10)
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startUnresponsive(t, test.text)}, log: zerolog.New(log)}
			conn, err := net.Dial("tcp4", strings.TrimPrefix(start(t, dispatcher, true), "http://"))
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\nTime-Left-Ms: 1500\r\nContent-Length: 4\r\n\r\nplan", test.path)
			So(err, ShouldBeNil)
			time.AfterFunc(200*time.Millisecond, func() { _ = conn.(*net.TCPConn).CloseWrite() })
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && response.StatusCode == http.StatusOK {
				So(response.Header.Get("Answer-Stamp"), ShouldNotBeEmpty)
				_, err = io.Copy(io.Discard, response.Body)
				So(err, ShouldNotBeNil)
			}
			So(log, ShouldHaveLength, 1)
			So(<-log, ShouldContainSubstring, "caller left")
			So(dispatcher.waitForResults(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Cancelled})
		})
	}
}

func TestResumedStreamsRepeatThePartialEvent(t *testing.T) {
	interrupted := events(1, 2, "7\r\nid: 3\nd\r\n")
	const end = "0\r\n\r\n"
	const typed = stamped + "Content-Type: text/event-stream\r\n"
	cases := map[string]struct {
		first, next string
		complete    bool
	}{
		"the next target ends the stream without it":     {interrupted, events(1, 0, end), false},
		"the next answer is empty":                       {interrupted, typed + "Content-Length: 0\r\n\r\n", false},
		"the next answer has one blank line":             {interrupted, typed + "Content-Length: 1\r\n\r\n\n", false},
		"the next answer has only a comment":             {interrupted, typed + "Content-Length: 5\r\n\r\n: x\n\n", false},
		"the next answer is not an event stream":         {interrupted, stamped + "Content-Type: application/json\r\nContent-Length: 4\r\n\r\n{}\n\n", false},
		"the next answer has events but no content type": {interrupted, strings.Replace(events(3, 4, end), "Content-Type: text/event-stream\r\n", "", 1), false},
		"the next target sends it":                       {interrupted, events(3, 4, end), true},
		"no event had begun":                             {events(1, 2, ""), events(1, 0, end), true},
	}
	for name, test := range cases {
		Convey("a resumed stream without the interrupted event ends with an error: "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", test.first), startTarget(t, "u", test.next)}}
			status, _, body, err := request(t, start(t, dispatcher, true), "/resumable/a", "plan", "")
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldStartWith, eventText(1)+eventText(2))
			So(err == nil, ShouldEqual, test.complete)
		})
	}
}

func TestResumableAnswersBeginWithACompleteEvent(t *testing.T) {
	const end = "0\r\n\r\n"
	partialFirst := events(1, 0, "7\r\nid: 1\nd\r\n")
	cases := map[string]struct {
		targets []string
		status  int
		body    string
	}{
		"the next target sends it":                   {[]string{partialFirst, events(1, 2, end)}, 200, eventText(1) + eventText(2)},
		"the next target ends the stream without it": {[]string{partialFirst, events(1, 0, end)}, 502, ""},
		"the next target fails":                      {[]string{partialFirst, failed}, 500, "oops"},
		"no other target is left":                    {[]string{partialFirst}, 502, ""},
		"a stream without events is complete":        {[]string{events(1, 0, end)}, 200, ""},
	}
	for name, test := range cases {
		Convey("an interruption within the first event does not start the answer: "+name, t, func() {
			dispatcher := new(fakeDispatcher)
			for index, text := range test.targets {
				dispatcher.targets = append(dispatcher.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			status, _, body, err := request(t, start(t, dispatcher, true), "/resumable/a", "plan", "")
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(err, ShouldBeNil)
		})
	}
}

func TestCallersResumeAfterTheirLastEvent(t *testing.T) {
	const end = "0\r\n\r\n"
	lastTwo := eventText(3) + eventText(4)
	withoutID := stamped + "Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\ndata: x\n\ni"
	cases := map[string]struct {
		path     string
		targets  []string
		status   int
		body     string
		complete bool
	}{
		"the target continues":                                         {"/resumable/a", []string{events(3, 4, end)}, 200, lastTwo, true},
		"the target starts over":                                       {"/resumable/a", []string{events(1, 4, end)}, 502, "", true},
		"the target repeats the last event":                            {"/resumable/a", []string{events(2, 4, end)}, 502, "", true},
		"the first target is interrupted within its first event":       {"/resumable/a", []string{events(3, 2, "7\r\nid: 3\nd\r\n"), events(3, 4, end)}, 200, lastTwo, true},
		"the next target continues":                                    {"/resumable/a", []string{events(1, 4, end), events(3, 4, end)}, 200, lastTwo, true},
		"the first target is interrupted after an event without an ID": {"/resumable/a", []string{withoutID, events(3, 4, end)}, 200, "data: x\n\n", false},
		"a stream that is not resumable is interrupted":                {"/stream/a", []string{events(3, 3, ""), events(4, 4, end)}, 200, eventText(3), false},
		"there are no further events":                                  {"/resumable/a", []string{events(3, 0, end)}, 200, "", true},
	}
	for name, test := range cases {
		Convey("a resuming caller gets the events after its last one, once: "+name, t, func() {
			dispatcher := new(fakeDispatcher)
			for index, text := range test.targets {
				dispatcher.targets = append(dispatcher.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			header := http.Header{"Last-Event-Id": {"2"}}
			status, _, body, err := requestWith(t, start(t, dispatcher, true), test.path, "plan", header)
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(err == nil, ShouldEqual, test.complete)
			So(dispatcher.targets[0].received()[0].Header.Get("Last-Event-Id"), ShouldEqual, "2")
		})
	}
}

func TestStreamsThatEndInsideAnEventAreTruncated(t *testing.T) {
	const typed = stamped + "Content-Type: text/event-stream\r\n"
	event := eventText(1)
	cases := map[string]struct {
		text     string
		complete bool
	}{
		"with the connection, within an event":                  {typed + "\r\n" + event + "id: 2\nda", false},
		"with the connection, after one line of an event":       {typed + "\r\n" + event + "id: 2\n", false},
		"with the last chunk, within an event":                  {events(1, 1, "5\r\nid: 2\r\n0\r\n\r\n"), false},
		"by its content length, within an event":                {typed + "Content-Length: 5\r\n\r\nid: 2", false},
		"within an event, and the content type has a parameter": {strings.TrimSpace(typed) + "; charset=utf-8\r\n\r\n" + event + "id: 2", false},
		"with the connection, after an event":                   {typed + "\r\n" + event, true},
		"after an event that arrives in pieces":                 {events(1, 0, "1\r\ni\r\n3\r\nd:\n\r\n1\r\n\n\r\n0\r\n\r\n"), true},
		"after an event with CRLF line endings":                 {typed + "\r\nid: 1\r\ndata: x\r\n\r\n", true},
		"after an event with CR line endings":                   {typed + "\r\nid: 1\rdata: x\r\r", true},
		"without events":                                        {typed + "\r\n", true},
		"with another content type":                             {stamped + "Content-Type: application/json\r\n\r\n{}", true},
		"without a content type":                                {stamped + "\r\n{}", true},
	}
	for name, test := range cases {
		Convey("a stream that ends within an event ends with an error: it ends "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", test.text)}}
			_, _, _, err := request(t, start(t, dispatcher, true), "/stream/a", "plan", "")
			So(err == nil, ShouldEqual, test.complete)
		})
	}
}

func TestTooLongAnswersAreNotCountedAsCrashes(t *testing.T) {
	cases := map[string]struct {
		path, text string
		status     int
	}{
		"the headers":      {"/safe/a", stamped + "X: " + strings.Repeat("x", 1<<17), http.StatusBadGateway},
		"a content length": {"/safe/a", stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxAnswerBytes+1), http.StatusBadGateway},
		"the first event":  {"/resumable/a", stamped + "\r\ndata: " + strings.Repeat("x", maxEventBytes) + "\n\n", http.StatusBadGateway},
		"a later event":    {"/resumable/a", stamped + "\r\n" + eventText(1) + strings.Repeat("x", maxEventBytes+1), http.StatusOK},
	}
	for name, test := range cases {
		Convey("an answer that is too long is not sent to another target, nor counted as a crash: "+name, t, func() {
			next := startTarget(t, "u", succeeded)
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", test.text), next}}
			status, _, _, err := request(t, start(t, dispatcher, true), test.path, "plan", "")
			So(status, ShouldEqual, test.status)
			So(err != nil, ShouldEqual, test.status == http.StatusOK)
			So(next.received(), ShouldBeEmpty)
			So(dispatcher.waitForResults(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Failed})
		})
	}
}

func TestHeadAnswersKeepContentLength(t *testing.T) {
	cases := map[string]struct {
		text   string
		status int
		length int64
	}{
		"a content length":         {stamped + "Content-Length: 9\r\n\r\n", http.StatusOK, 9},
		"a length above the limit": {stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxAnswerBytes+1), http.StatusOK, maxAnswerBytes + 1},
		"no length":                {stamped + "\r\n", http.StatusOK, -1},
		"a length of zero":         {stamped + "Content-Length: 0\r\n\r\n", http.StatusOK, 0},
		"the length of a failure":  {"HTTP/1.1 404 Not Found\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 7\r\n\r\n", http.StatusNotFound, 7},
	}
	for name, test := range cases {
		Convey("an answer to HEAD keeps the target's Content-Length: "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", test.text)}}
			outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodHead, start(t, dispatcher, true)+"/once/a", nil)
			So(err, ShouldBeNil)
			outgoing.Host = "h"
			outgoing.Header.Set("Attempt-Id", "r-1")
			response, err := http.DefaultTransport.RoundTrip(outgoing)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.ContentLength, ShouldEqual, test.length)
			So(dispatcher.waitForResults(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Succeeded})
		})
	}
}
