// Package dispatch chooses candidate targets for each request of an instance and asks the targets' owners for
// permits.
package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/engine"
	"coltsfootlink/health"
	"coltsfootlink/mailbox"
	"coltsfootlink/notice"
	"coltsfootlink/placement"
	"coltsfootlink/pressure"
	"coltsfootlink/quarantine"
	"coltsfootlink/retry"
	"coltsfootlink/share"
)

const (
	// askTimeout is how long a target owner may take to reply to an Ask.
	askTimeout = 120 * time.Millisecond
	// slowAskTimeout is how long an owner may take to reply if it replies to other asks in the meantime.
	slowAskTimeout = 400 * time.Millisecond
	// ownerBackoff is how long the targets of an owner that did not reply are skipped.
	ownerBackoff = 500 * time.Millisecond
	// defaultRetryDelay is the retry delay for callers if it is not known when there will be capacity.
	defaultRetryDelay = 500 * time.Millisecond
)

// pending is a request that waits for a target.
type pending struct {
	want       Want
	candidates []coltsfootlink.Target
	// serial is the serial of the newest Ask and owner the target owner that it was sent to. The reply is due by
	// answerDeadline, or by slowAnswerDeadline if the owner replies to other asks in the meantime.
	serial                             uint64
	owner                              coltsfootlink.InstanceName
	answerDeadline, slowAnswerDeadline time.Time
	// pacedDeadline is when a paced permit that is granted for the newest Ask expires.
	pacedDeadline time.Time
	// refusal is the reply to the caller if no candidate is left.
	refusal *coltsfootlink.Refusal
	// tried are the targets that were considered, and those to avoid; spills is how many targets addSpillover may still
	// add.
	tried  map[coltsfootlink.TargetName]bool
	spills int
	// preference is the request's preference for zones.
	preference placement.Preference
}

// checkAt returns when the request is to be checked if its owner has not replied: at the deadline of the reply or at
// the request's own deadline, whichever is earlier.
func (waiting pending) checkAt() time.Time {
	if deadline := waiting.want.Deadline; !deadline.IsZero() && deadline.Before(waiting.answerDeadline) {
		return deadline
	}
	return waiting.answerDeadline
}

// refuse replies to the sender of the Want that the request gets no target.
func (waiting pending) refuse(refusal *coltsfootlink.Refusal) {
	waiting.want.Reply <- Choice{Serial: waiting.serial, Owner: waiting.owner, Refusal: refusal}
}

// running is a request that has a target.
type running struct {
	want               Want
	target             coltsfootlink.TargetName
	version            coltsfootlink.Version
	incarnation        uint64
	owner              coltsfootlink.InstanceName
	firstEventReceived bool
	// expectedMillis is the expected time to the first event, in milliseconds; zero if the target is not an engine.
	expectedMillis int
	// firstEventMillis is the time from sending the request to its first event, in milliseconds; zero before the
	// first event.
	firstEventMillis int
}

// Task asks the owners of targets for permits on behalf of its instance's requests. It owns the requests that wait
// for a target and keeps track of those that have one.
type Task struct {
	Self   coltsfootlink.Instance
	Clock  coltsfootlink.Clock
	Sender coltsfootlink.Sender
	Log    zerolog.Logger
	Inbox  *mailbox.Deliveries
	// RetryShare is the fraction of a retry that each first attempt adds to its pool's retry budget; RetrySlack is
	// the maximum number of retries that the whole fleet saves up for a pool.
	RetryShare float64
	RetrySlack float64
	// Duties is the inbox of the duty task, which counts the requests that begin to run; nil without usage reports.
	Duties *mailbox.Deliveries
	// CrashLog is the inbox of the task that keeps the strikes in the store; nil if they are not kept.
	CrashLog *mailbox.Deliveries
	// Rates tell which shared prefixes are cheap to read.
	Rates engine.Rates

	strikes health.Strikes
	// announced are the strikes that this instance has announced; instances that join later are told of them.
	announced health.Strikes
	// held are the records of the strikes that hold requests back.
	held  map[string]coltsfootlink.CrashRecord
	loads loads
	moves moves
	waits waitEstimates
	// placement ranks targets for requests; announcements are put in force again at placementDueAt.
	placement      placement.State
	placementDueAt time.Time
	// durations are how long answers take, and endsAt is when the instance ends; zero while it does not shut down.
	durations durations
	endsAt    time.Time
	// notices are the announcements of targets, and noticeOwners the target owners that they were last sent to.
	notices      notice.State
	noticeOwners map[coltsfootlink.TargetName]coltsfootlink.InstanceName
	// withheldUntil is until when the owner of a target refuses all requests for it.
	withheldUntil map[coltsfootlink.TargetName]time.Time
	budgets       map[coltsfootlink.PoolName]retry.Budget
	// pressure is how short of CPU the instance is.
	pressure pressure.State
	// barred are the prompts that are held back, and standings the announced shares of teams. The gate decides by them;
	// they are kept here to explain what would become of a request.
	barred    quarantine.View
	standings share.Standings
	catalog   coltsfootlink.Catalog
	view      coltsfootlink.View
	// owners caches the owners of targets; it is cleared when the view or the catalog changes.
	owners  map[ownerKey]coltsfootlink.InstanceName
	serial  uint64
	pending map[uint64]pending
	running map[uint64]running
	begun   begunRequests
	// backoffUntil is when the targets of an owner that did not reply are offered requests again.
	backoffUntil map[coltsfootlink.InstanceName]time.Time
	// lastVerdictAt is when the newest verdict of each owner was handled.
	lastVerdictAt map[coltsfootlink.InstanceName]time.Time
	// newestAnswered is the highest serial among the asks that each owner replied to in time.
	newestAnswered map[coltsfootlink.InstanceName]uint64
}

// Run handles messages until the context ends; requests that are still waiting for a target are then refused.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	defer task.refuseAll()
	timer := time.NewTimer(askTimeout)
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

// turn runs one iteration of the event loop. Messages are handled before timeouts, so that verdicts that arrived
// while the task was busy do not count as late.
func (task *Task) turn() {
	for _, delivery := range task.Inbox.Drain() {
		task.handle(delivery)
	}
	task.expire()
	now := task.Clock.Now()
	task.sendReports(now)
	if !now.Before(task.placementDueAt) {
		task.updatePlacement(now)
	}
}

func (task *Task) reset() {
	task.pending = make(map[uint64]pending)
	task.running = make(map[uint64]running)
	task.begun = make(begunRequests)
	task.strikes = health.NewStrikes()
	task.announced = health.NewStrikes()
	task.held = nil
	if task.CrashLog != nil {
		task.CrashLog.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesWanted{}})
	}
	task.loads = newLoads()
	task.moves = newMoves()
	task.waits = make(waitEstimates)
	task.placement = placement.NewState(task.Self.Zone, task.Rates).WithLive(liveZones(task.view))
	task.durations = make(durations)
	task.notices = notice.State{}
	task.withheldUntil = make(map[coltsfootlink.TargetName]time.Time)
	task.noticeOwners = make(map[coltsfootlink.TargetName]coltsfootlink.InstanceName)
	task.budgets = make(map[coltsfootlink.PoolName]retry.Budget)
	task.backoffUntil = make(map[coltsfootlink.InstanceName]time.Time)
	task.owners = make(map[ownerKey]coltsfootlink.InstanceName)
	task.lastVerdictAt = make(map[coltsfootlink.InstanceName]time.Time)
	task.newestAnswered = make(map[coltsfootlink.InstanceName]uint64)
	task.serial = rand.Uint64() >> 16
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Want:
		task.handleWant(message)
	case Report:
		task.handleReport(message)
	case coltsfootlink.Verdict:
		task.handleVerdict(delivery.From, message)
	case coltsfootlink.Strikes:
		task.handleStrikes(delivery.From, message)
	case coltsfootlink.CrashesRead:
		task.handleRecords(message)
	case Shed:
		task.creditRetryBudget(message.Pool)
		task.loads.countTeam(message.Pool, message.Team, message.Work.WeightedTokens(), 0)
	case coltsfootlink.TargetNotice:
		task.handleNotice(delivery.From, message)
	case coltsfootlink.MoveWord:
		task.moves.ledger = task.moves.ledger.WithWord(task.Clock.Now(), message)
	case coltsfootlink.TargetSpeeds:
		task.placement = task.placement.WithSpeeds(task.Clock.Now(), message.Speeds)
	case coltsfootlink.Shares:
		task.standings = task.standings.WithShares(task.Clock.Now(), message)
		task.placement = task.placement.WithZoneDemand(task.Clock.Now(), message.Pool, message.Zones)
	case quarantine.Changed:
		task.barred = message.View
	case coltsfootlink.Inquiry:
		message.Reply <- task.inquired(message)
	case pressure.Changed:
		task.pressure = message.State
	case coltsfootlink.Stopping:
		task.endsAt = message.EndsAt
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
		task.moves.ledger = task.moves.ledger.WithCatalog(message.Catalog)
		task.updatePlacement(task.Clock.Now())
		task.notices = task.notices.WithCatalog(task.Clock.Now(), message.Catalog)
		task.updateOwners()
	case coltsfootlink.ViewChanged:
		task.announced.SendToJoined(task.Clock.Now(), task.Sender, task.view, message.View)
		task.view = message.View
		for pool, budget := range task.budgets {
			task.budgets[pool] = budget.WithLimit(task.maxSavedRetries())
		}
		task.placement = task.placement.WithLive(liveZones(message.View))
		task.updateOwners()
	}
}

func (task *Task) handleWant(want Want) {
	want, refusal := task.withProbe(task.Clock.Now(), want)
	if refusal != nil {
		want.Reply <- Choice{Refusal: refusal}
		return
	}
	if refusal := task.refuseUnfinishable(want); refusal != nil {
		want.Reply <- Choice{Refusal: refusal}
		return
	}
	if refusal := task.chargeRetry(want); refusal != nil {
		want.Reply <- Choice{Refusal: refusal}
		return
	}
	if !want.Retry {
		task.loads.countTeam(want.Pool, want.Team, want.Work.WeightedTokens(), 0)
	}
	if refusal := task.deferFlood(want); refusal != nil {
		want.Reply <- Choice{Refusal: refusal}
		return
	}
	now, catalog := task.Clock.Now(), task.eligibleCatalog(want)
	waiting := pending{want: want, tried: maps.Clone(want.Avoid), spills: 1}
	if waiting.tried == nil {
		waiting.tried = make(map[coltsfootlink.TargetName]bool)
	}
	waiting.refusal = task.avoidWithheld(now, catalog, waiting)
	if want.Trial != 0 {
		waiting.candidates, waiting.spills = placement.TrialTarget(catalog, want.Pool, want.Trial), 0
	} else {
		waiting.candidates, waiting.preference = task.candidates(now, catalog, want, rand.Uint64(), waiting.tried)
	}
	task.askNext(waiting)
}

// chargeRetry takes a retry from the pool's retry budget, or credits the budget if this is a first attempt. It
// returns a refusal if the budget is used up.
func (task *Task) chargeRetry(want Want) *coltsfootlink.Refusal {
	if !want.Retry {
		task.creditRetryBudget(want.Pool)
		return nil
	}
	budget, allowed := task.retryBudget(want.Pool).WithRetry()
	task.budgets[want.Pool] = budget
	if !allowed {
		return coltsfootlink.Refuse(coltsfootlink.RetriesUsedUp, "too many requests were sent again").WithRetryAt(task.Clock.Now().Add(defaultRetryDelay))
	}
	return nil
}

// creditRetryBudget adds the fraction of a retry that a first attempt earns to the pool's retry budget.
func (task *Task) creditRetryBudget(pool coltsfootlink.PoolName) {
	task.budgets[pool] = task.retryBudget(pool).WithRequest()
}

func (task *Task) retryBudget(pool coltsfootlink.PoolName) retry.Budget {
	if budget, known := task.budgets[pool]; known {
		return budget
	}
	return retry.NewBudget(task.RetryShare, task.maxSavedRetries())
}

// maxSavedRetries returns the maximum number of retries that this instance saves up for a pool: its part of
// RetrySlack, but at least one.
func (task *Task) maxSavedRetries() float64 {
	return max(1, task.RetrySlack/float64(max(1, len(task.view.Members))))
}

// handleReport updates the statistics of a request and forwards its progress to the target's owner.
func (task *Task) handleReport(report Report) {
	request, found := task.running[report.Serial]
	if !found {
		return
	}
	task.countBegun(request, report)
	if report.Stage == coltsfootlink.Ended {
		delete(task.running, report.Serial)
		task.recordUsage(request, report)
		if report.Result == coltsfootlink.Succeeded {
			task.durations.record(request, report.Millis)
			task.clearStrikes(request)
		}
		if !request.firstEventReceived && report.Result != coltsfootlink.Succeeded {
			task.loads.countTeam(request.want.Pool, request.want.Team, 0, -request.want.Work.WeightedTokens())
		}
		if report.Result == coltsfootlink.Crashed {
			task.announceStrike(request)
		}
	} else {
		request.firstEventReceived = true
		request.firstEventMillis = report.Millis
		task.running[report.Serial] = request
	}
	task.Sender.Send(request.owner, coltsfootlink.Progress{
		Serial: report.Serial,
		Target: request.target,
		Stage:  report.Stage,
		Result: report.Result,
		Millis: report.Millis,
	})
}

// nextDeadline returns the earliest time at which a pending request is to be checked.
func (task *Task) nextDeadline() time.Time {
	var next time.Time
	for _, waiting := range task.pending {
		if at := waiting.checkAt(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (task *Task) refuseAll() {
	for _, waiting := range task.pending {
		waiting.want.Reply <- Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops")}
	}
}
