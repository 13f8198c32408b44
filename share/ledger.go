package share

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// minDemand is the mean demand, in tokens per second, below which a team is removed from the ledger.
const minDemand = 1.0

// Ledger holds the demand and the grants of all teams of one pool; it is immutable.
type Ledger struct {
	teams *immutable.Map[coltsfootlink.TeamName, teamStats]
	at    time.Time
	// burst detects a sudden rise of the demand of all teams together.
	burst BurstDetector
	// attempted and refusedFull are the work reported since the last evaluation, see coltsfootlink.Offered;
	// refusedFraction is the running mean of refusedFull/attempted.
	attempted, refusedFull, refusedFraction float64
	// maxWaitFraction is the maximum wait of a Bearable request as a fraction of its objective, and minWaitFraction
	// the lower bound of that fraction.
	maxWaitFraction, minWaitFraction float64
	zones                            zoneWork
}

// NewLedger returns a ledger without teams; the given fraction of the objective is both the initial value and the lower
// bound of the maximum wait of Bearable requests.
func NewLedger(now time.Time, maxWaitFraction float64) Ledger {
	return Ledger{
		teams:           immutable.NewMap[coltsfootlink.TeamName, teamStats](nil),
		at:              now,
		maxWaitFraction: maxWaitFraction,
		minWaitFraction: maxWaitFraction,
	}
}

// WithOffered adds the load that an instance has reported.
func (ledger Ledger) WithOffered(offered coltsfootlink.Offered) Ledger {
	for _, load := range offered.Teams {
		stats, found := ledger.teams.Get(load.Team)
		if !found {
			stats = teamStats{surplus: 1, announced: 1, meanAnnounced: 1, steadySeconds: averagingWindow.Seconds()}
		}
		stats.requested += load.Tokens
		stats.requests += float64(load.Requests)
		ledger.burst = ledger.burst.WithDemand(load.Tokens)
		stats.granted += load.Granted
		ledger.teams = ledger.teams.Set(load.Team, stats)
	}
	ledger.attempted += offered.Attempted
	ledger.refusedFull += offered.RefusedFull
	return ledger
}

// WithTime updates the running means to the given time and starts a new evaluation interval.
func (ledger Ledger) WithTime(now time.Time) Ledger {
	seconds := now.Sub(ledger.at).Seconds()
	if seconds <= 0 {
		return ledger
	}
	ledger.at = now
	ledger.burst = ledger.burst.WithNextInterval()
	ledger.zones = ledger.zones.withTime(seconds)
	weight := min(1, seconds/averagingWindow.Seconds())
	ledger = ledger.withWaitFraction(weight)
	total := ledger.totalGranted()
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		team, stats, _ := iterator.Next()
		stats = stats.withTime(seconds, total)
		if stats.meanRequested < minDemand {
			ledger.teams = ledger.teams.Delete(team)
			continue
		}
		ledger.teams = ledger.teams.Set(team, stats)
	}
	return ledger.withSurplus()
}

// totalGranted returns the mean rate that all teams together are granted, in tokens per second.
func (ledger Ledger) totalGranted() float64 {
	var total float64
	for iterator := ledger.teams.Iterator(); !iterator.Done(); {
		_, stats, _ := iterator.Next()
		total += stats.meanGranted
	}
	return total
}

// demand returns a team's demand in tokens per second; zero if the team is unknown.
func (ledger Ledger) demand(team coltsfootlink.TeamName) float64 {
	stats, _ := ledger.teams.Get(team)
	return stats.demand()
}

// granted returns the mean rate that a team is granted, in tokens per second; zero if the team is unknown.
func (ledger Ledger) granted(team coltsfootlink.TeamName) float64 {
	stats, _ := ledger.teams.Get(team)
	return stats.meanGranted
}
