package share

import "math"

const (
	// mostOverRefused is how much more than a team that is badly off another may get before its surplus is cut;
	// fairness ends at twice as much.
	mostOverRefused = 1.6
	// surplusFall and surplusRise change the part of the surplus that is offered, at each look.
	surplusFall = 0.6
	surplusRise = 0.1
	// surplusLevels is how many times what targets can bear for each team is offered beyond it at most.
	surplusLevels = 2.0
	// pressureAllowed is the part of the work within shares that full targets may refuse; above it requests beyond what is
	// promised may wait less at each look, and otherwise longer, up to mostPatience of their objective.
	pressureAllowed = 0.02
	patienceFall    = 0.8
	patienceRise    = 1.05
	mostPatience    = 0.4
	// leastYielded is the part of their level that teams have in any case.
	leastYielded = 0.5
	// forgiven is how much less than it asks for a team may get in tokens a second, for requests come in lumps.
	forgiven = 10_000.0
)

// withPatience lets requests beyond what is promised wait longer while those within it are not refused.
func (ledger Ledger) withPatience(weight float64) Ledger {
	if ledger.tried > 0 {
		ledger.pressure += weight * (ledger.full/ledger.tried - ledger.pressure)
	}
	ledger.tried, ledger.full = 0, 0
	if ledger.pressure > pressureAllowed {
		ledger.patience = max(ledger.least, ledger.patience*patienceFall)
	} else {
		ledger.patience = min(max(ledger.least, mostPatience), ledger.patience*patienceRise)
	}
	return ledger
}

// withSurplus lets teams have less beyond their shares that get much more than a team that is refused, and the
// others more.
func (ledger Ledger) withSurplus() Ledger {
	least := ledger.leastRefused(func(rate) bool { return true })
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		if known.gets > mostOverRefused*least {
			known.surplus *= surplusFall
		} else {
			known.surplus = min(1, known.surplus+surplusRise)
		}
		ledger.teams = ledger.teams.Set(team, known)
	}
	return ledger
}

// ceiling returns the most that a team may be let have beyond its promised share: hardly more than fairness allows over the
// least that a team gets which is refused much; infinite if none is.
func (ledger Ledger) ceiling() float64 {
	return mostOverRefused * ledger.leastRefused(func(known rate) bool { return known.asks-known.gets > forgiven })
}

// yieldedLevel returns the level at which teams get hardly more than fairness allows while one gets less, though it asks for
// more; at least a part of the given level, for a team that nothing helps is not to cost the others all of theirs.
func (ledger Ledger) yieldedLevel(level float64) float64 {
	least := min(level, ledger.leastRefused(func(known rate) bool { return known.asks > level }))
	return min(level, max(leastYielded*level, mostOverRefused*least))
}

// leastRefused returns the least that a team gets which is refused much and counts; infinite if there is none.
func (ledger Ledger) leastRefused(counts func(rate) bool) float64 {
	least := math.Inf(1)
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		if _, known, _ := iterator.Next(); known.refused() && counts(known) {
			least = min(least, known.gets)
		}
	}
	return least
}
