package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/health"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/retry"
)

const (
	// askLimit is how long an owner may take to answer.
	askLimit = 120 * time.Millisecond
	// slowLimit is how long an owner that answers others meanwhile may take.
	slowLimit = 400 * time.Millisecond
	// distrustSpan is how long an owner that did not answer is asked only if there is no other.
	distrustSpan = 500 * time.Millisecond
	// strikeSpan is how long a broken connection counts against requests like the one that it carried.
	strikeSpan = 30 * time.Second
	// busyPause is how long a caller should stay away when nothing is known of when there will be room.
	busyPause = 500 * time.Millisecond
)

// pending is a request that has no target yet.
type pending struct {
	want       Want
	candidates []coltsfootlink.Target
	// serial and asked are the newest question and the owner that is to answer it, by answerBy, or by slowBy if it
	// answers others meanwhile.
	serial           uint64
	asked            coltsfootlink.InstanceName
	answerBy, slowBy time.Time
	// pacedBy is when a permit for a cold target is too old.
	pacedBy time.Time
	refusal *coltsfootlink.Refusal
	// tried are the targets whose owners were asked; spilled says that the least loaded of all was added.
	tried   map[coltsfootlink.TargetName]bool
	spilled bool
}

// lookBy is when the request is looked at if its owner has not answered; its own deadline may come first.
func (waiting pending) lookBy() time.Time {
	if deadline := waiting.want.Deadline; !deadline.IsZero() && deadline.Before(waiting.answerBy) {
		return deadline
	}
	return waiting.answerBy
}

// refuse tells who asked that the request gets no target.
func (waiting pending) refuse(refusal *coltsfootlink.Refusal) {
	waiting.want.Reply <- Choice{Serial: waiting.serial, Owner: waiting.asked, Refusal: refusal}
}

// running is a request that has a target.
type running struct {
	want    Want
	target  coltsfootlink.TargetName
	version coltsfootlink.Version
	owner   coltsfootlink.InstanceName
	read    bool
	// firstMillis is the time to the first event in milliseconds; zero before.
	firstMillis int
}

// Task owns the requests of an instance that have no target yet, and knows which targets the others have.
type Task struct {
	Self   coltsfootlink.Instance
	Clock  coltsfootlink.Clock
	Sender coltsfootlink.Sender
	Log    zerolog.Logger
	Inbox  *mailbox.Deliveries
	// RetryShare is the part of a retry that each request earns; RetrySlack is the most that the fleet saves up.
	RetryShare float64
	RetrySlack float64

	strikes health.Strikes
	offers  offers
	moves   moves
	waits   waits
	budgets map[coltsfootlink.PoolName]retry.Budget
	// pressure is how far the processor of the instance is behind.
	pressure pressure.State
	catalog  coltsfootlink.Catalog
	view     coltsfootlink.View
	// owners are the owners of targets that were asked for since the view or the catalog last changed.
	owners map[place]coltsfootlink.InstanceName
	// live are the zones with live instances.
	live    map[coltsfootlink.ZoneName]bool
	serial  uint64
	pending map[uint64]pending
	running map[uint64]running
	// distrusted are the owners that did not answer, and until when.
	distrusted map[coltsfootlink.InstanceName]time.Time
	// heard is when an owner's newest verdict came.
	heard map[coltsfootlink.InstanceName]time.Time
	// answered is the newest question that an owner answered in time.
	answered map[coltsfootlink.InstanceName]uint64
}

// Run answers until the context ends; requests that then have no target are refused.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	defer task.refuseAll()
	timer := time.NewTimer(askLimit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-task.Inbox.Ready():
		}
		task.turn()
		if len(task.pending) > 0 {
			timer.Reset(time.Until(task.nextDeadline()))
		}
	}
}

// turn handles what has come, and then what has not come in time: verdicts that came while the task was busy
// go before their time limits.
func (task *Task) turn() {
	for _, delivery := range task.Inbox.Drain() {
		task.handle(delivery)
	}
	task.expire()
	task.tell(task.Clock.Now())
}

func (task *Task) reset() {
	task.pending = make(map[uint64]pending)
	task.running = make(map[uint64]running)
	task.strikes = health.NewStrikes()
	task.offers = newOffers()
	task.moves = newMoves()
	task.waits = make(waits)
	task.budgets = make(map[coltsfootlink.PoolName]retry.Budget)
	task.distrusted = make(map[coltsfootlink.InstanceName]time.Time)
	task.owners = make(map[place]coltsfootlink.InstanceName)
	task.heard = make(map[coltsfootlink.InstanceName]time.Time)
	task.answered = make(map[coltsfootlink.InstanceName]uint64)
	task.serial = rand.Uint64() >> 16
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Want:
		task.want(message)
	case Report:
		task.report(message)
	case coltsfootlink.Verdict:
		task.verdict(delivery.From, message)
	case coltsfootlink.Strikes:
		for _, strike := range message.Strikes {
			task.strikes, _ = task.strikes.WithStrike(strike)
		}
		task.strikes = task.strikes.WithoutExpired(task.Clock.Now())
	case Shed:
		task.earn(message.Pool)
		task.offers.count(message.Pool, message.Team, tokensOf(message.Work), 0)
	case coltsfootlink.MoveWord:
		task.moves.words[message.Move.Pool] = moveWord{MoveWord: message, until: task.Clock.Now().Add(moveWordSpan)}
	case pressure.Changed:
		task.pressure = message.State
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
		task.followOwners()
	case coltsfootlink.ViewChanged:
		task.view = message.View
		for pool, budget := range task.budgets {
			task.budgets[pool] = budget.WithLimit(task.mostRetries())
		}
		task.live = make(map[coltsfootlink.ZoneName]bool)
		for _, member := range message.View.Live() {
			task.live[member.Zone] = true
		}
		task.followOwners()
	}
}

func (task *Task) want(want Want) {
	if task.strikes.Barred(task.Clock.Now(), want.Fingerprint) {
		refusal := coltsfootlink.Refuse(coltsfootlink.CrashingRequest, "targets crashed while they ran requests like this one")
		want.Reply <- Choice{Refusal: refusal.WithRetryAt(task.Clock.Now().Add(strikeSpan))}
		return
	}
	if refusal := task.pay(want); refusal != nil {
		want.Reply <- Choice{Refusal: refusal}
		return
	}
	if !want.Retry {
		task.offers.count(want.Pool, want.Team, tokensOf(want.Work), 0)
	}
	if refusal := task.hold(want); refusal != nil {
		want.Reply <- Choice{Refusal: refusal}
		return
	}
	draw := rand.Uint64()
	waiting := pending{
		want:       want,
		tried:      maps.Clone(want.Avoid),
		candidates: Candidates(task.movable(want), task.live, want.Pool, want.Work, task.Self.Zone, draw, want.Avoid),
		refusal:    coltsfootlink.Refuse(coltsfootlink.NoTarget, "the pool has no target in service").WithRetryAt(task.Clock.Now().Add(busyPause)),
	}
	if waiting.tried == nil {
		waiting.tried = make(map[coltsfootlink.TargetName]bool)
	}
	task.askNext(waiting)
}

// pay takes a retry out of the pool's budget, to which each first attempt adds a part of one.
func (task *Task) pay(want Want) *coltsfootlink.Refusal {
	if !want.Retry {
		task.earn(want.Pool)
		return nil
	}
	budget, allowed := task.budget(want.Pool).WithRetry()
	task.budgets[want.Pool] = budget
	if !allowed {
		return coltsfootlink.Refuse(coltsfootlink.RetriesUsedUp, "too many requests were sent again").WithRetryAt(task.Clock.Now().Add(busyPause))
	}
	return nil
}

// earn counts a first attempt.
func (task *Task) earn(pool coltsfootlink.PoolName) {
	task.budgets[pool] = task.budget(pool).WithRequest()
}

func (task *Task) budget(pool coltsfootlink.PoolName) retry.Budget {
	if budget, known := task.budgets[pool]; known {
		return budget
	}
	return retry.NewBudget(task.RetryShare, task.mostRetries())
}

// mostRetries is how many retries this instance saves up of what the fleet may.
func (task *Task) mostRetries() float64 {
	return max(1, task.RetrySlack/float64(max(1, len(task.view.Members))))
}

// report tells the owner of the target how far a request has come.
func (task *Task) report(report Report) {
	held, found := task.running[report.Serial]
	if !found {
		return
	}
	if report.Stage == coltsfootlink.Ended {
		delete(task.running, report.Serial)
		task.noteUsage(held, report)
		if !held.read && report.Result != coltsfootlink.Succeeded {
			task.offers.count(held.want.Pool, held.want.Team, 0, -tokensOf(held.want.Work))
		}
		if report.Result == coltsfootlink.Crashed {
			task.strike(held)
		}
	} else {
		held.read = true
		held.firstMillis = report.Millis
		task.running[report.Serial] = held
	}
	task.Sender.Send(held.owner, coltsfootlink.Progress{
		Serial: report.Serial,
		Target: held.target,
		Stage:  report.Stage,
		Result: report.Result,
		Millis: report.Millis,
	})
}

// nextDeadline returns when the first request is to be looked at.
func (task *Task) nextDeadline() time.Time {
	var next time.Time
	for _, waiting := range task.pending {
		if by := waiting.lookBy(); next.IsZero() || by.Before(next) {
			next = by
		}
	}
	return next
}

func (task *Task) refuseAll() {
	for _, waiting := range task.pending {
		waiting.want.Reply <- Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops")}
	}
}
