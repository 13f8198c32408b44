package share

import (
	"cmp"
	"slices"

	"coltsfootlink"
)

// WithTold notes which parts of the teams' requests instances are told to offer.
func (ledger Ledger) WithTold(shares coltsfootlink.Shares) Ledger {
	parts := make(map[coltsfootlink.TeamName]float64, len(shares.Teams))
	for _, team := range shares.Teams {
		parts[team.Team] = team.Entitled
	}
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		part, over := parts[team]
		if !over {
			part = 1
		}
		if part == known.part {
			continue
		}
		known.part = part
		ledger.teams = ledger.teams.Set(team, known)
	}
	return ledger
}

// Shares returns the teams that ask for more than their share, by what is promised and what can be borne, both
// in tokens a second.
func (ledger Ledger) Shares(pool coltsfootlink.PoolName, promised, bearable float64) coltsfootlink.Shares {
	var demands []float64
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		_, known, _ := iterator.Next()
		demands = append(demands, known.demand())
	}
	entitledLevel := Level(demands, promised)
	bearableLevel := Level(demands, max(promised, bearable))
	ceiling := ledger.ceiling()
	yielded := ledger.yieldedLevel(entitledLevel)
	shares := coltsfootlink.Shares{Pool: pool, MaxWaitFraction: ledger.patience}
	// More than what targets can bear is not worth asking for, and what lies beyond is not to go to who asks for most.
	offered, surplusLevel := min(1, max(promised, bearable)/max(1, sum(demands))), surplusLevels*bearableLevel
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		within := entitledLevel
		if known.gets > yielded {
			within = yielded
		}
		if known.demand() <= within {
			continue
		}
		level, beyond := within, 0.0
		if known.surge == 0 {
			// Who goes short by what a team has only begun to ask for is not known.
			level = max(within, min(bearableLevel, ceiling))
			beyond = known.surplus * min(offered, surplusLevel/known.asks)
		}
		entitled := known.entitled(within)
		shares.Teams = append(shares.Teams, coltsfootlink.TeamShare{
			Team:     team,
			Entitled: entitled,
			Bearable: max(entitled, min(1, level/known.demand())),
			Surplus:  beyond,
		})
	}
	slices.SortFunc(shares.Teams, func(left, right coltsfootlink.TeamShare) int { return cmp.Compare(left.Team, right.Team) })
	return shares
}
