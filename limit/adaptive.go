// Package limit adapts the concurrency limit of a target to its answers.
package limit

import (
	"time"

	"coltsfootlink"
)

const (
	// baselineWeight is the weight of a new sample in the latency baseline, if it is above the baseline; a lower sample
	// replaces it.
	baselineWeight = 0.05
	// slowFactor is the time to the first byte, as a multiple of the baseline, above which the limit shrinks.
	slowFactor = 3
	// slowSlackMillis is added to the threshold for slow answers, so that noise on a short baseline is tolerated.
	slowSlackMillis = 50
	// coldFraction is the fraction of the first answer's latency after a cold start from which a warm target counts as
	// cold again.
	coldFraction = 0.8
	// shrinkFactor is the factor by which the limit shrinks when the target is slow or fails.
	shrinkFactor = 0.7
	// shrinkInterval is the minimum time between two reductions.
	shrinkInterval = time.Second
)

// Adaptive raises a target's limit while it answers at a steady latency, and lowers it when the target is slow or
// fails.
type Adaptive struct {
	pool        coltsfootlink.Pool
	current     float64
	incarnation uint64
	growAt      time.Time
	shrinkAt    time.Time
	// coldMillis is the time to the first byte of the first answer after a cold start.
	coldMillis float64
	// baselineMillis is the usual time to the first byte of the warm target.
	baselineMillis float64
}

// NewAdaptive returns the limiter of a target that has just started.
func NewAdaptive(pool coltsfootlink.Pool, incarnation uint64, now time.Time) Adaptive {
	return Adaptive{
		pool:        pool,
		current:     float64(pool.ColdLimit),
		incarnation: incarnation,
		growAt:      pool.GrowthDeadline(now),
	}
}

// Limit returns the number of requests that the target may run at the same time.
func (limiter Adaptive) Limit() int { return int(limiter.current) }

// Incarnation returns the newest known incarnation of the target; zero if none is known.
func (limiter Adaptive) Incarnation() uint64 { return limiter.incarnation }

// WithRunning raises the limit to the number of requests that the target runs without trouble, at most the pool's
// maximum.
func (limiter Adaptive) WithRunning(running int) coltsfootlink.Limiter {
	limiter.current = max(limiter.current, float64(min(running, limiter.pool.MaxLimit)))
	return limiter
}

// WithIncarnation resets the limit to that of a cold target if the target's incarnation has changed.
func (limiter Adaptive) WithIncarnation(now time.Time, incarnation uint64) coltsfootlink.Limiter {
	return limiter.withIncarnation(now, incarnation)
}

// WithCold resets the limit to that of a target that has just started.
func (limiter Adaptive) WithCold(now time.Time) coltsfootlink.Limiter { return limiter.withCold(now) }

// WithUsage adjusts the limit by the result of a request; running is the number of requests that ran beside it.
func (limiter Adaptive) WithUsage(now time.Time, usage coltsfootlink.Usage, running int) coltsfootlink.Limiter {
	limiter = limiter.withIncarnation(now, usage.Incarnation)
	switch usage.Result {
	case coltsfootlink.Refused:
		return limiter.withCold(now)
	case coltsfootlink.Crashed:
		return limiter.withBrokenConnection(now)
	case coltsfootlink.Failed:
		return limiter.withShrink(now)
	case coltsfootlink.Succeeded:
		return limiter.withSuccess(now, usage.FirstByteMillis, running)
	default:
		return limiter
	}
}

func (limiter Adaptive) withIncarnation(now time.Time, incarnation uint64) Adaptive {
	if incarnation == 0 || incarnation == limiter.incarnation {
		return limiter
	}
	known := limiter.incarnation != 0
	older := incarnation < limiter.incarnation
	if older {
		return limiter
	}
	limiter.incarnation = incarnation
	if !known {
		return limiter
	}
	return limiter.withCold(now)
}

func (limiter Adaptive) withCold(now time.Time) Adaptive {
	limiter.current = float64(limiter.pool.ColdLimit)
	limiter.growAt = limiter.pool.GrowthDeadline(now)
	limiter.coldMillis = 0
	limiter.baselineMillis = 0
	return limiter
}

// withBrokenConnection shrinks the limit if the target reports its incarnation, since a restart will show by that;
// otherwise it assumes a restart and resets the limit to that of a cold target.
func (limiter Adaptive) withBrokenConnection(now time.Time) Adaptive {
	if limiter.incarnation == 0 {
		return limiter.withCold(now)
	}
	return limiter.withShrink(now)
}

func (limiter Adaptive) withShrink(now time.Time) Adaptive {
	if now.Before(limiter.shrinkAt) {
		return limiter
	}
	limiter.current = max(float64(limiter.pool.ColdLimit), limiter.current*shrinkFactor)
	limiter.shrinkAt = now.Add(shrinkInterval)
	limiter.growAt = limiter.pool.GrowthDeadline(now)
	return limiter
}

func (limiter Adaptive) withSuccess(now time.Time, millis float64, running int) Adaptive {
	switch {
	case limiter.coldAgain(millis):
		return limiter.withCold(now)
	case limiter.slow(millis):
		return limiter.withShrink(now).withSample(millis)
	}
	return limiter.withSample(millis).withGrowth(now, running)
}

// coldAgain reports whether a warm target answers about as slowly as its first answer after the cold start.
func (limiter Adaptive) coldAgain(millis float64) bool {
	warm := limiter.baselineMillis > 0 && limiter.coldMillis > slowFactor*limiter.baselineMillis
	return warm && limiter.slow(millis) && millis >= coldFraction*limiter.coldMillis
}

func (limiter Adaptive) slow(millis float64) bool {
	return limiter.baselineMillis > 0 && millis > slowFactor*limiter.baselineMillis+slowSlackMillis
}

func (limiter Adaptive) withSample(millis float64) Adaptive {
	if millis <= 0 {
		return limiter
	}
	switch {
	case limiter.coldMillis == 0:
		limiter.coldMillis = millis
		limiter.baselineMillis = millis
	case millis < limiter.baselineMillis:
		limiter.baselineMillis = millis
	default:
		limiter.baselineMillis += baselineWeight * (millis - limiter.baselineMillis)
	}
	return limiter
}

// withGrowth adds one to a limit that is fully used, at most at the pool's growth rate.
func (limiter Adaptive) withGrowth(now time.Time, running int) Adaptive {
	inUse := running >= limiter.Limit()
	if !inUse || now.Before(limiter.growAt) {
		return limiter
	}
	limiter.current = min(float64(limiter.pool.MaxLimit), limiter.current+1)
	limiter.growAt = limiter.pool.GrowthDeadline(now)
	return limiter
}
