package usage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

const (
	window   = 5 * time.Second
	lateness = 10 * time.Second
	// first is the window at whose beginning the tests start.
	first = uint64(340_000_000)
)

// at returns a time after the beginning of the first window.
func at(seconds float64) time.Time {
	return time.Unix(0, int64(first)*int64(window)).Add(time.Duration(seconds * float64(time.Second)))
}

func counts(requests int) []coltsfootlink.TeamCount {
	return []coltsfootlink.TeamCount{{Team: "x", Requests: requests}}
}

// report is a report of the first window, as far as one instance knows it.
func report(incarnation, reached uint64, requests int) coltsfootlink.DutyReport {
	return coltsfootlink.DutyReport{Incarnation: incarnation, Reached: first + reached, Windows: []coltsfootlink.UsageWindow{{Index: first, Teams: counts(requests)}}}
}

func TestCounter(t *testing.T) {
	cases := map[string]struct {
		begun    []float64
		recorded uint64
		windows  []coltsfootlink.UsageWindow
	}{
		"nothing begun":                        {nil, 0, []coltsfootlink.UsageWindow{}},
		"bounds of a window":                   {[]float64{0, 4.999, 5}, 0, []coltsfootlink.UsageWindow{{Index: first, Teams: counts(2)}, {Index: first + 1, Teams: counts(1)}}},
		"windows are dropped once recorded":    {[]float64{0, 6, 11}, first + 1, []coltsfootlink.UsageWindow{{Index: first + 1, Teams: counts(1)}, {Index: first + 2, Teams: counts(1)}}},
		"handled late, not recorded":           {[]float64{6, 4}, 0, []coltsfootlink.UsageWindow{{Index: first, Teams: counts(1)}, {Index: first + 1, Teams: counts(1)}}},
		"nothing is recorded for five minutes": {[]float64{0, 5, 300}, 0, []coltsfootlink.UsageWindow{{Index: first + 1, Teams: counts(1)}, {Index: first + 60, Teams: counts(1)}}},
	}
	for name, test := range cases {
		Convey("requests are counted in the wrong window, or twice: "+name, t, func() {
			counter := NewCounter(window)
			for _, seconds := range test.begun {
				counter = counter.WithBegun(at(seconds), "x").WithBegun(at(seconds), "")
			}
			counter = counter.WithoutBefore(test.recorded).WithoutBefore(0)
			So(counter.Windows(), ShouldResemble, test.windows)
		})
	}
	Convey("a request that is handled after its window was recorded would begin the window anew", t, func() {
		So(NewCounter(window).WithoutBefore(first+1).WithBegun(at(4), "x").Windows(), ShouldBeEmpty)
	})
}

func TestDue(t *testing.T) {
	type arrival struct {
		seconds float64
		from    coltsfootlink.InstanceName
		report  coltsfootlink.DutyReport
	}
	past := func(requests int) coltsfootlink.DutyReport { return report(1, 1, requests) }
	cases := map[string]struct {
		arrivals []arrival
		live     []coltsfootlink.InstanceName
		now      float64
		due      bool
		counts   []coltsfootlink.TeamCount
	}{
		"no report at all":                  {nil, []coltsfootlink.InstanceName{"a"}, 100, false, nil},
		"all have reported past the end":    {[]arrival{{6, "a", past(2)}, {6, "b", past(3)}}, []coltsfootlink.InstanceName{"a", "b"}, 6.5, true, counts(5)},
		"settling":                          {[]arrival{{5.1, "a", past(2)}}, []coltsfootlink.InstanceName{"a"}, 6.4, false, nil},
		"not over":                          {[]arrival{{4, "a", report(1, 0, 2)}}, []coltsfootlink.InstanceName{"a"}, 4.9, false, nil},
		"a report within the window":        {[]arrival{{4, "a", report(1, 0, 2)}, {6, "b", past(3)}}, []coltsfootlink.InstanceName{"a", "b"}, 10.9, false, nil},
		"a lost report and a later one":     {[]arrival{{6, "a", past(2)}, {4, "b", report(1, 0, 1)}, {7, "b", past(3)}}, []coltsfootlink.InstanceName{"a", "b"}, 7, true, counts(5)},
		"a repeated report":                 {[]arrival{{6, "a", past(2)}, {6, "a", past(2)}}, []coltsfootlink.InstanceName{"a"}, 7, true, counts(2)},
		"reordered reports":                 {[]arrival{{6, "a", past(4)}, {6.1, "a", report(1, 0, 2)}}, []coltsfootlink.InstanceName{"a"}, 7, true, counts(4)},
		"an instance that restarted":        {[]arrival{{2, "a", report(1, 0, 4)}, {6, "a", report(2, 1, 1)}}, []coltsfootlink.InstanceName{"a"}, 7, true, counts(5)},
		"a report of its earlier run":       {[]arrival{{6, "a", report(2, 0, 1)}, {6.1, "a", report(1, 1, 4)}}, []coltsfootlink.InstanceName{"a"}, 7, false, nil},
		"an instance that died":             {[]arrival{{4, "a", report(1, 0, 4)}, {6, "b", past(3)}}, []coltsfootlink.InstanceName{"b"}, 7, true, counts(7)},
		"one never reports, before the end": {[]arrival{{3, "a", report(1, 0, 2)}, {6, "a", past(2)}}, []coltsfootlink.InstanceName{"a", "b"}, 10.99, false, nil},
		"one never reports, at the end":     {[]arrival{{3, "a", report(1, 0, 2)}, {6, "a", past(2)}}, []coltsfootlink.InstanceName{"a", "b"}, 11, true, counts(2)},
		"no instance is known to be live":   {[]arrival{{6, "a", past(2)}}, nil, 10, false, nil},
		"a new holder hears of one first":   {[]arrival{{12, "a", past(2)}}, []coltsfootlink.InstanceName{"a", "b"}, 13.9, false, nil},
		"a new holder has heard long":       {[]arrival{{12, "a", past(2)}}, []coltsfootlink.InstanceName{"a", "b"}, 14, true, counts(2)},
		"a report from another time":        {[]arrival{{6, "a", coltsfootlink.DutyReport{Reached: 7}}}, []coltsfootlink.InstanceName{"a"}, 7, false, nil},
		"a window without requests":         {[]arrival{{3, "a", coltsfootlink.DutyReport{Incarnation: 1, Reached: first}}, {6, "a", coltsfootlink.DutyReport{Incarnation: 1, Reached: first + 1}}}, []coltsfootlink.InstanceName{"a"}, 7, true, nil},
		"nothing is known of the window":    {[]arrival{{6, "a", coltsfootlink.DutyReport{Incarnation: 1, Reached: first + 1}}}, []coltsfootlink.InstanceName{"a"}, 9, false, nil},
	}
	for name, test := range cases {
		Convey("a window is left out, recorded too early, or with wrong counts: "+name, t, func() {
			ledger := NewLedger(window, lateness)
			for _, arrival := range test.arrivals {
				ledger = ledger.WithReport(at(arrival.seconds), arrival.from, arrival.report)
			}
			due, found := ledger.Due(at(test.now), test.live)
			So(found, ShouldEqual, test.due)
			if found {
				So(due, ShouldResemble, coltsfootlink.UsageWindow{Index: first, Teams: test.counts})
			}
		})
	}
	Convey("windows are recorded in order, each once, whatever arrives later", t, func() {
		live := []coltsfootlink.InstanceName{"a"}
		both := coltsfootlink.DutyReport{Reached: first + 2, Windows: []coltsfootlink.UsageWindow{{Index: first, Teams: counts(1)}, {Index: first + 1, Teams: counts(2)}}}
		ledger := NewLedger(window, lateness).WithReport(at(12), "a", both)
		due, _ := ledger.Due(at(12), live)
		So(due.Index, ShouldEqual, first)
		ledger = ledger.WithRecorded(first).WithReport(at(12), "a", both)
		due, _ = ledger.Due(at(12), live)
		So(due, ShouldResemble, both.Windows[1])
		_, found := ledger.WithRecorded(first+1).WithRecorded(first).WithReport(at(12), "b", both).Due(at(12), live)
		So(found, ShouldBeFalse)
	})
}

// TestTeams checks that the counts of teams are kept apart when reports name different ones, in any order.
func TestTeams(t *testing.T) {
	type list = []coltsfootlink.TeamCount
	cases := map[string]struct{ earlier, later, other, total list }{
		"the same teams":              {list{{Team: "x", Requests: 2}, {Team: "y", Requests: 3}}, list{{Team: "x", Requests: 4}, {Team: "y", Requests: 3}}, list{{Team: "x", Requests: 1}, {Team: "y", Requests: 1}}, list{{Team: "x", Requests: 5}, {Team: "y", Requests: 4}}},
		"a team begins later":         {list{{Team: "y", Requests: 3}}, list{{Team: "x", Requests: 4}, {Team: "y", Requests: 3}}, nil, list{{Team: "x", Requests: 4}, {Team: "y", Requests: 3}}},
		"teams of one instance alone": {list{{Team: "x", Requests: 3}}, list{{Team: "x", Requests: 3}, {Team: "z", Requests: 1}}, list{{Team: "y", Requests: 7}}, list{{Team: "x", Requests: 3}, {Team: "y", Requests: 7}, {Team: "z", Requests: 1}}},
		"not sorted":                  {nil, list{{Team: "z", Requests: 3}, {Team: "x", Requests: 1}}, list{{Team: "y", Requests: 7}}, list{{Team: "x", Requests: 1}, {Team: "y", Requests: 7}, {Team: "z", Requests: 3}}},
	}
	for name, test := range cases {
		Convey("a team would get the counts of another: "+name, t, func() {
			ledger := NewLedger(window, lateness)
			for _, sent := range []struct {
				from   coltsfootlink.InstanceName
				counts list
			}{{"a", test.later}, {"a", test.earlier}, {"b", test.other}} {
				ledger = ledger.WithReport(at(6), sent.from, coltsfootlink.DutyReport{Reached: first + 1, Windows: []coltsfootlink.UsageWindow{{Index: first, Teams: sent.counts}}})
			}
			due, _ := ledger.Due(at(7), []coltsfootlink.InstanceName{"a", "b"})
			So(due.Teams, ShouldResemble, test.total)
		})
	}
}

// TestOrderOfReports checks that counts don't depend on the order of reports, nor on repeated ones.
func TestOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sent struct {
			from   coltsfootlink.InstanceName
			report coltsfootlink.DutyReport
		}
		var reports []sent
		for _, from := range []coltsfootlink.InstanceName{"a", "b", "c"} {
			for incarnation := range uint64(rapid.IntRange(0, 2).Draw(t, "runs")) {
				requests := 0
				for range rapid.IntRange(0, 4).Draw(t, "reports") {
					requests += rapid.IntRange(0, 3).Draw(t, "requests")
					reports = append(reports, sent{from, report(incarnation, rapid.Uint64Range(0, 2).Draw(t, "reached"), requests)})
				}
			}
		}
		repeated := append(reports, reports[:rapid.IntRange(0, len(reports)).Draw(t, "repeated")]...)
		ledger, other := NewLedger(window, lateness), NewLedger(window, lateness)
		for _, sent := range reports {
			ledger = ledger.WithReport(at(6), sent.from, sent.report)
		}
		for _, sent := range rapid.Permutation(repeated).Draw(t, "order") {
			other = other.WithReport(at(6), sent.from, sent.report)
		}
		live := []coltsfootlink.InstanceName{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "live")]
		for _, seconds := range []float64{4, 7, 20} {
			due, found := ledger.Due(at(seconds), live)
			otherDue, otherFound := other.Due(at(seconds), live)
			if found != otherFound || due.Index != otherDue.Index || len(due.Teams) != len(otherDue.Teams) || len(due.Teams) > 0 && due.Teams[0] != otherDue.Teams[0] {
				t.Fatalf("%v %v in one order, %v %v in another", due, found, otherDue, otherFound)
			}
		}
	})
}
