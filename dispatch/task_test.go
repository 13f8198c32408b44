package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/engine"
	"coltsfootlink/mailbox"
	"coltsfootlink/placement"
	"coltsfootlink/pressure"
)

// recorder records the messages that a task sends.
type recorder struct {
	sent []coltsfootlink.Delivery
}

// Send records a message; its recipient is stored in From.
func (recorder *recorder) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	recorder.sent = append(recorder.sent, coltsfootlink.Delivery{From: to, Message: message})
}

// takeAsks returns the recorded asks and clears the recorded messages.
func (recorder *recorder) takeAsks() []coltsfootlink.Ask {
	var asks []coltsfootlink.Ask
	for _, delivery := range recorder.sent {
		if ask, is := delivery.Message.(coltsfootlink.Ask); is {
			asks = append(asks, ask)
		}
	}
	recorder.sent = nil
	return asks
}

// fakeClock is a clock that is set by the test.
type fakeClock struct{ now time.Time }

// Now returns the time that was set.
func (clock *fakeClock) Now() time.Time { return clock.now }

func member(name coltsfootlink.InstanceName, zone coltsfootlink.ZoneName) coltsfootlink.Member {
	return coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name, Zone: zone}, Live: true}
}

func targetIn(name coltsfootlink.TargetName, zone coltsfootlink.ZoneName) coltsfootlink.Target {
	return coltsfootlink.Target{Name: name, Pool: "p", Zone: zone, Slots: 4}
}

// newTask returns a task that knows three targets in two zones, each zone with one instance.
func newTask() (*Task, *recorder, *fakeClock) {
	sender, clock := new(recorder), &fakeClock{now: time.UnixMilli(1_700_000_000_000)}
	task := &Task{
		Self: coltsfootlink.Instance{Name: "i-a", Zone: "a"}, Clock: clock, Sender: sender, Log: zerolog.Nop(),
		Inbox: mailbox.NewDeliveries(), RetryShare: 0.1, RetrySlack: 1,
		Rates: admissionPolicy.Rates,
	}
	task.reset()
	var catalog coltsfootlink.Catalog
	for _, target := range []coltsfootlink.Target{targetIn("t-1", "a"), targetIn("t-2", "b"), targetIn("t-3", "b")} {
		catalog = catalog.WithTarget(target)
	}
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a"), member("i-b", "b")}}}})
	return task, sender, clock
}

func newWant(clock *fakeClock, reply chan<- Choice) Want {
	return Want{
		ID: "r", Pool: "p", Team: "x", Objective: clock.now.Add(time.Second), Deadline: clock.now.Add(time.Minute), Reply: reply,
		Work: coltsfootlink.Work{Prompt: []coltsfootlink.CachePart{{Key: 7, Tokens: 100}, {Key: 8, Tokens: 10}}, SharedParts: []coltsfootlink.PartID{9}},
	}
}

// TestVerdicts checks the choice for one request by the replies of the target owners.
func TestVerdicts(t *testing.T) {
	granted := func(task *Task, _ *fakeClock, ask coltsfootlink.Ask) {
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
	}
	full := func(task *Task, _ *fakeClock, ask coltsfootlink.Ask) {
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.TargetFull}})
	}
	unresponsive := func(task *Task, clock *fakeClock, _ coltsfootlink.Ask) {
		clock.now = clock.now.Add(askTimeout)
		task.expire()
	}
	type answer = func(*Task, *fakeClock, coltsfootlink.Ask)
	cases := map[string]struct {
		answers []answer
		granted bool
		reason  coltsfootlink.Reason
	}{
		"the first owner grants a permit":        {[]answer{granted}, true, ""},
		"the second target has capacity":         {[]answer{full, granted}, true, ""},
		"all are full":                           {[]answer{full, full, full}, false, coltsfootlink.TargetFull},
		"one owner does not reply, another does": {[]answer{unresponsive, granted}, true, ""},
		"no owner replies":                       {[]answer{unresponsive, unresponsive}, false, coltsfootlink.OwnerSilent},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			reply := make(chan Choice, 1)
			task.handle(coltsfootlink.Delivery{Message: newWant(clock, reply)})
			asked := make(map[coltsfootlink.TargetName]bool)
			for _, act := range test.answers {
				asks := sender.takeAsks()
				So(asks, ShouldHaveLength, 1)
				So(asked[asks[0].Target], ShouldBeFalse)
				asked[asks[0].Target] = true
				act(task, clock, asks[0])
			}
			choice := <-reply
			So(choice.Refusal == nil, ShouldEqual, test.granted)
			if !test.granted {
				So(choice.Refusal.Reason, ShouldEqual, test.reason)
				So(choice.Refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
				So(choice.Refusal.RetryAt, ShouldHappenAfter, clock.now)
			}
			So(task.pending, ShouldBeEmpty)
		})
	}
}

// bothZones are the zones of newTask, both with a live instance.
var bothZones = map[coltsfootlink.ZoneName]bool{"a": true, "b": true}

// candidates returns the candidates of a request from one zone while no target has a weight.
func candidates(catalog coltsfootlink.Catalog, live map[coltsfootlink.ZoneName]bool, pool coltsfootlink.PoolName, work coltsfootlink.Work, zone coltsfootlink.ZoneName, draw uint64, avoid map[coltsfootlink.TargetName]bool) []coltsfootlink.Target {
	state := placement.NewState(zone, engine.Rates{}).WithLive(live)
	return state.Candidates(catalog, placement.Request{Pool: pool, Work: work, Draw: draw, Avoid: avoid})
}

func TestAffinity(t *testing.T) {
	cases := map[string]struct {
		change     func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog
		sameTarget bool
	}{
		"the same shared prefix goes to the same target": {func(catalog coltsfootlink.Catalog, _ coltsfootlink.TargetName) coltsfootlink.Catalog { return catalog }, true},
		"the preferred target stays when another one is removed": {func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog {
			for name := range catalog.Targets {
				if name != home {
					return catalog.WithoutTarget(name)
				}
			}
			return catalog
		}, true},
		"a leaving target is not a candidate": {func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog {
			return catalog.WithTarget(catalog.Targets[home].WithLeaving(true))
		}, false},
		"targets in a zone out of service are not candidates": {func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog {
			return catalog.WithZoneOut(catalog.Targets[home].Zone, true)
		}, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTask()
			work := newWant(clock, nil).Work
			first := candidates(task.catalog, bothZones, "p", work, "a", 1, nil)
			So(first, ShouldHaveLength, 3)
			changed := test.change(task.catalog, first[0].Name)
			second := candidates(changed, bothZones, "p", work, "b", 2, nil)
			So(second[0].Name == first[0].Name, ShouldEqual, test.sameTarget)
			for _, target := range second {
				So(changed.Usable(target), ShouldBeTrue)
			}
		})
	}
	Convey("requests without a shared prefix prefer their own zone", t, func() {
		task, _, _ := newTask()
		for draw := range uint64(20) {
			So(candidates(task.catalog, bothZones, "p", coltsfootlink.Work{}, "a", draw, nil)[0].Name, ShouldEqual, coltsfootlink.TargetName("t-1"))
		}
	})
	Convey("targets of a zone without live instances are offered only if there are no others", t, func() {
		task, _, clock := newTask()
		work := newWant(clock, nil).Work
		for _, target := range candidates(task.catalog, map[coltsfootlink.ZoneName]bool{"b": true}, "p", work, "b", 1, nil) {
			So(target.Zone, ShouldEqual, coltsfootlink.ZoneName("b"))
		}
		So(candidates(task.catalog, nil, "p", work, "b", 1, nil), ShouldHaveLength, 3)
	})
	Convey("a target that the request was sent to before is not a candidate", t, func() {
		task, _, clock := newTask()
		work := newWant(clock, nil).Work
		home := candidates(task.catalog, bothZones, "p", work, "a", 1, nil)[0].Name
		for _, target := range candidates(task.catalog, bothZones, "p", work, "a", 1, map[coltsfootlink.TargetName]bool{home: true}) {
			So(target.Name, ShouldNotEqual, home)
		}
	})
}

func TestVerdictsAreReadBeforeTimeouts(t *testing.T) {
	Convey("a verdict that waits in the inbox is handled before the ask times out", t, func() {
		task, sender, clock := newTask()
		reply := make(chan Choice, 1)
		task.Inbox.Put(coltsfootlink.Delivery{Message: newWant(clock, reply)})
		task.turn()
		ask := sender.takeAsks()[0]
		clock.now = clock.now.Add(2 * askTimeout)
		task.Inbox.Put(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
		task.turn()
		So((<-reply).Refusal, ShouldBeNil)
		So(task.backoffUntil, ShouldBeEmpty)
	})
}

func TestAbandonedRequestsAskNoOwner(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	cases := map[string]struct {
		gone   <-chan struct{}
		after  time.Duration
		reason coltsfootlink.Reason
	}{
		"the caller is connected":     {make(chan struct{}), 0, ""},
		"the caller has disconnected": {gone, 0, coltsfootlink.CallerGone},
		"the deadline has passed":     {make(chan struct{}), 2 * time.Minute, coltsfootlink.PastDeadline},
	}
	for name, test := range cases {
		Convey("after a refusal the next owner is asked only if the request still needs a target: "+name, t, func() {
			task, sender, clock := newTask()
			reply := make(chan Choice, 1)
			request := newWant(clock, reply)
			task.handle(coltsfootlink.Delivery{Message: request})
			asked := sender.sent[0]
			serial := sender.takeAsks()[0].Serial
			waiting := task.pending[serial]
			waiting.want.Gone = test.gone
			task.pending[serial] = waiting
			clock.now = clock.now.Add(test.after)
			task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: serial, Reason: coltsfootlink.TargetFull}})
			if test.reason == "" {
				So(len(sender.takeAsks()), ShouldEqual, 1)
				return
			}
			So(sender.takeAsks(), ShouldBeEmpty)
			So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestAskTimeouts checks how long an ask stays pending without a reply, and when its owner counts as unresponsive.
func TestAskTimeouts(t *testing.T) {
	cases := map[string]struct {
		// sinceVerdict is the time from another verdict of the owner to the check; zero for none.
		sinceVerdict time.Duration
		// elapsed is the time from the ask to the check.
		elapsed time.Duration
		// shortOfCPU indicates that the asking instance is short of CPU.
		shortOfCPU          bool
		pending, responsive bool
	}{
		"the owner replies to nobody":                                                                        {0, askTimeout, false, false, false},
		"the owner replies to others":                                                                        {askTimeout / 4, askTimeout, false, true, true},
		"the owner replied to others longer ago than the timeout":                                            {askTimeout + 1, 2 * askTimeout, false, false, false},
		"the owner replies to others, but exceeds the slow timeout":                                          {askTimeout / 4, slowAskTimeout, false, false, true},
		"the owner replies to others, and is not late yet":                                                   {askTimeout / 4, askTimeout / 2, false, true, true},
		"the owner replies to nobody, and the asking instance is short of CPU":                               {0, askTimeout, true, true, true},
		"the owner exceeds the slow timeout, and the asking instance is short of CPU":                        {0, slowAskTimeout, true, false, true},
		"the owner is not late yet, and the asking instance is short of CPU":                                 {0, askTimeout / 2, true, true, true},
		"the owner replies to others, but exceeds the slow timeout, and the asking instance is short of CPU": {askTimeout / 4, slowAskTimeout, true, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			if test.shortOfCPU {
				task.handle(coltsfootlink.Delivery{Message: pressure.Changed{State: pressure.State{}.WithWait(time.Second)}})
			}
			task.handle(coltsfootlink.Delivery{Message: newWant(clock, make(chan Choice, 1))})
			asked := sender.sent[0]
			serial := sender.takeAsks()[0].Serial
			clock.now = clock.now.Add(test.elapsed - test.sinceVerdict)
			if test.sinceVerdict > 0 {
				task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: serial + 1}})
			}
			clock.now = clock.now.Add(test.sinceVerdict)
			task.expire()
			_, pending := task.pending[serial]
			So(pending, ShouldEqual, test.pending)
			_, skipped := task.backoffUntil[asked.From]
			So(skipped, ShouldEqual, !test.responsive)
		})
	}
}

// TestPacedPermits checks which permits for targets that may be cold are used.
func TestPacedPermits(t *testing.T) {
	cases := map[string]struct {
		paced   bool
		elapsed time.Duration
		used    bool
	}{
		"used at once":                       {true, 20 * time.Millisecond, true},
		"expired":                            {true, coltsfootlink.PacedPermitTTL + time.Millisecond, false},
		"as old, but the target is not cold": {false, coltsfootlink.PacedPermitTTL + time.Millisecond, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			reply := make(chan Choice, 1)
			task.handle(coltsfootlink.Delivery{Message: newWant(clock, reply)})
			asked := sender.sent[0]
			ask := sender.takeAsks()[0]
			clock.now = clock.now.Add(test.elapsed)
			task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: ask.Serial, Paced: test.paced}})
			if test.used {
				So((<-reply).Target.Name, ShouldEqual, ask.Target)
				return
			}
			So(sender.sent[0].From, ShouldEqual, asked.From)
			So(sender.sent[0].Message, ShouldResemble, coltsfootlink.Progress{Serial: ask.Serial, Target: ask.Target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
			So(sender.takeAsks()[0].Target, ShouldNotEqual, ask.Target)
		})
	}
}

func TestRetries(t *testing.T) {
	Convey("retries beyond the budget are refused, and first attempts add to the budget", t, func() {
		task, _, clock := newTask()
		send := func(retry bool) *coltsfootlink.Refusal {
			reply := make(chan Choice, 1)
			request := newWant(clock, reply)
			request.Retry = retry
			task.handle(coltsfootlink.Delivery{Message: request})
			select {
			case choice := <-reply:
				return choice.Refusal
			default:
				return nil
			}
		}
		So(send(true), ShouldBeNil)
		refusal := send(true)
		So(refusal, ShouldNotBeNil)
		So(refusal.Reason, ShouldEqual, coltsfootlink.RetriesUsedUp)
		for range 11 {
			So(send(false), ShouldBeNil)
		}
		So(send(true), ShouldBeNil)
	})
}

func TestNewOwnersReceiveHeldRequests(t *testing.T) {
	Convey("a new owner receives the requests in progress on its target", t, func() {
		task, sender, clock := newTask()
		reply := make(chan Choice, 1)
		task.handle(coltsfootlink.Delivery{Message: newWant(clock, reply)})
		ask := sender.takeAsks()[0]
		task.handle(coltsfootlink.Delivery{From: "i-z", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
		choice := <-reply
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: choice.Serial, Stage: coltsfootlink.FirstEvent}})
		sender.sent = nil
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: task.view}})
		So(sender.sent, ShouldHaveLength, 1)
		held := sender.sent[0].Message.(coltsfootlink.Held)
		So(held.Target, ShouldEqual, choice.Target.Name)
		So(held.Requests, ShouldHaveLength, 1)
		So(held.Requests[0].FirstEventReceived, ShouldBeTrue)
		sender.sent = nil
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: task.view}})
		So(sender.sent, ShouldBeEmpty)
	})
}

// TestAsksGoToTheCurrentOwner checks that cached owners are not used after the view has changed.
func TestAsksGoToTheCurrentOwner(t *testing.T) {
	a, b := member("i-a", "a"), member("i-b", "b")
	dead := b
	dead.Live = false
	cases := map[string][]struct {
		members []coltsfootlink.Member
		// owner is the owner of the targets in zone b.
		owner coltsfootlink.InstanceName
	}{
		"the owner dies":                  {{[]coltsfootlink.Member{a, b}, "i-b"}, {[]coltsfootlink.Member{a, dead}, "i-a"}},
		"the owner is live again":         {{[]coltsfootlink.Member{a, dead}, "i-a"}, {[]coltsfootlink.Member{a, b}, "i-b"}},
		"the owner is no longer a member": {{[]coltsfootlink.Member{a, b}, "i-b"}, {[]coltsfootlink.Member{a}, "i-a"}},
	}
	for name, views := range cases {
		Convey("asks go to the owner in the current view: "+name, t, func() {
			task, sender, clock := newTask()
			for _, view := range views {
				task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: view.members}}})
				sender.sent = nil
				request := newWant(clock, make(chan Choice, 1))
				request.Avoid = map[coltsfootlink.TargetName]bool{"t-1": true}
				task.handle(coltsfootlink.Delivery{Message: request})
				So(sender.sent, ShouldHaveLength, 1)
				So(sender.sent[0].From, ShouldEqual, view.owner)
			}
		})
	}
}

func TestStanding(t *testing.T) {
	for name, standing := range map[string]coltsfootlink.Standing{
		"asks carry the standing of requests within the share":            coltsfootlink.Entitled,
		"asks carry the standing of requests within the sustainable rate": coltsfootlink.Bearable,
		"asks carry the standing of surplus requests":                     coltsfootlink.Surplus,
	} {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			request := newWant(clock, make(chan Choice, 1))
			request.Standing = standing
			task.handle(coltsfootlink.Delivery{Message: request})
			So(sender.takeAsks()[0].Standing, ShouldEqual, standing)
		})
	}
	refusals := map[string]struct {
		reason coltsfootlink.Reason
		asks   int
	}{
		"a request beyond the share is refused by one full target":            {coltsfootlink.TargetFull, 1},
		"a request beyond the share is offered to others if a target is down": {coltsfootlink.TargetDown, 3},
	}
	for name, test := range refusals {
		Convey(name, t, func() {
			task, sender, clock := newTask()
			reply := make(chan Choice, 1)
			request := newWant(clock, reply)
			request.Standing = coltsfootlink.Bearable
			task.handle(coltsfootlink.Delivery{Message: request})
			count := 0
			for asks := sender.takeAsks(); len(asks) > 0; asks = sender.takeAsks() {
				count++
				task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: test.reason}})
			}
			So(count, ShouldEqual, test.asks)
			So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
		})
	}
	reports := map[string]struct {
		act  func(task *Task, request Want, ask func() coltsfootlink.Ask)
		load coltsfootlink.TeamLoad
		// attempted is the work within the share that was offered to targets.
		attempted float64
	}{
		"a request": {func(task *Task, request Want, _ func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: request})
		}, coltsfootlink.TeamLoad{Team: "x", Requests: 1, Tokens: 150}, 0},
		"a shed request": {func(task *Task, request Want, _ func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: Shed{Pool: request.Pool, Team: request.Team, Work: request.Work}})
		}, coltsfootlink.TeamLoad{Team: "x", Requests: 1, Tokens: 150}, 0},
		"a request with a permit": {func(task *Task, request Want, ask func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: request})
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask().Serial}})
		}, coltsfootlink.TeamLoad{Team: "x", Requests: 1, Tokens: 150, Granted: 150}, 150},
		"a request with an unused permit": {func(task *Task, request Want, ask func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: request})
			serial := ask().Serial
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial}})
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused}})
		}, coltsfootlink.TeamLoad{Team: "x", Requests: 1, Tokens: 150}, 150},
		"a request that crashed after its first event": {func(task *Task, request Want, ask func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: request})
			serial := ask().Serial
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial}})
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.FirstEvent}})
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed}})
		}, coltsfootlink.TeamLoad{Team: "x", Requests: 1, Tokens: 150, Granted: 150}, 150},
	}
	for name, test := range reports {
		Convey("the share coordinator receives one report of "+name, t, func() {
			task, sender, clock := newTask()
			request := newWant(clock, make(chan Choice, 1))
			request.Work.PromptTokens, request.Work.OutputTokens = 110, 20
			test.act(task, request, func() coltsfootlink.Ask { return sender.takeAsks()[0] })
			sender.sent = nil
			task.sendReports(clock.now)
			So(sender.sent, ShouldHaveLength, 1)
			So(sender.sent[0].Message, ShouldResemble, coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{test.load}, Attempted: test.attempted})
			clock.now = clock.now.Add(time.Second)
			task.sendReports(clock.now)
			So(sender.sent, ShouldHaveLength, 1)
		})
	}
}

func TestFleetKeepsItsRetryBudget(t *testing.T) {
	const slack = 136.5
	cases := map[string]struct{ instances int }{"one": {1}, "seven": {7}, "eight": {8}, "31": {31}, "71": {71}, "136": {136}}
	for name, test := range cases {
		Convey("the retries saved up by all instances are within the budget of the fleet: "+name, t, func() {
			task, _, _ := newTask()
			task.RetryShare, task.RetrySlack = 0.15, slack
			var view coltsfootlink.View
			for index := range test.instances {
				view.Members = append(view.Members, member(coltsfootlink.InstanceName(fmt.Sprint("i-", index)), "a"))
			}
			task.budgets["p"] = task.retryBudget("p")
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
			for _, pool := range []coltsfootlink.PoolName{"p", "q"} {
				saved := 0
				for range 1000 {
					task.creditRetryBudget(pool)
				}
				for task.chargeRetry(Want{Pool: pool, Retry: true}) == nil {
					saved++
				}
				So(saved, ShouldBeGreaterThan, 0)
				So(saved*test.instances, ShouldBeLessThanOrEqualTo, slack)
			}
		})
	}
}

// TestDeadlines checks requests whose deadline passes, or whose caller disconnects, before an owner has replied.
func TestDeadlines(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	cases := map[string]struct {
		// remaining is the time from the ask to the request's deadline, and elapsed the time from the ask to the
		// check.
		remaining, elapsed time.Duration
		shortOfCPU         bool
		gone               <-chan struct{}
		reason             coltsfootlink.Reason
	}{
		"before the owner's reply is due":                              {askTimeout / 2, askTimeout / 2, false, nil, coltsfootlink.PastDeadline},
		"before the owner's reply is due, on an instance short of CPU": {askTimeout / 2, askTimeout / 2, true, nil, coltsfootlink.PastDeadline},
		"after the owner's reply was due, on an instance short of CPU": {2 * askTimeout, 2 * askTimeout, true, nil, coltsfootlink.PastDeadline},
		"the deadline has not passed":                                  {askTimeout / 2, askTimeout / 4, false, nil, ""},
		"the deadline has not passed, but the caller has disconnected": {askTimeout / 2, askTimeout / 4, false, gone, coltsfootlink.CallerGone},
	}
	for name, test := range cases {
		Convey("a request is answered at its own deadline: "+name, t, func() {
			task, sender, clock := newTask()
			if test.shortOfCPU {
				task.handle(coltsfootlink.Delivery{Message: pressure.Changed{State: pressure.State{}.WithWait(time.Second)}})
			}
			reply := make(chan Choice, 1)
			request := newWant(clock, reply)
			request.Deadline = clock.now.Add(test.remaining)
			task.handle(coltsfootlink.Delivery{Message: request})
			asked := sender.sent[0]
			ask := sender.takeAsks()[0]
			waiting := task.pending[ask.Serial]
			waiting.want.Gone = test.gone
			task.pending[ask.Serial] = waiting
			So(task.nextDeadline(), ShouldHappenOnOrBefore, request.Deadline)
			clock.now = clock.now.Add(test.elapsed)
			task.turn()
			if test.reason == "" {
				So(reply, ShouldBeEmpty)
				return
			}
			So(reply, ShouldHaveLength, 1)
			So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
			So(task.pending, ShouldBeEmpty)
			So(task.backoffUntil, ShouldBeEmpty)
			So(sender.sent[0].From, ShouldEqual, asked.From)
			So(sender.sent[0].Message, ShouldResemble, coltsfootlink.Progress{Serial: ask.Serial, Target: ask.Target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		})
	}
}

// TestUnusablePermitsAreReleased checks permits that arrive when the request no longer needs a target.
func TestUnusablePermitsAreReleased(t *testing.T) {
	cases := map[string]struct {
		callerGone, pastDeadline bool
		reason                   coltsfootlink.Reason
	}{
		"the caller has disconnected": {true, false, coltsfootlink.CallerGone},
		"the deadline has passed":     {false, true, coltsfootlink.PastDeadline},
		"neither":                     {false, false, ""},
	}
	for name, test := range cases {
		Convey("a permit is released if the request no longer needs it: "+name, t, func() {
			task, sender, clock := newTask()
			reply, gone := make(chan Choice, 1), make(chan struct{})
			request := newWant(clock, reply)
			request.Gone = gone
			request.Deadline = clock.now.Add(50 * time.Millisecond)
			task.handle(coltsfootlink.Delivery{Message: request})
			asked := sender.sent[0]
			ask := sender.takeAsks()[0]
			if test.callerGone {
				close(gone)
			}
			if test.pastDeadline {
				clock.now = clock.now.Add(100 * time.Millisecond)
			}
			task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: ask.Serial}})
			So(reply, ShouldHaveLength, 1)
			choice := <-reply
			if test.reason == "" {
				So(choice.Refusal, ShouldBeNil)
				So(task.running, ShouldHaveLength, 1)
				return
			}
			So(choice.Refusal, ShouldNotBeNil)
			So(choice.Refusal.Reason, ShouldEqual, test.reason)
			So(task.running, ShouldBeEmpty)
			So(sender.sent, ShouldHaveLength, 1)
			So(sender.sent[0].From, ShouldEqual, asked.From)
			So(sender.sent[0].Message, ShouldResemble, coltsfootlink.Progress{Serial: ask.Serial, Target: ask.Target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		})
	}
}

// TestUnresponsiveOwnersWhileShortOfCPU checks which owners count as unresponsive while the asking instance is short
// of CPU.
func TestUnresponsiveOwnersWhileShortOfCPU(t *testing.T) {
	const step = 20 * time.Millisecond
	always := func(time.Duration) bool { return true }
	first := func(after time.Duration) bool { return after < step }
	cases := map[string]struct {
		// answers selects the asks whose verdicts are handled, by owner and by the time of the ask since the start.
		answers      map[coltsfootlink.InstanceName]func(after time.Duration) bool
		unresponsive []coltsfootlink.InstanceName
	}{
		"one owner does not reply, others do":           {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-a": always, "i-b": always}, []coltsfootlink.InstanceName{"i-c"}},
		"all owners reply":                              {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-a": always, "i-b": always, "i-c": always}, nil},
		"no verdict has been handled":                   {nil, nil},
		"another owner replied to the first asks only":  {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-b": first}, nil},
		"only the asking instance replies, as an owner": {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-a": always}, []coltsfootlink.InstanceName{"i-b", "i-c"}},
	}
	for name, test := range cases {
		Convey("an owner is unresponsive if others replied to later asks: "+name, t, func() {
			task, sender, clock := newTask()
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithoutTarget("t-3").WithTarget(targetIn("t-4", "c"))}})
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a"), member("i-b", "b"), member("i-c", "c")}}}})
			// One measurement slightly above the CPU wait that is allowed (50 ms).
			task.handle(coltsfootlink.Delivery{Message: pressure.Changed{State: pressure.State{}.WithWait(60 * time.Millisecond)}})
			began := clock.now
			for clock.now.Before(began.Add(time.Second)) {
				// Each owner is asked in each step, i-b first.
				for _, avoided := range []map[coltsfootlink.TargetName]bool{{"t-1": true, "t-4": true}, {"t-2": true, "t-4": true}, {"t-1": true, "t-2": true}} {
					request := newWant(clock, make(chan Choice, 1))
					request.Avoid = avoided
					task.handle(coltsfootlink.Delivery{Message: request})
				}
				sent := sender.sent
				sender.sent = nil
				for _, delivery := range sent {
					ask, is := delivery.Message.(coltsfootlink.Ask)
					if answers := test.answers[delivery.From]; is && answers != nil && answers(clock.now.Sub(began)) {
						task.handle(coltsfootlink.Delivery{From: delivery.From, Message: coltsfootlink.Verdict{Serial: ask.Serial}})
					}
				}
				clock.now = clock.now.Add(step)
				task.expire()
			}
			So(task.backoffUntil, ShouldHaveLength, len(test.unresponsive))
			for _, owner := range test.unresponsive {
				So(task.backoffUntil, ShouldContainKey, owner)
			}
		})
	}
}
