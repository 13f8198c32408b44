package admission

import (
	"slices"
	"time"

	"coltsfootlink"
)

// waited is how long the prompt was to wait, at the time of its permit, before it is read.
func (held run) waited() time.Duration { return held.startsAt.Sub(held.grantedAt) }

// unread is what a target does not read of the prompt when it ends in this way.
func (book Book) unread(now time.Time, held run, result coltsfootlink.Result) time.Duration {
	reading := spanOf(held.readMillis)
	switch {
	case held.read || held.startsAt.IsZero():
		return 0
	case result == coltsfootlink.Unused, result == coltsfootlink.Refused:
		return reading
	case result == coltsfootlink.Cancelled:
		// Most targets drop a request whose connection closes.
		return min(reading, max(0, held.expectedAt.Add(book.shift).Sub(now)))
	default:
		return 0
	}
}

// withoutReading takes off what a target does not read of a prompt that has ended. The prompts behind are read
// earlier, each by no more than it was to wait.
func (book Book) withoutReading(now time.Time, ended run, unread time.Duration) Book {
	if unread <= 0 {
		return book
	}
	gained := unread
	for _, id := range book.behind(ended) {
		held, _ := book.runs.Get(id)
		gained = min(gained, held.waited())
		held.startsAt = held.startsAt.Add(-gained)
		held.expectedAt = held.expectedAt.Add(-gained)
		book.runs = book.runs.Set(id, held)
	}
	if book.clearAt.After(now) {
		book.clearAt = later(now, book.clearAt.Add(-gained))
	}
	return book
}

// behind returns the requests whose prompts are read after that of another one, in this order.
func (book Book) behind(ahead run) []runID {
	var ids []runID
	for iterator := book.runs.Iterator(); !iterator.Done(); {
		id, held, _ := iterator.Next()
		if !held.startsAt.IsZero() && held.expectedAt.After(ahead.expectedAt) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(one, other runID) int {
		left, _ := book.runs.Get(one)
		right, _ := book.runs.Get(other)
		return left.expectedAt.Compare(right.expectedAt)
	})
	return ids
}

// later returns the later one of two times.
func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
