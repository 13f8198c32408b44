package share

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// messageCounter counts the messages that are sent.
type messageCounter struct{ sent int }

// Send counts a message.
func (counting *messageCounter) Send(coltsfootlink.InstanceName, coltsfootlink.Message) {
	counting.sent++
}

// manualClock is a clock that is set by the test.
type manualClock struct{ now time.Time }

// Now returns the time that was set.
func (clock *manualClock) Now() time.Time { return clock.now }

// TestAnnouncementFrequency bounds the number of messages that a share coordinator sends to two instances in ten
// seconds.
func TestAnnouncementFrequency(t *testing.T) {
	steady := func(int) float64 { return 30 }
	cases := map[string]struct {
		// tokens is a team's demand by evaluation.
		tokens           func(evaluation int) float64
		minSent, maxSent int
	}{
		"no team exceeds its share":        {steady, 20, 22},
		"a team floods at a constant rate": {func(int) float64 { return 3000 }, 20, 60},
		"a team floods on and off":         {func(evaluation int) float64 { return float64(evaluation/8%2) * 5000 }, 20, 80},
		"the pool has no requests":         {nil, 0, 0},
	}
	// settleEvaluations is the maximum number of evaluations by which an announcement may lag behind a team's demand.
	const settleEvaluations = 2
	for name, test := range cases {
		Convey(name, t, func() {
			clock, sent := &manualClock{now: time.UnixMilli(1_700_000_000_000)}, new(messageCounter)
			task := &Task{Self: "a", BearableFactor: 1.5, MinWaitFraction: 0.4, Clock: clock, Sender: sent, Log: zerolog.Nop()}
			task.reset()
			task.handle(coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{
				{Instance: coltsfootlink.Instance{Name: "a"}, Live: true},
				{Instance: coltsfootlink.Instance{Name: "b", Leaving: true}, Live: true},
			}}})
			task.handle(coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: 1000})})
			for evaluation := range 40 {
				clock.now = clock.now.Add(evaluationInterval)
				if test.tokens != nil {
					task.handle(coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: "x", Tokens: test.tokens(evaluation)}, {Team: "y", Tokens: 20}}})
				}
				task.evaluate()
				if test.tokens != nil && evaluation >= settleEvaluations && test.tokens(evaluation) == test.tokens(evaluation-settleEvaluations) {
					So(entitledFraction(task.announced["p"].shares, "x") < 1, ShouldEqual, test.tokens(evaluation) > 1000*evaluationInterval.Seconds())
				}
			}
			So(sent.sent, ShouldBeBetweenOrEqual, test.minSent-1, test.maxSent+1)
		})
	}
}
