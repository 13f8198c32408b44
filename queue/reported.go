package queue

import (
	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// reportFactor is the factor by which the demand that the owner counts may differ from the actual demand before it is
// reported again.
const reportFactor = 2

// ReportedDemand is the demand of an instance as the owner of a shard counts it: the last reports less the permits
// granted since. It is immutable.
type ReportedDemand struct {
	owner  coltsfootlink.InstanceName
	epoch  coltsfootlink.Epoch
	counts *immutable.Map[coltsfootlink.TeamName, int]
}

// NewReportedDemand returns the state of an owner to which no demand has been reported.
func NewReportedDemand(owner coltsfootlink.InstanceName, epoch coltsfootlink.Epoch) ReportedDemand {
	return ReportedDemand{owner: owner, epoch: epoch, counts: immutable.NewMap[coltsfootlink.TeamName, int](nil)}
}

// IsFor reports whether this is the demand reported to the given owner in the given epoch.
func (reported ReportedDemand) IsFor(owner coltsfootlink.InstanceName, epoch coltsfootlink.Epoch) bool {
	return reported.counts != nil && reported.owner == owner && reported.epoch == epoch
}

// WithGrant subtracts one request for a permit, as the owner does when it grants one.
func (reported ReportedDemand) WithGrant(team coltsfootlink.TeamName) ReportedDemand {
	if reported.counts == nil {
		return reported
	}
	if count, found := reported.counts.Get(team); found {
		reported.counts = reported.counts.Set(team, count-1)
	}
	return reported
}

// WithDemand returns the state after a report of a team's demand; false if the owner's count is close enough to need
// no report.
func (reported ReportedDemand) WithDemand(team coltsfootlink.TeamName, waiting int) (ReportedDemand, bool) {
	count, _ := reported.counts.Get(team)
	if closeEnough(count, waiting) {
		return reported, false
	}
	if waiting == 0 {
		reported.counts = reported.counts.Delete(team)
		return reported, true
	}
	reported.counts = reported.counts.Set(team, waiting)
	return reported, true
}

// HasDemand reports whether the owner counts waiting requests of a team.
func (reported ReportedDemand) HasDemand(team coltsfootlink.TeamName) bool {
	if reported.counts == nil {
		return false
	}
	count, _ := reported.counts.Get(team)
	return count > 0
}

// closeEnough reports whether the owner's count needs no correction. An owner that counts no demand would leave
// requests waiting, and one that counts too much would grant permits that are returned unused.
func closeEnough(reported, waiting int) bool {
	if reported <= 0 || waiting == 0 {
		return reported <= 0 && waiting == 0
	}
	return reported <= reportFactor*waiting && waiting <= reportFactor*reported
}
