package speed

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"coltsfootlink"
)

const (
	// announceThreshold is the difference of a target's speed from that of the settings from which on it is announced, and
	// withdrawThreshold the one below which it no longer is.
	announceThreshold = 0.2
	withdrawThreshold = 0.15
	// stepsPerUnit is the precision of announced speeds: they are multiples of 0.1. Another one is announced when the speed differs by stepThreshold from the
	// announced one; this is more than half a step, so that noise of 5% changes no announcement.
	stepsPerUnit  = 10
	stepThreshold = 0.08
	// announceInterval is the minimum time between two messages, and repeatInterval the time after which speeds are repeated
	// for instances that have joined or missed a message.
	announceInterval = time.Second
	repeatInterval   = 5 * time.Second
	// heardTTL is how long announced speeds are used: one repetition may be lost.
	heardTTL = 3*repeatInterval - announceInterval
)

// Measured is the measured speed of a target.
type Measured struct {
	Target      coltsfootlink.TargetName
	Incarnation uint64
	// Speed is the rate at which the target works, as a multiple of the rates in the settings.
	Speed float64
}

// Measured returns the measured speed of a target; false as long as there are too few measurements.
func (state State) Measured(target coltsfootlink.Target) (Measured, bool) {
	return Measured{Target: target.Name, Incarnation: target.Incarnation, Speed: 1 / state.Slowdown()}, state.samples >= minSamples
}

// announcement is an announced speed. One that is 1 again is announced until a time, and then no more.
type announcement struct {
	coltsfootlink.TargetSpeed
	withdrawnUntil time.Time
}

// Change is a change of a target's announced speed.
type Change struct {
	Target   coltsfootlink.TargetName
	From, To float64
}

// Announcer decides which speeds of its own targets an instance announces, and when; it is immutable.
type Announcer struct {
	announced        map[coltsfootlink.TargetName]announcement
	nextAt, repeatAt time.Time
}

// With takes the measured speeds of all targets that the instance owns. It returns the speeds to be sent to all instances, which
// are none if none are due, and the changes.
func (announcer Announcer) With(now time.Time, measured []Measured) (Announcer, []coltsfootlink.TargetSpeed, []Change) {
	if now.Before(announcer.nextAt) {
		return announcer, nil, nil
	}
	announcer.nextAt = now.Add(announceInterval)
	announced := make(map[coltsfootlink.TargetName]announcement)
	var changes []Change
	for _, one := range measured {
		before, known := announcer.announced[one.Target]
		if known = known && before.Incarnation == one.Incarnation; !known {
			before.Speed = 1
		}
		after := announcement{
			TargetSpeed:    coltsfootlink.TargetSpeed{Target: one.Target, Incarnation: one.Incarnation, Speed: announcedSpeed(one.Speed, before.Speed)},
			withdrawnUntil: before.withdrawnUntil,
		}
		if after.Speed != before.Speed {
			changes = append(changes, Change{Target: one.Target, From: before.Speed, To: after.Speed})
			after.withdrawnUntil = now.Add(heardTTL)
		}
		if after.Speed != 1 || known && now.Before(after.withdrawnUntil) {
			announced[one.Target] = after
		}
	}
	announcer.announced = announced
	if len(announced) == 0 || len(changes) == 0 && now.Before(announcer.repeatAt) {
		return announcer, nil, changes
	}
	announcer.repeatAt = now.Add(repeatInterval)
	speeds := make([]coltsfootlink.TargetSpeed, 0, len(announced))
	for _, one := range announced {
		speeds = append(speeds, one.TargetSpeed)
	}
	slices.SortFunc(speeds, func(left, right coltsfootlink.TargetSpeed) int {
		return strings.Compare(string(left.Target), string(right.Target))
	})
	return announcer, speeds, changes
}

// announcedSpeed returns the speed that is announced for a measured one, given what is announced now; 1 for none.
func announcedSpeed(measured, announced float64) float64 {
	threshold := announceThreshold
	if announced != 1 {
		threshold = withdrawThreshold
	}
	switch {
	case math.Abs(measured-1) <= threshold:
		return 1
	case announced != 1 && math.Abs(measured-announced) < stepThreshold:
		return announced
	default:
		return math.Round(measured*stepsPerUnit) / stepsPerUnit
	}
}

// heard is an announced speed that an instance has heard of.
type heard struct {
	coltsfootlink.TargetSpeed
	until time.Time
}

// Board holds the speeds that owners have announced; it is immutable.
type Board struct {
	speeds map[coltsfootlink.TargetName]heard
}

// WithSpeeds adds announced speeds and removes those that have not been repeated.
func (board Board) WithSpeeds(now time.Time, speeds []coltsfootlink.TargetSpeed) Board {
	kept := make(map[coltsfootlink.TargetName]heard, len(board.speeds))
	maps.Copy(kept, board.speeds)
	maps.DeleteFunc(kept, func(_ coltsfootlink.TargetName, one heard) bool { return now.After(one.until) })
	for _, one := range speeds {
		kept[one.Target] = heard{TargetSpeed: one, until: now.Add(heardTTL)}
	}
	return Board{speeds: kept}
}

// Medians returns the median speed of the targets of each pool, as a multiple of the rates in the settings. A target counts as 1
// if no speed of it has been announced. Pools with none announced are left out.
func (board Board) Medians(now time.Time, targets map[coltsfootlink.TargetName]coltsfootlink.Target) map[coltsfootlink.PoolName]float64 {
	announced := make(map[coltsfootlink.PoolName][]float64)
	for name, one := range board.speeds {
		if target, found := targets[name]; found && target.Incarnation == one.Incarnation && !now.After(one.until) {
			announced[target.Pool] = append(announced[target.Pool], one.Speed)
		}
	}
	if len(announced) == 0 {
		return nil
	}
	sizes := make(map[coltsfootlink.PoolName]int)
	for _, target := range targets {
		sizes[target.Pool]++
	}
	medians := make(map[coltsfootlink.PoolName]float64)
	for pool, speeds := range announced {
		speeds = append(speeds, slices.Repeat([]float64{1}, max(0, sizes[pool]-len(speeds)))...)
		slices.Sort(speeds)
		medians[pool] = speeds[len(speeds)/2]
	}
	return medians
}
