package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestStandings(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	limited := coltsfootlink.TeamShare{Team: "x", Entitled: 0.2, Bearable: 0.5, Surplus: 0.4}
	cases := map[string]struct {
		pool              coltsfootlink.PoolName
		team              coltsfootlink.TeamName
		elapsed           time.Duration
		draw, surplusDraw float64
		standing          coltsfootlink.Standing
		offered           bool
	}{
		"within the guaranteed share":  {"p", "x", 0, 0.1, 0, coltsfootlink.Entitled, true},
		"within the sustainable share": {"p", "x", 0, 0.3, 0, coltsfootlink.Bearable, true},
		"surplus that is offered":      {"p", "x", 0, 0.7, 0.3, coltsfootlink.Surplus, true},
		"surplus that is not offered":  {"p", "x", 0, 0.7, 0.5, coltsfootlink.Surplus, false},
		"a team within its share":      {"p", "y", 0, 0.9, 0.9, coltsfootlink.Entitled, true},
		"a pool without announcement":  {"q", "x", 0, 0.9, 0.9, coltsfootlink.Entitled, true},
		"an expired announcement":      {"p", "x", announcementTTL + time.Millisecond, 0.9, 0.9, coltsfootlink.Entitled, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			standings := Standings{}.WithShares(now, coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{limited}})
			standing, offered := standings.Of(now.Add(test.elapsed), test.pool, test.team, test.draw, test.surplusDraw)
			So(standing, ShouldEqual, test.standing)
			So(offered, ShouldEqual, test.offered)
		})
	}
	Convey("an announcement replaces the previous one of its pool and keeps those of other pools", t, func() {
		standings := Standings{}.
			WithShares(now, coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{limited}}).
			WithShares(now, coltsfootlink.Shares{Pool: "q", Teams: []coltsfootlink.TeamShare{limited}})
		after := standings.WithShares(now, coltsfootlink.Shares{Pool: "p"})
		_, offered := after.Of(now, "p", "x", 0.9, 0.9)
		So(offered, ShouldBeTrue)
		_, offered = after.Of(now, "q", "x", 0.9, 0.9)
		So(offered, ShouldBeFalse)
		_, offered = standings.Of(now, "p", "x", 0.9, 0.9)
		So(offered, ShouldBeFalse)
	})
}
