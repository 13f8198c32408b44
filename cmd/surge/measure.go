package main

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// measure is one measured value with the target that it has to meet.
type measure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Target float64 `json:"target"`
	Met    bool    `json:"met"`
	// lowerBound indicates that the target is the minimum of the value rather than its maximum.
	lowerBound bool
}

// report is the JSON form of a suite's measures.
type report struct {
	Measures []measure `json:"measures"`
}

// atMost returns a measure whose target is a maximum. A value of NaN does not meet it.
func atMost(name string, value, target float64) measure {
	return measure{Name: name, Value: value, Target: target, Met: !math.IsNaN(value) && value <= target}
}

// atLeast returns a measure whose target is a minimum. A value of NaN does not meet it.
func atLeast(name string, value, target float64) measure {
	return measure{Name: name, Value: value, Target: target, Met: !math.IsNaN(value) && value >= target, lowerBound: true}
}

func (result measure) targetText() string {
	if result.lowerBound {
		return fmt.Sprintf(">= %.3f", result.Target)
	}
	return fmt.Sprintf("<= %.3f", result.Target)
}

// quantile returns, in milliseconds, the duration below which the given fraction of the durations lies, and NaN if
// there are none.
func quantile(durations []time.Duration, fraction float64) float64 {
	if len(durations) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(durations))
	index := min(len(sorted)-1, int(fraction*float64(len(sorted))))
	return float64(sorted[index]) / float64(time.Millisecond)
}
