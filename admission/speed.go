package admission

import "time"

// withHead finds the request whose first event is expected next: the first one in reading order after the last prompt that
// is known to have been read. An earlier one without a first event has been read as well, because prompts are read in
// order; its report is late or lost.
func (ledger Ledger) withHead() Ledger {
	ledger.head = requestID{}
	var first time.Time
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		id, held, _ := iterator.Next()
		if held.firstEventReceived || held.readStartsAt.IsZero() || held.readMillis == 0 || !held.expectedAt.After(ledger.readUntil) {
			continue
		}
		if first.IsZero() || held.expectedAt.Before(first) {
			ledger.head, first = id, held.expectedAt
		}
	}
	return ledger
}

// expectedWait is the expected time in milliseconds until the target begins to read a new prompt.
func (ledger Ledger) expectedWait(now time.Time) float64 {
	return ledger.waitMillis(now.Add(-ledger.overdue(now)))
}

// overdue returns how long the first event that is expected next is overdue, or zero. While it is, the target reads its
// queue that much later. It is zero if no request was permitted within the last trialInterval, so that a lost report does not
// keep all requests from a target.
func (ledger Ledger) overdue(now time.Time) time.Duration {
	held, found := ledger.requests.Get(ledger.head)
	if !found || ledger.policy.BasicEstimate {
		return 0
	}
	expectedAt := held.expectedAt.Add(ledger.lag + durationOf(ledger.policy.Rates.FirstEventMillis))
	overdue := ledger.speed.Overdue(now, ledger.head.holder, expectedAt)
	if overdue > 0 && len(timesAfter(ledger.grantTimes, now.Add(-trialInterval))) == 0 {
		return 0
	}
	return overdue
}
