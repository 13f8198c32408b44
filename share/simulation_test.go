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

// crowd is a team of a simulated pool; its figures are of looks, from when the traffic begins.
type crowd struct {
	// asks is what the team asks for in tokens a second.
	asks func(look int) float64
	// served is the part of what it may offer to targets that small instances and full targets leave of it while it asks for
	// more than its share; all of the rest is served.
	served float64
	// every is the number of looks between two reports of what it asked for; a busy instance reports seldom.
	every int
	// most is the most that its instances can do, in tokens a second; zero if nothing bounds them.
	most float64
}

const (
	simulatedPromised = 3_000_000.0
	simulatedFactor   = 1.8
	looksPerSecond    = int(time.Second / interval)
	windowSeconds     = 6
)

// fate is the part of what a crowd offers to targets that is served if there is room.
func (crowd crowd) fate(look int) float64 {
	if crowd.asks(look) <= simulatedPromised/3 {
		return 1
	}
	return crowd.served
}

// steadily asks for the same all the time.
func steadily(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// flood asks for one rate, and from some second on for another.
func flood(from int, before, rate float64) func(int) float64 {
	return func(look int) float64 {
		if look < from*looksPerSecond {
			return before
		}
		return rate
	}
}

// teller keeps the newest word on the shares.
type teller struct{ shares coltsfootlink.Shares }

// Send keeps a word.
func (teller *teller) Send(_ coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if shares, is := message.(coltsfootlink.Shares); is {
		teller.shares = shares
	}
}

// offered returns the part of a team's requests that is offered to targets, and served if there is room; the pool
// serves half of what is beyond what is promised, and a tenth of what is beyond what it bears.
func (teller *teller) offered(team coltsfootlink.TeamName) float64 {
	for _, share := range teller.shares.Teams {
		if share.Team == team {
			return share.Entitled + (share.Bearable-share.Entitled)/2 + (1-share.Bearable)*share.Surplus/10
		}
	}
	return 1
}

// newKeeper returns a task that keeps the shares of a simulated pool, and where its words go.
func newKeeper(clock *hands) (*Task, *teller) {
	words := new(teller)
	task := &Task{Self: "a", BearableFactor: simulatedFactor, LeastPatience: 0.1, Clock: clock, Sender: words, Log: zerolog.Nop()}
	task.reset()
	task.handle(coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: coltsfootlink.Instance{Name: "a"}, Live: true}}}})
	task.handle(coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: simulatedPromised})})
	return task, words
}

// play returns what each crowd asks for and gets in each second.
func play(crowds map[coltsfootlink.TeamName]crowd, seconds int) (asked, got map[coltsfootlink.TeamName][]float64) {
	clock := &hands{now: time.UnixMilli(1_700_000_000_000)}
	task, words := newKeeper(clock)
	asked, got = make(map[coltsfootlink.TeamName][]float64), make(map[coltsfootlink.TeamName][]float64)
	unsaid := make(map[coltsfootlink.TeamName]coltsfootlink.TeamLoad)
	for look := range seconds * looksPerSecond {
		clock.now = clock.now.Add(interval)
		var total float64
		for team, crowd := range crowds {
			total += crowd.asks(look) * words.offered(team) * crowd.fate(look)
		}
		room := min(1, simulatedPromised*simulatedFactor/max(1, total))
		for team, crowd := range crowds {
			asks := crowd.asks(look) / float64(looksPerSecond)
			gets := asks * words.offered(team) * crowd.fate(look) * room
			if crowd.most > 0 {
				gets = min(gets, crowd.most/float64(looksPerSecond))
			}
			offer := unsaid[team]
			offer = coltsfootlink.TeamLoad{Team: team, Tokens: offer.Tokens + asks, Granted: offer.Granted + gets}
			unsaid[team] = offer
			if look%looksPerSecond == 0 {
				asked[team], got[team] = append(asked[team], 0), append(got[team], 0)
			}
			asked[team][look/looksPerSecond] += asks
			got[team][look/looksPerSecond] += gets
			if (look+1)%crowd.every == 0 {
				task.handle(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{offer}})
				delete(unsaid, team)
			}
		}
		task.tell()
	}
	return asked, got
}

// unfair returns the first window in which a team gets less than half of what it asks for and of what another gets.
func unfair(asked, got map[coltsfootlink.TeamName][]float64) string {
	for team := range asked {
		for best := range got {
			for from := 0; from+windowSeconds <= len(got[team]); from++ {
				var owed, gets float64
				for second := from; second < from+windowSeconds; second++ {
					owed += min(asked[team][second], got[best][second])
					gets += got[team][second]
				}
				if gets < owed/2 {
					return fmt.Sprintf("from %d s %s gets %.0f, less than half of %.0f, what it asks for or %s gets", from, team, gets, owed, best)
				}
			}
		}
	}
	return ""
}

func TestTeamsWhoseRequestsAreLostBehindTheirSharesGetHalfOfWhatOthersGet(t *testing.T) {
	waves := func(look int) float64 { return 4e6 * (1 + math.Sin(float64(look))) }
	small := crowd{asks: steadily(200_000), served: 1, every: 1}
	cases := map[string]map[coltsfootlink.TeamName]crowd{
		"nothing is lost":                    {"large": {asks: steadily(6e6), served: 1, every: 1}, "next": {asks: steadily(1e6), served: 1, every: 1}, "small": small},
		"most of one team is":                {"large": {asks: steadily(6e6), served: 0.3, every: 1}, "next": {asks: steadily(1e6), served: 1, every: 1}, "small": small},
		"nine tenths of one team are":        {"large": {asks: steadily(6e6), served: 0.1, every: 1}, "next": {asks: steadily(2e6), served: 1, every: 1}, "small": small},
		"what is asked for is told late":     {"large": {asks: steadily(6e6), served: 0.3, every: 4}, "next": {asks: steadily(1e6), served: 1, every: 1}, "small": small},
		"a flood begins":                     {"large": {asks: flood(6, 1e6, 8e6), served: 0.2, every: 1}, "next": {asks: steadily(1e6), served: 1, every: 1}, "small": small},
		"a flood ends":                       {"large": {asks: flood(6, 8e6, 1e6), served: 0.2, every: 1}, "next": {asks: steadily(1e6), served: 1, every: 1}, "small": small},
		"three teams flood":                  {"large": {asks: steadily(9e6), served: 0.15, every: 2}, "next": {asks: steadily(5e6), served: 1, every: 1}, "third": {asks: steadily(4e6), served: 0.4, every: 1}},
		"what one asks for goes up and down": {"large": {asks: waves, served: 0.2, every: 2}, "next": {asks: steadily(2e6), served: 1, every: 1}, "small": small},
	}
	for name, crowds := range cases {
		Convey("teams that ask for more than their shares get alike, whatever is lost behind them: "+name, t, func() {
			asked, got := play(crowds, 24)
			So(unfair(asked, got), ShouldBeEmpty)
		})
	}
}

func TestTeamsWhoseDemandChangesGetNoMoreAndNoLessThanTheirShares(t *testing.T) {
	large := crowd{asks: steadily(10e6), served: 0.5, every: 1}
	cases := map[string]map[coltsfootlink.TeamName]crowd{
		"a flood begins beside another":  {"large": large, "next": {asks: flood(6, 0.2e6, 2.5e6), served: 1, every: 1}},
		"one begins as another ends":     {"large": large, "next": {asks: flood(6, 0.2e6, 4e6), served: 1, every: 1}, "third": {asks: flood(6, 4e6, 0.2e6), served: 1, every: 1}},
		"they begin one after the other": {"large": large, "next": {asks: flood(6, 0.2e6, 2.5e6), served: 1, every: 1}, "third": {asks: flood(9, 0.1e6, 2.5e6), served: 1, every: 1}},
		"a flood nearly falls silent":    {"large": {asks: flood(6, 10e6, 0.15e6), served: 1, every: 1}},
		"one's instances can do no more": {"large": {asks: steadily(10e6), served: 1, every: 1, most: 0.27e6}, "next": {asks: steadily(2.5e6), served: 1, every: 1}},
		"two fall silent":                {"large": {asks: flood(6, 10e6, 0.15e6), served: 0.5, every: 1}, "next": {asks: flood(8, 3e6, 0.2e6), served: 1, every: 1}},
	}
	for name, crowds := range cases {
		for number := range 12 {
			crowds[coltsfootlink.TeamName(fmt.Sprint("steady-", number))] = crowd{asks: steadily(200_000), served: 1, every: 1}
		}
		Convey("all get at least half of what they ask for or others get: "+name, t, func() {
			asked, got := play(crowds, 24)
			So(unfair(asked, got), ShouldBeEmpty)
		})
	}
}
