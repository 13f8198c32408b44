package admission

import "time"

const (
	// failureWeight is the weight of the newest result in the failure rate, a moving average.
	failureWeight = 0.2
	// openThreshold is the failure rate above which the breaker is open, even if the target's health check succeeds.
	openThreshold = 0.8
	// trialDelay is the time until an open breaker lets a trial request through. It doubles with each trial that fails,
	// at most maxDoublings times.
	trialDelay   = 500 * time.Millisecond
	maxDoublings = 3
)

// breaker is a circuit breaker: it opens when most of a target's latest requests have failed, and then lets only trial
// requests through, with exponential backoff. It is immutable.
type breaker struct {
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// lastTrialAt is when the last trial request was granted, and nextTrialAt when the next one may be.
	lastTrialAt, nextTrialAt time.Time
	// failedTrials is the number of consecutive trials that failed, at most maxDoublings.
	failedTrials int
}

// open reports whether only trial requests may be sent to the target.
func (breaker breaker) open() bool { return breaker.failureRate > openThreshold }

// withResult adds the result of a request that was granted at a time. While the breaker is open, only failures of
// requests granted since the last trial extend the backoff; older ones don't show whether the target has recovered.
func (breaker breaker) withResult(now, grantedAt time.Time, failed bool) breaker {
	if !failed {
		breaker.failureRate -= failureWeight * breaker.failureRate
		breaker.failedTrials = 0
		return breaker
	}
	wasOpen := breaker.open()
	breaker.failureRate += failureWeight * (1 - breaker.failureRate)
	switch {
	case !breaker.open():
	case !wasOpen:
		breaker.nextTrialAt = now.Add(trialDelay)
	case !grantedAt.Before(breaker.lastTrialAt) && !breaker.lastTrialAt.IsZero():
		breaker.failedTrials = min(breaker.failedTrials+1, maxDoublings)
		breaker.nextTrialAt = now.Add(trialDelay << breaker.failedTrials)
	}
	return breaker
}

// withGrant records that a request is granted; while the breaker is open, it is a trial.
func (breaker breaker) withGrant(now time.Time) breaker {
	if breaker.open() {
		breaker.lastTrialAt = now
		breaker.nextTrialAt = now.Add(trialDelay << breaker.failedTrials)
	}
	return breaker
}
