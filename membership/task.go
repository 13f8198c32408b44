package membership

import (
	"context"
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Task sends heartbeats and tells other tasks which instances are live.
type Task struct {
	Self  coltsfootlink.Instance
	Seeds []coltsfootlink.Instance
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Silence is how long an instance may leave questions unanswered, the half of it those of others, before it no
	// longer counts as live.
	Silence time.Duration
	// Fanout is the number of instances that are asked for a sign of life in each interval.
	Fanout      int
	Clock       coltsfootlink.Clock
	Sender      coltsfootlink.Sender
	Recorder    coltsfootlink.Recorder
	Inbox       *mailbox.Deliveries
	Subscribers []*mailbox.Deliveries

	state    State
	view     coltsfootlink.View
	revision coltsfootlink.Revision
	peers    map[coltsfootlink.InstanceName]coltsfootlink.Revision
}

// Run keeps the view until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	ticker := time.NewTicker(task.Interval)
	defer ticker.Stop()
	task.publish()
	task.tick()
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
		task.publish()
	}
}

func (task *Task) reset() {
	task.state = NewState(task.Self, task.Seeds, Policy{Fanout: task.Fanout, Interval: task.Interval, AnswerLimit: task.Silence / 2})
	task.view = coltsfootlink.View{}
	task.peers = make(map[coltsfootlink.InstanceName]coltsfootlink.Revision)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	var outgoing []Outgoing
	switch message := delivery.Message.(type) {
	case coltsfootlink.Heartbeat:
		task.state, outgoing = task.state.WithHeartbeat(task.Clock.Now(), delivery.From, message)
		task.followRevision(delivery.From, message.Revision)
	case coltsfootlink.ListChanged:
		known := task.state.members.Len()
		task.state = task.state.WithListing(message.Listing)
		if task.state.members.Len() > known {
			// The newcomers should not have to wait for the next interval.
			task.tick()
		}
	case coltsfootlink.ConfigurationChanged:
		task.revision = message.Configuration.Revision
	case coltsfootlink.SeedsChanged:
		task.state = task.state.WithSeeds(message.Seeds)
	case coltsfootlink.Leave:
		task.state, outgoing = task.state.WithLeaving().WithAnnouncement()
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer()
	}
	task.send(outgoing)
}

// followRevision asks a peer that has a newer configuration for it.
func (task *Task) followRevision(from coltsfootlink.InstanceName, revision coltsfootlink.Revision) {
	task.peers[from] = revision
	if revision > task.revision {
		task.Sender.Send(from, coltsfootlink.RevisionRequest{})
	}
}

func (task *Task) tick() {
	var outgoing []Outgoing
	task.state, outgoing = task.state.WithTick(task.Clock.Now())
	task.send(outgoing)
}

// send sends heartbeats; whom they go to is published first, for else there is no link to them.
func (task *Task) send(outgoing []Outgoing) {
	if len(outgoing) > 0 {
		task.publish()
	}
	for _, heartbeat := range outgoing {
		heartbeat.Heartbeat.Revision = task.revision
		task.Sender.Send(heartbeat.To, heartbeat.Heartbeat)
	}
}

// publish tells the subscribers of a changed view.
func (task *Task) publish() {
	view := task.state.View()
	if slices.Equal(view.Members, task.view.Members) {
		return
	}
	task.record(view)
	task.view = view
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.ViewChanged{View: view}})
	}
}

func (task *Task) record(view coltsfootlink.View) {
	for _, member := range view.Members {
		before, _ := task.view.Member(member.Name)
		switch {
		case member.Live && !before.Live:
			task.Recorder.Record("membership", "instance "+string(member.Name)+" answers")
		case !member.Live && before.Live:
			task.Recorder.Record("membership", "instance "+string(member.Name)+" is silent")
		}
	}
}

func (task *Task) answer() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"instance", "zone", "seen-by", "state", "revision"}}
	for _, member := range task.view.Members {
		revision := task.peers[member.Name]
		if member.Name == task.Self.Name {
			revision = task.revision
		}
		table = table.WithRow(string(member.Name), string(member.Zone), string(task.Self.Name), stateOf(member), revision.String())
	}
	return table
}

func stateOf(member coltsfootlink.Member) string {
	switch {
	case !member.Live:
		return "silent"
	case member.Leaving:
		return "leaving"
	default:
		return "live"
	}
}
