package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/settings"
)

const (
	// tickInterval is how often deadlines are checked.
	tickInterval = time.Second
	// snapshotInterval is how long after the last snapshot read an instance appends the next one, without jitter.
	snapshotInterval = time.Hour
	// publishTimeout is the maximum duration of an append, and the time within which a change has to be read back.
	publishTimeout = 5 * time.Second
	// restoreDelay is the time from a restore of the store that has lost changes to the snapshot that writes them again, and
	// restoreJitter the longest that is added to it, so that usually one instance writes it. All have read the log by then.
	restoreDelay  = time.Second
	restoreJitter = 2 * time.Second
)

// ErrUnconfirmed is returned for a change that was not read back from the log within publishTimeout. The change may
// still take effect later.
var ErrUnconfirmed = errors.New("revision: the log did not confirm the change in time; it may still be accepted")

// Publish asks to change the configuration.
type Publish struct {
	coltsfootlink.Local

	// Record is the change. An empty ID is replaced by a new one, and a zero Base by the present revision.
	Record Record
	// Reply receives exactly one verdict and must be buffered, so that the task never blocks on it.
	Reply chan<- Verdict
}

// Task keeps the configuration of an instance up to date with the log and with other instances, passes it on to the
// other tasks, and appends changes.
type Task struct {
	Self     coltsfootlink.InstanceName
	Log      coltsfootlink.Log
	Clock    coltsfootlink.Clock
	Sender   coltsfootlink.Sender
	Recorder coltsfootlink.Recorder
	Logger   zerolog.Logger
	Inbox    *mailbox.Deliveries
	// Subscribers are the inboxes of the tasks that get each new configuration and the state of the log.
	Subscribers []*mailbox.Deliveries

	state State
	// pending holds the changes that have not been read back, by record ID.
	pending map[string]pendingChange
	// logUp indicates that the configuration stream can be read.
	logUp bool
	// snapshotAt is when the next snapshot is due.
	snapshotAt time.Time
}

// pendingChange is a change that was sent to the log and has not been read back.
type pendingChange struct {
	reply chan<- Verdict
	// deadline is when the change is answered with ErrUnconfirmed.
	deadline time.Time
}

// Run handles messages until the context is cancelled.
func (task *Task) Run(ctx context.Context) error {
	task.pending = make(map[string]pendingChange)
	task.logUp = false
	task.snapshotAt = task.nextSnapshotTime()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// The state is kept across restarts of the task by its supervisor, so that the configuration stays in force.
	task.notifySubscribers()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.tick(ctx)
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(ctx, delivery)
		}
	}
}

func (task *Task) handle(ctx context.Context, delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case coltsfootlink.RecordsRead:
		task.setLogUp(true)
		task.applyBatch(message.Batch)
	case coltsfootlink.LogDown:
		task.setLogUp(false)
	case coltsfootlink.RevisionRequest:
		task.sendConfiguration(delivery.From)
	case coltsfootlink.RevisionReply:
		task.adoptNewer(delivery.From, message)
	case Publish:
		task.publish(ctx, message)
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer(message.Subject)
	}
}

// setLogUp notifies the subscribers when the log becomes available or unavailable.
func (task *Task) setLogUp(up bool) {
	if task.logUp == up {
		return
	}
	task.logUp = up
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{Message: coltsfootlink.LogState{Up: up}})
	}
}

// applyBatch applies records read from the log.
func (task *Task) applyBatch(batch coltsfootlink.Batch) {
	before := task.state
	state, verdicts := before.WithBatch(batch)
	task.state = state
	if state.Configuration.Revision != before.Configuration.Revision || state.Configuration.Position != before.Configuration.Position {
		task.notifySubscribers()
	}
	for _, verdict := range verdicts {
		task.finishChange(verdict)
	}
	task.noteKept(before, state)
}

// noteKept schedules the snapshot that writes the changes again that a restore of the store has lost.
func (task *Task) noteKept(before, after State) {
	lost := after.Kept().Revision
	switch {
	case lost == before.Kept().Revision:
	case lost > 0:
		metrics.Count("configurations-lost-in-a-restore")
		task.Logger.Warn().Uint64("kept", uint64(lost)).Uint64("logged", uint64(after.logged.Revision)).Stringer("next", after.next).
			Msg("revision: store was restored and has lost changes of the configuration; keeping it in force until it is written again")
		task.snapshotAt = task.Clock.Now().Add(restoreDelay + time.Duration(rand.Int64N(int64(restoreJitter))))
	default:
		task.Logger.Info().Uint64("kept", uint64(before.Kept().Revision)).Stringer("revision", after.Configuration.Revision).
			Msg("revision: the log has a configuration in place of the kept one")
		task.snapshotAt = task.nextSnapshotTime()
	}
}

func (task *Task) finishChange(verdict Verdict) {
	if verdict.Record.Kind == Snapshot && task.state.Kept().Revision == 0 {
		task.snapshotAt = task.nextSnapshotTime()
	}
	if verdict.Err != nil {
		task.Recorder.Record("revision", "refused a change of "+verdict.Record.Author+": "+verdict.Err.Error())
	}
	if waiting, found := task.pending[verdict.Record.ID]; found {
		waiting.reply <- verdict
		delete(task.pending, verdict.Record.ID)
	}
}

// publish checks a change and appends it to the log. The verdict is sent once the record has been read back, as its
// place in the log decides whether it is accepted.
func (task *Task) publish(ctx context.Context, request Publish) {
	record := request.Record
	present := task.state.Configuration.Revision
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	if record.Base == 0 {
		record = record.WithBase(present)
	}
	if err := task.state.Check(record); err != nil {
		request.Reply <- Verdict{Record: record, Revision: present, Err: err}
		return
	}
	task.pending[record.ID] = pendingChange{reply: request.Reply, deadline: task.Clock.Now().Add(publishTimeout)}
	go task.append(ctx, record)
}

// append writes a record to the log. It runs in its own goroutine. An error is only logged: the append may have taken
// effect all the same, which shows when the log is read.
func (task *Task) append(ctx context.Context, record Record) {
	body, err := record.Encode()
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, task.Clock.Now().Add(publishTimeout))
		defer cancel()
		_, err = task.Log.Append(ctx, coltsfootlink.ConfigurationStream, body)
	}
	if err != nil {
		task.Logger.Warn().Err(err).Msg("revision: log did not confirm the append of a record; it may or may not be on the log")
	}
}

// sendConfiguration sends the configuration to another instance.
func (task *Task) sendConfiguration(to coltsfootlink.InstanceName) {
	if task.state.Configuration.Revision == 0 {
		return
	}
	document, err := settings.FormatFleet(task.state.Configuration)
	if err != nil {
		task.Logger.Error().Err(err).Msg("revision: configuration cannot be encoded; not sent to a peer")
		return
	}
	task.Sender.Send(to, coltsfootlink.RevisionReply{
		Revision: task.state.Configuration.Revision,
		Position: task.state.Configuration.Position,
		Document: document,
	})
}

// adoptNewer adopts the configuration of another instance if it is newer.
func (task *Task) adoptNewer(from coltsfootlink.InstanceName, reply coltsfootlink.RevisionReply) {
	state, newer, err := task.state.WithPeer(reply)
	if err != nil {
		task.Logger.Error().Err(err).Str("instance", string(from)).Msg("revision: configuration of a peer is invalid; keeping the present one")
		return
	}
	if newer {
		task.state = state
		task.Recorder.Record("revision", "follows instance "+string(from))
		task.notifySubscribers()
	}
}

func (task *Task) notifySubscribers() {
	if task.state.Configuration.Revision == 0 {
		return
	}
	task.Recorder.Record("revision", "revision "+task.state.Configuration.Revision.String()+" is in force")
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{Message: coltsfootlink.ConfigurationChanged{Configuration: task.state.Configuration}})
	}
}

func (task *Task) tick(ctx context.Context) {
	now := task.Clock.Now()
	for id, waiting := range task.pending {
		if now.After(waiting.deadline) {
			waiting.reply <- Verdict{Err: ErrUnconfirmed}
			delete(task.pending, id)
		}
	}
	if now.After(task.snapshotAt) && task.state.Configuration.Revision > 0 {
		task.snapshotAt = task.nextSnapshotTime()
		task.snapshot(ctx)
	}
}

// nextSnapshotTime returns when the next snapshot is due. Jitter of up to a quarter of snapshotInterval spreads the
// instances, so that usually one of them writes the snapshot and the others postpone theirs when they read it.
func (task *Task) nextSnapshotTime() time.Time {
	jitter := time.Duration(rand.Int64N(int64(snapshotInterval / 4)))
	return task.Clock.Now().Add(snapshotInterval + jitter)
}

// snapshot appends the whole configuration to the log, before the log drops the records that it results from.
func (task *Task) snapshot(ctx context.Context) {
	record, err := task.state.Snapshot(string(task.Self))
	if err != nil {
		task.Logger.Error().Err(err).Msg("revision: configuration cannot be encoded; no snapshot written to the log")
		return
	}
	if task.state.Kept().Revision > 0 {
		metrics.Count("configurations-written-again")
		task.Logger.Info().Stringer("revision", record.Base).Stringer("over", record.Over).Msg("revision: writing the changes again that a restore of the store has lost")
		task.snapshotAt = task.Clock.Now().Add(publishTimeout)
	}
	record.ID = uuid.NewString()
	go task.append(ctx, record)
}

// answer returns the table for an operator's query.
func (task *Task) answer(subject coltsfootlink.Subject) coltsfootlink.Table {
	if subject == coltsfootlink.MovesSubject {
		return task.moves()
	}
	if subject == coltsfootlink.ZonesSubject {
		table := coltsfootlink.Table{Columns: []string{"zone", "state"}}
		for _, zone := range task.state.Configuration.Zones {
			table = table.WithRow(string(zone.Name), zoneState(zone))
		}
		return table
	}
	table := coltsfootlink.Table{Columns: []string{"instance", "revision"}}
	return table.WithRow(string(task.Self), task.state.Configuration.Revision.String())
}

func (task *Task) moves() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"pool", "from", "to", "state", "finish-by", "reason"}}
	for _, move := range task.state.Configuration.Moves {
		table = table.WithRow(string(move.Pool), string(move.From), string(move.To), string(move.State),
			move.FinishBy.UTC().Format(time.RFC3339), move.Reason)
	}
	return table
}

func zoneState(zone coltsfootlink.AvailabilityZone) string {
	if zone.Out {
		return "out"
	}
	return "in"
}
