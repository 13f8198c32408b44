// Package speed estimates how fast targets work, from the times of their first events and from those that are overdue. It
// answers loads on targets that differ in speed, or that are slow for some hundred milliseconds at a time: a promise made
// from the average of a target, or of its pool, would then be broken for many requests.
package speed

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// overdueTolerance is how late a first event may be before the target counts as slow. Predictions are seldom off by as much
	// for a target that runs at an even speed, the usual delay of reports included.
	overdueTolerance = 40 * time.Millisecond
	// correctionGain is the fraction of usual errors by which predictions for later prompts are corrected.
	correctionGain = 0.3
	// usualReportDelay is the delay up to which reports of a holder count as in time.
	usualReportDelay = 5 * time.Millisecond
	// memoryMillis is the reading time over which the slowdown is averaged. It covers several of the moments of slowness that
	// return about twice a second, so that these do not move the average.
	memoryMillis = 4000.0
	// priorMillis is the reading time that the assumed slowdown of a target that is not known yet counts for.
	priorMillis = 300.0
	// minSlowdown and maxSlowdown bound the slowdown.
	minSlowdown = 0.4
	maxSlowdown = 4.0
	// maxStall bounds what a single measurement counts: a target that did not run for longer was suspended, which says
	// nothing of its speed.
	maxStall = 300 * time.Millisecond
	// errorWeight is the weight of the newest error in the mean absolute error. A larger one makes margins grow and fall with
	// single moments of slowness, which come and go within a few prompts.
	errorWeight = 0.04
	// usualErrorMillis is the mean absolute error up to which predictions need no margin. Targets that run at an even speed stay
	// below it; the margin is the part beyond.
	usualErrorMillis = 15.0
	// minSamples is the number of measurements before a target's speed is announced.
	minSamples = 10
)

// State is what the owner of a target knows of the target's speed; it is immutable.
type State struct {
	// tookMillis and expectedMillis are sums of measured reading times and of those computed from the rates; older ones count
	// less. Sums are used because the errors at the two ends of a busy period cancel in them.
	tookMillis, expectedMillis float64
	// samples is the number of measurements.
	samples int
	// errorMillis is the mean absolute error of the promised times of first events.
	errorMillis float64
	// reportDelays are the delays of the latest reports of the holders whose reports were late.
	reportDelays *immutable.Map[coltsfootlink.InstanceName, time.Duration]
}

// New returns the state for a target of which nothing is known.
func New() State {
	return State{
		tookMillis: priorMillis, expectedMillis: priorMillis,
		reportDelays: immutable.NewMap[coltsfootlink.InstanceName, time.Duration](nil),
	}
}

// WithReading adds the measured time to read a prompt, and the time computed from the rates.
func (state State) WithReading(took, expected time.Duration) State {
	took = max(0, min(took, time.Duration(maxSlowdown*float64(expected))+maxStall))
	keep := max(0, 1-millisOf(expected)/memoryMillis)
	state.tookMillis = keep*state.tookMillis + millisOf(took)
	state.expectedMillis = keep*state.expectedMillis + millisOf(expected)
	state.samples++
	return state
}

// Slowdown returns the ratio of the time that the target takes to read prompts to the time computed from the rates, as a slow
// average.
func (state State) Slowdown() float64 {
	return min(maxSlowdown, max(minSlowdown, state.tookMillis/state.expectedMillis))
}

// WithError adds the difference between the actual and the promised time of a first event.
func (state State) WithError(difference time.Duration) State {
	state.errorMillis += errorWeight * (millisOf(min(maxStall, difference.Abs())) - state.errorMillis)
	return state
}

// MarginMillis returns the time in milliseconds by which promises have to be kept back because first events come at uneven
// times; it is zero for a target that runs at an even speed.
func (state State) MarginMillis() float64 {
	return max(0, state.errorMillis-usualErrorMillis)
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

// WithoutHolder forgets an instance that has failed or left.
func (state State) WithoutHolder(holder coltsfootlink.InstanceName) State {
	state.reportDelays = state.reportDelays.Delete(holder)
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

// Correction returns by how much the expected times of later prompts move after one was read later than expected: a fraction
// of usual errors, which say little of later prompts, and all of what goes beyond.
func Correction(difference time.Duration) time.Duration {
	usual := min(overdueTolerance, max(-overdueTolerance, difference))
	return difference - usual + time.Duration(correctionGain*float64(usual))
}

// millisOf converts a duration to milliseconds.
func millisOf(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }
