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
	// tickInterval is the time between two looks at the deadlines.
	tickInterval = 100 * time.Millisecond
	// refreshInterval is the time between two full announcements to the owners.
	refreshInterval = 2 * time.Second
	// retryShare is the share of a retry that each success earns, and maxRetries the most that are saved up.
	retryShare = 0.1
	maxRetries = 20
	// busyPause is how long a caller should stay away when the instance cannot serve it.
	busyPause = time.Second
)

// Task owns the waiting requests of an instance and the permits that it holds.
type Task struct {
	Self      coltsfootlink.InstanceName
	Clock     coltsfootlink.Clock
	Placement coltsfootlink.Placement
	Sender    coltsfootlink.Sender
	Recorder  coltsfootlink.Recorder
	Inbox     *mailbox.Deliveries

	queue         queue.State
	held          queue.PermitSet
	served        queue.Served
	strikes       health.Strikes
	budget        retry.Budget
	configuration coltsfootlink.Configuration
	view          coltsfootlink.View
	listing       coltsfootlink.Listing
	replies       map[coltsfootlink.RequestID]chan<- Decision
	announcer     announcer
	refreshAt     time.Time
}

// Run keeps requests and permits until the context ends; requests that then still wait are refused.
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
			task.spill(task.Clock.Now())
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
		task.announce()
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
	task.budget = retry.NewBudget(retryShare, maxRetries)
	task.replies = make(map[coltsfootlink.RequestID]chan<- Decision)
	task.announcer = newAnnouncer()
	task.refreshAt = task.Clock.Now().Add(refreshInterval)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Arrive:
		task.arrive(message)
	case Depart:
		task.depart(message.ID)
	case Finish:
		task.finish(message)
	case coltsfootlink.Grant:
		task.grant(delivery.From, message)
	case coltsfootlink.Takeover:
		task.takeover(message)
	case coltsfootlink.NotOwner:
		task.notOwner(delivery.From, message.Shard)
	case coltsfootlink.Strikes:
		task.strike(message)
	case coltsfootlink.ConfigurationChanged:
		task.configuration = message.Configuration
		task.placeShards()
	case coltsfootlink.ViewChanged:
		task.view = message.View
		task.placeShards()
	case coltsfootlink.ListChanged:
		task.listing = message.Listing
		task.placeShards()
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer(message)
	}
}

func (task *Task) arrive(arrival Arrive) {
	refusal := task.admit(arrival)
	if refusal != nil {
		arrival.Reply <- Decision{Refusal: refusal}
		return
	}
	task.replies[arrival.Waiting.ID] = arrival.Reply
	task.change(arrival.Waiting.Pool, arrival.Waiting.Team)
}

// admit puts a request into its line, or says why not.
func (task *Task) admit(arrival Arrive) *coltsfootlink.Refusal {
	now := task.Clock.Now()
	pool, known := task.configuration.Pools[arrival.Waiting.Pool]
	if !known {
		return coltsfootlink.Refuse(coltsfootlink.UnknownPool, "the pool is not configured").WithRetryAt(now.Add(busyPause))
	}
	if task.strikes.Barred(now, arrival.Fingerprint) {
		refusal := coltsfootlink.Refuse(coltsfootlink.CrashingRequest, "targets crashed while they ran this request")
		return refusal.WithOutcome(coltsfootlink.MayHaveRun)
	}
	if arrival.Retry {
		budget, allowed := task.budget.WithRetry()
		if !allowed {
			return coltsfootlink.Refuse(coltsfootlink.TargetFailed, "too many requests fail for another try").WithRetryAt(now.Add(busyPause))
		}
		task.budget = budget
	}
	state, refusal := task.queue.WithRequest(now, arrival.Waiting, pool.QueuePerTeam)
	task.queue = state
	return refusal
}

func (task *Task) depart(id coltsfootlink.RequestID) {
	waiting, found := task.queue.Request(id)
	if !found {
		return
	}
	task.change(waiting.Pool, waiting.Team)
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
		task.spread(coltsfootlink.Strike{
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
		task.change(permit.Shard.Pool, permit.Team)
		task.announcer.told[permit.Shard] = task.announcer.told[permit.Shard].WithGrant(permit.Team)
		if !current {
			// An owner that has been followed by another is told itself.
			task.Sender.Send(from, coltsfootlink.Release{Permit: permit, Usage: coltsfootlink.Usage{Result: coltsfootlink.Unused}})
			continue
		}
		if !task.use(permit) {
			task.release(permit, coltsfootlink.Usage{Result: coltsfootlink.Unused})
		}
	}
}

// use gives a permit to the request at the head of the team's line; false if none can use it.
func (task *Task) use(permit coltsfootlink.Permit) bool {
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
	delete(task.announcer.told, takeover.Shard)
	task.changeAll()
	task.Sender.Send(takeover.Owner, task.held.Holdings(takeover.Shard))
}

// notOwner asks the rightful owner of a shard. If that seems to be the instance that has just said no, the
// views differ, and the next refresh asks again.
func (task *Task) notOwner(from coltsfootlink.InstanceName, shard coltsfootlink.Shard) {
	task.held = task.held.WithoutOwner(shard, from)
	if owner, found := task.owner(shard); found && owner != from {
		delete(task.announcer.told, shard)
		task.changeAll()
	}
}

// strike notes what other instances say of requests that crash targets.
func (task *Task) strike(strikes coltsfootlink.Strikes) {
	for _, strike := range strikes.Strikes {
		task.strikes, _ = task.strikes.WithStrike(strike)
	}
}

// spread notes a strike and tells all live instances.
func (task *Task) spread(strike coltsfootlink.Strike) {
	strikes, fresh := task.strikes.WithStrike(strike)
	task.strikes = strikes
	if !fresh {
		return
	}
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
		task.change(waiting.Pool, waiting.Team)
		task.replies[waiting.ID] <- Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")}
		delete(task.replies, waiting.ID)
	}
	if now.Before(task.refreshAt) {
		return
	}
	task.refreshAt = now.Add(refreshInterval)
	task.strikes = task.strikes.WithoutExpired(now)
	task.served = task.served.WithoutOld(now)
	task.refresh()
}

// owner returns the newest owner that has announced itself if it is live, or else the one that should be.
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
		refusal := coltsfootlink.Refuse(coltsfootlink.NotReady, "the instance lost its queue").WithRetryAt(task.Clock.Now().Add(busyPause))
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
