// Package speed estimates how fast a target works, from the times of its first events and from those that are overdue. It
// answers loads on targets that differ in speed, or that are slow for a few hundred milliseconds at a time: a promise made
// from a target's average would then be broken for the requests that arrive while the target is slow.
package speed

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// overdueTolerance is how late a first event may be before the target counts as slow. It is above the error of
	// predictions for targets that run at an even speed (25 ms at the 95th percentile) with the usual delay of reports.
	overdueTolerance = 40 * time.Millisecond
	// usualReportDelay is the delay up to which reports of a holder count as in time.
	usualReportDelay = 5 * time.Millisecond
)

// State is what the owner of a target knows of the target's speed; it is immutable.
type State struct {
	// reportDelays are the delays of the latest reports of the holders whose reports were late.
	reportDelays *immutable.Map[coltsfootlink.InstanceName, time.Duration]
}

// New returns the state for a target of which nothing is known.
func New() State {
	return State{reportDelays: immutable.NewMap[coltsfootlink.InstanceName, time.Duration](nil)}
}

// WithReport records how long after an event the holder's report of it arrived. A holder that is short of CPU reports late,
// which must not make the target count as slow.
func (state State) WithReport(holder coltsfootlink.InstanceName, delay time.Duration) State {
	_, late := state.reportDelays.Get(holder)
	switch {
	case delay > usualReportDelay:
		state.reportDelays = state.reportDelays.Set(holder, delay)
	case late:
		state.reportDelays = state.reportDelays.Delete(holder)
	}
	return state
}

// Overdue returns how long the first event that was expected at a time is overdue: zero unless it is overdue by more than
// the tolerance and the usual delay of the holder's reports.
func (state State) Overdue(now time.Time, holder coltsfootlink.InstanceName, expectedAt time.Time) time.Duration {
	overdue := now.Sub(expectedAt)
	if overdue <= overdueTolerance {
		return 0
	}
	if delay, late := state.reportDelays.Get(holder); late {
		overdue -= delay
	}
	if overdue <= overdueTolerance {
		return 0
	}
	return overdue
}
