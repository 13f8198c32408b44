package entry

import (
	"cmp"
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/queue"
)

// spillPause is how long a request waits for its own zone before the other zones are asked.
const spillPause = 5 * time.Millisecond

// teamLine names the line of a team in a pool.
type teamLine struct {
	pool coltsfootlink.PoolName
	team coltsfootlink.TeamName
}

// announcer decides which owners are told of changed demand.
type announcer struct {
	// shards are the shards of each pool, the one to ask first in front.
	shards map[coltsfootlink.PoolName][]coltsfootlink.Shard
	told   map[coltsfootlink.Shard]queue.ReportedDemand
	// changed are the lines that may differ from what the owners believe.
	changed map[teamLine]bool
	// spillAt is when the owners behind the first are told of a line.
	spillAt map[teamLine]time.Time
}

func newAnnouncer() announcer {
	return announcer{
		shards:  make(map[coltsfootlink.PoolName][]coltsfootlink.Shard),
		told:    make(map[coltsfootlink.Shard]queue.ReportedDemand),
		changed: make(map[teamLine]bool),
		spillAt: make(map[teamLine]time.Time),
	}
}

// place puts the shards of each pool in the order in which they are asked: the own zone first, zones that
// are out last, and otherwise in an order that differs between instances.
func (task *Task) placeShards() {
	task.announcer.shards = make(map[coltsfootlink.PoolName][]coltsfootlink.Shard)
	for _, name := range task.configuration.PoolNames() {
		pool := task.configuration.Pools[name]
		var shards []coltsfootlink.Shard
		for shard := range task.Placement.Shards(pool, task.view, task.listing.Targets) {
			if task.Placement.Serves(shard, task.Self) {
				shards = append(shards, shard)
			}
		}
		slices.SortFunc(shards, func(left, right coltsfootlink.Shard) int {
			return cmp.Or(
				cmp.Compare(task.distance(left), task.distance(right)),
				cmp.Compare(left.String(), right.String()),
			)
		})
		task.announcer.shards[name] = shards
	}
	task.changeAll()
}

// distance is small for shards that are asked first.
func (task *Task) distance(shard coltsfootlink.Shard) int {
	self, _ := task.view.Member(task.Self)
	switch {
	case task.configuration.ZoneOut(shard.Zone):
		return 2
	case shard.Zone == self.Zone:
		return 0
	default:
		return 1
	}
}

func (task *Task) change(pool coltsfootlink.PoolName, team coltsfootlink.TeamName) {
	task.announcer.changed[teamLine{pool: pool, team: team}] = true
}

func (task *Task) changeAll() {
	for _, pool := range task.configuration.PoolNames() {
		for _, team := range task.queue.Demand(pool) {
			task.change(pool, team.Team)
		}
	}
}

// announce tells the owners of changed demand.
func (task *Task) announce() {
	demands := make(map[coltsfootlink.Shard][]coltsfootlink.TeamDemand)
	now := task.Clock.Now()
	for line := range task.announcer.changed {
		demand := task.queue.TeamDemand(line.pool, line.team)
		for _, shard := range task.asked(now, line, demand.Waiting) {
			if task.tell(shard, demand) {
				demands[shard] = append(demands[shard], demand)
			}
		}
	}
	clear(task.announcer.changed)
	for shard, teams := range demands {
		task.sendDemand(shard, teams, false)
	}
}

// asked returns the shards that are to know of a line now. The first shard is asked at once and the
// others a little later, so that a request that is granted at once costs one question.
func (task *Task) asked(now time.Time, line teamLine, waiting int) []coltsfootlink.Shard {
	shards := task.announcer.shards[line.pool]
	if waiting == 0 {
		delete(task.announcer.spillAt, line)
		return shards
	}
	spillAt, set := task.announcer.spillAt[line]
	if !set {
		spillAt = now.Add(spillPause)
		task.announcer.spillAt[line] = spillAt
	}
	if now.Before(spillAt) {
		return shards[:min(1, len(shards))]
	}
	return shards
}

// tell notes what an owner is told; false if it need not be told.
func (task *Task) tell(shard coltsfootlink.Shard, demand coltsfootlink.TeamDemand) bool {
	owner, found := task.owner(shard)
	if !found {
		return false
	}
	epoch := task.held.Owner(shard).Epoch
	told := task.announcer.told[shard]
	if !told.IsFor(owner, epoch) {
		told = queue.NewReportedDemand(owner, epoch)
	}
	told, news := told.WithDemand(demand.Team, demand.Waiting)
	task.announcer.told[shard] = told
	return news
}

func (task *Task) sendDemand(shard coltsfootlink.Shard, teams []coltsfootlink.TeamDemand, full bool) {
	owner, found := task.owner(shard)
	if !found {
		return
	}
	known := task.held.Owner(shard)
	task.Sender.Send(owner, coltsfootlink.Demand{
		Shard:      shard,
		Epoch:      known.Epoch,
		LastSerial: known.LastSerial,
		Teams:      teams,
		Full:       full,
	})
}

// spill marks the lines whose other owners are to be told now.
func (task *Task) spill(now time.Time) {
	for line, spillAt := range task.announcer.spillAt {
		if !now.Before(spillAt) {
			task.announcer.changed[line] = true
		}
	}
}

// nextSpill returns when the next line spills; false if none waits to.
func (task *Task) nextSpill(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, spillAt := range task.announcer.spillAt {
		if spillAt.After(now) && (next.IsZero() || spillAt.Before(next)) {
			next = spillAt
		}
	}
	return next, !next.IsZero()
}

// refresh repairs what lost messages have left different at the owners.
func (task *Task) refresh() {
	for pool, shards := range task.announcer.shards {
		teams := task.queue.Demand(pool)
		for _, shard := range shards {
			owner, found := task.owner(shard)
			holdings := task.held.Holdings(shard)
			if found && len(holdings.Permits) > 0 {
				task.Sender.Send(owner, holdings)
			}
			if len(teams) > 0 {
				task.tellAll(shard, owner, teams)
			}
		}
	}
}

// tellAll tells an owner of the whole demand.
func (task *Task) tellAll(shard coltsfootlink.Shard, owner coltsfootlink.InstanceName, teams []coltsfootlink.TeamDemand) {
	told := queue.NewReportedDemand(owner, task.held.Owner(shard).Epoch)
	for _, team := range teams {
		told, _ = told.WithDemand(team.Team, team.Waiting)
	}
	task.announcer.told[shard] = told
	task.sendDemand(shard, teams, true)
}
