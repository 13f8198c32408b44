package admission

import (
	"time"

	"coltsfootlink"
)

// WithProgress learns how far a request has come.
func (book Book) WithProgress(now time.Time, from coltsfootlink.InstanceName, progress coltsfootlink.Progress) Book {
	id := runID{holder: from, serial: progress.Serial}
	held, found := book.runs.Get(id)
	if !found {
		return book
	}
	if progress.Stage == coltsfootlink.FirstEvent {
		held.read = true
		book.runs = book.runs.Set(id, held)
		return book.withFirstEvent(now, held, held.seenAt(now, progress))
	}
	book.runs = book.runs.Delete(id)
	book = book.withoutReading(now, held, book.unread(now, held, progress.Result))
	switch progress.Result {
	case coltsfootlink.Succeeded:
		book.eventAt = now
		book.trust = book.trust.withResult(now, held.grantedAt, false)
		book = book.withDuration(float64(progress.Millis))
	case coltsfootlink.Failed:
		book.eventAt = now
		book.trust = book.trust.withResult(now, held.grantedAt, true)
	case coltsfootlink.Refused:
		book.blockedUntil = now.Add(blockSpan)
		book.coldUntil = book.blockedUntil.Add(book.traits.ColdStartDuration)
	case coltsfootlink.Crashed:
		book.trust = book.trust.withResult(now, held.grantedAt, true)
		book = book.withCrash(now)
	}
	return book
}

// seenAt is when the holder saw what it tells of: word of it may have lain unread, which is not the target's doing.
func (held run) seenAt(now time.Time, progress coltsfootlink.Progress) time.Time {
	seen := held.grantedAt.Add(time.Duration(progress.Millis) * time.Millisecond)
	if progress.Millis <= 0 || seen.After(now) {
		return now
	}
	return seen
}

// withFirstEvent sets the expectations right by when a prompt was in fact read.
func (book Book) withFirstEvent(now time.Time, held run, seen time.Time) Book {
	book.eventAt = now
	if !book.traits.Engine || held.readMillis == 0 {
		return book
	}
	readAt := seen.Add(-spanOf(book.policy.Rates.FirstMillis))
	if held.alone && held.readMillis >= paceMillis {
		took := float64(readAt.Sub(held.grantedAt)) / float64(time.Millisecond)
		ratio := min(maxPace, max(minPace, took/held.readMillis)) * book.pace
		book.pace = min(maxPace, max(minPace, book.pace+smoothing*(ratio-book.pace)))
	}
	correction := time.Duration(correctionGain * float64(readAt.Sub(held.expectedAt.Add(book.shift))))
	book.shift += correction
	book.clearAt = book.clearAt.Add(correction)
	return book
}

func (book Book) withDuration(millis float64) Book {
	if book.meanMillis == 0 {
		book.meanMillis = millis
	}
	book.meanMillis += smoothing * (millis - book.meanMillis)
	return book
}

// withCrash notes a connection that broke. A target that crashed breaks all of them at once, and may come
// back cold; where others hold, only the answer was lost.
func (book Book) withCrash(now time.Time) Book {
	book.crashes = append(after(book.crashes, now.Add(-burstSpan)), now)
	broken, held := len(book.crashes), book.runs.Len()
	if broken >= burstCrashes && broken >= held {
		book.blockedUntil = now.Add(blockSpan)
	}
	doubt := burstSpan
	if broken >= held {
		doubt = book.traits.ColdStartDuration
	}
	if until := now.Add(doubt); until.After(book.coldUntil) {
		book.coldUntil = until
	}
	return book
}
