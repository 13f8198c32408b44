package coltsfootlink

import (
	"context"
	"slices"
	"time"
)

// MoveState is the state of a version move.
type MoveState string

// The states of a version move.
const (
	// MoveRunning means that traffic is being shifted to the new version in stages.
	MoveRunning MoveState = "running"
	// MoveDone means that all traffic goes to the new version.
	MoveDone MoveState = "done"
	// MoveRolledBack means that the move was rolled back: no traffic goes to the new version.
	MoveRolledBack MoveState = "taken-back"
)

// Final reports whether the move has ended.
func (state MoveState) Final() bool { return state == MoveDone || state == MoveRolledBack }

// Move shifts the traffic of a pool from one version to another.
type Move struct {
	Pool PoolName
	// From is the old version; empty for all versions other than To.
	From, To Version
	// Started is the revision that started the move.
	Started Revision
	// Shown is the revision of the newest record of the move's order. It differs from Started if the order was read again
	// after a restore of the store; zero for moves that were started through the operators' interface. See OrderID.
	Shown Revision
	// OrderedAt is when the move order was first known; zero for moves that were started through the operators'
	// interface, which do not need it.
	OrderedAt time.Time
	// FinishBy is the deadline by which the move has to be done or rolled back.
	FinishBy time.Time
	State    MoveState
	// Reason is why the move was rolled back, or how it was completed.
	Reason string
	// Serving are the versions that were in service when the move was ordered, as far as is known.
	Serving []Version
	// Rejected are the other versions that get no requests: those that were rolled back, and those whose move was superseded
	// before it had ended, unless they had been in service before. They are sorted.
	Rejected []Version
}

// WithPredecessor returns the move with what has become of the versions of its pool by the move before it. A version that is
// ordered again is on trial again. An empty predecessor changes nothing.
func (move Move) WithPredecessor(previous Move) Move {
	if previous.To == "" {
		return move
	}
	serving, left := previous.Serving, previous.Rejected
	switch {
	case previous.State == MoveDone:
		serving = []Version{previous.To}
	case !previous.Serves(previous.To):
		left = append(slices.Clone(left), previous.To)
	}
	if len(serving) == 0 {
		// The record of an older build does not say.
		serving = move.Serving
	}
	var rejected []Version
	for _, version := range left {
		if version != move.To && !slices.Contains(rejected, version) {
			rejected = append(rejected, version)
		}
	}
	slices.Sort(rejected)
	return move.WithVersions(serving, rejected)
}

// WithVersions returns the move with other versions in service and rejected ones; the caller must not change the lists afterwards.
func (move Move) WithVersions(serving, rejected []Version) Move {
	move.Serving, move.Rejected = serving, rejected
	return move
}

// Serves reports whether a version was in service when the move was ordered.
func (move Move) Serves(version Version) bool { return slices.Contains(move.Serving, version) }

// Rejects reports whether a version gets no requests because of what became of it before this move.
func (move Move) Rejects(version Version) bool { return slices.Contains(move.Rejected, version) }

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

// MoveRecord is the recorded state of a pool's newest move.
type MoveRecord struct {
	To Version
	// Started is the revision that started the move; zero if the record does not say.
	Started Revision
	State   MoveState
	// Serving and Rejected are those of the move.
	Serving, Rejected []Version
}

// Predecessor returns the pool's last move before a new one, from its record and from what an instance knows of it. A record
// of an unknown order counts as earlier than a known move.
func (record MoveRecord) Predecessor(known Move) Move {
	recorded := Move{Pool: known.Pool, To: record.To, Started: record.Started, State: record.State, Serving: record.Serving, Rejected: record.Rejected}
	switch {
	case record.To == "":
		return known
	case known.To == "", record.IsOf(known) && !known.State.Final():
		return recorded
	case record.IsOf(known) || record.Started < known.Identity():
		return known
	default:
		return recorded
	}
}

// MoveRecords stores the state of moves on the platform.
type MoveRecords interface {
	// Moves returns the record of each pool, and the position at which the next change has to be recorded.
	Moves(ctx context.Context) (map[PoolName]MoveRecord, Position, error)
	// Record stores a move's state at a position returned by Moves; it fails if anything was recorded in between. If the store
	// was restored in between, it fails, too, but the state may have been stored.
	Record(ctx context.Context, move Move, at Position) error
	// Era returns the highest era of the store that was seen. It makes no call.
	Era() uint64
}

// Rollout decides what share of a shard's traffic goes to the new version of a move; its values are immutable.
type Rollout interface {
	// Move returns the move that the rollout carries out.
	Move() Move
	// WithMove returns the rollout after a change of the move's state.
	WithMove(move Move) Rollout
	// Prefers returns the version that gets the next permit if one of its targets has headroom.
	Prefers() Version
	// Allows reports whether the next permit may go to a version at all.
	Allows(version Version) bool
	// WithGrant counts a permit granted for a version.
	WithGrant(version Version) Rollout
	// WithUsage adds the result of a request to the statistics of a version.
	WithUsage(version Version, usage Usage) Rollout
	// WithGrowth raises the share of the new version if enough of its requests have succeeded.
	WithGrowth() Rollout
	// Share returns the share of the traffic that the new version may get.
	Share() float64
	// Complete reports whether enough requests have succeeded at the last stage, the full share.
	Complete() bool
	// Healthy reports whether requests on the new version have ended and no statistical test has found a fault.
	Healthy() bool
	// Doubtful reports whether a statistical test leans towards a fault without having found one yet.
	Doubtful() bool
	// Fault describes the fault found in the new version; empty if none was found.
	Fault() string
	// WithFault stops all traffic to the new version.
	WithFault(reason string) Rollout
}
