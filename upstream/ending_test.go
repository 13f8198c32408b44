package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

const (
	unframedHalf = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s\r\n\r\nroo"
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 12 << 20
)

// answerEarly writes text when only the head of a request was read, and ends the connection some time after it.
func answerEarly(text string, after time.Duration, end func(conn *net.TCPConn, rest io.Reader)) behaviour {
	return func(conn net.Conn, requests *bufio.Reader) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		time.Sleep(after)
		end(conn.(*net.TCPConn), request.Body)
	}
}

func resetNow(conn *net.TCPConn, _ io.Reader) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// TestAnswersDuringTheUpload guards against half an answer without a length that passes for a whole one, because the error of its
// connection was reported to the write of the request.
func TestAnswersDuringTheUpload(t *testing.T) {
	closeNow := func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }
	readAll := func(conn *net.TCPConn, rest io.Reader) {
		_, _ = io.Copy(io.Discard, rest)
		_ = conn.Close()
	}
	framed := strings.Replace(unframedHalf, "\r\n\r\nroo", "\r\nContent-Length: 3\r\n\r\nroo", 1)
	cases := map[string]struct {
		behave behaviour
		whole  bool
	}{
		"reset at once":                            {answerEarly(unframedHalf, 0, resetNow), false},
		"reset after 2 ms":                         {answerEarly(unframedHalf, 2*time.Millisecond, resetNow), false},
		"reset after 20 ms":                        {answerEarly(unframedHalf, 20*time.Millisecond, resetNow), false},
		"closed with the request unread":           {answerEarly(unframedHalf, 0, closeNow), false},
		"its direction closed, the request unread": {answerEarly(unframedHalf, 0, func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite(); time.Sleep(time.Second) }), false},
		"ended once the request was read":          {answerEarly(unframedHalf, 0, readAll), true},
		"with a length, reset after 20 ms":         {answerEarly(framed, 20*time.Millisecond, resetNow), true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, _ := startTarget(t, test.behave)
			client := newClient(t)
			for range 5 {
				answer, err := client.Call(t.Context(), "r-1", requestTo(target, strings.Repeat("x", uploadBytes)), true)
				if err != nil {
					// The reset may overtake the head.
					So(test.whole, ShouldBeFalse)
					continue
				}
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				So(err == nil, ShouldEqual, test.whole)
			}
		})
	}
}

// TestEvidence checks what is concluded from what is known of the end of an answer.
func TestEvidence(t *testing.T) {
	cases := map[string]struct {
		known evidence
		want  verdict
	}{
		"the witness is open":                                  {evidence{requestReceived: true, witnessOpen: true}, processAlive},
		"the witness is open, read long after the end":         {evidence{requestReceived: true, witnessOpen: true, quiet: time.Minute}, processAlive},
		"no witness, the target accepts connections":           {evidence{requestReceived: true, reachable: true, quiet: time.Millisecond}, processAlive},
		"no witness, read when another process may have begun": {evidence{requestReceived: true, reachable: true, quiet: restartTime}, processGone},
		"no witness, and the target accepts nothing":           {evidence{requestReceived: true}, processGone},
		"reset, and the target accepts connections":            {evidence{requestReceived: true, reset: true, reachable: true}, connectionReset},
		"the request was not taken":                            {evidence{witnessOpen: true, reachable: true}, requestUnread},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.known.verdict(), ShouldEqual, test.want) })
	}
}

// TestInvalidStatuses guards against a status that is none of HTTP and is passed on, or taken for that of an interim answer, so
// that its body is read as an answer.
func TestInvalidStatuses(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s\r\nContent-Length: 4\r\n\r\nroof"
	cases := map[string]struct {
		status  string
		invalid bool
	}{
		"000":                      {"000 Nothing", true},
		"099":                      {"099 Nothing", true},
		"101 without a request":    {"101 Switching Protocols", true},
		"103, then the final one":  {"103 Early Hints", false},
		"600":                      {"600 Much", true},
		"999":                      {"999 More", true},
		"200, the lowest final":    {"200 OK", false},
		"599, the highest of HTTP": {"599 Last", false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			head := "HTTP/1.1 " + test.status + "\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s\r\n"
			if !strings.HasPrefix(test.status, "1") {
				head += "Content-Length: 78\r\n"
			}
			target, _ := startTarget(t, answerOnce(head+"\r\n"+inner))
			answer, err := newClient(t).Call(t.Context(), "r-1", requestTo(target, "plan"), true)
			var failure *coltsfootlink.CallError
			So(errors.As(err, &failure), ShouldEqual, test.invalid)
			if test.invalid {
				So(failure.Result, ShouldEqual, coltsfootlink.Failed)
				So(failure.Sent, ShouldBeTrue)
				return
			}
			_ = answer.Body.Close()
		})
	}
}
