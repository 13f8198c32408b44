package share

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// forgotten is the rate, in tokens a second, below which a team is forgotten.
const forgotten = 1.0

// Ledger is what the teams ask of one pool; it is immutable.
type Ledger struct {
	teams *immutable.Map[coltsfootlink.TeamName, rate]
	at    time.Time
	// surge is of what all teams have asked for since then.
	surge Surge
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

// WithOffered adds what callers of an instance have asked for.
func (ledger Ledger) WithOffered(offered coltsfootlink.Offered) Ledger {
	for _, offer := range offered.Teams {
		known, found := ledger.teams.Get(offer.Team)
		if !found {
			known = rate{surplus: 1, part: 1, parts: 1}
		}
		known.asked += offer.Tokens
		ledger.surge = ledger.surge.WithCome(offer.Tokens)
		known.granted += offer.Granted
		ledger.teams = ledger.teams.Set(offer.Team, known)
	}
	ledger.tried += offered.Attempted
	ledger.full += offered.RefusedFull
	return ledger
}

// WithTime brings the means forward.
func (ledger Ledger) WithTime(now time.Time) Ledger {
	span := now.Sub(ledger.at).Seconds()
	if span <= 0 {
		return ledger
	}
	ledger.at = now
	ledger.surge = ledger.surge.WithInterval()
	weight := min(1, span/memory.Seconds())
	ledger = ledger.withPatience(weight)
	all := ledger.total()
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		known = known.withTime(span, all)
		if known.asks < forgotten {
			ledger.teams = ledger.teams.Delete(team)
			continue
		}
		ledger.teams = ledger.teams.Set(team, known)
	}
	return ledger.withSurplus()
}

// total returns what all teams get in tokens a second.
func (ledger Ledger) total() float64 {
	var total float64
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		_, known, _ := iterator.Next()
		total += known.gets
	}
	return total
}

// demand returns what a team asks for in tokens a second; zero if it is not known.
func (ledger Ledger) demand(team coltsfootlink.TeamName) float64 {
	known, _ := ledger.teams.Get(team)
	return known.demand()
}

// gets returns what a team gets in tokens a second; zero if it is not known.
func (ledger Ledger) gets(team coltsfootlink.TeamName) float64 {
	known, _ := ledger.teams.Get(team)
	return known.gets
}
