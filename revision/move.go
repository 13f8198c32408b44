package revision

import (
	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// startMove starts a move where none is running.
func startMove(configuration coltsfootlink.Configuration, record Record) (coltsfootlink.Configuration, error) {
	if _, found := configuration.Pools[record.Pool]; !found {
		return configuration, errors.Newf("revision: there is no pool %q", record.Pool)
	}
	if record.From == record.To {
		return configuration, errors.Newf("revision: a move from %q to itself", record.From)
	}
	if present, found := configuration.Moves[record.Pool]; found && present.State == coltsfootlink.MoveRunning {
		return configuration, errors.Newf("revision: pool %q already moves to %q", record.Pool, present.To)
	}
	return configuration.WithMove(coltsfootlink.Move{
		Pool:     record.Pool,
		From:     record.From,
		To:       record.To,
		Started:  configuration.Revision + 1,
		FinishBy: record.FinishBy,
		State:    coltsfootlink.MoveRunning,
	}), nil
}

// endMove finishes a running move or takes one back. A move that is done can still be taken back; one that
// was taken back stays so.
func endMove(configuration coltsfootlink.Configuration, record Record, state coltsfootlink.MoveState) (coltsfootlink.Configuration, error) {
	present, found := configuration.Moves[record.Pool]
	if !found || record.Started != 0 && record.Started != present.Started {
		return configuration, errors.Newf("revision: pool %q has no such move", record.Pool)
	}
	if present.State == coltsfootlink.MoveRolledBack || present.State == state {
		return configuration, errors.Newf("revision: the move of pool %q is already %s", record.Pool, present.State)
	}
	return configuration.WithMove(present.WithState(state, record.Reason)), nil
}
