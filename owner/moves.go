package owner

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/permit"
	"coltsfootlink/revision"
)

const (
	// progressInterval is the time between two reports of a move's progress.
	progressInterval = 250 * time.Millisecond
	// progressTTL is how long a received report of progress remains valid.
	progressTTL = 5 * time.Second
	// publishRetryInterval is the time between two attempts to publish the end of a move.
	publishRetryInterval = 2 * time.Second
)

// progress is the newest progress report of one shard.
type progress struct {
	report coltsfootlink.MoveProgress
	// until is when the report expires.
	until time.Time
}

// moves is what the task knows about version moves in addition to the rollouts of its own shards.
type moves struct {
	logUp    bool
	reportAt time.Time
	progress map[coltsfootlink.Shard]progress
	// faults are the known faults, by the revision that started the move.
	faults map[coltsfootlink.Revision]coltsfootlink.MoveFault
	// publishAt is the earliest time of the next attempt to publish a move's end, by the revision that started the
	// move.
	publishAt map[coltsfootlink.Revision]time.Time
}

func newMoves() moves {
	return moves{
		progress:  make(map[coltsfootlink.Shard]progress),
		faults:    make(map[coltsfootlink.Revision]coltsfootlink.MoveFault),
		publishAt: make(map[coltsfootlink.Revision]time.Time),
	}
}

// actOnMoves sends new faults to the other instances at once, and reports progress and ends moves periodically.
func (task *Task) actOnMoves(now time.Time) {
	reports := task.state.Rollouts()
	for _, report := range reports {
		if report.Fault != "" {
			task.noteFault(coltsfootlink.MoveFault{Pool: report.Move.Pool, Started: report.Move.Started, Reason: report.Fault})
		}
	}
	if now.Before(task.moves.reportAt) {
		return
	}
	task.moves.reportAt = now.Add(progressInterval)
	if task.moves.logUp {
		// While the log is unavailable, the fleet cannot be informed of a failing move, so the share of the new
		// version may shrink but not grow.
		task.state = task.state.WithRolloutGrowth()
	}
	for _, report := range reports {
		task.reportProgress(report)
	}
	for _, move := range task.configuration.Moves {
		task.endMove(now, move)
	}
}

// noteFault stops traffic to the new version, and sends the fault to the other instances if it is new.
func (task *Task) noteFault(fault coltsfootlink.MoveFault) {
	if _, known := task.moves.faults[fault.Started]; known {
		return
	}
	task.moves.faults[fault.Started] = fault
	task.state = task.state.WithMoveFault(fault)
	task.Recorder.Record("move", "pool "+string(fault.Pool)+" sends nothing to the new version: "+fault.Reason)
	for _, member := range task.view.Live() {
		if member.Name != task.Self {
			task.Sender.Send(member.Name, fault)
		}
	}
}

// resendFaults sends an instance the faults of moves that are not rolled back yet.
func (task *Task) resendFaults(to coltsfootlink.InstanceName) {
	for _, fault := range task.moves.faults {
		if task.unresolved(task.configuration.Moves[fault.Pool], fault) {
			task.Sender.Send(to, fault)
		}
	}
}

// unresolved reports whether a fault's move is not rolled back yet.
func (task *Task) unresolved(move coltsfootlink.Move, fault coltsfootlink.MoveFault) bool {
	return move.Started == fault.Started && move.State != coltsfootlink.MoveRolledBack
}

// reportProgress sends the progress of a shard to the coordinator of a running move.
func (task *Task) reportProgress(report permit.RolloutReport) {
	if report.Move.State != coltsfootlink.MoveRunning {
		return
	}
	coordinator, found := task.Coordinator(report.Move.Pool, task.view)
	if !found {
		return
	}
	task.Sender.Send(coordinator, coltsfootlink.MoveProgress{
		Shard:    report.Shard,
		Started:  report.Move.Started,
		Complete: report.Complete,
		Healthy:  report.Healthy,
	})
}

// endMove publishes the end of a move when it is due. Any instance publishes the rollback of a faulty move if targets
// of the old version are still in service. Otherwise the coordinator publishes the completion once all shards have
// completed the move; at the deadline it publishes the completion if all shards are healthy, or else the rollback.
func (task *Task) endMove(now time.Time, move coltsfootlink.Move) {
	if !task.moves.logUp || now.Before(task.moves.publishAt[move.Started]) {
		return
	}
	if fault, found := task.moves.faults[move.Started]; found {
		if task.unresolved(move, fault) && task.oldVersionServes(move) {
			task.publishEnd(now, move, revision.RollBackMove, fault.Reason)
		}
		return
	}
	coordinator, found := task.Coordinator(move.Pool, task.view)
	if !found || coordinator != task.Self || move.State != coltsfootlink.MoveRunning {
		return
	}
	complete, healthy := task.shardStatus(now, move)
	late := now.After(move.FinishBy)
	switch {
	case complete:
		task.publishEnd(now, move, revision.FinishMove, "all shards have moved over")
	case late && healthy:
		task.publishEnd(now, move, revision.FinishMove, "no fault until its time")
	case late:
		task.publishEnd(now, move, revision.RollBackMove, "not shown to be good by its time")
	}
}

// oldVersionServes reports whether a move can be rolled back because targets of the old version are still in service.
func (task *Task) oldVersionServes(move coltsfootlink.Move) bool {
	for _, target := range task.targets {
		if target.Pool == move.Pool && target.Version == move.From && !target.Leaving {
			return true
		}
	}
	return false
}

// shardStatus reports whether all shards with targets of the new version have completed the move, and whether all are
// healthy. A shard without a recent report counts as neither.
func (task *Task) shardStatus(now time.Time, move coltsfootlink.Move) (complete, healthy bool) {
	shards := 0
	complete, healthy = true, true
	for shard, targets := range task.Rules.Placement.Shards(task.configuration.Pools[move.Pool], task.view, task.targets) {
		if !anyServes(targets, move.To) || task.configuration.ZoneOut(shard.Zone) {
			continue
		}
		shards++
		known := task.moves.progress[shard]
		fresh := known.report.Started == move.Started && now.Before(known.until)
		complete = complete && fresh && known.report.Complete
		healthy = healthy && fresh && known.report.Healthy
	}
	return complete && shards > 0, healthy && shards > 0
}

// publishEnd asks the revision task to publish the end of a move. Several instances may do so; the first record on
// the log counts.
func (task *Task) publishEnd(now time.Time, move coltsfootlink.Move, kind revision.Kind, reason string) {
	task.moves.publishAt[move.Started] = now.Add(publishRetryInterval)
	task.Revision.Put(coltsfootlink.Delivery{Message: revision.Publish{
		Record: revision.Record{
			Author:  string(task.Self),
			Kind:    kind,
			Pool:    move.Pool,
			Started: move.Started,
			Reason:  reason,
		},
		// Nobody reads the reply: whether the record was accepted shows in the configuration.
		Reply: make(chan revision.Verdict, 1),
	}})
}

func anyServes(targets []coltsfootlink.Target, version coltsfootlink.Version) bool {
	for _, target := range targets {
		if target.Version == version {
			return true
		}
	}
	return false
}
