package share

import (
	"cmp"
	"slices"

	"coltsfootlink"
)

// WithAnnounced records the Entitled fractions that were announced to the instances.
func (ledger Ledger) WithAnnounced(shares coltsfootlink.Shares) Ledger {
	fractions := make(map[coltsfootlink.TeamName]float64, len(shares.Teams))
	for _, team := range shares.Teams {
		fractions[team.Team] = team.Entitled
	}
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, stats, _ := iterator.Next()
		fraction, listed := fractions[team]
		if !listed {
			fraction = 1
		}
		if fraction == stats.announced {
			continue
		}
		stats.announced = fraction
		ledger.teams = ledger.teams.Set(team, stats)
	}
	return ledger
}

// Shares returns the shares of the teams that demand more than their fair share; guaranteed and sustainable are rates
// in tokens per second.
func (ledger Ledger) Shares(pool coltsfootlink.PoolName, guaranteed, sustainable float64) coltsfootlink.Shares {
	var demands []float64
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		_, stats, _ := iterator.Next()
		demands = append(demands, stats.demand())
	}
	entitledLevel := Level(demands, guaranteed)
	sustainableLevel := Level(demands, max(guaranteed, sustainable))
	ceiling := ledger.grantCeiling()
	reduced := ledger.reducedLevel(entitledLevel)
	shares := coltsfootlink.Shares{Pool: pool, MaxWaitFraction: ledger.maxWaitFraction, Zones: ledger.zones.demands(minZonedFraction * guaranteed)}
	// Offering more than the sustainable rate is useless, and the excess must not go mainly to the team with the
	// highest demand.
	surplusFraction, surplusLevel := min(1, max(guaranteed, sustainable)/max(1, sum(demands))), maxSurplusRatio*sustainableLevel
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, stats, _ := iterator.Next()
		ownLevel := entitledLevel
		if stats.meanGranted > reduced {
			ownLevel = reduced
		}
		if stats.demand() <= ownLevel {
			continue
		}
		ownBearableLevel, surplus := ownLevel, 0.0
		if !stats.flooding() {
			ownBearableLevel = max(ownLevel, min(sustainableLevel, ceiling))
			surplus = stats.surplus * min(surplusFraction, surplusLevel/stats.meanRequested)
		}
		entitled := stats.entitled(ownLevel)
		shares.Teams = append(shares.Teams, coltsfootlink.TeamShare{
			Team:     team,
			Entitled: entitled,
			Bearable: max(entitled, min(1, ownBearableLevel/stats.demand())),
			Surplus:  surplus,
		})
	}
	slices.SortFunc(shares.Teams, func(left, right coltsfootlink.TeamShare) int { return cmp.Compare(left.Team, right.Team) })
	return shares
}
