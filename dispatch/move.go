package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/move"
)

// moveAnnouncementTTL is how long an announcement of a running move is valid; without a valid one the new version
// gets no requests.
const moveAnnouncementTTL = 2 * time.Second

// moves holds what is known of version moves, and the results of requests that are to be reported to their coordinators.
type moves struct {
	ledger move.Ledger
	usages map[coltsfootlink.PoolName][]coltsfootlink.MoveUsage
}

func newMoves() moves {
	return moves{usages: make(map[coltsfootlink.PoolName][]coltsfootlink.MoveUsage)}
}

// announcement returns the valid announcement of a pool's move; without one, the move counts as running with no
// requests moved yet.
func (moves moves) announcement(now time.Time, order coltsfootlink.Move) coltsfootlink.MoveWord {
	latest, announcedAt := moves.ledger.Word(order)
	if latest.Move.State == coltsfootlink.MoveRunning && now.After(announcedAt.Add(moveAnnouncementTTL)) {
		return coltsfootlink.MoveWord{Move: latest.Move}
	}
	return latest
}

// eligibleCatalog returns the catalog; if the request's pool has a move, its targets are limited to those that the
// request may be sent to.
func (task *Task) eligibleCatalog(want Want) coltsfootlink.Catalog {
	order, moving := task.catalog.Moves[want.Pool]
	if !moving {
		return task.catalog
	}
	announcement := task.moves.announcement(task.Clock.Now(), order)
	return task.versionCatalog(order, announcement, want.ID.Draw("move "+order.Started.String()) < announcement.Share)
}

// versionCatalog returns the catalog with the targets to which requests for the new version, or for the old one, may be
// sent while the version of their pool is moved. Rejected versions get none, even if no other targets are left.
func (task *Task) versionCatalog(order coltsfootlink.Move, announcement coltsfootlink.MoveWord, toNew bool) coltsfootlink.Catalog {
	groups := make(map[bool]map[coltsfootlink.TargetName]coltsfootlink.Target)
	for _, isNew := range []bool{false, true} {
		groups[isNew] = make(map[coltsfootlink.TargetName]coltsfootlink.Target)
	}
	for name, target := range task.catalog.Targets {
		if target.Pool == order.Pool && !announcement.Move.Rejects(target.Version) {
			groups[target.Version == order.To][name] = target
		}
	}
	chosen := groups[toNew]
	switch {
	case len(chosen) > 0:
	case toNew, announcement.Move.State == coltsfootlink.MoveRunning, announcement.Move.Serves(order.To):
		// One version has no targets: the new ones have not started yet, the old ones are gone, or the order was back to the
		// version in service.
		chosen = groups[!toNew]
	}
	return task.catalog.WithTargets(chosen)
}

// recordUsage records how a request ended if its pool has a move.
func (task *Task) recordUsage(request running, report Report) {
	order, moving := task.catalog.Moves[request.want.Pool]
	if !moving || report.Result == coltsfootlink.Unused || report.Result == coltsfootlink.Cancelled {
		return
	}
	if known, _ := task.moves.ledger.Word(order); known.Move.Rejects(request.version) {
		// The version is neither the one on trial nor the one that it is compared with.
		return
	}
	millis := request.firstEventMillis
	if millis == 0 {
		millis = report.Millis
	}
	task.moves.usages[request.want.Pool] = append(task.moves.usages[request.want.Pool], coltsfootlink.MoveUsage{
		OnNewVersion:   request.version == order.To,
		Route:          request.want.Rule,
		Failed:         report.Result != coltsfootlink.Succeeded,
		Millis:         float64(millis),
		ExpectedMillis: float64(request.expectedMillis),
	})
}

// reportMoves reports to the coordinators of running moves how requests have ended, and how many are in
// progress on each version.
func (task *Task) reportMoves(now time.Time) {
	for pool := range task.moves.usages {
		if _, moving := task.catalog.Moves[pool]; !moving {
			delete(task.moves.usages, pool)
		}
	}
	for pool, order := range task.catalog.Moves {
		coordinator, found := move.Coordinator(pool, task.view)
		if !found || task.moves.announcement(now, order).Move.State != coltsfootlink.MoveRunning {
			delete(task.moves.usages, pool)
			continue
		}
		report := coltsfootlink.MoveUsages{Pool: pool, Started: order.Identity(), Usages: task.moves.usages[pool]}
		delete(task.moves.usages, pool)
		for _, request := range task.running {
			switch {
			case request.want.Pool != pool:
			case request.version == order.To:
				report.RunningNew++
			default:
				report.RunningOld++
			}
		}
		task.Sender.Send(coordinator, report)
	}
}
