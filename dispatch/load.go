package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/share"
)

// reportInterval is the time between two regular reports to the coordinators of shares and of moves.
const reportInterval = 250 * time.Millisecond

// loads is the load that is to be reported to the share coordinators, by pool.
type loads struct {
	pools map[coltsfootlink.PoolName]poolLoad
	// nextReportAt is when the next regular report is due.
	nextReportAt time.Time
}

// poolLoad is the load that is to be reported to the share coordinator of one pool.
type poolLoad struct {
	teams map[coltsfootlink.TeamName]coltsfootlink.TeamLoad
	// attempted is the work within teams' shares that was offered to targets, and refusedFull the part of it that was
	// refused because the targets were full; in tokens.
	attempted, refusedFull float64
	// burst detects a sudden rise of the work requested since the last regular report; recentTeams is the recent load
	// of each team.
	burst       share.BurstDetector
	recentTeams map[coltsfootlink.TeamName]recentLoad
	// recent is the recent load of all teams together.
	recent recentLoad
}

func newLoads() loads { return loads{pools: make(map[coltsfootlink.PoolName]poolLoad)} }

// countTeam adds work that a team has requested and work that it was granted permits for; granted is negative when
// permits were not used.
func (loads *loads) countTeam(pool coltsfootlink.PoolName, team coltsfootlink.TeamName, requested, granted float64) {
	if team == "" || requested == 0 && granted == 0 {
		return
	}
	load := loads.pools[pool].withMaps()
	teamLoad := load.teams[team]
	teamLoad.Team = team
	teamLoad.Tokens += requested
	if requested > 0 {
		teamLoad.Requests++
	}
	teamLoad.Granted += granted
	load.teams[team] = teamLoad
	load.burst = load.burst.WithDemand(requested)
	load.recent = load.recent.withRequested(requested)
	load.recentTeams[team] = load.recentTeams[team].withRequested(requested)
	loads.pools[pool] = load
}

// withMaps returns the load with its maps allocated.
func (load poolLoad) withMaps() poolLoad {
	if load.teams == nil {
		load.teams = make(map[coltsfootlink.TeamName]coltsfootlink.TeamLoad)
	}
	if load.recentTeams == nil {
		load.recentTeams = make(map[coltsfootlink.TeamName]recentLoad)
	}
	return load
}

// countAttempt counts work within a team's share that was offered to targets; the refusal is nil if a permit was
// granted.
func (loads *loads) countAttempt(want Want, refusal *coltsfootlink.Refusal) {
	if want.Standing != coltsfootlink.Entitled || want.Team == "" {
		return
	}
	load := loads.pools[want.Pool]
	load.attempted += want.Work.WeightedTokens()
	if refusal != nil && refusal.Reason == coltsfootlink.TargetFull {
		load.refusedFull += want.Work.WeightedTokens()
	}
	loads.pools[want.Pool] = load
}

// sendReports sends the regular reports to the coordinators of shares and of moves if they are due, and otherwise
// reports bursts to the share coordinators.
func (task *Task) sendReports(now time.Time) {
	if now.Before(task.loads.nextReportAt) {
		task.reportBursts()
		return
	}
	task.loads.nextReportAt = now.Add(reportInterval)
	task.reportMoves(now)
	for pool, load := range task.loads.pools {
		if !task.reportLoad(pool, load) {
			continue
		}
		if recent := load.recent.nextInterval(); recent.negligible() {
			delete(task.loads.pools, pool)
		} else {
			task.loads.pools[pool] = poolLoad{burst: load.burst.WithNextInterval(), recentTeams: nextIntervals(load.recentTeams), recent: recent}
		}
	}
}

// reportBursts reports the load of pools where it rises so fast that the regular report would come too late.
func (task *Task) reportBursts() {
	guaranteed := task.guaranteedTokens()
	if guaranteed <= 0 {
		return
	}
	for pool, load := range task.loads.pools {
		if load.burst.Due(guaranteed) && task.reportLoad(pool, load) {
			task.loads.pools[pool] = poolLoad{burst: load.burst.WithReported(), recentTeams: load.recentTeams, recent: load.recent}
		}
	}
}

// guaranteedTokens returns this instance's part of the work that operators guarantee for one report interval, in
// tokens; zero if the guaranteed rate is not known.
func (task *Task) guaranteedTokens() float64 {
	return task.catalog.Table.TokensPerSecond * reportInterval.Seconds() / float64(max(1, len(task.view.Members)))
}

// reportLoad sends the load of a pool, if there is any, to the pool's share coordinator; false if there is no
// coordinator.
func (task *Task) reportLoad(pool coltsfootlink.PoolName, load poolLoad) bool {
	coordinator, found := share.Coordinator(pool, task.view)
	if !found {
		return false
	}
	if len(load.teams) == 0 {
		return true
	}
	message := coltsfootlink.Offered{Pool: pool, Attempted: load.attempted, RefusedFull: load.refusedFull}
	for _, teamLoad := range load.teams {
		message.Teams = append(message.Teams, teamLoad)
	}
	task.Sender.Send(coordinator, message)
	return true
}
