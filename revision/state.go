package revision

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/settings"
)

// Verdict is the result of a record: accepted, or refused with an error.
type Verdict struct {
	Record Record
	// Revision is the revision in force after the record; zero if the record was not decoded or not confirmed.
	Revision coltsfootlink.Revision
	// Err is why the record was refused; nil if it was accepted.
	Err error
}

// ConflictError is returned for a change whose base revision is not the present one, because another change was
// accepted first.
type ConflictError struct {
	Base, Present coltsfootlink.Revision
	// Author is the author of the present revision.
	Author string
}

func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("revision: the change was made against revision %d, but revision %d of %s came first", conflict.Base, conflict.Present, conflict.Author)
}

// State is the configuration that results from the log as far as it has been read. After a restore of the store it results from
// the log of the later era alone, so that instances agree whether they have read the records that were lost or not; until that
// log has a configuration in its place, the one of the earlier era stays in force. It is immutable.
type State struct {
	// Configuration is in force: that of the log, or the kept one.
	Configuration coltsfootlink.Configuration
	// logged is the configuration that results from the log in the newest era read.
	logged coltsfootlink.Configuration
	// kept is the configuration that was in force before a restore of the store; it has the revision zero if there is none, or if
	// the log has replaced it.
	kept coltsfootlink.Configuration
	// author is the author of the logged revision.
	author string
	// next is the position of the first record that has not been applied.
	next coltsfootlink.Position
	// gap indicates that the log has dropped records that were not read. Changes are refused until a snapshot or a
	// peer's configuration closes the gap.
	gap bool
}

// Kept returns the configuration of an earlier era that is in force until the log has one in its place; its revision is zero if
// there is none.
func (state State) Kept() coltsfootlink.Configuration { return state.kept }

// Snapshot returns the record that repeats the configuration in force; author is the instance that writes it. If the store has
// lost changes, it applies only if no other change is accepted before it.
func (state State) Snapshot(author string) (Record, error) {
	document, err := settings.FormatFleet(state.Configuration)
	record := Record{Base: state.Configuration.Revision, Author: author, Kind: Snapshot, Document: document}
	if state.kept.Revision > 0 && !state.gap {
		record.Restored, record.Over = true, state.logged.Revision
	}
	return record, err
}

// WithBatch applies records in log order and returns the verdict on each.
func (state State) WithBatch(batch coltsfootlink.Batch) (State, []Verdict) {
	if batch.Next.Era > state.next.Era && state.Configuration.Revision > 0 {
		state = State{Configuration: state.Configuration, kept: state.Configuration, next: coltsfootlink.Position{Era: batch.Next.Era}}
	}
	if batch.First.Offset > 0 && state.next.Before(batch.First) {
		state.gap = true
	}
	var verdicts []Verdict
	for _, entry := range batch.Records {
		if entry.Position.Before(state.next) {
			continue
		}
		state.next = entry.Position.Next()
		record, err := decodeRecord(entry.Body)
		if err != nil {
			verdicts = append(verdicts, Verdict{Err: err})
			continue
		}
		var verdict Verdict
		state, verdict = state.withRecord(entry.Position, record)
		verdicts = append(verdicts, verdict)
	}
	return state.withPresent(), verdicts
}

// withPresent puts the logged configuration in force, unless one of an earlier era has a later revision.
func (state State) withPresent() State {
	if state.kept.Revision > state.logged.Revision {
		state.Configuration = state.kept
		return state
	}
	state.kept = coltsfootlink.Configuration{}
	state.Configuration = state.logged
	return state
}

// WithPeer adopts the configuration of another instance if its revision is newer; it returns false if not. One of an earlier era
// is kept until the log has one in its place, and ignored if the log of the later era has one already.
func (state State) WithPeer(reply coltsfootlink.RevisionReply) (State, bool, error) {
	earlier := reply.Position.Era < state.next.Era
	if reply.Revision <= state.Configuration.Revision || earlier && state.logged.Revision > 0 {
		return state, false, nil
	}
	configuration, err := settings.ParseFleet("revision-"+reply.Revision.String(), reply.Document, coltsfootlink.Configuration{})
	if err != nil {
		return state, false, errors.Wrap(err, "revision: parse the configuration of a peer")
	}
	configuration = configuration.WithRevision(reply.Revision, reply.Position)
	if earlier {
		state.kept = configuration
		return state.withPresent(), true, nil
	}
	state.logged = configuration
	if next := reply.Position.Next(); state.next.Before(next) {
		state.next = next
	}
	state.gap = false
	state.author = "an operator"
	return state.withPresent(), true, nil
}

// Check returns why a change would be refused at the present revision; nil if it would be accepted.
func (state State) Check(record Record) error {
	if state.kept.Revision > 0 && record.Kind != Snapshot {
		return errors.New("revision: a restore of the store has lost changes; others are refused until these have been written again")
	}
	_, verdict := state.withRecord(state.next, record)
	return verdict.Err
}

func (state State) withRecord(position coltsfootlink.Position, record Record) (State, Verdict) {
	present := state.logged.Revision
	verdict := Verdict{Record: record, Revision: present}
	if record.Kind == Snapshot {
		return state.withSnapshot(position, record)
	}
	if state.gap {
		verdict.Err = errors.New("revision: the log has dropped records that were not read; changes are refused until a snapshot or the configuration of a peer is read")
		return state, verdict
	}
	if record.Base != present {
		verdict.Err = &ConflictError{Base: record.Base, Present: present, Author: state.author}
		return state, verdict
	}
	configuration, err := applyChange(state.logged, record)
	if err != nil {
		verdict.Err = err
		return state, verdict
	}
	state.logged = configuration.WithRevision(present+1, position)
	state.author = record.Author
	verdict.Revision = present + 1
	return state, verdict
}

// withSnapshot replaces the configuration with that of a snapshot, unless the snapshot's revision is not newer. A snapshot of
// lost changes that comes after another change has no effect, and nobody keeps the lost changes from then on.
func (state State) withSnapshot(position coltsfootlink.Position, record Record) (State, Verdict) {
	verdict := Verdict{Record: record, Revision: state.logged.Revision}
	if record.Base <= state.logged.Revision || record.Restored && state.gap {
		return state, verdict
	}
	if record.Restored && record.Over != state.logged.Revision {
		verdict.Err = &ConflictError{Base: record.Over, Present: state.logged.Revision, Author: state.author}
		state.kept = coltsfootlink.Configuration{}
		return state, verdict
	}
	configuration, err := settings.ParseFleet("snapshot", record.Document, coltsfootlink.Configuration{})
	if err != nil {
		verdict.Err = err
		return state, verdict
	}
	state.logged = configuration.WithRevision(record.Base, position)
	state.author = record.Author
	state.gap = false
	verdict.Revision = record.Base
	return state, verdict
}

// applyChange returns the configuration with a record's change applied.
func applyChange(configuration coltsfootlink.Configuration, record Record) (coltsfootlink.Configuration, error) {
	switch record.Kind {
	case Apply:
		applied, err := settings.ParseFleet("fleet", record.Document, configuration)
		return applied.WithMoves(configuration), err
	case Zone:
		zone, known := configuration.Zones[record.Zone]
		if !known {
			return configuration, errors.Newf("revision: there is no availability zone %q", record.Zone)
		}
		if zone.Out == record.Out {
			return configuration, errors.Newf("revision: availability zone %q is already %s", record.Zone, outLabel(record.Out))
		}
		return configuration.WithZone(zone.WithOut(record.Out)), nil
	case StartMove:
		return startMove(configuration, record)
	case FinishMove:
		return endMove(configuration, record, coltsfootlink.MoveDone)
	case RollBackMove:
		return endMove(configuration, record, coltsfootlink.MoveRolledBack)
	default:
		return configuration, errors.Newf("revision: unknown kind of record %q", record.Kind)
	}
}

// outLabel returns the state of a zone for an error message.
func outLabel(out bool) string {
	if out {
		return "out of service"
	}
	return "in service"
}
