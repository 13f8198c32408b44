package admission

import (
	"slices"
	"time"

	"coltsfootlink"
)

// plannedWait is the time from the permit until the target is expected to begin reading the prompt.
func (held request) plannedWait() time.Duration { return held.readStartsAt.Sub(held.grantedAt) }

// savedReading is the reading time that the target is spared when a request ends with a result before its prompt has
// been read. It is zero when the target may have read the prompt, or when another owner granted the permit.
func (ledger Ledger) savedReading(now time.Time, held request, result coltsfootlink.Result) time.Duration {
	reading := durationOf(held.readMillis)
	switch {
	case held.firstEventReceived || held.readStartsAt.IsZero():
		return 0
	case result == coltsfootlink.Unused, result == coltsfootlink.Refused:
		return reading
	case result == coltsfootlink.Cancelled:
		// Most targets drop a request whose connection closes.
		return min(reading, max(0, held.expectedAt.Add(ledger.lag).Sub(now)))
	default:
		return 0
	}
}

// withReadingSaved removes the saved reading time of an ended request from the queue. The prompts queued after it are
// read earlier, but none before its own permit was granted.
func (ledger Ledger) withReadingSaved(now time.Time, ended request, saved time.Duration) Ledger {
	if saved <= 0 {
		return ledger
	}
	earlier := saved
	for _, id := range ledger.queuedAfter(ended) {
		held, _ := ledger.requests.Get(id)
		earlier = min(earlier, held.plannedWait())
		held.readStartsAt = held.readStartsAt.Add(-earlier)
		held.expectedAt = held.expectedAt.Add(-earlier)
		ledger.requests = ledger.requests.Set(id, held)
	}
	if ledger.queueEndsAt.After(now) {
		ledger.queueEndsAt = later(now, ledger.queueEndsAt.Add(-earlier))
	}
	return ledger
}

// queuedAfter returns the requests whose prompts are read after that of another request, in reading order.
func (ledger Ledger) queuedAfter(ahead request) []requestID {
	var ids []requestID
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		id, held, _ := iterator.Next()
		if !held.readStartsAt.IsZero() && held.expectedAt.After(ahead.expectedAt) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(one, other requestID) int {
		left, _ := ledger.requests.Get(one)
		right, _ := ledger.requests.Get(other)
		return left.expectedAt.Compare(right.expectedAt)
	})
	return ids
}

// later returns the later of two times.
func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
