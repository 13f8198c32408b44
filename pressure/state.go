// Package pressure sheds load while an instance is short of CPU: it decides which requests are admitted.
package pressure

import (
	"time"

	"coltsfootlink"
)

// FullAdmission is the admission level at which all requests are admitted. Below it requests beyond their teams' shares
// are refused first; below half of it Entitled requests are refused as well.
const FullAdmission = 2.0

const (
	// maxWait is the CPU wait (of runnable goroutines, or of connections to be accepted) up to which CPU is not short.
	maxWait = 50 * time.Millisecond
	// decrease and increase are the factors by which the admission level changes at each sample.
	decrease = 0.65
	increase = 1.07
	// minAdmitted is the lower bound of the admission level; the requests that are still admitted show when the flood
	// is over.
	minAdmitted = 0.02
	// An instance counts as overloaded from when the admission level falls below overloadedBelow until it reaches
	// recoveredAbove.
	overloadedBelow = 0.5
	recoveredAbove  = 1.5
)

// State is the admission level of an instance; it is immutable. Its zero value admits all requests.
type State struct {
	// reduction is FullAdmission minus the admission level.
	reduction float64
	// wait is the CPU wait at the last sample.
	wait       time.Duration
	overloaded bool
}

// WithWait adjusts the admission level by a new sample of the CPU wait.
func (state State) WithWait(wait time.Duration) State {
	admitted := FullAdmission - state.reduction
	switch {
	case wait <= maxWait:
		admitted = min(FullAdmission, admitted*increase)
	case wait >= state.wait:
		admitted = max(minAdmitted, admitted*decrease)
	}
	// While the wait is long but falling, it is due to requests admitted earlier, so that the level is kept.
	overloaded := admitted < overloadedBelow || state.overloaded && admitted < recoveredAbove
	return State{reduction: FullAdmission - admitted, wait: wait, overloaded: overloaded}
}

// Admits reports whether a request with the given standing is admitted; draw is a uniform random number from 0 to 1.
func (state State) Admits(standing coltsfootlink.Standing, draw float64) bool {
	admitted := FullAdmission - state.reduction
	if standing != coltsfootlink.Entitled {
		admitted -= FullAdmission / 2
	}
	return draw < admitted
}

// Refusing reports whether requests may be refused because CPU was short recently.
func (state State) Refusing() bool { return state.reduction > 0 }

// Wait returns the CPU wait at the last sample; zero while no requests are refused.
func (state State) Wait() time.Duration {
	if !state.Refusing() {
		return 0
	}
	return state.wait
}

// Overloaded reports whether new callers should be sent to other instances.
func (state State) Overloaded() bool { return state.overloaded }

// Admitted returns the admission level, from 0 to FullAdmission.
func (state State) Admitted() float64 { return FullAdmission - state.reduction }
