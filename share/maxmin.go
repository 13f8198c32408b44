// Package share decides which part of each team's requests lies within its fair share of a pool.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Level returns the level at which capacity is used up if every team gets what it asks up to the level; if
// all can have all, what the largest could ask for. Demands and capacity are rates in one unit.
func Level(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(left, right float64) int { return cmp.Compare(left, right) })
	rest := capacity
	for index, demand := range sorted {
		even := rest / float64(len(sorted)-index)
		if demand > even {
			return even
		}
		rest -= demand
	}
	if len(sorted) == 0 {
		return capacity
	}
	return sorted[len(sorted)-1] + rest
}

func sum(numbers []float64) float64 {
	var total float64
	for _, number := range numbers {
		total += number
	}
	return total
}

// rate is what a team asks for and gets, as means over the newest time in tokens a second.
type rate struct {
	asks, gets float64
	// asked and granted are what came since the means were last brought forward.
	asked, granted float64
	// surplus is the part of the requests beyond what is bearable that may be offered to targets.
	surplus float64
	// part is the part of the requests within the share that instances were told last, and parts its mean as long as that
	// of what the team gets.
	part, parts float64
	// seen is for how many seconds the team has been known, up to memory.
	seen float64
}

// withTime brings the means forward by some seconds; those of a team that is new are of what has come of it so far.
func (team rate) withTime(span float64) rate {
	team.seen = min(memory.Seconds(), team.seen+span)
	weight := min(1, span/team.seen)
	team.asks += weight * (team.asked/span - team.asks)
	team.gets += weight * (team.granted/span - team.gets)
	team.parts += weight * (team.part - team.parts)
	team.asked, team.granted = 0, 0
	return team
}

// entitled returns the part of the team's requests that lies within its share, if its level is exceeded: the level over what
// it asks for, and more where the processor and full targets take a part of what is let through.
func (team rate) entitled(level float64) float64 {
	lost := team.parts * team.asks / max(1, team.gets)
	return min(1, level/team.asks*min(mostCorrection, max(1, lost)))
}

// refused says that the team gets far less than it asks for.
func (team rate) refused() bool { return team.gets < satisfied*team.asks }

// Ledger is what the teams ask of one pool; it is immutable.
type Ledger struct {
	teams *immutable.Map[coltsfootlink.TeamName, rate]
	at    time.Time
	// tried and full are what came since the means were last brought forward, see coltsfootlink.Offered; pressure is the
	// mean of their quotient.
	tried, full, pressure float64
	// patience is the part of its objective that a request beyond what is promised may wait, and least what it may wait
	// in any case.
	patience, least float64
}

// NewLedger returns a ledger without teams; what lies beyond what is promised may wait the given part of its objective
// in any case.
func NewLedger(now time.Time, patience float64) Ledger {
	return Ledger{
		teams:    immutable.NewMap[coltsfootlink.TeamName, rate](nil),
		at:       now,
		patience: patience,
		least:    patience,
	}
}

const (
	// memory is how long the mean remembers.
	memory = time.Second
	// satisfied is the part of what it asks for that a team gets if it is not badly off; fairness asks for half.
	satisfied = 0.6
	// mostOverRefused is how much more than a team that is badly off another may get before its surplus is cut;
	// fairness ends at twice as much.
	mostOverRefused = 1.6
	// surplusFall and surplusRise change the part of the surplus that is offered, at each look.
	surplusFall = 0.6
	surplusRise = 0.1
	// pressureAllowed is the part of the work within shares that full targets may refuse; above it requests beyond what is
	// promised may wait less at each look, and otherwise longer, up to mostPatience of their objective.
	pressureAllowed = 0.02
	patienceFall    = 0.8
	patienceRise    = 1.05
	mostPatience    = 0.4
	// mostCorrection is how many times its share of requests a team may offer because most of them are lost; what is offered
	// beyond finds no room either.
	mostCorrection = 5.0
	// leastYielded is the part of their level that teams have in any case.
	leastYielded = 0.5
	// kept is the part of its promised share that a team gets if it is not kept from it.
	kept = 0.85
	// forgiven is how much less than its share a team may get in tokens a second, for requests come in lumps.
	forgiven = 10_000.0
	// forgotten is the rate, in tokens a second, below which a team is forgotten.
	forgotten = 1.0
)

// WithOffered adds what callers of an instance have asked for.
func (ledger Ledger) WithOffered(offered coltsfootlink.Offered) Ledger {
	for _, offer := range offered.Teams {
		known, found := ledger.teams.Get(offer.Team)
		if !found {
			known = rate{surplus: 1, part: 1, parts: 1}
		}
		known.asked += offer.Tokens
		known.granted += offer.Granted
		ledger.teams = ledger.teams.Set(offer.Team, known)
	}
	ledger.tried += offered.Tried
	ledger.full += offered.Full
	return ledger
}

// WithTime brings the means forward.
func (ledger Ledger) WithTime(now time.Time) Ledger {
	span := now.Sub(ledger.at).Seconds()
	if span <= 0 {
		return ledger
	}
	ledger.at = now
	weight := min(1, span/memory.Seconds())
	ledger = ledger.withPatience(weight)
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		known = known.withTime(span)
		if known.asks < forgotten {
			ledger.teams = ledger.teams.Delete(team)
			continue
		}
		ledger.teams = ledger.teams.Set(team, known)
	}
	return ledger.withSurplus()
}

// asks returns what a team asks for in tokens a second; zero if it is not known.
func (ledger Ledger) asks(team coltsfootlink.TeamName) float64 {
	known, _ := ledger.teams.Get(team)
	return known.asks
}

// gets returns what a team gets in tokens a second; zero if it is not known.
func (ledger Ledger) gets(team coltsfootlink.TeamName) float64 {
	known, _ := ledger.teams.Get(team)
	return known.gets
}

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
	least := math.Inf(1)
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		if _, known, _ := iterator.Next(); known.refused() {
			least = min(least, known.gets)
		}
	}
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

// leastBelow returns the least that a team gets which is kept from its promised share, as one whose callers reach few
// small instances; infinite if there is none.
func (ledger Ledger) leastBelow(level float64) float64 {
	least := math.Inf(1)
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		_, known, _ := iterator.Next()
		owed := min(known.asks, level)
		if known.gets < kept*owed && owed-known.gets > forgiven {
			least = min(least, known.gets)
		}
	}
	return least
}

// yieldedLevel returns the level at which teams get hardly more than fairness allows while one gets less, though it asks for
// more; at least a part of the given level, for a team that nothing helps is not to cost the others all of theirs.
func (ledger Ledger) yieldedLevel(level float64) float64 {
	least := level
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		if _, known, _ := iterator.Next(); known.asks > level && known.refused() {
			least = min(least, known.gets)
		}
	}
	return min(level, max(leastYielded*level, mostOverRefused*least))
}

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
		demands = append(demands, known.asks)
	}
	entitledLevel := Level(demands, promised)
	bearableLevel := Level(demands, max(promised, bearable))
	least := ledger.leastBelow(entitledLevel)
	yielded := ledger.yieldedLevel(entitledLevel)
	shares := coltsfootlink.Shares{Pool: pool, Patience: ledger.patience}
	// More than what targets can bear is not worth asking for.
	offered := min(1, max(promised, bearable)/max(1, sum(demands)))
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		within := entitledLevel
		if known.gets > yielded {
			within = yielded
		}
		if known.asks <= within {
			continue
		}
		level := bearableLevel
		if known.gets > mostOverRefused*least {
			level = within
		}
		entitled := known.entitled(within)
		shares.Teams = append(shares.Teams, coltsfootlink.TeamShare{
			Team:     team,
			Entitled: entitled,
			Bearable: max(entitled, min(1, level/known.asks)),
			Surplus:  known.surplus * offered,
		})
	}
	slices.SortFunc(shares.Teams, func(left, right coltsfootlink.TeamShare) int { return cmp.Compare(left.Team, right.Team) })
	return shares
}
