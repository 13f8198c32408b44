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

// startKept runs a target that keeps its connections; it writes what the script says of each request, and closes behind a
// text that says so.
func startKept(t *testing.T, name coltsfootlink.TargetName, script func(count int32, id string) string) *fakeTarget {
	t.Helper()
	seen := new(atomic.Int32)
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text := script(seen.Add(1), request.Header.Get("Attempt-Id"))
			_, _ = conn.Write([]byte(text))
			if strings.HasSuffix(text, closes) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeTarget{Target: coltsfootlink.Target{Name: name, Pool: "p", Address: address}}
}

// closes ends the text behind which a target closes the connection.
const closes = "\r\n\r\n\r\n"

// send sends a request with an identifier of its own and returns the answer's status and body; zero if there is none.
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

func TestEarlierRefusalsThatComeAgainAreNotTakenForOurs(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	refusals := map[string]string{
		"full":                           "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\n" + empty,
		"too many":                       "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\n" + empty,
		"another at the address":         "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: r-0\r\n" + empty,
		"full, and nobody's":             "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + empty,
		"another, and nobody's":          "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\n" + empty,
		"full, and its connection ended": "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\nConnection: close\r\n" + empty,
		"full, with text in chunks":      "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-0\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
	}
	behind := map[string]struct {
		path, text string
		statuses   []int
	}{
		"and the answer behind it":          {"/unsafe/a", good, []int{http.StatusOK, http.StatusBadGateway}},
		"and nothing behind it":             {"/unsafe/a", closes, []int{http.StatusBadGateway}},
		"and the answer to a repeatable":    {"/safe/a", good, []int{http.StatusOK}},
		"and nothing behind a repeatable's": {"/safe/a", closes, []int{http.StatusOK}},
	}
	for name, refusal := range refusals {
		for end, test := range behind {
			Convey("an earlier refusal that comes once more says nothing of a request that runs: "+name+", "+end, t, func() {
				faulty := startKept(t, "t", func(count int32, id string) string {
					if count == 1 {
						return strings.Replace(good, "r-1", id, 1)
					}
					return refusal + test.text
				})
				next := startTarget(t, "u", good)
				url := start(t, &offer{targets: []*fakeTarget{faulty, next}}, true)
				status, _, err := send(t, url, test.path, "r-0")
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
				status, body, err := send(t, url, test.path, "r-1")
				So(err, ShouldBeNil)
				So(status, ShouldBeIn, test.statuses)
				So(body == "roof", ShouldEqual, status == http.StatusOK)
				if test.path == "/unsafe/a" {
					So(next.seen(), ShouldBeEmpty)
				}
			})
		}
	}
}

func TestHeadsThatBreakOffAreNoAnswers(t *testing.T) {
	heads := map[string]string{
		"a plain answer":           strings.TrimSuffix(good, "roof"),
		"an answer without length": stamped + "\r\n",
		"a stream":                 events(1, 0, ""),
		"a refusal":                shed,
		"a failure":                strings.TrimSuffix(failed, "oops"),
	}
	paths := map[string]struct {
		next, body string
		status     int
	}{
		"/unsafe/a":    {good, "", http.StatusBadGateway},
		"/stream/a":    {events(1, 2, "0\r\n\r\n"), "", http.StatusBadGateway},
		"/safe/a":      {good, "roof", http.StatusOK},
		"/resumable/a": {events(1, 2, "0\r\n\r\n"), eventText(1) + eventText(2), http.StatusOK},
	}
	for name, head := range heads {
		for path, test := range paths {
			Convey("a target that stops in the head of its answer has not answered: "+name+", "+path, t, func() {
				for _, cut := range []int{1, 9, 12, 16, 17, len(head) / 2, len(head) - 4, len(head) - 3, len(head) - 2, len(head) - 1} {
					next := startTarget(t, "u", test.next)
					offered := &offer{targets: []*fakeTarget{startTarget(t, "t", head[:cut]), next}}
					status, _, body, err := request(t, start(t, offered, true), path, "plan", "")
					So(err, ShouldBeNil)
					So(status, ShouldEqual, test.status)
					So(body, ShouldEqual, test.body)
					So(len(next.seen()) > 0, ShouldEqual, test.body != "")
				}
			})
		}
	}
}
