package relay

import (
	"context"
	"net"
	"sync/atomic"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
)

// refused tells the task that an address has taken no connection.
type refused struct {
	coltsfootlink.Local
	address string
}

// Task owns the plan of an instance: it is the doorman of the callers' server.
type Task struct {
	Self coltsfootlink.Instance
	// Port is where every instance takes connections of others.
	Port string
	// Most bounds the connections that are passed on at a time, and MostOpening those of them that no other instance has
	// taken yet: where the processor cannot follow, to refuse costs less.
	Most, MostOpening int64
	// Draw returns a random number from 0 to 1.
	Draw  func() float64
	Clock coltsfootlink.Clock
	Inbox *mailbox.Deliveries

	// plan is read by the callers' server.
	plan atomic.Pointer[Plan]
	open atomic.Int64
	// opening is the number of connections that no other instance has taken yet.
	opening atomic.Int64
	// life ends the connections that are passed on.
	life atomic.Pointer[context.Context]
}

// Run follows the processor and the other instances until the context ends, and with it the connections that are
// passed on.
func (task *Task) Run(ctx context.Context) error {
	task.life.Store(&ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-task.Inbox.Ready():
		}
		plan := task.Plan()
		for _, delivery := range task.Inbox.Drain() {
			plan = task.follow(plan, delivery.Message)
		}
		task.plan.Store(&plan)
	}
}

func (task *Task) follow(plan Plan, message coltsfootlink.Message) Plan {
	switch message := message.(type) {
	case pressure.Changed:
		return plan.WithPressure(message.State)
	case coltsfootlink.ViewChanged:
		return plan.WithAddresses(task.addresses(message.View))
	case refused:
		return plan.WithRefusal(task.Clock.Now(), message.address)
	default:
		return plan
	}
}

// addresses returns where the others of the zone take connections.
func (task *Task) addresses(view coltsfootlink.View) []string {
	var addresses []string
	for _, member := range view.Candidates(task.Self.Zone) {
		if host, _, err := net.SplitHostPort(member.PeerAddress); err == nil && member.Name != task.Self.Name {
			addresses = append(addresses, net.JoinHostPort(host, task.Port))
		}
	}
	return addresses
}

// Plan returns how much is passed on now.
func (task *Task) Plan() Plan {
	if plan := task.plan.Load(); plan != nil {
		return *plan
	}
	return Plan{}
}

// Passes says whether a new connection would be passed on; so that a caller does better to open one.
func (task *Task) Passes() bool {
	return task.open.Load() < task.Most && task.opening.Load() < task.MostOpening && task.Plan().Passes(task.Clock.Now(), task.Draw())
}

// Room says whether another instance of the zone may have room.
func (task *Task) Room() bool { return task.Plan().Room(task.Clock.Now()) }

// Open is the number of connections that are being passed on.
func (task *Task) Open() int64 { return task.open.Load() }

// Admit passes a connection on, refuses it unread, or has it served here.
func (task *Task) Admit(caller net.Conn, back func(net.Conn)) net.Conn {
	life := task.life.Load()
	if life == nil || !task.Passes() {
		return task.serveOrRefuse(caller)
	}
	task.open.Add(1)
	task.opening.Add(1)
	now := task.Clock.Now()
	passing := &passing{task: task, caller: caller, back: back, sentAt: now.Add(-task.Plan().wait)}
	go func() {
		defer task.open.Add(-1)
		passing.run(*life)
	}()
	return nil
}

// serveOrRefuse returns a connection that is not passed on, or refuses its request for a part of what it takes to read it.
func (task *Task) serveOrRefuse(caller net.Conn) net.Conn {
	if task.Plan().Refuses(task.Draw()) && refuse(caller) {
		return nil
	}
	return caller
}

// tell notes that an address has taken no connection.
func (task *Task) tell(address string) {
	task.Inbox.Put(coltsfootlink.Delivery{Message: refused{address: address}})
}
