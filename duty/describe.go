package duty

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/usage"
)

// failuresPerLine is the number of failures of one call, or of the store, for which one line is logged after the first.
const failuresPerLine = 10

// logConfirmed logs a confirmed order, and a usage report that was repeated or late.
func (task *Task) logConfirmed(now time.Time, call Call) {
	if call.Pool != "" {
		metrics.Count("scale-orders-confirmed")
		describe(task.Log.Info(), call).Msg("duty: the platform has confirmed an order of targets")
		return
	}
	metrics.Count("usage-windows-reported")
	late := task.steady(now).Sub(usage.End(call.Window, task.Window)) - task.Lateness
	if late > 0 {
		metrics.Count("usage-windows-late")
		describe(task.Log.Warn(), call).Int64("late-ms", late.Milliseconds()).Msg("duty: usage window was reported after it was due")
	} else if call.Attempts > 1 {
		describe(task.Log.Info(), call).Msg("duty: usage window was reported after repeats")
	}
}

// logFailure logs the first failure of a call and every failuresPerLine-th further one.
func (task *Task) logFailure(result callResult) {
	var failure *coltsfootlink.DutyError
	text := "duty: call to the platform got no answer, repeating it"
	switch {
	case errors.Is(result.err, errLeaseEnded):
		metrics.Count("duty-calls-withheld")
		text = "duty: call was not made because the lease had ended"
	case errors.As(result.err, &failure) && failure.Throttled:
		metrics.Count("duty-calls-throttled")
		text = "duty: the platform accepts no more calls at the moment, repeating it later"
	case errors.As(result.err, &failure) && failure.Rejected:
		metrics.Count("duty-calls-rejected")
		text = "duty: the platform has refused a call, repeating it"
	case errors.As(result.err, &failure) && failure.Answered:
		metrics.Count("duty-calls-failed")
		text = "duty: the platform answered a call with an error, repeating it"
	default:
		metrics.Count("duty-calls-unanswered")
	}
	if result.call.Attempts%failuresPerLine == 1 {
		describe(task.Log.Warn(), result.call).Err(result.err).Uint64("token", result.token).Msg(text)
	}
}

// describe adds what a call is about to a log line.
func describe(line *zerolog.Event, call Call) *zerolog.Event {
	line = line.Int("attempts", call.Attempts)
	if call.Pool != "" {
		return line.Str("pool", string(call.Pool)).Str("zone", string(call.Zone)).Int("count", call.Count)
	}
	return line.Uint64("window", call.Window)
}

// table returns what this instance knows of the duties, for the operators' query: one row for the lease and the usage reports,
// and on the holder one for each pool and zone whose number of targets may be ordered. Demand is in targets that would be fully at
// work, now and at its peak of the last 20 s.
func (task *Task) table() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"holder", "token", "state", "recorded", "reported", "pool", "zone", "desired", "targets", "demand", "peak"}}
	if task.held == nil {
		holder, recorded := string(task.announcer), previousWindow(task.announced.NextWindow)
		if holder == "" {
			holder = "-"
		}
		return table.WithRow(holder, strconv.FormatUint(task.announced.Token, 10), "follows", recorded, "-", "-", "-", "-", "-", "-", "-")
	}
	token, state := strconv.FormatUint(task.held.token, 10), "paused"
	if task.held.valid {
		state = "holds"
	}
	table = table.WithRow(string(task.Self), token, state, previousWindow(task.held.next), previousWindow(task.held.calls.FirstUnconfirmed(task.held.next)), "-", "-", "-", "-", "-", "-")
	for _, zone := range task.held.planner.Zones() {
		state = task.orderState(zone.Pool, zone.Zone)
		table = table.WithRow(string(task.Self), token, state, "-", "-", string(zone.Pool), string(zone.Zone), strconv.Itoa(zone.Desired),
			strconv.Itoa(zone.Targets), strconv.FormatFloat(zone.Demand, 'f', 1, 64), strconv.FormatFloat(zone.Peak, 'f', 1, 64))
	}
	return table
}

// orderState tells whether the number of a pool's targets in a zone was ordered, and whether the platform has confirmed it.
func (task *Task) orderState(pool coltsfootlink.PoolName, zone coltsfootlink.ZoneName) string {
	for _, order := range task.held.calls.Orders() {
		switch {
		case order.Pool != pool || order.Zone != zone:
		case order.Confirmed:
			return "ordered"
		default:
			return "ordering"
		}
	}
	return "unchanged"
}

// previousWindow returns the window before the given one, or a dash if there is none.
func previousWindow(next uint64) string {
	if next == 0 {
		return "-"
	}
	return strconv.FormatUint(next-1, 10)
}
