// Package owner has the task that grants the permits of the shards that an instance owns.
package owner

import (
	"context"
	"strconv"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/permit"
)

const (
	// tickInterval is the time between two looks at the deadlines.
	tickInterval = 100 * time.Millisecond
	// ownInterval is the time between two looks at who should own what.
	ownInterval = time.Second
	// pauseLimit is how long the task may stand still before its knowledge is out of date.
	pauseLimit = time.Second
)

// Task owns the targets' limits and the service counters of the shards of an instance.
type Task struct {
	Self  coltsfootlink.InstanceName
	Rules permit.Rules
	// CounterInterval is the time between two exchanges of service counters.
	CounterInterval time.Duration
	Clock           coltsfootlink.Clock
	Sender          coltsfootlink.Sender
	Recorder        coltsfootlink.Recorder
	Inbox           *mailbox.Deliveries
	// Coordinator returns the instance that ends the moves of a pool.
	Coordinator func(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool)
	// Revision receives the records of moves that end.
	Revision *mailbox.Deliveries
	// Probes receives the targets that are to be asked for reports.
	Probes *mailbox.Deliveries

	state         permit.State
	configuration coltsfootlink.Configuration
	view          coltsfootlink.View
	targets       []coltsfootlink.Target
	countersAt    time.Time
	moves         moves
	// ownAt is when the task looks next whether it should own more.
	ownAt time.Time
	// lookAt is when the ages and deadlines of permits are looked at next.
	lookAt time.Time
	// activeUntil is when the task counts as having stood still.
	activeUntil time.Time
}

// Run grants permits until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.state = permit.NewState(task.Self, task.Rules)
	task.moves = newMoves()
	task.activeUntil = task.Clock.Now().Add(pauseLimit)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-task.Inbox.Ready():
		}
		task.notePause()
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
		task.act()
	}
}

// notePause makes the shards collect announcements again after the process stood still.
func (task *Task) notePause() {
	now := task.Clock.Now()
	if now.After(task.activeUntil) {
		task.Recorder.Record("owner", "stood still, collects the permits again")
		task.step(task.state.WithPause(now))
	}
	task.activeUntil = now.Add(pauseLimit)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	now := task.Clock.Now()
	if delivery.From != "" {
		task.state = task.state.WithTouch(now, delivery.From)
	}
	switch message := delivery.Message.(type) {
	case coltsfootlink.Demand:
		task.step(task.state.WithDemand(delivery.From, message))
	case coltsfootlink.Release:
		task.state = task.state.WithRelease(now, message)
		task.probe(message)
	case coltsfootlink.Holdings:
		task.step(task.state.WithHoldings(now, delivery.From, message))
	case coltsfootlink.Takeover:
		task.state = task.state.WithTakeover(message)
		task.shareCounters(message)
		task.repeatFaults(message.Owner)
	case coltsfootlink.LinkBroken:
		task.state = task.state.WithBrokenLink(now, message.To)
	case coltsfootlink.Counters:
		task.state = task.state.WithCounters(message)
	case coltsfootlink.MoveFault:
		task.noteFault(message)
	case coltsfootlink.MoveProgress:
		task.moves.progress[message.Shard] = progress{report: message, until: now.Add(progressLimit)}
	case coltsfootlink.LogState:
		task.moves.logUp = message.Up
	case coltsfootlink.LoadReported:
		task.step(task.state.WithLoad(now, message.Load, message.Asked))
	case coltsfootlink.LoadMissing:
		task.step(task.state.WithMissingLoad(now, message))
	case coltsfootlink.ConfigurationChanged:
		task.configuration = message.Configuration
		task.own(task.state.WithConfiguration(now, message.Configuration))
	case coltsfootlink.ViewChanged:
		task.view = message.View
		task.own(task.state.WithView(now, message.View))
	case coltsfootlink.ListChanged:
		task.targets = message.Listing.Targets
		task.own(task.state.WithTargets(now, message.Listing.Targets))
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer()
	}
}

// act grants what can be granted and sends counters when it is time.
func (task *Task) act() {
	now := task.Clock.Now()
	if !now.Before(task.ownAt) {
		task.ownAt = now.Add(ownInterval)
		task.own(task.state.WithOwnership(now))
	}
	if !now.Before(task.lookAt) {
		task.lookAt = now.Add(tickInterval)
		task.state = task.state.WithAgedCharges(now)
		task.step(task.state.WithoutExpired(now))
	}
	task.actOnMoves(now)
	task.step(task.state.WithGrants(now))
	if now.Before(task.countersAt) {
		return
	}
	task.countersAt = now.Add(task.CounterInterval)
	for _, counters := range task.state.Counters() {
		for _, receiver := range task.counterReceivers(counters.Pool) {
			task.Sender.Send(receiver, counters)
		}
		task.state = task.state.WithSentCounters(counters.Pool)
	}
}

// step takes the next state and sends what follows from it.
func (task *Task) step(state permit.State, posts []permit.Post) {
	task.state = state
	for _, post := range posts {
		task.Sender.Send(post.To, post.Message)
	}
}

// own takes the next state and tells the prober and the time line of changed ownership.
func (task *Task) own(state permit.State, posts []permit.Post) {
	before := task.state.Shards()
	for _, fault := range task.moves.faults {
		state = state.WithMoveFault(fault)
	}
	task.step(state, posts)
	after := state.Shards()
	task.recordOwnership(before, after, "gives up shard")
	task.recordOwnership(after, before, "takes over shard")
	var targets []coltsfootlink.Target
	for _, slot := range state.Slots() {
		targets = append(targets, slot.Target)
	}
	task.Probes.Put(coltsfootlink.Delivery{Message: probeTargets{targets: targets}})
}

// probe asks a target for a report at once when a connection to it broke.
func (task *Task) probe(release coltsfootlink.Release) {
	if release.Usage.Result == coltsfootlink.Crashed || release.Usage.Result == coltsfootlink.Refused {
		task.Probes.Put(coltsfootlink.Delivery{Message: probeNow{target: release.Permit.Target}})
	}
}

func (task *Task) recordOwnership(has, lacks []coltsfootlink.Shard, text string) {
	known := make(map[coltsfootlink.Shard]bool, len(lacks))
	for _, shard := range lacks {
		known[shard] = true
	}
	for _, shard := range has {
		if !known[shard] {
			task.Recorder.Record("owner", text+" "+shard.String())
		}
	}
}

// shareCounters gives a new owner all that is known of the pool's service.
func (task *Task) shareCounters(takeover coltsfootlink.Takeover) {
	if takeover.Owner == task.Self {
		return
	}
	if counters := task.state.PoolCounters(takeover.Shard.Pool); len(counters.Parts) > 0 {
		task.Sender.Send(takeover.Owner, counters)
	}
}

// counterReceivers returns the other owners of the pool's shards; where there are none, the instances of
// the own zone, so that the counters outlive this instance.
func (task *Task) counterReceivers(pool coltsfootlink.PoolName) []coltsfootlink.InstanceName {
	receivers := make(map[coltsfootlink.InstanceName]bool)
	for shard := range task.Rules.Placement.Shards(task.configuration.Pools[pool], task.view, task.targets) {
		if owner, found := task.Rules.Placement.Owner(shard, task.view); found {
			receivers[owner] = true
		}
	}
	delete(receivers, task.Self)
	if len(receivers) == 0 {
		self, _ := task.view.Member(task.Self)
		for _, member := range task.view.Candidates(self.Zone) {
			receivers[member.Name] = true
		}
		delete(receivers, task.Self)
	}
	names := make([]coltsfootlink.InstanceName, 0, len(receivers))
	for name := range receivers {
		names = append(names, name)
	}
	return names
}

func (task *Task) answer() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"target", "pool", "zone", "version", "state", "limit", "running", "owner"}}
	for _, slot := range task.state.Slots() {
		table = table.WithRow(
			string(slot.Target.Name), string(slot.Target.Pool), string(slot.Target.Zone), string(slot.Target.Version),
			slot.State(), strconv.Itoa(slot.Limit()), strconv.Itoa(slot.Held()), string(task.Self),
		)
	}
	return table
}
