package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

const (
	// surgeStep is the time between two reports of simulated instances.
	surgeStep = 10 * time.Millisecond
	// emptyBurst is what targets without work begin at once, and servedRate what they end, in tokens and tokens a second.
	emptyBurst = 4_000_000.0
	servedRate = 2_700_000.0
)

// begun returns the part of a team's requests that begins on targets which refuse nothing while they have room.
func (teller *teller) begun(team coltsfootlink.TeamName) float64 {
	for _, share := range teller.shares.Teams {
		if share.Team == team {
			return share.Bearable + (1-share.Bearable)*share.Surplus
		}
	}
	return 1
}

// begin plays teams before targets that have no work yet and take a part of each team's requests, and returns what each asks
// for and gets in each second.
func begin(crowds map[coltsfootlink.TeamName]crowd, seconds int, taken func(*teller, coltsfootlink.TeamName) float64) (asked, got map[coltsfootlink.TeamName][]float64) {
	clock := &hands{now: time.UnixMilli(1_700_000_000_000)}
	task, words := newKeeper(clock)
	asked, got = make(map[coltsfootlink.TeamName][]float64), make(map[coltsfootlink.TeamName][]float64)
	stepsPerSecond, stepsPerLook := int(time.Second/surgeStep), int(interval/surgeStep)
	room := emptyBurst
	// Instances hold what comes in a look beyond what came in the one before, and beyond what falls to all of them.
	came, passed, before := make(map[coltsfootlink.TeamName]float64), make(map[coltsfootlink.TeamName]float64), make(map[coltsfootlink.TeamName]float64)
	for step := range seconds * stepsPerSecond {
		clock.now = clock.now.Add(surgeStep)
		room = min(emptyBurst, room+servedRate/float64(stepsPerSecond))
		offered := make(map[coltsfootlink.TeamName]float64)
		var total float64
		for team, crowd := range crowds {
			offered[team] = crowd.asks(step/stepsPerLook) / float64(stepsPerSecond) * taken(words, team)
			if crowd.most > 0 {
				offered[team] = min(offered[team], crowd.most/float64(stepsPerSecond))
			}
			most := max(before[team], simulatedPromised*interval.Seconds())
			offered[team] = min(offered[team], max(0, most-passed[team]))
			passed[team] += offered[team]
			total += offered[team]
		}
		served := min(1, room/max(1, total))
		room -= served * total
		var report coltsfootlink.Offered
		for team, crowd := range crowds {
			asks, gets := crowd.asks(step/stepsPerLook)/float64(stepsPerSecond), served*offered[team]
			if step%stepsPerSecond == 0 {
				asked[team], got[team] = append(asked[team], 0), append(got[team], 0)
			}
			came[team] += asks
			asked[team][step/stepsPerSecond] += asks
			got[team][step/stepsPerSecond] += gets
			report.Teams = append(report.Teams, coltsfootlink.TeamLoad{Team: team, Tokens: asks, Granted: gets})
		}
		report.Pool = "p"
		task.handle(report)
		task.tellSurges()
		if (step+1)%stepsPerLook == 0 {
			task.tell()
			before, came, passed = came, make(map[coltsfootlink.TeamName]float64), make(map[coltsfootlink.TeamName]float64)
		}
	}
	return asked, got
}

// floods are teams of which some begin to ask for many times what is promised.
func floods() map[string]map[coltsfootlink.TeamName]crowd {
	largest := crowd{asks: steadily(44e6)}
	cases := map[string]map[coltsfootlink.TeamName]crowd{
		"three flood from the start":           {"largest": largest, "next": {asks: steadily(9e6), most: 0.6e6}, "third": {asks: steadily(4e6), most: 0.6e6}},
		"one asks for all in its first second": {"largest": largest, "early": {asks: flood(1, 2.7e6, 0.1e6)}},
		"one begins when all are known":        {"largest": {asks: flood(3, 0.2e6, 44e6)}, "next": {asks: flood(3, 0.5e6, 9e6), most: 0.6e6}},
	}
	for _, crowds := range cases {
		for number := range 12 {
			crowds[coltsfootlink.TeamName(rune('a'+number))] = crowd{asks: steadily(80_000)}
		}
	}
	return cases
}

func TestTeamsGetNoMoreThanTheirSharesBeforeALookShowsThatTheyFlood(t *testing.T) {
	for name, crowds := range floods() {
		Convey("all get at least half of what they ask for or others get: "+name, t, func() {
			asked, got := begin(crowds, 12, (*teller).offered)
			So(unfair(asked, got), ShouldBeEmpty)
		})
	}
}

func TestTeamsGetNoMoreThanTheirSharesWhileTargetsHaveRoomForAFlood(t *testing.T) {
	for name, crowds := range floods() {
		Convey("all get at least half of what they ask for or others get: "+name, t, func() {
			asked, got := begin(crowds, 12, (*teller).begun)
			So(unfair(asked, got), ShouldBeEmpty)
		})
	}
}

func TestSurge(t *testing.T) {
	cases := map[string]struct {
		// before is what came in the interval before, and came what comes in turn in this one, in tokens; due says which of
		// it makes what has come due, which is told then.
		before float64
		came   []float64
		due    []bool
	}{
		"as much as usual":         {1000, []float64{400, 600, 50}, []bool{false, false, false}},
		"more than usual":          {1000, []float64{900, 300}, []bool{false, true}},
		"more and more":            {0, []float64{90, 20, 100, 20, 200, 200}, []bool{false, true, false, true, false, true}},
		"much at once":             {0, []float64{5000, 4000, 2000}, []bool{true, false, true}},
		"less than is allowed for": {0, []float64{50, 50}, []bool{false, false}},
	}
	for name, test := range cases {
		Convey("much more than usual is told early, and again when it has doubled: "+name, t, func() {
			surge := Surge{}.WithCome(test.before).WithInterval()
			for turn, came := range test.came {
				surge = surge.WithCome(came)
				So(surge.Due(100), ShouldEqual, test.due[turn])
				if surge.Due(100) {
					surge = surge.WithTold()
				}
			}
		})
	}
}

func TestDemandOfTeamsThatSurge(t *testing.T) {
	const promised = 1_000_000
	cases := map[string]struct {
		// before is what the team is known to ask for in tokens a second, and came what has come since the last look.
		before, came float64
		since        time.Duration
		surges       bool
		demand       float64
	}{
		"as much as before":                 {400_000, 100_000, interval, false, 400_000},
		"twice as much":                     {400_000, 200_000, interval, false, 400_000},
		"many times as much, in a part":     {400_000, 1_000_000, interval / 5, true, 8_000_000},
		"many times as much, in a long one": {400_000, 4_000_000, 4 * interval, true, 8_000_000},
		"a team that was not known":         {0, 1_000_000, interval / 5, true, 8_000_000},
	}
	for name, test := range cases {
		Convey("what has come is half of the least that is expected between two looks: "+name, t, func() {
			ledger, now := NewLedger(time.UnixMilli(0), 0.1), time.UnixMilli(0)
			offered := func(tokens float64) coltsfootlink.Offered {
				return coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: "x", Tokens: tokens, Granted: tokens}}}
			}
			for range 8 {
				now = now.Add(interval)
				ledger = ledger.WithOffered(offered(test.before * interval.Seconds())).WithTime(now)
			}
			ledger, now = ledger.WithOffered(offered(test.came)), now.Add(test.since)
			So(ledger.Surges(promised), ShouldEqual, test.surges)
			surged := ledger.WithSurges(now)
			So(surged.demand("x"), ShouldAlmostEqual, test.demand, 1)
			So(surged.gets("x"), ShouldEqual, ledger.gets("x"))
			for _, team := range surged.Shares("p", promised, 2*promised).Teams {
				So(team.Entitled, ShouldAlmostEqual, promised/test.demand, 0.001)
				So(team.Bearable, ShouldEqual, team.Entitled)
				So(team.Surplus, ShouldEqual, 0)
			}
			So(surged.WithTime(now.Add(interval)).demand("x"), ShouldAlmostEqual, test.came/(test.since+interval).Seconds(), 0.9*test.demand)
		})
	}
}
