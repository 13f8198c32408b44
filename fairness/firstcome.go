package fairness

import (
	"time"

	"coltsfootlink"
)

// FirstCome serves the request that has waited longest, whatever its team. It is the baseline that other policies are
// compared with.
type FirstCome struct{}

// Pick returns the index of the candidate with the oldest waiting request.
func (FirstCome) Pick(candidates []coltsfootlink.Candidate) int {
	best := 0
	for index, candidate := range candidates {
		if candidate.Oldest.Before(candidates[best].Oldest) {
			best = index
		}
	}
	return best
}

// Estimate returns zero, since costs do not affect the order.
func (FirstCome) Estimate(coltsfootlink.Candidate) float64 { return 0 }

// WithBacklog returns the policy unchanged.
func (share FirstCome) WithBacklog(time.Time, []coltsfootlink.Candidate) coltsfootlink.FairShare {
	return share
}

// WithCharge returns the policy unchanged.
func (share FirstCome) WithCharge(coltsfootlink.Team, float64) coltsfootlink.FairShare { return share }

// WithCost returns the policy unchanged.
func (share FirstCome) WithCost(coltsfootlink.Team, float64, float64) coltsfootlink.FairShare {
	return share
}

// WithRefund returns the policy unchanged.
func (share FirstCome) WithRefund(coltsfootlink.Team, float64) coltsfootlink.FairShare { return share }

// WithCounters returns the policy unchanged.
func (share FirstCome) WithCounters(coltsfootlink.Counters) coltsfootlink.FairShare { return share }

// Counters returns no counters.
func (FirstCome) Counters(bool) coltsfootlink.Counters { return coltsfootlink.Counters{} }

// WithSent returns the policy unchanged.
func (share FirstCome) WithSent() coltsfootlink.FairShare { return share }

// Service returns zero, since service is not counted.
func (FirstCome) Service(coltsfootlink.TeamName) float64 { return 0 }
