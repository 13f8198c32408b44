package move

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
)

const (
	// interval is the time between two words on a running move, and endInterval on one that has ended.
	interval    = 250 * time.Millisecond
	endInterval = time.Second
	// recordLimit is how long recording a state may take.
	recordLimit = 3 * time.Second
	// recordPause is the time between two attempts to record.
	recordPause = 500 * time.Millisecond
)

// Task follows the moves of the pools that its instance coordinates.
type Task struct {
	Self    coltsfootlink.InstanceName
	Records coltsfootlink.MoveRecords
	Clock   coltsfootlink.Clock
	Sender  coltsfootlink.Sender
	Log     zerolog.Logger
	Inbox   *mailbox.Deliveries

	catalog coltsfootlink.Catalog
	view    coltsfootlink.View
	// words are what the coordinators have said last.
	words map[coltsfootlink.PoolName]coltsfootlink.Move
	// courses are the moves that the instance coordinates.
	courses map[coltsfootlink.PoolName]coordinated
}

// coordinated is a move that the instance coordinates.
type coordinated struct {
	course Course
	// recorded is the state that the platform has; empty while that is not known.
	recorded coltsfootlink.MoveState
	// busy says that a call to the platform is under way; recordAt is when the next one may be made.
	busy     bool
	recordAt time.Time
	// tellAt is when the instances are next told.
	tellAt time.Time
}

// recorded is the end of an attempt to bring what is recorded up to date.
type recorded struct {
	coltsfootlink.Local

	pool    coltsfootlink.PoolName
	started coltsfootlink.Revision
	// state is what is recorded now.
	state coltsfootlink.MoveState
	err   error
}

// Run follows moves until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.words = make(map[coltsfootlink.PoolName]coltsfootlink.Move)
	task.courses = make(map[coltsfootlink.PoolName]coordinated)
	ticker := time.NewTicker(interval)
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
		task.act(ctx)
	}
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
	case coltsfootlink.ViewChanged:
		task.view = message.View
	case coltsfootlink.MoveWord:
		task.words[message.Move.Pool] = message.Move
	case coltsfootlink.MoveUsages:
		if held, found := task.courses[message.Pool]; found && held.course.Move().Started == message.Started {
			held.course = held.course.WithUsages(task.Clock.Now(), delivery.From, message)
			task.courses[message.Pool] = held
		}
	case recorded:
		task.noteRecorded(message)
	}
}

// act looks after the moves that the instance coordinates.
func (task *Task) act(ctx context.Context) {
	for pool := range task.courses {
		if _, ordered := task.catalog.Moves[pool]; !ordered {
			delete(task.courses, pool)
		}
	}
	for pool, order := range task.catalog.Moves {
		coordinator, found := Coordinator(pool, task.view)
		if !found || coordinator != task.Self {
			delete(task.courses, pool)
			continue
		}
		task.follow(ctx, order)
	}
}

// follow brings one move forward. Until it is known what is recorded of it, the new version gets nothing.
func (task *Task) follow(ctx context.Context, order coltsfootlink.Move) {
	now := task.Clock.Now()
	held, found := task.courses[order.Pool]
	if !found || held.course.Move().Started != order.Started {
		held = coordinated{course: NewCourse(order)}
		if said, known := task.words[order.Pool]; known && said.Started == order.Started {
			held.course = held.course.WithMove(said)
		}
		task.Log.Info().Str("pool", string(order.Pool)).Str("to", string(order.To)).Uint64("started", uint64(order.Started)).
			Time("finish-by", held.course.Move().FinishBy).Str("state", string(held.course.Move().State)).Msg("move: coordinates")
	}
	if held.recorded != "" {
		before := held.course.Move().State
		held.course = held.course.WithTime(now, names(task.view.Live()))
		if after := held.course.Move(); after.State != before {
			held.tellAt = time.Time{}
			task.Log.Info().Str("pool", string(order.Pool)).Str("to", string(order.To)).Str("state", string(after.State)).Str("reason", after.Reason).
				Int("ended", held.course.ended).Msg("move: decided")
		}
		held = task.tell(now, held)
	}
	if held.recorded != held.course.Move().State && !held.busy && !now.Before(held.recordAt) {
		held.busy = true
		go task.record(ctx, held.course.Move(), held.recorded == "")
	}
	task.courses[order.Pool] = held
}

// tell tells all instances how the move stands.
func (task *Task) tell(now time.Time, held coordinated) coordinated {
	if now.Before(held.tellAt) {
		return held
	}
	held.tellAt = now.Add(interval)
	if held.course.Move().State != coltsfootlink.MoveRunning {
		held.tellAt = now.Add(endInterval)
	}
	word := coltsfootlink.MoveWord{Move: held.course.Move(), Share: held.course.Share(now)}
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, word)
	}
	return held
}

// record brings what is recorded up to date. The end of a move that another coordinator has recorded stays, and is
// taken over by one that does not know yet how the move stands.
func (task *Task) record(ctx context.Context, move coltsfootlink.Move, unknown bool) {
	ctx, cancel := context.WithDeadline(ctx, task.Clock.Now().Add(recordLimit))
	defer cancel()
	result := recorded{pool: move.Pool, started: move.Started}
	known, at, err := task.Records.Moves(ctx)
	present := known[move.Pool]
	switch {
	case err != nil:
		result.err = err
	case unknown && present.To == move.To && present.State != "" && present.State != coltsfootlink.MoveRunning:
		result.state = present.State
	case present.To == move.To && present.State == move.State:
		result.state = move.State
	default:
		result.state = move.State
		result.err = task.Records.Record(ctx, move, at)
	}
	task.Inbox.Put(coltsfootlink.Delivery{Message: result})
}

func (task *Task) noteRecorded(message recorded) {
	held, found := task.courses[message.pool]
	if !found || held.course.Move().Started != message.started {
		return
	}
	held.busy = false
	if message.err != nil {
		held.recordAt = task.Clock.Now().Add(recordPause)
		task.Log.Warn().Err(message.err).Str("pool", string(message.pool)).Msg("move: state not recorded")
	} else {
		if held.recorded == "" && message.state != coltsfootlink.MoveRunning {
			held.course = held.course.WithMove(held.course.Move().WithState(message.state, "recorded before"))
		}
		held.recorded = message.state
		task.Log.Info().Str("pool", string(message.pool)).Str("state", string(message.state)).Msg("move: state recorded")
	}
	task.courses[message.pool] = held
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
