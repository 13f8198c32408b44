package move

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/ownership"
)

const (
	// announceInterval is the time between announcements of a running move, and endedAnnounceInterval of one that has
	// ended.
	announceInterval      = 250 * time.Millisecond
	endedAnnounceInterval = time.Second
	// recordTimeout limits an attempt to record a state on the platform.
	recordTimeout = 3 * time.Second
	// recordRetryDelay is the time from a failed attempt to the next one.
	recordRetryDelay = 500 * time.Millisecond
	// stallTimeout is how long an instance may be stalled and still trust what it knows of the recorded states. It is shorter
	// than the time after which an instance that does not reply to heartbeats loses its moves to another one.
	stallTimeout = 750 * time.Millisecond
	// askTimeout is how long a coordinator waits for other instances to tell the outcome of a move that the store may have
	// lost. It is longer than a message takes to another region and back, and a fraction of the time that moves have.
	askTimeout = 300 * time.Millisecond
)

// errSuperseded is the error of recording a move after a later one of the pool has been recorded.
var errSuperseded = errors.New("a later move of the pool is recorded")

// Task coordinates the moves of the pools whose coordinator is its instance: it announces their shares to all live
// instances and records their states on the platform.
type Task struct {
	Self    coltsfootlink.InstanceName
	Records coltsfootlink.MoveRecords
	Clock   coltsfootlink.Clock
	Sender  coltsfootlink.Sender
	Log     zerolog.Logger
	Inbox   *mailbox.Deliveries

	catalog coltsfootlink.Catalog
	view    coltsfootlink.View
	// ledger is what coordinators have announced. It lets this instance continue a move if it becomes the coordinator.
	ledger Ledger
	// coordinated are the moves that this instance coordinates.
	coordinated map[coltsfootlink.PoolName]coordination
	// ranAt is when the moves were last advanced.
	ranAt time.Time
}

// coordination is a move that this instance coordinates.
type coordination struct {
	tracker Tracker
	// recorded is the state that is recorded on the platform; empty while it is not known. era is the era of the store in which
	// it was read or written.
	recorded coltsfootlink.MoveState
	era      uint64
	// versionsKnown indicates that a coordinator has found what became of other versions from the record of the move before.
	versionsKnown bool
	// before is the state that was recorded before a restore of the store, until the record has been read again.
	before coltsfootlink.MoveState
	// asked indicates that other instances were asked for the outcome since the record became unknown; nothing is announced,
	// decided or recorded before decideAt.
	asked    bool
	decideAt time.Time
	// recording indicates that an attempt to record the state is in progress; nextRecordAt is the earliest time of the
	// next one. attempt is the number of the newest one; results of others are ignored.
	recording    bool
	nextRecordAt time.Time
	attempt      int
	// announceAt is when the move is next announced.
	announceAt time.Time
}

// recordAttempt is an attempt to record the state of a move.
type recordAttempt struct {
	move          coltsfootlink.Move
	versionsKnown bool
	// before is what this instance knows of the pool's move before.
	before  coltsfootlink.Move
	attempt int
}

// recordResult is the result of an attempt to record the state of a move.
type recordResult struct {
	coltsfootlink.Local

	// move has the versions that were found with the record.
	move    coltsfootlink.Move
	attempt int
	// state is the state that is now recorded, if the attempt succeeded.
	state coltsfootlink.MoveState
	// era is the era of the store in which the record was read, and written indicates that it was written then.
	era     uint64
	written bool
	err     error
}

// Run coordinates moves until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.coordinated = make(map[coltsfootlink.PoolName]coordination)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
		task.coordinate(ctx)
	}
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
		task.ledger = task.ledger.WithCatalog(message.Catalog)
	case coltsfootlink.ViewChanged:
		task.view = message.View
	case coltsfootlink.MoveWord:
		task.handleWord(delivery.From, message)
	case coltsfootlink.MoveUsages:
		if current, found := task.coordinated[message.Pool]; found && message.IsOf(current.tracker.Move()) {
			current.tracker = current.tracker.WithUsages(task.Clock.Now(), delivery.From, message)
			task.coordinated[message.Pool] = current
		}
	case recordResult:
		task.handleRecordResult(message)
	}
}

// handleWord takes an announcement unless it is late. An outcome that another coordinator has announced for a move that this
// instance coordinates, too, holds until the recorded state is known. A coordinator that does not know the outcome of the move,
// because the store has lost it, is told.
func (task *Task) handleWord(from coltsfootlink.InstanceName, word coltsfootlink.MoveWord) {
	known, _ := task.ledger.Word(word.Move)
	if known.Move.State.Final() && !word.Replaces(known) {
		if from != task.Self && from != "" && !word.Move.State.Final() && task.Records.Era() > coltsfootlink.FirstEra {
			task.Sender.Send(from, known)
		}
		return
	}
	task.ledger = task.ledger.WithWord(task.Clock.Now(), word)
	current, found := task.coordinated[word.Move.Pool]
	if !found || from == task.Self || !word.Move.State.Final() || !current.tracker.Move().SameOrder(word.Move) || current.tracker.Move().State == word.Move.State {
		return
	}
	task.Log.Warn().Str("pool", string(word.Move.Pool)).Str("from", string(from)).Str("state", string(word.Move.State)).Bool("recorded", word.Recorded).
		Str("own-state", string(current.tracker.Move().State)).Msg("move: another instance announced the outcome of a move that this one coordinates")
	current = current.withUnknownRecord()
	current.tracker = current.tracker.WithMove(word.Move)
	task.coordinated[word.Move.Pool] = current
}

// withUnknownRecord returns the coordination after the state on the platform may have changed: nothing is announced or decided
// until it has been read again. An attempt in progress may have read it before the change, so its result is ignored.
func (current coordination) withUnknownRecord() coordination {
	return coordination{tracker: current.tracker, versionsKnown: current.versionsKnown, attempt: current.attempt + 1, before: current.before}
}

// withRestoredStore returns the coordination after the store was restored from a copy, which may not have the recorded state.
func (current coordination) withRestoredStore() coordination {
	current.before = current.recorded
	return current.withUnknownRecord()
}

// recheckAfterStall makes this instance read the recorded states again if it was stalled, since another one may have
// coordinated its moves in the meantime.
func (task *Task) recheckAfterStall(now time.Time) {
	stall := coltsfootlink.Elapsed(task.ranAt, now)
	stalled := !task.ranAt.IsZero() && stall >= stallTimeout
	task.ranAt = now
	if !stalled {
		return
	}
	for pool, current := range task.coordinated {
		task.Log.Warn().Str("pool", string(pool)).Int64("stall-ms", stall.Milliseconds()).Str("recorded", string(current.recorded)).
			Msg("move: coordinator of a version move was stalled; reading the recorded state again")
		task.coordinated[pool] = current.withUnknownRecord()
	}
}

// coordinate advances the moves that this instance coordinates and drops the others.
func (task *Task) coordinate(ctx context.Context) {
	now := task.Clock.Now()
	task.recheckAfterStall(now)
	for pool := range task.coordinated {
		if _, ordered := task.catalog.Moves[pool]; !ordered {
			delete(task.coordinated, pool)
		}
	}
	for pool, order := range task.catalog.Moves {
		coordinator, found := Coordinator(pool, task.view)
		if !found || coordinator != task.Self {
			delete(task.coordinated, pool)
			continue
		}
		task.advance(ctx, order)
	}
}

// advance updates, announces and records one move. Nothing is announced until its recorded state is known, so that the
// new version gets no traffic before.
func (task *Task) advance(ctx context.Context, order coltsfootlink.Move) {
	now := task.Clock.Now()
	current, found := task.coordinated[order.Pool]
	if !found || !current.tracker.Move().SameOrder(order) {
		known, announcedAt := task.ledger.Word(order)
		current = coordination{tracker: NewTracker(order).WithMove(known.Move).WithVersions(known.Move), versionsKnown: !announcedAt.IsZero()}
		task.Log.Info().Str("pool", string(order.Pool)).Str("to", string(order.To)).Uint64("started", uint64(order.Identity())).
			Time("finish-by", current.tracker.Move().FinishBy).Str("state", string(current.tracker.Move().State)).Msg("move: instance became the coordinator of a version move")
	}
	if current.tracker.Move().Identity() < order.Identity() {
		current.tracker = current.tracker.WithOrder(order)
		current = current.withUnknownRecord()
	}
	if current.recorded != "" && current.era < task.Records.Era() {
		task.Log.Warn().Str("pool", string(order.Pool)).Str("to", string(order.To)).Str("state", string(current.tracker.Move().State)).Uint64("era", task.Records.Era()).
			Msg("move: store was restored; reading the recorded state again")
		current = current.withRestoredStore()
	}
	current = task.ask(now, current)
	if current.recorded != "" {
		before := current.tracker.Move().State
		current.tracker = current.tracker.WithTime(now, names(task.view.Live()))
		if after := current.tracker.Move(); after.State != before {
			current.announceAt = time.Time{}
			task.Log.Info().Str("pool", string(order.Pool)).Str("to", string(order.To)).Str("state", string(after.State)).Str("reason", after.Reason).
				Int("ended", current.tracker.ended).Msg("move: version move ended")
		}
		current = task.announce(now, current)
	}
	if current.recorded != current.tracker.Move().State && !current.recording && !now.Before(current.nextRecordAt) && !now.Before(current.decideAt) {
		current.recording = true
		current.attempt++
		go task.record(ctx, recordAttempt{current.tracker.Move(), current.versionsKnown, task.ledger.Before(order), current.attempt})
	}
	task.coordinated[order.Pool] = current
}

// ask asks all live instances for the outcome of a move if the store was ever restored and this instance knows no outcome: an
// instance that knows one replies with it. The question is an announcement that moves no request to the new version.
func (task *Task) ask(now time.Time, current coordination) coordination {
	if current.recorded != "" || current.asked {
		return current
	}
	current.asked = true
	if current.tracker.Move().State.Final() || task.Records.Era() <= coltsfootlink.FirstEra {
		return current
	}
	current.decideAt = now.Add(askTimeout)
	for _, member := range task.view.Live() {
		if member.Name != task.Self {
			task.Sender.Send(member.Name, coltsfootlink.MoveWord{Move: current.tracker.Move()})
		}
	}
	return current
}

// announce sends the state of the move and the share of the new version to all live instances, if an announcement is due.
func (task *Task) announce(now time.Time, current coordination) coordination {
	if now.Before(current.announceAt) {
		return current
	}
	current.announceAt = now.Add(announceInterval)
	if current.tracker.Move().State != coltsfootlink.MoveRunning {
		current.announceAt = now.Add(endedAnnounceInterval)
	}
	announcement := current.word(now)
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, announcement)
	}
	return current
}

// word returns the announcement of the move. A rollback is announced at once, so that the new version gets nothing more, but
// the completion only once it is recorded: until then another coordinator may still record a rollback.
func (current coordination) word(now time.Time) coltsfootlink.MoveWord {
	move := current.tracker.Move()
	word := coltsfootlink.MoveWord{Move: move, Share: current.tracker.Share(now), Recorded: move.State.Final() && current.recorded == move.State}
	if move.State == coltsfootlink.MoveDone && !word.Recorded {
		word.Move = move.WithState(coltsfootlink.MoveRunning, "")
	}
	return word
}

// record writes the state of the move to the platform. A recorded outcome is never replaced, whoever recorded it, and returned
// as the result. The write fails if others have written since the read.
func (task *Task) record(ctx context.Context, attempt recordAttempt) {
	move := attempt.move
	ctx, cancel := context.WithDeadline(ctx, task.Clock.Now().Add(recordTimeout))
	defer cancel()
	records, next, err := task.Records.Moves(ctx)
	existing := records[move.Pool]
	switch {
	case existing.IsOf(move) && len(existing.Serving) > 0:
		move = move.WithVersions(existing.Serving, existing.Rejected)
	case !attempt.versionsKnown:
		move = move.WithPredecessor(existing.Predecessor(attempt.before))
	}
	result := recordResult{move: move, attempt: attempt.attempt, era: next.Era}
	switch {
	case err != nil:
		result.err = err
	case existing.Started > move.Identity() && !existing.IsOf(move):
		result.err = errSuperseded
	case existing.IsOf(move) && existing.State.Final() && outdated(existing, move):
		result.state = existing.State
		result.err = task.Records.Record(ctx, move.WithState(existing.State, ""), next)
	case existing.IsOf(move) && (existing.State.Final() || existing.State == move.State):
		result.state = existing.State
	default:
		result.state, result.written = move.State, true
		result.err = task.Records.Record(ctx, move, next)
	}
	task.Inbox.Put(coltsfootlink.Delivery{Message: result})
}

// outdated indicates whether a record names its order by the position that it had before a restore of the store. A later order to
// the same version could not be told apart from it.
func outdated(record coltsfootlink.MoveRecord, move coltsfootlink.Move) bool {
	era := record.Started.Position().Era
	return era > 0 && era < move.Identity().Position().Era
}

func (task *Task) handleRecordResult(message recordResult) {
	pool := message.move.Pool
	current, found := task.coordinated[pool]
	if !found || current.tracker.Move().Identity() != message.move.Identity() || current.attempt != message.attempt {
		return
	}
	current.recording = false
	if message.err != nil {
		current.nextRecordAt = task.Clock.Now().Add(recordRetryDelay)
		task.Log.Warn().Err(message.err).Str("pool", string(pool)).Msg("move: recording the state of a version move failed; retrying")
	} else {
		if own := current.tracker.Move().State; message.state.Final() && own != message.state {
			task.Log.Warn().Str("pool", string(pool)).Str("own-state", string(own)).Str("state", string(message.state)).Msg("move: another coordinator has recorded the outcome")
			current.tracker = current.tracker.WithMove(current.tracker.Move().WithState(message.state, "recorded before"))
		}
		if current.before != "" && message.written {
			metrics.Count("move-records-written-again")
			task.Log.Warn().Str("pool", string(pool)).Str("before", string(current.before)).Str("state", string(message.state)).Uint64("era", message.era).
				Msg("move: recorded state of a version move was lost in a restore of the store and was written again")
		}
		current.before = ""
		current.recorded, current.era = message.state, message.era
		current.tracker, current.versionsKnown = current.tracker.WithVersions(message.move), true
		if message.state.Final() {
			current.announceAt = time.Time{}
		}
		task.Log.Info().Str("pool", string(pool)).Str("state", string(message.state)).Interface("serving", message.move.Serving).Interface("rejected", message.move.Rejected).Msg("move: state of a version move recorded")
	}
	task.coordinated[pool] = current
}

// Coordinator returns the instance that coordinates the moves of a pool.
func Coordinator(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool) {
	return ownership.SingletonOwner("moves "+string(pool), view)
}

func names(members []coltsfootlink.Member) []coltsfootlink.InstanceName {
	var names []coltsfootlink.InstanceName
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}
