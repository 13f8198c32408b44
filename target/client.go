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
	// loadBytes is the largest report that is read.
	loadBytes = 4 << 10
	// maxHeadBytes is the largest head of an answer.
	maxHeadBytes = 64 << 10
	// idleConnections is the number of idle connections kept to each target.
	idleConnections = 64
)

// Client sends requests to targets; it is an engine.
type Client struct {
	// Reuse is the transport of requests that may be repeated.
	Reuse *http.Transport
	// Fresh is the transport of requests that may not be repeated; it opens a connection for each.
	Fresh *http.Transport
	Clock coltsfootlink.Clock
}

// NewClient returns a client with transports of its own.
func NewClient(clock coltsfootlink.Clock) *Client {
	return &Client{
		Reuse: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConnections, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		Fresh: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		Clock: clock,
	}
}

// Call sends a request and waits for the first byte of its answer.
func (client *Client) Call(ctx context.Context, target coltsfootlink.Target, pool coltsfootlink.Pool, request coltsfootlink.Request) (coltsfootlink.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	carrier := new(carrier)
	started := client.Clock.Now()
	response, err := client.send(ctx, target, request, carrier)
	if err != nil {
		// The cause is looked at before the context is ended here.
		failure := callError(ctx, carrier, err)
		cancel()
		return coltsfootlink.Answer{}, failure
	}
	if err := crossed(response, request.ID, carrier); err != nil {
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

// callError tells how a call failed that brought no answer; a target whose head is too long has not crashed.
func callError(ctx context.Context, carrier *carrier, err error) *coltsfootlink.CallError {
	failure := coltsfootlink.NewCallError(ctx, carrier.sent(), err)
	if carrier.tooLong() {
		failure.Result, failure.Reason = coltsfootlink.Failed, coltsfootlink.AnswerTooLong
	}
	return failure
}

// Load asks a target for its report; a target without reports gives an empty one.
func (client *Client) Load(ctx context.Context, target coltsfootlink.Target) (coltsfootlink.Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+LoadPath, nil)
	if err != nil {
		return coltsfootlink.Load{}, errors.Wrap(err, "target")
	}
	response, err := client.Reuse.RoundTrip(request)
	if err != nil {
		return coltsfootlink.Load{}, coltsfootlink.NewCallError(ctx, false, err)
	}
	defer func() { _ = response.Body.Close() }()
	load := coltsfootlink.Load{Target: target.Name}
	if response.StatusCode != http.StatusOK {
		return load, nil
	}
	var document LoadDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, loadBytes)).Decode(&document); err != nil {
		return load, errors.Wrap(err, "target: report")
	}
	load.Incarnation = document.Incarnation
	load.Running = document.Running
	return load, nil
}

func (client *Client) send(ctx context.Context, target coltsfootlink.Target, request coltsfootlink.Request, carrier *carrier) (*http.Response, error) {
	address := "http://" + target.Address + "/" + request.Route.Path
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, carrier.trace()), http.MethodPost, address, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	if request.Route.Repeatable {
		return client.Reuse.RoundTrip(outgoing)
	}
	// Without this function the library cannot send the body a second time.
	outgoing.GetBody = nil
	outgoing.Header.Set(KeyHeader, request.IdempotencyKey)
	return client.Fresh.RoundTrip(outgoing)
}

// crossed is the error of an answer that is another request's; nil if it is not. A target that names requests in its answers names
// each: what comes without a name on the same connection is said once more of an earlier one.
func crossed(response *http.Response, id coltsfootlink.RequestID, carrier *carrier) error {
	echoed := response.Header.Get(RequestIDHeader)
	opened := carrier.newest.Load()
	if echoed == string(id) {
		opened.echoes.Store(true)
		return nil
	}
	if echoed == "" && !opened.echoes.Load() {
		return nil
	}
	return &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.AnswerCrossed, Cause: errors.Newf("answer of request %q", echoed)}
}

// answer checks the head of an answer and waits for its first byte.
func (client *Client) answer(response *http.Response, pool coltsfootlink.Pool, started time.Time, cancel context.CancelFunc) (coltsfootlink.Answer, error) {
	if cause := unusable(response); cause != nil {
		return coltsfootlink.Answer{}, &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.TargetFailed, Cause: cause}
	}
	body := newBody(response, pool, started, client.Clock, cancel)
	if err := body.waitFirst(); err != nil {
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

// unusable says why no caller can take an answer; nil if one can.
func unusable(response *http.Response) error {
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
