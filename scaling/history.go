package scaling

import (
	"slices"
	"time"
)

const (
	// calmTime is how long demand must have been low before targets are given up, and how far back a history reaches. It is
	// longer than a wave of demand of 15 s, in whose trough targets would be given up that its crest needs.
	calmTime = 20 * time.Second
	// lastingSamples is the number of samples, one a second, for which demand must have been high within calmTime before
	// targets are ordered. Bursts last up to 5 s, the reports blur them by 2 s, and they are over before a new target serves.
	lastingSamples = 7
	// minSamples is the number of samples within calmTime that show that demand was low.
	minSamples = 15
	// sampleInterval is the time between two samples, and sampleSlack how much earlier a timer may fire.
	sampleInterval = time.Second
	sampleSlack    = 100 * time.Millisecond
	// A rise is a trend if each of riseSteps means over riseInterval is above the one before: longer than half of a wave of
	// 15 s, whose crest would be overestimated.
	riseInterval = 2 * time.Second
	riseSteps    = 5
	// maxRise is how far above the present demand a trend may lead; a rise does not go on for ever.
	maxRise = 1.25
)

// sample is the demand at one time, in targets that would be fully at work.
type sample struct {
	at     time.Time
	demand float64
}

// history holds the samples of the last calmTime, the oldest first; it is immutable.
type history []sample

// due reports whether the next sample is due.
func (history history) due(now time.Time) bool {
	return len(history) == 0 || !now.Before(history[len(history)-1].at.Add(sampleInterval-sampleSlack))
}

// with adds a sample and drops those that are older than calmTime.
func (history history) with(now time.Time, demand float64) history {
	kept := history
	for len(kept) > 0 && !kept[0].at.After(now.Add(-calmTime)) {
		kept = kept[1:]
	}
	return append(slices.Clone(kept), sample{at: now, demand: demand})
}

// complete reports whether the samples reach back calmTime, without long gaps.
func (history history) complete(now time.Time) bool {
	return len(history) >= minSamples && !history[0].at.After(now.Add(2*sampleInterval-calmTime))
}

// peak returns the largest demand.
func (history history) peak() float64 {
	var peak float64
	for _, sample := range history {
		peak = max(peak, sample.demand)
	}
	return peak
}

// lasting returns the demand that was reached in lastingSamples samples; false if there are fewer. It answers bursts, which
// it leaves out, waves, of which it takes the upper third, and short gaps in the reports.
func (history history) lasting() (float64, bool) {
	if len(history) < lastingSamples {
		return 0, false
	}
	demands := make([]float64, 0, len(history))
	for _, sample := range history {
		demands = append(demands, sample.demand)
	}
	slices.Sort(demands)
	return demands[len(demands)-lastingSamples], true
}

// expected returns the demand when targets that are ordered now have started, if it rises steadily; zero if it does not. It
// answers ramps and slow waves: the least step of the rise goes on, and slows down further if the last step was smaller than
// the one before.
func (history history) expected(now time.Time, startup time.Duration) float64 {
	means := history.means(now)
	if len(means) <= riseSteps {
		return 0
	}
	step, last, previous := means[0], means[0]-means[1], means[1]-means[2]
	for index := range riseSteps {
		step = min(step, means[index]-means[index+1])
	}
	if step <= 0 {
		return 0
	}
	expected, slowing := means[0], min(1, last/previous)
	// The newest mean is as old as one interval, with the delay of the reports.
	for range int((startup + riseInterval) / riseInterval) {
		step *= slowing
		expected += step
	}
	return min(expected, maxRise*means[0])
}

// means returns the means over successive intervals before a time, the newest first, up to one without samples.
func (history history) means(now time.Time) []float64 {
	var means []float64
	for step := range riseSteps + 1 {
		mean, found := history.mean(now.Add(-time.Duration(step) * riseInterval))
		if !found {
			break
		}
		means = append(means, mean)
	}
	return means
}

// mean returns the mean demand over the riseInterval before a time; false if there are no samples.
func (history history) mean(until time.Time) (float64, bool) {
	sum, count := 0.0, 0
	for _, sample := range history {
		if !sample.at.After(until) && sample.at.After(until.Add(-riseInterval)) {
			sum += sample.demand
			count++
		}
	}
	return sum / float64(max(1, count)), count > 0
}
