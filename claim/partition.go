package claim

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Partitions is the number of log streams that keys are distributed over by hash.
const Partitions = 4

func PartitionOf(key string) int {
	hash := fnv.New32a()
	// hash.Hash.Write never returns an error.
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum32() % Partitions)
}

// Partition is the state that an owner keeps for one partition of the keys. It is immutable.
type Partition struct {
	index Index
	// next is the position of the first record that has not been read.
	next coltsfootlink.Position
	// lastRead is when the stream was last read.
	lastRead time.Time
	// outbox holds the entries that have not been appended to the log yet.
	outbox []Entry
	// waiting holds the unanswered requests, by attempt.
	waiting *immutable.SortedMap[string, Request]
	// timedOut holds the requests that were answered at their deadline, before their claims were read back, by attempt.
	timedOut *immutable.SortedMap[string, Request]
}

// Request asks a partition's owner to claim a key for an attempt.
type Request struct {
	Key     string
	Attempt string
	// From is the instance that received the attempt.
	From coltsfootlink.InstanceName
	// Arrived is when the owner received the request.
	Arrived time.Time
	// Deadline is when the request has to be answered at the latest.
	Deadline time.Time
}

// Answer is the result of a Request.
type Answer struct {
	Request Request
	// Won indicates that the attempt holds the key and may run.
	Won bool
	// Settled indicates that the claim was read back from the log. If not, the request timed out and Outcome is the
	// cautious one: may-have-run in case of doubt.
	Settled bool
	// Outcome is what is known of the key's holder.
	Outcome coltsfootlink.Outcome
}

// NewPartition returns a partition whose stream has not been read yet.
func NewPartition() Partition {
	return Partition{
		index:    NewIndex(),
		waiting:  immutable.NewSortedMap[string, Request](nil),
		timedOut: immutable.NewSortedMap[string, Request](nil),
	}
}

// WithRequest adds a request and puts its claim into the outbox. A request that is already waiting is ignored.
func (partition Partition) WithRequest(request Request) Partition {
	if _, found := partition.waiting.Get(request.Attempt); found {
		return partition
	}
	partition.waiting = partition.waiting.Set(request.Attempt, request)
	return partition.withEntry(Entry{Key: request.Key, Attempt: request.Attempt})
}

// WithOutcome puts the outcome of an attempt into the outbox.
func (partition Partition) WithOutcome(key, attempt string, outcome coltsfootlink.Outcome) Partition {
	return partition.withEntry(Entry{Key: key, Attempt: attempt, Outcome: outcome})
}

// WithBatch applies records in log order and answers the requests whose claims were read back.
func (partition Partition) WithBatch(now time.Time, batch coltsfootlink.Batch) (Partition, []Answer) {
	partition.lastRead = now
	var answers []Answer
	for _, stored := range batch.Records {
		if stored.Position.Before(partition.next) {
			continue
		}
		partition.next = stored.Position.Next()
		// A record that cannot be decoded has no entries and is skipped.
		record, _ := decodeRecord(stored.Body)
		for _, entry := range record.Entries {
			partition.index = partition.index.WithEntry(entry)
			partition, answers = partition.withEntryRead(entry, answers)
		}
	}
	return partition, answers
}

// WithExpired answers the requests whose deadline has passed. It keeps them as timed out for MaxKeyAge, because the
// claim may still be read back and hold the key although the attempt never runs. It also drops expired keys.
func (partition Partition) WithExpired(now time.Time) (Partition, []Answer) {
	var answers []Answer
	for iterator := partition.waiting.Iterator(); !iterator.Done(); {
		attempt, request, _ := iterator.Next()
		if now.Before(request.Deadline) {
			continue
		}
		partition.waiting = partition.waiting.Delete(attempt)
		partition.timedOut = partition.timedOut.Set(attempt, request)
		answers = append(answers, partition.unsettled(request))
	}
	partition.index = partition.index.WithoutExpired(now)
	for iterator := partition.timedOut.Iterator(); !iterator.Done(); {
		if attempt, request, _ := iterator.Next(); now.After(request.Deadline.Add(MaxKeyAge)) {
			partition.timedOut = partition.timedOut.Delete(attempt)
		}
	}
	return partition, answers
}

// WithOutboxDrained empties the outbox and returns its entries, which the caller has to append.
func (partition Partition) WithOutboxDrained() (Partition, []Entry) {
	entries := partition.outbox
	partition.outbox = nil
	return partition, entries
}

// WithEntriesRequeued puts entries whose append failed back into the outbox, except claims whose requests no longer
// wait. The failed append may have taken effect all the same; a duplicate entry has no effect on the index.
func (partition Partition) WithEntriesRequeued(entries []Entry) Partition {
	for _, entry := range entries {
		_, waits := partition.waiting.Get(entry.Attempt)
		if waits || entry.Outcome != "" {
			partition = partition.withEntry(entry)
		}
	}
	return partition
}

// Pending reports whether the outbox holds entries.
func (partition Partition) Pending() bool { return len(partition.outbox) > 0 }

func (partition Partition) Len() int { return partition.index.Len() }

func (partition Partition) withEntry(entry Entry) Partition {
	partition.outbox = append(slices.Clone(partition.outbox), entry)
	return partition
}

// withEntryRead answers a request whose claim has been read back. A request that timed out is answered again if its
// attempt holds the key: only the instance that sent it knows whether the attempt is still in use, and it frees the
// key if not.
func (partition Partition) withEntryRead(entry Entry, answers []Answer) (Partition, []Answer) {
	if entry.Outcome != "" {
		return partition, answers
	}
	holds := partition.index.Holds(entry.Key, entry.Attempt)
	if late, found := partition.timedOut.Get(entry.Attempt); found && holds {
		return partition, append(answers, Answer{Request: late, Won: true, Settled: true, Outcome: coltsfootlink.MayHaveRun})
	}
	request, waits := partition.waiting.Get(entry.Attempt)
	if !waits {
		return partition, answers
	}
	partition.waiting = partition.waiting.Delete(entry.Attempt)
	answer := Answer{Request: request, Won: holds, Settled: true, Outcome: partition.index.Outcome(entry.Key)}
	return partition, append(answers, answer)
}

// unsettled answers a request whose claim was not read back in time. The index shows whether an earlier attempt has
// run only if the stream was read after the request arrived; otherwise the outcome is may-have-run. A read that late
// covers all earlier attempts: a caller retries only after the earlier attempt has ended, or after its connection has
// closed and the attempt can no longer start.
func (partition Partition) unsettled(request Request) Answer {
	answer := Answer{Request: request, Outcome: coltsfootlink.MayHaveRun}
	if partition.lastRead.After(request.Arrived) {
		answer.Outcome = partition.index.Outcome(request.Key)
	}
	return answer
}
