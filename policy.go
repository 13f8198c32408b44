package coltsfootlink

import "time"

// Candidate is a backlogged team: one with waiting requests.
type Candidate struct {
	Team Team
	// Oldest is the arrival time of the team's oldest waiting request.
	Oldest time.Time
	// Hint is the mean cost hint of the waiting requests; zero if none gave one.
	Hint float64
}

// FairShare is a fair scheduler: it decides which team is served next in one pool. Its values are immutable.
type FairShare interface {
	// Pick returns the index of the candidate to serve next; candidates must not be empty.
	Pick(candidates []Candidate) int
	// Estimate returns the expected cost of the candidate's next request in the pool's unit.
	Estimate(candidate Candidate) float64
	// WithBacklog sets which teams have waiting requests.
	WithBacklog(now time.Time, candidates []Candidate) FairShare
	// WithCharge charges a team when a permit is granted.
	WithCharge(team Team, charge float64) FairShare
	// WithCost replaces the charge of a permit with the measured cost.
	WithCost(team Team, charge, cost float64) FairShare
	// WithRefund refunds the charge of an unused permit.
	WithRefund(team Team, charge float64) FairShare
	// WithCounters merges the counters of another instance.
	WithCounters(counters Counters) FairShare
	// Counters returns the counters that have changed since they were last sent to other instances; all if full is set.
	Counters(full bool) Counters
	// WithSent marks the current counters as sent.
	WithSent() FairShare
	// Service returns the fleet-wide service of a team in the pool's unit divided by the team's weight.
	Service(team TeamName) float64
}

// Limiter controls the concurrency limit of one target; its values are immutable.
type Limiter interface {
	// Limit returns the number of requests that the target may run at the same time.
	Limit() int
	// Incarnation returns the newest known incarnation of the target; zero if none is known.
	Incarnation() uint64
	// WithUsage adjusts the limit by the result of a request; running is the number of requests that ran beside it.
	WithUsage(now time.Time, usage Usage, running int) Limiter
	// WithRunning adjusts the limit to the observation that the target runs that many requests without trouble.
	WithRunning(running int) Limiter
	// WithIncarnation sets the incarnation that the target has reported.
	WithIncarnation(now time.Time, incarnation uint64) Limiter
	// WithCold resets the limit to that of a target that has just started.
	WithCold(now time.Time) Limiter
}

// Placement assigns targets to shards and shards to owners.
type Placement interface {
	// Shards divides the targets of a pool into shards.
	Shards(pool Pool, view View, targets []Target) map[Shard][]Target
	// Serves reports whether an instance sends its demand to a shard.
	Serves(shard Shard, instance InstanceName) bool
	// Owner returns the owner of a shard; false if there is none.
	Owner(shard Shard, view View) (InstanceName, bool)
	// Portion returns how many requests of a target's concurrency limit the owner may grant.
	Portion(limit int, shard Shard, view View) int
}
