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

// lines is a log that a test reads.
type lines chan string

// Write notes a line.
func (noted lines) Write(line []byte) (int, error) {
	noted <- string(line)
	return len(line), nil
}

// startSilent runs a target that writes text after a request and then keeps the connection open.
func startSilent(t *testing.T, text string) *fakeTarget {
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

// resultsOf waits until that many requests have ended, and returns how.
func (offer *offer) resultsOf(count int) []coltsfootlink.Result {
	for end := time.Now().Add(time.Second); len(offer.results()) < count && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return offer.results()
}

func TestHalfClosedCallersGetNoFalseEnd(t *testing.T) {
	cases := map[string]struct{ path, text string }{
		"before an answer":                {"/safe/a", ""},
		"before one that may not repeat":  {"/unsafe/a", ""},
		"while an answer is held":         {"/unsafe/a", stamped + "Content-Length: 9\r\n\r\nroof"},
		"in a stream":                     {"/stream/a", events(1, 2, "")},
		"in a stream that can be resumed": {"/resumable/a", events(1, 2, "7\r\nid: 3\nd")},
		"in a long answer without length": {"/once/a", stamped + "\r\n" + strings.Repeat("plank ", 300_000)},
	}
	for name, test := range cases {
		Convey("a caller that closes its own direction gets nothing that looks whole: "+name, t, func() {
			noted := make(lines, 10)
			offered := &offer{targets: []*fakeTarget{startSilent(t, test.text)}, log: zerolog.New(noted)}
			conn, err := net.Dial("tcp4", strings.TrimPrefix(start(t, offered, true), "http://"))
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
			So(noted, ShouldHaveLength, 1)
			So(<-noted, ShouldContainSubstring, "caller left")
			So(offered.resultsOf(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Cancelled})
		})
	}
}

func TestResumedStreamsBringWhatHadBegun(t *testing.T) {
	broken := events(1, 2, "7\r\nid: 3\nd\r\n")
	const end = "0\r\n\r\n"
	const typed = stamped + "Content-Type: text/event-stream\r\n"
	cases := map[string]struct {
		first, next string
		whole       bool
	}{
		"the next ends without it":          {broken, events(1, 0, end), false},
		"the next is empty":                 {broken, typed + "Content-Length: 0\r\n\r\n", false},
		"the next has one blank line":       {broken, typed + "Content-Length: 1\r\n\r\n\n", false},
		"the next has only a comment":       {broken, typed + "Content-Length: 5\r\n\r\n: x\n\n", false},
		"the next is no stream of events":   {broken, stamped + "Content-Type: application/json\r\nContent-Length: 4\r\n\r\n{}\n\n", false},
		"the next has events under no type": {broken, strings.Replace(events(3, 4, end), "Content-Type: text/event-stream\r\n", "", 1), false},
		"the next brings it":                {broken, events(3, 4, end), true},
		"none had begun":                    {events(1, 2, ""), events(1, 0, end), true},
	}
	for name, test := range cases {
		Convey("a stream that goes on without the event that had begun does not look whole: "+name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", test.first), startTarget(t, "u", test.next)}}
			status, _, body, err := request(t, start(t, offered, true), "/resumable/a", "plan", "")
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldStartWith, eventText(1)+eventText(2))
			So(err == nil, ShouldEqual, test.whole)
		})
	}
}

func TestResumableAnswersBeginWithAWholeEvent(t *testing.T) {
	const end = "0\r\n\r\n"
	begun := events(1, 0, "7\r\nid: 1\nd\r\n")
	cases := map[string]struct {
		targets []string
		status  int
		body    string
	}{
		"the next brings it":               {[]string{begun, events(1, 2, end)}, 200, eventText(1) + eventText(2)},
		"the next ends without it":         {[]string{begun, events(1, 0, end)}, 502, ""},
		"the next fails":                   {[]string{begun, failed}, 500, "oops"},
		"there is no next":                 {[]string{begun}, 502, ""},
		"a stream without events is whole": {[]string{events(1, 0, end)}, 200, ""},
	}
	for name, test := range cases {
		Convey("a break in the first event is no break of the answer: "+name, t, func() {
			offered := new(offer)
			for index, text := range test.targets {
				offered.targets = append(offered.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			status, _, body, err := request(t, start(t, offered, true), "/resumable/a", "plan", "")
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(err, ShouldBeNil)
		})
	}
}

func TestCallersThatResumeGetWhatIsBehind(t *testing.T) {
	const end = "0\r\n\r\n"
	both := eventText(3) + eventText(4)
	unnumbered := stamped + "Content-Type: text/event-stream\r\nContent-Length: 10\r\n\r\ndata: x\n\ni"
	cases := map[string]struct {
		path    string
		targets []string
		status  int
		body    string
		whole   bool
	}{
		"the target goes on":                      {"/resumable/a", []string{events(3, 4, end)}, 200, both, true},
		"the target begins anew":                  {"/resumable/a", []string{events(1, 4, end)}, 502, "", true},
		"the target repeats the last one":         {"/resumable/a", []string{events(2, 4, end)}, 502, "", true},
		"the first breaks in its first event":     {"/resumable/a", []string{events(3, 2, "7\r\nid: 3\nd\r\n"), events(3, 4, end)}, 200, both, true},
		"the next target goes on":                 {"/resumable/a", []string{events(1, 4, end), events(3, 4, end)}, 200, both, true},
		"the first breaks before it has a number": {"/resumable/a", []string{unnumbered, events(3, 4, end)}, 200, "data: x\n\n", false},
		"a stream that cannot be resumed breaks":  {"/stream/a", []string{events(3, 3, ""), events(4, 4, end)}, 200, eventText(3), false},
		"nothing is behind it":                    {"/resumable/a", []string{events(3, 0, end)}, 200, "", true},
	}
	for name, test := range cases {
		Convey("a caller that has events gets those behind them, once: "+name, t, func() {
			offered := new(offer)
			for index, text := range test.targets {
				offered.targets = append(offered.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			header := http.Header{"Last-Event-Id": {"2"}}
			status, _, body, err := requestWith(t, start(t, offered, true), test.path, "plan", header)
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(err == nil, ShouldEqual, test.whole)
			So(offered.targets[0].seen()[0].Header.Get("Last-Event-Id"), ShouldEqual, "2")
		})
	}
}

func TestStreamsEndBehindAnEvent(t *testing.T) {
	const typed = stamped + "Content-Type: text/event-stream\r\n"
	event := eventText(1)
	cases := map[string]struct {
		text  string
		whole bool
	}{
		"with the connection, in an event":     {typed + "\r\n" + event + "id: 2\nda", false},
		"with the connection, behind one line": {typed + "\r\n" + event + "id: 2\n", false},
		"framed as whole, in an event":         {events(1, 1, "5\r\nid: 2\r\n0\r\n\r\n"), false},
		"by its length, in an event":           {typed + "Content-Length: 5\r\n\r\nid: 2", false},
		"in one whose type has a parameter":    {strings.TrimSpace(typed) + "; charset=utf-8\r\n\r\n" + event + "id: 2", false},
		"with the connection, behind an event": {typed + "\r\n" + event, true},
		"behind an event, in pieces":           {events(1, 0, "1\r\ni\r\n3\r\nd:\n\r\n1\r\n\n\r\n0\r\n\r\n"), true},
		"behind an event with returns":         {typed + "\r\nid: 1\r\ndata: x\r\n\r\n", true},
		"behind an event with returns alone":   {typed + "\r\nid: 1\rdata: x\r\r", true},
		"without events":                       {typed + "\r\n", true},
		"where it is of another type":          {stamped + "Content-Type: application/json\r\n\r\n{}", true},
		"where it has none":                    {stamped + "\r\n{}", true},
	}
	for name, test := range cases {
		Convey("a stream that ends in an event does not look whole: it ends "+name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", test.text)}}
			_, _, _, err := request(t, start(t, offered, true), "/stream/a", "plan", "")
			So(err == nil, ShouldEqual, test.whole)
		})
	}
}

func TestAnswersThatAreTooLongAreNoCrashes(t *testing.T) {
	cases := map[string]struct {
		path, text string
		status     int
	}{
		"a head":                  {"/safe/a", stamped + "X: " + strings.Repeat("x", 1<<17), http.StatusBadGateway},
		"a length":                {"/safe/a", stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxAnswerBytes+1), http.StatusBadGateway},
		"the first event":         {"/resumable/a", stamped + "\r\ndata: " + strings.Repeat("x", maxEventBytes) + "\n\n", http.StatusBadGateway},
		"an event behind another": {"/resumable/a", stamped + "\r\n" + eventText(1) + strings.Repeat("x", maxEventBytes+1), http.StatusOK},
	}
	for name, test := range cases {
		Convey("what is too long is so everywhere, and strikes no target: "+name, t, func() {
			next := startTarget(t, "u", good)
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", test.text), next}}
			status, _, _, err := request(t, start(t, offered, true), test.path, "plan", "")
			So(status, ShouldEqual, test.status)
			So(err != nil, ShouldEqual, test.status == http.StatusOK)
			So(next.seen(), ShouldBeEmpty)
			So(offered.resultsOf(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Failed})
		})
	}
}

func TestAnswersToHeadKeepTheirLength(t *testing.T) {
	cases := map[string]struct {
		text   string
		status int
		length int64
	}{
		"a length":                     {stamped + "Content-Length: 9\r\n\r\n", http.StatusOK, 9},
		"a length beyond what we pass": {stamped + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxAnswerBytes+1), http.StatusOK, maxAnswerBytes + 1},
		"none":                         {stamped + "\r\n", http.StatusOK, -1},
		"a length of nothing":          {stamped + "Content-Length: 0\r\n\r\n", http.StatusOK, 0},
		"a failure's":                  {"HTTP/1.1 404 Not Found\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 7\r\n\r\n", http.StatusNotFound, 7},
	}
	for name, test := range cases {
		Convey("what a target says of a body that it does not send is passed on: "+name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", test.text)}}
			outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodHead, start(t, offered, true)+"/once/a", nil)
			So(err, ShouldBeNil)
			outgoing.Host = "h"
			outgoing.Header.Set("Attempt-Id", "r-1")
			response, err := http.DefaultTransport.RoundTrip(outgoing)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.ContentLength, ShouldEqual, test.length)
			So(offered.resultsOf(1), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Succeeded})
		})
	}
}
