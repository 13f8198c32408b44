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

// maxEntriesWrittenAgain limits the entries of a record that repeats lost ones, to some 60 KB.
const maxEntriesWrittenAgain = 500

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

	// era is the latest era of the store that is known. since is when it was first known to an instance, which is after the
	// restore that began it; zero in the first era.
	era   uint64
	since time.Time
	// remembers indicates that the stream was read before the restore, so that since was noted soon after it.
	remembers bool
	// opened indicates that a record that was appended in this era has been read, and with it all that the restore has kept.
	// Until then nothing but a record without entries is appended; opening indicates that it was.
	opened, opening bool
	// lost holds the entries that the restore has lost and that have to be appended before others.
	lost []Entry
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
	// Unknown indicates that the attempt was refused because an earlier one may have run, whose claim the store has lost.
	Unknown bool
}

// NewPartition returns a partition whose stream has not been read yet.
func NewPartition() Partition {
	return Partition{
		index:    NewIndex(),
		waiting:  immutable.NewSortedMap[string, Request](nil),
		timedOut: immutable.NewSortedMap[string, Request](nil),
		opened:   true,
	}
}

// WithEra returns the partition after an era of the store was first known, at the given time. If a restore began it, nothing is
// granted any more for keys from before that time, because claims of them may have been lost.
func (partition Partition) WithEra(at time.Time, era uint64) Partition {
	if era <= partition.era {
		return partition
	}
	partition.era = era
	partition.index = partition.index.WithEra(era)
	if era > coltsfootlink.FirstEra {
		partition.since = at
		partition.remembers = !partition.lastRead.IsZero()
		partition.opened, partition.opening, partition.lost = !partition.remembers, false, nil
	}
	return partition
}

// Lost returns the entries that have to be appended again after a restore of the store.
func (partition Partition) Lost() []Entry { return partition.lost }

// Record returns the record that appends entries.
func (partition Partition) Record(entries []Entry) Record {
	record := Record{Entries: entries}
	if partition.era > coltsfootlink.FirstEra {
		record.Era, record.Since = partition.era, partition.since
	}
	return record
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
	partition = partition.WithEra(now, batch.Next.Era)
	partition.lastRead = now
	if batch.Next.Era > partition.next.Era {
		partition.next = coltsfootlink.Position{Era: batch.Next.Era}
	}
	var answers []Answer
	for _, stored := range batch.Records {
		if stored.Position.Before(partition.next) {
			continue
		}
		partition.next = stored.Position.Next()
		// A record that cannot be decoded has no entries and is skipped.
		record, _ := decodeRecord(stored.Body)
		// A batch of an earlier era may come after the later one has become known.
		partition.index = partition.index.WithEra(stored.Position.Era)
		for _, entry := range record.Entries {
			partition.index = partition.index.WithEntry(entry)
			partition, answers = partition.withEntryRead(entry, answers)
		}
		partition = partition.withRecordOfEra(record)
	}
	partition.index = partition.index.WithEra(partition.era)
	if len(partition.lost) > 0 {
		partition.lost = slices.DeleteFunc(slices.Clone(partition.lost), func(entry Entry) bool { return !partition.index.lost(entry) })
	}
	return partition, answers
}

// withRecordOfEra takes the earliest time after the restore from a record that was appended since. With the first such record,
// all that the restore has kept has been read.
func (partition Partition) withRecordOfEra(record Record) Partition {
	if partition.era <= coltsfootlink.FirstEra || record.Era != partition.era {
		return partition
	}
	if record.Since.Before(partition.since) {
		partition.since = record.Since
	}
	if !partition.opened {
		partition.opened, partition.lost = true, partition.index.WithEra(partition.era).Lost()
	}
	return partition
}

// mayBeLost reports whether an attempt with a key may have run whose claim the store has lost. For an instance that has not read
// the stream before the restore, this includes keys of callers whose clocks are ahead by up to MaxClockSkew.
func (partition Partition) mayBeLost(key string) bool {
	if partition.since.IsZero() {
		return false
	}
	until := partition.since
	if !partition.remembers {
		until = until.Add(MaxClockSkew)
	}
	at, valid := KeyTime(key)
	return !valid || !at.After(until)
}

// outcome returns what is known of the key's holder. If claims of the key may have been lost, it is never not-run.
func (partition Partition) outcome(key string) coltsfootlink.Outcome {
	outcome := partition.index.Outcome(key)
	if outcome == coltsfootlink.NotRun && partition.mayBeLost(key) {
		return coltsfootlink.MayHaveRun
	}
	return outcome
}

// WithExpired answers the requests whose deadline has passed, and those whose keys are from before a restore of the store. It
// keeps them as timed out for MaxKeyAge, because the claim may still be read back and hold the key although the attempt never
// runs. It also drops expired keys.
func (partition Partition) WithExpired(now time.Time) (Partition, []Answer) {
	var answers []Answer
	for iterator := partition.waiting.Iterator(); !iterator.Done(); {
		attempt, request, _ := iterator.Next()
		// The claim may have been lost after it was appended, and would not be granted anyway.
		refused := partition.remembers && partition.opened && partition.mayBeLost(request.Key)
		if now.Before(request.Deadline) && !refused {
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

// WithOutboxDrained empties the outbox and returns its entries, which the caller has to append. After a restore of the store these
// are none at first, then the lost ones.
func (partition Partition) WithOutboxDrained() (Partition, []Entry) {
	if !partition.opened {
		partition.opening = true
		return partition, nil
	}
	if count := min(len(partition.lost), maxEntriesWrittenAgain); count > 0 {
		lost := partition.lost[:count]
		partition.lost = partition.lost[count:]
		return partition, lost
	}
	entries := partition.outbox
	partition.outbox = nil
	return partition, entries
}

// WithEntriesRequeued puts entries whose append failed back into the outbox, except claims whose requests no longer
// wait. The failed append may have taken effect all the same; a duplicate entry has no effect on the index.
func (partition Partition) WithEntriesRequeued(entries []Entry) Partition {
	partition.opening = false
	for _, entry := range entries {
		_, waits := partition.waiting.Get(entry.Attempt)
		switch {
		case partition.opened && partition.index.lost(entry):
			partition.lost = append(slices.Clone(partition.lost), entry)
		case waits || entry.Outcome != "":
			partition = partition.withEntry(entry)
		}
	}
	return partition
}

// Pending reports whether there is something to append.
func (partition Partition) Pending() bool {
	if !partition.opened {
		return !partition.opening
	}
	return len(partition.lost) > 0 || len(partition.outbox) > 0
}

func (partition Partition) Len() int { return partition.index.Len() }

func (partition Partition) withEntry(entry Entry) Partition {
	partition.outbox = append(slices.Clone(partition.outbox), entry)
	return partition
}

// withEntryRead answers a request whose claim has been read back. A request that timed out is answered again if its
// attempt holds the key: only the instance that sent it knows whether the attempt is still in use, and it frees the
// key if not. Nothing is granted for a key whose claims may have been lost.
func (partition Partition) withEntryRead(entry Entry, answers []Answer) (Partition, []Answer) {
	if entry.Outcome != "" {
		return partition, answers
	}
	unknown := partition.mayBeLost(entry.Key)
	holds := partition.index.Holds(entry.Key, entry.Attempt) && !unknown
	if late, found := partition.timedOut.Get(entry.Attempt); found && holds {
		return partition, append(answers, Answer{Request: late, Won: true, Settled: true, Outcome: coltsfootlink.MayHaveRun})
	}
	request, waits := partition.waiting.Get(entry.Attempt)
	if !waits {
		return partition, answers
	}
	partition.waiting = partition.waiting.Delete(entry.Attempt)
	answer := Answer{Request: request, Won: holds, Settled: true, Outcome: partition.outcome(entry.Key), Unknown: unknown}
	return partition, append(answers, answer)
}

// unsettled answers a request whose claim was not read back in time. The index shows whether an earlier attempt has
// run only if the stream was read after the request arrived; otherwise the outcome is may-have-run. A read that late
// covers all earlier attempts: a caller retries only after the earlier attempt has ended, or after its connection has
// closed and the attempt can no longer start.
func (partition Partition) unsettled(request Request) Answer {
	answer := Answer{Request: request, Outcome: coltsfootlink.MayHaveRun, Unknown: partition.mayBeLost(request.Key)}
	if partition.lastRead.After(request.Arrived) {
		answer.Outcome = partition.outcome(request.Key)
	}
	return answer
}
