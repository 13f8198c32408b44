package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

const marker = "[done]"

var (
	poolWithMarker    = coltsfootlink.Pool{Kind: coltsfootlink.EnginePool, EndMarker: marker}
	poolWithoutMarker = coltsfootlink.Pool{Kind: coltsfootlink.EnginePool}
)

func requestOf(repeatable bool) coltsfootlink.Request {
	return coltsfootlink.Request{
		ID: "r-1", Route: coltsfootlink.Route{Path: "layout", Repeatable: repeatable},
		Deadline: time.Now().Add(time.Minute), Body: []byte("plan"),
	}
}

func targetOf(server *httptest.Server) coltsfootlink.Target {
	return coltsfootlink.Target{Name: "t", Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestCall reads answers to their end and checks the body, the error and the cost.
func TestCall(t *testing.T) {
	cases := map[string]struct {
		pool    coltsfootlink.Pool
		handler http.HandlerFunc
		body    string
		err     error
		cost    float64
	}{
		"a complete answer with a reported cost": {poolWithMarker, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Trailer", CostHeader)
			_, _ = writer.Write([]byte("tokens " + marker + "\n"))
			writer.Header().Set(CostHeader, "42")
		}, "tokens " + marker + "\n", nil, 42},
		"a complete answer without a reported cost": {poolWithoutMarker, func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("12345678"))
		}, "12345678", nil, 2},
		"an empty answer": {poolWithoutMarker, func(http.ResponseWriter, *http.Request) {}, "", nil, 0},
		"an answer without its end marker": {poolWithMarker, func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("tokens"))
		}, "tokens", ErrNoEndMarker, 1.5},
		"a truncated answer": {poolWithMarker, func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("tokens"))
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}, "tokens", io.ErrUnexpectedEOF, 1.5},
		"a body shorter than its Content-Length": {poolWithoutMarker, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "100")
			_, _ = writer.Write([]byte("tokens"))
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}, "tokens", io.ErrUnexpectedEOF, 1.5},
		"a client error is forwarded without an end marker": {poolWithMarker, func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusUnprocessableEntity)
			_, _ = writer.Write([]byte("no roof"))
		}, "no roof", nil, 1.75},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), targetOf(server), test.pool, requestOf(true))
			So(err, ShouldBeNil)
			body, err := io.ReadAll(answer.Body)
			So(string(body), ShouldEqual, test.body)
			So(errors.Is(err, test.err), ShouldBeTrue)
			So(answer.Body.Cost(), ShouldAlmostEqual, test.cost, 1e-9)
			So(answer.Body.Close(), ShouldBeNil)
		})
	}
}

func TestFailedCalls(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		sent    bool
		result  coltsfootlink.Result
		reason  coltsfootlink.Reason
	}{
		"status 500": {func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusInternalServerError)
		}, true, coltsfootlink.Failed, coltsfootlink.TargetFailed},
		"an answer to another request": {func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(RequestIDHeader, "r-2")
			_, _ = writer.Write([]byte("somebody else's roof"))
		}, true, coltsfootlink.Failed, coltsfootlink.AnswerCrossed},
		"a crash before the first byte": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, true, coltsfootlink.Crashed, coltsfootlink.TargetFailed},
		"a target that refuses connections": {nil, false, coltsfootlink.Refused, coltsfootlink.TargetFailed},
	}
	for name, test := range cases {
		for kind, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
			Convey(name+", "+kind, t, func() {
				var runs atomic.Int32
				server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					runs.Add(1)
					test.handler(writer, request)
				}))
				defer server.Close()
				if test.handler == nil {
					server.Close()
				}
				_, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), targetOf(server), poolWithMarker, requestOf(repeatable))
				var failure *coltsfootlink.CallError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Sent, ShouldEqual, test.sent)
				So(failure.Result, ShouldEqual, test.result)
				So(failure.Reason, ShouldEqual, test.reason)
				// net/http must not retry a request on its own.
				So(runs.Load(), ShouldBeLessThanOrEqualTo, 1)
			})
		}
	}
}

func TestCancelledCalls(t *testing.T) {
	Convey("closing an answer before its end closes the connection to the target", t, func() {
		gone := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = writer.Write([]byte("first"))
			_ = http.NewResponseController(writer).Flush()
			<-request.Context().Done()
			close(gone)
		}))
		defer server.Close()
		answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), targetOf(server), poolWithMarker, requestOf(true))
		So(err, ShouldBeNil)
		So(answer.Body.Close(), ShouldBeNil)
		<-gone
	})
	Convey("a cancellation before the first byte is not reported as a crash", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			// The server notices that a connection closes only after it has read the body.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
		}))
		defer server.Close()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := NewClient(coltsfootlink.SystemClock{}).Call(ctx, targetOf(server), poolWithMarker, requestOf(true))
		var failure *coltsfootlink.CallError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Result, ShouldEqual, coltsfootlink.Cancelled)
	})
}

func TestLoad(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		load    coltsfootlink.Load
		fails   bool
	}{
		"a load report": {func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte(`{"incarnation":5,"running":2}`))
		}, coltsfootlink.Load{Target: "t", Incarnation: 5, Running: 2}, false},
		"a target without load reports":    {http.NotFound, coltsfootlink.Load{Target: "t"}, false},
		"bytes that are not a load report": {func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("<")) }, coltsfootlink.Load{Target: "t"}, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			load, err := NewClient(coltsfootlink.SystemClock{}).Load(t.Context(), targetOf(server))
			So(err != nil, ShouldEqual, test.fails)
			So(load, ShouldResemble, test.load)
		})
	}
}
