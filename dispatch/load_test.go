package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestFloodsAreReportedEarly(t *testing.T) {
	const guaranteed, request = 40_000.0, 1_000
	cases := map[string]struct {
		guaranteed float64
		// interval is the time between two requests of 1,000 tokens during one second, and usualInterval the time
		// between two requests before that second.
		usualInterval, interval time.Duration
		// firstReport is the latest time of the first report, and maxReports the maximum number of reports in the
		// second.
		firstReport time.Duration
		maxReports  int
	}{
		"no more than usual":         {guaranteed, 50 * time.Millisecond, 50 * time.Millisecond, reportInterval, 4},
		"many times more than usual": {guaranteed, 50 * time.Millisecond, time.Millisecond, 15 * time.Millisecond, 14},
		"a flood after no requests":  {guaranteed, time.Hour, time.Millisecond, 10 * time.Millisecond, 14},
		"no guaranteed rate":         {0, time.Hour, time.Millisecond, reportInterval, 5},
		"a few requests after none":  {guaranteed, time.Hour, 100 * time.Millisecond, reportInterval, 5},
	}
	for name, test := range cases {
		Convey("the share coordinator learns of a flood as it begins: "+name, t, func() {
			task, sender, clock := newTask()
			task.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: task.catalog.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: test.guaranteed})}})
			var reported float64
			takeReports := func() (reports int) {
				for _, delivery := range sender.sent {
					if message, is := delivery.Message.(coltsfootlink.Offered); is {
						reports++
						reported += message.Teams[0].Tokens
					}
				}
				sender.sent = nil
				return reports
			}
			run := func(duration, interval time.Duration) (first time.Duration, reports int) {
				for at := time.Duration(0); at < duration; at += time.Millisecond {
					clock.now = clock.now.Add(time.Millisecond)
					if at%interval == 0 {
						task.handle(coltsfootlink.Delivery{Message: Shed{Pool: "p", Team: "x", Work: coltsfootlink.Work{PromptTokens: request}}})
					}
					task.turn()
					if reports += takeReports(); reports > 0 && first == 0 {
						first = at
					}
				}
				return first, reports
			}
			// The last regular report was sent 100 ms before the second begins.
			_, _ = run(4*reportInterval+100*time.Millisecond, test.usualInterval)
			first, reports := run(time.Second, test.interval)
			So(first, ShouldBeLessThanOrEqualTo, test.firstReport)
			So(reports, ShouldBeLessThanOrEqualTo, test.maxReports)
			clock.now = clock.now.Add(reportInterval)
			task.turn()
			_ = takeReports()
			requests := time.Second/test.interval + 1 + (4*reportInterval+99*time.Millisecond)/test.usualInterval
			So(reported, ShouldEqual, float64(request)*float64(requests))
		})
	}
}
