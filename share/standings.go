package share

import (
	"maps"
	"time"

	"coltsfootlink"
)

const (
	// announcementTTL is how long an announcement of shares is valid.
	announcementTTL = 2 * time.Second
	// maxRetryDelay is the maximum delay before a refused caller should retry, and retryDelayFraction the maximum as a
	// fraction of its objective, so that a later attempt, whose standing is drawn anew, can still be answered in time.
	maxRetryDelay      = 500 * time.Millisecond
	retryDelayFraction = 0.05
)

// RetryDelay returns how long a caller should wait before it retries a request that was refused because its team
// exceeds its share; an objective of zero means that there is none.
func RetryDelay(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxRetryDelay
	}
	return min(maxRetryDelay, time.Duration(retryDelayFraction*float64(objective)))
}

// announcement is the last announcement by the share coordinator of one pool.
type announcement struct {
	teams           map[coltsfootlink.TeamName]coltsfootlink.TeamShare
	maxWaitFraction float64
	expires         time.Time
}

// Standings holds the newest announced shares of all pools on an instance; it is immutable.
type Standings struct {
	announcements map[coltsfootlink.PoolName]announcement
}

// WithShares stores the announcement of a share coordinator.
func (standings Standings) WithShares(now time.Time, shares coltsfootlink.Shares) Standings {
	teams := make(map[coltsfootlink.TeamName]coltsfootlink.TeamShare, len(shares.Teams))
	for _, team := range shares.Teams {
		teams[team.Team] = team
	}
	announcements := maps.Clone(standings.announcements)
	if announcements == nil {
		announcements = make(map[coltsfootlink.PoolName]announcement)
	}
	announcements[shares.Pool] = announcement{teams: teams, maxWaitFraction: shares.MaxWaitFraction, expires: now.Add(announcementTTL)}
	return Standings{announcements: announcements}
}

// Of returns the standing of a request, and whether it is to be offered to targets at all. The two draws are uniform
// random numbers from 0 to 1.
func (standings Standings) Of(now time.Time, pool coltsfootlink.PoolName, team coltsfootlink.TeamName, draw, surplusDraw float64) (coltsfootlink.Standing, bool) {
	latest := standings.announcements[pool]
	share, listed := latest.teams[team]
	switch {
	case !listed, now.After(latest.expires), draw < share.Entitled:
		return coltsfootlink.Entitled, true
	case draw < share.Bearable:
		return coltsfootlink.Bearable, true
	default:
		return coltsfootlink.Surplus, surplusDraw < share.Surplus
	}
}

// Share returns the announced share of a team; false if all its requests are Entitled.
func (standings Standings) Share(now time.Time, pool coltsfootlink.PoolName, team coltsfootlink.TeamName) (coltsfootlink.TeamShare, bool) {
	latest := standings.announcements[pool]
	share, listed := latest.teams[team]
	return share, listed && !now.After(latest.expires)
}

// MaxWaitFraction returns the maximum wait of a Bearable request as a fraction of its objective; zero if there is no
// valid announcement.
func (standings Standings) MaxWaitFraction(now time.Time, pool coltsfootlink.PoolName) float64 {
	latest := standings.announcements[pool]
	if now.After(latest.expires) {
		return 0
	}
	return latest.maxWaitFraction
}
