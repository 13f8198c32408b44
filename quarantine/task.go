package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// syncPeers is the number of instances that tell an instance that joins what they know.
	syncPeers = 3
	// gossipInterval is the time between two messages to a random instance, which reach those that missed the first news.
	gossipInterval = 2 * time.Second
	// maxGossip is the number of crashes in such a message.
	maxGossip = 16
)

// Task owns the quarantine states of all pools. It tells other instances of the crashes that this one sees, and publishes the
// bars.
type Task struct {
	Self   coltsfootlink.InstanceName
	Clock  coltsfootlink.Clock
	Sender coltsfootlink.Sender
	Log    zerolog.Logger
	Inbox  *mailbox.Deliveries
	// Subscribers receive a Changed for each new view.
	Subscribers []*mailbox.Deliveries

	states map[coltsfootlink.PoolName]State
	view   View
	fleet  coltsfootlink.View
	// syncBy is until when the task waits for what others know.
	syncBy time.Time
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
	task.states = make(map[coltsfootlink.PoolName]State)
	task.view = View{}
	task.syncBy = task.Clock.Now().Add(syncTimeout)
	task.publish()
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case Crashed:
		task.handleCrash(message)
	case Answered:
		task.handleAnswer(message)
	case coltsfootlink.QuarantineNews:
		task.handleNews(message)
	case coltsfootlink.QuarantineRequest:
		task.Sender.Send(delivery.From, task.news(maxCrashes))
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
	crash, state := message.Crash, task.state(message.Crash.Pool)
	crash.Suspects = slices.Clone(crash.Suspects)
	for index, suspect := range crash.Suspects {
		crash.Suspects[index].AnsweredAt = state.AnsweredAt(suspect.Part)
	}
	metrics.Count("prompt-crashes")
	task.Log.Warn().Str("request", string(crash.Request)).Str("pool", string(crash.Pool)).Str("target", string(crash.Target)).
		Str("parts", task.describe(crash.Suspects)).Int64("sent-ms-ago", task.age(crash.SentAt)).
		Msg("quarantine: target crashed when it began to answer; the parts of the prompt are suspected, with the time since each was last answered")
	task.update(crash.Pool, state.WithCrash(task.Clock.Now(), crash))
	task.broadcast(coltsfootlink.QuarantineNews{Crashes: []coltsfootlink.PromptCrash{crash}})
	message.Reply <- task.state(crash.Pool).MayRepeat(crash.Request, partsOf(crash), crash.SentAt)
}

// handleAnswer records an answer, and tells all other instances of it if it ends a bar.
func (task *Task) handleAnswer(message Answered) {
	barred := task.state(message.Pool).Bars()
	task.update(message.Pool, task.state(message.Pool).WithAnswered(message.At, message.Parts))
	var news coltsfootlink.QuarantineNews
	for _, part := range message.Parts {
		if slices.ContainsFunc(barred, func(bar Bar) bool { return slices.Contains(bar.Parts, part) }) {
			news.Answered = append(news.Answered, coltsfootlink.PartAnswered{Pool: message.Pool, Part: part, At: message.At})
		}
	}
	if len(news.Answered) > 0 && !equal(barred, task.state(message.Pool).Bars()) {
		task.broadcast(news)
	}
}

// lift clears parts at an operator's order, on all instances.
func (task *Task) lift(order coltsfootlink.BarLift) {
	task.Log.Warn().Str("pool", string(order.Pool)).Str("parts", join(order.Parts)).Msg("quarantine: an operator lifts the bar on prompts with these parts")
	now := task.Clock.Now()
	var news coltsfootlink.QuarantineNews
	for _, part := range order.Parts {
		news.Answered = append(news.Answered, coltsfootlink.PartAnswered{Pool: order.Pool, Part: part, At: now})
	}
	task.handleNews(news)
	task.broadcast(news)
}

// handleNews records what another instance knows.
func (task *Task) handleNews(news coltsfootlink.QuarantineNews) {
	for _, crash := range news.Crashes {
		crash.Suspects = crash.Suspects[:min(len(crash.Suspects), MaxParts)]
		task.update(crash.Pool, task.state(crash.Pool).WithCrash(task.Clock.Now(), crash))
	}
	for _, answer := range news.Answered {
		task.update(answer.Pool, task.state(answer.Pool).WithAnswered(answer.At, []coltsfootlink.PartID{answer.Part}))
	}
	task.setSynced(true)
}

// handleFleet tells instances that have joined what this one knows. If most of the fleet is new to this instance, it has
// started or was cut off, and asks what others know.
func (task *Task) handleFleet(fleet coltsfootlink.View) {
	before := task.fleet
	task.fleet = fleet
	joined := 0
	for _, member := range fleet.Live() {
		known, found := before.Member(member.Name)
		if member.Name == task.Self || found && known.Live && known.Incarnation == member.Incarnation {
			continue
		}
		joined++
		if news := task.news(maxCrashes); len(news.Crashes) > 0 && task.tells(before, member.Name) {
			task.Sender.Send(member.Name, news)
		}
	}
	if joined > 0 && 2*joined >= len(fleet.Live()) {
		task.syncBy = task.Clock.Now().Add(syncTimeout)
		task.setSynced(false)
		task.requestNews()
	}
}

// tells reports whether this instance is one of those that tell an instance that has joined what they know. One that has just
// started leaves that to others.
func (task *Task) tells(before coltsfootlink.View, joined coltsfootlink.InstanceName) bool {
	if len(before.Members) == 0 {
		return false
	}
	weight := func(name coltsfootlink.InstanceName) uint64 {
		return xxhash.Sum64String(string(joined) + "/" + string(name))
	}
	ahead := 0
	for _, member := range before.Live() {
		if member.Name != joined && weight(member.Name) > weight(task.Self) {
			ahead++
		}
	}
	return ahead < syncPeers
}

// requestNews asks some live instances for what they know.
func (task *Task) requestNews() {
	others := task.others()
	rand.Shuffle(len(others), func(one, other int) { others[one], others[other] = others[other], others[one] })
	for _, name := range others[:min(syncPeers, len(others))] {
		task.Sender.Send(name, coltsfootlink.QuarantineRequest{})
	}
}

// tick ends the wait for others, drops old crashes and tells a random instance of the newest ones.
func (task *Task) tick() {
	now := task.Clock.Now()
	if !task.view.Synced {
		task.requestNews()
		task.setSynced(!now.Before(task.syncBy))
	}
	for pool, state := range task.states {
		if crashes := state.Crashes(); len(crashes) > 0 && now.Sub(crashes[0].CrashedAt) > crashTTL {
			task.update(pool, state.WithTime(now))
		}
	}
	if now.Before(task.gossipAt) {
		return
	}
	task.gossipAt = now.Add(gossipInterval)
	news, others := task.news(maxGossip), task.others()
	if len(news.Crashes) > 0 && len(others) > 0 {
		task.Sender.Send(others[rand.IntN(len(others))], news)
	}
}

// news returns the newest crashes of each pool, up to a number, those that bars rest on first.
func (task *Task) news(limit int) coltsfootlink.QuarantineNews {
	var news coltsfootlink.QuarantineNews
	for _, state := range task.states {
		crashes := state.Crashes()
		slices.SortStableFunc(crashes, func(one, other coltsfootlink.PromptCrash) int {
			return cmp.Or(cmp.Compare(state.rank(one), state.rank(other)), other.CrashedAt.Compare(one.CrashedAt))
		})
		news.Crashes = append(news.Crashes, crashes[:min(limit, len(crashes))]...)
	}
	return news
}

// others returns the names of the other live instances.
func (task *Task) others() []coltsfootlink.InstanceName {
	var names []coltsfootlink.InstanceName
	for _, member := range task.fleet.Live() {
		if member.Name != task.Self {
			names = append(names, member.Name)
		}
	}
	return names
}

func (task *Task) broadcast(news coltsfootlink.QuarantineNews) {
	for _, name := range task.others() {
		task.Sender.Send(name, news)
	}
}

func (task *Task) state(pool coltsfootlink.PoolName) State {
	if state, found := task.states[pool]; found {
		return state
	}
	return NewState()
}

// update replaces the state of a pool, logs which bars are new or gone, and publishes the bars if they have changed.
func (task *Task) update(pool coltsfootlink.PoolName, state State) {
	before := task.state(pool).Bars()
	task.states[pool] = state
	if equal(before, state.Bars()) {
		return
	}
	for _, bar := range before {
		if !contains(state.Bars(), bar) {
			task.logBar(pool, bar).Msg("quarantine: requests with these parts are no longer held back")
		}
	}
	for _, bar := range state.Bars() {
		if contains(before, bar) {
			continue
		}
		metrics.Count("prompt-bars")
		task.logBar(pool, bar).Msg("quarantine: targets crash under prompts with these parts; requests with all of them are held back")
	}
	task.view = task.view.WithBars(pool, state.Bars())
	task.publish()
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

// logBar begins a log line on a bar, with the evidence and its age.
func (task *Task) logBar(pool coltsfootlink.PoolName, bar Bar) *zerolog.Event {
	return task.Log.Warn().Str("pool", string(pool)).Str("parts", join(bar.Parts)).Int("crashes", bar.Crashes).
		Int64("first-ms-ago", task.age(bar.FirstAt)).Int64("last-ms-ago", task.age(bar.LastAt)).Time("trial-at", bar.TrialAt)
}

// age returns how long ago a time was, in milliseconds.
func (task *Task) age(at time.Time) int64 { return task.Clock.Now().Sub(at).Milliseconds() }

// describe lists suspects, each with the time since a request with it was answered.
func (task *Task) describe(suspects []coltsfootlink.Suspect) string {
	words := make([]string, 0, len(suspects))
	for _, suspect := range suspects {
		age := "never"
		if !suspect.AnsweredAt.IsZero() {
			age = task.Clock.Now().Sub(suspect.AnsweredAt).Round(time.Millisecond).String()
		}
		words = append(words, suspect.Part.String()+":"+age)
	}
	return strings.Join(words, " ")
}

// join lists parts in hexadecimal.
func join(parts []coltsfootlink.PartID) string {
	words := make([]string, 0, len(parts))
	for _, part := range parts {
		words = append(words, part.String())
	}
	return strings.Join(words, " ")
}

// table returns the bars for the operators' query.
func (task *Task) table() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"pool", "parts", "crashes", "first-crash", "last-crash", "next-trial"}}
	for pool, state := range task.states {
		for _, bar := range state.Bars() {
			table = table.WithRow(string(pool), join(bar.Parts), strconv.Itoa(bar.Crashes), stamp(bar.FirstAt), stamp(bar.LastAt), stamp(bar.TrialAt))
		}
	}
	return table
}

func stamp(at time.Time) string { return at.UTC().Format(time.RFC3339) }
