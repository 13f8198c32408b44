package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

const (
	// reportStep is the time between two reports of the simulated instances.
	reportStep = 10 * time.Millisecond
	// idleTargetBurst is the work that idle targets start at once, in tokens, and servedRate the rate at which they
	// complete work, in tokens per second.
	idleTargetBurst = 4_000_000.0
	servedRate      = 2_700_000.0
	// tokensPerRequest is the work of a simulated request.
	tokensPerRequest = 8_000.0
)

// started returns the fraction of a team's requests that start on targets which refuse nothing while they have
// capacity.
func (recorder *recorder) started(team coltsfootlink.TeamName) float64 {
	for _, share := range recorder.shares.Teams {
		if share.Team == team {
			return share.Bearable + (1-share.Bearable)*share.Surplus
		}
	}
	return 1
}

// simulateIdleTargets simulates teams whose targets are idle at first and admit a fraction of each team's requests. It
// returns what each team requests and is granted in each second.
func simulateIdleTargets(teams map[coltsfootlink.TeamName]simulatedTeam, seconds int, admitted func(*recorder, coltsfootlink.TeamName) float64) (asked, got map[coltsfootlink.TeamName][]float64) {
	clock := &manualClock{now: time.UnixMilli(1_700_000_000_000)}
	task, announced := newCoordinator(clock)
	asked, got = make(map[coltsfootlink.TeamName][]float64), make(map[coltsfootlink.TeamName][]float64)
	stepsPerSecond, stepsPerEvaluation := int(time.Second/reportStep), int(evaluationInterval/reportStep)
	headroom := idleTargetBurst
	unsent := make(map[coltsfootlink.TeamName]float64)
	// Instances defer requests beyond those of the previous interval and beyond the guaranteed rate of the whole pool.
	requested, sent, previous := make(map[coltsfootlink.TeamName]float64), make(map[coltsfootlink.TeamName]float64), make(map[coltsfootlink.TeamName]float64)
	for step := range seconds * stepsPerSecond {
		clock.now = clock.now.Add(reportStep)
		headroom = min(idleTargetBurst, headroom+servedRate/float64(stepsPerSecond))
		offered := make(map[coltsfootlink.TeamName]float64)
		var total float64
		for team, simulated := range teams {
			offered[team] = simulated.requested(step/stepsPerEvaluation) / float64(stepsPerSecond) * admitted(announced, team)
			if simulated.maxServed > 0 {
				offered[team] = min(offered[team], simulated.maxServed/float64(stepsPerSecond))
			}
			limit := max(previous[team], simulatedGuaranteed*evaluationInterval.Seconds())
			offered[team] = min(offered[team], max(0, limit-sent[team]))
			sent[team] += offered[team]
			total += offered[team]
		}
		served := min(1, headroom/max(1, total))
		headroom -= served * total
		var report coltsfootlink.Offered
		for team, simulated := range teams {
			newRequested, newGranted := simulated.requested(step/stepsPerEvaluation)/float64(stepsPerSecond), served*offered[team]
			if step%stepsPerSecond == 0 {
				asked[team], got[team] = append(asked[team], 0), append(got[team], 0)
			}
			requested[team] += newRequested
			asked[team][step/stepsPerSecond] += newRequested
			got[team][step/stepsPerSecond] += newGranted
			unsent[team] += newRequested / tokensPerRequest
			requests := int(unsent[team])
			unsent[team] -= float64(requests)
			report.Teams = append(report.Teams, coltsfootlink.TeamLoad{Team: team, Tokens: newRequested, Requests: requests, Granted: newGranted})
		}
		report.Pool = "p"
		task.handle(report)
		task.evaluateBursts()
		if (step+1)%stepsPerEvaluation == 0 {
			task.evaluate()
			previous, requested, sent = requested, make(map[coltsfootlink.TeamName]float64), make(map[coltsfootlink.TeamName]float64)
		}
	}
	return asked, got
}

// floodCases returns groups of teams in which some start to request many times the guaranteed rate.
func floodCases() map[string]map[coltsfootlink.TeamName]simulatedTeam {
	largest := simulatedTeam{requested: constantRate(44e6)}
	cases := map[string]map[coltsfootlink.TeamName]simulatedTeam{
		"three flood from the start":                       {"largest": largest, "next": {requested: constantRate(9e6), maxServed: 0.6e6}, "third": {requested: constantRate(4e6), maxServed: 0.6e6}},
		"one demands most of the rate in the first second": {"largest": largest, "early": {requested: stepRate(1, 2.7e6, 0.1e6)}},
		"two begin when all teams are known":               {"largest": {requested: stepRate(3, 0.2e6, 44e6)}, "next": {requested: stepRate(3, 0.5e6, 9e6), maxServed: 0.6e6}},
	}
	for _, teams := range cases {
		for number := range 12 {
			teams[coltsfootlink.TeamName(rune('a'+number))] = simulatedTeam{requested: constantRate(80_000)}
		}
	}
	return cases
}

func TestTeamsGetNoMoreThanTheirSharesBeforeAnEvaluationDetectsAFlood(t *testing.T) {
	for name, teams := range floodCases() {
		Convey("every team gets at least half of its demand or of what another team gets: "+name, t, func() {
			asked, got := simulateIdleTargets(teams, 12, (*recorder).served)
			So(findUnfairness(asked, got), ShouldBeEmpty)
		})
	}
}

func TestTeamsGetNoMoreThanTheirSharesWhileTargetsHaveRoomForAFlood(t *testing.T) {
	for name, teams := range floodCases() {
		Convey("every team gets at least half of its demand or of what another team gets: "+name, t, func() {
			asked, got := simulateIdleTargets(teams, 12, (*recorder).started)
			So(findUnfairness(asked, got), ShouldBeEmpty)
		})
	}
}

func TestBurstDetector(t *testing.T) {
	cases := map[string]struct {
		// previous is the demand of the previous interval, and current the demand added step by step in this one, in
		// tokens; due is whether a report is due after each step, which is then sent.
		previous float64
		current  []float64
		due      []bool
	}{
		"same demand as before":   {1000, []float64{400, 600, 50}, []bool{false, false, false}},
		"above the allowance":     {1000, []float64{900, 300}, []bool{false, true}},
		"steadily growing demand": {0, []float64{90, 20, 100, 20, 200, 200}, []bool{false, true, false, true, false, true}},
		"a large step":            {0, []float64{5000, 4000, 2000}, []bool{true, false, true}},
		"within the allowance":    {0, []float64{50, 50}, []bool{false, false}},
	}
	for name, test := range cases {
		Convey("a burst is reported early, and again when demand has doubled: "+name, t, func() {
			detector := BurstDetector{}.WithDemand(test.previous).WithNextInterval()
			for index, tokens := range test.current {
				detector = detector.WithDemand(tokens)
				So(detector.Due(100), ShouldEqual, test.due[index])
				if detector.Due(100) {
					detector = detector.WithReported()
				}
			}
		})
	}
}

func TestDemandOfTeamsInABurst(t *testing.T) {
	const guaranteed = 1_000_000
	cases := map[string]struct {
		// previous is the team's known demand in tokens per second, and current the tokens requested since the last
		// evaluation.
		previous, current float64
		since             time.Duration
		burst             bool
		demand            float64
	}{
		"the same demand":  {400_000, 100_000, evaluationInterval, false, 400_000},
		"twice the demand": {400_000, 200_000, evaluationInterval, false, 400_000},
		"many times the demand, early in the interval": {400_000, 1_000_000, evaluationInterval / 5, true, 8_000_000},
		"many times the demand, in a long interval":    {400_000, 4_000_000, 4 * evaluationInterval, true, 8_000_000},
		"an unknown team": {0, 1_000_000, evaluationInterval / 5, true, 8_000_000},
	}
	for name, test := range cases {
		Convey("the demand in a burst is estimated as twice what has been reported: "+name, t, func() {
			ledger, now := NewLedger(time.UnixMilli(0), 0.1), time.UnixMilli(0)
			report := func(tokens float64) coltsfootlink.Offered {
				return coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: "x", Tokens: tokens, Granted: tokens}}}
			}
			for range 8 {
				now = now.Add(evaluationInterval)
				ledger = ledger.WithOffered(report(test.previous * evaluationInterval.Seconds())).WithTime(now)
			}
			ledger, now = ledger.WithOffered(report(test.current)), now.Add(test.since)
			So(ledger.BurstDetected(guaranteed), ShouldEqual, test.burst)
			updated := ledger.WithBursts(now)
			So(updated.demand("x"), ShouldAlmostEqual, test.demand, 1)
			So(updated.granted("x"), ShouldEqual, ledger.granted("x"))
			for _, team := range updated.Shares("p", guaranteed, 2*guaranteed).Teams {
				So(team.Entitled, ShouldAlmostEqual, guaranteed/test.demand, 0.001)
				So(team.Bearable, ShouldEqual, team.Entitled)
				So(team.Surplus, ShouldEqual, 0)
			}
			So(updated.WithTime(now.Add(evaluationInterval)).demand("x"), ShouldAlmostEqual, test.current/(test.since+evaluationInterval).Seconds(), 0.9*test.demand)
		})
	}
}
