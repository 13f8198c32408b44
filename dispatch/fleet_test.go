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
	// coldBound is how many requests a cold target of the test bears in a second: 14 x 1.5 + 5.
	coldBound = 26
	stepSpan  = 20 * time.Millisecond
)

var (
	coldTraits = coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 500_000, ColdStartDuration: 3 * time.Second, ColdPerSecond: 14}
	letsIn     = admission.Policy{
		Rates:          engine.Rates{PromptTokensPerMilli: 100, StepMillis: 4, ChunkTokens: 1000, FirstMillis: 30},
		ObjectiveShare: 0.75, LargeShare: 0.25, BearableShare: 0.2, SurplusShare: 0.05, MemoryShare: 0.9, ColdOverage: 1.5, ColdSlack: 5,
	}
)

// station is one instance: its dispatch task and the books of the targets that it takes for its own.
type station struct {
	name  coltsfootlink.InstanceName
	task  *Task
	books map[coltsfootlink.TargetName]admission.Ledger
	view  coltsfootlink.View
}

// parcel is a message on its way.
type parcel struct {
	from, to coltsfootlink.InstanceName
	message  coltsfootlink.Message
	at       time.Time
}

// use is a request that a target runs.
type use struct {
	station coltsfootlink.InstanceName
	serial  uint64
	endsAt  time.Time
}

// world is a fleet whose messages are late, lost, doubled and reordered, and whose views differ.
type world struct {
	t        *rapid.T
	clock    *hands
	catalog  coltsfootlink.Catalog
	stations map[coltsfootlink.InstanceName]*station
	order    []coltsfootlink.InstanceName
	parcels  []parcel
	// side is the side of the split that an instance is on; views follow it at followAt.
	side     map[coltsfootlink.InstanceName]int
	followAt map[coltsfootlink.InstanceName]time.Time
	replies  []chan Choice
	asked    []coltsfootlink.InstanceName
	uses     []use
	sentAt   map[coltsfootlink.TargetName][]time.Time
	wants    int
}

// postbox puts an instance's messages on their way.
type postbox struct {
	world *world
	from  coltsfootlink.InstanceName
}

// Send puts a message on its way; some are lost, some doubled.
func (box postbox) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	world := box.world
	copies := 1
	if to != box.from {
		switch rapid.IntRange(0, 19).Draw(world.t, "fate") {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
		if world.side[box.from] != world.side[to] {
			copies = 0
		}
	}
	for range copies {
		delay := time.Duration(rapid.IntRange(0, 8).Draw(world.t, "delay")) * stepSpan
		if to == box.from {
			delay = 0
		}
		world.parcels = append(world.parcels, parcel{from: box.from, to: to, message: message, at: world.clock.now.Add(delay)})
	}
}

func newWorld(t *rapid.T, cold bool) *world {
	world := &world{
		t: t, clock: &hands{now: time.UnixMilli(1_700_000_000_000)}, stations: make(map[coltsfootlink.InstanceName]*station),
		side: make(map[coltsfootlink.InstanceName]int), followAt: make(map[coltsfootlink.InstanceName]time.Time),
		sentAt: make(map[coltsfootlink.TargetName][]time.Time),
	}
	world.catalog = world.catalog.WithTable(coltsfootlink.RoutingTable{Version: 1}.WithPool(coldTraits))
	for number := range 2 {
		target := targetIn(coltsfootlink.TargetName(fmt.Sprint("t-", number)), "z")
		target.Slots = 64
		if cold {
			target = target.WithColdUntil(world.clock.now.Add(time.Hour))
		}
		world.catalog = world.catalog.WithTarget(target)
	}
	for number := range fleetSize {
		name := coltsfootlink.InstanceName(fmt.Sprint("i-", number))
		world.order = append(world.order, name)
		task := &Task{
			Self: coltsfootlink.Instance{Name: name, Zone: "z"}, Clock: world.clock, Sender: postbox{world: world, from: name}, Log: zerolog.Nop(),
			Inbox: mailbox.NewDeliveries(), RetryShare: 0.1, RetrySlack: 1,
		}
		task.reset()
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: world.catalog}})
		world.stations[name] = &station{name: name, task: task, books: make(map[coltsfootlink.TargetName]admission.Ledger)}
	}
	for _, name := range world.order {
		world.follow(name)
	}
	return world
}

// follow brings an instance's view up to date, with the books that it owns by it.
func (world *world) follow(name coltsfootlink.InstanceName) {
	held := world.stations[name]
	var view coltsfootlink.View
	for _, other := range world.order {
		live := world.side[other] == world.side[name]
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: other, Zone: "z"}, Live: live})
		if !live {
			for target, book := range held.books {
				held.books[target] = book.WithoutHolder(other)
			}
		}
	}
	held.view = view
	for _, target := range world.catalog.Targets {
		owner, _ := ownership.TargetOwner(target, view)
		_, owned := held.books[target.Name]
		switch {
		case owner != name:
			delete(held.books, target.Name)
		case !owned:
			held.books[target.Name] = admission.NewLedger(world.clock.now, target, coldTraits, letsIn)
		}
	}
	held.task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
}

// deliver brings the messages whose time has come; the bag's order is not that of sending.
func (world *world) deliver() {
	for {
		var due, later []parcel
		for _, sent := range world.parcels {
			if sent.at.After(world.clock.now) {
				later = append(later, sent)
			} else {
				due = append(due, sent)
			}
		}
		if len(due) == 0 {
			return
		}
		world.parcels = later
		for _, sent := range due {
			world.hand(sent)
		}
	}
}

// hand gives a message to whom it goes.
func (world *world) hand(sent parcel) {
	held := world.stations[sent.to]
	now := world.clock.now
	switch message := sent.message.(type) {
	case coltsfootlink.Ask:
		book, owned := held.books[message.Target]
		verdict := coltsfootlink.Verdict{Serial: message.Serial, Reason: coltsfootlink.NotTheOwner}
		if owned {
			held.books[message.Target], verdict = book.WithAsk(now, sent.from, message)
		}
		postbox{world: world, from: held.name}.Send(sent.from, verdict)
	case coltsfootlink.Progress:
		if book, owned := held.books[message.Target]; owned {
			held.books[message.Target] = book.WithProgress(now, sent.from, message)
		}
	case coltsfootlink.Held:
		if book, owned := held.books[message.Target]; owned {
			held.books[message.Target] = book.WithHeld(now, sent.from, message)
		}
	default:
		held.task.handle(coltsfootlink.Delivery{From: sent.from, Message: sent.message})
	}
}

// ask lets a caller come to an instance.
func (world *world) ask(at coltsfootlink.InstanceName) {
	reply := make(chan Choice, 1)
	question := want(world.clock, reply)
	world.wants++
	question.ID = coltsfootlink.RequestID(fmt.Sprint("r-", world.wants))
	question.Work.PromptTokens = 110
	question.Deadline = world.clock.now.Add(4 * time.Second)
	world.replies = append(world.replies, reply)
	world.asked = append(world.asked, at)
	world.stations[at].task.handle(coltsfootlink.Delivery{Message: question})
}

// use sends the requests that have a target, and ends those that have run long enough.
func (world *world) use() {
	var open []chan Choice
	var asked []coltsfootlink.InstanceName
	for place, reply := range world.replies {
		select {
		case choice := <-reply:
			if choice.Refusal == nil {
				world.sentAt[choice.Target.Name] = append(world.sentAt[choice.Target.Name], world.clock.now)
				span := time.Duration(rapid.IntRange(1, 40).Draw(world.t, "runs")) * stepSpan
				world.uses = append(world.uses, use{station: world.asked[place], serial: choice.Serial, endsAt: world.clock.now.Add(span)})
			}
		default:
			open = append(open, reply)
			asked = append(asked, world.asked[place])
		}
	}
	world.replies, world.asked = open, asked
	var left []use
	for _, one := range world.uses {
		if one.endsAt.After(world.clock.now) {
			left = append(left, one)
			continue
		}
		task := world.stations[one.station].task
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: one.serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded, Millis: 10}})
	}
	world.uses = left
}

// split moves instances to the sides of a split, or together again; their views follow within half a second.
func (world *world) split() {
	for _, name := range world.order {
		world.side[name] = rapid.IntRange(0, 1).Draw(world.t, "side")
		world.followAt[name] = world.clock.now.Add(time.Duration(rapid.IntRange(0, 25).Draw(world.t, "lag")) * stepSpan)
	}
}

func (world *world) step() {
	world.clock.now = world.clock.now.Add(stepSpan)
	for _, name := range world.order {
		if at := world.followAt[name]; !at.IsZero() && !at.After(world.clock.now) {
			delete(world.followAt, name)
			world.follow(name)
		}
	}
	world.deliver()
	for _, name := range world.order {
		world.stations[name].task.expire()
	}
	world.deliver()
	world.use()
}

// TestAnyNetwork: whatever happens to messages, each request gets one target or one refusal, no permit stays
// counted for good, and cold targets get what they bear in any second, over splits and owners that change.
func TestAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, rapid.Bool().Draw(t, "cold"))
		nextSplit := 60
		for number := range 300 {
			if number == nextSplit {
				world.split()
				nextSplit = number + rapid.IntRange(90, 150).Draw(t, "calm")
			}
			for range rapid.IntRange(0, 3).Draw(t, "callers") {
				world.ask(rapid.SampledFrom(world.order).Draw(t, "caller"))
			}
			world.step()
		}
		if world.catalog.Targets["t-0"].ColdUntil.After(world.clock.now) {
			world.checkPace()
		}
		clear(world.side)
		for _, name := range world.order {
			world.followAt[name] = world.clock.now
		}
		for range 300 {
			world.step()
		}
		world.checkLeftovers()
	})
}

// checkPace fails if a target got more requests in any second than it bears.
func (world *world) checkPace() {
	for target, times := range world.sentAt {
		for first := range times {
			last := first
			for last+1 < len(times) && times[last+1].Before(times[first].Add(time.Second)) {
				last++
			}
			if count := last - first + 1; count > coldBound {
				world.t.Fatalf("%s got %d requests within a second, and bears %d", target, count, coldBound)
			}
		}
	}
}

// checkLeftovers fails if a request has no answer, or a permit is still counted.
func (world *world) checkLeftovers() {
	if len(world.replies) > 0 {
		world.t.Fatalf("%d requests have no answer", len(world.replies))
	}
	for _, name := range world.order {
		held := world.stations[name]
		if len(held.task.pending)+len(held.task.running) > 0 {
			world.t.Fatalf("%s still has %d pending and %d running requests", name, len(held.task.pending), len(held.task.running))
		}
		for target, book := range held.books {
			if requests, _ := book.WithoutExpired(world.clock.now).Load(world.clock.now); requests > 0 {
				world.t.Fatalf("the book of %s still counts %d requests", target, requests)
			}
		}
	}
}
