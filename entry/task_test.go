package entry

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/health"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
	"coltsfootlink/queue"
)

// manualClock is a clock that the test sets.
type manualClock struct{ at time.Time }

func (clock *manualClock) Now() time.Time { return clock.at }

// sentMessage is a message that a task has sent, and its recipient.
type sentMessage struct {
	to      coltsfootlink.InstanceName
	message coltsfootlink.Message
}

// sentMessages records the messages that a task sends, and discards its timeline events.
type sentMessages struct{ messages []sentMessage }

func (sent *sentMessages) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	sent.messages = append(sent.messages, sentMessage{to: to, message: message})
}

func (sent *sentMessages) Record(string, string) {}

// demandsTo returns the number of Demand messages sent to an instance.
func (sent *sentMessages) demandsTo(to coltsfootlink.InstanceName) int {
	count := 0
	for _, item := range sent.messages {
		if _, is := item.message.(coltsfootlink.Demand); is && item.to == to {
			count++
		}
	}
	return count
}

// releases returns the usage results of the permits that were released.
func (sent *sentMessages) releases() []coltsfootlink.Result {
	var results []coltsfootlink.Result
	for _, item := range sent.messages {
		if release, is := item.message.(coltsfootlink.Release); is {
			results = append(results, release.Usage.Result)
		}
	}
	return results
}

var start = time.Unix(1_000_000, 0)

func member(name, zone string) coltsfootlink.Member {
	return coltsfootlink.Member{
		Instance: coltsfootlink.Instance{Name: coltsfootlink.InstanceName(name), Zone: coltsfootlink.ZoneName(zone)},
		Live:     true, Listed: true,
	}
}

// newTestTask returns the task of instance a-1 in zone a. Pool p has a shard in zone a, owned by a-1, and one in zone
// b, owned by b-1.
func newTestTask() (*Task, *sentMessages, *manualClock) {
	sent, clock := &sentMessages{}, &manualClock{at: start}
	task := &Task{Self: "a-1", Clock: clock, Placement: ownership.Rendezvous{}, Sender: sent, Recorder: sent, Inbox: mailbox.NewDeliveries()}
	task.reset()
	deliver := func(message coltsfootlink.Message) {
		task.handle(coltsfootlink.Delivery{From: "b-1", Message: message})
	}
	deliver(coltsfootlink.ConfigurationChanged{Configuration: coltsfootlink.Configuration{Revision: 1}.
		WithPool(coltsfootlink.Pool{Name: "p", QueuePerTeam: 2, ShardsPerZone: 1})})
	deliver(coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{member("a-1", "a"), member("b-1", "b")}}})
	deliver(coltsfootlink.ListChanged{Listing: coltsfootlink.Listing{Targets: []coltsfootlink.Target{
		{Name: "ta", Pool: "p", Zone: "a"}, {Name: "tb", Pool: "p", Zone: "b"},
	}}})
	for zone, owner := range map[coltsfootlink.ZoneName]coltsfootlink.InstanceName{"a": "a-1", "b": "b-1"} {
		deliver(coltsfootlink.Takeover{Shard: coltsfootlink.Shard{Pool: "p", Zone: zone}, Epoch: 1, Owner: owner})
	}
	sent.messages = nil
	return task, sent, clock
}

func acquire(task *Task, id string) chan Decision {
	reply := make(chan Decision, 1)
	task.handle(coltsfootlink.Delivery{Message: Acquire{
		Waiting: queue.Waiting{ID: coltsfootlink.RequestID(id), Team: "x", Pool: "p", Arrived: start, Deadline: start.Add(time.Minute)},
		Reply:   reply,
	}})
	task.reportDemand()
	return reply
}

func grantOf(zone coltsfootlink.ZoneName, target coltsfootlink.TargetName, epoch coltsfootlink.Epoch) coltsfootlink.Grant {
	return coltsfootlink.Grant{Permits: []coltsfootlink.Permit{{
		ID: coltsfootlink.PermitID{Epoch: epoch, Serial: 1}, Shard: coltsfootlink.Shard{Pool: "p", Zone: zone},
		Target: target, Team: "x", Holder: "a-1", StartBy: start.Add(time.Second),
	}}}
}

func TestDemandSpillsToOtherZonesAfterDelay(t *testing.T) {
	Convey("demand is reported to the own zone at once, and to other zones after the spill delay", t, func() {
		task, sent, clock := newTestTask()
		acquire(task, "r")
		So(sent.demandsTo("a-1"), ShouldEqual, 1)
		So(sent.demandsTo("b-1"), ShouldEqual, 0)
		clock.at = start.Add(spillDelay)
		task.markSpilling(clock.at)
		task.reportDemand()
		So(sent.demandsTo("b-1"), ShouldEqual, 1)
	})
}

func TestGrantedPermits(t *testing.T) {
	cases := map[string]struct {
		grant   coltsfootlink.Grant
		used    bool
		results []coltsfootlink.Result
	}{
		"assigned to the waiting request": {grantOf("a", "ta", 1), true, nil},
		"from an earlier epoch, released": {grantOf("a", "ta", 0), false, []coltsfootlink.Result{coltsfootlink.Unused}},
		"for an unknown target, released": {grantOf("a", "tz", 1), false, []coltsfootlink.Result{coltsfootlink.Unused}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sent, _ := newTestTask()
			reply := acquire(task, "r")
			task.handle(coltsfootlink.Delivery{From: "a-1", Message: test.grant})
			So(len(reply) == 1, ShouldEqual, test.used)
			So(sent.releases(), ShouldResemble, test.results)
		})
	}
	Convey("a second permit is released if only one request is waiting", t, func() {
		task, sent, _ := newTestTask()
		acquire(task, "r")
		task.handle(coltsfootlink.Delivery{From: "a-1", Message: grantOf("a", "ta", 1)})
		task.handle(coltsfootlink.Delivery{From: "b-1", Message: grantOf("b", "tb", 1)})
		So(sent.releases(), ShouldResemble, []coltsfootlink.Result{coltsfootlink.Unused})
	})
}

func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	cases := map[string]struct {
		end    func(*Task, *manualClock)
		reason coltsfootlink.Reason
	}{
		"at its deadline": {func(task *Task, clock *manualClock) {
			clock.at = start.Add(time.Hour)
			task.tick()
		}, coltsfootlink.PastDeadline},
		"when its caller cancels twice": {func(task *Task, _ *manualClock) {
			task.handle(coltsfootlink.Delivery{Message: Cancel{ID: "r"}})
			task.handle(coltsfootlink.Delivery{Message: Cancel{ID: "r"}})
		}, coltsfootlink.CallerGone},
		"when the task stops": {func(task *Task, _ *manualClock) { task.refuseAll() }, coltsfootlink.NotReady},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTestTask()
			reply := acquire(task, "r")
			test.end(task, clock)
			decision := <-reply
			So(decision.Refusal.Reason, ShouldEqual, test.reason)
			So(decision.Refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
			So(reply, ShouldBeEmpty)
		})
	}
}

func TestNotOwnerRedirectsDemandToRightfulOwner(t *testing.T) {
	Convey("after NotOwner from the newest owner, demand goes to the rightful owner with the newest epoch", t, func() {
		task, sent, _ := newTestTask()
		mistaken := coltsfootlink.Takeover{Shard: coltsfootlink.Shard{Pool: "p", Zone: "a"}, Epoch: 9, Owner: "b-1"}
		task.handle(coltsfootlink.Delivery{From: "b-1", Message: mistaken})
		acquire(task, "r")
		So(sent.demandsTo("b-1"), ShouldEqual, 1)
		sent.messages = nil
		task.handle(coltsfootlink.Delivery{From: "b-1", Message: coltsfootlink.NotOwner{Shard: mistaken.Shard}})
		task.reportDemand()
		So(sent.messages, ShouldHaveLength, 1)
		So(sent.messages[0].to, ShouldEqual, coltsfootlink.InstanceName("a-1"))
		So(sent.messages[0].message.(coltsfootlink.Demand).Epoch, ShouldEqual, coltsfootlink.Epoch(9))
	})
}

func TestNotOwnerIsNotRetriedBeforeResync(t *testing.T) {
	Convey("after NotOwner from the rightful owner, demand is not sent to it again before the next resync", t, func() {
		task, sent, _ := newTestTask()
		acquire(task, "r")
		sent.messages = nil
		task.handle(coltsfootlink.Delivery{From: "a-1", Message: coltsfootlink.NotOwner{Shard: coltsfootlink.Shard{Pool: "p", Zone: "a"}}})
		task.reportDemand()
		So(sent.messages, ShouldBeEmpty)
	})
}

func TestFullQueueRefusesRequests(t *testing.T) {
	Convey("a request is refused at once with a retry time if its team's queue is full", t, func() {
		task, _, _ := newTestTask()
		acquire(task, "1")
		acquire(task, "2")
		refusal := (<-acquire(task, "3")).Refusal
		So(refusal.Reason, ShouldEqual, coltsfootlink.QueueFull)
		So(refusal.RetryAt.After(start), ShouldBeTrue)
	})
}

// Instances that joined after a crash, or were not yet in the view of the one that announced it, never heard of it.
func TestInstancesThatJoinLearnOfCrashes(t *testing.T) {
	crash := func(task *Task) {
		usage := coltsfootlink.Usage{Result: coltsfootlink.Crashed, Fingerprint: 7}
		task.handle(coltsfootlink.Delivery{Message: Finish{Permit: grantOf("a", "ta", 1).Permits[0], Usage: usage}})
	}
	confirm := func(from coltsfootlink.InstanceName) func(*Task) {
		return func(task *Task) {
			strike := coltsfootlink.Strike{Fingerprint: 7, Target: "ta", Deadline: start.Add(time.Hour)}
			task.handle(coltsfootlink.Delivery{From: from, Message: coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{strike}}})
		}
	}
	restarted := member("b-1", "b")
	restarted.Incarnation = 1
	cases := map[string]struct {
		announce func(task *Task)
		next     coltsfootlink.Member
		after    time.Duration
		told     bool
	}{
		"one joins":                             {crash, member("b-2", "b"), time.Second, true},
		"one has restarted":                     {crash, restarted, time.Second, true},
		"one was there before":                  {crash, member("b-1", "b"), time.Second, false},
		"one joins when the strike has expired": {crash, member("b-2", "b"), health.SuspicionTTL, false},
		"one joins after the own owner task has confirmed the crash": {confirm("a-1"), member("b-2", "b"), time.Minute, true},
		"one joins, and another instance has announced the crash":    {confirm("b-1"), member("b-2", "b"), time.Second, false},
	}
	for name, test := range cases {
		Convey("instances that join are told of the crashes that this one has announced: "+name, t, func() {
			task, sent, clock := newTestTask()
			test.announce(task)
			sent.messages, clock.at = nil, start.Add(test.after)
			view := coltsfootlink.View{Members: []coltsfootlink.Member{member("a-1", "a"), test.next}}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
			told := slices.ContainsFunc(sent.messages, func(item sentMessage) bool {
				strikes, is := item.message.(coltsfootlink.Strikes)
				return is && item.to == test.next.Name && strikes.Strikes[0].Fingerprint == 7
			})
			So(told, ShouldEqual, test.told)
		})
	}
}
