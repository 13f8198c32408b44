package revision

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/settings"
)

// Verdict is what became of a record.
type Verdict struct {
	Record   Record
	Revision coltsfootlink.Revision
	// Err says why the record was refused; nil if it was accepted.
	Err error
}

// ConflictError says that another change came first.
type ConflictError struct {
	Base, Present coltsfootlink.Revision
	Author        string
}

// Error names both revisions.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("revision: made against revision %d, but revision %d of %s came first", conflict.Base, conflict.Present, conflict.Author)
}

// State is the configuration as far as the log has been read; it is immutable.
type State struct {
	Configuration coltsfootlink.Configuration
	// author is who made the present revision.
	author string
	// next is the offset of the first record that was not yet taken in.
	next uint64
	// gap says that records before the first one read are gone, so only a snapshot can start.
	gap bool
}

// WithBatch takes records in and returns what became of each change.
func (state State) WithBatch(batch coltsfootlink.Batch) (State, []Verdict) {
	if batch.First > state.next {
		state.gap = true
	}
	var verdicts []Verdict
	for _, entry := range batch.Records {
		if entry.Offset < state.next {
			continue
		}
		state.next = entry.Offset + 1
		record, err := decodeRecord(entry.Body)
		if err != nil {
			verdicts = append(verdicts, Verdict{Err: err})
			continue
		}
		var verdict Verdict
		state, verdict = state.withRecord(entry.Offset, record)
		verdicts = append(verdicts, verdict)
	}
	return state, verdicts
}

// WithPeer takes over the configuration of another instance if it is newer; false if not.
func (state State) WithPeer(reply coltsfootlink.RevisionReply) (State, bool, error) {
	if reply.Revision <= state.Configuration.Revision {
		return state, false, nil
	}
	configuration, err := settings.ParseFleet("revision-"+reply.Revision.String(), reply.Document, coltsfootlink.Configuration{})
	if err != nil {
		return state, false, errors.Wrap(err, "revision: of a peer")
	}
	state.Configuration = configuration.WithRevision(reply.Revision, reply.Offset)
	state.next = max(state.next, reply.Offset+1)
	state.gap = false
	state.author = "an operator"
	return state, true, nil
}

// Check returns the reasons for which a change could not be accepted now; nil if there are none.
func (state State) Check(record Record) error {
	_, verdict := state.withRecord(state.next, record)
	return verdict.Err
}

func (state State) withRecord(offset uint64, record Record) (State, Verdict) {
	present := state.Configuration.Revision
	verdict := Verdict{Record: record, Revision: present}
	if record.Kind == Snapshot {
		return state.withSnapshot(offset, record)
	}
	if state.gap {
		verdict.Err = errors.New("revision: records are missing; waits for a snapshot")
		return state, verdict
	}
	if record.Base != present {
		verdict.Err = &ConflictError{Base: record.Base, Present: present, Author: state.author}
		return state, verdict
	}
	configuration, err := change(state.Configuration, record)
	if err != nil {
		verdict.Err = err
		return state, verdict
	}
	state.Configuration = configuration.WithRevision(present+1, offset)
	state.author = record.Author
	verdict.Revision = present + 1
	return state, verdict
}

// withSnapshot starts from a snapshot where older records are missing.
func (state State) withSnapshot(offset uint64, record Record) (State, Verdict) {
	verdict := Verdict{Record: record, Revision: state.Configuration.Revision}
	if record.Base <= state.Configuration.Revision {
		return state, verdict
	}
	configuration, err := settings.ParseFleet("snapshot", record.Document, coltsfootlink.Configuration{})
	if err != nil {
		verdict.Err = err
		return state, verdict
	}
	state.Configuration = configuration.WithRevision(record.Base, offset)
	state.author = record.Author
	state.gap = false
	verdict.Revision = record.Base
	return state, verdict
}

// change returns the configuration with the change of a record.
func change(configuration coltsfootlink.Configuration, record Record) (coltsfootlink.Configuration, error) {
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
			return configuration, errors.Newf("revision: availability zone %q is already %s", record.Zone, outWord(record.Out))
		}
		return configuration.WithZone(zone.WithOut(record.Out)), nil
	case StartMove:
		return startMove(configuration, record)
	case FinishMove:
		return endMove(configuration, record, coltsfootlink.MoveDone)
	case TakeBackMove:
		return endMove(configuration, record, coltsfootlink.MoveRolledBack)
	default:
		return configuration, errors.Newf("revision: record of unknown kind %q", record.Kind)
	}
}

func outWord(out bool) string {
	if out {
		return "out"
	}
	return "back"
}
