package move

import (
	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// stageSamples is the number of requests on the new version that have to succeed before the next stage begins.
	stageSamples = 20
	// warmUpSamples is the number of first requests on the new version that are not tested for slowness, since its
	// targets may be in their cold start.
	warmUpSamples = 8
	// minFailureRate and minSlowRate are the least baseline rates of failures and of slow answers: lower observed rates
	// are raised to them.
	minFailureRate = 0.01
	minSlowRate    = 0.05
	// failureFactor and slowFactor are the multiples of the baseline rate that count as a fault.
	failureFactor = 10
	slowFactor    = 6
	// maxFaultRate limits the rate that failureFactor and slowFactor lead to.
	maxFaultRate = 0.6
	// An answer is slow if its first byte takes longer than slowMultiple times the old version's mean plus
	// slowSlackMillis. Where it is known how long an answer was expected to take, the means of both versions cannot be
	// compared, since requests wait on the old version's targets only: the answer is slow if it takes longer than
	// expectedMultiple times the expected time plus expectedSlackMillis.
	slowMultiple        = 2
	slowSlackMillis     = 50
	expectedMultiple    = 1.5
	expectedSlackMillis = 15
	// minOldWeight is the least weight of a new sample in the moving averages of the old version. The first 1/minOldWeight
	// samples all have the same weight.
	minOldWeight = 0.01
	// baselineSamples is the number of samples of the old version that make a baseline. If the old version has fewer, tests
	// begin once the new version has this many samples.
	baselineSamples = 20
)

// stages are the successive shares of the traffic that the new version gets.
var stages = []float64{0.05, 0.25, 0.5, 1}

// Rollout decides which share of one shard's traffic goes to the new version of a move; it is immutable.
type Rollout struct {
	move  coltsfootlink.Move
	stage int
	// stageSucceeded is the number of requests on the new version that have succeeded in the current stage, and ended the
	// number that have ended since the start of the move, failed ones included.
	stageSucceeded int
	ended          int
	// granted and grantedNew count the permits granted in the current stage, for all versions and for the new one.
	granted    int
	grantedNew int
	routes     *immutable.Map[string, routeStats]
	fault      string
}

// routeStats holds the statistics of both versions on one route. Rates and mean of the old version are moving averages.
type routeStats struct {
	oldEnded        int
	oldFailureRate  float64
	oldSlowRate     float64
	oldMeanMillis   float64
	newEnded        int
	failureDetector detector
	slowDetector    detector
}

// NewRollout returns the rollout of a move at its first stage.
func NewRollout(move coltsfootlink.Move) Rollout {
	return Rollout{move: move, routes: immutable.NewMap[string, routeStats](nil)}
}

// Move returns the move that the rollout carries out.
func (rollout Rollout) Move() coltsfootlink.Move { return rollout.move }

// WithMove returns the rollout after a change of the move's state.
func (rollout Rollout) WithMove(move coltsfootlink.Move) coltsfootlink.Rollout {
	rollout.move = move
	return rollout
}

// Share returns the share of the traffic that the new version may get.
func (rollout Rollout) Share() float64 {
	switch {
	case rollout.fault != "" || rollout.move.State == coltsfootlink.MoveRolledBack:
		return 0
	case rollout.move.State == coltsfootlink.MoveDone:
		return 1
	default:
		return stages[rollout.stage]
	}
}

// Prefers returns the version that gets the next permit if one of its targets has headroom.
func (rollout Rollout) Prefers() coltsfootlink.Version {
	if rollout.Allows(rollout.move.To) {
		return rollout.move.To
	}
	return rollout.move.From
}

// Allows reports whether the next permit may go to a version at all.
func (rollout Rollout) Allows(version coltsfootlink.Version) bool {
	share := rollout.Share()
	switch version {
	case rollout.move.To:
		return float64(rollout.grantedNew+1) <= share*float64(rollout.granted+1)
	case rollout.move.From:
		return share < 1 || rollout.move.State == coltsfootlink.MoveRunning
	default:
		return !rollout.move.Rejects(version)
	}
}

// WithGrant counts a permit granted for a version.
func (rollout Rollout) WithGrant(version coltsfootlink.Version) coltsfootlink.Rollout {
	rollout.granted++
	if version == rollout.move.To {
		rollout.grantedNew++
	}
	return rollout
}

// WithUsage adds the result of a request to the statistics of its route. Results that say nothing about the target, such
// as a cancelled request, are ignored.
func (rollout Rollout) WithUsage(version coltsfootlink.Version, usage coltsfootlink.Usage) coltsfootlink.Rollout {
	failed := usage.Result == coltsfootlink.Failed || usage.Result == coltsfootlink.Crashed || usage.Result == coltsfootlink.Refused
	if !failed && usage.Result != coltsfootlink.Succeeded {
		return rollout
	}
	stats, found := rollout.routes.Get(usage.Route)
	if !found {
		stats = newRouteStats()
	}
	switch version {
	case rollout.move.From:
		stats = stats.withOldSample(failed, usage)
	case rollout.move.To:
		stats = stats.withNewSample(failed, usage, rollout.ended < warmUpSamples)
		rollout = rollout.withEnded(failed).withDetectedFault(usage.Route, stats)
	}
	rollout.routes = rollout.routes.Set(usage.Route, stats)
	return rollout
}

// WithGrowth advances to the next stage if enough requests on the new version have succeeded in the current one.
func (rollout Rollout) WithGrowth() coltsfootlink.Rollout {
	last := rollout.stage == len(stages)-1
	if last || rollout.stageSucceeded < stageSamples || rollout.fault != "" || rollout.move.State != coltsfootlink.MoveRunning {
		return rollout
	}
	rollout.stage++
	rollout.stageSucceeded = 0
	rollout.granted = 0
	rollout.grantedNew = 0
	return rollout
}

// Complete reports whether enough requests have succeeded at the last stage, the full share.
func (rollout Rollout) Complete() bool {
	return rollout.stage == len(stages)-1 && rollout.stageSucceeded >= stageSamples && rollout.fault == ""
}

// Healthy reports whether requests on the new version have ended and no fault has been found.
func (rollout Rollout) Healthy() bool { return rollout.ended > 0 && rollout.fault == "" }

// Doubtful reports whether a statistical test on any route leans towards a fault.
func (rollout Rollout) Doubtful() bool {
	for iterator := rollout.routes.Iterator(); !iterator.Done(); {
		if _, stats, _ := iterator.Next(); stats.failureDetector.doubtful() || stats.slowDetector.doubtful() {
			return true
		}
	}
	return false
}

// Fault describes the fault found in the new version; empty if none was found.
func (rollout Rollout) Fault() string { return rollout.fault }

// WithFault stops all traffic to the new version.
func (rollout Rollout) WithFault(reason string) coltsfootlink.Rollout {
	if rollout.fault == "" {
		rollout.fault = reason
	}
	return rollout
}

func (rollout Rollout) withEnded(failed bool) Rollout {
	rollout.ended++
	if !failed {
		rollout.stageSucceeded++
	}
	return rollout
}

func (rollout Rollout) withDetectedFault(name string, stats routeStats) Rollout {
	switch {
	case rollout.fault != "":
		return rollout
	case stats.failureDetector.alarmed():
		rollout.fault = "requests fail on route " + name
	case stats.slowDetector.alarmed():
		rollout.fault = "requests are slow on route " + name
	}
	return rollout
}

func newRouteStats() routeStats {
	return routeStats{oldFailureRate: minFailureRate, oldSlowRate: minSlowRate}
}

// withOldSample updates the baseline with a request on the old version.
func (stats routeStats) withOldSample(failed bool, usage coltsfootlink.Usage) routeStats {
	millis := usage.FirstByteMillis
	stats.oldEnded++
	weight := max(minOldWeight, 1/float64(stats.oldEnded))
	stats.oldFailureRate += weight * (indicator(failed) - stats.oldFailureRate)
	if failed || millis <= 0 {
		return stats
	}
	stats.oldSlowRate += weight * (indicator(stats.isSlow(usage)) - stats.oldSlowRate)
	if stats.oldMeanMillis == 0 {
		stats.oldMeanMillis = millis
		return stats
	}
	stats.oldMeanMillis += weight * (millis - stats.oldMeanMillis)
	return stats
}

// withNewSample tests a request on the new version against the baseline. While the version is warming up, requests are
// tested for failure only.
func (stats routeStats) withNewSample(failed bool, usage coltsfootlink.Usage, warming bool) routeStats {
	stats.newEnded++
	if stats.oldEnded < baselineSamples && stats.newEnded < baselineSamples {
		return stats
	}
	baselineFailures := stats.baseline(minFailureRate, stats.oldFailureRate)
	stats.failureDetector = stats.failureDetector.withRates(baselineFailures, faultRate(baselineFailures, failureFactor)).withSample(failed)
	if failed || warming || stats.oldMeanMillis == 0 {
		return stats
	}
	baselineSlow := stats.baseline(minSlowRate, stats.oldSlowRate)
	stats.slowDetector = stats.slowDetector.withRates(baselineSlow, faultRate(baselineSlow, slowFactor)).withSample(stats.isSlow(usage))
	return stats
}

// baseline returns the rate to test against. The observed rate is corrected as if one event in two more samples had been
// seen (Laplace smoothing), since rare events may be missing from few samples.
func (stats routeStats) baseline(minimum, observed float64) float64 {
	samples := min(float64(stats.oldEnded), 1/minOldWeight)
	return max(minimum, (observed*samples+1)/(samples+2))
}

// isSlow reports whether an answer took much longer than expected, or, if nothing was expected, than those of the old
// version.
func (stats routeStats) isSlow(usage coltsfootlink.Usage) bool {
	if usage.ExpectedMillis > 0 {
		return usage.FirstByteMillis > expectedMultiple*usage.ExpectedMillis+expectedSlackMillis
	}
	return stats.oldMeanMillis > 0 && usage.FirstByteMillis > slowMultiple*stats.oldMeanMillis+slowSlackMillis
}

// faultRate returns the rate that counts as a fault, given the baseline rate and a factor. It is always at least a quarter
// of the way from the baseline to 1.
func faultRate(baseline, factor float64) float64 {
	return max(min(maxFaultRate, factor*baseline), baseline+(1-baseline)/4)
}

func indicator(event bool) float64 {
	if event {
		return 1
	}
	return 0
}
