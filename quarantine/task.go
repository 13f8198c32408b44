package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
)

const (
	// tickInterval is the time between two checks for what is due.
	tickInterval = 250 * time.Millisecond
	// syncTimeout is how long an instance waits for what others know before it sends prompts to targets.
	syncTimeout = 1500 * time.Millisecond
	// gossipInterval is the time between two messages to a random instance, which reach those that missed the first news.
	gossipInterval = 2 * time.Second
)

// Task owns the quarantine states of all pools. It tells other instances of the crashes that this one sees, and publishes the
// bars.
type Task struct {
	Self   coltsfootlink.InstanceName
	Clock  coltsfootlink.Clock
	Sender coltsfootlink.Sender
	Log    zerolog.Logger
	Inbox  *mailbox.Deliveries
	// CrashLog is the inbox of the task that keeps the crashes in the store; nil if they are not kept.
	CrashLog *mailbox.Deliveries
	// Subscribers receive a Changed for each new view.
	Subscribers []*mailbox.Deliveries

	pools Pools
	view  View
	fleet coltsfootlink.View
	// syncBy is until when the task waits for what others know; told indicates that one of them has said it.
	syncBy time.Time
	told   bool
	// recordsBy is until when the task waits for the recorded crashes; recordsRead indicates that it has them.
	recordsBy   time.Time
	recordsRead bool
	// held are the records of the crashes that bars rest on, and own the keys of crashes that this instance has seen itself, with
	// their times.
	held map[string]coltsfootlink.CrashRecord
	own  map[string]time.Time
	// unbegun are the crashes before a byte of the answer that this instance has seen since the last tick.
	unbegun []coltsfootlink.PromptCrash
	// gossipAt is when the next random instance is told of crashes.
	gossipAt time.Time
}

// Run handles messages until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
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
	}
}

func (task *Task) reset() {
	task.pools = Pools{}
	task.view = View{}
	task.syncBy, task.told = task.Clock.Now().Add(syncTimeout), false
	task.unbegun = nil
	task.held, task.own = nil, make(map[string]time.Time)
	task.requestRecords()
	task.publish()
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Crashed:
		task.handleCrash(message)
	case TrialSent:
		task.handleTrial(message)
	case Answered:
		task.handleAnswer(message)
	case coltsfootlink.QuarantineNews:
		task.handleNews(message)
	case coltsfootlink.QuarantineRequest:
		for _, news := range task.news(maxCrashes) {
			task.Sender.Send(delivery.From, news)
		}
	case coltsfootlink.CrashesRead:
		task.handleRecords(message)
	case coltsfootlink.BarLift:
		task.lift(message)
	case coltsfootlink.ViewChanged:
		task.handleFleet(message.View)
	case coltsfootlink.Inquiry:
		message.Reply <- task.table()
	}
}

// handleCrash records a crash that this instance has seen and tells all others of it.
func (task *Task) handleCrash(message Crashed) {
	if message.Crash.Unbegun {
		task.deferUnbegun(message)
		return
	}
	crash := task.recordCrash(message.Crash)
	message.Reply <- task.pools.State(crash.Pool).MayRepeat(crash.Request, partsOf(crash), crash.SentAt)
}

// recordCrash logs and announces a crash, and returns it with when its suspects were answered.
func (task *Task) recordCrash(crash coltsfootlink.PromptCrash) coltsfootlink.PromptCrash {
	crash = task.withAnswers(crash)
	metrics.Count("prompt-crashes")
	task.Log.Warn().Str("request", string(crash.Request)).Str("pool", string(crash.Pool)).Str("target", string(crash.Target)).
		Str("parts", task.describe(crash.Suspects)).Int64("sent-ms-ago", task.age(crash.SentAt)).Bool("unbegun", crash.Unbegun).
		Msg("quarantine: target crashed when it began to answer; the parts of the prompt are suspected, with the time since each was last answered")
	task.announce(crash)
	return crash
}

// handleTrial puts the next trial off on all instances, whatever becomes of this one.
func (task *Task) handleTrial(message TrialSent) {
	crash := task.withAnswers(message.Crash)
	task.Log.Warn().Str("request", string(crash.Request)).Str("pool", string(crash.Pool)).Str("target", string(crash.Target)).
		Str("parts", task.describe(crash.Suspects)).Msg("quarantine: a request whose prompt is held back is sent as a trial; it counts as a crash until it is answered")
	task.announce(crash)
}

// withAnswers fills in when the suspects of a crash were last answered.
func (task *Task) withAnswers(crash coltsfootlink.PromptCrash) coltsfootlink.PromptCrash {
	state := task.pools.State(crash.Pool)
	crash.Suspects = slices.Clone(crash.Suspects)
	for index, suspect := range crash.Suspects {
		crash.Suspects[index].AnsweredAt = state.AnsweredAt(suspect.Part)
	}
	return crash
}

// announce records a crash and tells all other instances of it.
func (task *Task) announce(crash coltsfootlink.PromptCrash) {
	task.noteOwn(crash)
	task.update(crash.Pool, task.pools.State(crash.Pool).WithCrash(task.Clock.Now(), crash))
	task.broadcast(coltsfootlink.QuarantineNews{Crashes: []coltsfootlink.PromptCrash{crash}})
}

// handleAnswer records an answer, and tells all other instances of it if it ends a bar.
func (task *Task) handleAnswer(message Answered) {
	barred, held := task.pools.State(message.Pool).Bars(), task.held
	task.update(message.Pool, task.pools.State(message.Pool).WithAnswered(message.At, message.Parts))
	task.removeReleased(held)
	var news coltsfootlink.QuarantineNews
	for _, part := range message.Parts {
		if slices.ContainsFunc(barred, func(bar Bar) bool { return has(bar.Parts, part) }) {
			news.Answered = append(news.Answered, coltsfootlink.PartAnswered{Pool: message.Pool, Part: part, At: message.At})
		}
	}
	if len(news.Answered) > 0 && !equal(barred, task.pools.State(message.Pool).Bars()) {
		task.broadcast(news)
	}
}

// lift clears parts at an operator's order, on all instances, and with them the other parts of the crashes that their bar
// rested on: those crashes count against nothing else.
func (task *Task) lift(order coltsfootlink.BarLift) {
	task.Log.Warn().Str("pool", string(order.Pool)).Str("parts", join(order.Parts)).Msg("quarantine: an operator lifts the bar on prompts with these parts")
	now := task.Clock.Now()
	var news coltsfootlink.QuarantineNews
	for _, part := range task.pools.State(order.Pool).partsToLift(order.Parts) {
		news.Answered = append(news.Answered, coltsfootlink.PartAnswered{Pool: order.Pool, Part: part, At: now})
	}
	held := task.held
	task.handleNews(news)
	task.removeReleased(held)
	task.broadcast(news)
}

// handleNews records what another instance knows.
func (task *Task) handleNews(news coltsfootlink.QuarantineNews) {
	crashes := make(map[coltsfootlink.PoolName][]coltsfootlink.PromptCrash)
	for _, crash := range news.Crashes {
		crashes[crash.Pool] = append(crashes[crash.Pool], crash)
	}
	for pool, found := range crashes {
		task.update(pool, task.pools.State(pool).WithCrashes(task.Clock.Now(), found))
	}
	for _, answer := range news.Answered {
		task.update(answer.Pool, task.pools.State(answer.Pool).WithAnswered(answer.At, []coltsfootlink.PartID{answer.Part}))
	}
	task.told = true
	task.updateSynced()
}

// tick ends the wait for others, drops old crashes and tells a random instance of the newest ones.
func (task *Task) tick() {
	now := task.Clock.Now()
	task.announceUnbegun()
	if !task.view.Synced {
		task.requestNews()
		task.updateSynced()
	}
	for pool := range task.pools.states {
		// An update may change the states of other pools.
		task.update(pool, task.pools.State(pool).WithTime(now))
	}
	if now.Before(task.gossipAt) {
		return
	}
	task.gossipAt = now.Add(gossipInterval)
	others := task.others()
	if len(others) == 0 {
		return
	}
	to := others[rand.IntN(len(others))]
	for _, news := range task.news(maxGossip) {
		if len(news.Crashes) > 0 {
			task.Sender.Send(to, news)
		}
	}
}

// update replaces the state of a pool, and publishes the bars of all pools that have changed.
func (task *Task) update(pool coltsfootlink.PoolName, state State) {
	before, changed := task.pools, false
	task.pools = before.With(pool, state)
	for name, next := range task.pools.states {
		_, known := before.states[name]
		if known && equal(before.State(name).Bars(), next.Bars()) {
			continue
		}
		task.logChanges(name, before.State(name).Bars(), next.Bars())
		task.view, changed = task.view.WithBars(name, next.Bars()), true
	}
	if changed {
		task.recordHeld()
		task.publish()
	}
}

// logChanges logs which bars of a pool are new or gone.
func (task *Task) logChanges(pool coltsfootlink.PoolName, before, after []Bar) {
	if pool == anyPool {
		return
	}
	for _, bar := range before {
		if !contains(after, bar) {
			task.logBar(pool, bar).Msg("quarantine: requests with these parts are no longer held back")
		}
	}
	for _, bar := range after {
		if contains(before, bar) {
			continue
		}
		metrics.Count("prompt-bars")
		task.logBar(pool, bar).Msg("quarantine: targets crash under prompts with these parts; requests with all of them are held back")
	}
}

func contains(bars []Bar, bar Bar) bool {
	return slices.ContainsFunc(bars, func(other Bar) bool { return slices.Equal(other.Parts, bar.Parts) })
}

func (task *Task) setSynced(synced bool) {
	if task.view.Synced != synced {
		task.view = task.view.WithSynced(synced)
		task.publish()
	}
}

func (task *Task) publish() {
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{Message: Changed{View: task.view}})
	}
}
