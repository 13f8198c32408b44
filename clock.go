package coltsfootlink

import (
	"context"
	"time"
)

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// SystemClock is a Clock that reads the system time.
type SystemClock struct{}

func (SystemClock) Now() time.Time { return time.Now() }

// Elapsed returns the time between two readings of a clock. It includes the time for which the machine was suspended, which
// the steady clock leaves out.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Sleep waits for a duration and returns true, or false if the context ends first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// CPUWaitMeter measures CPU pressure: how long runnable work, or connections ready to be accepted, wait for the
// processor.
type CPUWaitMeter interface {
	// Wait returns the recent wait as the meter measures it, such as the 90th percentile, or the wait of the newest
	// connection; zero if nothing is known.
	Wait() time.Duration
}
