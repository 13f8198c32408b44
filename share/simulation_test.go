package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// simulatedTeam is a team of a simulated pool; evaluations are counted from the start of the traffic.
type simulatedTeam struct {
	// requested is the team's demand in tokens per second.
	requested func(evaluation int) float64
	// servedFraction is the fraction of the offered requests that small instances, which are short of CPU, and full
	// targets don't refuse while the team demands more than its share; a team within its share loses none.
	servedFraction float64
	// reportEvery is the number of evaluations between two reports of the demand; a busy instance reports rarely.
	reportEvery int
	// maxServed is the capacity of the team's instances, in tokens per second; zero if it is unlimited.
	maxServed float64
}

const (
	simulatedGuaranteed     = 3_000_000.0
	simulatedBearableFactor = 1.8
	evaluationsPerSecond    = int(time.Second / evaluationInterval)
	windowSeconds           = 6
)

// servedFractionAt returns the fraction of the offered requests that is served if there is capacity.
func (team simulatedTeam) servedFractionAt(evaluation int) float64 {
	if team.requested(evaluation) <= simulatedGuaranteed/3 {
		return 1
	}
	return team.servedFraction
}

// constantRate returns a demand that doesn't change.
func constantRate(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// stepRate returns a demand that changes at the given second.
func stepRate(from int, before, after float64) func(int) float64 {
	return func(evaluation int) float64 {
		if evaluation < from*evaluationsPerSecond {
			return before
		}
		return after
	}
}

// recorder keeps the newest announcement of shares.
type recorder struct{ shares coltsfootlink.Shares }

// Send stores an announcement.
func (recorder *recorder) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if shares, is := message.(coltsfootlink.Shares); is {
		recorder.shares = shares
	}
}

// served returns the fraction of a team's requests that is offered to targets, and served if there is capacity. The
// pool serves half of the Bearable requests and a tenth of the Surplus requests.
func (recorder *recorder) served(team coltsfootlink.TeamName) float64 {
	for _, share := range recorder.shares.Teams {
		if share.Team == team {
			return share.Entitled + (share.Bearable-share.Entitled)/2 + (1-share.Bearable)*share.Surplus/10
		}
	}
	return 1
}

// newCoordinator returns the share coordinator of a simulated pool, and the recorder of its announcements.
func newCoordinator(clock *manualClock) (*Task, *recorder) {
	recorded := new(recorder)
	task := &Task{Self: "a", BearableFactor: simulatedBearableFactor, MinWaitFraction: 0.1, Clock: clock, Sender: recorded, Log: zerolog.Nop()}
	task.reset()
	task.handle(coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: coltsfootlink.Instance{Name: "a"}, Live: true}}}})
	task.handle(coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: simulatedGuaranteed})})
	return task, recorded
}

// simulate returns what each team requests and is granted in each second.
func simulate(teams map[coltsfootlink.TeamName]simulatedTeam, seconds int) (asked, got map[coltsfootlink.TeamName][]float64) {
	clock := &manualClock{now: time.UnixMilli(1_700_000_000_000)}
	task, announced := newCoordinator(clock)
	asked, got = make(map[coltsfootlink.TeamName][]float64), make(map[coltsfootlink.TeamName][]float64)
	unreported := make(map[coltsfootlink.TeamName]coltsfootlink.TeamLoad)
	for evaluation := range seconds * evaluationsPerSecond {
		clock.now = clock.now.Add(evaluationInterval)
		var total float64
		for team, simulated := range teams {
			total += simulated.requested(evaluation) * announced.served(team) * simulated.servedFractionAt(evaluation)
		}
		headroom := min(1, simulatedGuaranteed*simulatedBearableFactor/max(1, total))
		for team, simulated := range teams {
			requested := simulated.requested(evaluation) / float64(evaluationsPerSecond)
			granted := requested * announced.served(team) * simulated.servedFractionAt(evaluation) * headroom
			if simulated.maxServed > 0 {
				granted = min(granted, simulated.maxServed/float64(evaluationsPerSecond))
			}
			load := unreported[team]
			load = coltsfootlink.TeamLoad{Team: team, Tokens: load.Tokens + requested, Granted: load.Granted + granted}
			unreported[team] = load
			if evaluation%evaluationsPerSecond == 0 {
				asked[team], got[team] = append(asked[team], 0), append(got[team], 0)
			}
			asked[team][evaluation/evaluationsPerSecond] += requested
			got[team][evaluation/evaluationsPerSecond] += granted
			if (evaluation+1)%simulated.reportEvery == 0 {
				task.handle(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{load}})
				delete(unreported, team)
			}
		}
		task.evaluate()
	}
	return asked, got
}

// findUnfairness describes a window in which a team gets less than half of its demand and of what another team gets;
// empty if there is none.
func findUnfairness(asked, got map[coltsfootlink.TeamName][]float64) string {
	for team := range asked {
		for best := range got {
			for from := 0; from+windowSeconds <= len(got[team]); from++ {
				var owed, granted float64
				for second := from; second < from+windowSeconds; second++ {
					owed += min(asked[team][second], got[best][second])
					granted += got[team][second]
				}
				if granted < owed/2 {
					return fmt.Sprintf("from %d s on, %s is granted %.0f, less than half of %.0f, the lower of its demand and the grant of %s", from, team, granted, owed, best)
				}
			}
		}
	}
	return ""
}

func TestTeamsWhoseEntitledRequestsAreRefusedLaterGetHalfOfWhatOthersGet(t *testing.T) {
	waves := func(evaluation int) float64 { return 4e6 * (1 + math.Sin(float64(evaluation))) }
	small := simulatedTeam{requested: constantRate(200_000), servedFraction: 1, reportEvery: 1}
	cases := map[string]map[coltsfootlink.TeamName]simulatedTeam{
		"no requests are lost":               {"large": {requested: constantRate(6e6), servedFraction: 1, reportEvery: 1}, "next": {requested: constantRate(1e6), servedFraction: 1, reportEvery: 1}, "small": small},
		"most requests of one team are lost": {"large": {requested: constantRate(6e6), servedFraction: 0.3, reportEvery: 1}, "next": {requested: constantRate(1e6), servedFraction: 1, reportEvery: 1}, "small": small},
		"nine tenths of one team's are lost": {"large": {requested: constantRate(6e6), servedFraction: 0.1, reportEvery: 1}, "next": {requested: constantRate(2e6), servedFraction: 1, reportEvery: 1}, "small": small},
		"demand is reported late":            {"large": {requested: constantRate(6e6), servedFraction: 0.3, reportEvery: 4}, "next": {requested: constantRate(1e6), servedFraction: 1, reportEvery: 1}, "small": small},
		"a flood begins":                     {"large": {requested: stepRate(6, 1e6, 8e6), servedFraction: 0.2, reportEvery: 1}, "next": {requested: constantRate(1e6), servedFraction: 1, reportEvery: 1}, "small": small},
		"a flood ends":                       {"large": {requested: stepRate(6, 8e6, 1e6), servedFraction: 0.2, reportEvery: 1}, "next": {requested: constantRate(1e6), servedFraction: 1, reportEvery: 1}, "small": small},
		"three teams flood":                  {"large": {requested: constantRate(9e6), servedFraction: 0.15, reportEvery: 2}, "next": {requested: constantRate(5e6), servedFraction: 1, reportEvery: 1}, "third": {requested: constantRate(4e6), servedFraction: 0.4, reportEvery: 1}},
		"the demand of one team oscillates":  {"large": {requested: waves, servedFraction: 0.2, reportEvery: 2}, "next": {requested: constantRate(2e6), servedFraction: 1, reportEvery: 1}, "small": small},
	}
	for name, teams := range cases {
		Convey("teams that demand more than their shares are granted similar rates despite requests lost after share admission: "+name, t, func() {
			asked, got := simulate(teams, 24)
			So(findUnfairness(asked, got), ShouldBeEmpty)
		})
	}
}

func TestTeamsWhoseDemandChangesGetNoMoreAndNoLessThanTheirShares(t *testing.T) {
	large := simulatedTeam{requested: constantRate(10e6), servedFraction: 0.5, reportEvery: 1}
	cases := map[string]map[coltsfootlink.TeamName]simulatedTeam{
		"a flood begins during another":             {"large": large, "next": {requested: stepRate(6, 0.2e6, 2.5e6), servedFraction: 1, reportEvery: 1}},
		"a flood begins as another ends":            {"large": large, "next": {requested: stepRate(6, 0.2e6, 4e6), servedFraction: 1, reportEvery: 1}, "third": {requested: stepRate(6, 4e6, 0.2e6), servedFraction: 1, reportEvery: 1}},
		"two floods begin one after the other":      {"large": large, "next": {requested: stepRate(6, 0.2e6, 2.5e6), servedFraction: 1, reportEvery: 1}, "third": {requested: stepRate(9, 0.1e6, 2.5e6), servedFraction: 1, reportEvery: 1}},
		"a flood drops to almost nothing":           {"large": {requested: stepRate(6, 10e6, 0.15e6), servedFraction: 1, reportEvery: 1}},
		"a team's own instances are the bottleneck": {"large": {requested: constantRate(10e6), servedFraction: 1, reportEvery: 1, maxServed: 0.27e6}, "next": {requested: constantRate(2.5e6), servedFraction: 1, reportEvery: 1}},
		"two floods end":                            {"large": {requested: stepRate(6, 10e6, 0.15e6), servedFraction: 0.5, reportEvery: 1}, "next": {requested: stepRate(8, 3e6, 0.2e6), servedFraction: 1, reportEvery: 1}},
	}
	for name, teams := range cases {
		for number := range 12 {
			teams[coltsfootlink.TeamName(fmt.Sprint("steady-", number))] = simulatedTeam{requested: constantRate(200_000), servedFraction: 1, reportEvery: 1}
		}
		Convey("every team gets at least half of its demand or of what another team gets: "+name, t, func() {
			asked, got := simulate(teams, 24)
			So(findUnfairness(asked, got), ShouldBeEmpty)
		})
	}
}
