package coltsfootlink

import (
	"context"
	"io"
	"time"
)

// Answer is a target's answer, available from its first byte on.
type Answer struct {
	Status      int
	ContentType string
	// Incarnation is the target's incarnation; zero if the target did not report it.
	Incarnation uint64
	// FirstByteMillis is the time to the first byte in milliseconds.
	FirstByteMillis float64
	Body            AnswerBody
}

// AnswerBody is a stream that ends with io.EOF only if the answer is complete.
type AnswerBody interface {
	io.ReadCloser
	// Cost returns the measured cost in the pool's unit; it is final once the stream has ended.
	Cost() float64
}

// Engine sends requests to targets.
type Engine interface {
	// Call sends a request and waits for the first byte of its answer.
	// Failures are returned as a *CallError.
	Call(ctx context.Context, target Target, pool Pool, request Request) (Answer, error)
	// Load asks a target for its load report.
	Load(ctx context.Context, target Target) (Load, error)
}

// EngineReport is an engine's report of its queue; it is a few hundred milliseconds old when it arrives.
type EngineReport struct {
	// Waiting is the number of queued requests, Running the number of requests in progress.
	Waiting, Running int
	// Refused indicates that the engine did not report anything because it wants no requests; RetryAt is when it does,
	// zero if it did not say.
	Refused bool
	RetryAt time.Time
	// Leaving indicates that the engine is shutting down.
	Leaving bool
}

// EngineReporter asks engines for their reports.
type EngineReporter interface {
	// Report asks an engine for its report.
	Report(ctx context.Context, target Target) (EngineReport, error)
}

// CallError describes how a call to a target failed.
type CallError struct {
	// Sent indicates that at least one byte of the request may have been sent to the target.
	Sent bool
	// Begun indicates that a part of the head of the answer was received.
	Begun bool
	// Received indicates that the target's kernel has acknowledged the whole request.
	Received bool
	Result   Result
	Reason   Reason
	Cause    error
}

// NewCallError classifies a failed call: Cancelled or Unused if the context ended after or before the request was sent,
// Crashed if the connection broke after sending, Refused if no connection was made.
func NewCallError(ctx context.Context, sent bool, cause error) *CallError {
	failure := &CallError{Sent: sent, Reason: TargetFailed, Cause: cause}
	switch {
	case ctx.Err() != nil && sent:
		failure.Result = Cancelled
	case ctx.Err() != nil:
		failure.Result = Unused
	case sent:
		failure.Result = Crashed
	default:
		failure.Result = Refused
	}
	return failure
}

func (failure *CallError) Error() string {
	return string(failure.Reason) + ": " + failure.Cause.Error()
}

func (failure *CallError) Unwrap() error { return failure.Cause }
