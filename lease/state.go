// Package lease decides which instance holds the lease of the singleton duties, and until when its holder may act. It
// answers the load of instances that are suspended, cut off from the store in one or both directions, or replaced while their
// calls are in progress: at no time may two instances act.
//
// The lease is a record in the platform's store that is changed only by appends at the offset at which the record was read,
// so that an append fails if another instance has appended in the meantime. After a restore of the store that is not enough: records
// may be gone, and an append may take effect at an offset that was assigned again. The state therefore trusts only records that
// were sent in the era in which they are read, and a candidate waits for a whole lease after each restore.
package lease

import (
	"time"

	"coltsfootlink"
)

const (
	// renewalsPerLease is the number of renewals in the time of a lease: two may fail before the lease expires.
	renewalsPerLease = 3
	// marginsPerLease is the lease divided by the margin. By the margin a holder stops earlier, so that its last calls reach
	// the platform within the lease, and a candidate waits longer, so that clocks may run at different speeds.
	marginsPerLease = 10
	// readInterval is the time between two reads of a candidate, and retryDelay the time after a failed call of the store.
	readInterval = time.Second
	retryDelay   = 200 * time.Millisecond
)

// Step is what an instance does next with the lease record.
type Step string

// The steps.
const (
	// Wait means that nothing is due.
	Wait Step = "wait"
	// Read means that the records have to be read.
	Read Step = "read"
	// Acquire and Renew mean that the lease record of Proposal has to be appended.
	Acquire Step = "acquire"
	Renew   Step = "renew"
	// Use is a step that the holder takes on its own: it appends a record other than the lease.
	Use Step = "use"
)

// State is what one instance knows of the lease. It is immutable.
type State struct {
	holder      string
	incarnation uint64
	length      time.Duration

	// record is the newest lease record that is known; found is false if there is none. seenAt is when it was first known.
	record coltsfootlink.LeaseRecord
	found  bool
	seenAt time.Time
	// unwritten indicates that this instance could call when it learned that the store does not have its record any more, and has
	// not written it again yet. The record is then its own, and stored the one in the store, zero if there is none.
	unwritten bool
	stored    coltsfootlink.LeaseRecord
	// refused is the first usage window after those that an acquisition excludes from being recorded.
	refused uint64
	// end is the position at which the next record has to be appended. It is out of date unless settled is set: an append has
	// failed, and it is unknown whether it has taken effect, or nothing has been read yet.
	end     coltsfootlink.Position
	settled bool
	// conflicted indicates that another instance has appended a record that has not been read yet.
	conflicted bool
	// step is the step in progress; Wait if there is none.
	step Step
	// attempt is the number of the newest lease record that this incarnation has tried to append, and attemptAt when it was
	// sent.
	attempt   uint64
	attemptAt time.Time
	// renewedAt is when the newest lease record was sent that is known to have been appended; zero if there is none.
	renewedAt time.Time
	// dueAt is when the records are read again.
	dueAt time.Time
}

// New returns the state of an instance that knows nothing of the lease. The holder is the instance's name in the platform's
// settings. The incarnation must differ from those of all earlier states of the instance.
func New(holder string, incarnation uint64, length time.Duration) State {
	return State{holder: holder, incarnation: incarnation, length: length, step: Wait}
}

// Holds reports whether the newest lease record that is known is this instance's own. Whether it may act is decided by
// CallDeadline. An own record of an earlier era doesn't count: it may have replaced the record of a holder of the present era.
func (state State) Holds() bool {
	own := state.found && state.record.Holder == state.holder && state.record.Incarnation == state.incarnation
	return own && (state.unwritten || state.record.Era == state.end.Era)
}

// Unwritten reports whether this instance holds the lease, but has to write its record again after a restore of the store.
func (state State) Unwritten() bool { return state.unwritten }

// Record returns the newest lease record that is known, and false if there is none.
func (state State) Record() (coltsfootlink.LeaseRecord, bool) { return state.record, state.found }

// Token returns the fencing token of the newest lease record that is known; zero if there is none.
func (state State) Token() uint64 { return state.record.Token }

// CallDeadline returns until when calls may be made that begin now, and false if none may be made. The lease is valid from
// when its newest record that was appended had been sent. No other instance can have known this record earlier, and none
// acquires the lease before it has known it for longer than it is valid.
func (state State) CallDeadline(now time.Time) (time.Time, bool) {
	if !state.Holds() || state.conflicted || state.unwritten {
		return time.Time{}, false
	}
	left := state.left(now)
	return now.Add(left), left > 0
}

// left returns the time for which the newest record that was appended is still valid.
func (state State) left(now time.Time) time.Duration {
	if state.renewedAt.IsZero() {
		return 0
	}
	return state.length - state.margin() - coltsfootlink.Elapsed(state.renewedAt, now)
}

func (state State) margin() time.Duration { return state.length / marginsPerLease }

// Next returns the step that is due. The candidate is the instance that should hold the lease; others touch the records only
// while they hold it.
func (state State) Next(now time.Time, candidate bool) Step {
	switch {
	case state.step != Wait:
		return Wait
	case state.Holds():
		return state.nextOfHolder(now)
	case !candidate:
		return Wait
	case !now.Before(state.dueAt):
		return Read
	case !state.settled:
		return Wait
	case !now.Before(state.expectedExpiry()):
		return Acquire
	default:
		return Wait
	}
}

func (state State) nextOfHolder(now time.Time) Step {
	switch {
	case !state.settled && now.Before(state.dueAt):
		return Wait
	case !state.settled:
		return Read
	case state.unwritten || state.renewedAt.IsZero() || coltsfootlink.Elapsed(state.renewedAt, now) >= state.length/renewalsPerLease:
		return Renew
	default:
		return Wait
	}
}

// expectedExpiry returns when this instance may acquire the lease if the record does not change. Only the steady clock counts:
// time for which this machine was suspended is no evidence that the holder has stopped. Without a record it may acquire at once
// unless a restore may have lost the record of a holder. The number of the first era is not published, so an empty log of any
// era may be a restored one; the lease is the first record of its topic.
func (state State) expectedExpiry() time.Time {
	if lost := state.end.Era > coltsfootlink.FirstEra || state.end.Era > 0 && state.end.Offset == 0; !state.found && !lost {
		return state.seenAt
	}
	return state.seenAt.Add(state.length + state.margin())
}

// MayUse reports whether the holder may append a record other than the lease now.
func (state State) MayUse(now time.Time) bool {
	_, valid := state.CallDeadline(now)
	return valid && state.settled && state.step == Wait
}

// WithRefused returns the state whose acquisition keeps usage windows before an index from being recorded.
func (state State) WithRefused(before uint64) State {
	state.refused = before
	return state
}

// WithBegun returns the state after a step was begun. Until it has ended, no other step is due.
func (state State) WithBegun(now time.Time, step Step) State {
	state.step = step
	if step == Acquire || step == Renew {
		state.attempt++
		state.attemptAt = now
	}
	return state
}

// Proposal returns the lease record that the step in progress appends, and the position at which every step appends. The
// fencing token of an acquisition follows from its position, so that it exceeds all earlier ones.
func (state State) Proposal(reported uint64) (coltsfootlink.LeaseRecord, coltsfootlink.Position) {
	record := coltsfootlink.LeaseRecord{Holder: state.holder, Incarnation: state.incarnation, Renewal: state.attempt, Reported: reported, Era: state.end.Era, Refused: state.refused}
	if state.step == Renew {
		record.Token, record.Refused = state.record.Token, state.record.Refused
	}
	return record, state.end
}

// WithRead returns the state after the records were read. In a later era than before the records may lack a newer renewal of
// their holder, so the time from which they are known begins anew.
func (state State) WithRead(now time.Time, records coltsfootlink.DutyRecords) State {
	if records.End.Era < state.end.Era {
		return state.WithFailure(now)
	}
	if state.found != records.LeaseFound || state.record != records.Lease || state.end.Era != records.End.Era || state.seenAt.IsZero() {
		state.seenAt = now
	}
	if state.unwritten = state.keeps(now, records); state.unwritten {
		state.stored = records.Lease
	} else {
		state.record, state.found, state.stored = records.Lease, records.LeaseFound, coltsfootlink.LeaseRecord{}
	}
	state.end = records.End
	state.settled, state.conflicted, state.step = true, false, Wait
	state.dueAt = now.Add(readInterval)
	if expiry := state.expectedExpiry(); expiry.After(now) && expiry.Before(state.dueAt) {
		state.dueAt = expiry
	}
	switch {
	case !state.Holds():
		state.renewedAt = time.Time{}
	case !state.unwritten && state.record.Renewal == state.attempt:
		// The append had no answer, but has taken effect. It is not known any more when a record of an earlier attempt was
		// sent; such a record extends nothing.
		state.renewedAt = state.attemptAt
	}
	return state
}

// keeps reports whether this instance holds the lease although the store has no lease record that was sent in the present era.
// While the instance could still call, no other one has acquired the lease: in an earlier era others wait for the expiry of the
// newest renewal, in a later one for as long after they have seen the era. So the record is one that a restore has kept, or an
// append of an earlier era that took effect by accident. From then on each acquisition changes the record.
func (state State) keeps(now time.Time, records coltsfootlink.DutyRecords) bool {
	if records.Lease.Era == records.End.Era || !state.Holds() {
		return false
	}
	return state.left(now) > 0 || state.unwritten && state.end.Era == records.End.Era && state.stored == records.Lease
}

// WithAppended returns the state after the records of the step in progress were appended; next is the position after them. An
// append that took effect in a later era than that of its condition is undecided: other records may have come before.
func (state State) WithAppended(now time.Time, next coltsfootlink.Position, reported uint64) State {
	if next.Era != state.end.Era {
		return state.WithFailure(now)
	}
	record, at := state.Proposal(reported)
	if state.step == Acquire {
		record.Token = coltsfootlink.FencingToken(at)
	}
	if state.step == Acquire || state.step == Renew {
		state.record, state.found, state.seenAt, state.renewedAt = record, true, now, state.attemptAt
		state.unwritten, state.stored = false, coltsfootlink.LeaseRecord{}
	}
	state.end, state.step = next, Wait
	return state
}

// WithConflict returns the state after an append failed because another instance has appended. The records are read at once,
// and the holder makes no call until then.
func (state State) WithConflict(now time.Time) State {
	state.settled, state.conflicted, state.step, state.dueAt = false, true, Wait, now
	return state
}

// WithFailure returns the state after the step in progress failed, or got no answer. It may have taken effect, or may yet, so
// the records are read before anything else is appended.
func (state State) WithFailure(now time.Time) State {
	state.settled, state.step, state.dueAt = false, Wait, now.Add(retryDelay)
	return state
}
