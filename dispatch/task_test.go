package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
)

// wire keeps the messages that a task sends.
type wire struct {
	sent []coltsfootlink.Delivery
}

// Send keeps a message; From is whom it goes to.
func (wire *wire) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	wire.sent = append(wire.sent, coltsfootlink.Delivery{From: to, Message: message})
}

// asks returns the questions that were sent since the last look.
func (wire *wire) asks() []coltsfootlink.Ask {
	var asks []coltsfootlink.Ask
	for _, delivery := range wire.sent {
		if ask, is := delivery.Message.(coltsfootlink.Ask); is {
			asks = append(asks, ask)
		}
	}
	wire.sent = nil
	return asks
}

// hands is a clock that is set by hand.
type hands struct{ now time.Time }

// Now returns the time that was set.
func (hands *hands) Now() time.Time { return hands.now }

func member(name coltsfootlink.InstanceName, zone coltsfootlink.ZoneName) coltsfootlink.Member {
	return coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name, Zone: zone}, Live: true}
}

func targetIn(name coltsfootlink.TargetName, zone coltsfootlink.ZoneName) coltsfootlink.Target {
	return coltsfootlink.Target{Name: name, Pool: "p", Zone: zone, Slots: 4}
}

// newTask returns a task that knows three targets in two zones, each zone with one instance.
func newTask() (*Task, *wire, *hands) {
	kept, clock := new(wire), &hands{now: time.UnixMilli(1_700_000_000_000)}
	task := &Task{
		Self: coltsfootlink.Instance{Name: "i-a", Zone: "a"}, Clock: clock, Sender: kept, Log: zerolog.Nop(),
		Inbox: mailbox.NewDeliveries(), RetryShare: 0.1, RetrySlack: 1,
	}
	task.reset()
	var catalog coltsfootlink.Catalog
	for _, target := range []coltsfootlink.Target{targetIn("t-1", "a"), targetIn("t-2", "b"), targetIn("t-3", "b")} {
		catalog = catalog.WithTarget(target)
	}
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
	task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a"), member("i-b", "b")}}}})
	return task, kept, clock
}

func want(clock *hands, reply chan<- Choice) Want {
	return Want{
		ID: "r", Pool: "p", Team: "x", Objective: clock.now.Add(time.Second), Deadline: clock.now.Add(time.Minute), Reply: reply,
		Work: coltsfootlink.Work{Prompt: []coltsfootlink.CachePart{{Key: 7, Tokens: 100}, {Key: 8, Tokens: 10}}},
	}
}

// TestVerdicts holds for what owners say of one request.
func TestVerdicts(t *testing.T) {
	granted := func(task *Task, _ *hands, ask coltsfootlink.Ask) {
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
	}
	full := func(task *Task, _ *hands, ask coltsfootlink.Ask) {
		task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.TargetFull}})
	}
	silent := func(task *Task, clock *hands, _ coltsfootlink.Ask) {
		clock.now = clock.now.Add(askLimit)
		task.expire()
	}
	type answer = func(*Task, *hands, coltsfootlink.Ask)
	cases := map[string]struct {
		answers []answer
		target  bool
		reason  coltsfootlink.Reason
	}{
		"the first owner agrees":              {[]answer{granted}, true, ""},
		"the second target has room":          {[]answer{full, granted}, true, ""},
		"all are full":                        {[]answer{full, full, full}, false, coltsfootlink.TargetFull},
		"an owner is silent, another answers": {[]answer{silent, granted}, true, ""},
		"all owners are silent":               {[]answer{silent, silent}, false, coltsfootlink.OwnerSilent},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, kept, clock := newTask()
			reply := make(chan Choice, 1)
			task.handle(coltsfootlink.Delivery{Message: want(clock, reply)})
			asked := make(map[coltsfootlink.TargetName]bool)
			for _, act := range test.answers {
				asks := kept.asks()
				So(asks, ShouldHaveLength, 1)
				So(asked[asks[0].Target], ShouldBeFalse)
				asked[asks[0].Target] = true
				act(task, clock, asks[0])
			}
			choice := <-reply
			So(choice.Refusal == nil, ShouldEqual, test.target)
			if !test.target {
				So(choice.Refusal.Reason, ShouldEqual, test.reason)
				So(choice.Refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
				So(choice.Refusal.RetryAt, ShouldHappenAfter, clock.now)
			}
			So(task.pending, ShouldBeEmpty)
		})
	}
}

func TestAffinity(t *testing.T) {
	cases := map[string]struct {
		change func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog
		same   bool
	}{
		"the same parts go to the same target": {func(catalog coltsfootlink.Catalog, _ coltsfootlink.TargetName) coltsfootlink.Catalog { return catalog }, true},
		"another target may come": {func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog {
			for name := range catalog.Targets {
				if name != home {
					return catalog.WithoutTarget(name)
				}
			}
			return catalog
		}, true},
		"a target that leaves gets nothing": {func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog {
			return catalog.WithTarget(catalog.Targets[home].WithLeaving(true))
		}, false},
		"a zone that is out gets nothing": {func(catalog coltsfootlink.Catalog, home coltsfootlink.TargetName) coltsfootlink.Catalog {
			return catalog.WithZoneOut(catalog.Targets[home].Zone, true)
		}, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTask()
			work := want(clock, nil).Work
			first := Candidates(task.catalog, task.live, "p", work, "a", 1, nil)
			So(first, ShouldHaveLength, 3)
			changed := test.change(task.catalog, first[0].Name)
			second := Candidates(changed, task.live, "p", work, "b", 2, nil)
			So(second[0].Name == first[0].Name, ShouldEqual, test.same)
			for _, target := range second {
				So(changed.Usable(target), ShouldBeTrue)
			}
		})
	}
	Convey("requests that share nothing stay in their zone first", t, func() {
		task, _, _ := newTask()
		for draw := range uint64(20) {
			So(Candidates(task.catalog, task.live, "p", coltsfootlink.Work{}, "a", draw, nil)[0].Name, ShouldEqual, coltsfootlink.TargetName("t-1"))
		}
	})
	Convey("targets of a zone without live instances are offered only if there are no others", t, func() {
		task, _, clock := newTask()
		work := want(clock, nil).Work
		for _, target := range Candidates(task.catalog, map[coltsfootlink.ZoneName]bool{"b": true}, "p", work, "b", 1, nil) {
			So(target.Zone, ShouldEqual, coltsfootlink.ZoneName("b"))
		}
		So(Candidates(task.catalog, nil, "p", work, "b", 1, nil), ShouldHaveLength, 3)
	})
	Convey("a target that has had the request is not asked again", t, func() {
		task, _, clock := newTask()
		work := want(clock, nil).Work
		home := Candidates(task.catalog, task.live, "p", work, "a", 1, nil)[0].Name
		for _, target := range Candidates(task.catalog, task.live, "p", work, "a", 1, map[coltsfootlink.TargetName]bool{home: true}) {
			So(target.Name, ShouldNotEqual, home)
		}
	})
}

func TestBusyTask(t *testing.T) {
	Convey("a verdict that waits in the mailbox goes before its time limit", t, func() {
		task, kept, clock := newTask()
		reply := make(chan Choice, 1)
		task.Inbox.Put(coltsfootlink.Delivery{Message: want(clock, reply)})
		task.turn()
		ask := kept.asks()[0]
		clock.now = clock.now.Add(2 * askLimit)
		task.Inbox.Put(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
		task.turn()
		So((<-reply).Refusal, ShouldBeNil)
		So(task.distrusted, ShouldBeEmpty)
	})
}

func TestUselessRequestsAskNobody(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	cases := map[string]struct {
		gone   <-chan struct{}
		after  time.Duration
		reason coltsfootlink.Reason
	}{
		"the caller is there":   {make(chan struct{}), 0, ""},
		"the caller has left":   {gone, 0, coltsfootlink.CallerGone},
		"the deadline has past": {make(chan struct{}), 2 * time.Minute, coltsfootlink.PastDeadline},
	}
	for name, test := range cases {
		Convey("after a refusal the next owner is asked only if that is of use: "+name, t, func() {
			task, kept, clock := newTask()
			reply := make(chan Choice, 1)
			wanted := want(clock, reply)
			task.handle(coltsfootlink.Delivery{Message: wanted})
			asked := kept.sent[0]
			serial := kept.asks()[0].Serial
			waiting := task.pending[serial]
			waiting.want.Gone = test.gone
			task.pending[serial] = waiting
			clock.now = clock.now.Add(test.after)
			task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: serial, Reason: coltsfootlink.TargetFull}})
			if test.reason == "" {
				So(len(kept.asks()), ShouldEqual, 1)
				return
			}
			So(kept.asks(), ShouldBeEmpty)
			So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestSlowOwners holds for an owner that has not answered one request in time.
func TestSlowOwners(t *testing.T) {
	cases := map[string]struct {
		// heard is how long before the look another verdict of the owner came; zero for none.
		heard time.Duration
		// after is the time from the question to the look.
		after time.Duration
		// behind says that the processor of the instance that asks is behind.
		behind         bool
		waits, trusted bool
	}{
		"it answers nobody":                                {0, askLimit, false, false, false},
		"it answers others":                                {askLimit / 4, askLimit, false, true, true},
		"it answered others long ago":                      {askLimit + 1, 2 * askLimit, false, false, false},
		"it answers others, and takes too long":            {askLimit / 4, slowLimit, false, false, true},
		"it answers others, and is not yet late":           {askLimit / 4, askLimit / 2, false, true, true},
		"it answers nobody, and who asks is behind":        {0, askLimit, true, true, true},
		"it takes too long, and who asks is behind":        {0, slowLimit, true, false, true},
		"it is not yet late, and who asks is behind":       {0, askLimit / 2, true, true, true},
		"it answers others, and who asks is behind, a lot": {askLimit / 4, slowLimit, true, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, kept, clock := newTask()
			if test.behind {
				task.handle(coltsfootlink.Delivery{Message: pressure.Changed{State: pressure.State{}.WithWait(time.Second)}})
			}
			task.handle(coltsfootlink.Delivery{Message: want(clock, make(chan Choice, 1))})
			asked := kept.sent[0]
			serial := kept.asks()[0].Serial
			clock.now = clock.now.Add(test.after - test.heard)
			if test.heard > 0 {
				task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: serial + 1}})
			}
			clock.now = clock.now.Add(test.heard)
			task.expire()
			_, waits := task.pending[serial]
			So(waits, ShouldEqual, test.waits)
			_, distrusted := task.distrusted[asked.From]
			So(distrusted, ShouldEqual, !test.trusted)
		})
	}
}

// TestPacedPermits holds for permits for a target that may be cold.
func TestPacedPermits(t *testing.T) {
	cases := map[string]struct {
		paced bool
		after time.Duration
		used  bool
	}{
		"used at once":                    {true, 20 * time.Millisecond, true},
		"too old":                         {true, coltsfootlink.PacedPermitTTL + time.Millisecond, false},
		"old, but the target is not cold": {false, coltsfootlink.PacedPermitTTL + time.Millisecond, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, kept, clock := newTask()
			reply := make(chan Choice, 1)
			task.handle(coltsfootlink.Delivery{Message: want(clock, reply)})
			asked := kept.sent[0]
			ask := kept.asks()[0]
			clock.now = clock.now.Add(test.after)
			task.handle(coltsfootlink.Delivery{From: asked.From, Message: coltsfootlink.Verdict{Serial: ask.Serial, Paced: test.paced}})
			if test.used {
				So((<-reply).Target.Name, ShouldEqual, ask.Target)
				return
			}
			So(kept.sent[0].From, ShouldEqual, asked.From)
			So(kept.sent[0].Message, ShouldResemble, coltsfootlink.Progress{Serial: ask.Serial, Target: ask.Target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
			So(kept.asks()[0].Target, ShouldNotEqual, ask.Target)
		})
	}
}

func TestRetries(t *testing.T) {
	Convey("retries beyond the budget are refused, and first attempts earn more", t, func() {
		task, _, clock := newTask()
		send := func(retry bool) *coltsfootlink.Refusal {
			reply := make(chan Choice, 1)
			question := want(clock, reply)
			question.Retry = retry
			task.handle(coltsfootlink.Delivery{Message: question})
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

func TestNewOwners(t *testing.T) {
	Convey("a new owner is told of the requests on its target", t, func() {
		task, kept, clock := newTask()
		reply := make(chan Choice, 1)
		task.handle(coltsfootlink.Delivery{Message: want(clock, reply)})
		ask := kept.asks()[0]
		task.handle(coltsfootlink.Delivery{From: "i-z", Message: coltsfootlink.Verdict{Serial: ask.Serial}})
		choice := <-reply
		task.handle(coltsfootlink.Delivery{Message: Report{Serial: choice.Serial, Stage: coltsfootlink.FirstEvent}})
		kept.sent = nil
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: task.view}})
		So(kept.sent, ShouldHaveLength, 1)
		held := kept.sent[0].Message.(coltsfootlink.Held)
		So(held.Target, ShouldEqual, choice.Target.Name)
		So(held.Requests, ShouldHaveLength, 1)
		So(held.Requests[0].FirstEventReceived, ShouldBeTrue)
		kept.sent = nil
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: task.view}})
		So(kept.sent, ShouldBeEmpty)
	})
}

// TestAsksGoToTheOwnerOfTheMoment holds for what is known of owners when others live.
func TestAsksGoToTheOwnerOfTheMoment(t *testing.T) {
	a, b := member("i-a", "a"), member("i-b", "b")
	dead := b
	dead.Live = false
	cases := map[string][]struct {
		members []coltsfootlink.Member
		// asked is who owns the targets of zone b.
		asked coltsfootlink.InstanceName
	}{
		"the owner dies":             {{[]coltsfootlink.Member{a, b}, "i-b"}, {[]coltsfootlink.Member{a, dead}, "i-a"}},
		"the owner comes back":       {{[]coltsfootlink.Member{a, dead}, "i-a"}, {[]coltsfootlink.Member{a, b}, "i-b"}},
		"the owner is gone for good": {{[]coltsfootlink.Member{a, b}, "i-b"}, {[]coltsfootlink.Member{a}, "i-a"}},
	}
	for name, views := range cases {
		Convey("owners are asked by who lives: "+name, t, func() {
			task, kept, clock := newTask()
			for _, view := range views {
				task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: view.members}}})
				kept.sent = nil
				question := want(clock, make(chan Choice, 1))
				question.Avoid = map[coltsfootlink.TargetName]bool{"t-1": true}
				task.handle(coltsfootlink.Delivery{Message: question})
				So(kept.sent, ShouldHaveLength, 1)
				So(kept.sent[0].From, ShouldEqual, view.asked)
			}
		})
	}
}

func TestStanding(t *testing.T) {
	for name, standing := range map[string]coltsfootlink.Standing{
		"owners are told of requests within the share": coltsfootlink.Entitled,
		"and of those that targets can bear":           coltsfootlink.Bearable,
		"and of the rest":                              coltsfootlink.Surplus,
	} {
		Convey(name, t, func() {
			task, kept, clock := newTask()
			question := want(clock, make(chan Choice, 1))
			question.Standing = standing
			task.handle(coltsfootlink.Delivery{Message: question})
			So(kept.asks()[0].Standing, ShouldEqual, standing)
		})
	}
	offers := map[string]struct {
		reason coltsfootlink.Reason
		asked  int
	}{
		"beyond the share, a full target ends it":        {coltsfootlink.TargetFull, 1},
		"beyond the share, another stands in for a dead": {coltsfootlink.TargetDown, 3},
	}
	for name, test := range offers {
		Convey(name, t, func() {
			task, kept, clock := newTask()
			reply := make(chan Choice, 1)
			question := want(clock, reply)
			question.Standing = coltsfootlink.Bearable
			task.handle(coltsfootlink.Delivery{Message: question})
			asked := 0
			for asks := kept.asks(); len(asks) > 0; asks = kept.asks() {
				asked++
				task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: asks[0].Serial, Reason: test.reason}})
			}
			So(asked, ShouldEqual, test.asked)
			So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
		})
	}
	tells := map[string]struct {
		act     func(task *Task, question Want, ask func() coltsfootlink.Ask)
		offered coltsfootlink.TeamLoad
		// tried is the work that was offered to targets.
		tried float64
	}{
		"a request": {func(task *Task, question Want, _ func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: question})
		}, coltsfootlink.TeamLoad{Team: "x", Tokens: 150}, 0},
		"a request that was not offered": {func(task *Task, question Want, _ func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: Shed{Pool: question.Pool, Team: question.Team, Work: question.Work}})
		}, coltsfootlink.TeamLoad{Team: "x", Tokens: 150}, 0},
		"a request with a permit": {func(task *Task, question Want, ask func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: question})
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: ask().Serial}})
		}, coltsfootlink.TeamLoad{Team: "x", Tokens: 150, Granted: 150}, 150},
		"a request whose permit was of no use": {func(task *Task, question Want, ask func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: question})
			serial := ask().Serial
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial}})
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused}})
		}, coltsfootlink.TeamLoad{Team: "x", Tokens: 150}, 150},
		"a request that broke after its first event": {func(task *Task, question Want, ask func() coltsfootlink.Ask) {
			task.handle(coltsfootlink.Delivery{Message: question})
			serial := ask().Serial
			task.handle(coltsfootlink.Delivery{From: "i-b", Message: coltsfootlink.Verdict{Serial: serial}})
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.FirstEvent}})
			task.handle(coltsfootlink.Delivery{Message: Report{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Crashed}})
		}, coltsfootlink.TeamLoad{Team: "x", Tokens: 150, Granted: 150}, 150},
	}
	for name, test := range tells {
		Convey("the keeper of the shares is told once of "+name, t, func() {
			task, kept, clock := newTask()
			question := want(clock, make(chan Choice, 1))
			question.Work.PromptTokens, question.Work.OutputTokens = 110, 20
			test.act(task, question, func() coltsfootlink.Ask { return kept.asks()[0] })
			kept.sent = nil
			task.tell(clock.now)
			So(kept.sent, ShouldHaveLength, 1)
			So(kept.sent[0].Message, ShouldResemble, coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{test.offered}, Attempted: test.tried})
			clock.now = clock.now.Add(time.Second)
			task.tell(clock.now)
			So(kept.sent, ShouldHaveLength, 1)
		})
	}
}

func TestFleetKeepsItsRetryBudget(t *testing.T) {
	const slack = 136.5
	cases := map[string]struct{ instances int }{"one": {1}, "seven": {7}, "eight": {8}, "31": {31}, "71": {71}, "136": {136}}
	for name, test := range cases {
		Convey("what all instances save up is within the budget of the fleet: "+name, t, func() {
			task, _, _ := newTask()
			task.RetryShare, task.RetrySlack = 0.15, slack
			var view coltsfootlink.View
			for index := range test.instances {
				view.Members = append(view.Members, member(coltsfootlink.InstanceName(fmt.Sprint("i-", index)), "a"))
			}
			task.budgets["p"] = task.budget("p")
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
			for _, pool := range []coltsfootlink.PoolName{"p", "q"} {
				saved := 0
				for range 1000 {
					task.earn(pool)
				}
				for task.pay(Want{Pool: pool, Retry: true}) == nil {
					saved++
				}
				So(saved, ShouldBeGreaterThan, 0)
				So(saved*test.instances, ShouldBeLessThanOrEqualTo, slack)
			}
		})
	}
}

// TestDeadlines holds for requests that wait for an owner's word.
func TestDeadlines(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	cases := map[string]struct {
		// left is the time to the request's deadline, and after that from the question to the look.
		left, after time.Duration
		behind      bool
		gone        <-chan struct{}
		reason      coltsfootlink.Reason
	}{
		"it comes before the owner's":                       {askLimit / 2, askLimit / 2, false, nil, coltsfootlink.PastDeadline},
		"it comes before the owner's, which is put off":     {askLimit / 2, askLimit / 2, true, nil, coltsfootlink.PastDeadline},
		"it comes after the owner's, which is put off":      {2 * askLimit, 2 * askLimit, true, nil, coltsfootlink.PastDeadline},
		"it is not over":                                    {askLimit / 2, askLimit / 4, false, nil, ""},
		"it is not over, but the caller has left meanwhile": {askLimit / 2, askLimit / 4, false, gone, coltsfootlink.CallerGone},
	}
	for name, test := range cases {
		Convey("a request is answered at its own deadline: "+name, t, func() {
			task, kept, clock := newTask()
			if test.behind {
				task.handle(coltsfootlink.Delivery{Message: pressure.Changed{State: pressure.State{}.WithWait(time.Second)}})
			}
			reply := make(chan Choice, 1)
			question := want(clock, reply)
			question.Deadline = clock.now.Add(test.left)
			task.handle(coltsfootlink.Delivery{Message: question})
			asked := kept.sent[0]
			ask := kept.asks()[0]
			held := task.pending[ask.Serial]
			held.want.Gone = test.gone
			task.pending[ask.Serial] = held
			So(task.nextDeadline(), ShouldHappenOnOrBefore, question.Deadline)
			clock.now = clock.now.Add(test.after)
			task.turn()
			if test.reason == "" {
				So(reply, ShouldBeEmpty)
				return
			}
			So(reply, ShouldHaveLength, 1)
			So((<-reply).Refusal.Reason, ShouldEqual, test.reason)
			So(task.pending, ShouldBeEmpty)
			So(task.distrusted, ShouldBeEmpty)
			So(kept.sent[0].From, ShouldEqual, asked.From)
			So(kept.sent[0].Message, ShouldResemble, coltsfootlink.Progress{Serial: ask.Serial, Target: ask.Target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		})
	}
}

// TestPermitsThatComeTooLate holds for requests to which a target would be of no use any more.
func TestPermitsThatComeTooLate(t *testing.T) {
	cases := map[string]struct {
		left, late bool
		reason     coltsfootlink.Reason
	}{
		"the caller left":     {true, false, coltsfootlink.CallerGone},
		"the deadline passed": {false, true, coltsfootlink.PastDeadline},
		"neither":             {false, false, ""},
	}
	for name, test := range cases {
		Convey("a permit is given back where it is of no use: "+name, t, func() {
			task, kept, clock := newTask()
			reply, gone := make(chan Choice, 1), make(chan struct{})
			question := want(clock, reply)
			question.Gone = gone
			question.Deadline = clock.now.Add(50 * time.Millisecond)
			task.handle(coltsfootlink.Delivery{Message: question})
			asked := kept.sent[0]
			ask := kept.asks()[0]
			if test.left {
				close(gone)
			}
			if test.late {
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
			So(kept.sent, ShouldHaveLength, 1)
			So(kept.sent[0].From, ShouldEqual, asked.From)
			So(kept.sent[0].Message, ShouldResemble, coltsfootlink.Progress{Serial: ask.Serial, Target: ask.Target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
		})
	}
}

// TestSilentOwnersWhileBehind holds for owners that do not answer while the processor of who asks is behind.
func TestSilentOwnersWhileBehind(t *testing.T) {
	const step = 20 * time.Millisecond
	always := func(time.Duration) bool { return true }
	first := func(after time.Duration) bool { return after < step }
	cases := map[string]struct {
		// answers says which verdicts of the owners are read, by the time of the question since the start.
		answers map[coltsfootlink.InstanceName]func(after time.Duration) bool
		silent  []coltsfootlink.InstanceName
	}{
		"one is silent, others answer":         {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-a": always, "i-b": always}, []coltsfootlink.InstanceName{"i-c"}},
		"all answer":                           {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-a": always, "i-b": always, "i-c": always}, nil},
		"no verdict has been read":             {nil, nil},
		"others answered what was asked first": {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-b": first}, nil},
		"only the instance itself answers":     {map[coltsfootlink.InstanceName]func(time.Duration) bool{"i-a": always}, []coltsfootlink.InstanceName{"i-b", "i-c"}},
	}
	for name, test := range cases {
		Convey("an owner is silent if others answered what was asked later: "+name, t, func() {
			task, kept, clock := newTask()
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithoutTarget("t-3").WithTarget(targetIn("t-4", "c"))}})
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{member("i-a", "a"), member("i-b", "b"), member("i-c", "c")}}}})
			// One look slightly over what is allowed.
			task.handle(coltsfootlink.Delivery{Message: pressure.Changed{State: pressure.State{}.WithWait(60 * time.Millisecond)}})
			began := clock.now
			for clock.now.Before(began.Add(time.Second)) {
				// Each owner is asked in each step, i-b first.
				for _, avoided := range []map[coltsfootlink.TargetName]bool{{"t-1": true, "t-4": true}, {"t-2": true, "t-4": true}, {"t-1": true, "t-2": true}} {
					question := want(clock, make(chan Choice, 1))
					question.Avoid = avoided
					task.handle(coltsfootlink.Delivery{Message: question})
				}
				sent := kept.sent
				kept.sent = nil
				for _, one := range sent {
					ask, is := one.Message.(coltsfootlink.Ask)
					if answers := test.answers[one.From]; is && answers != nil && answers(clock.now.Sub(began)) {
						task.handle(coltsfootlink.Delivery{From: one.From, Message: coltsfootlink.Verdict{Serial: ask.Serial}})
					}
				}
				clock.now = clock.now.Add(step)
				task.expire()
			}
			So(task.distrusted, ShouldHaveLength, len(test.silent))
			for _, owner := range test.silent {
				So(task.distrusted, ShouldContainKey, owner)
			}
		})
	}
}
