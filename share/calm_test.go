package share

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestUnevenRequestsAreNoFlood checks that teams of few requests, whose sizes differ much, are not held to their shares while
// targets are idle.
func TestUnevenRequestsAreNoFlood(t *testing.T) {
	// Of a new team with many requests nothing is known yet.
	const seconds, newSeconds = 20, 2
	cases := map[string]struct {
		// tokens are the sizes of a team's requests, which follow each other, and perEvaluation the number of requests between
		// two evaluations in turn.
		tokens        []float64
		perEvaluation []int
	}{
		"large ones among small ones":  {[]float64{900, 700, 30_000, 1_200, 800, 18_000, 600}, []int{1, 2, 1, 0, 3}},
		"few that come together":       {[]float64{6_000, 9_000, 2_000}, []int{0, 0, 3, 0, 1, 0, 2, 0}},
		"one now and then":             {[]float64{25_000}, []int{1, 0, 0, 0, 0, 0, 0}},
		"more large ones in the wave":  {[]float64{2_000, 2_500, 24_000}, []int{2, 4, 2, 5, 3}},
		"a team with many small ones":  {[]float64{1_000, 3_000, 2_000, 9_000}, []int{10, 12, 9, 25, 11}},
		"a new one with two large now": {[]float64{30_000}, []int{2}},
	}
	for name, test := range cases {
		Convey("targets with room get all requests: "+name, t, func() {
			clock := &manualClock{now: time.UnixMilli(1_700_000_000_000)}
			task, announced := newCoordinator(clock)
			task.handle(coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithTable(coltsfootlink.RoutingTable{TokensPerSecond: 40_000})})
			number, held := 0, 0
			for evaluation := range seconds * evaluationsPerSecond {
				clock.now = clock.now.Add(evaluationInterval)
				report := coltsfootlink.Offered{Pool: "p"}
				for team := range 4 {
					load := coltsfootlink.TeamLoad{Team: coltsfootlink.TeamName(fmt.Sprint("t-", team))}
					for range test.perEvaluation[(evaluation+team)%len(test.perEvaluation)] {
						load.Tokens += test.tokens[number%len(test.tokens)]
						load.Requests++
						number++
					}
					load.Granted = load.Tokens
					report.Teams = append(report.Teams, load)
				}
				task.handle(report)
				task.evaluate()
				for _, team := range announced.shares.Teams {
					if team.Surplus == 0 && evaluation >= newSeconds*evaluationsPerSecond {
						held++
					}
				}
			}
			So(held, ShouldEqual, 0)
		})
	}
}
