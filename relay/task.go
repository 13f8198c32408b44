package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
)

// endPollInterval is the time between two checks whether forwarded connections are left at the end.
const endPollInterval = 10 * time.Millisecond

// connectionRefused is sent to the task when an address has not accepted a connection.
type connectionRefused struct {
	coltsfootlink.Local
	address string
}

// Task owns the forwarding plan of an instance; it is the connection filter of the callers' server.
type Task struct {
	Self coltsfootlink.Instance
	// Port is the port on which every instance accepts forwarded connections.
	Port string
	// MaxOpen limits the connections that are forwarded at a time, and MaxOpening those among them that no other
	// instance has accepted yet: when the processor cannot keep up, refusing is cheaper than forwarding.
	MaxOpen, MaxOpening int64
	// Draw returns a random number from 0 to 1.
	Draw  func() float64
	Clock coltsfootlink.Clock
	Log   zerolog.Logger
	Inbox *mailbox.Deliveries

	// plan is written by Run and read by the callers' server.
	plan atomic.Pointer[Plan]
	// open is the number of connections that are being forwarded.
	open atomic.Int64
	// opening is the number of those that no other instance has accepted yet.
	opening atomic.Int64
	// runContext is the context of Run; forwarded connections are reset when it ends.
	runContext atomic.Pointer[context.Context]
	// shutdown tells the forwarded connections that the instance shuts down.
	shutdown shutdown
}

// Run updates the plan on changes of the CPU pressure and of the zone's other instances, until the context ends.
// Forwarded connections end with the context; Run returns once their callers have their last answers.
func (task *Task) Run(ctx context.Context) error {
	task.runContext.Store(&ctx)
	for {
		select {
		case <-ctx.Done():
			task.awaitEnd()
			return nil
		case <-task.Inbox.Ready():
		}
		plan := task.Plan()
		for _, delivery := range task.Inbox.Drain() {
			plan = task.planAfter(plan, delivery.Message)
		}
		task.plan.Store(&plan)
	}
}

// awaitEnd waits until no forwarded connection is left, but not longer than the callers may take.
func (task *Task) awaitEnd() {
	for deadline := time.Now().Add(endTimeout); task.open.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(endPollInterval)
	}
}

// planAfter returns the plan after a message.
func (task *Task) planAfter(plan Plan, message coltsfootlink.Message) Plan {
	switch message := message.(type) {
	case pressure.Changed:
		return plan.WithPressure(message.State)
	case coltsfootlink.ViewChanged:
		return plan.WithAddresses(task.addresses(message.View))
	case coltsfootlink.Leave:
		return plan.WithLeaving()
	case coltsfootlink.Stopping:
		task.shutdown.announce(message)
		return plan
	case connectionRefused:
		return plan.WithRefusal(task.Clock.Now(), message.address)
	default:
		return plan
	}
}

// addresses returns where the other instances of the zone accept forwarded connections.
func (task *Task) addresses(view coltsfootlink.View) []string {
	var addresses []string
	for _, member := range view.Candidates(task.Self.Zone) {
		if host, _, err := net.SplitHostPort(member.PeerAddress); err == nil && member.Name != task.Self.Name {
			addresses = append(addresses, net.JoinHostPort(host, task.Port))
		}
	}
	return addresses
}

// Plan returns the plan that is in force.
func (task *Task) Plan() Plan {
	if plan := task.plan.Load(); plan != nil {
		return *plan
	}
	return Plan{}
}

// ShouldForward reports whether a new connection would be forwarded now, in which case a caller on an existing
// connection is better off opening a new one.
func (task *Task) ShouldForward() bool {
	return task.open.Load() < task.MaxOpen && task.opening.Load() < task.MaxOpening && task.Plan().ShouldForward(task.Clock.Now(), task.Draw())
}

// HasCapacity reports whether another instance of the zone may have capacity.
func (task *Task) HasCapacity() bool { return task.Plan().HasCapacity(task.Clock.Now()) }

// Open returns the number of connections that are being forwarded.
func (task *Task) Open() int64 { return task.open.Load() }

// Admit forwards a connection, refuses it unread, or returns it to be served here.
func (task *Task) Admit(caller net.Conn, giveBack func(net.Conn)) net.Conn {
	ctx := task.runContext.Load()
	if ctx == nil || !task.ShouldForward() {
		return task.serveOrRefuse(caller)
	}
	task.open.Add(1)
	task.opening.Add(1)
	now := task.Clock.Now()
	forwarding := &forwarding{task: task, caller: caller, giveBack: giveBack, sentAt: now.Add(-task.Plan().cpuWait)}
	go func() {
		defer task.open.Add(-1)
		forwarding.run(*ctx)
	}()
	return nil
}

// serveOrRefuse returns a connection that is not forwarded, or refuses its request for a fraction of the CPU time that
// reading it would take.
func (task *Task) serveOrRefuse(caller net.Conn) net.Conn {
	if task.Plan().ShouldRefuse(task.Draw()) && refuse(caller) {
		return nil
	}
	return caller
}

// reportRefusal reports to the task that an address has not accepted a connection.
func (task *Task) reportRefusal(address string) {
	task.Inbox.Put(coltsfootlink.Delivery{Message: connectionRefused{address: address}})
}
