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

func TestSuccessesWithoutTheirMarkerAreNotWhole(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		err    error
	}{
		"the usual one":        {http.StatusOK, "tokens", ErrUnmarked},
		"something was made":   {http.StatusCreated, "tokens", ErrUnmarked},
		"from somewhere else":  {http.StatusNonAuthoritativeInfo, "tokens", ErrUnmarked},
		"a part":               {http.StatusPartialContent, "tokens", ErrUnmarked},
		"an empty one":         {http.StatusCreated, "", ErrUnmarked},
		"one with its marker":  {http.StatusCreated, "tokens " + marker, nil},
		"one that has no body": {http.StatusNoContent, "", nil},
		"a failure":            {http.StatusConflict, "no roof", nil},
	}
	for name, test := range cases {
		Convey("a success ends with its marker: "+name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), targetOf(server), marked, requestOf(true))
			So(err, ShouldBeNil)
			defer func() { _ = answer.Body.Close() }()
			_, err = io.ReadAll(answer.Body)
			So(errors.Is(err, test.err), ShouldBeTrue)
		})
	}
}

// startRaw runs a target that writes text after a request and closes the connection.
func startRaw(t *testing.T, text string) coltsfootlink.Target {
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

func TestStatusesThatNoCallerCanTakeAreFailures(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	cases := map[string]struct {
		text   string
		failed bool
	}{
		"another protocol":        {"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", true},
		"below all statuses":      {"HTTP/1.1 099 Odd\r\n" + empty, true},
		"none":                    {"HTTP/1.1 000 None\r\n" + empty, true},
		"above all statuses":      {"HTTP/1.1 999 Odd\r\n" + empty, true},
		"behind one that waits":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + empty, false},
		"a mistake of a caller's": {"HTTP/1.1 499 Odd\r\n" + empty, false},
	}
	for name, test := range cases {
		Convey("a status that is no end of a request is a failure: "+name, t, func() {
			answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), startRaw(t, test.text), unmarked, requestOf(true))
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
		"a whole answer": "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nroof",
		"in chunks":      "HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nroof\r\n0\r\n\r\n",
		"a refusal":      "HTTP/1.1 409 Conflict\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nroof",
	}
	for name, text := range cases {
		Convey("a body that is encoded, though nobody asked for it, is not passed on as plain: "+name, t, func() {
			_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), startRaw(t, text), unmarked, requestOf(true))
			var failure *coltsfootlink.CallError
			So(errors.As(err, &failure), ShouldBeTrue)
			So(failure.Sent, ShouldBeTrue)
			So(failure.Result, ShouldEqual, coltsfootlink.Failed)
			So(failure.Reason, ShouldEqual, coltsfootlink.TargetFailed)
		})
	}
}

// startEchoing runs a target that keeps its connections; the first answer names its request if asked to, and before
// each later one comes an earlier answer once more.
func startEchoing(t *testing.T, echoes bool, earlier string) coltsfootlink.Target {
	t.Helper()
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		requests := bufio.NewReader(conn)
		before := ""
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			name := ""
			if echoes {
				name = RequestIDHeader + ": " + request.Header.Get(RequestIDHeader) + "\r\n"
			}
			_, _ = conn.Write([]byte(before + "HTTP/1.1 200 OK\r\n" + name + "Content-Length: 4\r\n\r\nroof"))
			before = earlier
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return coltsfootlink.Target{Name: "t", Address: address}
}

func TestEarlierAnswersThatComeAgainAreNotTakenForOurs(t *testing.T) {
	const full = "HTTP/1.1 429 Too Many Requests\r\n"
	const rest = "Content-Length: 4\r\n\r\nbusy"
	cases := map[string]struct {
		echoes  bool
		earlier string
		crossed bool
	}{
		"one that names another request": {true, full + RequestIDHeader + ": r-0\r\n" + rest, true},
		"one that names none":            {true, full + rest, true},
		"a success that names none":      {true, "HTTP/1.1 200 OK\r\n" + rest, true},
		"none, and requests are named":   {true, "", false},
		"none, and no request is named":  {false, "", false},
	}
	for name, test := range cases {
		Convey("an earlier answer that comes once more on a kept connection is not passed on: "+name, t, func() {
			target, client := startEchoing(t, test.echoes, test.earlier), NewClient(coltsfootlink.SystemClock{})
			defer client.Reuse.CloseIdleConnections()
			answer, err := client.Call(t.Context(), target, unmarked, requestOf(true))
			So(err, ShouldBeNil)
			_, err = io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			So(answer.Body.Close(), ShouldBeNil)
			answer, err = client.Call(t.Context(), target, unmarked, requestOf(true))
			if !test.crossed {
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

func TestHeadsThatBreakOffAreNoAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
	for name, repeatable := range map[string]bool{"that may be repeated": true, "that may not": false} {
		Convey("a target that stops in the head of its answer has not answered a request "+name, t, func() {
			for cut := range len(head) {
				_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), startRaw(t, head[:cut]), unmarked, requestOf(repeatable))
				var failure *coltsfootlink.CallError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Sent, ShouldBeTrue)
			}
		})
	}
}

func TestTargetsWhoseHeadsAreTooLongHaveNotCrashed(t *testing.T) {
	long := strings.Repeat("x", 2*maxHeadBytes)
	cases := map[string]struct {
		text   string
		result coltsfootlink.Result
		reason coltsfootlink.Reason
	}{
		"one field":               {"HTTP/1.1 200 OK\r\nX: " + long + "\r\n\r\n", coltsfootlink.Failed, coltsfootlink.AnswerTooLong},
		"many fields":             {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeadBytes/2) + "\r\n", coltsfootlink.Failed, coltsfootlink.AnswerTooLong},
		"no end of the status":    {"HTTP/1.1 200 " + long, coltsfootlink.Failed, coltsfootlink.AnswerTooLong},
		"a head that breaks off":  {"HTTP/1.1 200 OK\r\nX: y", coltsfootlink.Crashed, coltsfootlink.TargetFailed},
		"an answer that is empty": {"", coltsfootlink.Crashed, coltsfootlink.TargetFailed},
	}
	for name, test := range cases {
		for _, repeatable := range []bool{false, true} {
			Convey(fmt.Sprintf("its request may have run, and is not taken for one that crashes targets: %s, repeatable %v", name, repeatable), t, func() {
				_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), startRaw(t, test.text), unmarked, requestOf(repeatable))
				var failure *coltsfootlink.CallError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Sent, ShouldBeTrue)
				So(failure.Result, ShouldEqual, test.result)
				So(failure.Reason, ShouldEqual, test.reason)
			})
		}
	}
	Convey("long answers before do not count", t, func() {
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
		answer, err := client.Call(t.Context(), target, unmarked, requestOf(true))
		So(err, ShouldBeNil)
		_, err = io.ReadAll(answer.Body)
		So(err, ShouldBeNil)
		So(answer.Body.Close(), ShouldBeNil)
		_, err = client.Call(t.Context(), target, unmarked, requestOf(true))
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Result, ShouldEqual, coltsfootlink.Crashed)
	})
}
