package standin

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/platform"
)

// deduplicationWindow is the number of a producer's latest appends that are idempotent: a repeat with the same sequence
// number gets the original offset and adds nothing.
const deduplicationWindow = 5

// Store is an in-memory version of the platform's store: a log of topics with partitions, and consumer groups that divide
// the partitions among their members.
type Store struct {
	// Retention is the number of records that a partition keeps; all if zero.
	Retention int
	// AppendsPerSecond limits the rate of appends; unlimited if zero.
	AppendsPerSecond float64

	inbox chan func(*storeState)
	// era is the era of the state. The store's task writes it, and answers that say nothing of the state load it.
	era atomic.Uint64
}

// storeState is the data of the store. Only the store's task accesses it.
type storeState struct {
	partitions map[partitionName]*partition
	groups     map[string]*group
	// era is the number of restores plus one.
	era uint64
	// changes are the changes of the last maxCopyAge, oldest first.
	changes []change
}

type partitionName struct {
	topic string
	part  int
}

// partition holds the records of one partition; first is the offset of the first of them.
type partition struct {
	first   uint64
	records [][]byte
	// compacted holds the newest record of each key among the records that Forget has trimmed.
	compacted map[string]platform.NewestRecord
	producers map[string]*producer
	// appended is closed, and replaced, when records are appended.
	appended chan struct{}
}

// producer is the state of one producer in a partition: its highest epoch and the next expected sequence number. It is
// immutable, so that a restore can put an earlier one back.
type producer struct {
	epoch, nextSequence uint64
	// offsets holds the offsets of the producer's latest appends by sequence number.
	offsets map[uint64]uint64
}

// NewStore returns a store that keeps the given number of records in each partition; all if zero.
func NewStore(retention int) *Store {
	store := &Store{Retention: retention, inbox: make(chan func(*storeState))}
	store.era.Store(coltsfootlink.FirstEra)
	return store
}

// Run carries out the work that is sent to the store's task until the context ends.
func (store *Store) Run(ctx context.Context) error {
	state := &storeState{partitions: make(map[partitionName]*partition), groups: make(map[string]*group), era: store.era.Load()}
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-store.inbox:
			work(state)
		}
	}
}

// do runs work in the store's task, waits until it is done and returns the era of the state that the work has seen.
func (store *Store) do(ctx context.Context, work func(*storeState)) (uint64, error) {
	done := make(chan uint64, 1)
	select {
	case store.inbox <- func(state *storeState) { work(state); done <- state.era }:
		return <-done, nil
	case <-ctx.Done():
		return 0, errors.Wrap(ctx.Err(), "standin: store call not started")
	}
}

func (state *storeState) partition(name partitionName) *partition {
	found, known := state.partitions[name]
	if !known {
		found = &partition{producers: make(map[string]*producer), appended: make(chan struct{})}
		state.partitions[name] = found
	}
	return found
}

// condition holds the conditions of an append: the expected end of the partition, if at is not nil, and the producer's
// epoch and sequence number, if producer is not empty.
type condition struct {
	at              *uint64
	producer        string
	epoch, sequence uint64
}

// appendResult is the store's answer to an append. A status other than zero means that it was rejected; then reason and
// expected, the expected sequence number, may be set.
type appendResult struct {
	era         uint64
	offset, end uint64
	status      int
	reason      string
	expected    uint64
}

// append adds all records or, if the conditions do not hold, none.
func (store *Store) append(ctx context.Context, name partitionName, records [][]byte, required condition) (appendResult, error) {
	var result appendResult
	era, err := store.do(ctx, func(state *storeState) {
		if store.AppendsPerSecond > 0 {
			// The sleep blocks the store's task on purpose: appends are carried out one at a time.
			time.Sleep(time.Duration(float64(time.Second) / store.AppendsPerSecond))
		}
		result = state.append(name, records, required, store.retention(name))
	})
	result.era = era
	return result, err
}

// retention returns the number of records that a partition keeps, zero for all. Keyed topics have to keep the newest
// record of each key, so none of their records are trimmed.
func (store *Store) retention(name partitionName) int {
	if strings.HasPrefix(name.topic, platform.KeyedPrefix) {
		return 0
	}
	return store.Retention
}

func (partition *partition) end() uint64 { return partition.first + uint64(len(partition.records)) }

func (partition *partition) append(records [][]byte, required condition, retention int) appendResult {
	if required.at != nil && *required.at != partition.end() {
		return appendResult{status: statusConditionFailed, end: partition.end()}
	}
	if required.producer != "" {
		if result, decided := partition.checkProducer(required, len(records)); decided {
			return result
		}
	}
	offset := partition.end()
	partition.records = append(partition.records, records...)
	if surplus := len(partition.records) - retention; retention > 0 && surplus > 0 {
		partition.trim(partition.first + uint64(surplus))
	}
	if len(records) > 0 {
		close(partition.appended)
		partition.appended = make(chan struct{})
	}
	return appendResult{offset: offset, end: partition.end()}
}

// checkProducer checks the producer's epoch and sequence number. It returns true with the result if there is nothing to
// append: the producer is fenced, the sequence number is not the expected one, or the append is empty or a repeat.
func (partition *partition) checkProducer(required condition, records int) (appendResult, bool) {
	known, found := partition.producers[required.producer]
	if !found || required.epoch > known.epoch {
		known = &producer{epoch: required.epoch, nextSequence: required.sequence, offsets: make(map[uint64]uint64)}
		partition.setProducer(required.producer, known)
	}
	if required.epoch < known.epoch {
		return appendResult{status: statusConflict, reason: reasonFenced}, true
	}
	if records == 0 {
		return appendResult{offset: partition.end(), end: partition.end()}, true
	}
	if offset, repeated := known.offsets[required.sequence]; repeated {
		return appendResult{offset: offset, end: partition.end()}, true
	}
	if required.sequence != known.nextSequence {
		return appendResult{status: statusConflict, reason: reasonSequence, expected: known.nextSequence}, true
	}
	offsets := maps.Clone(known.offsets)
	offsets[required.sequence] = partition.end()
	delete(offsets, required.sequence-deduplicationWindow)
	partition.setProducer(required.producer, &producer{epoch: known.epoch, nextSequence: known.nextSequence + 1, offsets: offsets})
	return appendResult{}, false
}

// setProducer replaces the state of a producer in a copy of the map, since a recorded change may hold the map itself.
func (partition *partition) setProducer(name string, known *producer) {
	producers := maps.Clone(partition.producers)
	producers[name] = known
	partition.producers = producers
}

// trim removes the records before an offset.
func (partition *partition) trim(before uint64) {
	before = min(before, partition.end())
	if before > partition.first {
		partition.records = partition.records[before-partition.first:]
		partition.first = before
	}
}

// Forget trims all records of a topic, as the platform may do at any time; the newest record of each key remains readable
// as such.
func (store *Store) Forget(ctx context.Context, topic string) error {
	_, err := store.do(ctx, func(state *storeState) {
		state.changePartition(partitionName{topic: topic}, func(part *partition) {
			part.compacted = compact(part.compacted, part.first, part.records)
			part.trim(part.end())
		})
	})
	return err
}

// batch is the result of a read.
type batch struct {
	era        uint64
	end, first uint64
	records    [][]byte
	// absent indicates that the partition does not have the requested records: they have been trimmed, or the offset is
	// beyond the end.
	absent bool
}

// read returns the records from an offset on. If there are none yet, it waits for one until the given time.
func (store *Store) read(ctx context.Context, name partitionName, from uint64, waitUntil time.Time) (batch, error) {
	waitContext, cancel := context.WithDeadline(ctx, waitUntil)
	defer cancel()
	for {
		var found batch
		var appended chan struct{}
		era, err := store.do(ctx, func(state *storeState) {
			part := state.partition(name)
			found = part.read(from)
			appended = part.appended
		})
		found.era = era
		if err != nil || found.absent || len(found.records) > 0 {
			return found, err
		}
		select {
		case <-appended:
		case <-waitContext.Done():
			return found, nil
		}
	}
}

func (partition *partition) read(from uint64) batch {
	found := batch{end: partition.end(), first: partition.first, absent: from < partition.first || from > partition.end()}
	if from >= partition.first && from < found.end {
		found.records = partition.records[from-partition.first:]
	}
	return found
}

// Append adds a record to one of this system's own streams and returns its position.
func (store *Store) Append(ctx context.Context, stream coltsfootlink.Stream, body []byte) (coltsfootlink.Position, error) {
	result, err := store.append(ctx, partitionName{topic: string(stream)}, [][]byte{body}, condition{})
	return coltsfootlink.Position{Era: result.era, Offset: result.offset}, err
}

// Read returns the records of one of this system's own streams from a position on, or from the first that is kept if the
// stream does not have that offset. If there are none yet, it waits for one until the given time.
func (store *Store) Read(ctx context.Context, stream coltsfootlink.Stream, from coltsfootlink.Position, waitUntil time.Time) (coltsfootlink.Batch, error) {
	name := partitionName{topic: string(stream)}
	found, err := store.read(ctx, name, from.Offset, waitUntil)
	if err == nil && found.absent {
		from.Offset = found.first
		found, err = store.read(ctx, name, from.Offset, waitUntil)
	}
	if err != nil {
		return coltsfootlink.Batch{}, err
	}
	from.Era = found.era
	read := coltsfootlink.Batch{First: coltsfootlink.Position{Era: found.era, Offset: found.first}, Next: from.Plus(len(found.records))}
	for index, body := range found.records {
		read.Records = append(read.Records, coltsfootlink.Record{Position: from.Plus(index), Body: body})
	}
	return read, nil
}
