package admission

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/pace"
)

// defaultRampDuration is how long requests to a target whose backoff is over are paced if its pool has no cold start.
const defaultRampDuration = 3 * time.Second

// announced is what a target has announced in its answers; it is immutable.
type announced struct {
	// leaving indicates that the target is shutting down.
	leaving bool
	// backoffUntil is when the target wants requests again, and rampUntil until when they are paced after that: all
	// instances have waited for that moment.
	backoffUntil, rampUntil time.Time
}

// WithNotice applies an announcement of the target. One of another incarnation is ignored.
func (ledger Ledger) WithNotice(notice coltsfootlink.TargetNotice) Ledger {
	if notice.Incarnation != ledger.target.Incarnation {
		return ledger
	}
	ledger.announced.leaving = ledger.announced.leaving || notice.Leaving
	if notice.RetryAt.After(ledger.announced.backoffUntil) {
		ledger.announced.backoffUntil = notice.RetryAt
		ledger.announced.rampUntil = notice.RetryAt.Add(ledger.rampDuration())
		ledger = ledger.withReturn(notice.RetryAt, pace.BackoffEnded)
	}
	return ledger
}

// withheld reports whether the target takes no requests according to its announcements.
func (announced announced) withheld(now time.Time) bool {
	return announced.leaving || now.Before(announced.backoffUntil)
}

// refusal returns why a withheld target takes no requests, and when it may take some again; the time is zero if it is
// leaving.
func (announced announced) refusal() (coltsfootlink.Reason, time.Time) {
	if announced.leaving {
		return coltsfootlink.TargetLeaving, time.Time{}
	}
	return coltsfootlink.TargetBackoff, announced.backoffUntil
}

// ramping reports whether requests are paced because a backoff of the target has ended recently.
func (announced announced) ramping(now time.Time) bool {
	return !announced.backoffUntil.IsZero() && now.Before(announced.rampUntil)
}
