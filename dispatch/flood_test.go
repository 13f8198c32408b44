package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestFloodsAreHeldUntilTheirKeeperCanKnow holds for an instance to which 10,000 tokens fall between two messages.
func TestFloodsAreHeldUntilTheirKeeperCanKnow(t *testing.T) {
	const promised, request = 80_000.0, 1_000
	cases := map[string]struct {
		promised float64
		// usual is how many requests of 1,000 tokens come between two messages, and flood how many then.
		usual, flood int
		// passed is how many of these are let through; all of those that come after the next message are.
		passed int
	}{
		"as many as usual":          {promised, 20, 20, 20},
		"twice as many":             {promised, 20, 40, 40},
		"ten times as many":         {promised, 20, 200, 50},
		"many, and none before":     {promised, 0, 200, 10},
		"few, and none before":      {promised, 0, 9, 9},
		"operators promise nothing": {0, 0, 200, 200},
	}
	for name, test := range cases {
		Convey("of what a team suddenly asks for a part is let through: "+name, t, func() {
			task, _, clock := newTask()
			table := coltsfootlink.RoutingTable{TokensPerSecond: test.promised}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTable(table)}})
			passed := func(requests int) (count int) {
				for range requests {
					asked, reply := want(clock, nil), make(chan Choice, 1)
					asked.Work = coltsfootlink.Work{PromptTokens: request}
					asked.Reply = reply
					task.handle(coltsfootlink.Delivery{Message: asked})
					select {
					case choice := <-reply:
						So(choice.Refusal.Reason, ShouldEqual, coltsfootlink.OverShare)
						So(choice.Refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
						So(choice.Refusal.RetryAt, ShouldHappenBetween, clock.now, clock.now.Add(offerInterval))
					default:
						count++
					}
				}
				clock.now = clock.now.Add(offerInterval)
				task.tell(clock.now)
				return count
			}
			_, _ = passed(test.usual), passed(test.usual)
			So(passed(test.flood), ShouldEqual, test.passed)
			So(passed(test.flood), ShouldEqual, test.flood)
		})
	}
}

func TestRequestsWithoutTokensAreNotHeld(t *testing.T) {
	Convey("requests of plain services count for no share", t, func() {
		task, _, clock := newTask()
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: 1})}})
		for range 100 {
			asked, reply := want(clock, nil), make(chan Choice, 1)
			asked.Work, asked.Reply = coltsfootlink.Work{}, reply
			task.offers.try(asked, nil)
			task.handle(coltsfootlink.Delivery{Message: asked})
			So(reply, ShouldBeEmpty)
		}
	})
}
