package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

func TestSuccessesNeedTheEndMarker(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		err    error
	}{
		"200 OK":                            {http.StatusOK, "tokens", ErrNoEndMarker},
		"201 Created":                       {http.StatusCreated, "tokens", ErrNoEndMarker},
		"203 Non-Authoritative Information": {http.StatusNonAuthoritativeInfo, "tokens", ErrNoEndMarker},
		"206 Partial Content":               {http.StatusPartialContent, "tokens", ErrNoEndMarker},
		"201 Created without a body":        {http.StatusCreated, "", ErrNoEndMarker},
		"201 Created with its marker":       {http.StatusCreated, "tokens " + marker, nil},
		"204 No Content, which has no body": {http.StatusNoContent, "", nil},
		"409 Conflict, which is no success": {http.StatusConflict, "no roof", nil},
	}
	for name, test := range cases {
		Convey("a successful answer with a body must end with the end marker: "+name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), targetOf(server), poolWithMarker, requestOf(true))
			So(err, ShouldBeNil)
			defer func() { _ = answer.Body.Close() }()
			_, err = io.ReadAll(answer.Body)
			So(errors.Is(err, test.err), ShouldBeTrue)
		})
	}
}

// answerRaw runs a target that writes text after the first request and closes the connection.
func answerRaw(t *testing.T, text string) coltsfootlink.Target {
	t.Helper()
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(text))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return coltsfootlink.Target{Name: "t", Address: address}
}

func TestUnusableStatusesAreFailures(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	cases := map[string]struct {
		text   string
		failed bool
	}{
		"101 Switching Protocols":           {"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", true},
		"099, below the valid range":        {"HTTP/1.1 099 Odd\r\n" + empty, true},
		"000, below the valid range":        {"HTTP/1.1 000 None\r\n" + empty, true},
		"999, above the valid range":        {"HTTP/1.1 999 Odd\r\n" + empty, true},
		"200 after an interim 100 Continue": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + empty, false},
		"499, an unknown client error":      {"HTTP/1.1 499 Odd\r\n" + empty, false},
	}
	for name, test := range cases {
		Convey("a status that cannot be forwarded to a caller is a failure of the target: "+name, t, func() {
			answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), answerRaw(t, test.text), poolWithoutMarker, requestOf(true))
			if !test.failed {
				So(err, ShouldBeNil)
				So(answer.Body.Close(), ShouldBeNil)
				return
			}
			var failure *coltsfootlink.CallError
			So(errors.As(err, &failure), ShouldBeTrue)
			So(failure.Sent, ShouldBeTrue)
			So(failure.Result, ShouldEqual, coltsfootlink.Failed)
			So(failure.Reason, ShouldEqual, coltsfootlink.TargetFailed)
		})
	}
}

func TestEncodedAnswersAreFailures(t *testing.T) {
	cases := map[string]string{
		"200 with a Content-Length": "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nroof",
		"200 in chunks":             "HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n0\r\n\r\n",
		"409 with a Content-Length": "HTTP/1.1 409 Conflict\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nroof",
	}
	for name, text := range cases {
		Convey("a body with a Content-Encoding that was not requested is not forwarded: "+name, t, func() {
			_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), answerRaw(t, text), poolWithoutMarker, requestOf(true))
			var failure *coltsfootlink.CallError
			So(errors.As(err, &failure), ShouldBeTrue)
			So(failure.Sent, ShouldBeTrue)
			So(failure.Result, ShouldEqual, coltsfootlink.Failed)
			So(failure.Reason, ShouldEqual, coltsfootlink.TargetFailed)
		})
	}
}

// startWithStaleAnswers runs a target that keeps connections open. Its answers have the request ID if echoesIDs is set,
// and staleAnswer is written before every answer but the first.
func startWithStaleAnswers(t *testing.T, echoesIDs bool, staleAnswer string) coltsfootlink.Target {
	t.Helper()
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		stale := ""
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			header := ""
			if echoesIDs {
				header = RequestIDHeader + ": " + request.Header.Get(RequestIDHeader) + "\r\n"
			}
			_, _ = conn.Write([]byte(stale + "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 4\r\n\r\nroof"))
			stale = staleAnswer
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return coltsfootlink.Target{Name: "t", Address: address}
}

func TestAnswersToOtherRequestsAreRejected(t *testing.T) {
	const full = "HTTP/1.1 429 Too Many Requests\r\n"
	const rest = "Content-Length: 4\r\n\r\nbusy"
	cases := map[string]struct {
		echoesIDs   bool
		staleAnswer string
		rejected    bool
	}{
		"an error with the ID of another request":                 {true, full + RequestIDHeader + ": r-0\r\n" + rest, true},
		"an error without a request ID":                           {true, full + rest, true},
		"a success without a request ID":                          {true, "HTTP/1.1 200 OK\r\n" + rest, true},
		"no stale answer, from a target that sets request IDs":    {true, "", false},
		"no stale answer, from a target that sets no request IDs": {false, "", false},
	}
	for name, test := range cases {
		Convey("a stale answer on a reused connection is not taken for the answer to the request: "+name, t, func() {
			target, client := startWithStaleAnswers(t, test.echoesIDs, test.staleAnswer), NewClient(coltsfootlink.SystemClock{})
			defer client.Pooled.CloseIdleConnections()
			answer, err := client.Call(t.Context(), target, poolWithoutMarker, requestOf(true))
			So(err, ShouldBeNil)
			_, err = io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			So(answer.Body.Close(), ShouldBeNil)
			answer, err = client.Call(t.Context(), target, poolWithoutMarker, requestOf(true))
			if !test.rejected {
				So(err, ShouldBeNil)
				So(answer.Status, ShouldEqual, http.StatusOK)
				So(answer.Body.Close(), ShouldBeNil)
				return
			}
			var failure *coltsfootlink.CallError
			So(errors.As(err, &failure), ShouldBeTrue)
			So(failure.Sent, ShouldBeTrue)
			So(failure.Reason, ShouldEqual, coltsfootlink.AnswerCrossed)
		})
	}
}

func TestTruncatedHeadsAreFailures(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
	for name, repeatable := range map[string]bool{"that is repeatable": true, "that is not repeatable": false} {
		Convey("an answer that ends within its head is a failure of a request "+name, t, func() {
			for cut := range len(head) {
				_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), answerRaw(t, head[:cut]), poolWithoutMarker, requestOf(repeatable))
				var failure *coltsfootlink.CallError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Sent, ShouldBeTrue)
			}
		})
	}
}

// TestTooLongHeadsAreNoCrash guards against requests that count as crashing their targets though the targets only
// answered with a head that is too long. The requests may have run in both cases.
func TestTooLongHeadsAreNoCrash(t *testing.T) {
	long := strings.Repeat("x", 2*maxHeadBytes)
	cases := map[string]struct {
		text   string
		result coltsfootlink.Result
		reason coltsfootlink.Reason
	}{
		"one long header":                          {"HTTP/1.1 200 OK\r\nX: " + long + "\r\n\r\n", coltsfootlink.Failed, coltsfootlink.AnswerTooLong},
		"many short headers":                       {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeadBytes/2) + "\r\n", coltsfootlink.Failed, coltsfootlink.AnswerTooLong},
		"an endless status line":                   {"HTTP/1.1 200 " + long, coltsfootlink.Failed, coltsfootlink.AnswerTooLong},
		"a truncated head":                         {"HTTP/1.1 200 OK\r\nX: y", coltsfootlink.Crashed, coltsfootlink.TargetFailed},
		"a connection that ends without an answer": {"", coltsfootlink.Crashed, coltsfootlink.TargetFailed},
	}
	for name, test := range cases {
		for _, repeatable := range []bool{false, true} {
			Convey(fmt.Sprintf("a head that is too long is a failure, a truncated one is a crash: %s, repeatable %v", name, repeatable), t, func() {
				_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), answerRaw(t, test.text), poolWithoutMarker, requestOf(repeatable))
				var failure *coltsfootlink.CallError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Sent, ShouldBeTrue)
				So(failure.Result, ShouldEqual, test.result)
				So(failure.Reason, ShouldEqual, test.reason)
			})
		}
	}
	Convey("the bytes of earlier answers on the connection do not count", t, func() {
		address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
			requests := bufio.NewReader(conn)
			if request, err := http.ReadRequest(requests); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
				_, _ = http.ReadRequest(requests)
			}
		})
		So(err, ShouldBeNil)
		client := NewClient(coltsfootlink.SystemClock{})
		target := coltsfootlink.Target{Name: "t", Address: address}
		answer, err := client.Call(t.Context(), target, poolWithoutMarker, requestOf(true))
		So(err, ShouldBeNil)
		_, err = io.ReadAll(answer.Body)
		So(err, ShouldBeNil)
		So(answer.Body.Close(), ShouldBeNil)
		_, err = client.Call(t.Context(), target, poolWithoutMarker, requestOf(true))
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Result, ShouldEqual, coltsfootlink.Crashed)
	})
}
