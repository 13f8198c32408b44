package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// TestLoadsSampled checks the loads from which the number of targets is ordered.
func TestLoadsSampled(t *testing.T) {
	scaled := engineTraits
	scaled.Scale = coltsfootlink.ScaleRange{Min: 1, Max: 4, StartupTime: 8 * time.Second}
	const tokens = 1500 + coltsfootlink.OutputTokenWeight*300
	cases := map[string]struct {
		traits   coltsfootlink.PoolTraits
		slots    int
		leaving  bool
		standing coltsfootlink.Standing
		duties   bool
		sampled  bool
		load     coltsfootlink.TargetsLoad
	}{
		"a request within the share":            {scaled, 12, false, coltsfootlink.Entitled, true, true, coltsfootlink.TargetsLoad{Targets: 1, Slots: 12, Running: 1, GrantedTokens: tokens}},
		"within what targets can sustain":       {scaled, 12, false, coltsfootlink.Bearable, true, true, coltsfootlink.TargetsLoad{Targets: 1, Slots: 12, Running: 1, GrantedTokens: tokens}},
		"a flood beyond the shares":             {scaled, 12, false, coltsfootlink.Surplus, true, true, coltsfootlink.TargetsLoad{Targets: 1, Slots: 12}},
		"refused within the share":              {scaled, 0, false, coltsfootlink.Entitled, true, true, coltsfootlink.TargetsLoad{Targets: 1, RefusedTokens: tokens}},
		"refused beyond the share":              {scaled, 0, false, coltsfootlink.Bearable, true, true, coltsfootlink.TargetsLoad{Targets: 1}},
		"a leaving target":                      {scaled, 12, true, coltsfootlink.Entitled, true, false, coltsfootlink.TargetsLoad{}},
		"a pool whose targets aren't ordered":   {engineTraits, 12, false, coltsfootlink.Entitled, true, false, coltsfootlink.TargetsLoad{}},
		"no duties: nothing is sampled or sent": {scaled, 12, false, coltsfootlink.Entitled, false, false, coltsfootlink.TargetsLoad{}},
	}
	for name, test := range cases {
		Convey("the wrong load would order targets that nobody needs, or too few: "+name, t, func() {
			task, _ := ownerTask(start)
			target := coltsfootlink.Target{Name: "t", Pool: "p", Zone: "z", Slots: test.slots, Leaving: test.leaving}
			task.ledgers["t"] = NewLedger(start.Add(-time.Hour), target, test.traits, policy)
			task.catalog = task.catalog.WithTarget(target)
			duties := mailbox.NewDeliveries()
			if test.duties {
				task.Duties = duties
			}
			task.tick()
			asked := ask(start, 1, prompt(500, 1000, 1), 10*time.Second)
			asked.Standing = test.standing
			task.handle(coltsfootlink.Delivery{From: "i", Message: asked})
			read := task.ledgers["t"].waitMillis(start)
			for tick := range 5 {
				So(duties.Drain(), ShouldBeEmpty)
				task.Clock = fixedClock{start.Add(time.Duration(tick+1) * tickInterval)}
				task.tick()
			}
			sent := duties.Drain()
			if !test.sampled {
				So(sent, ShouldBeEmpty)
				return
			}
			expected := test.load
			expected.Pool, expected.Zone, expected.IntervalMillis = "p", "z", 1000
			// The first of the six samples was taken before the request.
			expected.Running *= 5.0 / 6
			if test.standing != coltsfootlink.Surplus {
				expected.ReadMillis = read
			}
			So(sent, ShouldHaveLength, 1)
			So(sent[0].Message.(coltsfootlink.LoadsSampled).Loads, ShouldHaveLength, 1)
			got := sent[0].Message.(coltsfootlink.LoadsSampled).Loads[0]
			So(got.ReadMillis, ShouldAlmostEqual, expected.ReadMillis, 0.001)
			So(got.Running, ShouldAlmostEqual, expected.Running, 0.001)
			got.ReadMillis, got.Running = expected.ReadMillis, expected.Running
			So(got, ShouldResemble, expected)
		})
	}
	Convey("an owner without requests reports that its targets are idle", t, func() {
		sampler := loadSampler{}
		ledgers := map[coltsfootlink.TargetName]Ledger{"t": NewLedger(start, coltsfootlink.Target{Name: "t", Pool: "p", Slots: 12}, scaled, policy)}
		var loads []coltsfootlink.TargetsLoad
		for tick := range 11 {
			now := start.Add(time.Duration(tick) * tickInterval)
			sampler, loads = sampler.withSample(now, ledgers).withReport(now)
		}
		So(loads, ShouldResemble, []coltsfootlink.TargetsLoad{{Pool: "p", Targets: 1, Slots: 12, IntervalMillis: 1000}})
	})
}
