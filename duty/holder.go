package duty

import (
	"context"
	"maps"
	"math/rand/v2"
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

// callResult is the result of a call to the platform.
type callResult struct {
	coltsfootlink.Local

	token uint64
	call  Call
	err   error
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

// dueWindow returns the window that has to be recorded now. A window before a recorded one is never recorded, nor one that has
// not ended.
func (task *Task) dueWindow(now time.Time) (coltsfootlink.UsageWindow, bool) {
	if !task.Usage {
		return coltsfootlink.UsageWindow{}, false
	}
	var live []coltsfootlink.InstanceName
	for _, member := range task.view.Live() {
		live = append(live, member.Name)
	}
	for range maxPassedWindows {
		window, due := task.held.ledger.Due(task.steady(now), live)
		if !due || window.Index >= task.counter.Index(task.steady(now)) {
			return coltsfootlink.UsageWindow{}, false
		}
		if window.Index >= task.held.next {
			return window, true
		}
		task.held.ledger = task.held.ledger.WithRecorded(window.Index)
	}
	return coltsfootlink.UsageWindow{}, false
}

// removable returns the windows in the store that are confirmed, if they are many. The newest one is kept, because it tells
// which windows are recorded.
func (held *holding) removable() []uint64 {
	var confirmed []uint64
	for index := range held.stored {
		if index < held.reported && index+1 < held.next {
			confirmed = append(confirmed, index)
		}
	}
	if len(confirmed) < removeAfter {
		return nil
	}
	slices.Sort(confirmed)
	return confirmed[:min(len(confirmed), maxRemoved)]
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

// refused returns the first window that this instance may record if it is not known as recorded.
func (task *Task) refused() uint64 { return task.recordedWindows.Refused(task.records) }

// countRewritten counts what was written again after a restore, and forgets that it was lost.
func (task *Task) countRewritten(result storeResult) {
	task.lost = nil
	if len(result.rewritten) > 0 {
		metrics.Count("duty-rewrites")
		task.Log.Info().Uint64("first", result.rewritten[0].Index).Int("windows", len(result.rewritten)).Uint64("token", task.held.token).
			Msg("duty: lost usage windows were written again with the lease")
	}
}

// logRefused logs which windows a new holder refuses to record, because an earlier one may have reported them before a restore.
func (task *Task) logRefused() {
	first, refused := task.records.NextWindow(), task.refused()
	if refused <= first+uint64(len(task.lost)) || !task.Usage {
		return
	}
	metrics.Count("usage-refusals")
	task.Log.Warn().Uint64("first", first).Uint64("next", refused).Int("written-again", len(task.lost)).
		Msg("duty: usage windows are not recorded any more, because their records may have been lost after they were reported")
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

// recorded reports a window that is recorded in the store, if it is not confirmed.
func (task *Task) recorded(now time.Time, window coltsfootlink.UsageWindow) {
	held := task.held
	held.stored[window.Index] = true
	task.recordedUntil(window.Index + 1)
	if window.Index >= held.reported && task.Usage {
		held.calls = held.calls.WithWindow(now, window)
	}
}

// recordedUntil notes that no window before an index may be recorded any more.
func (task *Task) recordedUntil(next uint64) {
	if next > task.held.next {
		task.held.next = next
		task.held.ledger = task.held.ledger.WithRecorded(next - 1)
	}
}

// applyStored takes over what a successful call of the store has read or appended.
func (task *Task) applyStored(now time.Time, result storeResult) {
	held := task.held
	switch {
	case result.step == lease.Read:
		task.adopt(now, result.records)
	case result.window != nil:
		metrics.Count("usage-windows-recorded")
		task.recordedWindows = task.recordedWindows.WithWindow(*result.window)
		task.recorded(now, *result.window)
	case result.step == lease.Use:
		for _, index := range result.removed {
			delete(held.stored, index)
		}
	case result.step == lease.Renew:
		held.reported = result.reported
		for _, window := range result.rewritten {
			task.recorded(now, window)
		}
		task.countRewritten(result)
		held.calls = held.calls.WithoutBefore(held.reported)
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

func (task *Task) updatePlanner() {
	if task.held != nil && task.Scaling {
		task.held.planner = task.held.planner.WithCatalog(task.Clock.Now(), task.catalog, task.view)
	}
}

// plan takes the planner's orders of targets.
func (task *Task) plan(now time.Time) {
	if !task.Scaling {
		return
	}
	planner, orders := task.held.planner.Orders(now)
	task.held.planner = planner
	for _, order := range orders {
		metrics.Count("scale-orders")
		task.Log.Info().Str("pool", string(order.Pool)).Str("zone", string(order.Zone)).Int("count", order.Count).Str("reason", order.Reason).
			Msg("duty: ordering targets")
		task.held.calls = task.held.calls.WithOrder(now, order.Pool, order.Zone, order.Count)
	}
}

// call makes the calls that are due, as far as the platform accepts them.
func (task *Task) call(ctx context.Context, now time.Time) {
	if len(task.lost) > 0 {
		return
	}
	for call, due := task.held.calls.Due(now); due; call, due = task.held.calls.Due(now) {
		if !task.limiter.AllowN(now, 1) {
			return
		}
		task.held.calls = task.held.calls.WithBegun(call.Subject)
		call.Attempts++
		go task.send(ctx, task.held.ctx, task.lease, call)
	}
}

// send makes a call within the lease, which it checks right before. It ends with the task or when the lease is lost.
func (task *Task) send(ctx, held context.Context, state lease.State, call Call) {
	result := callResult{token: state.Token(), call: call}
	now := task.Clock.Now()
	deadline, valid := state.CallDeadline(now)
	if limit := now.Add(callTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer context.AfterFunc(held, cancel)()
	fence := coltsfootlink.FencedCall{Holder: task.Holder, Token: state.Token()}
	switch {
	case !valid || held.Err() != nil:
		result.err = errLeaseEnded
	case call.Pool != "":
		result.err = task.Caller.Scale(ctx, fence, call.Pool, call.Zone, call.Count)
	default:
		result.err = task.Caller.ReportUsage(ctx, fence, call.Window, call.Teams)
	}
	task.Inbox.Put(coltsfootlink.Delivery{Message: result})
}

func (task *Task) handleCallResult(result callResult) {
	if task.held == nil || task.held.token != result.token {
		return
	}
	now, call := task.Clock.Now(), result.call
	var failure *coltsfootlink.DutyError
	switch answered := result.err == nil || errors.As(result.err, &failure) && failure.Answered; {
	case errors.Is(result.err, errLeaseEnded):
	case answered:
		task.held.unansweredSince, task.held.yieldUntil = time.Time{}, time.Time{}
	case task.held.unansweredSince.IsZero():
		task.held.unansweredSince = now
	}
	if result.err == nil {
		task.held.calls = task.held.calls.WithConfirmed(call.Subject)
		task.logConfirmed(now, call)
		return
	}
	if failure != nil && failure.Rejected && call.Pool == "" && call.Attempts >= maxRejections {
		// A window that is always refused would keep all later ones in the store.
		metrics.Count("usage-windows-abandoned")
		describe(task.Log.Error(), call).Err(result.err).Msg("duty: the platform refuses a usage window each time, giving it up")
		task.held.calls = task.held.calls.WithConfirmed(call.Subject)
		return
	}
	task.held.calls = task.held.calls.WithFailure(now, call.Subject, rand.Float64())
	task.logFailure(result)
}
