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
	Offset uint64
	Body   []byte
}

// Batch is a sequence of consecutive records, with the oldest offset that the stream still retains.
type Batch struct {
	Records []Record
	// First is the oldest offset retained; earlier records have been dropped.
	First uint64
	// Next is the offset after the newest record.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. After an error it is unknown whether the record was added.
	Append(ctx context.Context, stream Stream, body []byte) (uint64, error)
	// Read returns the records from an offset on; if there are none, it waits for one until the given time.
	Read(ctx context.Context, stream Stream, from uint64, waitUntil time.Time) (Batch, error)
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
