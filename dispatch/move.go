package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/move"
)

// moveWordSpan is how long the word on a running move holds; without it the new version gets nothing.
const moveWordSpan = 2 * time.Second

// moveWord is what the coordinator of a pool's move has said last.
type moveWord struct {
	coltsfootlink.MoveWord
	until time.Time
}

// moves is what an instance knows of version moves, and what it has to tell of them.
type moves struct {
	words  map[coltsfootlink.PoolName]moveWord
	usages map[coltsfootlink.PoolName][]coltsfootlink.MoveUsage
}

func newMoves() moves {
	return moves{
		words:  make(map[coltsfootlink.PoolName]moveWord),
		usages: make(map[coltsfootlink.PoolName][]coltsfootlink.MoveUsage),
	}
}

// word returns what holds of a pool's move; a move of which nothing is known is running, with nothing moved yet.
func (moves moves) word(now time.Time, order coltsfootlink.Move) coltsfootlink.MoveWord {
	said := moves.words[order.Pool]
	switch {
	case said.Move.Started != order.Started:
		return coltsfootlink.MoveWord{Move: order}
	case said.Move.State == coltsfootlink.MoveRunning && now.After(said.until):
		return coltsfootlink.MoveWord{Move: said.Move}
	default:
		return said.MoveWord
	}
}

// movable returns the catalog with those targets only that a request may go to by its pool's move.
func (task *Task) movable(want Want) coltsfootlink.Catalog {
	order, moving := task.catalog.Moves[want.Pool]
	if !moving {
		return task.catalog
	}
	word := task.moves.word(task.Clock.Now(), order)
	fresh := want.ID.Draw("move "+order.Started.String()) < word.Share
	side := make(map[bool]map[coltsfootlink.TargetName]coltsfootlink.Target)
	for _, isNew := range []bool{false, true} {
		side[isNew] = make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	}
	for name, target := range task.catalog.Targets {
		if target.Pool == want.Pool {
			side[target.Version == order.To][name] = target
		}
	}
	chosen := side[fresh]
	switch {
	case len(chosen) > 0:
	case fresh, word.Move.State == coltsfootlink.MoveRunning:
		// One version has no targets: either the new ones have not started yet, or the old ones are gone.
		chosen = side[!fresh]
	}
	return task.catalog.WithTargets(chosen)
}

// noteUsage keeps how a request of a moving pool has ended.
func (task *Task) noteUsage(held running, report Report) {
	order, moving := task.catalog.Moves[held.want.Pool]
	if !moving || report.Result == coltsfootlink.Unused || report.Result == coltsfootlink.Cancelled {
		return
	}
	millis := held.firstMillis
	if millis == 0 {
		millis = report.Millis
	}
	task.moves.usages[held.want.Pool] = append(task.moves.usages[held.want.Pool], coltsfootlink.MoveUsage{
		OnNewVersion: held.version == order.To,
		Route:        held.want.Rule,
		Failed:       report.Result != coltsfootlink.Succeeded,
		Millis:       float64(millis),
	})
}

// tellCoordinators tells the coordinators of running moves how requests have ended, and what still runs.
func (task *Task) tellCoordinators(now time.Time) {
	for pool := range task.moves.usages {
		if _, moving := task.catalog.Moves[pool]; !moving {
			delete(task.moves.usages, pool)
		}
	}
	for pool, order := range task.catalog.Moves {
		coordinator, found := move.Coordinator(pool, task.view)
		if !found || task.moves.word(now, order).Move.State != coltsfootlink.MoveRunning {
			delete(task.moves.usages, pool)
			continue
		}
		told := coltsfootlink.MoveUsages{Pool: pool, Started: order.Started, Usages: task.moves.usages[pool]}
		delete(task.moves.usages, pool)
		for _, held := range task.running {
			switch {
			case held.want.Pool != pool:
			case held.version == order.To:
				told.RunningNew++
			default:
				told.RunningOld++
			}
		}
		task.Sender.Send(coordinator, told)
	}
}
