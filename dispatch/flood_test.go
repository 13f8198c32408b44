package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestFloodsAreDeferredUntilReported checks how much of a flood is admitted before the share coordinator can know of
// it. Of the guaranteed rate, 10,000 tokens per report interval fall to this instance.
func TestFloodsAreDeferredUntilReported(t *testing.T) {
	const guaranteed, request = 80_000.0, 1_000
	cases := map[string]struct {
		guaranteed float64
		// usual is the number of requests of 1,000 tokens in each interval before the flood, and flood the number in
		// each interval of the flood.
		usual, flood int
		// admitted is the number of requests admitted in the first interval of the flood; in the second one all are.
		admitted int
	}{
		"as many as usual":      {guaranteed, 20, 20, 20},
		"twice as many":         {guaranteed, 20, 40, 40},
		"ten times as many":     {guaranteed, 20, 200, 50},
		"many, and none before": {guaranteed, 0, 200, 10},
		"few, and none before":  {guaranteed, 0, 9, 9},
		"no guaranteed rate":    {0, 0, 200, 200},
	}
	for name, test := range cases {
		Convey("a flood is admitted only in part until it is reported: "+name, t, func() {
			task, _, clock := newTask()
			table := coltsfootlink.RoutingTable{TokensPerSecond: test.guaranteed}
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTable(table)}})
			send := func(requests int) (count int) {
				for range requests {
					asked, reply := newWant(clock, nil), make(chan Choice, 1)
					asked.Work = coltsfootlink.Work{PromptTokens: request}
					asked.Reply = reply
					task.handle(coltsfootlink.Delivery{Message: asked})
					select {
					case choice := <-reply:
						So(choice.Refusal.Reason, ShouldEqual, coltsfootlink.OverShare)
						So(choice.Refusal.Outcome, ShouldEqual, coltsfootlink.NotRun)
						So(choice.Refusal.RetryAt, ShouldHappenBetween, clock.now, clock.now.Add(reportInterval))
					default:
						count++
					}
				}
				clock.now = clock.now.Add(reportInterval)
				task.sendReports(clock.now)
				return count
			}
			_, _ = send(test.usual), send(test.usual)
			So(send(test.flood), ShouldEqual, test.admitted)
			So(send(test.flood), ShouldEqual, test.flood)
		})
	}
}

func TestRequestsWithoutTokensAreNotDeferred(t *testing.T) {
	Convey("requests to plain services do not count towards a share", t, func() {
		task, _, clock := newTask()
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: 1})}})
		for range 100 {
			asked, reply := newWant(clock, nil), make(chan Choice, 1)
			asked.Work, asked.Reply = coltsfootlink.Work{}, reply
			task.loads.countAttempt(asked, nil)
			task.handle(coltsfootlink.Delivery{Message: asked})
			So(reply, ShouldBeEmpty)
		}
	})
}
