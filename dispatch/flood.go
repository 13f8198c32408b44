package dispatch

import (
	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/share"
)

// floodFactor decides what counts as a flood: more than floodFactor times the work of the previous interval, plus the
// guaranteed work.
const floodFactor = 2.0

// recentLoad is the work recently requested from one pool at this instance, by one team or by all teams, in tokens.
type recentLoad struct {
	// requested is the work requested since the last regular report to the share coordinator, and admitted the part
	// of it that was not deferred. previous is the work requested in the interval before that report; it falls by no
	// more than half from one interval to the next.
	requested, admitted, previous float64
}

// withRequested returns the load after a request for some tokens.
func (load recentLoad) withRequested(tokens float64) recentLoad {
	load.requested += tokens
	return load
}

// withAdmitted returns the load after a request for some tokens was admitted.
func (load recentLoad) withAdmitted(tokens float64) recentLoad {
	load.admitted += tokens
	return load
}

// exhausted reports whether the admitted work has reached both the previous interval's work and the guaranteed work.
func (load recentLoad) exhausted(guaranteed float64) bool {
	return load.admitted >= max(guaranteed, load.previous)
}

// floods reports whether the requested work counts as a flood.
func (load recentLoad) floods(guaranteed float64) bool {
	return load.requested > floodFactor*load.previous+guaranteed
}

// nextInterval returns the load at the start of the next report interval. Half of the previous work still counts,
// because requests arrive in bursts.
func (load recentLoad) nextInterval() recentLoad {
	load.previous = max(load.requested, load.previous/2)
	load.requested, load.admitted = 0, 0
	return load
}

// negligible reports whether so little was requested that the load need not be kept.
func (load recentLoad) negligible() bool { return load.previous < 1 }

// nextIntervals returns the loads of all teams at the start of the next report interval, without the negligible ones.
func nextIntervals(teams map[coltsfootlink.TeamName]recentLoad) map[coltsfootlink.TeamName]recentLoad {
	next := make(map[coltsfootlink.TeamName]recentLoad, len(teams))
	for team, load := range teams {
		if load = load.nextInterval(); !load.negligible() {
			next[team] = load
		}
	}
	return next
}

// deferFlood refuses requests during a flood that the pool's share coordinator cannot know of yet, once their team has
// been admitted as much work as in the previous interval and at least this instance's part of the guaranteed work. It
// returns nil if the request may go on.
func (task *Task) deferFlood(want Want) *coltsfootlink.Refusal {
	pool := task.loads.pools[want.Pool]
	team, counted := pool.recentTeams[want.Team]
	if want.Retry || !counted {
		return nil
	}
	refusal := task.floodRefusal(want, pool.recent, team)
	if refusal == nil {
		pool.recentTeams[want.Team] = team.withAdmitted(want.Work.WeightedTokens())
		return nil
	}
	metrics.Count("floods-held")
	return refusal
}

// floodRefusal returns the refusal of a request during a flood, by the recent load of the pool and of the request's team
// including the request; nil if it may go on.
func (task *Task) floodRefusal(want Want, pool, team recentLoad) *coltsfootlink.Refusal {
	if guaranteed := task.guaranteedTokens(); guaranteed <= 0 || !pool.floods(guaranteed) || !team.exhausted(guaranteed) {
		return nil
	}
	now := task.Clock.Now()
	retryAt := now.Add(share.RetryDelay(want.Objective.Sub(now)))
	return coltsfootlink.Refuse(coltsfootlink.OverShare, "its team asks for much more than just before").WithRetryAt(retryAt)
}
