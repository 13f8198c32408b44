package claim

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/supervisor"
)

const (
	// tickInterval is how often deadlines are checked.
	tickInterval = 50 * time.Millisecond
	// appendInterval is the minimum time between the end of an append to a partition and the next append. It bounds the
	// load on the log.
	appendInterval = 25 * time.Millisecond
	// appendTimeout is the maximum duration of an append.
	appendTimeout = 2 * time.Second
	// ownerTimeout is how long this instance waits for the partition's owner before it appends the claim itself.
	ownerTimeout = time.Second
	// retryDelay is the time between a failed append and the next one.
	retryDelay = 200 * time.Millisecond
)

// Claim asks to claim a key for an attempt on this instance.
type Claim struct {
	coltsfootlink.Local

	Key     string
	Attempt string
	// Deadline is the latest time at which a reply is useful.
	Deadline time.Time
	// Reply receives exactly one reply and must be buffered, so that the task never blocks on it.
	Reply chan<- coltsfootlink.ClaimReply
}

// Resolve reports the outcome of an attempt on this instance.
type Resolve struct {
	coltsfootlink.Local

	Key     string
	Attempt string
	Outcome coltsfootlink.Outcome
}

// Task claims keys for attempts on this instance, and serves claim requests of all instances for the partitions that
// this instance owns.
type Task struct {
	Self     coltsfootlink.InstanceName
	Log      coltsfootlink.Log
	Clock    coltsfootlink.Clock
	Sender   coltsfootlink.Sender
	Recorder coltsfootlink.Recorder
	Logger   zerolog.Logger
	// Owner returns the instance that owns a partition; false if there is none.
	Owner func(partition int, view coltsfootlink.View) (coltsfootlink.InstanceName, bool)
	// Era returns the highest era of the store that was seen, without a call; nil if there are no eras.
	Era func() uint64
	// Branch is the supervisor that runs the stream readers.
	Branch *supervisor.Branch
	Inbox  *mailbox.Deliveries

	view       coltsfootlink.View
	partitions map[int]*openPartition
	// pending holds the unanswered claims of this instance, by attempt.
	pending map[string]pendingClaim
	// won holds the attempts that were allowed to run here, with their expiry times.
	won map[string]time.Time
	// refused holds the keys of the attempts that were refused here and so never run, by attempt.
	refused map[string]refusedKey
	// era is the latest era of the store, and eraAt when it was first known.
	era   uint64
	eraAt time.Time
}

// refusedKey is the key of a refused attempt and the time at which it is forgotten.
type refusedKey struct {
	key   string
	until time.Time
}

// pendingClaim is an unanswered claim of this instance.
type pendingClaim struct {
	claim Claim
	// fallbackAt is when this instance appends the claim itself because the owner has not replied.
	fallbackAt time.Time
}

// Run handles messages until the context is cancelled.
func (task *Task) Run(ctx context.Context) error {
	task.partitions = make(map[int]*openPartition)
	task.pending = make(map[string]pendingClaim)
	if task.won == nil {
		// Kept across restarts of the task by its supervisor, so that a late reply does not free the key of an attempt
		// that is running.
		task.won = make(map[string]time.Time)
		task.refused = make(map[string]refusedKey)
	}
	defer task.closeAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.tick()
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
		task.appendAll(ctx)
	}
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Claim:
		task.claim(message)
	case Resolve:
		task.resolve(message)
	case coltsfootlink.ClaimRequest:
		task.addRequest(delivery.From, message)
	case coltsfootlink.ClaimReply:
		task.handleReply(message)
	case coltsfootlink.ClaimOutcome:
		partition := task.open(PartitionOf(message.Key))
		partition.state = partition.state.WithOutcome(message.Key, message.Attempt, message.Outcome)
	case coltsfootlink.RecordsRead:
		task.applyRecords(message)
	case appendResult:
		task.finishAppend(message)
	case coltsfootlink.ViewChanged:
		task.view = message.View
		task.openOwned()
	}
}

// claim sends a claim request to the owner of the key's partition.
func (task *Task) claim(claim Claim) {
	now := task.Clock.Now()
	task.pending[claim.Attempt] = pendingClaim{claim: claim, fallbackAt: now.Add(ownerTimeout)}
	task.Sender.Send(task.owner(claim.Key), coltsfootlink.ClaimRequest{
		Key:      claim.Key,
		Attempt:  claim.Attempt,
		Deadline: claim.Deadline,
	})
}

func (task *Task) resolve(resolved Resolve) {
	task.Sender.Send(task.owner(resolved.Key), coltsfootlink.ClaimOutcome{
		Key:     resolved.Key,
		Attempt: resolved.Attempt,
		Outcome: resolved.Outcome,
	})
}

// addRequest accepts a claim request from another instance or from this one.
func (task *Task) addRequest(from coltsfootlink.InstanceName, request coltsfootlink.ClaimRequest) {
	partition := task.open(PartitionOf(request.Key))
	partition.state = partition.state.WithRequest(Request{
		Key:      request.Key,
		Attempt:  request.Attempt,
		From:     from,
		Arrived:  task.Clock.Now(),
		Deadline: request.Deadline,
	})
}

// handleReply hands a reply to the pending claim and records whether the attempt may run.
func (task *Task) handleReply(reply coltsfootlink.ClaimReply) {
	waiting, found := task.pending[reply.Attempt]
	if !found {
		task.releaseKey(reply)
		return
	}
	delete(task.pending, reply.Attempt)
	until := task.Clock.Now().Add(MaxKeyAge)
	if reply.Won {
		task.won[reply.Attempt] = until
	} else {
		task.refused[reply.Attempt] = refusedKey{key: waiting.claim.Key, until: until}
	}
	waiting.claim.Reply <- reply
}

// releaseKey frees the key if the claim of an attempt won after the attempt had been refused here: it reports the
// attempt as not run. A second reply for an attempt that was allowed to run is ignored.
func (task *Task) releaseKey(reply coltsfootlink.ClaimReply) {
	if _, used := task.won[reply.Attempt]; used || !reply.Won {
		return
	}
	if refused, found := task.refused[reply.Attempt]; found {
		task.resolve(Resolve{Key: refused.key, Attempt: reply.Attempt, Outcome: coltsfootlink.NotRun})
	}
}

func (task *Task) applyRecords(message coltsfootlink.RecordsRead) {
	for number, partition := range task.partitions {
		if streamOf(number) != message.Stream {
			continue
		}
		before := partition.state
		state, answers := before.WithBatch(task.Clock.Now(), message.Batch)
		partition.state = state
		if lost := len(state.Lost()); lost > 0 && len(before.Lost()) == 0 {
			metrics.Count("claim-partitions-written-again")
			task.Logger.Warn().Int("partition", number).Int("entries", lost).Uint64("era", state.era).Msg("claim: store was restored and has lost entries; writing them again")
		}
		task.sendReplies(answers)
	}
}

// tick times out requests, drops expired state, and appends the claims whose owner has not replied.
func (task *Task) tick() {
	now := task.Clock.Now()
	task.noteEra(now)
	for _, partition := range task.partitions {
		state, answers := partition.state.WithExpired(now)
		partition.state = state
		task.sendReplies(answers)
	}
	maps.DeleteFunc(task.won, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(task.refused, func(_ string, refused refusedKey) bool { return now.After(refused.until) })
	for attempt, waiting := range task.pending {
		if now.Before(waiting.fallbackAt) {
			continue
		}
		waiting.fallbackAt = now.Add(ownerTimeout)
		task.pending[attempt] = waiting
		task.addRequest(task.Self, coltsfootlink.ClaimRequest{
			Key:      waiting.claim.Key,
			Attempt:  attempt,
			Deadline: waiting.claim.Deadline,
		})
	}
}

// noteEra notes when a later era of the store is first known. The streams may show it only with their next record.
func (task *Task) noteEra(now time.Time) {
	if task.Era == nil {
		return
	}
	era := task.Era()
	if era <= task.era {
		return
	}
	task.era, task.eraAt = era, now
	for _, partition := range task.partitions {
		partition.state = partition.state.WithEra(now, era)
	}
}

func (task *Task) sendReplies(answers []Answer) {
	for _, answer := range answers {
		if answer.Unknown {
			metrics.Count("claims-refused-after-a-restore")
		}
		task.Sender.Send(answer.Request.From, coltsfootlink.ClaimReply{
			Attempt: answer.Request.Attempt,
			Won:     answer.Won,
			Settled: answer.Settled,
			Outcome: answer.Outcome,
		})
	}
}

// owner returns the owner of a key's partition, or this instance if the partition has none.
func (task *Task) owner(key string) coltsfootlink.InstanceName {
	if owner, found := task.Owner(PartitionOf(key), task.view); found {
		return owner
	}
	return task.Self
}

func streamOf(partition int) coltsfootlink.Stream {
	return coltsfootlink.Stream("claims-" + strconv.Itoa(partition))
}
