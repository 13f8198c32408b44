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

// offers is what the keepers of the shares are to be told of the teams' requests, by pool.
type offers struct {
	pools map[coltsfootlink.PoolName]offered
	// tellAt is when the keepers are next told.
	tellAt time.Time
}

// offered is what the keeper of one pool is to be told.
type offered struct {
	teams map[coltsfootlink.TeamName]coltsfootlink.TeamLoad
	// tried is the work within shares that was offered to targets, full the part of it that full ones refused.
	tried, full float64
	// surge is of what was asked for since keepers were last told in their turn, and flows are of what each team asked for.
	surge share.BurstDetector
	flows map[coltsfootlink.TeamName]flow
	// all is what the teams ask for together.
	all flow
}

func newOffers() offers { return offers{pools: make(map[coltsfootlink.PoolName]offered)} }

// count adds work that a team has asked for, and work that it got; less than none if permits were of no use.
func (offers *offers) count(pool coltsfootlink.PoolName, team coltsfootlink.TeamName, asked, granted float64) {
	if team == "" || asked == 0 && granted == 0 {
		return
	}
	known := offers.pools[pool].forTeams()
	offer := known.teams[team]
	offer.Team = team
	offer.Tokens += asked
	offer.Granted += granted
	known.teams[team] = offer
	known.surge = known.surge.WithDemand(asked)
	known.all = known.all.withAsked(asked)
	known.flows[team] = known.flows[team].withAsked(asked)
	offers.pools[pool] = known
}

// forTeams returns what is known with room for what teams ask for.
func (offered offered) forTeams() offered {
	if offered.teams == nil {
		offered.teams = make(map[coltsfootlink.TeamName]coltsfootlink.TeamLoad)
	}
	if offered.flows == nil {
		offered.flows = make(map[coltsfootlink.TeamName]flow)
	}
	return offered
}

// try counts work within a team's share that was offered to targets.
func (offers *offers) try(want Want, refusal *coltsfootlink.Refusal) {
	if want.Standing != coltsfootlink.Entitled || want.Team == "" {
		return
	}
	known := offers.pools[want.Pool]
	known.tried += tokensOf(want.Work)
	if refusal != nil && refusal.Reason == coltsfootlink.TargetFull {
		known.full += tokensOf(want.Work)
	}
	offers.pools[want.Pool] = known
}

// tokensOf is the work of a request that counts for its team's share.
func tokensOf(work coltsfootlink.Work) float64 {
	return float64(work.PromptTokens + outputWeight*work.OutputTokens)
}

// tell tells the keepers of the shares what callers have asked for, and the coordinators of moves how it went.
func (task *Task) tell(now time.Time) {
	if now.Before(task.offers.tellAt) {
		task.tellSurges()
		return
	}
	task.offers.tellAt = now.Add(offerInterval)
	task.tellCoordinators(now)
	for pool, known := range task.offers.pools {
		if !task.tellKeeper(pool, known) {
			continue
		}
		if all := known.all.next(); all.silent() {
			delete(task.offers.pools, pool)
		} else {
			task.offers.pools[pool] = offered{surge: known.surge.WithNextInterval(), flows: nextFlows(known.flows), all: all}
		}
	}
}

// tellSurges tells the keepers of the pools of which so much is asked that their turn would come late.
func (task *Task) tellSurges() {
	allowed := task.allowed()
	if allowed <= 0 {
		return
	}
	for pool, known := range task.offers.pools {
		if known.surge.Due(allowed) && task.tellKeeper(pool, known) {
			task.offers.pools[pool] = offered{surge: known.surge.WithReported(), flows: known.flows, all: known.all}
		}
	}
}

// allowed is this instance's part of what operators promise for the time between two messages, in tokens; zero if nothing
// is known of that.
func (task *Task) allowed() float64 {
	return task.catalog.Table.TokensPerSecond * offerInterval.Seconds() / float64(max(1, len(task.view.Members)))
}

// tellKeeper tells the keeper of a pool what callers have asked for; false if there is none.
func (task *Task) tellKeeper(pool coltsfootlink.PoolName, known offered) bool {
	keeper, found := share.Coordinator(pool, task.view)
	if !found {
		return false
	}
	if len(known.teams) == 0 {
		return true
	}
	message := coltsfootlink.Offered{Pool: pool, Attempted: known.tried, RefusedFull: known.full}
	for _, offer := range known.teams {
		message.Teams = append(message.Teams, offer)
	}
	task.Sender.Send(keeper, message)
	return true
}
