package permit

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// demand is the backlog of one instance as it last reported it; it is immutable.
type demand struct {
	teams *immutable.SortedMap[coltsfootlink.TeamName, teamDemand]
}

// teamDemand is the last report of one instance about one team. Permits in flight are those granted for the team that
// the instance had not received when it sent the report.
type teamDemand struct {
	report   coltsfootlink.TeamDemand
	inFlight []coltsfootlink.Permit
}

func newDemand() demand {
	return demand{teams: immutable.NewSortedMap[coltsfootlink.TeamName, teamDemand](nil)}
}

// withReport applies a report. The serial of the newest permit that the instance has received shows which permits are
// still in flight, provided that the report is of the current epoch.
func (reported demand) withReport(report coltsfootlink.Demand, epoch coltsfootlink.Epoch) demand {
	if report.Full {
		reported = reported.withoutDemand()
	}
	for _, team := range report.Teams {
		known, _ := reported.teams.Get(team.Team)
		known.report = team
		if report.Epoch == epoch {
			known.inFlight = newerThan(known.inFlight, report.LastSerial)
		}
		reported.teams = reported.teams.Set(team.Team, known)
	}
	return reported
}

// withoutDemand sets the backlog of all teams to zero and keeps the permits in flight.
func (reported demand) withoutDemand() demand {
	for iterator := reported.teams.Iterator(); !iterator.Done(); {
		team, known, _ := iterator.Next()
		known.report.Waiting = 0
		reported.teams = reported.teams.Set(team, known)
	}
	return reported
}

// withGrant adds a permit that the instance has not received yet.
func (reported demand) withGrant(permit coltsfootlink.Permit) demand {
	known, _ := reported.teams.Get(permit.Team)
	known.inFlight = append(slices.Clone(known.inFlight), permit)
	reported.teams = reported.teams.Set(permit.Team, known)
	return reported
}

// waiting returns the number of waiting requests for which no permit is in flight.
func (known teamDemand) waiting() int { return known.report.Waiting - len(known.inFlight) }

// oldest estimates the arrival time of the oldest waiting request for which no permit is in flight. It assumes that
// the permits in flight go to the oldest requests and that requests arrived evenly over time.
func (known teamDemand) oldest(now time.Time) time.Time {
	age := now.Sub(known.report.Oldest)
	return known.report.Oldest.Add(age * time.Duration(len(known.inFlight)) / time.Duration(max(1, known.report.Waiting)))
}

// newerThan returns the permits with a serial above the given one.
func newerThan(permits []coltsfootlink.Permit, serial uint64) []coltsfootlink.Permit {
	var kept []coltsfootlink.Permit
	for _, permit := range permits {
		if permit.ID.Serial > serial {
			kept = append(kept, permit)
		}
	}
	return kept
}

// teamBacklog is the backlog of one team on all instances.
type teamBacklog struct {
	candidate coltsfootlink.Candidate
	instances []instanceBacklog
}

// instanceBacklog is the backlog of one team on one instance.
type instanceBacklog struct {
	instance coltsfootlink.InstanceName
	waiting  int
	oldest   time.Time
}

// withInstance adds an instance's demand to the team's backlog.
func (backlog teamBacklog) withInstance(now time.Time, instance coltsfootlink.InstanceName, known teamDemand) teamBacklog {
	oldest := known.oldest(now)
	backlog.instances = append(backlog.instances, instanceBacklog{instance: instance, waiting: known.waiting(), oldest: oldest})
	if backlog.candidate.Oldest.IsZero() || oldest.Before(backlog.candidate.Oldest) {
		backlog.candidate.Oldest = oldest
	}
	if known.report.Hint > 0 {
		backlog.candidate.Hint = known.report.Hint
	}
	return backlog
}

// nextInstance returns the index of the instance that has the oldest waiting request.
func (backlog teamBacklog) nextInstance() int {
	best := 0
	for index, instance := range backlog.instances {
		if instance.oldest.Before(backlog.instances[best].oldest) {
			best = index
		}
	}
	return best
}

// withoutRequest removes the oldest request from the backlog of the instance at an index. The arrival time of the
// instance's next request is estimated as if its requests had arrived evenly over time.
func (backlog teamBacklog) withoutRequest(now time.Time, at int) teamBacklog {
	instances := slices.Clone(backlog.instances)
	instances[at].oldest = instances[at].oldest.Add(now.Sub(instances[at].oldest) / time.Duration(instances[at].waiting))
	instances[at].waiting--
	if instances[at].waiting == 0 {
		instances = append(instances[:at], instances[at+1:]...)
	}
	backlog.instances = instances
	if len(instances) > 0 {
		backlog.candidate.Oldest = instances[backlog.nextInstance()].oldest
	}
	return backlog
}
