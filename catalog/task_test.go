package catalog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
)

// recordingSender records the messages that a task sends.
type recordingSender struct {
	sent []coltsfootlink.Delivery
}

// Send records a message; From of the recorded delivery is its recipient.
func (sender *recordingSender) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	sender.sent = append(sender.sent, coltsfootlink.Delivery{From: to, Message: message})
}

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Time }

// Now returns the time set.
func (clock *manualClock) Now() time.Time { return clock.now }

func viewOf(names ...coltsfootlink.InstanceName) coltsfootlink.View {
	var view coltsfootlink.View
	for _, name := range names {
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name, Zone: "a"}, Live: true})
	}
	return view
}

// newTask returns the task of an instance that has read all streams, with its sender and clock.
func newTask(self coltsfootlink.InstanceName, view coltsfootlink.View) (*Task, *recordingSender, *manualClock) {
	sender, clock := new(recordingSender), &manualClock{now: baseTime}
	task := &Task{
		Self: coltsfootlink.Instance{Name: self, Zone: "a"}, Decoder: textDecoder{}, Clock: clock, Sender: sender, Log: zerolog.Nop(),
		Inbox: mailbox.NewDeliveries(),
	}
	task.state = NewState(textDecoder{})
	task.loaded = map[coltsfootlink.CatalogStream]bool{coltsfootlink.OperatorStream: true, coltsfootlink.TargetStream: true}
	task.setView(view)
	task.bootstrapped = make(map[coltsfootlink.InstanceName]bool)
	task.lastUpdateAt = baseTime
	for _, member := range view.Members {
		task.heard = task.heard.With(member.Name, baseTime)
	}
	return task, sender, clock
}

func TestReaderSelection(t *testing.T) {
	view := viewOf("i-1", "i-2", "i-3", "i-4")
	ranked := ownership.Ranked("catalog a", view.Candidates("a"))
	const silent, heard = readerTimeout + substituteDelay/2, readerTimeout / 2
	cases := map[string]struct {
		rank int
		// sinceHeard is how long ago the readers before it were heard of, in the order of their ranks.
		sinceHeard  []time.Duration
		sinceUpdate time.Duration
		reads       bool
	}{
		"first reads": {0, nil, 0, true},
		"second reads, since the first may be cut off":                  {1, []time.Duration{heard}, 0, true},
		"third does not read":                                           {2, []time.Duration{heard, heard}, updateTimeout / 2, false},
		"third reads in place of a silent one":                          {2, []time.Duration{heard, silent}, 0, true},
		"third reads in place of both":                                  {2, []time.Duration{silent, silent}, 0, true},
		"third reads after the timeout, though both are heard of":       {2, []time.Duration{heard, heard}, updateTimeout + time.Second, true},
		"fourth does not read if the third does":                        {3, []time.Duration{heard, time.Minute, heard}, 0, false},
		"fourth waits longer for readers than the third":                {3, []time.Duration{heard, silent, time.Minute}, 0, false},
		"fourth reads in place of the third":                            {3, []time.Duration{heard, time.Minute, silent + substituteDelay}, 0, true},
		"fourth waits longer than the third for readers that are heard": {3, []time.Duration{heard, heard, time.Minute}, updateTimeout + 2*rankDelay, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTask(ranked[test.rank], view)
			clock.now = clock.now.Add(test.sinceUpdate)
			for rank, since := range test.sinceHeard {
				task.heard = task.heard.With(ranked[rank], clock.now.Add(-since))
			}
			So(task.shouldRead(), ShouldEqual, test.reads)
		})
	}
	Convey("an instance that has not read all streams reads", t, func() {
		task, _, _ := newTask(ranked[3], view)
		delete(task.loaded, coltsfootlink.TargetStream)
		So(task.shouldRead(), ShouldBeTrue)
	})
}

func TestCatalogUpdates(t *testing.T) {
	Convey("a reader sends changes to all instances, and keepalives to its zone", t, func() {
		view := viewOf("i-1", "i-2")
		view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: "j-1", Zone: "b"}, Live: true})
		task, sender, clock := newTask("i-1", view)
		task.handle(coltsfootlink.Delivery{Message: readResult{stream: coltsfootlink.TargetStream, records: []coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1")}}})
		So(sender.sent, ShouldHaveLength, 2)
		So(sender.sent[0].Message.(coltsfootlink.News).Signature, ShouldEqual, task.signature)
		sender.sent = nil
		clock.now = clock.now.Add(keepaliveInterval)
		task.handle(coltsfootlink.Delivery{Message: readResult{stream: coltsfootlink.TargetStream, records: []coltsfootlink.CatalogRecord{targetRecord(2, "t", "target h:1")}}})
		So(sender.sent, ShouldHaveLength, 1)
		So(sender.sent[0].From, ShouldEqual, coltsfootlink.InstanceName("i-2"))
		So(sender.sent[0].Message.(coltsfootlink.News).Records, ShouldBeEmpty)
	})
	Convey("in a large fleet a reader sends changes to its zone and to the readers of other zones, which pass them on once", t, func() {
		const zones, perZone = 5, 39
		var view coltsfootlink.View
		for number := range zones * perZone {
			zone := coltsfootlink.ZoneName(fmt.Sprint("z-", number%zones))
			name := coltsfootlink.InstanceName(fmt.Sprintf("i-%03d", number))
			view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name, Zone: zone}, Live: true})
		}
		tasks := make(map[coltsfootlink.InstanceName]*Task)
		senders := make(map[coltsfootlink.InstanceName]*recordingSender)
		for _, member := range view.Members {
			tasks[member.Name], senders[member.Name], _ = newTask(member.Name, view.WithIndex())
			tasks[member.Name].Self.Zone = member.Zone
		}
		first := tasks["i-000"].readers("z-0")[0]
		tasks[first].handle(coltsfootlink.Delivery{Message: readResult{stream: coltsfootlink.TargetStream, records: []coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1")}}})
		sent := 0
		for round := 0; round < 3; round++ {
			for name, sender := range senders {
				outgoing := sender.sent
				sender.sent = nil
				for _, delivery := range outgoing {
					sent++
					tasks[delivery.From].handle(coltsfootlink.Delivery{From: name, Message: delivery.Message})
				}
			}
		}
		for _, task := range tasks {
			So(task.state.Catalog().Targets, ShouldHaveLength, 1)
		}
		// Each of the other zones has two readers, each of which tells its zone once.
		So(sent, ShouldBeLessThanOrEqualTo, perZone-1+(zones-1)*readersPerZone*perZone)
	})
	Convey("an instance that has missed an update asks the reader for all records, and then has the same catalog", t, func() {
		reader, fromReader, _ := newTask("i-1", viewOf("i-1", "i-2"))
		other, fromOther, clock := newTask("i-2", viewOf("i-1", "i-2"))
		reader.apply([]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), operatorRecord(1, "evacuate/a", "out a")})
		clock.now = clock.now.Add(time.Second)
		other.handle(coltsfootlink.Delivery{From: "i-1", Message: coltsfootlink.News{Signature: reader.signature}})
		So(fromOther.sent, ShouldHaveLength, 1)
		reader.handle(coltsfootlink.Delivery{From: "i-2", Message: fromOther.sent[0].Message})
		other.handle(coltsfootlink.Delivery{From: "i-1", Message: fromReader.sent[0].Message})
		So(other.signature, ShouldEqual, reader.signature)
		fromOther.sent = nil
		clock.now = clock.now.Add(time.Second)
		other.handle(coltsfootlink.Delivery{From: "i-1", Message: coltsfootlink.News{Signature: reader.signature}})
		So(fromOther.sent, ShouldBeEmpty)
	})
}

// failingSource fails to follow a stream, and records how long it was asked to wait.
type failingSource struct {
	waits []time.Duration
}

// Newest returns no records.
func (*failingSource) Newest(context.Context, coltsfootlink.CatalogStream) (coltsfootlink.CatalogBatch, error) {
	return coltsfootlink.CatalogBatch{}, nil
}

// Follow always fails.
func (source *failingSource) Follow(_ context.Context, _ coltsfootlink.CatalogStream, _ coltsfootlink.Position, wait time.Duration) (coltsfootlink.CatalogBatch, error) {
	source.waits = append(source.waits, wait)
	return coltsfootlink.CatalogBatch{}, errors.New("no answer")
}

func TestReadsDoNotWaitDuringAnOutage(t *testing.T) {
	Convey("a reader does not wait on the store after a failed read", t, func() {
		source := new(failingSource)
		reader := &reader{stream: coltsfootlink.OperatorStream, source: source, clock: &manualClock{now: baseTime}, log: zerolog.Nop(), inbox: mailbox.NewDeliveries(), nextKnown: true}
		for range 2 {
			_, err := reader.read(t.Context())
			So(err, ShouldNotBeNil)
			reader.markDown(err)
		}
		So(source.waits, ShouldResemble, []time.Duration{maxFollowWait, 0})
	})
}

func TestPostponedRemovals(t *testing.T) {
	cases := map[string]struct {
		// sinceRecovery is the time since the store became available again.
		sinceRecovery time.Duration
		postponed     int
	}{
		"within the grace period": {time.Second, 1},
		"after the grace period":  {reregistrationGrace + time.Second, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			clock := &manualClock{now: baseTime}
			inbox := mailbox.NewDeliveries()
			reader := &reader{stream: coltsfootlink.TargetStream, clock: clock, log: zerolog.Nop(), inbox: inbox, down: true}
			reader.markUp()
			clock.now = clock.now.Add(test.sinceRecovery)
			remaining := reader.postpone([]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "u", "")})
			So(remaining, ShouldHaveLength, 2-test.postponed)
			So(reader.postponed, ShouldHaveLength, test.postponed)
			reader.releasePostponed()
			So(inbox.Drain(), ShouldBeEmpty)
			clock.now = clock.now.Add(reregistrationGrace)
			reader.releasePostponed()
			So(inbox.Drain(), ShouldHaveLength, test.postponed)
		})
	}
}

// TestBootstrap checks which peers an instance asks for their records after its start, once a second for ten seconds.
func TestBootstrap(t *testing.T) {
	cases := map[string]struct {
		loaded bool
		view   coltsfootlink.View
		// replies indicates that the peers reply.
		replies bool
		asked   int
	}{
		"it has read the platform": {true, viewOf("i-1", "i-2", "i-3"), true, 0},
		"it is alone":              {false, viewOf("i-1"), true, 0},
		"two peers reply":          {false, viewOf("i-1", "i-2", "i-3"), true, 2},
		"many peers reply":         {false, viewOf("i-1", "i-2", "i-3", "i-4", "i-5", "i-6"), true, bootstrapPeers},
		"no peer replies":          {false, viewOf("i-1", "i-2"), false, 10},
	}
	for name, test := range cases {
		Convey("an instance that cannot read the platform takes the records of several peers: "+name, t, func() {
			task, sender, clock := newTask("i-1", test.view)
			if !test.loaded {
				task.loaded = make(map[coltsfootlink.CatalogStream]bool)
			}
			asked := 0
			for range 10 {
				clock.now = clock.now.Add(time.Second)
				sender.sent = nil
				task.bootstrap()
				asked += len(sender.sent)
				if len(sender.sent) > 0 && test.replies {
					task.handle(coltsfootlink.Delivery{From: sender.sent[0].From, Message: coltsfootlink.News{
						Records: []coltsfootlink.CatalogRecord{operatorRecord(1, "config", "version 3")}, Ends: map[coltsfootlink.CatalogStream]coltsfootlink.Position{coltsfootlink.OperatorStream: {Offset: 2}},
					}})
				}
			}
			So(asked, ShouldEqual, test.asked)
		})
	}
}

// newestSource returns the same newest records at each read.
type newestSource struct {
	failingSource
	batch coltsfootlink.CatalogBatch
	reads int
}

// Newest returns the records.
func (source *newestSource) Newest(context.Context, coltsfootlink.CatalogStream) (coltsfootlink.CatalogBatch, error) {
	source.reads++
	return source.batch, nil
}

// TestTargetsMayRegisterAgainBeforeACompleteReadCounts checks that a read of all keys does not remove targets whose records
// expired during an outage of the store that has just ended.
func TestTargetsMayRegisterAgainBeforeACompleteReadCounts(t *testing.T) {
	cases := map[string]struct {
		stream coltsfootlink.CatalogStream
		down   bool
		// sinceRecovery is the time since the store became available again, if down is not set.
		sinceRecovery time.Duration
		complete      bool
	}{
		"targets, first answer after the outage":   {coltsfootlink.TargetStream, true, 0, false},
		"targets, shortly after the outage":        {coltsfootlink.TargetStream, false, time.Second, false},
		"targets, after the grace period":          {coltsfootlink.TargetStream, false, reregistrationGrace, true},
		"operators, first answer after the outage": {coltsfootlink.OperatorStream, true, 0, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			clock, inbox, source := &manualClock{now: baseTime}, mailbox.NewDeliveries(), new(newestSource)
			reader := &reader{stream: test.stream, source: source, clock: clock, log: zerolog.Nop(), inbox: inbox, down: true}
			if !test.down {
				reader.markUp()
			}
			clock.now = clock.now.Add(test.sinceRecovery)
			_, err := reader.read(t.Context())
			So(err, ShouldBeNil)
			So(inbox.Drain()[0].Message.(readResult).complete, ShouldEqual, test.complete)
			reader.markUp()
			clock.now = clock.now.Add(reregistrationGrace)
			reader.releasePostponed()
			So(reader.nextKnown, ShouldEqual, test.complete)
		})
	}
}
