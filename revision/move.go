package revision

import (
	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// startMove returns the configuration with a new version move; an error if one is already running in the pool.
func startMove(configuration coltsfootlink.Configuration, record Record) (coltsfootlink.Configuration, error) {
	if _, found := configuration.Pools[record.Pool]; !found {
		return configuration, errors.Newf("revision: cannot start a move: there is no pool %q", record.Pool)
	}
	if record.From == record.To {
		return configuration, errors.Newf("revision: cannot start a move: the old and the new version are both %q", record.From)
	}
	present, found := configuration.Moves[record.Pool]
	if found && present.State == coltsfootlink.MoveRunning {
		return configuration, errors.Newf("revision: cannot start a move: pool %q already has a running move to version %q", record.Pool, present.To)
	}
	started := coltsfootlink.Move{
		Pool:     record.Pool,
		From:     record.From,
		To:       record.To,
		Started:  configuration.Revision + 1,
		FinishBy: record.FinishBy,
		State:    coltsfootlink.MoveRunning,
	}
	return configuration.WithMove(started.WithVersions(nil, started.WithPredecessor(present).Rejected)), nil
}

// endMove returns the configuration with a move completed or rolled back. A completed move can still be rolled back; a
// move that was rolled back is final.
func endMove(configuration coltsfootlink.Configuration, record Record, state coltsfootlink.MoveState) (coltsfootlink.Configuration, error) {
	present, found := configuration.Moves[record.Pool]
	if !found || record.Started != 0 && record.Started != present.Started {
		return configuration, errors.Newf("revision: cannot end the move: pool %q has no such move", record.Pool)
	}
	if present.State == coltsfootlink.MoveRolledBack || present.State == state {
		return configuration, errors.Newf("revision: the move of pool %q is already %s", record.Pool, present.State)
	}
	return configuration.WithMove(present.WithState(state, record.Reason)), nil
}
