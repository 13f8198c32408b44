package ingress

import (
	"math/rand/v2"
	"net/http"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/share"
)

// admit finds the rule and the team of the request and reads its body; false if it was refused.
func (current *exchange) admit(catalog coltsfootlink.Catalog) bool {
	if !catalog.TableLoaded {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.NotReady, "no configuration is known yet").WithRetryAt(current.arrived.Add(unknownPause)))
		return false
	}
	rule, found := catalog.Table.Match(current.head.Host, current.head.Path)
	if !found {
		current.refuse(http.StatusNotFound, coltsfootlink.Refuse(coltsfootlink.UnknownRoute, "no route matches"))
		return false
	}
	current.rule = rule
	if most := catalog.Table.Limits.BodyBytes; most > 0 {
		current.mostBytes = most
	}
	if catalog.Table.HasTeams() && !rule.Public {
		team, known := catalog.Table.Team(current.head.Key)
		if !known {
			current.refuse(http.StatusUnauthorized, coltsfootlink.Refuse(coltsfootlink.UnknownTeam, "the key belongs to no team"))
			return false
		}
		current.team = team
	}
	current.pool = rule.Pool(current.head.ID.Draw(""))
	current.deadline = current.sentAt.Add(rule.Timeout)
	if left := current.head.Deadline; !left.IsZero() && left.Before(current.deadline) {
		current.deadline = left
	}
	if !current.service.Gate.Takes(current.deadline) {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops").WithRetryAt(current.arrived.Add(elsewherePause)))
		return false
	}
	if !current.isOffered() || !current.isTaken() {
		return false
	}
	current.rank = catalog.Table.Rank(current.pool, rule, current.team)
	return current.readBody()
}

// isOffered says whether the request is to be offered to targets by what its team gets; the body of one that is not
// takes no memory.
func (current *exchange) isOffered() bool {
	if current.team == "" {
		return true
	}
	var offered bool
	standings := current.service.Gate.Standings()
	current.patience = standings.Patience(current.arrived, current.pool)
	current.standing, offered = standings.Of(current.arrived, current.pool, current.team, rand.Float64(), rand.Float64())
	if offered {
		return true
	}
	current.refuseUnread(coltsfootlink.Refuse(coltsfootlink.OverShare, "others of the pool get far less").WithRetryAt(current.arrived.Add(share.Pause(current.rule.Objective))))
	return false
}

// isTaken says whether the instance takes the request now.
func (current *exchange) isTaken() bool {
	refusal := current.overload()
	if refusal != nil {
		if current.service.Passes != nil && current.service.Passes() {
			current.writer.Header().Set("Connection", "close")
		}
		current.refuseUnread(refusal)
	}
	return refusal == nil
}

// overload says why the instance does not take the request now; nil if it does. What waits until its caller leaves
// helps nobody.
func (current *exchange) overload() *coltsfootlink.Refusal {
	again := current.arrived.Add(elsewherePause)
	switch {
	case current.service.active.Load() > current.service.MaxActive:
		return coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "too many requests at once").WithRetryAt(again)
	case !current.service.Gate.Pressure().Takes(current.standing, rand.Float64()):
		return coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "the processor is behind").WithRetryAt(again)
	case current.service.choosing.Load() >= current.mostChoosing():
		// The place itself is taken once the body has come, for a slow one is to hold none.
		return current.crowded()
	default:
		return nil
	}
}

// shed counts a request that is not offered to targets as asked for by its team.
func (current *exchange) shed() {
	if current.team != "" {
		current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Shed{Pool: current.pool, Team: current.team, Work: current.head.Work}})
	}
}

// refuseUnread refuses a request whose body is not needed; it counts as asked for by its team.
func (current *exchange) refuseUnread(refusal *coltsfootlink.Refusal) {
	current.shed()
	current.refuse(http.StatusServiceUnavailable, refusal)
}
