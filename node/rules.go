package node

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/fairness"
	"coltsfootlink/limit"
	"coltsfootlink/move"
	"coltsfootlink/ownership"
	"coltsfootlink/permit"
	"coltsfootlink/settings"
)

// rulesFor returns the implementations of placement, fair shares, limits and rollouts that the policy selects.
func rulesFor(policy settings.Policy, self coltsfootlink.Instance) permit.Rules {
	rules := permit.Rules{
		Placement: ownership.Rendezvous{},
		Blind:     policy.Takeover == settings.Blind,
		NewShare: func(pool coltsfootlink.Pool) coltsfootlink.FairShare {
			return fairness.NewLeastService(self.Name, self.Incarnation, pool.MaxCost)
		},
		NewLimiter: func(pool coltsfootlink.Pool, target coltsfootlink.Target, now time.Time) coltsfootlink.Limiter {
			return limit.NewAdaptive(pool, target.Incarnation, now)
		},
		NewRollout: func(started coltsfootlink.Move) coltsfootlink.Rollout { return move.NewRollout(started) },
	}
	if policy.Order == settings.FirstCome {
		rules.NewShare = func(coltsfootlink.Pool) coltsfootlink.FairShare { return fairness.FirstCome{} }
	}
	if policy.Placement == settings.FixedSplit {
		rules.Placement = ownership.FixedSplit{}
	}
	return rules
}
