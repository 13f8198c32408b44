package coltsfootlink

import (
	"context"
	"time"
)

// MoveState is how far a version move has come.
type MoveState string

// The states of a version move.
const (
	// MoveRunning means that traffic moves over in stages.
	MoveRunning MoveState = "running"
	// MoveDone means that all traffic goes to the new version.
	MoveDone MoveState = "done"
	// MoveTakenBack means that no traffic goes to the new version any more.
	MoveTakenBack MoveState = "taken-back"
)

// Move takes the traffic of a pool from one version to another.
type Move struct {
	Pool PoolName
	// From is empty if all other versions are meant.
	From, To Version
	// Started is the revision that started the move; it identifies the move.
	Started Revision
	// OrderedAt is when the order to move was first known; zero on our own interface, which does not need it.
	OrderedAt time.Time
	// FinishBy is when the move has to be done or taken back.
	FinishBy time.Time
	State    MoveState
	// Reason says why the move was taken back, or how it was done.
	Reason string
}

// WithState returns the move in another state and the reason for it.
func (move Move) WithState(state MoveState, reason string) Move {
	move.State = state
	move.Reason = reason
	return move
}

// WithStarted returns the move with the revision that started it.
func (move Move) WithStarted(started Revision) Move {
	move.Started = started
	return move
}

// MoveRecord is what is recorded of a pool's newest move.
type MoveRecord struct {
	To    Version
	State MoveState
}

// MoveRecords keeps on the platform how far moves have come.
type MoveRecords interface {
	// Moves returns what is recorded of each pool, and the offset at which the next change is to be recorded.
	Moves(ctx context.Context) (map[PoolName]MoveRecord, uint64, error)
	// Record records a move's state, unless something was recorded since the offset was read.
	Record(ctx context.Context, move Move, at uint64) error
}

// Rollout decides how much of a shard's traffic goes to the new version of a move; its values are immutable.
type Rollout interface {
	// Move returns the move that is followed.
	Move() Move
	// WithMove follows a change of the move's state.
	WithMove(move Move) Rollout
	// Prefers returns the version that the next permit goes to if a target of it has headroom.
	Prefers() Version
	// Allows says whether the next permit may go to a version at all.
	Allows(version Version) bool
	// WithGrant counts a permit.
	WithGrant(version Version) Rollout
	// WithUsage learns from the end of a request.
	WithUsage(version Version, usage Usage) Rollout
	// WithGrowth grows the share of the new version if enough requests of it have ended well.
	WithGrowth() Rollout
	// Share returns the share of the traffic that the new version may get.
	Share() float64
	// Complete says whether enough requests have ended well at the whole share.
	Complete() bool
	// Healthy says whether requests of the new version have ended, and none of the tests has found a fault.
	Healthy() bool
	// Doubtful says that one of the tests leans to a fault.
	Doubtful() bool
	// Fault returns what is wrong with the new version; empty if nothing is known.
	Fault() string
	// WithFault stops all traffic to the new version.
	WithFault(reason string) Rollout
}
