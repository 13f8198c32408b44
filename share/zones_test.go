package share

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestZoneDemands guards against parts of zones that do not follow the granted work, or that are announced of single
// requests.
func TestZoneDemands(t *testing.T) {
	type work = map[coltsfootlink.ZoneName]float64
	cases := map[string]struct {
		// granted is the work in each quarter of a second for 20 s, and later that in the 10 s after that.
		granted, later work
		expected       work
	}{
		"even zones":                {work{"a": 100, "b": 100}, work{"a": 100, "b": 100}, work{"a": 0.5, "b": 0.5}},
		"one zone asks for more":    {work{"a": 100, "b": 100}, work{"a": 700, "b": 100}, work{"a": 0.85, "b": 0.15}},
		"one zone asks for nothing": {work{"a": 100, "b": 100}, work{"b": 100}, work{"a": 0.12, "b": 0.88}},
		"unused permits":            {work{"a": 100, "b": 100}, work{"a": -100, "b": 100}, work{"a": 0.12, "b": 0.88}},
		"little work":               {work{"a": 20, "b": 20}, work{"a": 20, "b": 20}, work{}},
		"no work any more":          {work{"a": 100, "b": 100}, work{}, work{}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			now := time.UnixMilli(1_700_000_000_000)
			ledger := NewLedger(now, 0.4)
			for evaluation := range 120 {
				granted := test.granted
				if evaluation >= 80 {
					granted = test.later
				}
				for zone, tokens := range granted {
					ledger = ledger.WithZone(zone, coltsfootlink.Offered{Pool: "p", Teams: []coltsfootlink.TeamLoad{{Team: "x", Granted: tokens}}})
				}
				now = now.Add(evaluationInterval)
				ledger = ledger.WithTime(now)
			}
			announced := make(work)
			for _, zone := range ledger.Shares("p", 1000, 1800).Zones {
				announced[zone.Zone] = zone.Fraction
			}
			So(announced, ShouldHaveLength, len(test.expected))
			for zone, fraction := range test.expected {
				So(announced[zone], ShouldAlmostEqual, fraction, 0.04)
			}
		})
	}
}
