package share

import (
	"maps"
	"time"

	"coltsfootlink"
)

const (
	// wordSpan is how long what a keeper has said of the shares holds.
	wordSpan = 2 * time.Second
	// pauseLimit is how long at most a caller should stay away whose team asks for far more than its share, and pausePart which
	// part of its objective at most, so that its answer can still be in time: each attempt is drawn anew.
	pauseLimit = 500 * time.Millisecond
	pausePart  = 0.05
)

// Pause returns how long a caller should stay away that was refused for its team's share; an objective of zero is none.
func Pause(objective time.Duration) time.Duration {
	if objective <= 0 {
		return pauseLimit
	}
	return min(pauseLimit, time.Duration(pausePart*float64(objective)))
}

// word is what the keeper of one pool has said last.
type word struct {
	teams    map[coltsfootlink.TeamName]coltsfootlink.TeamShare
	patience float64
	until    time.Time
}

// Standings is what an instance knows of the teams' shares; it is immutable.
type Standings struct {
	words map[coltsfootlink.PoolName]word
}

// WithShares returns the standings after a keeper's word.
func (standings Standings) WithShares(now time.Time, shares coltsfootlink.Shares) Standings {
	teams := make(map[coltsfootlink.TeamName]coltsfootlink.TeamShare, len(shares.Teams))
	for _, team := range shares.Teams {
		teams[team.Team] = team
	}
	words := maps.Clone(standings.words)
	if words == nil {
		words = make(map[coltsfootlink.PoolName]word)
	}
	words[shares.Pool] = word{teams: teams, patience: shares.MaxWaitFraction, until: now.Add(wordSpan)}
	return Standings{words: words}
}

// Of returns how a request stands to its team's share, and whether it is to be offered to targets at all. The two
// draws are numbers from 0 to 1.
func (standings Standings) Of(now time.Time, pool coltsfootlink.PoolName, team coltsfootlink.TeamName, draw, surplusDraw float64) (coltsfootlink.Standing, bool) {
	said := standings.words[pool]
	share, over := said.teams[team]
	switch {
	case !over, now.After(said.until), draw < share.Entitled:
		return coltsfootlink.Entitled, true
	case draw < share.Bearable:
		return coltsfootlink.Bearable, true
	default:
		return coltsfootlink.Surplus, surplusDraw < share.Surplus
	}
}

// Patience returns the part of its objective that a request beyond what is promised may wait; zero if nothing is known.
func (standings Standings) Patience(now time.Time, pool coltsfootlink.PoolName) float64 {
	said := standings.words[pool]
	if now.After(said.until) {
		return 0
	}
	return said.patience
}
