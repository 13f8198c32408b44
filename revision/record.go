// Package revision derives the configuration in force, and its revision number, from the change records on the log.
package revision

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// Kind is the kind of change that a record makes.
type Kind string

// The kinds of record.
const (
	// Apply replaces the configuration with that of a document.
	Apply Kind = "apply"
	// Zone takes an availability zone out of service or returns it to service.
	Zone Kind = "zone"
	// StartMove, FinishMove and RollBackMove start, complete and roll back the version move of a pool.
	StartMove    Kind = "start-move"
	FinishMove   Kind = "finish-move"
	RollBackMove Kind = "take-back-move"
	// Snapshot repeats the whole configuration of a revision, so that older records can be dropped from the log.
	Snapshot Kind = "snapshot"
)

// Record is one change of the configuration on the log.
type Record struct {
	// ID identifies the record, so that its author finds it on the log even if the reply to the append was lost.
	ID string `json:"id"`
	// Base is the revision that the change was made against; for a snapshot, the revision it contains.
	Base   coltsfootlink.Revision `json:"base"`
	Author string                 `json:"author"`
	Kind   Kind                   `json:"kind"`
	// Document is the fleet configuration as TOML; used by Apply and Snapshot.
	Document string `json:"document,omitempty"`
	// Zone is the zone that a Zone record changes, and Out whether it is taken out of service.
	Zone coltsfootlink.ZoneName `json:"zone,omitempty"`
	Out  bool                   `json:"out,omitempty"`
	// Pool is the pool whose move is changed.
	Pool coltsfootlink.PoolName `json:"pool,omitempty"`
	// From, To and FinishBy are the versions and the deadline of the move that StartMove starts.
	From     coltsfootlink.Version `json:"from,omitempty"`
	To       coltsfootlink.Version `json:"to,omitempty"`
	FinishBy time.Time             `json:"finish-by,omitzero"`
	// Started identifies the move to complete or roll back by the revision that started it; zero means the pool's
	// newest move.
	Started coltsfootlink.Revision `json:"started,omitempty"`
	// Restored marks a snapshot of changes that a restore of the store has lost. It applies only at the revision Over, so that
	// it replaces no change that was accepted since the restore.
	Restored bool                   `json:"restored,omitempty"`
	Over     coltsfootlink.Revision `json:"over,omitempty"`
	// Reason is why a move is completed or rolled back.
	Reason string `json:"reason,omitempty"`
}

// Encode returns the record as JSON, the format of the log.
func (record Record) Encode() ([]byte, error) {
	body, err := json.Marshal(record)
	return body, errors.Wrap(err, "revision: encode log record")
}

// WithBase returns the record with another base revision.
func (record Record) WithBase(base coltsfootlink.Revision) Record {
	record.Base = base
	return record
}

func decodeRecord(body []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(body, &record)
	return record, errors.Wrap(err, "revision: decode log record")
}
