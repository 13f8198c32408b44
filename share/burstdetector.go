package share

const (
	// growthFactor is how many times the demand must have grown since the last early report before the next one is due.
	growthFactor = 2.0
	// teamBurstFactor is how many times its previous rate a team must request within an interval before its demand
	// counts as changed; smaller rises can be noise, since requests and reports arrive in batches.
	teamBurstFactor = 3.0
)

// BurstDetector detects before an interval ends that demand is much higher than in the previous interval; it is
// immutable. Its zero value is in its first interval, with no demand before it. All figures are in tokens.
type BurstDetector struct {
	// previous is the demand of the previous interval, current that of this one so far, and threshold the demand at
	// which the next early report is due.
	previous, current, threshold float64
}

// WithDemand adds demand to the current interval.
func (detector BurstDetector) WithDemand(tokens float64) BurstDetector {
	detector.current += tokens
	return detector
}

// WithReported records that the demand so far has been reported; the next report is due when it has doubled.
func (detector BurstDetector) WithReported() BurstDetector {
	detector.threshold = growthFactor * detector.current
	return detector
}

// WithNextInterval starts the next interval.
func (detector BurstDetector) WithNextInterval() BurstDetector {
	return BurstDetector{previous: detector.current}
}

// Due reports whether an early report is due: the demand exceeds that of the previous interval by more than the
// allowance, and has more than doubled since the last early report of this interval, if there was one.
func (detector BurstDetector) Due(allowance float64) bool {
	return detector.current > max(detector.threshold, detector.previous+allowance)
}
