package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

// startKeepAlive starts a target that keeps connections open and answers each request with the script's text. It closes
// the connection after a text that ends with closeMarker.
func startKeepAlive(t *testing.T, name coltsfootlink.TargetName, script func(count int32, id string) string) *fakeTarget {
	t.Helper()
	received := new(atomic.Int32)
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text := script(received.Add(1), request.Header.Get("Attempt-Id"))
			_, _ = conn.Write([]byte(text))
			if strings.HasSuffix(text, closeMarker) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeTarget{Target: coltsfootlink.Target{Name: name, Pool: "p", Address: address}}
}

// closeMarker ends a text after which the target closes the connection.
const closeMarker = "\r\n\r\n\r\n"

// send sends a request with the given ID and returns the answer's status and body; the status is zero if there is no
// answer.
func send(t *testing.T, url, path, id string) (int, string, error) {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, strings.NewReader("plan"))
	if err != nil {
		t.Fatal(err)
	}
	outgoing.Host = "h"
	outgoing.Header = http.Header{"Attempt-Id": {id}, "Time-Left-Ms": {"1500"}}
	response, err := http.DefaultTransport.RoundTrip(outgoing)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func TestStaleRefusalsAreNotMatchedToLaterRequests(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	refusals := map[string]string{
		"not run":                            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\n" + empty,
		"not run, status 429":                "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\n" + empty,
		"another target at the address":      "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: r-0\r\n" + empty,
		"not run, without an ID":             "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + empty,
		"not run, status 421 without an ID":  "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\n" + empty,
		"not run, and the connection closes": "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\nConnection: close\r\n" + empty,
		"not run, with a chunked body":       "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
	}
	followers := map[string]struct {
		path, text string
		statuses   []int
	}{
		"followed by the answer":                         {"/unsafe/a", succeeded, []int{http.StatusOK, http.StatusBadGateway}},
		"followed by nothing":                            {"/unsafe/a", closeMarker, []int{http.StatusBadGateway}},
		"followed by the answer to a repeatable request": {"/safe/a", succeeded, []int{http.StatusOK}},
		"followed by nothing, for a repeatable request":  {"/safe/a", closeMarker, []int{http.StatusOK}},
	}
	for name, refusal := range refusals {
		for end, test := range followers {
			Convey("a repeated refusal of an earlier request is not taken as the answer to a later one: "+name+", "+end, t, func() {
				faulty := startKeepAlive(t, "t", func(count int32, id string) string {
					if count == 1 {
						return strings.Replace(succeeded, "r-1", id, 1)
					}
					return refusal + test.text
				})
				next := startTarget(t, "u", succeeded)
				url := start(t, &fakeDispatcher{targets: []*fakeTarget{faulty, next}}, true)
				status, _, err := send(t, url, test.path, "r-0")
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
				status, body, err := send(t, url, test.path, "r-1")
				So(err, ShouldBeNil)
				So(status, ShouldBeIn, test.statuses)
				So(body == "roof", ShouldEqual, status == http.StatusOK)
				if test.path == "/unsafe/a" {
					So(next.received(), ShouldBeEmpty)
				}
			})
		}
	}
}

func TestTruncatedHeadsAreNotAnswers(t *testing.T) {
	heads := map[string]string{
		"a plain answer":           strings.TrimSuffix(succeeded, "roof"),
		"an answer without length": stamped + "\r\n",
		"a stream":                 events(1, 0, ""),
		"a refusal":                notRun,
		"a failure":                strings.TrimSuffix(failed, "oops"),
	}
	paths := map[string]struct {
		next, body string
		status     int
	}{
		"/unsafe/a":    {succeeded, "", http.StatusBadGateway},
		"/stream/a":    {events(1, 2, "0\r\n\r\n"), "", http.StatusBadGateway},
		"/safe/a":      {succeeded, "roof", http.StatusOK},
		"/resumable/a": {events(1, 2, "0\r\n\r\n"), eventText(1) + eventText(2), http.StatusOK},
	}
	for name, head := range heads {
		for path, test := range paths {
			Convey("an answer that ends within its headers is not an answer: "+name+", "+path, t, func() {
				for _, length := range []int{1, 9, 12, 16, 17, len(head) / 2, len(head) - 4, len(head) - 3, len(head) - 2, len(head) - 1} {
					next := startTarget(t, "u", test.next)
					dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", head[:length]), next}}
					status, _, body, err := request(t, start(t, dispatcher, true), path, "plan", "")
					So(err, ShouldBeNil)
					So(status, ShouldEqual, test.status)
					So(body, ShouldEqual, test.body)
					So(len(next.received()) > 0, ShouldEqual, test.body != "")
				}
			})
		}
	}
}

// TestSecondCopiesOfAnswersReachNobody checks that a target that sends its answer a second time, when the connection is in use
// by the next request, spoils neither.
func TestSecondCopiesOfAnswersReachNobody(t *testing.T) {
	answers := map[string]string{
		"a plain answer":   strings.Replace(succeeded, "roof", "copy", 1),
		"a failure":        strings.Replace(failed, "oops", "copy", 1),
		"a refusal":        notRun,
		"a chunked answer": "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncopy\r\n0\r\n\r\n",
	}
	paths := map[string]struct{ own, body string }{
		"/unsafe/a": {succeeded, "roof"},
		"/safe/a":   {succeeded, "roof"},
		"/stream/a": {events(1, 3, "0\r\n\r\n"), eventText(1) + eventText(2) + eventText(3)},
	}
	for name, answer := range answers {
		for path, test := range paths {
			Convey("the next request on the connection gets its own answer: "+name+", "+path, t, func() {
				var earlier string
				target := startKeepAlive(t, "t", func(count int32, id string) string {
					own := strings.ReplaceAll(test.own, "r-1", id)
					if count == 1 {
						earlier = strings.ReplaceAll(answer, "r-1", id)
						return own
					}
					return earlier + own
				})
				url := start(t, &fakeDispatcher{targets: []*fakeTarget{target}}, true)
				for _, id := range []string{"r-0", "r-1"} {
					status, body, err := send(t, url, path, id)
					So(err, ShouldBeNil)
					So(status, ShouldEqual, http.StatusOK)
					So(body, ShouldEqual, test.body)
				}
			})
		}
	}
}
