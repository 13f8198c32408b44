package share

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// counter counts the messages that are sent.
type counter struct{ sent int }

// Send counts a message.
func (counter *counter) Send(coltsfootlink.InstanceName, coltsfootlink.Message) { counter.sent++ }

// hands is a clock that is set by hand.
type hands struct{ now time.Time }

// Now returns the time that was set.
func (hands *hands) Now() time.Time { return hands.now }

// TestWords holds for how often a keeper tells two instances of the shares in ten seconds.
func TestWords(t *testing.T) {
	steady := func(int) float64 { return 30 }
	cases := map[string]struct {
		// tokens is what a team asks for, by look.
		tokens      func(look int) float64
		least, most int
	}{
		"nobody asks for more":    {steady, 20, 22},
		"a team floods evenly":    {func(int) float64 { return 3000 }, 20, 60},
		"a team comes and goes":   {func(look int) float64 { return float64(look/8%2) * 5000 }, 20, 80},
		"the pool has no request": {nil, 0, 0},
	}
	// settled is the most looks that a word may be behind what a team asks for.
	const settled = 2
	for name, test := range cases {
		Convey(name, t, func() {
			clock, sent := &hands{now: time.UnixMilli(1_700_000_000_000)}, new(counter)
			task := &Task{Self: "a", BearableFactor: 1.5, LeastPatience: 0.4, Clock: clock, Sender: sent, Log: zerolog.Nop()}
			task.reset()
			task.handle(coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{
				{Instance: coltsfootlink.Instance{Name: "a"}, Live: true},
				{Instance: coltsfootlink.Instance{Name: "b", Leaving: true}, Live: true},
			}}})
			task.handle(coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: 1000})})
			for look := range 40 {
				clock.now = clock.now.Add(interval)
				if test.tokens != nil {
					task.handle(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: "x", Tokens: test.tokens(look)}, {Team: "y", Tokens: 20}}})
				}
				task.tell()
				if test.tokens != nil && look >= settled && test.tokens(look) == test.tokens(look-settled) {
					So(entitledOf(task.told["p"].shares, "x") < 1, ShouldEqual, test.tokens(look) > 1000*interval.Seconds())
				}
			}
			So(sent.sent, ShouldBeBetweenOrEqual, test.least-1, test.most+1)
		})
	}
}
