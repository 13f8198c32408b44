package coltsfootlink

import (
	"context"
	"time"
)

// Stream names an append-only stream of the log service.
type Stream string

// ConfigurationStream holds the configuration records.
const ConfigurationStream Stream = "configuration"

// Record is one entry of a stream.
type Record struct {
	Position Position
	Body     []byte
}

// Batch is a sequence of consecutive records, with the oldest position that the stream still retains. The records are
// consecutive within the batch only: if Next is of a later era than the position from which the batch was read, the store was
// restored in between, and records before the batch may have been replaced.
type Batch struct {
	Records []Record
	// First is the oldest position retained; earlier records have been dropped.
	First Position
	// Next is the position after the newest record.
	Next Position
}

// Skips reports whether the batch was read after a restore of the store, from a position of an earlier era, and there are retained
// records before it. They may not have been read, so the stream has to be read again from its first record.
func (batch Batch) Skips(from Position) bool {
	start := batch.Next.Offset - uint64(len(batch.Records))
	return batch.Next.Era > from.Era && start > batch.First.Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its position. After an error it is unknown whether the record was added.
	Append(ctx context.Context, stream Stream, body []byte) (Position, error)
	// Read returns the records from a position on; if there are none, it waits for one until the given time.
	Read(ctx context.Context, stream Stream, from Position, waitUntil time.Time) (Batch, error)
}

// Listing is the content of the instance list.
type Listing struct {
	Instances []Instance
	Targets   []Target
}

// Target returns the target with the given name.
func (listing Listing) Target(name TargetName) (Target, bool) {
	for _, target := range listing.Targets {
		if target.Name == name {
			return target, true
		}
	}
	return Target{}, false
}

// InstanceList is the platform's list of instances and targets; it is eventually consistent and may be out of date.
type InstanceList interface {
	// List returns the current content of the list.
	List(ctx context.Context) (Listing, error)
}
