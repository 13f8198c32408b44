package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

func TestLevel(t *testing.T) {
	cases := map[string]struct {
		demands  []float64
		capacity float64
		level    float64
	}{
		"no teams":                     {nil, 10, 10},
		"capacity covers all demands":  {[]float64{1, 2, 3}, 10, 7},
		"one demand exceeds the level": {[]float64{1, 2, 30}, 10, 7},
		"two demands exceed the level": {[]float64{2, 30, 30}, 10, 4},
		"all demands exceed the level": {[]float64{20, 30, 40, 50}, 10, 2.5},
		"demand equals capacity":       {[]float64{5, 5}, 10, 5},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(Level(test.demands, test.capacity), ShouldAlmostEqual, test.level, 1e-9) })
	}
}

// TestLevelIsMaxMin checks that the granted rates use up the capacity, or cover all demands, and never exceed it.
func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := Level(demands, capacity)
		var asked, granted float64
		for _, demand := range demands {
			asked += demand
			granted += min(demand, level)
		}
		if wanted := min(asked, capacity); granted < wanted-1e-6 || granted > wanted+1e-6 {
			t.Fatalf("granted %v, want %v, at level %v", granted, wanted, level)
		}
	})
}

// entitledFraction returns the Entitled fraction of a team's requests.
func entitledFraction(shares coltsfootlink.Shares, name coltsfootlink.TeamName) float64 {
	for _, team := range shares.Teams {
		if team.Team == name {
			return team.Entitled
		}
	}
	return 1
}

func TestLedger(t *testing.T) {
	start := time.UnixMilli(0)
	report := func(team coltsfootlink.TeamName, tokens float64) coltsfootlink.Offered {
		return coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: team, Tokens: tokens}}}
	}
	cases := map[string]struct {
		// requestedPerSecond is the teams' demand.
		requestedPerSecond map[coltsfootlink.TeamName]float64
		over               map[coltsfootlink.TeamName]float64
	}{
		"all teams within their shares":  {map[coltsfootlink.TeamName]float64{"a": 30, "b": 40}, nil},
		"one floods":                     {map[coltsfootlink.TeamName]float64{"a": 20, "b": 400}, map[coltsfootlink.TeamName]float64{"b": 0.2}},
		"two flood":                      {map[coltsfootlink.TeamName]float64{"a": 20, "b": 400, "c": 80}, map[coltsfootlink.TeamName]float64{"b": 0.1, "c": 0.5}},
		"equal demands get equal shares": {map[coltsfootlink.TeamName]float64{"a": 100, "b": 100}, map[coltsfootlink.TeamName]float64{"a": 0.5, "b": 0.5}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger := NewLedger(start, 0.1)
			now := start
			var shares coltsfootlink.Shares
			for range 20 {
				now = now.Add(500 * time.Millisecond)
				for team, tokens := range test.requestedPerSecond {
					offered := report(team, tokens/2)
					offered.Teams[0].Granted = entitledFraction(shares, team) * tokens / 2
					ledger = ledger.WithOffered(offered)
				}
				ledger = ledger.WithTime(now)
				shares = ledger.Shares("p", 100, 150)
				ledger = ledger.WithAnnounced(shares)
			}
			So(shares.Teams, ShouldHaveLength, len(test.over))
			for _, team := range shares.Teams {
				So(team.Entitled, ShouldAlmostEqual, test.over[team.Team], 0.01)
				So(team.Bearable, ShouldBeGreaterThanOrEqualTo, team.Entitled)
			}
		})
	}
	Convey("a team that is granted far more than an underserved one loses its surplus and regains it later", t, func() {
		evaluate := func(ledger Ledger, from time.Time, gets float64) Ledger {
			for step := range 20 {
				ledger = ledger.WithOffered(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{
					{Team: "a", Tokens: 200, Granted: 20}, {Team: "b", Tokens: 400, Granted: gets},
				}}).WithTime(from.Add(time.Duration(step+1) * 500 * time.Millisecond))
			}
			return ledger
		}
		ledger := evaluate(NewLedger(start, 0.1), start, 100)
		So(ledger.Shares("p", 100, 150).Teams[1].Surplus, ShouldBeLessThan, 0.01)
		ledger = evaluate(ledger, start.Add(10*time.Second), 25)
		So(ledger.Shares("p", 100, 2000).Teams[1].Surplus, ShouldEqual, 1.0)
		So(ledger.Shares("p", 100, 150).Teams[1].Surplus, ShouldBeLessThan, 0.2)
	})
	underserved := map[string]struct {
		// requested and granted are the rates of the underserved team, in tokens per second; the other team requests
		// 100,000.
		requested, granted float64
		entitled           float64
		bearable           float64
	}{
		"far below its share":                         {100_000, 5_000, 15_000, 15_000},
		"below its share, so that others are reduced": {100_000, 12_500, 20_000, 20_000},
		"below its share":                             {100_000, 18_500, 30_000, 30_000},
		"slightly below its share":                    {100_000, 27_000, 30_000, 43_200},
		"at its share":                                {100_000, 30_000, 30_000, 48_000},
		"low demand, far below it":                    {8_000, 2_000, 52_000, 100_000},
		"demand fully served":                         {20_000, 20_000, 40_000, 100_000},
	}
	for name, test := range underserved {
		Convey("other teams get nothing beyond their guaranteed shares while a team gets less than its own: "+name, t, func() {
			ledger := NewLedger(start, 0.1)
			for step := range 20 {
				ledger = ledger.WithOffered(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{
					{Team: "a", Tokens: test.requested / 2, Granted: test.granted / 2}, {Team: "b", Tokens: 50_000, Granted: 40_000},
				}}).WithTime(start.Add(time.Duration(step+1) * 500 * time.Millisecond))
				ledger = ledger.WithAnnounced(ledger.Shares("p", 60_000, 120_000))
			}
			for _, team := range ledger.Shares("p", 60_000, 120_000).Teams {
				if team.Team == "b" {
					So(team.Entitled, ShouldAlmostEqual, test.entitled/100_000, 0.01)
					So(team.Bearable, ShouldAlmostEqual, test.bearable/100_000, 0.01)
				}
			}
		})
	}
	waitFractions := map[string]struct{ refused, maxWaitFraction float64 }{
		"no Entitled request is refused":      {0, waitFractionLimit},
		"1% of the Entitled work is refused":  {0.01, waitFractionLimit},
		"10% of the Entitled work is refused": {0.1, 0.1},
	}
	for name, test := range waitFractions {
		Convey("the maximum wait of Bearable requests follows the refused Entitled work: "+name, t, func() {
			ledger := NewLedger(start, 0.1)
			for evaluation := range 60 {
				ledger = ledger.WithOffered(coltsfootlink.Offered{Pool: "p", Attempted: 100, RefusedFull: 100 * test.refused}).WithTime(start.Add(time.Duration(evaluation+1) * 250 * time.Millisecond))
			}
			So(ledger.Shares("p", 100, 150).MaxWaitFraction, ShouldEqual, test.maxWaitFraction)
		})
	}
	Convey("a team without requests is removed", t, func() {
		ledger := NewLedger(start, 0.1).WithOffered(report("a", 1000))
		for second := range 20 {
			ledger = ledger.WithTime(start.Add(time.Duration(second+1) * time.Second))
		}
		So(ledger.teams.Len(), ShouldEqual, 0)
	})
}
