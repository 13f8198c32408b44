package ingress

import (
	"math/rand/v2"
	"net/http"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/share"
)

// admit matches the request to a rule and a team, applies the admission limits and reads the body. It returns false if
// the request was refused.
func (current *exchange) admit(catalog coltsfootlink.Catalog) bool {
	if current.service.isClosed() {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance ends").WithRetryAt(current.arrived.Add(otherInstanceRetryDelay)))
		return false
	}
	if !catalog.TableLoaded {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.NotReady, "no configuration has been loaded yet").WithRetryAt(current.arrived.Add(notReadyRetryDelay)))
		return false
	}
	rule, found := catalog.Table.Match(current.head.Host, current.head.Path)
	if !found {
		current.refuse(http.StatusNotFound, coltsfootlink.Refuse(coltsfootlink.UnknownRoute, "no route matches"))
		return false
	}
	current.rule = rule
	if limit := catalog.Table.Limits.BodyBytes; limit > 0 {
		current.maxBodyBytes = limit
	}
	if catalog.Table.KeysRequired() && !rule.Public {
		team, known := catalog.Table.Team(current.head.Key)
		if !known {
			current.refuse(http.StatusUnauthorized, coltsfootlink.Refuse(coltsfootlink.UnknownTeam, "the API key belongs to no team"))
			return false
		}
		current.team = team
	}
	current.pool = rule.Pool(current.head.ID.Draw(""))
	current.deadline = current.sentAt.Add(rule.Timeout)
	if deadline := current.head.Deadline; !deadline.IsZero() && deadline.Before(current.deadline) {
		current.deadline = deadline
	}
	if !current.service.Gate.Stopping().Accepts(current.arrived, current.deadline) || !current.forwarderStopping.Accepts(current.arrived, current.deadline) {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops before the request's deadline").WithRetryAt(current.arrived.Add(otherInstanceRetryDelay)))
		return false
	}
	if !current.admittedByQuarantine() || !current.admittedByShare() || !current.admittedByLoad() {
		return false
	}
	current.rank = catalog.Table.Rank(current.pool, rule, current.team)
	return current.readBody()
}

// admittedByShare reports whether the team's share admits the request, and refuses it otherwise. This is decided before
// the body is read, so that refused bodies take no memory.
func (current *exchange) admittedByShare() bool {
	if current.team == "" {
		return true
	}
	var admitted bool
	standings := current.service.Gate.Standings()
	current.maxWaitFraction = standings.MaxWaitFraction(current.arrived, current.pool)
	current.standing, admitted = standings.Of(current.arrived, current.pool, current.team, rand.Float64(), rand.Float64())
	if admitted {
		return true
	}
	current.shedAndRefuse(coltsfootlink.Refuse(coltsfootlink.OverShare, "the request exceeds its team's share of the pool, and there is not enough surplus capacity for it").WithRetryAt(current.arrived.Add(share.RetryDelay(current.rule.Objective))))
	return false
}

// admittedByLoad reports whether the instance's load admits the request, and refuses it otherwise.
func (current *exchange) admittedByLoad() bool {
	refusal := current.overloadRefusal()
	if refusal != nil {
		if current.service.WouldForward != nil && current.service.WouldForward() {
			current.writer.Header().Set("Connection", "close")
		}
		current.shedAndRefuse(refusal)
	}
	return refusal == nil
}

// overloadRefusal returns the refusal if the instance is overloaded, otherwise nil. It refuses early because a request
// that waits until its caller disconnects is wasted work.
func (current *exchange) overloadRefusal() *coltsfootlink.Refusal {
	retryAt := current.arrived.Add(otherInstanceRetryDelay)
	switch {
	case current.service.active.Load() > current.service.MaxActive:
		return coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "too many requests at once").WithRetryAt(retryAt)
	case !current.service.Gate.Pressure().Admits(current.standing, rand.Float64()):
		return coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "the instance is short of CPU").WithRetryAt(retryAt)
	case current.service.waiting.Load() >= current.maxWaiting():
		// The slot itself is acquired only after the body has been read, so that a slow upload does not occupy one.
		return current.queueFull()
	default:
		return nil
	}
}

// reportShed reports a request that was refused before it asked for a target, so that it still counts towards the
// team's load.
func (current *exchange) reportShed() {
	if current.team != "" {
		current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Shed{Pool: current.pool, Team: current.team, Work: current.head.Work}})
	}
}

// shedAndRefuse refuses a request before its body is read and counts it towards the team's load.
func (current *exchange) shedAndRefuse(refusal *coltsfootlink.Refusal) {
	current.reportShed()
	current.refuse(http.StatusServiceUnavailable, refusal)
}
