package share

import "math"

const (
	// maxGrantRatio is how many times the grant of an underserved team another team may get before its surplus is cut;
	// fairness is violated at a ratio of 2.
	maxGrantRatio = 1.6
	// surplusDecrease (a factor) and surplusIncrease (a step) change a team's surplus fraction at each evaluation.
	surplusDecrease = 0.6
	surplusIncrease = 0.1
	// maxSurplusRatio limits the Surplus requests that are offered for a team to a multiple of the level at the
	// sustainable rate.
	maxSurplusRatio = 2.0
	// maxRefusedFraction is the fraction of the Entitled work that full targets may refuse. At each evaluation the
	// maximum wait of Bearable requests is multiplied by waitDecrease above it, and by waitIncrease otherwise, up to
	// waitFractionLimit of their objective.
	maxRefusedFraction = 0.02
	waitDecrease       = 0.8
	waitIncrease       = 1.05
	waitFractionLimit  = 0.4
	// minReducedFraction is the fraction of their level that teams keep in any case.
	minReducedFraction = 0.5
	// shortfallTolerance is the shortfall of grants against demand, in tokens per second, that is tolerated because
	// requests arrive in batches.
	shortfallTolerance = 10_000.0
)

// withWaitFraction raises the maximum wait of Bearable requests, and with it that of Surplus requests, while at most
// maxRefusedFraction of the Entitled work is refused, and lowers it otherwise.
func (ledger Ledger) withWaitFraction(weight float64) Ledger {
	if ledger.attempted > 0 {
		ledger.refusedFraction += weight * (ledger.refusedFull/ledger.attempted - ledger.refusedFraction)
	}
	ledger.attempted, ledger.refusedFull = 0, 0
	if ledger.refusedFraction > maxRefusedFraction {
		ledger.maxWaitFraction = max(ledger.minWaitFraction, ledger.maxWaitFraction*waitDecrease)
	} else {
		ledger.maxWaitFraction = min(max(ledger.minWaitFraction, waitFractionLimit), ledger.maxWaitFraction*waitIncrease)
	}
	return ledger
}

// withSurplus lowers the surplus fraction of teams that are granted much more than an underserved team, and raises that
// of the others.
func (ledger Ledger) withSurplus() Ledger {
	lowest := ledger.lowestUnderserved(func(teamStats) bool { return true })
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, stats, _ := iterator.Next()
		if stats.meanGranted > maxGrantRatio*lowest {
			stats.surplus *= surplusDecrease
		} else {
			stats.surplus = min(1, stats.surplus+surplusIncrease)
		}
		ledger.teams = ledger.teams.Set(team, stats)
	}
	return ledger
}

// grantCeiling returns the maximum rate that a team may be granted beyond its guaranteed share: maxGrantRatio times the
// lowest grant among the underserved teams whose shortfall exceeds shortfallTolerance; infinite if there are none.
func (ledger Ledger) grantCeiling() float64 {
	return maxGrantRatio * ledger.lowestUnderserved(func(stats teamStats) bool { return stats.meanRequested-stats.meanGranted > shortfallTolerance })
}

// reducedLevel returns the level to which well-served teams are reduced while an underserved team demands more than the
// level: maxGrantRatio times the lowest such grant. The result is at least minReducedFraction of the level, so that a
// team that cannot be helped (for example because its own instances are the bottleneck) does not cost the others their
// full share.
func (ledger Ledger) reducedLevel(level float64) float64 {
	lowest := min(level, ledger.lowestUnderserved(func(stats teamStats) bool { return stats.meanRequested > level }))
	return min(level, max(minReducedFraction*level, maxGrantRatio*lowest))
}

// lowestUnderserved returns the lowest grant among the underserved teams that pass the filter; infinite if there are
// none.
func (ledger Ledger) lowestUnderserved(include func(teamStats) bool) float64 {
	lowest := math.Inf(1)
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		if _, stats, _ := iterator.Next(); stats.underserved() && include(stats) {
			lowest = min(lowest, stats.meanGranted)
		}
	}
	return lowest
}
