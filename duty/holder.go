package duty

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/lease"
	"coltsfootlink/metrics"
	"coltsfootlink/scaling"
	"coltsfootlink/usage"
)

const (
	// removeAfter is the number of confirmed windows in the store after which they are removed, and maxRemoved the largest
	// number that is removed at once. A read by a candidate stays small, and few appends are made for it.
	removeAfter = 12
	maxRemoved  = 64
)

// errLeaseEnded is the error of a call that was not made because the lease had ended.
var errLeaseEnded = errors.New("the lease ended before the call was made")

// holding is the state of an instance that holds the lease.
type holding struct {
	token   uint64
	ledger  usage.Ledger
	planner scaling.Planner
	calls   Calls
	// stored are the usage windows in the store, and next the first one that may still be recorded.
	stored map[uint64]bool
	next   uint64
	// reported is the first window that the store does not show as confirmed.
	reported uint64
	// valid indicates that calls may be made; it is false while the lease could not be renewed in time.
	valid      bool
	announceAt time.Time
	// unansweredSince is when the first of the calls failed since the platform last answered one; zero if it has answered.
	unansweredSince time.Time
	// yieldUntil is until when the lease is not renewed, so that another instance acquires it.
	yieldUntil time.Time
	// cancel ends the calls in progress.
	cancel context.CancelFunc
	ctx    context.Context
}

// storeResult is the result of a call of the store.
type storeResult struct {
	coltsfootlink.Local

	incarnation uint64
	step        lease.Step
	// records are what was read.
	records coltsfootlink.DutyRecords
	// next is the position after what was appended: a lease record with reported, or a window, or the removal of windows.
	next     coltsfootlink.Position
	reported uint64
	window   *coltsfootlink.UsageWindow
	removed  []uint64
	// rewritten are the lost windows that were appended with the lease record.
	rewritten []coltsfootlink.UsageWindow
	err       error
}

// useStore begins the call of the store that is due. One is in progress at a time, because each append needs the offset after
// the one before.
func (task *Task) useStore(ctx context.Context, now time.Time) {
	step := task.lease.Next(now, task.candidate(now))
	if step == lease.Wait && task.held != nil && len(task.lost) > 0 && task.lease.MayUse(now) {
		step = lease.Renew
	}
	result := storeResult{step: step, incarnation: task.incarnation}
	switch {
	case step == lease.Read:
	case step == lease.Acquire:
		// What the earlier holders have reported stays on record.
		result.reported, result.rewritten = task.records.Lease.Reported, task.lost
		task.lease = task.lease.WithRefused(task.refused())
	case step == lease.Renew && now.Before(task.held.yieldUntil):
		return
	case step == lease.Renew:
		result.reported, result.rewritten = task.held.calls.FirstUnconfirmed(task.held.next), task.lost
	case task.held == nil || !task.lease.MayUse(now):
		return
	default:
		result.step = lease.Use
		if window, due := task.dueWindow(now); due {
			result.window = &window
		} else if result.removed = task.held.removable(); len(result.removed) == 0 {
			return
		}
	}
	task.lease = task.lease.WithBegun(now, result.step)
	record, at := task.lease.Proposal(result.reported)
	ctx, cancel := context.WithDeadline(ctx, now.Add(storeCallTimeout))
	go func() {
		defer cancel()
		switch {
		case result.step == lease.Read:
			result.records, result.err = task.Store.Read(ctx)
		case result.window != nil:
			result.next, result.err = task.Store.AppendWindow(ctx, *result.window, at)
		case result.step == lease.Use:
			result.next, result.err = task.Store.RemoveWindows(ctx, result.removed, at)
		default:
			result.next, result.err = task.Store.AppendLease(ctx, record, result.rewritten, at)
		}
		task.Inbox.Put(coltsfootlink.Delivery{Message: result})
	}()
}

func (task *Task) handleStoreResult(result storeResult) {
	if result.incarnation != task.incarnation {
		return
	}
	now := task.Clock.Now()
	switch {
	case errors.Is(result.err, coltsfootlink.ErrDutyConflict):
		metrics.Count("duty-conflicts")
		task.Log.Warn().Str("step", string(result.step)).Msg("duty: another instance has appended a duty record, reading the records again")
		task.lease = task.lease.WithConflict(now)
	case result.err != nil:
		metrics.Count("duty-store-failures")
		if task.storeFailures++; task.storeFailures%failuresPerLine == 1 {
			task.Log.Warn().Err(result.err).Str("step", string(result.step)).Int("failures", task.storeFailures).
				Msg("duty: call of the store failed, reading the records again")
		}
		task.lease = task.lease.WithFailure(now)
	case result.step == lease.Read:
		task.handleRead(now, result.records)
	default:
		task.lease = task.lease.WithAppended(now, result.next, result.reported)
	}
	if result.err == nil {
		task.storeFailures = 0
	}
	switch {
	case !task.lease.Holds():
		task.loseLease()
		return
	case task.held == nil || task.held.token != task.lease.Token():
		task.hold(now, result)
	case result.err == nil:
		task.applyStored(now, result)
	}
}

// handleRead takes over the records that were read, and finds what a restore of the store has lost.
func (task *Task) handleRead(now time.Time, records coltsfootlink.DutyRecords) {
	era, read := task.recordedWindows.Era()
	restored := read && records.End.Era > era
	task.records = records
	task.lease = task.lease.WithRead(now, records)
	// After a suspension the steady clock lags behind, until checkClock finds it.
	current := max(task.counter.Index(task.steady(now)), task.counter.Index(now.Round(0)))
	task.recordedWindows = task.recordedWindows.WithRead(current, task.lease.Holds(), records)
	from := records.Lease.Reported
	if task.held != nil && task.lease.Holds() {
		from = max(from, task.held.calls.FirstUnconfirmed(task.held.next))
	}
	if task.lost = nil; task.Usage {
		task.lost = task.recordedWindows.Lost(from, records)
	}
	switch {
	case restored:
		metrics.Count("duty-restores")
		task.Log.Warn().Uint64("era-before", era).Uint64("era", records.End.Era).Bool("holds-lease", task.lease.Holds()).Int("lost-windows", len(task.lost)).
			Msg("duty: the store was restored from an earlier copy, the holder writes what is lost again before any call")
	case task.lease.Holds() && (len(task.lost) > 0 || task.lease.Unwritten()):
		metrics.Count("duty-records-replaced")
		task.Log.Warn().Bool("lease", task.lease.Unwritten()).Int("windows", len(task.lost)).
			Msg("duty: an append from before the restore has replaced records, this holder writes its own again before any call")
	}
}

// hold begins the duties after the lease was acquired. Recorded windows that are not confirmed are reported again.
func (task *Task) hold(now time.Time, result storeResult) {
	task.drop()
	held := &holding{token: task.lease.Token(), ledger: usage.NewLedger(task.Window, task.Lateness), planner: scaling.NewPlanner(), stored: make(map[uint64]bool)}
	held.ctx, held.cancel = context.WithCancel(context.Background())
	task.held = held
	task.logRefused()
	task.recordedUntil(max(task.records.NextWindow(), task.refused()))
	task.records.Windows = maps.Clone(task.records.Windows)
	for _, window := range result.rewritten {
		task.records.Windows[window.Index] = window
	}
	task.adopt(now, task.records)
	task.countRewritten(result)
	if task.Usage && task.holderReport.Incarnation != 0 {
		held.ledger = held.ledger.WithReport(task.steady(now), task.announcer, task.holderReport)
	}
	task.updatePlanner()
	metrics.Count("duty-acquisitions")
	task.Log.Info().Uint64("token", held.token).Uint64("next-window", held.next).Int("unconfirmed-windows", len(held.calls.calls)).
		Str("previous-holder", task.records.Lease.Holder).Msg("duty: this instance holds the lease of the singleton duties")
}

// adopt takes over the windows that are recorded in the store.
func (task *Task) adopt(now time.Time, records coltsfootlink.DutyRecords) {
	held := task.held
	held.reported = max(held.reported, records.Lease.Reported)
	// The store may have been restored, and then has windows again that were removed.
	held.stored = make(map[uint64]bool, len(records.Windows))
	for _, index := range slices.Sorted(maps.Keys(records.Windows)) {
		task.recorded(now, records.Windows[index])
	}
}

// loseLease ends the duties after another instance has acquired the lease.
func (task *Task) loseLease() {
	if task.held == nil {
		return
	}
	record, _ := task.lease.Record()
	metrics.Count("duty-leases-lost")
	text := "duty: another instance holds the lease, this one makes no more calls"
	if task.recordedWindows.Restored() && record.Era != task.records.End.Era {
		text = "duty: the store was restored after the lease had expired, this instance makes no more calls"
	}
	task.Log.Warn().Uint64("token", task.held.token).Str("holder", record.Holder).Uint64("new-token", record.Token).Msg(text)
	task.drop()
}

// drop forgets the state of the holder and ends its calls.
func (task *Task) drop() {
	if task.held != nil {
		task.held.cancel()
		task.held = nil
	}
}

// checkValidity logs when the lease expires before it is renewed, and when it is valid again.
func (task *Task) checkValidity(now time.Time) {
	_, valid := task.lease.CallDeadline(now)
	switch {
	case task.held.valid && task.lease.Unwritten():
		// What the restore has lost was logged when the records were read.
	case task.held.valid && !valid:
		metrics.Count("duty-lease-expiries")
		task.Log.Warn().Uint64("token", task.held.token).Msg("duty: the lease could not be renewed in time, calls wait")
	case !task.held.valid && valid:
		task.Log.Info().Uint64("token", task.held.token).Msg("duty: the lease is valid, calls are made")
	}
	task.held.valid = valid
}

// yield stops renewing the lease if the platform has not answered this instance for long: others may reach it. With another
// live instance only.
func (task *Task) yield(now time.Time) {
	held := task.held
	if held.unansweredSince.IsZero() || now.Sub(held.unansweredSince) < unreachableTimeout || now.Before(held.yieldUntil) || len(task.view.Live()) < 2 {
		return
	}
	held.yieldUntil, held.unansweredSince = now.Add(yieldTime), time.Time{}
	metrics.Count("duty-leases-yielded")
	task.Log.Warn().Uint64("token", held.token).Msg("duty: the platform does not answer this instance, leaving the lease to another one")
}

// announce tells all live instances who the holder is and which windows are recorded. A holder that yields is silent.
func (task *Task) announce(now time.Time) {
	if now.Before(task.held.announceAt) || now.Before(task.held.yieldUntil) {
		return
	}
	task.held.announceAt = now.Add(sendInterval)
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, coltsfootlink.DutyHolder{Token: task.held.token, NextWindow: task.held.next})
	}
}

func (task *Task) handleReport(from coltsfootlink.InstanceName, report coltsfootlink.DutyReport) {
	if task.held == nil {
		if from == task.announcer {
			task.holderReport = report
		}
		return
	}
	if task.Usage {
		task.held.ledger = task.held.ledger.WithReport(task.steady(task.Clock.Now()), from, report)
	}
	if task.Scaling {
		task.held.planner = task.held.planner.WithLoads(task.Clock.Now(), from, report.Loads)
	}
}
