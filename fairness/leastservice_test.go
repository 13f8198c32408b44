package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

const maxCost = 100

var start = time.Unix(1_000_000, 0)

func team(name string, weight float64) coltsfootlink.Team {
	return coltsfootlink.Team{Name: coltsfootlink.TeamName(name), Weight: weight}
}

func waiting(teams ...coltsfootlink.Team) []coltsfootlink.Candidate {
	var candidates []coltsfootlink.Candidate
	for _, team := range teams {
		candidates = append(candidates, coltsfootlink.Candidate{Team: team})
	}
	return candidates
}

func TestPick(t *testing.T) {
	small, large := team("small", 1), team("large", 2)
	cases := map[string]struct {
		share  func(coltsfootlink.FairShare) coltsfootlink.FairShare
		picked string
	}{
		"least service first": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				return share.WithCharge(small, 10).WithCharge(large, 5)
			},
			picked: "large",
		},
		"service is divided by weight": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				return share.WithCharge(small, 10).WithCharge(large, 15)
			},
			picked: "large",
		},
		"a refund reduces service": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				return share.WithCharge(small, 10).WithCharge(large, 5).WithRefund(small, 10)
			},
			picked: "small",
		},
		"the measured cost replaces the charge": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				return share.WithCharge(small, 10).WithCost(small, 10, 2).WithCharge(large, 5)
			},
			picked: "small",
		},
		"service by other instances counts": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				return share.WithCharge(small, 1).WithCounters(coltsfootlink.Counters{Parts: []coltsfootlink.CounterPart{
					{Team: "small", Instance: "other", Incarnation: 1, Charged: 50},
				}})
			},
			picked: "large",
		},
		"an idle team accumulates no credit": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				share = share.WithBacklog(start, waiting(large)).WithCharge(large, 1000)
				share = share.WithBacklog(start.Add(time.Millisecond), waiting(large))
				share = share.WithBacklog(start.Add(2*time.Millisecond), waiting(small, large))
				return share.WithCharge(small, 1)
			},
			picked: "large",
		},
		"a team that is idle for half of idleTimeout keeps its credit": {
			share: func(share coltsfootlink.FairShare) coltsfootlink.FairShare {
				share = share.WithBacklog(start, waiting(small, large)).WithCharge(large, 1000)
				share = share.WithBacklog(start.Add(time.Millisecond), waiting(large))
				return share.WithBacklog(start.Add(idleTimeout/2), waiting(small, large))
			},
			picked: "small",
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			share := test.share(NewLeastService("self", 1, maxCost))
			candidates := waiting(small, large)
			So(candidates[share.Pick(candidates)].Team.Name, ShouldEqual, coltsfootlink.TeamName(test.picked))
		})
	}
}

func TestDebtIsClamped(t *testing.T) {
	Convey("after a network partition ends, the debt to a backlogged team is bounded", t, func() {
		behind, ahead := team("behind", 1), team("ahead", 1)
		var share coltsfootlink.FairShare = NewLeastService("self", 1, maxCost)
		share = share.WithBacklog(start, waiting(behind, ahead))
		share = share.WithCounters(coltsfootlink.Counters{Parts: []coltsfootlink.CounterPart{
			{Team: "ahead", Instance: "other", Incarnation: 1, Charged: 1e6},
		}})
		share = share.WithBacklog(start.Add(time.Millisecond), waiting(behind, ahead))
		share = share.WithCharge(behind, maxDebtRequests*maxCost+1)
		candidates := waiting(behind, ahead)
		So(candidates[share.Pick(candidates)].Team.Name, ShouldEqual, coltsfootlink.TeamName("ahead"))
	})
}

func TestEstimate(t *testing.T) {
	cases := map[string]struct {
		costs    []float64
		hint     float64
		estimate float64
	}{
		"no costs and no hint":                     {estimate: maxCost / 2},
		"only a hint":                              {hint: 30, estimate: 30},
		"a hint above the maximum cost":            {hint: 1e9, estimate: maxCost},
		"only costs":                               {costs: []float64{40, 40}, estimate: 40},
		"costs and a hint":                         {costs: []float64{40}, hint: 20, estimate: 30},
		"the average follows rising costs slowly":  {costs: []float64{40, 90}, estimate: 50},
		"the average follows falling costs slowly": {costs: []float64{90, 40}, estimate: 80},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			asked := team("asked", 1)
			var share coltsfootlink.FairShare = NewLeastService("self", 1, maxCost)
			for _, cost := range test.costs {
				share = share.WithCharge(asked, cost).WithCost(asked, cost, cost)
			}
			So(share.Estimate(coltsfootlink.Candidate{Team: asked, Hint: test.hint}), ShouldAlmostEqual, test.estimate, 1e-9)
		})
	}
}

func TestCountersAreSentAfterLargeChanges(t *testing.T) {
	cases := map[string]struct {
		charge float64
		sent   int
	}{
		"a small charge is not sent yet": {charge: maxCost/2 - 1, sent: 0},
		"a large charge is sent":         {charge: maxCost / 2, sent: 1},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			share := NewLeastService("self", 1, maxCost).WithCharge(team("a", 1), test.charge)
			So(len(share.Counters(false).Parts), ShouldEqual, test.sent)
			So(len(share.Counters(true).Parts), ShouldEqual, 1)
			So(len(share.WithSent().Counters(false).Parts), ShouldEqual, 0)
		})
	}
}

// TestMergeIsIndependentOfOrder merges the counters of several instances once in order, and twice in a random order, as
// messages may be repeated and reordered.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages []coltsfootlink.Counters
		for instance := range 3 {
			var share coltsfootlink.FairShare = NewLeastService(coltsfootlink.InstanceName(fmt.Sprint(instance)), 1, maxCost)
			for range rapid.IntRange(1, 6).Draw(t, "charges") {
				charged := team(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), 1)
				charge := rapid.Float64Range(0, maxCost).Draw(t, "charge")
				share = share.WithCharge(charged, charge).WithCost(charged, charge, rapid.Float64Range(0, maxCost).Draw(t, "cost"))
				messages = append(messages, share.Counters(true))
			}
		}
		merge := func(order []coltsfootlink.Counters) coltsfootlink.FairShare {
			var share coltsfootlink.FairShare = NewLeastService("self", 1, maxCost)
			for _, message := range order {
				share = share.WithCounters(message)
			}
			return share
		}
		left := merge(messages)
		shuffled := rapid.Permutation(messages).Draw(t, "order")
		right := merge(append(shuffled, shuffled...))
		for _, name := range []coltsfootlink.TeamName{"a", "b"} {
			if math.Abs(left.Service(name)-right.Service(name)) > 1e-6 {
				t.Fatalf("team %s: service %f in order and %f shuffled", name, left.Service(name), right.Service(name))
			}
		}
	})
}

// TestServiceGapIsBounded serves two backlogged teams with random costs; their service may differ only by the cost of
// the requests in progress.
func TestServiceGapIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []coltsfootlink.Team{team("a", 1), team("b", 1)}
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		served := map[coltsfootlink.TeamName]float64{}
		type running struct {
			team   coltsfootlink.Team
			charge float64
		}
		var inFlight []running
		var share coltsfootlink.FairShare = NewLeastService("self", 1, maxCost)
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			share = share.WithBacklog(start.Add(time.Duration(step)*time.Millisecond), waiting(teams...))
			for len(inFlight) < slots {
				picked := waiting(teams...)[share.Pick(waiting(teams...))]
				charge := share.Estimate(picked)
				share = share.WithCharge(picked.Team, charge)
				inFlight = append(inFlight, running{team: picked.Team, charge: charge})
			}
			at := rapid.IntRange(0, len(inFlight)-1).Draw(t, "ended")
			cost := rapid.Float64Range(1, maxCost).Draw(t, "cost")
			share = share.WithCost(inFlight[at].team, inFlight[at].charge, cost)
			served[inFlight[at].team.Name] += cost
			inFlight = append(inFlight[:at], inFlight[at+1:]...)
		}
		bound := float64(1+slots) * maxCost
		if gap := math.Abs(served["a"] - served["b"]); gap > bound {
			t.Fatalf("gap %f exceeds %f", gap, bound)
		}
	})
}

func TestFirstCome(t *testing.T) {
	Convey("the oldest request is served first, however much service its team has received", t, func() {
		young := coltsfootlink.Candidate{Team: team("a", 1), Oldest: start.Add(time.Second)}
		old := coltsfootlink.Candidate{Team: team("b", 1), Oldest: start}
		share := FirstCome{}.WithCharge(old.Team, 1e9)
		So(share.Pick([]coltsfootlink.Candidate{young, old}), ShouldEqual, 1)
	})
}
