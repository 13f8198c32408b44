package entry

import (
	"cmp"
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/queue"
)

// spillDelay is how long the demand of a queue is reported only to the owner of the first shard in order of preference,
// before it is reported to the owners of all shards.
const spillDelay = 5 * time.Millisecond

// queueKey identifies the queue of a team in a pool.
type queueKey struct {
	pool coltsfootlink.PoolName
	team coltsfootlink.TeamName
}

// demandReporter keeps track of what was reported to which shard owner, so that only changed demand is sent.
type demandReporter struct {
	// shards holds the shards of each pool in order of preference.
	shards map[coltsfootlink.PoolName][]coltsfootlink.Shard
	// reported is the demand that was last reported to the owner of each shard.
	reported map[coltsfootlink.Shard]queue.ReportedDemand
	// changed holds the queues whose demand may differ from what was reported.
	changed map[queueKey]bool
	// spillAt is when the demand of a queue is reported to the owners of all shards, not only of the first.
	spillAt map[queueKey]time.Time
}

func newDemandReporter() demandReporter {
	return demandReporter{
		shards:   make(map[coltsfootlink.PoolName][]coltsfootlink.Shard),
		reported: make(map[coltsfootlink.Shard]queue.ReportedDemand),
		changed:  make(map[queueKey]bool),
		spillAt:  make(map[queueKey]time.Time),
	}
}

// orderShards lists the shards of each pool that this instance reports demand to, in order of preference: the own zone
// first, zones out of service last, and otherwise by shard name.
func (task *Task) orderShards() {
	task.reporter.shards = make(map[coltsfootlink.PoolName][]coltsfootlink.Shard)
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
		task.reporter.shards[name] = shards
	}
	task.markAllChanged()
}

// distance is the preference rank of a shard's zone, lowest first.
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

// markChanged schedules a check of whether a queue's demand has to be reported.
func (task *Task) markChanged(pool coltsfootlink.PoolName, team coltsfootlink.TeamName) {
	task.reporter.changed[queueKey{pool: pool, team: team}] = true
}

func (task *Task) markAllChanged() {
	for _, pool := range task.configuration.PoolNames() {
		for _, team := range task.queue.Demand(pool) {
			task.markChanged(pool, team.Team)
		}
	}
}

// reportDemand sends the changed demand to the shard owners, in one message per shard.
func (task *Task) reportDemand() {
	demands := make(map[coltsfootlink.Shard][]coltsfootlink.TeamDemand)
	now := task.Clock.Now()
	for key := range task.reporter.changed {
		demand := task.queue.TeamDemand(key.pool, key.team)
		for _, shard := range task.recipients(now, key, demand.Waiting) {
			if task.noteReport(shard, demand) {
				demands[shard] = append(demands[shard], demand)
			}
		}
	}
	clear(task.reporter.changed)
	for shard, teams := range demands {
		task.sendDemand(shard, teams, false)
	}
}

// recipients returns the shards to which the demand of a queue is reported now. The first shard gets it at once and the
// others only after spillDelay, so that a request that gets its permit at once costs a single message. An empty queue
// is reported to all of them.
func (task *Task) recipients(now time.Time, key queueKey, waiting int) []coltsfootlink.Shard {
	shards := task.reporter.shards[key.pool]
	if waiting == 0 {
		delete(task.reporter.spillAt, key)
		return shards
	}
	spillAt, set := task.reporter.spillAt[key]
	if !set {
		spillAt = now.Add(spillDelay)
		task.reporter.spillAt[key] = spillAt
	}
	if now.Before(spillAt) {
		return shards[:min(1, len(shards))]
	}
	return shards
}

// noteReport records the demand as reported to a shard's owner. It returns false if no report is needed, because the
// owner's count is close enough or the shard has no owner.
func (task *Task) noteReport(shard coltsfootlink.Shard, demand coltsfootlink.TeamDemand) bool {
	owner, found := task.owner(shard)
	if !found {
		return false
	}
	epoch := task.held.Owner(shard).Epoch
	reported := task.reporter.reported[shard]
	if !reported.IsFor(owner, epoch) {
		reported = queue.NewReportedDemand(owner, epoch)
	}
	reported, changed := reported.WithDemand(demand.Team, demand.Waiting)
	task.reporter.reported[shard] = reported
	return changed
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

// markSpilling marks the queues whose spill delay has passed, so that their demand is reported to all shards.
func (task *Task) markSpilling(now time.Time) {
	for key, spillAt := range task.reporter.spillAt {
		if !now.Before(spillAt) {
			task.reporter.changed[key] = true
		}
	}
}

// nextSpill returns when the spill delay of the next queue ends; false if no delay is running.
func (task *Task) nextSpill(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, spillAt := range task.reporter.spillAt {
		if spillAt.After(now) && (next.IsZero() || spillAt.Before(next)) {
			next = spillAt
		}
	}
	return next, !next.IsZero()
}

// resync sends all permits held and the full demand to the shard owners, to correct what lost messages left wrong.
func (task *Task) resync() {
	for pool, shards := range task.reporter.shards {
		teams := task.queue.Demand(pool)
		for _, shard := range shards {
			owner, found := task.owner(shard)
			holdings := task.held.Holdings(shard)
			if found && len(holdings.Permits) > 0 {
				task.Sender.Send(owner, holdings)
			}
			if len(teams) > 0 {
				task.reportAll(shard, owner, teams)
			}
		}
	}
}

// reportAll sends the demand of all teams to a shard's owner.
func (task *Task) reportAll(shard coltsfootlink.Shard, owner coltsfootlink.InstanceName, teams []coltsfootlink.TeamDemand) {
	reported := queue.NewReportedDemand(owner, task.held.Owner(shard).Epoch)
	for _, team := range teams {
		reported, _ = reported.WithDemand(team.Team, team.Waiting)
	}
	task.reporter.reported[shard] = reported
	task.sendDemand(shard, teams, true)
}
