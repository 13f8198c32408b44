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
		"nobody":                   {nil, 10, 10},
		"all can have all":         {[]float64{1, 2, 3}, 10, 7},
		"one asks for too much":    {[]float64{1, 2, 30}, 10, 7},
		"two ask for too much":     {[]float64{2, 30, 30}, 10, 4},
		"all ask for too much":     {[]float64{20, 30, 40, 50}, 10, 2.5},
		"just as much as there is": {[]float64{5, 5}, 10, 5},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(Level(test.demands, test.capacity), ShouldAlmostEqual, test.level, 1e-9) })
	}
}

// TestLevelIsMaxMin: what is given never exceeds the capacity, and uses it up unless all have all.
func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := Level(demands, capacity)
		var asked, given float64
		for _, demand := range demands {
			asked += demand
			given += min(demand, level)
		}
		if wanted := min(asked, capacity); given < wanted-1e-6 || given > wanted+1e-6 {
			t.Fatalf("%v of %v is given at level %v", given, wanted, level)
		}
	})
}

// entitledOf returns the part of a team's requests that lies within its share.
func entitledOf(shares coltsfootlink.Shares, name coltsfootlink.TeamName) float64 {
	for _, team := range shares.Teams {
		if team.Team == name {
			return team.Entitled
		}
	}
	return 1
}

func TestLedger(t *testing.T) {
	start := time.UnixMilli(0)
	offer := func(team coltsfootlink.TeamName, tokens float64) coltsfootlink.Offered {
		return coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: team, Tokens: tokens}}}
	}
	cases := map[string]struct {
		// perSecond is what the teams ask for in a second.
		perSecond map[coltsfootlink.TeamName]float64
		over      map[coltsfootlink.TeamName]float64
	}{
		"all within":             {map[coltsfootlink.TeamName]float64{"a": 30, "b": 40}, nil},
		"one floods":             {map[coltsfootlink.TeamName]float64{"a": 20, "b": 400}, map[coltsfootlink.TeamName]float64{"b": 0.2}},
		"two flood":              {map[coltsfootlink.TeamName]float64{"a": 20, "b": 400, "c": 80}, map[coltsfootlink.TeamName]float64{"b": 0.1, "c": 0.5}},
		"equal teams share even": {map[coltsfootlink.TeamName]float64{"a": 100, "b": 100}, map[coltsfootlink.TeamName]float64{"a": 0.5, "b": 0.5}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ledger := NewLedger(start, 0.1)
			now := start
			var shares coltsfootlink.Shares
			for range 20 {
				now = now.Add(500 * time.Millisecond)
				for team, tokens := range test.perSecond {
					offered := offer(team, tokens/2)
					offered.Teams[0].Granted = entitledOf(shares, team) * tokens / 2
					ledger = ledger.WithOffered(offered)
				}
				ledger = ledger.WithTime(now)
				shares = ledger.Shares("p", 100, 150)
				ledger = ledger.WithTold(shares)
			}
			So(shares.Teams, ShouldHaveLength, len(test.over))
			for _, team := range shares.Teams {
				So(team.Entitled, ShouldAlmostEqual, test.over[team.Team], 0.01)
				So(team.Bearable, ShouldBeGreaterThanOrEqualTo, team.Entitled)
			}
		})
	}
	Convey("a team that gets far more than a refused one loses its surplus, and has it back later", t, func() {
		play := func(ledger Ledger, from time.Time, gets float64) Ledger {
			for step := range 20 {
				ledger = ledger.WithOffered(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{
					{Team: "a", Tokens: 200, Granted: 20}, {Team: "b", Tokens: 400, Granted: gets},
				}}).WithTime(from.Add(time.Duration(step+1) * 500 * time.Millisecond))
			}
			return ledger
		}
		ledger := play(NewLedger(start, 0.1), start, 100)
		So(ledger.Shares("p", 100, 150).Teams[1].Surplus, ShouldBeLessThan, 0.01)
		ledger = play(ledger, start.Add(10*time.Second), 25)
		So(ledger.Shares("p", 100, 2000).Teams[1].Surplus, ShouldEqual, 1.0)
		So(ledger.Shares("p", 100, 150).Teams[1].Surplus, ShouldBeLessThan, 0.2)
	})
	short := map[string]struct {
		// asks and gets are the rates of the team that is refused, in tokens a second; the other asks for 100,000.
		asks, gets float64
		entitled   float64
		bearable   float64
	}{
		"far below":               {100_000, 5_000, 15_000, 15_000},
		"below, and others yield": {100_000, 12_500, 20_000, 20_000},
		"below":                   {100_000, 18_500, 30_000, 30_000},
		"a little below":          {100_000, 27_000, 30_000, 43_200},
		"at its share":            {100_000, 30_000, 30_000, 48_000},
		"far below, but a little": {8_000, 2_000, 52_000, 100_000},
		"all that it asks for":    {20_000, 20_000, 40_000, 100_000},
	}
	for name, test := range short {
		Convey("what others get beyond their promised shares ends while a team gets less than its own: "+name, t, func() {
			ledger := NewLedger(start, 0.1)
			for step := range 20 {
				ledger = ledger.WithOffered(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{
					{Team: "a", Tokens: test.asks / 2, Granted: test.gets / 2}, {Team: "b", Tokens: 50_000, Granted: 40_000},
				}}).WithTime(start.Add(time.Duration(step+1) * 500 * time.Millisecond))
				ledger = ledger.WithTold(ledger.Shares("p", 60_000, 120_000))
			}
			for _, team := range ledger.Shares("p", 60_000, 120_000).Teams {
				if team.Team == "b" {
					So(team.Entitled, ShouldAlmostEqual, test.entitled/100_000, 0.01)
					So(team.Bearable, ShouldAlmostEqual, test.bearable/100_000, 0.01)
				}
			}
		})
	}
	patience := map[string]struct{ refused, patience float64 }{
		"nothing within shares is refused": {0, mostPatience},
		"hardly anything is":               {0.01, mostPatience},
		"a tenth is":                       {0.1, 0.1},
	}
	for name, test := range patience {
		Convey("what lies beyond shares may wait longer while "+name, t, func() {
			ledger := NewLedger(start, 0.1)
			for look := range 60 {
				ledger = ledger.WithOffered(coltsfootlink.Offered{Pool: "p", Attempted: 100, RefusedFull: 100 * test.refused}).WithTime(start.Add(time.Duration(look+1) * 250 * time.Millisecond))
			}
			So(ledger.Shares("p", 100, 150).MaxWaitFraction, ShouldEqual, test.patience)
		})
	}
	Convey("a team that is silent is forgotten", t, func() {
		ledger := NewLedger(start, 0.1).WithOffered(offer("a", 1000))
		for second := range 20 {
			ledger = ledger.WithTime(start.Add(time.Duration(second+1) * time.Second))
		}
		So(ledger.teams.Len(), ShouldEqual, 0)
	})
}
