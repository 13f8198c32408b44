// Package memory bounds the bytes that an instance holds of requests and answers together.
package memory

import (
	"context"

	"golang.org/x/sync/semaphore"

	"coltsfootlink/metrics"
)

// Budget is a number of bytes that requests and answers share. Only what is larger than a small buffer is taken from it, so
// that small requests go on while it is used up. It is safe for concurrent use.
type Budget struct {
	bytes int64
	free  *semaphore.Weighted
}

// NewBudget returns a budget of a number of bytes, all of them free.
func NewBudget(bytes int64) *Budget {
	return &Budget{bytes: bytes, free: semaphore.NewWeighted(bytes)}
}

// Reservation is a part of a budget; the zero value holds nothing.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve waits for a number of bytes until the context ends, and returns false if they were not free by then. A request for
// more than the whole budget fails at once.
func (budget *Budget) Reserve(ctx context.Context, bytes int64) (Reservation, bool) {
	if bytes > budget.bytes || budget.free.Acquire(ctx, bytes) != nil {
		metrics.Count("memory-refusals")
		return Reservation{}, false
	}
	return Reservation{budget: budget, bytes: bytes}, true
}

// TryReserve reserves a number of bytes if they are free now.
func (budget *Budget) TryReserve(bytes int64) (Reservation, bool) {
	if !budget.free.TryAcquire(bytes) {
		metrics.Count("memory-shortages")
		return Reservation{}, false
	}
	return Reservation{budget: budget, bytes: bytes}, true
}

// Release gives the bytes back.
func (reservation Reservation) Release() {
	if reservation.bytes > 0 {
		reservation.budget.free.Release(reservation.bytes)
	}
}
