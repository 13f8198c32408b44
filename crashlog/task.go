package crashlog

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/ownership"
)

const (
	tickInterval = 250 * time.Millisecond
	// callTimeout is how long the store may take to answer.
	callTimeout = 2 * time.Second
	// writeInterval is the least time between two calls of an instance: crashes come in series, and all instances together may make
	// some hundred calls a second.
	writeInterval = 500 * time.Millisecond
	// minRetryDelay is the delay after a call that has failed; it doubles with each one up to maxRetryDelay, and up to
	// maxReadRetryDelay while records are waited for: once the store is back, prompts are sent to targets.
	minRetryDelay     = 400 * time.Millisecond
	maxRetryDelay     = 10 * time.Second
	maxReadRetryDelay = time.Second
	// readInterval is the interval at which one instance of the fleet compares the records with what it knows.
	readInterval = 10 * time.Second
	// role names the role of that instance.
	role = "crash log"
)

// Task reads and writes the crash records for the tasks of its instance.
type Task struct {
	Self  coltsfootlink.InstanceName
	Store coltsfootlink.CrashStore
	Clock coltsfootlink.Clock
	Log   zerolog.Logger
	Inbox *mailbox.Deliveries
	// Subscribers receive CrashesRead after each read.
	Subscribers []*mailbox.Deliveries

	state State
	// era is that of the store at the last call that succeeded.
	era uint64
	// wanted indicates that a subscriber waits for the records.
	wanted bool
	// calling indicates that a call is in progress. The next one may be made at callAt.
	calling bool
	callAt  time.Time
	// failures is the number of calls that have failed since the last one that succeeded.
	failures int
	// responsible indicates that this instance is the one that compares the records with what is known, next at readAt.
	responsible bool
	readAt      time.Time
}

// callResult is the result of a call to the store: of a read, or of a write of records and removals.
type callResult struct {
	coltsfootlink.Local
	read    bool
	records []coltsfootlink.CrashRecord
	removed []string
	err     error
}

// Run handles messages and calls the store until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.state, task.calling = State{}, false
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery.Message)
		}
		task.useStore(ctx)
	}
}

func (task *Task) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case coltsfootlink.CrashesWanted:
		task.wanted = true
	case coltsfootlink.CrashesHeld:
		task.state = task.state.WithHeld(message)
	case coltsfootlink.CrashesVoid:
		task.state = task.state.WithVoid(message.Keys)
	case coltsfootlink.ViewChanged:
		owner, _ := ownership.SingletonOwner(role, message.View)
		if responsible := owner == task.Self; responsible != task.responsible {
			task.responsible, task.readAt = responsible, task.Clock.Now().Add(readInterval)
		}
	case callResult:
		task.handleResult(message)
	}
}

// useStore begins the next call if one is due and none is in progress.
func (task *Task) useStore(ctx context.Context) {
	now := task.Clock.Now()
	if task.calling || now.Before(task.callAt) {
		return
	}
	if era := task.Store.Era(); era > task.era {
		// Records may be gone. They are read by the responsible instance, and written again by those who know them.
		task.era, task.readAt = era, now
		task.state = task.state.WithRestored()
	}
	if task.wanted || task.responsible && !now.Before(task.readAt) && !task.state.Empty() {
		task.calling, task.wanted, task.readAt = true, false, now.Add(readInterval)
		go task.read(ctx)
		return
	}
	records, removed := task.state.Changes(task.responsible)
	if len(records) > 0 || len(removed) > 0 {
		task.calling = true
		go task.write(ctx, records, removed)
	}
}

func (task *Task) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := task.Store.Read(ctx)
	task.Inbox.Put(coltsfootlink.Delivery{Message: callResult{read: true, records: records, err: err}})
}

func (task *Task) write(ctx context.Context, records []coltsfootlink.CrashRecord, removed []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := task.Store.Write(ctx, records, removed)
	task.Inbox.Put(coltsfootlink.Delivery{Message: callResult{records: records, removed: removed, err: err}})
}

// retryDelay returns the delay after a call that has failed, before which others had.
func retryDelay(wanted bool, failures int) time.Duration {
	most := maxRetryDelay
	if wanted {
		most = maxReadRetryDelay
	}
	return min(minRetryDelay<<min(failures, 10), most)
}

func (task *Task) handleResult(result callResult) {
	now := task.Clock.Now()
	task.calling = false
	if result.err != nil {
		task.wanted = task.wanted || result.read
		task.callAt = now.Add(retryDelay(task.wanted, task.failures))
		task.failures++
		metrics.Count("crash-log-failures")
		task.Log.Warn().Err(result.err).Bool("read", result.read).Int("failures", task.failures).
			Msg("crashlog: the store did not take or give the crashes that hold prompts and requests back; trying again")
		return
	}
	task.failures = 0
	if result.read {
		task.state = task.state.WithRead(result.records)
		for _, subscriber := range task.Subscribers {
			subscriber.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesRead{Records: result.records}})
		}
		return
	}
	task.callAt = now.Add(writeInterval)
	task.state = task.state.WithWritten(result.records, result.removed)
	metrics.Count("crash-log-writes")
	task.Log.Info().Int("records", len(result.records)).Int("removed", len(result.removed)).Msg("crashlog: recorded which crashes hold prompts and requests back")
}
