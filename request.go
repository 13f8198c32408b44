package coltsfootlink

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawRange is the number of distinct values that Draw returns.
const drawRange = 1 << 32

// RequestID identifies one request of a caller.
type RequestID string

// Draw returns a pseudo-random number from 0 (inclusive) to 1 (exclusive). It is the same for all attempts of a request
// and independent for each purpose.
func (id RequestID) Draw(purpose string) float64 {
	return float64(xxhash.Sum64String(string(id)+purpose)%drawRange) / drawRange
}

// Request is one request of a caller to a pool.
type Request struct {
	ID    RequestID
	Team  TeamName
	Pool  PoolName
	Route Route
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// CostHint is the caller's rough estimate of the cost in the pool's unit; zero if none.
	CostHint float64
	// IdempotencyKey is the caller's UUIDv7; empty on repeatable routes.
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Fingerprint is the same for requests with the same route, team and body.
	Fingerprint uint64
}

// WithBody returns the request with its body and fingerprint.
func (request Request) WithBody(body []byte, fingerprint uint64) Request {
	request.Body = body
	request.Fingerprint = fingerprint
	return request
}

// WithDeadline returns the request with another deadline.
func (request Request) WithDeadline(deadline time.Time) Request {
	request.Deadline = deadline
	return request
}
