package fairness

import (
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// maxDebtRequests limits how far a backlogged team's counter may trail another's, in requests of the maximum cost.
	maxDebtRequests = 16
	// idleTimeout is how long a mark as backlogged holds. It is renewed once half of it has passed, so a team keeps the
	// service that it is owed for at least half of idleTimeout without backlog.
	idleTimeout = time.Second
	// estimateWeight is the weight of a new cost in the moving average of a team's costs.
	estimateWeight = 0.2
	// unsentRequests is the change of a team's counters, in requests of the maximum cost, from which they are sent
	// again.
	unsentRequests = 0.5
	// hintWeight is the weight of the callers' cost hints in an estimate.
	hintWeight = 0.5
)

// LeastService serves the backlogged team with the least service divided by its weight.
type LeastService struct {
	self        coltsfootlink.InstanceName
	incarnation uint64
	maxCost     float64
	// floor is the largest value seen so far of the lowest counter among the backlogged teams.
	floor    float64
	accounts *immutable.Map[coltsfootlink.TeamName, account]
}

// account holds the service counters of one team.
type account struct {
	parts    []part
	service  float64
	lift     float64
	estimate float64
	// backlogUntil is when the team counts as idle unless it is found backlogged again.
	backlogUntil time.Time
	// sentPart and sentLift are this instance's part and the lift as last sent to the other instances.
	sentPart float64
	sentLift float64
}

// part is the service granted by one incarnation of an instance; parts are merged by taking the larger values.
type part struct {
	instance    coltsfootlink.InstanceName
	incarnation uint64
	charged     float64
	refunded    float64
}

// NewLeastService returns the counters of one pool for one incarnation of an instance.
func NewLeastService(self coltsfootlink.InstanceName, incarnation uint64, maxCost float64) LeastService {
	return LeastService{
		self:        self,
		incarnation: incarnation,
		maxCost:     maxCost,
		accounts:    immutable.NewMap[coltsfootlink.TeamName, account](nil),
	}
}

// Pick returns the index of the candidate with the smallest counter.
func (share LeastService) Pick(candidates []coltsfootlink.Candidate) int {
	best := 0
	bestCounter := share.counter(candidates[0].Team.Name)
	for index, candidate := range candidates[1:] {
		counter := share.counter(candidate.Team.Name)
		if counter < bestCounter {
			best, bestCounter = index+1, counter
		}
	}
	return best
}

// Estimate returns the moving average of the team's costs, averaged with the caller's hint if there is one.
func (share LeastService) Estimate(candidate coltsfootlink.Candidate) float64 {
	estimate := share.account(candidate.Team.Name).estimate
	hint := min(candidate.Hint, share.maxCost)
	switch {
	case estimate == 0 && hint == 0:
		return share.maxCost / 2
	case estimate == 0:
		return hint
	case hint == 0:
		return estimate
	}
	return (1-hintWeight)*estimate + hintWeight*hint
}

// WithBacklog raises the counters of teams that have become backlogged to the lowest counter of the backlogged teams,
// so that idle teams do not accumulate credit, and limits how far the counters of backlogged teams differ.
func (share LeastService) WithBacklog(now time.Time, candidates []coltsfootlink.Candidate) coltsfootlink.FairShare {
	lowest, highest, found := share.counterRange(now, candidates)
	if found {
		share.floor = max(share.floor, lowest)
	}
	for _, candidate := range candidates {
		account := share.account(candidate.Team.Name)
		floor := share.floor
		if account.backlogged(now) {
			floor = highest - maxDebtRequests*share.maxCost
		}
		if account.marked(now) && account.counter() >= floor {
			continue
		}
		share = share.with(candidate.Team.Name, account.withFloor(floor, now.Add(idleTimeout)))
	}
	return share
}

// WithCharge charges a team when a permit is granted.
func (share LeastService) WithCharge(team coltsfootlink.Team, charge float64) coltsfootlink.FairShare {
	return share.withOwnPart(team, charge, 0)
}

// WithCost replaces the charge of a permit with the measured cost and adds that to the team's moving average.
func (share LeastService) WithCost(team coltsfootlink.Team, charge, cost float64) coltsfootlink.FairShare {
	next := share.withOwnPart(team, max(0, cost-charge), max(0, charge-cost))
	account := next.account(team.Name)
	if account.estimate == 0 {
		account.estimate = cost
	} else {
		account.estimate += estimateWeight * (cost - account.estimate)
	}
	return next.with(team.Name, account)
}

// WithRefund refunds the charge of an unused permit.
func (share LeastService) WithRefund(team coltsfootlink.Team, charge float64) coltsfootlink.FairShare {
	return share.withOwnPart(team, 0, charge)
}

// WithCounters merges counters of other instances; the merge is commutative and idempotent.
func (share LeastService) WithCounters(counters coltsfootlink.Counters) coltsfootlink.FairShare {
	for _, incoming := range counters.Parts {
		account := share.account(incoming.Team).withPart(part{
			instance:    incoming.Instance,
			incarnation: incoming.Incarnation,
			charged:     incoming.Charged,
			refunded:    incoming.Refunded,
		})
		share = share.with(incoming.Team, account)
	}
	for _, incoming := range counters.Lifts {
		account := share.account(incoming.Team)
		account.lift = max(account.lift, incoming.Lift)
		share = share.with(incoming.Team, account)
	}
	return share
}

// Counters returns this instance's part and the lift of each team whose counters have changed by at least
// unsentRequests requests of the maximum cost since they were last sent; if full is set, all parts of all instances and
// all lifts.
func (share LeastService) Counters(full bool) coltsfootlink.Counters {
	var counters coltsfootlink.Counters
	for accounts := share.accounts.Iterator(); !accounts.Done(); {
		team, account, _ := accounts.Next()
		if !full && !share.stale(account) {
			continue
		}
		for _, held := range account.parts {
			if full || held.instance == share.self && held.incarnation == share.incarnation {
				counters.Parts = append(counters.Parts, held.counterPart(team))
			}
		}
		if account.lift > 0 {
			counters.Lifts = append(counters.Lifts, coltsfootlink.CounterLift{Team: team, Lift: account.lift})
		}
	}
	return counters
}

// WithSent marks the current counters as sent.
func (share LeastService) WithSent() coltsfootlink.FairShare {
	next := share
	for accounts := share.accounts.Iterator(); !accounts.Done(); {
		team, account, _ := accounts.Next()
		if share.stale(account) {
			account.sentPart = account.part(share.self, share.incarnation).net()
			account.sentLift = account.lift
			next = next.with(team, account)
		}
	}
	return next
}

// Service returns the fleet-wide service of a team in the pool's unit divided by the team's weight.
func (share LeastService) Service(team coltsfootlink.TeamName) float64 {
	return share.account(team).service
}

// stale reports whether the counters last sent differ too much from the account.
func (share LeastService) stale(account account) bool {
	own := account.part(share.self, share.incarnation).net()
	difference := math.Abs(own-account.sentPart) + account.lift - account.sentLift
	return difference >= unsentRequests*share.maxCost
}

func (share LeastService) account(team coltsfootlink.TeamName) account {
	found, _ := share.accounts.Get(team)
	return found
}

func (share LeastService) counter(team coltsfootlink.TeamName) float64 {
	return share.account(team).counter()
}

func (share LeastService) with(team coltsfootlink.TeamName, account account) LeastService {
	share.accounts = share.accounts.Set(team, account)
	return share
}

func (share LeastService) withOwnPart(team coltsfootlink.Team, charged, refunded float64) LeastService {
	account := share.account(team.Name)
	own := account.part(share.self, share.incarnation)
	own.charged += charged / team.Weight
	own.refunded += refunded / team.Weight
	account = account.withPart(own)
	return share.with(team.Name, account)
}

// counterRange returns the lowest and the highest counter of the candidates that were already backlogged.
func (share LeastService) counterRange(now time.Time, candidates []coltsfootlink.Candidate) (lowest, highest float64, found bool) {
	for _, candidate := range candidates {
		account := share.account(candidate.Team.Name)
		if !account.backlogged(now) {
			continue
		}
		counter := account.counter()
		if !found {
			lowest, highest, found = counter, counter, true
		}
		lowest = min(lowest, counter)
		highest = max(highest, counter)
	}
	return lowest, highest, found
}

func (account account) counter() float64 { return account.service + account.lift }

// backlogged reports whether the team was marked as backlogged within the last idleTimeout.
func (account account) backlogged(now time.Time) bool { return now.Before(account.backlogUntil) }

// marked reports whether the team was marked as backlogged so recently that the mark need not be renewed yet.
func (account account) marked(now time.Time) bool {
	return now.Add(idleTimeout / 2).Before(account.backlogUntil)
}

// withFloor marks the account as backlogged and raises its counter to the floor.
func (account account) withFloor(floor float64, until time.Time) account {
	account.lift += max(0, floor-account.counter())
	account.backlogUntil = until
	return account
}

func (account account) part(instance coltsfootlink.InstanceName, incarnation uint64) part {
	for _, held := range account.parts {
		if held.instance == instance && held.incarnation == incarnation {
			return held
		}
	}
	return part{instance: instance, incarnation: incarnation}
}

// withPart merges a part into the account by taking the larger values.
func (account account) withPart(incoming part) account {
	parts := slices.Clone(account.parts)
	index := slices.IndexFunc(parts, func(held part) bool {
		return held.instance == incoming.instance && held.incarnation == incoming.incarnation
	})
	if index < 0 {
		account.parts = append(parts, incoming)
		account.service += incoming.charged - incoming.refunded
		return account
	}
	merged := parts[index]
	merged.charged = max(merged.charged, incoming.charged)
	merged.refunded = max(merged.refunded, incoming.refunded)
	account.service += merged.net() - parts[index].net()
	parts[index] = merged
	account.parts = parts
	return account
}

func (held part) net() float64 { return held.charged - held.refunded }

func (held part) counterPart(team coltsfootlink.TeamName) coltsfootlink.CounterPart {
	return coltsfootlink.CounterPart{
		Team:        team,
		Instance:    held.instance,
		Incarnation: held.incarnation,
		Charged:     held.charged,
		Refunded:    held.refunded,
	}
}
