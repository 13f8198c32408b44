package admission

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/ownership"
	"coltsfootlink/speed"
)

const (
	// tickInterval is the time between two checks for expired requests and due probes.
	tickInterval = 200 * time.Millisecond
	// suspensionLimit is the time without activity after which another instance may have taken over the targets.
	suspensionLimit = time.Second
	// trialDuration is how long a trial of barred parts excludes others; its result is known by then.
	trialDuration = 5 * time.Second
)

// Task holds the ledgers of the targets that the instance owns, and decides on the requests for them.
type Task struct {
	Self   coltsfootlink.InstanceName
	Policy Policy
	Clock  coltsfootlink.Clock
	Sender coltsfootlink.Sender
	Log    zerolog.Logger
	Inbox  *mailbox.Deliveries
	// Prober is the inbox of the prober, which receives the probe requests.
	Prober *mailbox.Deliveries
	// Duties is the inbox of the duty task, which receives the targets' loads; nil unless numbers of targets are ordered.
	Duties *mailbox.Deliveries

	ledgers map[coltsfootlink.TargetName]Ledger
	// trials are until when no further trial of the same barred parts is permitted.
	trials map[uint64]time.Time
	loads  loadSampler
	// announcer decides which speeds of owned targets are announced, and board has those of all targets. The medians of the pools
	// are applied to the ledgers again at mediansAt.
	announcer speed.Announcer
	board     speed.Board
	mediansAt time.Time
	catalog   coltsfootlink.Catalog
	view      coltsfootlink.View
	// activeUntil is the time after which the task counts as having been suspended.
	activeUntil time.Time
}

// Run handles messages until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.ledgers = make(map[coltsfootlink.TargetName]Ledger)
	task.trials = make(map[uint64]time.Time)
	task.activeUntil = task.Clock.Now().Add(suspensionLimit)
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
		task.resetIfSuspended()
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
	}
}

// resetIfSuspended replaces all ledgers by new ones if the process was suspended, because other instances may have
// owned the targets meanwhile.
func (task *Task) resetIfSuspended() {
	now := task.Clock.Now()
	if now.After(task.activeUntil) {
		task.Log.Warn().Time("since", task.activeUntil.Add(-suspensionLimit)).
			Msg("admission: process was suspended; starting over with empty ledgers for the owned targets")
		clear(task.ledgers)
		task.loads = loadSampler{}
		task.updateOwnership()
	}
	task.activeUntil = now.Add(suspensionLimit)
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	now := task.Clock.Now()
	switch message := delivery.Message.(type) {
	case coltsfootlink.Ask:
		task.answer(now, delivery.From, message)
	case coltsfootlink.Progress:
		if ledger, owned := task.ledgers[message.Target]; owned {
			task.keep(message.Target, ledger.WithProgress(now, delivery.From, message))
			task.logFailure(delivery.From, message)
		}
	case probeResult:
		task.handleReport(now, message)
	case coltsfootlink.Held:
		if ledger, owned := task.ledgers[message.Target]; owned {
			task.keep(message.Target, ledger.WithHeld(now, delivery.From, message))
		}
	case coltsfootlink.TargetNotice:
		if ledger, owned := task.ledgers[message.Target]; owned {
			task.ledgers[message.Target] = ledger.WithNotice(message)
		}
	case coltsfootlink.TargetSpeeds:
		task.board = task.board.WithSpeeds(now, message.Speeds)
	case coltsfootlink.CatalogChanged:
		previous := task.catalog
		task.catalog = message.Catalog
		task.updateOwnership()
		task.beginReturnedZones(now, previous)
	case coltsfootlink.ViewChanged:
		task.dropFailedHolders(message.View)
		task.view = message.View
		task.updateOwnership()
	case coltsfootlink.Inquiry:
		message.Reply <- task.inquired(now, message)
	}
}

// handleReport applies a target's report, unless it is too old, and passes on what the target announced with it.
func (task *Task) handleReport(now time.Time, message probeResult) {
	ledger, owned := task.ledgers[message.target]
	if !owned {
		return
	}
	if notice := message.notice(); notice.Leaving || !notice.RetryAt.IsZero() {
		task.Sender.Send(task.Self, notice)
	}
	if message.report.Refused {
		return
	}
	stale := now.After(message.askedAt.Add(reportMaxAge))
	if !stale {
		ledger = ledger.WithReport(now, message.report)
		task.ledgers[message.target] = ledger
	}
	task.Log.Info().Str("target", string(message.target)).Int("waiting", message.report.Waiting).Int("running", message.report.Running).
		Int("foreign", ledger.orphaned).Int64("age-ms", now.Sub(message.askedAt).Milliseconds()).Bool("old", stale).
		Msg("admission: received load report from target")
}

// answer decides on a request and sends the verdict to the instance that asked.
func (task *Task) answer(now time.Time, from coltsfootlink.InstanceName, ask coltsfootlink.Ask) {
	if refused := task.refusal(now, ask); refused.Reason != "" {
		task.Sender.Send(from, refused)
		return
	}
	ledger := task.ledgers[ask.Target]
	requests, wait := ledger.Load(now)
	updated, verdict := ledger.WithAsk(now, from, ask)
	if verdict.Reason == "" && ask.Trial != 0 {
		task.beginTrial(now, from, ask)
	}
	task.keep(ask.Target, updated)
	if task.Duties != nil {
		task.loads = task.loads.withAsk(updated, from, ask, verdict.Reason)
	}
	if verdict.Reason == coltsfootlink.TargetPaced {
		metrics.Count("pace-refusals")
	}
	task.Sender.Send(from, verdict)
	line := task.Log.Debug()
	if verdict.Reason != "" {
		line = task.Log.Info().Str("reason", string(verdict.Reason))
	}
	ledger.logSpeed(line, now, verdict).Str("target", string(ask.Target)).Str("from", string(from)).Uint64("permit", ask.Serial).Str("team", string(ask.Team)).Uint32("standing", uint32(ask.Standing)).Int("rank", ask.Rank).
		Int("requests", requests).Int("wait-ms", wait).Int("prompt", ask.Work.PromptTokens).Int("kept", ledger.cache.CachedTokens(ask.Work)).
		Int("expected-ms", verdict.ExpectedMillis).
		Msg("admission: decided on request")
}

// refusal returns the refusal of a request for which the target's ledger is not asked; its reason is empty if the ledger
// decides.
func (task *Task) refusal(now time.Time, ask coltsfootlink.Ask) coltsfootlink.Verdict {
	ledger, owned := task.ledgers[ask.Target]
	if !owned {
		return coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.NotTheOwner}
	}
	if !task.catalog.Usable(ledger.target) {
		return coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.TargetLeaving}
	}
	if until := task.trials[ask.Trial]; now.Before(until) {
		return coltsfootlink.Verdict{Serial: ask.Serial, Reason: coltsfootlink.TrialRunning, RetryAt: until}
	}
	return coltsfootlink.Verdict{Serial: ask.Serial}
}

// beginTrial permits no further trial of the same barred parts for a while.
func (task *Task) beginTrial(now time.Time, from coltsfootlink.InstanceName, ask coltsfootlink.Ask) {
	maps.DeleteFunc(task.trials, func(_ uint64, until time.Time) bool { return now.After(until) })
	task.trials[ask.Trial] = now.Add(trialDuration)
	metrics.Count("prompt-trials")
	task.Log.Warn().Str("target", string(ask.Target)).Str("from", string(from)).Uint64("permit", ask.Serial).Str("trial", strconv.FormatUint(ask.Trial, 16)).
		Msg("admission: permitted a request whose prompt is barred, as a trial")
}

// updateOwnership creates ledgers for the targets that the instance now owns, updates the existing ones, and drops
// those of targets that it no longer owns.
func (task *Task) updateOwnership() {
	now := task.Clock.Now()
	for name, target := range task.catalog.Targets {
		owner, found := ownership.TargetOwner(target, task.view)
		traits, known := task.catalog.Table.Pool(target.Pool)
		if !found || owner != task.Self || !known {
			task.dropLedger(name)
			continue
		}
		ledger, owned := task.ledgers[name]
		if !owned {
			ledger = NewLedger(now, target, traits, task.Policy)
			task.Log.Info().Str("target", string(name)).Msg("admission: took ownership of target")
		}
		task.ledgers[name] = ledger.WithTarget(target, traits)
	}
	for name := range task.ledgers {
		if _, exists := task.catalog.Targets[name]; !exists {
			task.dropLedger(name)
		}
	}
}

func (task *Task) dropLedger(name coltsfootlink.TargetName) {
	if _, owned := task.ledgers[name]; owned {
		task.Log.Info().Str("target", string(name)).Msg("admission: lost ownership of target; dropped its ledger")
		delete(task.ledgers, name)
	}
}

// dropFailedHolders removes the requests of instances that are not live in a new view or have restarted.
func (task *Task) dropFailedHolders(view coltsfootlink.View) {
	for _, member := range task.view.Live() {
		if current, found := view.Member(member.Name); found && current.Live && current.Incarnation == member.Incarnation {
			continue
		}
		for name, ledger := range task.ledgers {
			task.ledgers[name] = ledger.WithoutHolder(member.Name)
		}
	}
}

// tick removes expired requests, ends paces, requests the reports that are due, samples the loads and announces speeds.
func (task *Task) tick() {
	now := task.Clock.Now()
	task.announceSpeeds(now)
	task.updateMedians(now)
	for name, ledger := range task.ledgers {
		ledger, due := ledger.WithoutExpired(now).withPaceTime(now).WithProbe(now)
		task.keep(name, ledger)
		if due {
			task.Prober.Put(coltsfootlink.Delivery{Message: probeRequest{target: ledger.target}})
		}
	}
	task.sampleLoads(now)
}

// logFailure logs the results after which a target may count as down or cold.
func (task *Task) logFailure(from coltsfootlink.InstanceName, progress coltsfootlink.Progress) {
	if progress.Result == coltsfootlink.Crashed || progress.Result == coltsfootlink.Refused {
		task.Log.Warn().Str("target", string(progress.Target)).Str("result", string(progress.Result)).Str("seen-by", string(from)).
			Msg("admission: request failed at target, which may be down or cold")
	}
}

// table returns the owned targets for the operators' query.
func (task *Task) table(now time.Time) coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"target", "pool", "zone", "requests", "wait-ms", "pace", "slowdown", "owner"}}
	for name, ledger := range task.ledgers {
		requests, wait := ledger.Load(now)
		window, slowdown := ledger.Pace()
		table = table.WithRow(string(name), string(ledger.target.Pool), string(ledger.target.Zone),
			strconv.Itoa(requests), strconv.Itoa(wait), window, slowdown, string(task.Self))
	}
	return table
}
