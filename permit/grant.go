package permit

import (
	"slices"
	"time"

	"coltsfootlink"
)

// WithGrants grants permits while a team is backlogged and a target has headroom, and returns one Grant message for
// each holder.
func (state State) WithGrants(now time.Time) (State, []Envelope) {
	var envelopes []Envelope
	for _, owned := range state.ownedShards() {
		var permits []coltsfootlink.Permit
		state, permits = state.withShardGrants(now, owned)
		envelopes = append(envelopes, grantEnvelopes(permits)...)
	}
	return state, envelopes
}

func (state State) withShardGrants(now time.Time, owned shard) (State, []coltsfootlink.Permit) {
	pool, known := state.configuration.Pools[owned.name.Pool]
	if !known || owned.collecting(now) {
		return state, nil
	}
	backlogs := owned.backlogs(now, state.configuration.Teams)
	share := state.share(pool).WithBacklog(now, candidates(backlogs))
	var permits []coltsfootlink.Permit
	for len(backlogs) > 0 {
		slot, found := owned.pickSlot(func(slot Slot) int { return state.headroom(owned, slot) })
		if !found {
			break
		}
		picked := share.Pick(candidates(backlogs))
		permit := owned.nextPermit(now, backlogs[picked], slot, share)
		share = share.WithCharge(backlogs[picked].candidate.Team, permit.Charge)
		owned = owned.withGrant(now, permit)
		permits = append(permits, permit)
		backlogs = withoutRequest(now, backlogs, picked)
	}
	return state.withShard(owned).withShare(pool.Name, share), permits
}

// nextPermit returns the shard's next permit, for a backlogged team on a target.
func (owned shard) nextPermit(now time.Time, backlog teamBacklog, slot Slot, share coltsfootlink.FairShare) coltsfootlink.Permit {
	return coltsfootlink.Permit{
		ID:      coltsfootlink.PermitID{Epoch: owned.epoch, Serial: owned.serial + 1},
		Shard:   owned.name,
		Target:  slot.Target.Name,
		Team:    backlog.candidate.Team.Name,
		Holder:  backlog.instances[backlog.nextInstance()].instance,
		Charge:  share.Estimate(backlog.candidate),
		StartBy: now.Add(startTimeout),
	}
}

func withoutRequest(now time.Time, backlogs []teamBacklog, picked int) []teamBacklog {
	rest := slices.Clone(backlogs)
	rest[picked] = rest[picked].withoutRequest(now, rest[picked].nextInstance())
	if len(rest[picked].instances) == 0 {
		rest = append(rest[:picked], rest[picked+1:]...)
	}
	return rest
}

func candidates(backlogs []teamBacklog) []coltsfootlink.Candidate {
	all := make([]coltsfootlink.Candidate, 0, len(backlogs))
	for _, backlog := range backlogs {
		all = append(all, backlog.candidate)
	}
	return all
}

func grantEnvelopes(permits []coltsfootlink.Permit) []Envelope {
	byHolder := make(map[coltsfootlink.InstanceName][]coltsfootlink.Permit)
	var order []coltsfootlink.InstanceName
	for _, permit := range permits {
		if byHolder[permit.Holder] == nil {
			order = append(order, permit.Holder)
		}
		byHolder[permit.Holder] = append(byHolder[permit.Holder], permit)
	}
	envelopes := make([]Envelope, 0, len(order))
	for _, holder := range order {
		envelopes = append(envelopes, Envelope{To: holder, Message: coltsfootlink.Grant{Permits: byHolder[holder]}})
	}
	return envelopes
}
