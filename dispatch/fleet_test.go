package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/admission"
	"coltsfootlink/engine"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
)

const (
	fleetSize = 3
	// coldLimit is the maximum number of requests that a cold target gets in any second of the test: a rate of 14,
	// an overage of 1.5 and a slack of 5 make 14 x 1.5 + 5.
	coldLimit    = 26
	stepDuration = 20 * time.Millisecond
)

var (
	coldPool        = coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 500_000, ColdStartDuration: 3 * time.Second, ColdPerSecond: 14}
	admissionPolicy = admission.Policy{
		Rates:          engine.Rates{PromptTokensPerMilli: 100, StepMillis: 4, ChunkTokens: 1000, FirstEventMillis: 30},
		ObjectiveShare: 0.75, LargeShare: 0.25, BearableShare: 0.2, SurplusShare: 0.05, MemoryShare: 0.9, ColdOverage: 1.5, ColdSlack: 5, Pace: true,
	}
)

// gateway is one instance: its dispatch task, and the ledgers of the targets that it considers its own.
type gateway struct {
	name    coltsfootlink.InstanceName
	task    *Task
	ledgers map[coltsfootlink.TargetName]admission.Ledger
	view    coltsfootlink.View
}

// envelope is a message in transit.
type envelope struct {
	from, to  coltsfootlink.InstanceName
	message   coltsfootlink.Message
	deliverAt time.Time
}

// execution is a request that runs on a target.
type execution struct {
	gateway coltsfootlink.InstanceName
	serial  uint64
	endsAt  time.Time
}

// fleet simulates instances whose messages are delayed, lost, duplicated and reordered, and whose views differ.
type fleet struct {
	t        *rapid.T
	clock    *fakeClock
	catalog  coltsfootlink.Catalog
	gateways map[coltsfootlink.InstanceName]*gateway
	names    []coltsfootlink.InstanceName
	inFlight []envelope
	// partition is the side of the network partition that an instance is on; its view is updated at viewUpdateAt.
	partition    map[coltsfootlink.InstanceName]int
	viewUpdateAt map[coltsfootlink.InstanceName]time.Time
	replies      []chan Choice
	askedBy      []coltsfootlink.InstanceName
	executions   []execution
	sentAt       map[coltsfootlink.TargetName][]time.Time
	requests     int
}

// lossySender sends the messages of one instance over the simulated network.
type lossySender struct {
	fleet *fleet
	from  coltsfootlink.InstanceName
}

// Send queues a message for delivery; some messages to other instances are lost, and some are duplicated.
func (sender lossySender) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	fleet := sender.fleet
	copies := 1
	if to != sender.from {
		switch rapid.IntRange(0, 19).Draw(fleet.t, "copies") {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
		if fleet.partition[sender.from] != fleet.partition[to] {
			copies = 0
		}
	}
	for range copies {
		delay := time.Duration(rapid.IntRange(0, 8).Draw(fleet.t, "delay")) * stepDuration
		if to == sender.from {
			delay = 0
		}
		fleet.inFlight = append(fleet.inFlight, envelope{from: sender.from, to: to, message: message, deliverAt: fleet.clock.now.Add(delay)})
	}
}

func newFleet(t *rapid.T, cold bool) *fleet {
	fleet := &fleet{
		t: t, clock: &fakeClock{now: time.UnixMilli(1_700_000_000_000)}, gateways: make(map[coltsfootlink.InstanceName]*gateway),
		partition: make(map[coltsfootlink.InstanceName]int), viewUpdateAt: make(map[coltsfootlink.InstanceName]time.Time),
		sentAt: make(map[coltsfootlink.TargetName][]time.Time),
	}
	fleet.catalog = fleet.catalog.WithTable(coltsfootlink.RoutingTable{Version: 1}.WithPool(coldPool))
	for number := range 2 {
		target := targetIn(coltsfootlink.TargetName(fmt.Sprint("t-", number)), "z")
		target.Slots = 64
		if cold {
			target = target.WithColdUntil(fleet.clock.now.Add(time.Hour))
		}
		fleet.catalog = fleet.catalog.WithTarget(target)
	}
	for number := range fleetSize {
		name := coltsfootlink.InstanceName(fmt.Sprint("i-", number))
		fleet.names = append(fleet.names, name)
		task := &Task{
			Self: coltsfootlink.Instance{Name: name, Zone: "z"}, Clock: fleet.clock, Sender: lossySender{fleet: fleet, from: name}, Log: zerolog.Nop(),
			Inbox: mailbox.NewDeliveries(), RetryShare: 0.1, RetrySlack: 1,
		}
		task.reset()
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: fleet.catalog}})
		fleet.gateways[name] = &gateway{name: name, task: task, ledgers: make(map[coltsfootlink.TargetName]admission.Ledger)}
	}
	for _, name := range fleet.names {
		fleet.updateView(name)
	}
	return fleet
}

// updateView brings an instance's view up to date, and creates and drops ledgers by the owners in the new view.
func (fleet *fleet) updateView(name coltsfootlink.InstanceName) {
	gateway := fleet.gateways[name]
	var view coltsfootlink.View
	for _, other := range fleet.names {
		live := fleet.partition[other] == fleet.partition[name]
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: other, Zone: "z"}, Live: live})
		if !live {
			for target, ledger := range gateway.ledgers {
				gateway.ledgers[target] = ledger.WithoutHolder(other)
			}
		}
	}
	gateway.view = view
	for _, target := range fleet.catalog.Targets {
		owner, _ := ownership.TargetOwner(target, view)
		_, owned := gateway.ledgers[target.Name]
		switch {
		case owner != name:
			delete(gateway.ledgers, target.Name)
		case !owned:
			gateway.ledgers[target.Name] = admission.NewLedger(fleet.clock.now, target, coldPool, admissionPolicy)
		}
	}
	gateway.task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
}

// deliver delivers the messages that are due. Their random delays reorder them.
func (fleet *fleet) deliver() {
	for {
		var due, later []envelope
		for _, sent := range fleet.inFlight {
			if sent.deliverAt.After(fleet.clock.now) {
				later = append(later, sent)
			} else {
				due = append(due, sent)
			}
		}
		if len(due) == 0 {
			return
		}
		fleet.inFlight = later
		for _, sent := range due {
			fleet.receive(sent)
		}
	}
}

// receive handles a message at its recipient.
func (fleet *fleet) receive(sent envelope) {
	gateway := fleet.gateways[sent.to]
	now := fleet.clock.now
	switch message := sent.message.(type) {
	case coltsfootlink.Ask:
		ledger, owned := gateway.ledgers[message.Target]
		verdict := coltsfootlink.Verdict{Serial: message.Serial, Reason: coltsfootlink.NotTheOwner}
		if owned {
			gateway.ledgers[message.Target], verdict = ledger.WithAsk(now, sent.from, message)
		}
		lossySender{fleet: fleet, from: gateway.name}.Send(sent.from, verdict)
	case coltsfootlink.Progress:
		if ledger, owned := gateway.ledgers[message.Target]; owned {
			gateway.ledgers[message.Target] = ledger.WithProgress(now, sent.from, message)
		}
	case coltsfootlink.Held:
		if ledger, owned := gateway.ledgers[message.Target]; owned {
			gateway.ledgers[message.Target] = ledger.WithHeld(now, sent.from, message)
		}
	default:
		gateway.task.handle(coltsfootlink.Delivery{From: sent.from, Message: sent.message})
	}
}

// submit sends the request of a caller to an instance.
func (fleet *fleet) submit(at coltsfootlink.InstanceName) {
	reply := make(chan Choice, 1)
	request := newWant(fleet.clock, reply)
	fleet.requests++
	request.ID = coltsfootlink.RequestID(fmt.Sprint("r-", fleet.requests))
	request.Work.PromptTokens = 110
	request.Deadline = fleet.clock.now.Add(4 * time.Second)
	fleet.replies = append(fleet.replies, reply)
	fleet.askedBy = append(fleet.askedBy, at)
	fleet.gateways[at].task.handle(coltsfootlink.Delivery{Message: request})
}

// runRequests starts the requests that have been given a target, and ends those that have run long enough.
func (fleet *fleet) runRequests() {
	var open []chan Choice
	var askedBy []coltsfootlink.InstanceName
	for index, reply := range fleet.replies {
		select {
		case choice := <-reply:
			if choice.Refusal == nil {
				fleet.sentAt[choice.Target.Name] = append(fleet.sentAt[choice.Target.Name], fleet.clock.now)
				duration := time.Duration(rapid.IntRange(1, 40).Draw(fleet.t, "run time")) * stepDuration
				fleet.executions = append(fleet.executions, execution{gateway: fleet.askedBy[index], serial: choice.Serial, endsAt: fleet.clock.now.Add(duration)})
			}
		default:
			open = append(open, reply)
			askedBy = append(askedBy, fleet.askedBy[index])
		}
	}
	fleet.replies, fleet.askedBy = open, askedBy
	var remaining []execution
	for _, running := range fleet.executions {
		if running.endsAt.After(fleet.clock.now) {
			remaining = append(remaining, running)
			continue
		}
		task := fleet.gateways[running.gateway].task
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: running.serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded, Millis: 10}})
	}
	fleet.executions = remaining
}

// repartition assigns the instances to the sides of a network partition at random; if all are on one side, the
// partition has healed. Their views follow within half a second.
func (fleet *fleet) repartition() {
	for _, name := range fleet.names {
		fleet.partition[name] = rapid.IntRange(0, 1).Draw(fleet.t, "partition")
		fleet.viewUpdateAt[name] = fleet.clock.now.Add(time.Duration(rapid.IntRange(0, 25).Draw(fleet.t, "view delay")) * stepDuration)
	}
}

func (fleet *fleet) step() {
	fleet.clock.now = fleet.clock.now.Add(stepDuration)
	for _, name := range fleet.names {
		if at := fleet.viewUpdateAt[name]; !at.IsZero() && !at.After(fleet.clock.now) {
			delete(fleet.viewUpdateAt, name)
			fleet.updateView(name)
		}
	}
	fleet.deliver()
	for _, name := range fleet.names {
		fleet.gateways[name].task.expire()
	}
	fleet.deliver()
	fleet.runRequests()
}

// TestUnreliableNetwork checks that each request gets one target or one refusal, that no permit stays counted for
// good, and that cold targets get no more requests than they can sustain in any second, while messages are lost,
// duplicated and delayed, the network is partitioned and owners change.
func TestUnreliableNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t, rapid.Bool().Draw(t, "cold"))
		nextPartition := 60
		for step := range 300 {
			if step == nextPartition {
				fleet.repartition()
				nextPartition = step + rapid.IntRange(90, 150).Draw(t, "steps to next partition")
			}
			for range rapid.IntRange(0, 3).Draw(t, "callers") {
				fleet.submit(rapid.SampledFrom(fleet.names).Draw(t, "caller"))
			}
			fleet.step()
		}
		if fleet.catalog.Targets["t-0"].ColdUntil.After(fleet.clock.now) {
			fleet.checkColdLimit()
		}
		clear(fleet.partition)
		for _, name := range fleet.names {
			fleet.viewUpdateAt[name] = fleet.clock.now
		}
		for range 300 {
			fleet.step()
		}
		fleet.checkNothingPending()
	})
}

// checkColdLimit fails if a target got more requests in any second than a cold target can sustain.
func (fleet *fleet) checkColdLimit() {
	for target, times := range fleet.sentAt {
		for first := range times {
			last := first
			for last+1 < len(times) && times[last+1].Before(times[first].Add(time.Second)) {
				last++
			}
			if count := last - first + 1; count > coldLimit {
				fleet.t.Fatalf("%s got %d requests within a second, want at most %d", target, count, coldLimit)
			}
		}
	}
}

// checkNothingPending fails if a request has no reply, or a permit is still counted.
func (fleet *fleet) checkNothingPending() {
	if len(fleet.replies) > 0 {
		fleet.t.Fatalf("%d requests got no reply", len(fleet.replies))
	}
	for _, name := range fleet.names {
		gateway := fleet.gateways[name]
		if len(gateway.task.pending)+len(gateway.task.running) > 0 {
			fleet.t.Fatalf("%s still has %d pending and %d running requests", name, len(gateway.task.pending), len(gateway.task.running))
		}
		for target, ledger := range gateway.ledgers {
			if requests, _ := ledger.WithoutExpired(fleet.clock.now).Load(fleet.clock.now); requests > 0 {
				fleet.t.Fatalf("the ledger of %s still counts %d requests", target, requests)
			}
		}
	}
}
