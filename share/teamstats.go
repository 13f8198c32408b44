package share

import (
	"math"
	"time"
)

const (
	// averagingWindow is the time over which the running means are taken.
	averagingWindow = time.Second
	// satisfiedFraction is the fraction of its demand that a team must get so as not to count as underserved; fairness
	// requires half.
	satisfiedFraction = 0.6
	// maxCorrection is how many times its fair fraction a team may be entitled to, to compensate for requests that are
	// refused after share admission. If more than that are lost, a larger fraction would not find capacity either.
	maxCorrection = 5.0
	// changedFraction is how far a team's recent demand deviates from its mean, as a fraction of the mean, before its
	// demand counts as changed. minChangeFraction is the least such deviation as a fraction of what all teams together
	// are granted; smaller ones can be noise, since requests arrive in batches.
	changedFraction   = 0.3
	minChangeFraction = 0.1
	// fewRequests is the number of requests between two evaluations that are no flood, however few there were before.
	fewRequests = 4
)

// sample is a team's activity between two evaluations, in tokens per second.
type sample struct {
	requested, granted float64
	// announced is the Entitled fraction that was announced to the instances at that time.
	announced float64
}

// mean returns the mean of two samples.
func (one sample) mean(other sample) sample {
	return sample{requested: (one.requested + other.requested) / 2, granted: (one.granted + other.granted) / 2, announced: (one.announced + other.announced) / 2}
}

// teamStats holds the demand and the grants of one team as running means, in tokens per second.
type teamStats struct {
	meanRequested, meanGranted float64
	// requested and granted are the tokens, and requests the requests reported since the last evaluation; meanRequests is the
	// running mean of the requests per second.
	requested, granted     float64
	requests, meanRequests float64
	// burst is the demand extrapolated from the reports since the last evaluation, in tokens per second; zero unless
	// that is many times meanRequested.
	burst float64
	// surplus is the fraction of the Surplus requests that may be offered to targets.
	surplus float64
	// announced is the Entitled fraction last announced to the instances, and meanAnnounced its running mean over the
	// same window as that of meanGranted.
	announced, meanAnnounced float64
	// previous is the sample of the last evaluation.
	previous sample
	// knownSeconds is how long the team has been known, and steadySeconds how long its demand has not risen to many times its
	// mean; both are at most averagingWindow.
	knownSeconds, steadySeconds float64
}

// withTime adds the sample of the last seconds to the running means. The means of a new team cover the time since it
// was first seen. If the demand has changed, the means are replaced by those of the two newest samples, or by the
// newest sample if a burst was detected before the interval ended. total is what all teams together are granted, in
// tokens per second.
func (stats teamStats) withTime(seconds, total float64) teamStats {
	newest := sample{requested: stats.requested / seconds, granted: max(0, stats.granted) / seconds, announced: stats.announced}
	recent := newest.mean(stats.previous)
	if stats.burst > 0 {
		recent = newest
	}
	if stats.rises(seconds) {
		stats.steadySeconds = 0
	} else {
		stats.steadySeconds = min(averagingWindow.Seconds(), stats.steadySeconds+seconds)
	}
	stats.knownSeconds = min(averagingWindow.Seconds(), stats.knownSeconds+seconds)
	weight := min(1, seconds/stats.knownSeconds)
	stats.meanRequested += weight * (newest.requested - stats.meanRequested)
	stats.meanRequests += weight * (stats.requests/seconds - stats.meanRequests)
	stats.meanGranted += weight * (newest.granted - stats.meanGranted)
	stats.meanAnnounced += weight * (newest.announced - stats.meanAnnounced)
	if stats.knownSeconds > seconds && math.Abs(recent.requested-stats.meanRequested) > max(changedFraction*stats.meanRequested, minChangeFraction*total) {
		stats.meanRequested, stats.meanGranted, stats.meanAnnounced = recent.requested, recent.granted, recent.announced
	}
	stats.previous = newest
	stats.requested, stats.granted, stats.requests, stats.burst = 0, 0, 0, 0
	return stats
}

// rises reports whether the team's demand in the last seconds is many times its mean, because it sends many times as many
// requests. A few large requests among small ones raise its demand as much, but not their number.
func (stats teamStats) rises(seconds float64) bool {
	more := stats.requests > teamBurstFactor*stats.meanRequests*seconds+fewRequests
	return more && stats.requested > teamBurstFactor*stats.meanRequested*seconds
}

// entitled returns the fraction of the team's requests that is within its share, for a team whose demand exceeds the
// level: level/demand, raised to compensate for requests that instances short of CPU and full targets refuse after
// share admission.
func (stats teamStats) entitled(level float64) float64 {
	correction := stats.meanAnnounced * stats.meanRequested / max(1, stats.meanGranted)
	return min(1, level/stats.demand()*min(maxCorrection, max(1, correction)))
}

// flooding reports whether the team's demand has risen to many times its mean so recently that it does not show yet
// which other teams it leaves underserved.
func (stats teamStats) flooding() bool {
	return stats.burst > 0 || stats.steadySeconds < averagingWindow.Seconds()
}

// demand returns the team's current demand in tokens per second.
func (stats teamStats) demand() float64 { return max(stats.meanRequested, stats.burst) }

// underserved reports whether the team has been known for the full window and is granted far less than it requests.
func (stats teamStats) underserved() bool {
	return stats.knownSeconds >= averagingWindow.Seconds() && stats.meanGranted < satisfiedFraction*stats.meanRequested
}
