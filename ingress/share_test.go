package ingress

import (
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestCallersRefusedForTheirSharesMayStillBeInTime(t *testing.T) {
	cases := map[string]struct {
		objective time.Duration
		least     time.Duration
		most      time.Duration
	}{
		"a short objective":  {300 * time.Millisecond, 10 * time.Millisecond, 75 * time.Millisecond},
		"a longer one":       {time.Second, 10 * time.Millisecond, 250 * time.Millisecond},
		"that of a long job": {time.Minute, 100 * time.Millisecond, 500 * time.Millisecond},
		"none":               {0, 100 * time.Millisecond, 500 * time.Millisecond},
	}
	for name, test := range cases {
		Convey("a caller that is refused for its team's share may come again while a quarter of its objective is over: "+name, t, func() {
			offered := &offer{log: zerolog.Nop(), shares: coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team"}}}}
			service := newService(t, offered, true)
			var changed []coltsfootlink.RoutingRule
			for _, rule := range rules() {
				rule.Objective = test.objective
				changed = append(changed, rule)
			}
			table := coltsfootlink.RoutingTable{Version: 2, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
			service.Gate.follow(coltsfootlink.Catalog{}.WithTable(table.WithRules(changed).WithKeys("team", []string{"key"})))
			address := serveBehind(t, service, nil)
			_ = dialUntil(t, address).Close()
			status, header, _, err := request(t, "http://"+address, "/private/a", "plan", "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(time.Duration(seconds*float64(time.Second)), ShouldBeBetweenOrEqual, test.least, test.most)
		})
	}
}
