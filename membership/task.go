package membership

import (
	"context"
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// publishInterval is the minimum time between two views that subscribers get.
const publishInterval = 100 * time.Millisecond

// Task sends heartbeats and publishes to other tasks which instances are live.
type Task struct {
	Self  coltsfootlink.Instance
	Seeds []coltsfootlink.Instance
	// Interval is the time between heartbeats.
	Interval time.Duration
	// UnresponsiveAfter is how long an instance may fail to reply before it is no longer live: one half of the time to a
	// direct probe, the other to indirect probes.
	UnresponsiveAfter time.Duration
	// Fanout is the number of live instances that are probed in each interval.
	Fanout   int
	Clock    coltsfootlink.Clock
	Sender   coltsfootlink.Sender
	Recorder coltsfootlink.Recorder
	Inbox    *mailbox.Deliveries
	// Links is the mailbox of the task that knows the addresses of instances, which gets each view at once. Subscribers get
	// one in publishInterval at most, since views change many times in a row when instances start or zones are cut off.
	Links       *mailbox.Deliveries
	Subscribers []*mailbox.Deliveries

	state State
	// view is the newest view, which the links have, and published the one that the subscribers have.
	view, published coltsfootlink.View
	// viewChanges is the state's count of view changes when the view was last published.
	viewChanges uint64
	// unpublished indicates that the subscribers do not have the view yet; they get it at publishAt at the earliest.
	unpublished   bool
	publishAt     time.Time
	revision      coltsfootlink.Revision
	peerRevisions map[coltsfootlink.InstanceName]coltsfootlink.Revision
}

// Run keeps the view up to date until the context ends.
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
	task.state = NewState(task.Self, task.Seeds, Policy{Fanout: task.Fanout, Interval: task.Interval, ReplyTimeout: task.UnresponsiveAfter / 2})
	task.view = coltsfootlink.View{}
	task.peerRevisions = make(map[coltsfootlink.InstanceName]coltsfootlink.Revision)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	var outgoing []Outgoing
	switch message := delivery.Message.(type) {
	case coltsfootlink.Heartbeat:
		task.state, outgoing = task.state.WithHeartbeat(task.Clock.Now(), delivery.From, message)
		task.requestNewerRevision(delivery.From, message.Revision)
	case coltsfootlink.ListChanged:
		known := task.state.members.Len()
		task.state = task.state.WithListing(message.Listing)
		if task.state.members.Len() > known {
			// New instances get a heartbeat at once, not only in the next interval.
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

// requestNewerRevision notes a peer's configuration revision, and requests the configuration if it is newer.
func (task *Task) requestNewerRevision(from coltsfootlink.InstanceName, revision coltsfootlink.Revision) {
	task.peerRevisions[from] = revision
	if revision > task.revision {
		task.Sender.Send(from, coltsfootlink.RevisionRequest{})
	}
}

func (task *Task) tick() {
	var outgoing []Outgoing
	task.state, outgoing = task.state.WithTick(task.Clock.Now())
	task.send(outgoing)
}

// send sends heartbeats. It publishes the view first, since links exist only to instances in the published view.
func (task *Task) send(outgoing []Outgoing) {
	if len(outgoing) > 0 {
		task.publish()
	}
	for _, heartbeat := range outgoing {
		heartbeat.Heartbeat.Revision = task.revision
		task.Sender.Send(heartbeat.To, heartbeat.Heartbeat)
	}
}

// publish sends the view to the links if it has changed, and to the subscribers if it is time.
func (task *Task) publish() {
	task.updateView()
	now := task.Clock.Now()
	if !task.unpublished || now.Before(task.publishAt) {
		return
	}
	task.unpublished, task.publishAt, task.published = false, now.Add(publishInterval), task.view
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.ViewChanged{View: task.view}})
	}
}

// updateView takes the view from the state if it has changed, and sends it to the links.
func (task *Task) updateView() {
	if task.viewChanges == task.state.viewChanges && len(task.view.Members) > 0 {
		return
	}
	task.viewChanges = task.state.viewChanges
	view := task.state.View()
	if slices.Equal(view.Members, task.view.Members) {
		return
	}
	task.recordChanges(view)
	task.view, task.unpublished = view.WithIndex(), true
	task.Links.Put(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.ViewChanged{View: task.view}})
}

func (task *Task) recordChanges(view coltsfootlink.View) {
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

// answer lists the instances as the other tasks of this one see them.
func (task *Task) answer() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"instance", "zone", "seen-by", "state", "revision"}}
	for _, member := range task.published.Members {
		revision := task.peerRevisions[member.Name]
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
