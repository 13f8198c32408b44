package main

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// noon is when the histories of tests begin.
var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// after returns a time so many milliseconds after noon.
func after(millis int) time.Time { return noon.Add(time.Duration(millis) * time.Millisecond) }

// asked returns an attempt that began and ended so many milliseconds after noon.
func asked(id string, status, sent, ended int) attempt {
	return attempt{
		id: id, route: unsafeRoute, team: steadyTeam, key: "key", sent: after(sent), first: after(ended), ended: after(ended),
		status: status, complete: true, stamp: "stamp-" + id,
	}
}

// ran returns the arrival of a request that was run.
func ran(id, target string, at int) arrival {
	return arrival{id: id, target: target, zone: "z", at: after(at), ran: true, stamp: "stamp-" + id}
}

// many adds arrivals at a cold target, so many milliseconds apart.
func many(seen history, count, apart int) history {
	for place := range count {
		arrived := ran("r", "t", place*apart)
		arrived.cold, arrived.repeatable = true, true
		seen = seen.WithArrival(arrived)
	}
	return seen
}

func TestRules(t *testing.T) {
	var none history
	gone := order{kind: keyGone, name: "key", acked: noon}
	frozen := disruption{step: step{Kind: frozenKind, Subject: onInstance}, from: after(1000), to: after(1100)}
	stopped := disruption{step: step{Kind: stoppedKind, Subject: onInstance}, from: after(1000), to: after(9000)}
	cut := asked("r", okStatus, 900, 1500)
	cut.complete = false
	foreign := asked("r", okStatus, 0, 9)
	foreign.stamp = "stamp-other"
	spoilt := asked("r", okStatus, 0, 9)
	spoilt.fault = "bytes"
	unsigned := asked("r", okStatus, 0, 9)
	unsigned.stamp = ""
	changed := ran("r", "t", 1)
	changed.fault = "path"
	repeated := ran("r", "t", 1)
	repeated.repeatable = true
	misdirected := ran("r", "t", 3500)
	misdirected.misdirected = true
	unserved := call{name: "c", route: safeRoute, team: steadyTeam, began: after(20000), ended: after(21000)}
	served := unserved
	served.served = true
	left := none
	for _, id := range []string{"a", "b", "c", "d"} {
		given := asked(id, 0, 0, 9)
		given.complete = false
		left = left.WithAttempt(given).WithArrival(ran(id, "t", 600))
	}
	cases := map[string]struct {
		rule   string
		seen   history
		broken bool
	}{
		"a whole answer":                        {"whole", none.WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(ran("r", "t", 1)), false},
		"an answer of another request":          {"whole", none.WithAttempt(foreign).WithArrival(ran("other", "t", 1)), true},
		"an answer that nobody gave":            {"whole", none.WithAttempt(asked("r", okStatus, 0, 9)), true},
		"an answer with other bytes":            {"whole", none.WithAttempt(spoilt).WithArrival(ran("r", "t", 1)), true},
		"a success that nobody signed":          {"whole", none.WithAttempt(unsigned), true},
		"a request with another path":           {"unasked", none.WithArrival(changed), true},
		"a request that ran twice":              {"once", none.WithArrival(ran("r", "t", 1)).WithArrival(ran("r", "u", 2)), true},
		"a repeatable request that ran twice":   {"once", none.WithArrival(repeated).WithArrival(repeated), false},
		"a refused request that ran":            {"refused", none.WithAttempt(asked("r", http.StatusServiceUnavailable, 0, 9)).WithArrival(ran("r", "t", 5000)), true},
		"a failed request that ran":             {"refused", none.WithAttempt(asked("r", http.StatusBadGateway, 0, 9)).WithArrival(ran("r", "t", 5)), false},
		"a revoked key in time":                 {"revoked", none.WithOrder(gone).WithAttempt(asked("r", okStatus, 2900, 2910)), false},
		"a revoked key that opens":              {"revoked", none.WithOrder(gone).WithAttempt(asked("r", okStatus, 3100, 3110)), true},
		"a revoked key after a freeze":          {"revoked", none.WithOrder(gone).WithDisruption(frozen).WithAttempt(asked("r", okStatus, 3100, 3110)), false},
		"a revoked key that is refused":         {"revoked", none.WithOrder(gone).WithAttempt(asked("r", http.StatusUnauthorized, 3100, 3110)), false},
		"a drained target in time":              {"drain", none.WithOrder(order{kind: drained, name: "t", acked: noon}).WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(ran("r", "t", 2900)), false},
		"a drained target, late":                {"drain", none.WithOrder(order{kind: drained, name: "t", acked: noon}).WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(ran("r", "t", 3100)), true},
		"a drained target that turns away":      {"drain", none.WithOrder(order{kind: drained, name: "t", acked: noon}).WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(misdirected), false},
		"a zone that is out, late":              {"zones", none.WithOrder(order{kind: zoneOut, name: "z", acked: noon}).WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(ran("r", "t", 5100)), true},
		"a zone that is back":                   {"zones", none.WithOrder(order{kind: zoneOut, name: "z", acked: noon}).WithOrder(order{kind: zoneOut, name: "z", acked: after(5000), ends: after(5000)}).WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(ran("r", "t", 5100)), false},
		"a cold target at its pace":             {"cold", many(none, 60, 60), false},
		"a cold target that is overrun":         {"cold", many(none, 60, 40), true},
		"a small stream of retries":             {"budget", many(none.WithAttempt(asked("r", okStatus, 0, 9)), 40, 1), false},
		"more retries than the budget":          {"budget", many(none.WithAttempt(asked("r", okStatus, 0, 9)), 60, 1), true},
		"a request lost in a stop":              {"lost", none.WithDisruption(stopped).WithAttempt(cut).WithArrival(ran("r", "t", 950)), true},
		"a request lost in a freeze":            {"lost", none.WithDisruption(stopped).WithDisruption(frozen).WithAttempt(cut).WithArrival(ran("r", "t", 950)), false},
		"a call that is served once it is calm": {"recover", none.WithCalm(noon).WithCall(served), false},
		"a call that is not":                    {"recover", none.WithCalm(noon).WithCall(unserved), true},
		"a call too early after the faults":     {"recover", none.WithCalm(after(10000)).WithCall(unserved), false},
		"requests that go on for nobody":        {"gone", left, true},
		"requests for a caller that waits":      {"gone", none.WithAttempt(asked("r", okStatus, 0, 9)).WithArrival(ran("r", "t", 5)), false},
		"an instance that ended":                {"running", none.WithEnding("gateway-0 ended by itself"), true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(len(rules()[test.rule](test.seen)) > 0, ShouldEqual, test.broken)
		})
	}
}

func TestFairShares(t *testing.T) {
	cases := map[string]struct {
		// got is how many of the twenty requests of a team in a second were served.
		got    int
		broken bool
	}{
		"a team that gets its share":   {20, false},
		"a team that gets half of it":  {10, false},
		"a team that gets hardly any":  {2, true},
		"a team that gets nothing new": {0, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			seen := history{}.WithCall(call{began: noon})
			for second := range 8 {
				for place := range 20 {
					at := 1000*second + place
					for team, got := range map[string]int{steadyTeam: test.got, floodTeam: 20} {
						tried := asked("r", okStatus, at, at+1)
						tried.team = team
						if place >= got {
							tried.status = http.StatusServiceUnavailable
						}
						seen = seen.WithAttempt(tried)
					}
				}
			}
			So(len(fairShares(seen)) > 0, ShouldEqual, test.broken)
		})
	}
}
