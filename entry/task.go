package entry

import (
	"context"
	"strconv"
	"time"

	"coltsfootlink"
	"coltsfootlink/health"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/queue"
	"coltsfootlink/retry"
)

const (
	// tickInterval is how often deadlines are checked.
	tickInterval = 100 * time.Millisecond
	// resyncInterval is the time between two full reports to the shard owners.
	resyncInterval = 2 * time.Second
	// retryShare is the fraction of a retry that each successful request adds to the retry budget, and maxRetries the
	// maximum that the budget holds.
	retryShare = 0.1
	maxRetries = 20
	// busyRetryDelay is how long a caller is asked to wait before a retry when the instance cannot serve it.
	busyRetryDelay = time.Second
)

// Task owns the queues of an instance and the permits that it holds.
type Task struct {
	Self      coltsfootlink.InstanceName
	Clock     coltsfootlink.Clock
	Placement coltsfootlink.Placement
	Sender    coltsfootlink.Sender
	Recorder  coltsfootlink.Recorder
	Inbox     *mailbox.Deliveries

	queue   queue.State
	held    queue.PermitSet
	served  queue.Served
	strikes health.Strikes
	// announced are the strikes that this instance has announced; instances that join later are told of them.
	announced     health.Strikes
	budget        retry.Budget
	configuration coltsfootlink.Configuration
	view          coltsfootlink.View
	listing       coltsfootlink.Listing
	// replies holds the reply channels of the waiting requests.
	replies  map[coltsfootlink.RequestID]chan<- Decision
	reporter demandReporter
	resyncAt time.Time
}

// Run handles messages until the context is cancelled, then refuses the requests that are still waiting.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	defer task.refuseAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	spill := time.NewTimer(tickInterval)
	defer spill.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.tick()
		case <-spill.C:
			task.markSpilling(task.Clock.Now())
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
		task.reportDemand()
		now := task.Clock.Now()
		if next, waits := task.nextSpill(now); waits {
			spill.Reset(next.Sub(now))
		}
	}
}

func (task *Task) reset() {
	task.queue = queue.NewState()
	task.held = queue.NewPermitSet()
	task.served = queue.NewServed()
	task.strikes = health.NewStrikes()
	task.announced = health.NewStrikes()
	task.budget = retry.NewBudget(retryShare, maxRetries)
	task.replies = make(map[coltsfootlink.RequestID]chan<- Decision)
	task.reporter = newDemandReporter()
	task.resyncAt = task.Clock.Now().Add(resyncInterval)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Acquire:
		task.enqueue(message)
	case Cancel:
		task.cancel(message.ID)
	case Finish:
		task.finish(message)
	case coltsfootlink.Grant:
		task.grant(delivery.From, message)
	case coltsfootlink.Takeover:
		task.takeover(message)
	case coltsfootlink.NotOwner:
		task.notOwner(delivery.From, message.Shard)
	case coltsfootlink.Strikes:
		task.addStrikes(delivery.From, message)
	case coltsfootlink.ConfigurationChanged:
		task.configuration = message.Configuration
		task.orderShards()
	case coltsfootlink.ViewChanged:
		task.announced.SendToJoined(task.Clock.Now(), task.Sender, task.view, message.View)
		task.view = message.View
		task.orderShards()
	case coltsfootlink.ListChanged:
		task.listing = message.Listing
		task.orderShards()
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer(message)
	}
}

func (task *Task) enqueue(request Acquire) {
	refusal := task.admit(request)
	if refusal != nil {
		request.Reply <- Decision{Refusal: refusal}
		return
	}
	task.replies[request.Waiting.ID] = request.Reply
	task.markChanged(request.Waiting.Pool, request.Waiting.Team)
}

// admit adds a request to its team's queue or returns why it is refused.
func (task *Task) admit(request Acquire) *coltsfootlink.Refusal {
	now := task.Clock.Now()
	pool, known := task.configuration.Pools[request.Waiting.Pool]
	if !known {
		return coltsfootlink.Refuse(coltsfootlink.UnknownPool, "the pool is not configured").WithRetryAt(now.Add(busyRetryDelay))
	}
	if task.strikes.Barred(now, request.Fingerprint) {
		refusal := coltsfootlink.Refuse(coltsfootlink.CrashingRequest, "targets crashed while they ran this request")
		return refusal.WithOutcome(coltsfootlink.MayHaveRun)
	}
	if request.Retry {
		budget, allowed := task.budget.WithRetry()
		if !allowed {
			return coltsfootlink.Refuse(coltsfootlink.TargetFailed, "too many requests fail for another try").WithRetryAt(now.Add(busyRetryDelay))
		}
		task.budget = budget
	}
	state, refusal := task.queue.WithRequest(now, request.Waiting, pool.QueuePerTeam)
	task.queue = state
	return refusal
}

func (task *Task) cancel(id coltsfootlink.RequestID) {
	waiting, found := task.queue.Request(id)
	if !found {
		return
	}
	task.markChanged(waiting.Pool, waiting.Team)
	task.queue = task.queue.WithoutRequest(id)
	task.replies[id] <- Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.CallerGone, "the caller went away")}
	delete(task.replies, id)
}

func (task *Task) finish(finished Finish) {
	task.held = task.held.WithoutPermit(finished.Permit)
	task.release(finished.Permit, finished.Usage)
	now := task.Clock.Now()
	switch finished.Usage.Result {
	case coltsfootlink.Succeeded:
		task.budget = task.budget.WithRequest()
		task.served = task.served.WithAnswer(now, finished.Permit.Shard.Pool, finished.Permit.Team, finished.Usage.Cost)
	case coltsfootlink.Crashed:
		task.broadcastStrike(coltsfootlink.Strike{
			Fingerprint: finished.Usage.Fingerprint,
			Target:      finished.Permit.Target,
			Deadline:    now.Add(health.SuspicionTTL),
		})
	}
}

func (task *Task) grant(from coltsfootlink.InstanceName, grant coltsfootlink.Grant) {
	for _, permit := range grant.Permits {
		held, current := task.held.WithSeen(permit)
		task.held = held
		task.markChanged(permit.Shard.Pool, permit.Team)
		task.reporter.reported[permit.Shard] = task.reporter.reported[permit.Shard].WithGrant(permit.Team)
		if !current {
			// The sender has been replaced by a newer owner. The permit goes back to the sender, which issued it.
			task.Sender.Send(from, coltsfootlink.Release{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Unused}})
			continue
		}
		if !task.assign(permit) {
			task.release(permit, coltsfootlink.Usage{Result: coltsfootlink.Unused})
		}
	}
}

// assign gives a permit to the first request of the team's queue that it can serve; false if there is none or the
// permit's target is unknown.
func (task *Task) assign(permit coltsfootlink.Permit) bool {
	target, known := task.listing.Target(permit.Target)
	if !known {
		return false
	}
	state, waiting, found := task.queue.WithPermit(task.Clock.Now(), permit)
	if !found {
		return false
	}
	task.queue = state
	task.held = task.held.WithPermit(permit)
	task.replies[waiting.ID] <- Decision{Permit: permit, Target: target}
	delete(task.replies, waiting.ID)
	return true
}

func (task *Task) takeover(takeover coltsfootlink.Takeover) {
	task.held = task.held.WithOwner(takeover)
	delete(task.reporter.reported, takeover.Shard)
	task.markAllChanged()
	task.Sender.Send(takeover.Owner, task.held.Holdings(takeover.Shard))
}

// notOwner forgets an instance as a shard's owner and reports the demand to the rightful owner. If that is the same
// instance by this instance's view, the two views differ, and unchanged demand is not sent again before the next
// resync.
func (task *Task) notOwner(from coltsfootlink.InstanceName, shard coltsfootlink.Shard) {
	task.held = task.held.WithoutOwner(shard, from)
	if owner, found := task.owner(shard); found && owner != from {
		delete(task.reporter.reported, shard)
		task.markAllChanged()
	}
}

// addStrikes records strikes against requests that crash targets, which another instance reports or an owner task of this one.
func (task *Task) addStrikes(from coltsfootlink.InstanceName, strikes coltsfootlink.Strikes) {
	task.strikes = task.strikes.WithStrikes(strikes.Strikes)
	if from == task.Self {
		task.announced = task.announced.WithStrikes(strikes.Strikes)
	}
}

// broadcastStrike records a strike and, if it is new, sends it to all live instances.
func (task *Task) broadcastStrike(strike coltsfootlink.Strike) {
	strikes, fresh := task.strikes.WithStrike(strike)
	task.strikes = strikes
	if !fresh {
		return
	}
	task.announced, _ = task.announced.WithStrike(strike)
	task.Recorder.Record("entry", "connection to target "+string(strike.Target)+" broke while it ran a request")
	for _, member := range task.view.Live() {
		if member.Name != task.Self {
			task.Sender.Send(member.Name, coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{strike}})
		}
	}
}

func (task *Task) release(permit coltsfootlink.Permit, usage coltsfootlink.Usage) {
	if owner, found := task.owner(permit.Shard); found {
		task.Sender.Send(owner, coltsfootlink.Release{Permit: permit, Usage: usage})
	}
}

func (task *Task) tick() {
	now := task.Clock.Now()
	state, expired := task.queue.WithoutExpired(now)
	task.queue = state
	for _, waiting := range expired {
		task.markChanged(waiting.Pool, waiting.Team)
		task.replies[waiting.ID] <- Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")}
		delete(task.replies, waiting.ID)
	}
	if now.Before(task.resyncAt) {
		return
	}
	task.resyncAt = now.Add(resyncInterval)
	task.strikes = task.strikes.WithoutExpired(now)
	task.announced = task.announced.WithoutExpired(now)
	task.served = task.served.WithoutOld(now)
	task.resync()
}

// owner returns the owner known from the newest takeover if it is live and not leaving, or else the one that the
// placement chooses.
func (task *Task) owner(shard coltsfootlink.Shard) (coltsfootlink.InstanceName, bool) {
	known := task.held.Owner(shard)
	member, found := task.view.Member(known.Owner)
	if found && member.Live && !member.Leaving {
		return known.Owner, true
	}
	return task.Placement.Owner(shard, task.view)
}

func (task *Task) refuseAll() {
	for id, reply := range task.replies {
		refusal := coltsfootlink.Refuse(coltsfootlink.NotReady, "the instance lost its queue").WithRetryAt(task.Clock.Now().Add(busyRetryDelay))
		reply <- Decision{Refusal: refusal}
		delete(task.replies, id)
	}
	metrics.Count("entry-stops")
}

func (task *Task) answer(inquiry coltsfootlink.Inquiry) coltsfootlink.Table {
	if inquiry.Subject == coltsfootlink.ServedSubject {
		return task.served.Table(inquiry.Since)
	}
	table := coltsfootlink.Table{Columns: []string{"pool", "team", "waiting"}}
	for _, pool := range task.configuration.PoolNames() {
		for _, team := range task.queue.Demand(pool) {
			table = table.WithRow(string(pool), string(team.Team), strconv.Itoa(team.Waiting))
		}
	}
	return table
}
