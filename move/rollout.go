package move

import (
	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// stageSamples is the number of requests of the new version that have to end well before its share grows.
	stageSamples = 20
	// warmSamples is the number of first requests whose slowness does not count, for targets start cold.
	warmSamples = 8
	// leastFailures and leastSlow are the shares of failures and slow answers that are always usual.
	leastFailures = 0.01
	leastSlow     = 0.05
	// failureFactor and slowFactor are how many times the usual share is a fault.
	failureFactor = 10
	slowFactor    = 6
	// mostBad is the largest share that is taken for a fault.
	mostBad = 0.6
	// slowTimes and slowSlackMillis tell a slow answer from the old version's usual one.
	slowTimes       = 2
	slowSlackMillis = 50
	// oldWeight is the least weight of a new sample of the old version; until there are more, all weigh the same.
	oldWeight = 0.01
	// usualSamples is the number of samples after which it is known what is usual; without the old version's, the new
	// one's first samples have to do.
	usualSamples = 20
)

// stages are the shares of the traffic that the new version gets, one after the other.
var stages = []float64{0.05, 0.25, 0.5, 1}

// Rollout follows one move on one shard.
type Rollout struct {
	move  coltsfootlink.Move
	stage int
	// ended is the requests of the new version that ended well in the stage, and all that have ended.
	ended    int
	allEnded int
	// granted and grantedNew count permits since the stage began.
	granted    int
	grantedNew int
	routes     *immutable.Map[string, route]
	fault      string
}

// route is what is known of both versions on one route.
type route struct {
	oldEnded    int
	oldFailures float64
	oldSlow     float64
	oldMillis   float64
	newEnded    int
	failures    test
	slow        test
}

// NewRollout returns the first stage of a move.
func NewRollout(move coltsfootlink.Move) Rollout {
	return Rollout{move: move, routes: immutable.NewMap[string, route](nil)}
}

// Move returns the move that is followed.
func (rollout Rollout) Move() coltsfootlink.Move { return rollout.move }

// WithMove follows a change of the move's state.
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

// Prefers returns the version that the next permit goes to if a target of it has headroom.
func (rollout Rollout) Prefers() coltsfootlink.Version {
	if rollout.Allows(rollout.move.To) {
		return rollout.move.To
	}
	return rollout.move.From
}

// Allows says whether the next permit may go to a version at all.
func (rollout Rollout) Allows(version coltsfootlink.Version) bool {
	share := rollout.Share()
	switch version {
	case rollout.move.To:
		return float64(rollout.grantedNew+1) <= share*float64(rollout.granted+1)
	case rollout.move.From:
		return share < 1 || rollout.move.State == coltsfootlink.MoveRunning
	default:
		return true
	}
}

// WithGrant counts a permit.
func (rollout Rollout) WithGrant(version coltsfootlink.Version) coltsfootlink.Rollout {
	rollout.granted++
	if version == rollout.move.To {
		rollout.grantedNew++
	}
	return rollout
}

// WithUsage learns from the end of a request.
func (rollout Rollout) WithUsage(version coltsfootlink.Version, usage coltsfootlink.Usage) coltsfootlink.Rollout {
	failed := usage.Result == coltsfootlink.Failed || usage.Result == coltsfootlink.Crashed || usage.Result == coltsfootlink.Refused
	if !failed && usage.Result != coltsfootlink.Succeeded {
		return rollout
	}
	known, found := rollout.routes.Get(usage.Route)
	if !found {
		known = newRoute()
	}
	switch version {
	case rollout.move.From:
		known = known.withOld(failed, usage.FirstByteMillis)
	case rollout.move.To:
		known = known.withNew(failed, usage.FirstByteMillis, rollout.allEnded < warmSamples)
		rollout = rollout.withEnd(failed).withTests(usage.Route, known)
	}
	rollout.routes = rollout.routes.Set(usage.Route, known)
	return rollout
}

// WithGrowth grows the share of the new version if enough requests of it have ended well.
func (rollout Rollout) WithGrowth() coltsfootlink.Rollout {
	last := rollout.stage == len(stages)-1
	if last || rollout.ended < stageSamples || rollout.fault != "" || rollout.move.State != coltsfootlink.MoveRunning {
		return rollout
	}
	rollout.stage++
	rollout.ended = 0
	rollout.granted = 0
	rollout.grantedNew = 0
	return rollout
}

// Complete says whether enough requests have ended well at the whole share.
func (rollout Rollout) Complete() bool {
	return rollout.stage == len(stages)-1 && rollout.ended >= stageSamples && rollout.fault == ""
}

// Healthy says whether requests of the new version have ended, and none of the tests has found a fault.
func (rollout Rollout) Healthy() bool { return rollout.allEnded > 0 && rollout.fault == "" }

// Doubtful says that one of the tests leans to a fault.
func (rollout Rollout) Doubtful() bool {
	for iterator := rollout.routes.Iterator(); !iterator.Done(); {
		if _, known, _ := iterator.Next(); known.failures.doubtful() || known.slow.doubtful() {
			return true
		}
	}
	return false
}

// Fault returns what is wrong with the new version; empty if nothing is known.
func (rollout Rollout) Fault() string { return rollout.fault }

// WithFault stops all traffic to the new version.
func (rollout Rollout) WithFault(reason string) coltsfootlink.Rollout {
	if rollout.fault == "" {
		rollout.fault = reason
	}
	return rollout
}

func (rollout Rollout) withEnd(failed bool) Rollout {
	rollout.allEnded++
	if !failed {
		rollout.ended++
	}
	return rollout
}

func (rollout Rollout) withTests(name string, known route) Rollout {
	switch {
	case rollout.fault != "":
		return rollout
	case known.failures.alarmed():
		rollout.fault = "requests fail on route " + name
	case known.slow.alarmed():
		rollout.fault = "requests are slow on route " + name
	}
	return rollout
}

func newRoute() route {
	return route{oldFailures: leastFailures, oldSlow: leastSlow}
}

// withOld learns what is usual from a request of the old version.
func (known route) withOld(failed bool, millis float64) route {
	known.oldEnded++
	weight := max(oldWeight, 1/float64(known.oldEnded))
	known.oldFailures += weight * (indicator(failed) - known.oldFailures)
	if failed || millis <= 0 {
		return known
	}
	known.oldSlow += weight * (indicator(known.isSlow(millis)) - known.oldSlow)
	if known.oldMillis == 0 {
		known.oldMillis = millis
		return known
	}
	known.oldMillis += weight * (millis - known.oldMillis)
	return known
}

// withNew tests a request of the new version; one of the first, while it may be cold, is not tested for slowness.
func (known route) withNew(failed bool, millis float64, warming bool) route {
	known.newEnded++
	if known.oldEnded < usualSamples && known.newEnded < usualSamples {
		return known
	}
	usualFailures := known.usual(leastFailures, known.oldFailures)
	known.failures = known.failures.withUsual(usualFailures, bad(usualFailures, failureFactor)).withSample(failed)
	if failed || warming || known.oldMillis == 0 {
		return known
	}
	usualSlow := known.usual(leastSlow, known.oldSlow)
	known.slow = known.slow.withUsual(usualSlow, bad(usualSlow, slowFactor)).withSample(known.isSlow(millis))
	return known
}

// usual returns the share that is taken for usual where another was seen: few samples may not have shown all.
func (known route) usual(least, seen float64) float64 {
	samples := min(float64(known.oldEnded), 1/oldWeight)
	return max(least, (seen*samples+1)/(samples+2))
}

func (known route) isSlow(millis float64) bool {
	return known.oldMillis > 0 && millis > slowTimes*known.oldMillis+slowSlackMillis
}

// bad returns the share of events that is a fault where another is usual.
func bad(usual, factor float64) float64 {
	return max(min(mostBad, factor*usual), usual+(1-usual)/4)
}

func indicator(event bool) float64 {
	if event {
		return 1
	}
	return 0
}
