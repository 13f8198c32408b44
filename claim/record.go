// Package claim ensures that a request with an idempotency key runs at most once in the fleet. Each attempt claims the
// key on a partitioned log, and only the attempt whose claim comes first in the log may run. An attempt that did not
// run frees the key for the next claim.
package claim

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// Entry is one claim of a key, or the outcome of an attempt.
type Entry struct {
	Key string `json:"key"`
	// Attempt identifies one receipt of the request by one instance; a caller's retry is another attempt.
	Attempt string `json:"attempt"`
	// Outcome is empty if the entry is a claim.
	Outcome coltsfootlink.Outcome `json:"outcome,omitempty"`
}

// Record is a batch of entries that an instance appends to the log together.
type Record struct {
	Entries []Entry `json:"entries"`
	// Era is the era of the store in which the record is appended, and Since a time after the restore that began it. Both are
	// absent before the first restore.
	Era   uint64    `json:"era,omitempty"`
	Since time.Time `json:"since,omitzero"`
}

// Encode returns the record as JSON, the format of the log.
func (record Record) Encode() ([]byte, error) {
	body, err := json.Marshal(record)
	return body, errors.Wrap(err, "claim: encode log record")
}

func decodeRecord(body []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(body, &record)
	return record, errors.Wrap(err, "claim: decode log record")
}
