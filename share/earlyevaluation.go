package share

import "time"

// surgePart is how much may come besides the usual, as a part of what operators promise for the time between two looks.
const surgePart = 0.5

// Surges says that so much more has come since the last look that the next one would come late; promised is in tokens a
// second.
func (ledger Ledger) Surges(promised float64) bool {
	return ledger.surge.Due(surgePart * promised * interval.Seconds())
}

// WithSurges notes which teams ask for much more than they did at the last look. What has come so far counts as half of what
// comes until the next one, for as much again may come before it is told again.
func (ledger Ledger) WithSurges(now time.Time) Ledger {
	ledger.surge = ledger.surge.WithTold()
	seconds := max(interval, now.Sub(ledger.at)).Seconds()
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		if came := known.asked / seconds; came > teamSurgeFactor*known.asks {
			known.surge = surgeFactor * came
			ledger.teams = ledger.teams.Set(team, known)
		}
	}
	return ledger
}
