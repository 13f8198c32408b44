package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestKeepersAreToldOfFloodsBeforeTheirTurn(t *testing.T) {
	const promised, request = 40_000.0, 1_000
	cases := map[string]struct {
		promised float64
		// every is the time between two requests of 1,000 tokens, for a second, and usual that before.
		usual, every time.Duration
		// by is when the keeper has to be told first, and most the most messages of the second.
		by   time.Duration
		most int
	}{
		"as much as usual":             {promised, 50 * time.Millisecond, 50 * time.Millisecond, offerInterval, 4},
		"many times as much":           {promised, 50 * time.Millisecond, time.Millisecond, 15 * time.Millisecond, 14},
		"much, and nothing before":     {promised, time.Hour, time.Millisecond, 10 * time.Millisecond, 14},
		"operators promise nothing":    {0, time.Hour, time.Millisecond, offerInterval, 5},
		"a little, and nothing before": {promised, time.Hour, 100 * time.Millisecond, offerInterval, 5},
	}
	for name, test := range cases {
		Convey("the keeper of a pool learns of a flood while it begins: "+name, t, func() {
			task, kept, clock := newTask()
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: test.promised})}})
			var told float64
			offered := func() (messages int) {
				for _, delivery := range kept.sent {
					if message, is := delivery.Message.(coltsfootlink.Offered); is {
						messages++
						told += message.Teams[0].Tokens
					}
				}
				kept.sent = nil
				return messages
			}
			play := func(span, every time.Duration) (first time.Duration, messages int) {
				for at := time.Duration(0); at < span; at += time.Millisecond {
					clock.now = clock.now.Add(time.Millisecond)
					if at%every == 0 {
						task.handle(coltsfootlink.Delivery{Message: Shed{Pool: "p", Team: "x", Work: coltsfootlink.Work{PromptTokens: request}}})
					}
					task.turn()
					if messages += offered(); messages > 0 && first == 0 {
						first = at
					}
				}
				return first, messages
			}
			// The keeper was told 100 ms before.
			_, _ = play(4*offerInterval+100*time.Millisecond, test.usual)
			first, messages := play(time.Second, test.every)
			So(first, ShouldBeLessThanOrEqualTo, test.by)
			So(messages, ShouldBeLessThanOrEqualTo, test.most)
			clock.now = clock.now.Add(offerInterval)
			task.turn()
			_ = offered()
			asked := time.Second/test.every + 1 + (4*offerInterval+99*time.Millisecond)/test.usual
			So(told, ShouldEqual, float64(request)*float64(asked))
		})
	}
}
