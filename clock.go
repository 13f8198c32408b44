package coltsfootlink

import (
	"context"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the present time.
func (SystemClock) Now() time.Time { return time.Now() }

// Pause waits for a span; false if the context ends first.
func Pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// WaitMeter tells how long what is ready to run, or to be accepted, waits for the processor.
type WaitMeter interface {
	// Wait returns what nearly all newest waits did not exceed; zero if nothing is known.
	Wait() time.Duration
}
