package pressure

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// latenciesMetric is the runtime's histogram of how long runnable goroutines wait to be scheduled, in seconds.
	latenciesMetric = "/sched/latencies:seconds"
	// latencyQuantile is the quantile of the scheduling latencies that is reported.
	latencyQuantile = 0.9
)

// Meter measures CPU pressure by the scheduling latencies of the Go runtime.
type Meter struct {
	sample   []metrics.Sample
	previous []uint64
}

// Wait returns the 90th percentile of the scheduling latencies since the last call; zero if there were none.
func (meter *Meter) Wait() time.Duration {
	if meter.sample == nil {
		meter.sample = []metrics.Sample{{Name: latenciesMetric}}
	}
	metrics.Read(meter.sample)
	if meter.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := meter.sample[0].Value.Float64Histogram()
	seconds := quantile(meter.previous, histogram.Counts, histogram.Buckets, latencyQuantile)
	meter.previous = append(meter.previous[:0], histogram.Counts...)
	return time.Duration(seconds * float64(time.Second))
}

// quantile returns the lower bound of the bucket with the given quantile of the samples added between two histograms.
func quantile(previous, current []uint64, bounds []float64, fraction float64) float64 {
	added := func(index int) uint64 {
		if index < len(previous) {
			return current[index] - previous[index]
		}
		return current[index]
	}
	var total uint64
	for index := range current {
		total += added(index)
	}
	if total == 0 {
		return 0
	}
	remaining := uint64(math.Ceil(float64(total) * fraction))
	for index := range current {
		if count := added(index); count < remaining {
			remaining -= count
			continue
		}
		return max(0, bounds[index])
	}
	return 0
}
