package admission

import (
	"time"

	"coltsfootlink"
)

// WithHeld counts the requests that an instance has on the target from before.
func (book Book) WithHeld(now time.Time, from coltsfootlink.InstanceName, held coltsfootlink.Held) Book {
	for _, other := range held.Requests {
		id := runID{holder: from, serial: other.Serial}
		if _, found := book.runs.Get(id); found {
			continue
		}
		added := run{team: other.Team, work: other.Work, deadline: other.Deadline, grantedAt: now, expectedAt: now, read: other.FirstEventReceived}
		if book.traits.Engine && !other.FirstEventReceived {
			added.readMillis = book.readMillis(other.Work)
		}
		book.cache = book.cache.WithPrompt(now, other.Work, book.traits.MemoryTokens)
		book.runs = book.runs.Set(id, added)
	}
	return book
}

// running is the number of requests on the target, those that nobody holds any more too.
func (book Book) running() int { return book.runs.Len() + book.foreign }

// WithProbe says whether the target is to be asked for a report now: a new owner does not know of work that
// was left behind by instances that are gone.
func (book Book) WithProbe(now time.Time) (Book, bool) {
	if !book.traits.Engine || now.Before(book.probeAt) || now.After(book.probeUntil) && book.foreign == 0 {
		return book, false
	}
	book.probeAt = now.Add(reportInterval)
	return book, true
}

// WithReport learns from a report how much work the target has that is not known here.
func (book Book) WithReport(now time.Time, report coltsfootlink.EngineReport) Book {
	known, unread := 0, 0
	for iterator := book.runs.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		known++
		if !held.read {
			unread++
		}
	}
	book.foreign = max(0, report.Running+report.Waiting-known)
	waiting := min(max(0, report.Waiting-unread), book.foreign)
	if behind := now.Add(spanOf(float64(waiting) * book.meanRead())); behind.After(book.clearAt) {
		book.clearAt = behind
	}
	return book
}

// meanRead is the time that a prompt takes of which nothing is known, in milliseconds.
func (book Book) meanRead() float64 {
	return book.pace * book.policy.Rates.ReadMillis(0, unknownPrompt, book.running())
}

// WithoutHolder forgets the requests of an instance that is gone.
func (book Book) WithoutHolder(holder coltsfootlink.InstanceName) Book {
	return book.without(func(id runID, _ run) bool { return id.holder == holder })
}

// WithoutExpired forgets the requests whose deadlines have passed.
func (book Book) WithoutExpired(now time.Time) Book {
	return book.without(func(_ runID, held run) bool { return now.After(held.deadline) })
}

func (book Book) without(drop func(runID, run) bool) Book {
	for iterator := book.runs.Iterator(); !iterator.Done(); {
		id, held, _ := iterator.Next()
		if drop(id, held) {
			book.runs = book.runs.Delete(id)
		}
	}
	return book
}
