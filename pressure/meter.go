package pressure

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// waitsName is the runtime's histogram of how long what is ready to run waits for a processor, in seconds.
	waitsName = "/sched/latencies:seconds"
	// waitsPart is the part of the waits that is at most as long as the one that counts.
	waitsPart = 0.9
)

// Meter reads from the Go runtime how long what is ready to run waits for the processor.
type Meter struct {
	sample []metrics.Sample
	before []uint64
}

// Wait returns what nine in ten waits since the last call did not exceed; zero if there were none.
func (meter *Meter) Wait() time.Duration {
	if meter.sample == nil {
		meter.sample = []metrics.Sample{{Name: waitsName}}
	}
	metrics.Read(meter.sample)
	if meter.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	waits := meter.sample[0].Value.Float64Histogram()
	seconds := quantile(meter.before, waits.Counts, waits.Buckets, waitsPart)
	meter.before = append(meter.before[:0], waits.Counts...)
	return time.Duration(seconds * float64(time.Second))
}

// quantile returns the lower bound of the bucket in which the given part of what came since is reached.
func quantile(before, now []uint64, bounds []float64, part float64) float64 {
	fresh := func(place int) uint64 {
		if place < len(before) {
			return now[place] - before[place]
		}
		return now[place]
	}
	var total uint64
	for place := range now {
		total += fresh(place)
	}
	if total == 0 {
		return 0
	}
	left := uint64(math.Ceil(float64(total) * part))
	for place := range now {
		if count := fresh(place); count < left {
			left -= count
			continue
		}
		return max(0, bounds[place])
	}
	return 0
}
