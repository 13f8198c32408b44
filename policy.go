package coltsfootlink

import "time"

// Candidate is a team with waiting requests.
type Candidate struct {
	Team Team
	// Oldest is when the team's oldest waiting request arrived.
	Oldest time.Time
	// Hint is the mean cost hint of the waiting requests; zero if none gave one.
	Hint float64
}

// FairShare decides which team is served next in one pool; its values are immutable.
type FairShare interface {
	// Pick returns the index of the candidate to serve next; there is at least one.
	Pick(candidates []Candidate) int
	// Estimate returns the expected cost of the candidate's next request in the pool's unit.
	Estimate(candidate Candidate) float64
	// WithBacklog notes which teams have waiting requests.
	WithBacklog(now time.Time, candidates []Candidate) FairShare
	// WithCharge charges a team at the grant of a permit.
	WithCharge(team Team, charge float64) FairShare
	// WithCost replaces the charge of a permit with the measured cost.
	WithCost(team Team, charge, cost float64) FairShare
	// WithRefund takes the charge of an unused permit back.
	WithRefund(team Team, charge float64) FairShare
	// WithCounters merges counters of other instances.
	WithCounters(counters Counters) FairShare
	// Counters returns the counters that other instances lack; all of them if full.
	Counters(full bool) Counters
	// WithSent notes that the counters were sent.
	WithSent() FairShare
	// Service returns the fleet-wide service of a team in the pool's unit divided by the team's weight.
	Service(team TeamName) float64
}

// Limiter decides how many requests a target may run; its values are immutable.
type Limiter interface {
	// Limit returns the number of requests that the target may run.
	Limit() int
	// Incarnation returns the newest known incarnation of the target; zero if none is known.
	Incarnation() uint64
	// WithUsage learns from the end of a request that ran beside running others.
	WithUsage(now time.Time, usage Usage, running int) Limiter
	// WithRunning learns that the target runs that many requests without harm.
	WithRunning(running int) Limiter
	// WithIncarnation learns the target's incarnation from its report.
	WithIncarnation(now time.Time, incarnation uint64) Limiter
	// WithCold returns to the limit of a target that has just started.
	WithCold(now time.Time) Limiter
}

// Placement decides who owns which shard.
type Placement interface {
	// Shards returns the shards of a pool and the targets of each.
	Shards(pool Pool, view View, targets []Target) map[Shard][]Target
	// Serves says whether an instance's demand goes to a shard.
	Serves(shard Shard, instance InstanceName) bool
	// Owner returns the owner of a shard; false if there is none.
	Owner(shard Shard, view View) (InstanceName, bool)
	// Portion returns how much of a target's limit the owner may grant.
	Portion(limit int, shard Shard, view View) int
}
