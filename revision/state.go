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

// State is the configuration that results from the log as far as it has been read. It is immutable.
type State struct {
	Configuration coltsfootlink.Configuration
	// author is the author of the present revision.
	author string
	// next is the position of the first record that has not been applied.
	next coltsfootlink.Position
	// gap indicates that the log has dropped records that were not read. Changes are refused until a snapshot or a
	// peer's configuration closes the gap.
	gap bool
}

// WithBatch applies records in log order and returns the verdict on each.
func (state State) WithBatch(batch coltsfootlink.Batch) (State, []Verdict) {
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
	return state, verdicts
}

// WithPeer adopts the configuration of another instance if its revision is newer; it returns false if not.
func (state State) WithPeer(reply coltsfootlink.RevisionReply) (State, bool, error) {
	if reply.Revision <= state.Configuration.Revision {
		return state, false, nil
	}
	configuration, err := settings.ParseFleet("revision-"+reply.Revision.String(), reply.Document, coltsfootlink.Configuration{})
	if err != nil {
		return state, false, errors.Wrap(err, "revision: parse the configuration of a peer")
	}
	state.Configuration = configuration.WithRevision(reply.Revision, reply.Position)
	if next := reply.Position.Next(); state.next.Before(next) {
		state.next = next
	}
	state.gap = false
	state.author = "an operator"
	return state, true, nil
}

// Check returns why a change would be refused at the present revision; nil if it would be accepted.
func (state State) Check(record Record) error {
	_, verdict := state.withRecord(state.next, record)
	return verdict.Err
}

func (state State) withRecord(position coltsfootlink.Position, record Record) (State, Verdict) {
	present := state.Configuration.Revision
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
	configuration, err := applyChange(state.Configuration, record)
	if err != nil {
		verdict.Err = err
		return state, verdict
	}
	state.Configuration = configuration.WithRevision(present+1, position)
	state.author = record.Author
	verdict.Revision = present + 1
	return state, verdict
}

// withSnapshot replaces the configuration with that of a snapshot, unless the snapshot's revision is not newer.
func (state State) withSnapshot(position coltsfootlink.Position, record Record) (State, Verdict) {
	verdict := Verdict{Record: record, Revision: state.Configuration.Revision}
	if record.Base <= state.Configuration.Revision {
		return state, verdict
	}
	configuration, err := settings.ParseFleet("snapshot", record.Document, coltsfootlink.Configuration{})
	if err != nil {
		verdict.Err = err
		return state, verdict
	}
	state.Configuration = configuration.WithRevision(record.Base, position)
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
