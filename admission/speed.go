package admission

import (
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/speed"
)

const (
	// slowRatio is the ratio of a target's slowdown to the median of its pool from which on another target is likely to be
	// faster. Speeds that differ by less are not announced.
	slowRatio = 1.25
	// maxMarginShare is the maximum margin of a promise as a fraction of the objective, so that a target gets requests, and its
	// speed is known, however uneven it is.
	maxMarginShare = 0.2
	// mediansInterval is the time between two updates of the median speeds of pools.
	mediansInterval = time.Second
)

// withHead finds the request whose first event is expected next: the first one in reading order after the last prompt that
// is known to have been read. An earlier one without a first event has been read as well, because prompts are read in
// order; its report is late or lost.
func (ledger Ledger) withHead() Ledger {
	ledger.head = requestID{}
	var first time.Time
	for iterator := ledger.requests.Iterator(); !iterator.Done(); {
		id, held, _ := iterator.Next()
		if held.firstEventReceived || !ledger.unread(held) {
			continue
		}
		if first.IsZero() || held.expectedAt.Before(first) {
			ledger.head, first = id, held.expectedAt
		}
	}
	return ledger
}

// unread reports whether a prompt comes after the last one, in reading order, that is known to have been read. The order of
// prompts that another owner permitted is not known.
func (ledger Ledger) unread(held request) bool {
	return !held.readStartsAt.IsZero() && held.readMillis > 0 && held.expectedAt.After(ledger.readUntil)
}

// overdue returns how long the first event that is expected next is overdue, or zero. While it is, the target reads its
// queue that much later. It is zero if no request was permitted within the last trialInterval, so that a lost report does not
// keep all requests from a target.
func (ledger Ledger) overdue(now time.Time) time.Duration {
	held, found := ledger.requests.Get(ledger.head)
	if !found || ledger.policy.BasicEstimate {
		return 0
	}
	expectedAt := held.expectedAt.Add(ledger.lag + durationOf(ledger.firstEventMillis()))
	overdue := ledger.speed.Overdue(now, ledger.head.holder, expectedAt)
	if overdue > 0 && len(timesAfter(ledger.grantTimes, now.Add(-trialInterval))) == 0 {
		return 0
	}
	return overdue
}

// expectedWait is the expected time in milliseconds until the target begins to read a new prompt.
func (ledger Ledger) expectedWait(now time.Time) float64 {
	return ledger.waitMillis(now.Add(-ledger.overdue(now)))
}

// currentSlowdown is the ratio of the time that the target takes to read a prompt to the time computed from the rates.
func (ledger Ledger) currentSlowdown() float64 {
	if ledger.policy.BasicEstimate {
		return ledger.slowdown
	}
	return ledger.speed.Slowdown()
}

// firstEventMillis is the expected time in milliseconds from the end of reading a prompt to the first event.
func (ledger Ledger) firstEventMillis() float64 {
	if ledger.policy.BasicEstimate {
		return ledger.policy.Rates.FirstEventMillis
	}
	return ledger.speed.Slowdown() * ledger.policy.Rates.FirstEventMillis
}

// usualMillis is the time in milliseconds from the start of reading a prompt to the first event that holders are told to expect.
// A version move detects a slow version by it, so it may not follow a slow target as fast as promises do: it is never above the
// basic estimate, which learns from few prompts.
func (ledger Ledger) usualMillis(work coltsfootlink.Work) float64 {
	basic := ledger.slowdown*ledger.ratesMillis(work) + ledger.policy.Rates.FirstEventMillis
	return min(basic, ledger.readMillis(work)+ledger.firstEventMillis())
}

// withReading learns from the time at which a prompt was read. The reading time of a prompt that was not first in the queue is
// the time between the first event of the one before and its own.
func (ledger Ledger) withReading(held request, seen time.Time) Ledger {
	ledger.speed = ledger.speed.WithError(seen.Sub(held.expectedAt.Add(held.promisedLag + durationOf(held.firstEventMillis))))
	expected := durationOf(held.ratesMillis)
	gap := held.expectedAt.Add(-durationOf(held.readMillis)).Sub(ledger.readUntil)
	switch {
	case held.firstInQueue:
		ledger.speed = ledger.speed.WithReading(seen.Sub(held.grantedAt), expected+durationOf(ledger.policy.Rates.FirstEventMillis))
	case gap.Abs() < time.Millisecond:
		ledger.speed = ledger.speed.WithReading(seen.Sub(ledger.readSeenAt), expected)
	}
	ledger.readUntil, ledger.readSeenAt = held.expectedAt, seen
	return ledger.withHead()
}

// marginMillis is the time in milliseconds by which promises are kept back because first events come at uneven times.
func (ledger Ledger) marginMillis(objective float64) float64 {
	if ledger.policy.BasicEstimate {
		return 0
	}
	return max(0, min(maxMarginShare*objective, ledger.speed.MarginMillis()))
}

// largeWait is the maximum wait in milliseconds of a large prompt, whose reading alone uses up the share of the objective that
// others may use. On a target like the others of its pool this is LargeShare of the objective, also if the prompt will then be
// late: it would be late everywhere. On one whose speed varies, the wait may not make the prompt late. One that is slower than
// its pool, now or always, gets no prompt that is late there and in time elsewhere.
func (ledger Ledger) largeWait(now time.Time, objective, firstEventMillis float64) float64 {
	wait := ledger.policy.LargeShare * objective
	margin := ledger.marginMillis(objective)
	slow := ledger.currentSlowdown() > slowRatio*ledger.poolSlowdown || ledger.overdue(now) > 0
	if ledger.policy.BasicEstimate || !slow && margin == 0 {
		return wait
	}
	left := objective - firstEventMillis - margin
	if lateElsewhere := firstEventMillis/ledger.currentSlowdown()*ledger.poolSlowdown > objective; !slow || lateElsewhere {
		left = max(0, left)
	}
	return min(wait, left)
}

// WithPoolSpeed sets the median speed of the targets of the pool, as a multiple of the rates in the settings; zero if none is
// announced.
func (ledger Ledger) WithPoolSpeed(median float64) Ledger {
	ledger.poolSlowdown = 1
	if median > 0 {
		ledger.poolSlowdown = 1 / median
	}
	return ledger
}

// announceSpeeds sends the speeds of owned targets to all instances if some are due.
func (task *Task) announceSpeeds(now time.Time) {
	if task.Policy.BasicEstimate {
		return
	}
	var measured []speed.Measured
	for _, ledger := range task.ledgers {
		if one, known := ledger.speed.Measured(ledger.target); known {
			measured = append(measured, one)
		}
	}
	announcer, speeds, changes := task.announcer.With(now, measured)
	task.announcer = announcer
	for _, change := range changes {
		metrics.Count("target-speed-changes")
		task.Log.Info().Str("target", string(change.Target)).Float64("from", change.From).Float64("to", change.To).
			Msg("admission: announced another speed of a target, as measured by its first events")
	}
	if len(speeds) == 0 {
		return
	}
	metrics.Count("target-speed-messages")
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, coltsfootlink.TargetSpeeds{Speeds: speeds})
	}
}

// updateMedians sets the median speeds of the pools in the ledgers, at most once per mediansInterval.
func (task *Task) updateMedians(now time.Time) {
	if now.Before(task.mediansAt) {
		return
	}
	task.mediansAt = now.Add(mediansInterval)
	medians := task.board.Medians(now, task.catalog.Targets)
	for name, ledger := range task.ledgers {
		task.ledgers[name] = ledger.WithPoolSpeed(medians[ledger.target.Pool])
	}
}

// logSpeed adds to the line of a decision what delayed it, and counts refusals because of overdue first events.
func (ledger Ledger) logSpeed(line *zerolog.Event, now time.Time, verdict coltsfootlink.Verdict) *zerolog.Event {
	overdue := ledger.overdue(now)
	if overdue > 0 && verdict.Reason == coltsfootlink.TargetFull {
		metrics.Count("overdue-refusals")
	}
	return line.Float64("pace", ledger.currentSlowdown()).Int64("overdue-ms", overdue.Milliseconds()).Int("margin-ms", int(ledger.speed.MarginMillis()))
}
