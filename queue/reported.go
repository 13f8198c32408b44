package queue

import (
	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// staleFactor is how far the owner's belief may be from the truth before it is told again.
const staleFactor = 2

// Told is what the owner of a shard believes of an instance's demand; it is immutable.
type Told struct {
	owner   coltsfootlink.InstanceName
	epoch   coltsfootlink.Epoch
	beliefs *immutable.Map[coltsfootlink.TeamName, int]
}

// NewTold returns what an owner believes that has been told nothing.
func NewTold(owner coltsfootlink.InstanceName, epoch coltsfootlink.Epoch) Told {
	return Told{owner: owner, epoch: epoch, beliefs: immutable.NewMap[coltsfootlink.TeamName, int](nil)}
}

// Of says whether the belief is that of an owner in an epoch.
func (told Told) Of(owner coltsfootlink.InstanceName, epoch coltsfootlink.Epoch) bool {
	return told.beliefs != nil && told.owner == owner && told.epoch == epoch
}

// WithGrant follows the owner, which counts a request off for each permit.
func (told Told) WithGrant(team coltsfootlink.TeamName) Told {
	if told.beliefs == nil {
		return told
	}
	if belief, found := told.beliefs.Get(team); found {
		told.beliefs = told.beliefs.Set(team, belief-1)
	}
	return told
}

// WithDemand returns the belief after the owner is told; false if the belief is near enough to the truth.
func (told Told) WithDemand(team coltsfootlink.TeamName, waiting int) (Told, bool) {
	belief, _ := told.beliefs.Get(team)
	if nearEnough(belief, waiting) {
		return told, false
	}
	if waiting == 0 {
		told.beliefs = told.beliefs.Delete(team)
		return told, true
	}
	told.beliefs = told.beliefs.Set(team, waiting)
	return told, true
}

// Believes says whether the owner believes that a team waits.
func (told Told) Believes(team coltsfootlink.TeamName) bool {
	if told.beliefs == nil {
		return false
	}
	belief, _ := told.beliefs.Get(team)
	return belief > 0
}

// nearEnough says whether a belief need not be corrected: an owner that believes in no demand would
// leave requests waiting, and one that believes in too much would grant permits that come back.
func nearEnough(belief, waiting int) bool {
	if belief <= 0 || waiting == 0 {
		return belief <= 0 && waiting == 0
	}
	return belief <= staleFactor*waiting && waiting <= staleFactor*belief
}
