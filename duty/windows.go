package duty

import (
	"slices"
	"time"

	"coltsfootlink"
	"coltsfootlink/lease"
	"coltsfootlink/metrics"
)

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
