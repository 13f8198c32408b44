package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/share"
)

const (
	// offerInterval is the time between two messages to the keepers of the shares.
	offerInterval = 250 * time.Millisecond
	// outputWeight is how often a token counts that is generated.
	outputWeight = 2
)

// offers is what the keepers of the shares are to be told of the teams' requests.
type offers struct {
	teams map[coltsfootlink.PoolName]map[coltsfootlink.TeamName]coltsfootlink.TeamOffer
	// tried is the work within shares that was offered to targets, full the part of it that full ones refused.
	tried, full map[coltsfootlink.PoolName]float64
	// tellAt is when the keepers are next told.
	tellAt time.Time
}

func newOffers() offers {
	return offers{
		teams: make(map[coltsfootlink.PoolName]map[coltsfootlink.TeamName]coltsfootlink.TeamOffer),
		tried: make(map[coltsfootlink.PoolName]float64),
		full:  make(map[coltsfootlink.PoolName]float64),
	}
}

// count adds work that a team has asked for, and work that it got; less than none if permits were of no use.
func (offers *offers) count(pool coltsfootlink.PoolName, team coltsfootlink.TeamName, asked, granted float64) {
	if team == "" || asked == 0 && granted == 0 {
		return
	}
	teams, known := offers.teams[pool]
	if !known {
		teams = make(map[coltsfootlink.TeamName]coltsfootlink.TeamOffer)
		offers.teams[pool] = teams
	}
	offer := teams[team]
	offer.Team = team
	offer.Tokens += asked
	offer.Granted += granted
	teams[team] = offer
}

// try counts work within a team's share that was offered to targets.
func (offers *offers) try(want Want, refusal *coltsfootlink.Refusal) {
	if want.Standing != coltsfootlink.Entitled || want.Team == "" {
		return
	}
	offers.tried[want.Pool] += tokensOf(want.Work)
	if refusal != nil && refusal.Reason == coltsfootlink.TargetFull {
		offers.full[want.Pool] += tokensOf(want.Work)
	}
}

// tokensOf is the work of a request that counts for its team's share.
func tokensOf(work coltsfootlink.Work) float64 {
	return float64(work.PromptTokens + outputWeight*work.OutputTokens)
}

// tell tells the keepers of the shares what callers have asked for, and the coordinators of moves how it went.
func (task *Task) tell(now time.Time) {
	if now.Before(task.offers.tellAt) {
		return
	}
	task.offers.tellAt = now.Add(offerInterval)
	task.tellCoordinators(now)
	for pool, teams := range task.offers.teams {
		keeper, found := share.Keeper(pool, task.view)
		if !found {
			continue
		}
		offered := coltsfootlink.Offered{Pool: pool, Tried: task.offers.tried[pool], Full: task.offers.full[pool]}
		for _, offer := range teams {
			offered.Teams = append(offered.Teams, offer)
		}
		task.Sender.Send(keeper, offered)
		delete(task.offers.teams, pool)
		delete(task.offers.tried, pool)
		delete(task.offers.full, pool)
	}
}
