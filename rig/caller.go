package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/standin"
)

// Call is one request to an instance, or to a target directly.
type Call struct {
	Instance *Instance
	Token    string
	Pool     string
	Route    string
	Work     standin.Work
	// Key is the idempotency key; empty on repeatable routes.
	Key string
	// Hint is the cost hint; none is sent if zero.
	Hint     float64
	Deadline time.Time
}

// Result describes the answer to a call.
type Result struct {
	// Status is the HTTP status; zero if there was no answer.
	Status  int
	Outcome coltsfootlink.Outcome
	Reason  coltsfootlink.Reason
	// Ended indicates that the body was read to its regular end, without an error.
	Ended bool
	// Complete indicates that the body ended regularly and its last line was the end marker.
	Complete bool
	// Crossed indicates that the answer had a line of another request.
	Crossed bool
	// FirstByte is the time until the response headers arrived, Took the time until the answer ended.
	FirstByte time.Duration
	Took      time.Duration
	Err       error
}

// refusalDocument is the JSON body of a refusal.
type refusalDocument struct {
	Reason coltsfootlink.Reason `json:"reason"`
}

// Do sends a call to its instance and checks the answer.
func (fleet *Fleet) Do(ctx context.Context, call Call) Result {
	return fleet.do(ctx, "http://"+call.Instance.Callers+"/v1/"+call.Pool+"/"+call.Route, call)
}

// DoDirect sends a call to the target at an address, bypassing the instances, and checks the answer.
func (fleet *Fleet) DoDirect(ctx context.Context, address string, call Call) Result {
	return fleet.do(ctx, "http://"+address+"/"+call.Route, call)
}

func (fleet *Fleet) do(ctx context.Context, url string, call Call) Result {
	started := time.Now()
	request, err := call.request(ctx, url)
	if err != nil {
		return Result{Err: err}
	}
	response, err := fleet.http.Do(request)
	if err != nil {
		return Result{Err: err, Took: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	result := Result{
		Status:    response.StatusCode,
		Outcome:   coltsfootlink.Outcome(response.Header.Get("Coltsfoot-Outcome")),
		FirstByte: time.Since(started),
	}
	body, err := io.ReadAll(response.Body)
	result.Took = time.Since(started)
	result.Err = err
	result.Ended = err == nil
	if result.Status != http.StatusOK {
		var refusal refusalDocument
		// If the body is not a refusal document, the reason stays empty.
		_ = json.Unmarshal(body, &refusal)
		result.Reason = refusal.Reason
		return result
	}
	result.check(string(body), call.Work.Serial)
	return result
}

func (call Call) request(ctx context.Context, url string) (*http.Request, error) {
	body, err := json.Marshal(call.Work)
	if err != nil {
		return nil, errors.Wrap(err, "rig: encode the call's work")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "rig: create the request")
	}
	// Without GetBody, net/http can't send the body again by itself, which would add an uncounted attempt.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+call.Token)
	request.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		// The name is not in canonical form, since net/http retries requests with an Idempotency-Key header by itself.
		request.Header["idempotency-key"] = []string{call.Key}
	}
	if call.Hint > 0 {
		request.Header.Set("Coltsfoot-Cost-Hint", strconv.FormatFloat(call.Hint, 'f', 0, 64))
	}
	if !call.Deadline.IsZero() {
		request.Header.Set("Coltsfoot-Deadline", call.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

// check sets Crossed and Complete from the body: each line but the last has to be the request's serial, and the last
// line the end marker. An answer that ends regularly but lacks the end marker (standin.Fault.Unmarked) may end with the
// serial.
func (result *Result) check(body, serial string) {
	lines := strings.Split(strings.TrimSuffix(body, "\n"), "\n")
	last := len(lines) - 1
	for _, line := range lines[:last] {
		result.Crossed = result.Crossed || line != serial
	}
	result.Crossed = result.Crossed || result.Ended && lines[last] != standin.EndMarker && lines[last] != serial
	result.Complete = result.Ended && lines[last] == standin.EndMarker
}
