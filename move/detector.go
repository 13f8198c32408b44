package move

import "math"

// alarmOdds is the likelihood ratio, fault against baseline, at which a detector reports a fault. The threshold grows by
// alarmOdds for each two samples after the first two, since a long test has more chances of a false alarm. doubtOdds is
// the ratio at which a detector only leans towards a fault.
const (
	alarmOdds = 1000
	doubtOdds = 30
)

// detector is a cumulative sum (CUSUM) test that detects a rise in the rate of an event, such as a failed request. It is
// immutable.
type detector struct {
	// baselineRate and faultRate are the fractions of samples that have the event normally and in case of a fault.
	baselineRate, faultRate float64
	// evidence is the logarithm of the likelihood ratio; never negative.
	evidence float64
	samples  int
}

// withSample adds a sample. Evidence for the baseline does not accumulate below zero, so that a fault that begins late is
// still detected quickly.
func (detector detector) withSample(event bool) detector {
	if event {
		detector.evidence += math.Log(detector.faultRate / detector.baselineRate)
	} else {
		detector.evidence += math.Log((1 - detector.faultRate) / (1 - detector.baselineRate))
	}
	detector.evidence = max(0, detector.evidence)
	detector.samples++
	return detector
}

// withRates replaces the rates that later samples are tested against.
func (detector detector) withRates(baseline, fault float64) detector {
	detector.baselineRate = baseline
	detector.faultRate = fault
	return detector
}

func (detector detector) alarmed() bool {
	return detector.evidence >= math.Log(alarmOdds*max(1, float64(detector.samples)/2))
}

func (detector detector) doubtful() bool { return detector.evidence >= math.Log(doubtOdds) }
