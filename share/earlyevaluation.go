package share

import "time"

// burstFraction is the demand allowed in addition to that of the previous interval, as a fraction of the guaranteed
// rate over one evaluation interval.
const burstFraction = 0.5

// BurstDetected reports whether demand has risen so much since the last evaluation that waiting for the next one would
// be too late; guaranteed is in tokens per second.
func (ledger Ledger) BurstDetected(guaranteed float64) bool {
	return ledger.burst.Due(burstFraction * guaranteed * evaluationInterval.Seconds())
}

// WithBursts marks the teams that request much more than at the last evaluation. Their demand is taken as twice what
// has been reported so far, since that may double before the next early evaluation.
func (ledger Ledger) WithBursts(now time.Time) Ledger {
	ledger.burst = ledger.burst.WithReported()
	seconds := max(evaluationInterval, now.Sub(ledger.at)).Seconds()
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, stats, _ := iterator.Next()
		if rate := stats.requested / seconds; rate > teamBurstFactor*stats.meanRequested {
			stats.burst = growthFactor * rate
			ledger.teams = ledger.teams.Set(team, stats)
		}
	}
	return ledger
}
