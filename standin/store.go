package standin

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/platform"
)

// keptResults is the number of appends of a producer whose repeats get their first answer again.
const keptResults = 5

// Store is the platform's store in memory: a log of topics with partitions, and groups that share them.
type Store struct {
	// Retention is how many records a partition keeps; all if zero.
	Retention int
	// AppendsPerSecond is how many appends the store takes in a second; any number if zero.
	AppendsPerSecond float64

	inbox chan func(*contents)
}

// contents is what the store holds; its task alone touches it.
type contents struct {
	partitions map[partitionName]*partition
	groups     map[string]*group
}

type partitionName struct {
	topic string
	part  int
}

// partition is the records of one partition.
type partition struct {
	first   uint64
	records [][]byte
	// kept are the newest records of their keys that were forgotten.
	kept      map[string]platform.NewestRecord
	producers map[string]*producer
	// grown is closed when a record is added.
	grown chan struct{}
}

// producer is what a partition knows of one producer.
type producer struct {
	epoch, next uint64
	// results are the offsets of the newest appends by sequence number.
	results map[uint64]uint64
}

// NewStore returns a store that keeps the given number of records in each partition; all if zero.
func NewStore(retention int) *Store {
	return &Store{Retention: retention, inbox: make(chan func(*contents))}
}

// Run keeps the contents until the context ends.
func (store *Store) Run(ctx context.Context) error {
	held := &contents{partitions: make(map[partitionName]*partition), groups: make(map[string]*group)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case work := <-store.inbox:
			work(held)
		}
	}
}

// do runs work in the store's task.
func (store *Store) do(ctx context.Context, work func(*contents)) error {
	done := make(chan struct{})
	select {
	case store.inbox <- func(held *contents) { work(held); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "standin: store")
	}
}

func (held *contents) partition(name partitionName) *partition {
	found, known := held.partitions[name]
	if !known {
		found = &partition{producers: make(map[string]*producer), grown: make(chan struct{})}
		held.partitions[name] = found
	}
	return found
}

// condition limits an append; see the store's protocol.
type condition struct {
	at              *uint64
	producer        string
	epoch, sequence uint64
}

// verdict is how the store answers an append: an offset, or a status with what goes with it.
type verdict struct {
	offset, end uint64
	status      int
	reason      string
	expected    uint64
}

// append adds records, all or none.
func (store *Store) append(ctx context.Context, name partitionName, records [][]byte, limits condition) (verdict, error) {
	var answer verdict
	err := store.do(ctx, func(held *contents) {
		if store.AppendsPerSecond > 0 {
			// The store does one append at a time.
			time.Sleep(time.Duration(float64(time.Second) / store.AppendsPerSecond))
		}
		answer = held.partition(name).append(records, limits, store.retention(name))
	})
	return answer, err
}

// retention is how many records a partition keeps; keyed topics keep the newest of each key, so nothing goes.
func (store *Store) retention(name partitionName) int {
	if strings.HasPrefix(name.topic, platform.KeyedPrefix) {
		return 0
	}
	return store.Retention
}

func (held *partition) end() uint64 { return held.first + uint64(len(held.records)) }

func (held *partition) append(records [][]byte, limits condition, retention int) verdict {
	if limits.at != nil && *limits.at != held.end() {
		return verdict{status: statusConditionFailed, end: held.end()}
	}
	if limits.producer != "" {
		if answer, settled := held.fence(limits, len(records)); settled {
			return answer
		}
	}
	offset := held.end()
	held.records = append(held.records, records...)
	if surplus := len(held.records) - retention; retention > 0 && surplus > 0 {
		held.trim(held.first + uint64(surplus))
	}
	if len(records) > 0 {
		close(held.grown)
		held.grown = make(chan struct{})
	}
	return verdict{offset: offset, end: held.end()}
}

// fence looks at the producer's epoch and sequence number; true if the answer is settled.
func (held *partition) fence(limits condition, records int) (verdict, bool) {
	known, found := held.producers[limits.producer]
	if !found || limits.epoch > known.epoch {
		known = &producer{epoch: limits.epoch, next: limits.sequence, results: make(map[uint64]uint64)}
		held.producers[limits.producer] = known
	}
	if limits.epoch < known.epoch {
		return verdict{status: statusConflict, reason: reasonFenced}, true
	}
	if records == 0 {
		return verdict{offset: held.end(), end: held.end()}, true
	}
	if offset, repeated := known.results[limits.sequence]; repeated {
		return verdict{offset: offset, end: held.end()}, true
	}
	if limits.sequence != known.next {
		return verdict{status: statusConflict, reason: reasonSequence, expected: known.next}, true
	}
	known.results[limits.sequence] = held.end()
	delete(known.results, limits.sequence-keptResults)
	known.next++
	return verdict{}, false
}

// trim drops the records before an offset.
func (held *partition) trim(before uint64) {
	before = min(before, held.end())
	if before > held.first {
		held.records = held.records[before-held.first:]
		held.first = before
	}
}

// Forget trims a topic's log, as the platform may at any time; the newest record of each key stays.
func (store *Store) Forget(ctx context.Context, topic string) error {
	return store.do(ctx, func(held *contents) {
		part := held.partition(partitionName{topic: topic})
		part.kept = newestOf(part.kept, part.first, part.records)
		part.trim(part.end())
	})
}

// batch is what a read finds.
type batch struct {
	end, first uint64
	records    [][]byte
	// gone says that the records asked for are no longer kept.
	gone bool
}

// read returns the records from an offset on and waits for one until the given time.
func (store *Store) read(ctx context.Context, name partitionName, from uint64, waitUntil time.Time) (batch, error) {
	waitContext, cancel := context.WithDeadline(ctx, waitUntil)
	defer cancel()
	for {
		var found batch
		var grown chan struct{}
		err := store.do(ctx, func(held *contents) {
			part := held.partition(name)
			found = part.read(from)
			grown = part.grown
		})
		if err != nil || found.gone || len(found.records) > 0 {
			return found, err
		}
		select {
		case <-grown:
		case <-waitContext.Done():
			return found, nil
		}
	}
}

func (held *partition) read(from uint64) batch {
	found := batch{end: held.end(), first: held.first, gone: from < held.first}
	if from >= held.first && from < found.end {
		found.records = held.records[from-held.first:]
	}
	return found
}

// Append adds a record to a stream of the project's own and returns its offset.
func (store *Store) Append(ctx context.Context, stream coltsfootlink.Stream, body []byte) (uint64, error) {
	answer, err := store.append(ctx, partitionName{topic: string(stream)}, [][]byte{body}, condition{})
	return answer.offset, err
}

// Read returns the records of a stream of the project's own from an offset on and waits for one.
func (store *Store) Read(ctx context.Context, stream coltsfootlink.Stream, from uint64, waitUntil time.Time) (coltsfootlink.Batch, error) {
	name := partitionName{topic: string(stream)}
	found, err := store.read(ctx, name, from, waitUntil)
	if err == nil && found.gone {
		from = found.first
		found, err = store.read(ctx, name, from, waitUntil)
	}
	if err != nil {
		return coltsfootlink.Batch{}, err
	}
	read := coltsfootlink.Batch{First: found.first, Next: from + uint64(len(found.records))}
	for place, body := range found.records {
		read.Records = append(read.Records, coltsfootlink.Record{Offset: from + uint64(place), Body: body})
	}
	return read, nil
}
