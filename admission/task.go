package admission

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
)

const (
	// tickInterval is the time between two looks at the deadlines of requests.
	tickInterval = 200 * time.Millisecond
	// pauseLimit is how long the task may stand still before another instance may have taken over.
	pauseLimit = time.Second
)

// Task owns the books of an instance's targets and answers who asks for them.
type Task struct {
	Self   coltsfootlink.InstanceName
	Policy Policy
	Clock  coltsfootlink.Clock
	Sender coltsfootlink.Sender
	Log    zerolog.Logger
	Inbox  *mailbox.Deliveries
	// Prober receives the targets that are to be asked for reports.
	Prober *mailbox.Deliveries

	books   map[coltsfootlink.TargetName]Book
	catalog coltsfootlink.Catalog
	view    coltsfootlink.View
	// activeUntil is when the task counts as having stood still.
	activeUntil time.Time
}

// Run answers until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.books = make(map[coltsfootlink.TargetName]Book)
	task.activeUntil = task.Clock.Now().Add(pauseLimit)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.expire()
		case <-task.Inbox.Ready():
		}
		task.notePause()
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
	}
}

// notePause begins anew after the process stood still, for others may have owned the targets meanwhile.
func (task *Task) notePause() {
	now := task.Clock.Now()
	if now.After(task.activeUntil) {
		task.Log.Warn().Time("since", task.activeUntil.Add(-pauseLimit)).Msg("admission: stood still, owns its targets anew")
		clear(task.books)
		task.own()
	}
	task.activeUntil = now.Add(pauseLimit)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	now := task.Clock.Now()
	switch message := delivery.Message.(type) {
	case coltsfootlink.Ask:
		task.answer(now, delivery.From, message)
	case coltsfootlink.Progress:
		if book, owned := task.books[message.Target]; owned {
			task.books[message.Target] = book.WithProgress(now, delivery.From, message)
			task.noteTrouble(delivery.From, message)
		}
	case reported:
		task.learn(now, message)
	case coltsfootlink.Held:
		if book, owned := task.books[message.Target]; owned {
			task.books[message.Target] = book.WithHeld(now, delivery.From, message)
		}
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
		task.own()
	case coltsfootlink.ViewChanged:
		task.dropHolders(message.View)
		task.view = message.View
		task.own()
	case coltsfootlink.Inquiry:
		message.Reply <- task.table(now)
	}
}

// learn takes what a report says of a target, unless it is too old.
func (task *Task) learn(now time.Time, message reported) {
	book, owned := task.books[message.target]
	if !owned {
		return
	}
	old := now.After(message.asked.Add(reportSpan))
	if !old {
		book = book.WithReport(now, message.report)
		task.books[message.target] = book
	}
	task.Log.Info().Str("target", string(message.target)).Int("waiting", message.report.Waiting).Int("running", message.report.Running).
		Int("foreign", book.foreign).Int64("age-ms", now.Sub(message.asked).Milliseconds()).Bool("old", old).Msg("admission: report")
}

// answer decides on a request and tells who asked.
func (task *Task) answer(now time.Time, from coltsfootlink.InstanceName, ask coltsfootlink.Ask) {
	book, owned := task.books[ask.Target]
	if !owned {
		task.Sender.Send(from, coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.NotTheOwner})
		return
	}
	if !task.catalog.Usable(book.target) {
		task.Sender.Send(from, coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.TargetLeaving})
		return
	}
	requests, wait := book.Load(now)
	after, verdict := book.WithAsk(now, from, ask)
	task.books[ask.Target] = after
	task.Sender.Send(from, verdict)
	line := task.Log.Debug()
	if verdict.Reason != "" {
		line = task.Log.Info().Str("reason", string(verdict.Reason))
	}
	line.Str("target", string(ask.Target)).Str("from", string(from)).Uint64("permit", ask.Serial).Str("team", string(ask.Team)).Uint32("standing", uint32(ask.Standing)).Int("rank", ask.Rank).
		Int("requests", requests).Int("wait-ms", wait).Int("prompt", ask.Work.PromptTokens).Int("kept", book.cache.Kept(ask.Work)).
		Int("expected-ms", verdict.ExpectedMillis).Float64("pace", book.pace).Msg("admission: decided")
}

// own opens the books of the targets that the instance now owns and closes the others.
func (task *Task) own() {
	now := task.Clock.Now()
	for name, target := range task.catalog.Targets {
		owner, found := ownership.TargetOwner(target, task.view)
		traits, known := task.catalog.Table.Pool(target.Pool)
		if !found || owner != task.Self || !known {
			task.disown(name)
			continue
		}
		book, owned := task.books[name]
		if !owned {
			book = NewBook(now, target, traits, task.Policy)
			task.Log.Info().Str("target", string(name)).Msg("admission: owns target")
		}
		task.books[name] = book.WithTarget(target, traits)
	}
	for name := range task.books {
		if _, exists := task.catalog.Targets[name]; !exists {
			task.disown(name)
		}
	}
}

func (task *Task) disown(name coltsfootlink.TargetName) {
	if _, owned := task.books[name]; owned {
		task.Log.Info().Str("target", string(name)).Msg("admission: no longer owns target")
		delete(task.books, name)
	}
}

// dropHolders forgets the requests of instances that are no longer live.
func (task *Task) dropHolders(view coltsfootlink.View) {
	for _, member := range task.view.Live() {
		if now, found := view.Member(member.Name); found && now.Live && now.Incarnation == member.Incarnation {
			continue
		}
		for name, book := range task.books {
			task.books[name] = book.WithoutHolder(member.Name)
		}
	}
}

func (task *Task) expire() {
	now := task.Clock.Now()
	for name, book := range task.books {
		book, wanted := book.WithoutExpired(now).WithProbe(now)
		task.books[name] = book
		if wanted {
			task.Prober.Put(coltsfootlink.Delivery{Message: probe{target: book.target}})
		}
	}
}

// noteTrouble logs what makes a target count as down or cold.
func (task *Task) noteTrouble(from coltsfootlink.InstanceName, progress coltsfootlink.Progress) {
	if progress.Result == coltsfootlink.Crashed || progress.Result == coltsfootlink.Refused {
		task.Log.Warn().Str("target", string(progress.Target)).Str("result", string(progress.Result)).Str("seen-by", string(from)).
			Msg("admission: target in doubt")
	}
}

func (task *Task) table(now time.Time) coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"target", "pool", "zone", "requests", "wait-ms", "owner"}}
	for name, book := range task.books {
		requests, wait := book.Load(now)
		table = table.WithRow(string(name), string(book.target.Pool), string(book.target.Zone),
			strconv.Itoa(requests), strconv.Itoa(wait), string(task.Self))
	}
	return table
}
