package move

import "math"

// alarmOdds are the odds at which a test finds a fault; each further pair of samples raises them, for a test that goes
// on for long has more chances to be wrong. doubtOdds are those at which it leans to a fault.
const (
	alarmOdds = 1000
	doubtOdds = 30
)

// test is a cumulative sum test of whether events come more often than they should; it is immutable.
type test struct {
	// usual and bad are the shares of events that are usual and that are a fault.
	usual, bad float64
	evidence   float64
	samples    int
}

// withSample adds a sample; evidence for the usual share is not saved up, so that a late fault shows early.
func (sum test) withSample(event bool) test {
	if event {
		sum.evidence += math.Log(sum.bad / sum.usual)
	} else {
		sum.evidence += math.Log((1 - sum.bad) / (1 - sum.usual))
	}
	sum.evidence = max(0, sum.evidence)
	sum.samples++
	return sum
}

// withUsual returns the test against another usual share.
func (sum test) withUsual(usual, bad float64) test {
	sum.usual = usual
	sum.bad = bad
	return sum
}

func (sum test) alarmed() bool {
	return sum.evidence >= math.Log(alarmOdds*max(1, float64(sum.samples)/2))
}

func (sum test) doubtful() bool { return sum.evidence >= math.Log(doubtOdds) }
