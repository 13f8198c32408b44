package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

const (
	// maxLoadBytes limits the size of a load report; a longer one is truncated and fails to decode.
	maxLoadBytes = 4 << 10
	// maxHeadBytes limits the head of an answer.
	maxHeadBytes = 64 << 10
	// maxIdlePerTarget is the maximum number of idle connections to each target.
	maxIdlePerTarget = 64
)

// Client sends requests to targets over HTTP. It implements coltsfootlink.Engine.
type Client struct {
	// Pooled is the transport for repeatable requests and load reports; it reuses connections.
	Pooled *http.Transport
	// Unpooled is the transport for requests that must not be retried. It opens a connection for each, because on a
	// reused one the target might close it just as the request is sent.
	Unpooled *http.Transport
	Clock    coltsfootlink.Clock
}

// NewClient returns a client with its own transports.
func NewClient(clock coltsfootlink.Clock) *Client {
	return &Client{
		Pooled:   &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePerTarget, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		Unpooled: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		Clock:    clock,
	}
}

// Call sends a request and waits for the first byte of its answer. Its errors are of type *coltsfootlink.CallError.
func (client *Client) Call(ctx context.Context, target coltsfootlink.Target, pool coltsfootlink.Pool, request coltsfootlink.Request) (coltsfootlink.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	tracker := new(connTracker)
	started := client.Clock.Now()
	response, err := client.send(ctx, target, request, tracker)
	if err != nil {
		// The failure must be classified before cancel, since it depends on whether the context has ended.
		failure := callError(ctx, tracker, err)
		cancel()
		return coltsfootlink.Answer{}, failure
	}
	if err := checkRequestID(response, request.ID, tracker); err != nil {
		cancel()
		_ = response.Body.Close()
		return coltsfootlink.Answer{}, err
	}
	answer, err := client.answer(response, pool, started, cancel)
	if err != nil {
		cancel()
		_ = response.Body.Close()
		return coltsfootlink.Answer{}, err
	}
	return answer, nil
}

// callError classifies the failure of a call that returned no answer. A head that is too long counts as a failed answer,
// not as a crash of the target.
func callError(ctx context.Context, tracker *connTracker, err error) *coltsfootlink.CallError {
	failure := coltsfootlink.NewCallError(ctx, tracker.mayHaveSent(), err)
	if tracker.headTooLong() {
		failure.Result, failure.Reason = coltsfootlink.Failed, coltsfootlink.AnswerTooLong
	}
	return failure
}

// Load returns a target's load report. It is empty if the target does not provide one.
func (client *Client) Load(ctx context.Context, target coltsfootlink.Target) (coltsfootlink.Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+LoadPath, nil)
	if err != nil {
		return coltsfootlink.Load{}, errors.Wrap(err, "target: load request")
	}
	response, err := client.Pooled.RoundTrip(request)
	if err != nil {
		return coltsfootlink.Load{}, coltsfootlink.NewCallError(ctx, false, err)
	}
	defer func() { _ = response.Body.Close() }()
	load := coltsfootlink.Load{Target: target.Name}
	if response.StatusCode != http.StatusOK {
		return load, nil
	}
	var document LoadDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&document); err != nil {
		return load, errors.Wrap(err, "target: load report")
	}
	load.Incarnation = document.Incarnation
	load.Running = document.Running
	return load, nil
}

func (client *Client) send(ctx context.Context, target coltsfootlink.Target, request coltsfootlink.Request, tracker *connTracker) (*http.Response, error) {
	address := "http://" + target.Address + "/" + request.Route.Path
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, tracker.trace()), http.MethodPost, address, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	if request.Route.Repeatable {
		return client.Pooled.RoundTrip(outgoing)
	}
	// Without GetBody, net/http cannot retry the request on another connection.
	outgoing.GetBody = nil
	outgoing.Header.Set(KeyHeader, request.IdempotencyKey)
	return client.Unpooled.RoundTrip(outgoing)
}

// checkRequestID returns an error if the answer is to another request. A target that sets the request ID in one answer
// sets it in all of them, so an answer without it on the same connection is a stale one to an earlier request.
func checkRequestID(response *http.Response, id coltsfootlink.RequestID, tracker *connTracker) error {
	echoed := response.Header.Get(RequestIDHeader)
	opened := tracker.current.Load()
	if echoed == string(id) {
		opened.echoesIDs.Store(true)
		return nil
	}
	if echoed == "" && !opened.echoesIDs.Load() {
		return nil
	}
	return &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.AnswerCrossed, Cause: errors.Newf("got the answer to another request, %q", echoed)}
}

// answer checks the head of a response and waits for the first byte of its body.
func (client *Client) answer(response *http.Response, pool coltsfootlink.Pool, started time.Time, cancel context.CancelFunc) (coltsfootlink.Answer, error) {
	if cause := checkHead(response); cause != nil {
		return coltsfootlink.Answer{}, &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.TargetFailed, Cause: cause}
	}
	body := newBody(response, pool, started, client.Clock, cancel)
	if err := body.awaitFirstByte(); err != nil {
		return coltsfootlink.Answer{}, coltsfootlink.NewCallError(response.Request.Context(), true, err)
	}
	incarnation, _ := strconv.ParseUint(response.Header.Get(IncarnationHeader), 10, 64)
	return coltsfootlink.Answer{
		Status:          response.StatusCode,
		ContentType:     response.Header.Get("Content-Type"),
		Incarnation:     incarnation,
		FirstByteMillis: millisBetween(started, client.Clock.Now()),
		Body:            body,
	}, nil
}

// checkHead returns an error if the answer cannot be forwarded to a caller: because of a status below 200 or from 500 on,
// or a Content-Encoding, which no request asks for.
func checkHead(response *http.Response) error {
	encoding := response.Header.Get("Content-Encoding")
	switch status := response.StatusCode; {
	case status < http.StatusOK, status >= http.StatusInternalServerError:
		return errors.Newf("status %d", status)
	case encoding != "":
		return errors.Newf("encoded as %s, though nobody asked for it", encoding)
	default:
		return nil
	}
}

func millisBetween(from, to time.Time) float64 {
	return float64(to.Sub(from)) / float64(time.Millisecond)
}
