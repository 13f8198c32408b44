package claim

import (
	"context"
	"strconv"
	"time"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/platform"
)

// appendResult reports to the task that an append has ended; err is nil if it succeeded.
type appendResult struct {
	coltsfootlink.Local

	partition int
	entries   []Entry
	err       error
}

// openPartition is a partition whose stream this instance reads and appends to.
type openPartition struct {
	state Partition
	// appending indicates that an append is in progress.
	appending bool
	// appendAt is the earliest time of the next append.
	appendAt time.Time
	// stop ends the stream's reader.
	stop func()
}

func (task *Task) finishAppend(result appendResult) {
	partition, found := task.partitions[result.partition]
	if !found {
		return
	}
	partition.appending = false
	partition.appendAt = task.Clock.Now().Add(appendInterval)
	if result.err != nil {
		// The append may have taken effect in spite of the error. Appending the entries again is safe, because
		// duplicates have no effect when they are read back.
		partition.state = partition.state.WithEntriesRequeued(result.entries)
		partition.appendAt = task.Clock.Now().Add(retryDelay)
		metrics.Count("claim-append-failures")
	}
}

// appendAll starts the appends that are due, with at most one in progress per partition.
func (task *Task) appendAll(ctx context.Context) {
	now := task.Clock.Now()
	for number, partition := range task.partitions {
		if partition.appending || now.Before(partition.appendAt) || !partition.state.Pending() {
			continue
		}
		state, entries := partition.state.WithOutboxDrained()
		partition.state = state
		partition.appending = true
		go task.append(ctx, number, state.Record(entries))
	}
}

// append writes entries to the log and sends the result to the task's inbox. It runs in its own goroutine.
func (task *Task) append(ctx context.Context, number int, record Record) {
	body, err := record.Encode()
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, task.Clock.Now().Add(appendTimeout))
		defer cancel()
		_, err = task.Log.Append(ctx, streamOf(number), body)
	}
	task.Inbox.Put(coltsfootlink.Delivery{Message: appendResult{partition: number, entries: record.Entries, err: err}})
}

// openOwned opens the partitions that this instance owns. Partitions that it no longer owns stay open, because
// requests may still be waiting in them.
func (task *Task) openOwned() {
	for number := range Partitions {
		if owner, found := task.Owner(number, task.view); found && owner == task.Self {
			task.open(number)
		}
	}
}

// open returns a partition and starts reading its stream if it is not open yet.
func (task *Task) open(number int) *openPartition {
	if partition, found := task.partitions[number]; found {
		return partition
	}
	task.Recorder.Record("claim", "reads partition "+strconv.Itoa(number))
	partition := &openPartition{state: NewPartition().WithEra(task.eraAt, task.era)}
	partition.stop = task.Branch.Add("claims-"+strconv.Itoa(number), &platform.Tail{
		Log:    task.Log,
		Stream: streamOf(number),
		Clock:  task.Clock,
		Logger: task.Logger,
		Inbox:  task.Inbox,
	})
	task.partitions[number] = partition
	return partition
}

func (task *Task) closeAll() {
	for _, partition := range task.partitions {
		partition.stop()
	}
}
