package scaling

import "coltsfootlink"

const (
	// offersPerRefusal is the number of targets that refuse a request before it is refused to the caller: a request is
	// offered to three targets. A request that the second or third one took is also counted by those that refused it; it
	// shows targets that are full, so this errs on the side of the callers, by one target in three at most.
	offersPerRefusal = 3
	// maxRefusedRatio limits refused work, as a multiple of the granted work, so that one report of full targets at most
	// doubles the demand.
	maxRefusedRatio = 1.0
)

// work is the work of targets over a second, in targets that would be fully at work, and in tokens.
type work struct {
	// reading and running are how many targets would be busy with reading prompts, and have all slots taken.
	reading, running float64
	// granted and refused are tokens per second.
	granted, refused float64
	// targets is the number of targets that were reported.
	targets int
}

// workOf returns the work in a load report.
func workOf(load coltsfootlink.TargetsLoad) work {
	if load.IntervalMillis <= 0 {
		return work{}
	}
	seconds := load.IntervalMillis / 1000
	reported := work{
		reading: load.ReadMillis / load.IntervalMillis,
		granted: load.GrantedTokens / seconds,
		refused: load.RefusedTokens / seconds,
		targets: load.Targets,
	}
	if load.Slots > 0 {
		reported.running = load.Running * float64(load.Targets) / float64(load.Slots)
	}
	return reported
}

// plus adds the work of other targets.
func (one work) plus(other work) work {
	return work{
		reading: one.reading + other.reading,
		running: one.running + other.running,
		granted: one.granted + other.granted,
		refused: one.refused + other.refused,
		targets: one.targets + other.targets,
	}
}

// scaled returns the work of another number of targets that are as busy as the reported ones.
func (one work) scaled(targets int) work {
	if one.targets == 0 {
		return one
	}
	factor := float64(targets) / float64(one.targets)
	return work{reading: factor * one.reading, running: factor * one.running, granted: factor * one.granted, refused: factor * one.refused, targets: targets}
}

// demand returns what callers ask for within their teams' shares, in targets that would be fully at work: what was granted,
// and what full targets refused, as the same multiple of the work as of the tokens.
func (one work) demand() float64 {
	granted := max(one.reading, one.running)
	refused := one.refused / offersPerRefusal
	if refused <= 0 {
		return granted
	}
	return granted * (1 + min(maxRefusedRatio, refused/one.granted))
}
