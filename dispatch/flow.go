package dispatch

import (
	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/share"
)

// floodFactor is how many times what was asked for before is asked for in a flood.
const floodFactor = 2.0

// flow is what is asked of one pool at this instance, in tokens.
type flow struct {
	// asked is what has been asked for since the keepers were last told in their turn, passed what was let through of it, and
	// before what was asked for in the time before.
	asked, passed, before float64
}

// withAsked returns the flow after a request for some tokens.
func (flow flow) withAsked(tokens float64) flow {
	flow.asked += tokens
	return flow
}

// withPassed returns the flow after a request for some tokens was let through.
func (flow flow) withPassed(tokens float64) flow {
	flow.passed += tokens
	return flow
}

// exceeds says that as much was let through as before, and all that is allowed for.
func (flow flow) exceeds(allowed float64) bool { return flow.passed >= max(allowed, flow.before) }

// floods says that much more is asked for than before, and more than is allowed for.
func (flow flow) floods(allowed float64) bool { return flow.asked > floodFactor*flow.before+allowed }

// next returns the flow once the keepers have been told; half of what was asked for before counts still, for requests come
// in lumps.
func (flow flow) next() flow {
	flow.before = max(flow.asked, flow.before/2)
	flow.asked, flow.passed = 0, 0
	return flow
}

// silent says that so little was asked for that it need not be known.
func (flow flow) silent() bool { return flow.before < 1 }

// nextFlows returns the flows once the keepers have been told.
func nextFlows(flows map[coltsfootlink.TeamName]flow) map[coltsfootlink.TeamName]flow {
	next := make(map[coltsfootlink.TeamName]flow, len(flows))
	for team, known := range flows {
		if known = known.next(); !known.silent() {
			next[team] = known
		}
	}
	return next
}

// hold refuses a request of a flood that the keeper of its pool cannot know of yet, if as much of its team was let through
// as before, and what falls to this instance. Nil if the request may go on.
func (task *Task) hold(want Want) *coltsfootlink.Refusal {
	known := task.offers.pools[want.Pool]
	passes, counted := known.flows[want.Team]
	if want.Retry || !counted {
		return nil
	}
	if allowed := task.allowed(); allowed <= 0 || !known.all.floods(allowed) || !passes.exceeds(allowed) {
		known.flows[want.Team] = passes.withPassed(tokensOf(want.Work))
		return nil
	}
	metrics.Count("floods-held")
	now := task.Clock.Now()
	again := now.Add(share.RetryDelay(want.Objective.Sub(now)))
	return coltsfootlink.Refuse(coltsfootlink.OverShare, "its team asks for much more than just before").WithRetryAt(again)
}
