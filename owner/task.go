// Package owner contains the task that grants the permits of the shards that an instance owns, and the load prober of
// their targets.
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
	// tickInterval is the time between two checks of the ages and deadlines of permits.
	tickInterval = 100 * time.Millisecond
	// ownershipInterval is the time between two checks of which shards this instance should own.
	ownershipInterval = time.Second
	// suspensionThreshold is how long the task may go without running before its record of held permits counts as out
	// of date.
	suspensionThreshold = time.Second
)

// Task manages the targets' concurrency limits and the service counters for the shards that its instance owns.
type Task struct {
	Self  coltsfootlink.InstanceName
	Rules permit.Rules
	// CounterInterval is the time between two exchanges of service counters.
	CounterInterval time.Duration
	Clock           coltsfootlink.Clock
	Sender          coltsfootlink.Sender
	Recorder        coltsfootlink.Recorder
	Inbox           *mailbox.Deliveries
	// Coordinator returns the instance that ends the version moves of a pool.
	Coordinator func(pool coltsfootlink.PoolName, view coltsfootlink.View) (coltsfootlink.InstanceName, bool)
	// Revision receives the records that end moves.
	Revision *mailbox.Deliveries
	// Probes receives the targets that the prober asks for load reports.
	Probes *mailbox.Deliveries

	state         permit.State
	configuration coltsfootlink.Configuration
	view          coltsfootlink.View
	targets       []coltsfootlink.Target
	countersAt    time.Time
	moves         moves
	// ownershipAt is when shard ownership is checked next.
	ownershipAt time.Time
	// expiryAt is when the ages and deadlines of permits are checked next.
	expiryAt time.Time
	// suspendedAfter is when the process counts as suspended if the task has not run again before.
	suspendedAfter time.Time
}

// Run grants permits until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.state = permit.NewState(task.Self, task.Rules)
	task.moves = newMoves()
	task.suspendedAfter = task.Clock.Now().Add(suspensionThreshold)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-task.Inbox.Ready():
		}
		task.detectSuspension()
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
		task.runPeriodic()
	}
}

// detectSuspension makes the shards collect the held permits again after the process was suspended.
func (task *Task) detectSuspension() {
	now := task.Clock.Now()
	if now.After(task.suspendedAfter) {
		task.Recorder.Record("owner", "stood still, collects the permits again")
		task.apply(task.state.WithSuspension(now))
	}
	task.suspendedAfter = now.Add(suspensionThreshold)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	now := task.Clock.Now()
	if delivery.From != "" {
		task.state = task.state.WithContact(now, delivery.From)
	}
	switch message := delivery.Message.(type) {
	case coltsfootlink.Demand:
		task.apply(task.state.WithDemand(delivery.From, message))
	case coltsfootlink.Release:
		task.state = task.state.WithRelease(now, message)
		task.probeAfterFailure(message)
	case coltsfootlink.Holdings:
		task.apply(task.state.WithHoldings(now, delivery.From, message))
	case coltsfootlink.Takeover:
		task.state = task.state.WithTakeover(message)
		task.sendCounters(message)
		task.resendFaults(message.Owner)
	case coltsfootlink.LinkBroken:
		task.state = task.state.WithBrokenLink(now, message.To)
	case coltsfootlink.Counters:
		task.state = task.state.WithCounters(message)
	case coltsfootlink.MoveFault:
		task.noteFault(message)
	case coltsfootlink.MoveProgress:
		task.moves.progress[message.Shard] = progress{report: message, until: now.Add(progressTTL)}
	case coltsfootlink.LogState:
		task.moves.logUp = message.Up
	case coltsfootlink.LoadReported:
		task.apply(task.state.WithLoad(now, message.Load, message.Asked))
	case coltsfootlink.LoadMissing:
		task.apply(task.state.WithMissingLoad(now, message))
	case coltsfootlink.ConfigurationChanged:
		task.configuration = message.Configuration
		task.applyOwnership(task.state.WithConfiguration(now, message.Configuration))
	case coltsfootlink.ViewChanged:
		task.view = message.View
		task.applyOwnership(task.state.WithView(now, message.View))
	case coltsfootlink.ListChanged:
		task.targets = message.Listing.Targets
		task.applyOwnership(task.state.WithTargets(now, message.Listing.Targets))
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer()
	}
}

// runPeriodic does the periodic work that is due, grants permits while targets have headroom, and sends the changed
// service counters at each counter interval.
func (task *Task) runPeriodic() {
	now := task.Clock.Now()
	if !now.Before(task.ownershipAt) {
		task.ownershipAt = now.Add(ownershipInterval)
		task.applyOwnership(task.state.WithOwnership(now))
	}
	if !now.Before(task.expiryAt) {
		task.expiryAt = now.Add(tickInterval)
		task.state = task.state.WithAgedCharges(now)
		task.apply(task.state.WithoutExpired(now))
	}
	task.actOnMoves(now)
	task.apply(task.state.WithGrants(now))
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

// apply sets the new state and sends the messages that result from it.
func (task *Task) apply(state permit.State, envelopes []permit.Envelope) {
	task.state = state
	for _, envelope := range envelopes {
		task.Sender.Send(envelope.To, envelope.Message)
	}
}

// applyOwnership sets a new state in which ownership may have changed, records the changes on the timeline and sends
// the targets to the prober.
func (task *Task) applyOwnership(state permit.State, envelopes []permit.Envelope) {
	before := task.state.Shards()
	for _, fault := range task.moves.faults {
		state = state.WithMoveFault(fault)
	}
	task.apply(state, envelopes)
	after := state.Shards()
	task.recordOwnership(before, after, "gives up shard")
	task.recordOwnership(after, before, "takes over shard")
	var targets []coltsfootlink.Target
	for _, slot := range state.Slots() {
		targets = append(targets, slot.Target)
	}
	task.Probes.Put(coltsfootlink.Delivery{Message: probeTargets{targets: targets}})
}

// probeAfterFailure probes a target at once if a connection to it broke or was refused.
func (task *Task) probeAfterFailure(release coltsfootlink.Release) {
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

// sendCounters sends all known service counters of the pool to the new owner of one of its shards.
func (task *Task) sendCounters(takeover coltsfootlink.Takeover) {
	if takeover.Owner == task.Self {
		return
	}
	if counters := task.state.PoolCounters(takeover.Shard.Pool); len(counters.Parts) > 0 {
		task.Sender.Send(takeover.Owner, counters)
	}
}

// counterReceivers returns the other owners of the pool's shards. If there are none, it returns the instances of the
// own zone, so that the counters survive the loss of this instance.
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
