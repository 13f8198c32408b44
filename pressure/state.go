// Package pressure decides which requests an instance takes while its processor is behind.
package pressure

import (
	"time"

	"coltsfootlink"
)

// All is where everything is taken; below it requests beyond their teams' shares are refused first, and below half of
// it those within shares.
const All = 2.0

const (
	// waitAllowed is how long what is ready to run may wait for the processor.
	waitAllowed = 50 * time.Millisecond
	// fall and rise change what is taken, at each look.
	fall = 0.65
	rise = 1.07
	// least is the least part of the requests within shares that is taken, so that it shows when the flood is over.
	least = 0.02
	// overloadedBelow is what is taken below which an instance counts as overloaded, until calmAbove is taken again.
	overloadedBelow = 0.5
	calmAbove       = 1.5
)

// State is how much an instance takes; it is immutable. Its zero value takes everything.
type State struct {
	// refused is how far what is taken lies below all.
	refused float64
	// wait is how long what was ready to run had to wait at the last look.
	wait       time.Duration
	overloaded bool
}

// WithWait returns the state after a look at how long what was ready to run had to wait for the processor.
func (state State) WithWait(wait time.Duration) State {
	taken := All - state.refused
	switch {
	case wait <= waitAllowed:
		taken = min(All, taken*rise)
	case wait >= state.wait:
		taken = max(least, taken*fall)
	}
	// While the wait gets shorter, too much was taken before and not now.
	overloaded := taken < overloadedBelow || state.overloaded && taken < calmAbove
	return State{refused: All - taken, wait: wait, overloaded: overloaded}
}

// Takes says whether a request is to be taken by how it stands to its team's share; the draw is a number from 0 to 1.
func (state State) Takes(standing coltsfootlink.Standing, draw float64) bool {
	taken := All - state.refused
	if standing != coltsfootlink.Entitled {
		taken -= All / 2
	}
	return draw < taken
}

// Refuses says whether anything may be refused, for the processor was behind lately.
func (state State) Refuses() bool { return state.refused > 0 }

// Wait is how long what was ready to run had to wait for the processor at the last look; zero while nothing is refused.
func (state State) Wait() time.Duration {
	if !state.Refuses() {
		return 0
	}
	return state.wait
}

// Overloaded says that more callers had better go to other instances.
func (state State) Overloaded() bool { return state.overloaded }

// Taken is the part of the requests that is taken within shares and beyond them, from 0 to 2.
func (state State) Taken() float64 { return All - state.refused }
