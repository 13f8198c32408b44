package owner

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/permit"
	"coltsfootlink/revision"
)

const (
	// moveInterval is the time between two reports of a move's progress.
	moveInterval = 250 * time.Millisecond
	// progressLimit is how long a report of progress counts.
	progressLimit = 5 * time.Second
	// publishPause is the time between two attempts to record the end of a move.
	publishPause = 2 * time.Second
)

// progress is the newest report of one shard.
type progress struct {
	report coltsfootlink.MoveProgress
	// until is when the report no longer counts.
	until time.Time
}

// moves is what the task knows of version moves beyond its own shards.
type moves struct {
	logUp    bool
	reportAt time.Time
	progress map[coltsfootlink.Shard]progress
	// faults are the known faults, by the revision that started the move.
	faults map[coltsfootlink.Revision]coltsfootlink.MoveFault
	// publishAt is when the end of a move may be recorded again.
	publishAt map[coltsfootlink.Revision]time.Time
}

func newMoves() moves {
	return moves{
		progress:  make(map[coltsfootlink.Shard]progress),
		faults:    make(map[coltsfootlink.Revision]coltsfootlink.MoveFault),
		publishAt: make(map[coltsfootlink.Revision]time.Time),
	}
}

// actOnMoves spreads new faults at once, and reports and ends moves when it is time.
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
	task.moves.reportAt = now.Add(moveInterval)
	if task.moves.logUp {
		// While the log is down nobody could hear that a move goes wrong, so it may shrink but not grow.
		task.state = task.state.WithRolloutGrowth()
	}
	for _, report := range reports {
		task.report(report)
	}
	for _, move := range task.configuration.Moves {
		task.end(now, move)
	}
}

// noteFault stops a move here, and tells the other instances if the fault is new.
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

// repeatFaults tells an instance of the faults of moves that are not yet taken back.
func (task *Task) repeatFaults(to coltsfootlink.InstanceName) {
	for _, fault := range task.moves.faults {
		if task.open(task.configuration.Moves[fault.Pool], fault) {
			task.Sender.Send(to, fault)
		}
	}
}

// open says whether a fault's move is not yet taken back.
func (task *Task) open(move coltsfootlink.Move, fault coltsfootlink.MoveFault) bool {
	return move.Started == fault.Started && move.State != coltsfootlink.MoveRolledBack
}

// report tells the coordinator of a running move how far a shard has come.
func (task *Task) report(report permit.RolloutReport) {
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

// end records the end of a move when its time has come.
func (task *Task) end(now time.Time, move coltsfootlink.Move) {
	if !task.moves.logUp || now.Before(task.moves.publishAt[move.Started]) {
		return
	}
	if fault, found := task.moves.faults[move.Started]; found {
		if task.open(move, fault) && task.oldVersionServes(move) {
			task.record(now, move, revision.RollBackMove, fault.Reason)
		}
		return
	}
	coordinator, found := task.Coordinator(move.Pool, task.view)
	if !found || coordinator != task.Self || move.State != coltsfootlink.MoveRunning {
		return
	}
	complete, healthy := task.shardsOf(now, move)
	late := now.After(move.FinishBy)
	switch {
	case complete:
		task.record(now, move, revision.FinishMove, "all shards have moved over")
	case late && healthy:
		task.record(now, move, revision.FinishMove, "no fault until its time")
	case late:
		task.record(now, move, revision.RollBackMove, "not shown to be good by its time")
	}
}

// oldVersionServes says whether targets of the old version are still there to go back to.
func (task *Task) oldVersionServes(move coltsfootlink.Move) bool {
	for _, target := range task.targets {
		if target.Pool == move.Pool && target.Version == move.From && !target.Leaving {
			return true
		}
	}
	return false
}

// shardsOf says whether all shards with targets of the new version have moved over, and whether all are healthy.
func (task *Task) shardsOf(now time.Time, move coltsfootlink.Move) (complete, healthy bool) {
	shards := 0
	complete, healthy = true, true
	for shard, targets := range task.Rules.Placement.Shards(task.configuration.Pools[move.Pool], task.view, task.targets) {
		if !serves(targets, move.To) || task.configuration.ZoneOut(shard.Zone) {
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

// record asks for a record of a move's end; the first on the log counts.
func (task *Task) record(now time.Time, move coltsfootlink.Move, kind revision.Kind, reason string) {
	task.moves.publishAt[move.Started] = now.Add(publishPause)
	task.Revision.Put(coltsfootlink.Delivery{Message: revision.Publish{
		Record: revision.Record{
			Author:  string(task.Self),
			Kind:    kind,
			Pool:    move.Pool,
			Started: move.Started,
			Reason:  reason,
		},
		// Whether it was accepted is seen in the configuration.
		Reply: make(chan revision.Verdict, 1),
	}})
}

func serves(targets []coltsfootlink.Target, version coltsfootlink.Version) bool {
	for _, target := range targets {
		if target.Version == version {
			return true
		}
	}
	return false
}
