package ingress

import (
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestRetryAfterOfOverShareRefusalsFitsTheObjective(t *testing.T) {
	cases := map[string]struct {
		objective time.Duration
		least     time.Duration
		most      time.Duration
	}{
		"a short objective":           {300 * time.Millisecond, 10 * time.Millisecond, 75 * time.Millisecond},
		"a longer objective":          {time.Second, 10 * time.Millisecond, 250 * time.Millisecond},
		"the objective of a long job": {time.Minute, 100 * time.Millisecond, 500 * time.Millisecond},
		"no objective":                {0, 100 * time.Millisecond, 500 * time.Millisecond},
	}
	for name, test := range cases {
		Convey("Retry-After is at most a quarter of the objective after a refusal for the team's share: "+name, t, func() {
			dispatcher := &fakeDispatcher{log: zerolog.Nop(), shares: coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team"}}}}
			service := newService(t, dispatcher, true)
			var changed []coltsfootlink.RoutingRule
			for _, rule := range rules() {
				rule.Objective = test.objective
				changed = append(changed, rule)
			}
			table := coltsfootlink.RoutingTable{Version: 2, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
			service.Gate.setCatalog(coltsfootlink.Catalog{}.WithTable(table.WithRules(changed).WithKeys("team", []string{"key"})))
			address := serveFiltered(t, service, nil)
			_ = dialWithRetry(t, address).Close()
			status, header, _, err := request(t, "http://"+address, "/private/a", "plan", "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(time.Duration(seconds*float64(time.Second)), ShouldBeBetweenOrEqual, test.least, test.most)
		})
	}
}
