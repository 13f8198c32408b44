package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// noon is when the histories in the tests begin.
var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// after returns the time a number of milliseconds after noon.
func after(millis int) time.Time { return noon.Add(time.Duration(millis) * time.Millisecond) }

// makeAttempt returns an attempt with a complete answer, sent and ended at the given milliseconds after noon.
func makeAttempt(id string, status, sent, ended int) attempt {
	return attempt{
		id: id, route: unsafeRoute, team: steadyTeam, key: "key", sent: after(sent), firstByte: after(ended), ended: after(ended),
		status: status, complete: true, stamp: "stamp-" + id,
	}
}

// makeArrival returns the arrival of a request that was executed, at the given milliseconds after noon.
func makeArrival(id, target string, at int) arrival {
	return arrival{id: id, target: target, zone: "z", at: after(at), ran: true, stamp: "stamp-" + id}
}

// withColdArrivals adds arrivals of one repeatable request at a cold target, the given milliseconds apart.
func withColdArrivals(seen history, count, apart int) history {
	for index := range count {
		arrival := makeArrival("r", "t", index*apart)
		arrival.cold, arrival.repeatable = true, true
		seen = seen.WithArrival(arrival)
	}
	return seen
}

// leaving returns a history in which a target announces at noon that it leaves, and gets a request of the same instance
// that is sent some milliseconds later.
func leaving(millis int) history {
	told := makeArrival("told", "t", 0)
	told.leaving = true
	return history{}.WithAttempt(makeAttempt("told", okStatus, 0, 0)).WithArrival(told).
		WithAttempt(makeAttempt("later", okStatus, millis, millis+9)).WithArrival(makeArrival("later", "t", millis+1))
}

// backedOff returns a history in which a target refuses a request at noon and asks for none for two seconds, and gets some
// more of the same instance from some milliseconds on.
func backedOff(count, millis int) history {
	refused := arrival{id: "refused", target: "t", at: noon, backoff: 2 * time.Second}
	seen := history{}.WithAttempt(makeAttempt("refused", http.StatusServiceUnavailable, 0, 1)).WithArrival(refused)
	for index := range count {
		id := fmt.Sprint("later-", index)
		seen = seen.WithAttempt(makeAttempt(id, okStatus, millis+index, millis+index+9)).WithArrival(makeArrival(id, "t", millis+index))
	}
	return seen
}

// crashing returns a history in which requests crash targets every few milliseconds from noon on, and sound ones that begin
// eight seconds after the last crash all end with a status.
func crashing(count, apart, status int) history {
	var seen history
	for index := range count {
		id, at := fmt.Sprint("d-", index), index*apart
		if index >= crashesToLearn {
			at += 3000
		}
		arrival := makeArrival(id, fmt.Sprint("t-", index), at)
		arrival.crashing = true
		seen = seen.WithArrival(arrival).WithAttempt(makeAttempt(id, http.StatusBadGateway, at, at+9))
	}
	for index := range minSound {
		sound := makeAttempt(fmt.Sprint("s-", index), status, 60_000+index, 60_009)
		sound.route = streamRoute
		seen = seen.WithAttempt(sound)
	}
	return seen
}

func TestRules(t *testing.T) {
	var empty history
	leavingElsewhere := leaving(3100)
	leavingElsewhere.attempts[1].instance = 1
	revoked := order{kind: keyGone, name: "key", acked: noon}
	frozen := disruption{step: step{Kind: frozenKind, Subject: onInstance}, from: after(1000), to: after(1100)}
	stopped := disruption{step: step{Kind: stoppedKind, Subject: onInstance}, from: after(1000), to: after(9000)}
	truncated := makeAttempt("r", okStatus, 900, 1500)
	truncated.complete = false
	misattributed := makeAttempt("r", okStatus, 0, 9)
	misattributed.stamp = "stamp-other"
	corrupted := makeAttempt("r", okStatus, 0, 9)
	corrupted.defect = "bytes"
	unsigned := makeAttempt("r", okStatus, 0, 9)
	unsigned.stamp = ""
	altered := makeArrival("r", "t", 1)
	altered.alteration = "path"
	repeated := makeArrival("r", "t", 1)
	repeated.repeatable = true
	misdirected := makeArrival("r", "t", 3500)
	misdirected.misdirected = true
	unserved := call{name: "c", route: safeRoute, team: steadyTeam, began: after(20000), ended: after(21000)}
	served := unserved
	served.served = true
	abandoned := empty
	for _, id := range []string{"a", "b", "c", "d"} {
		attempt := makeAttempt(id, 0, 0, 9)
		attempt.complete = false
		abandoned = abandoned.WithAttempt(attempt).WithArrival(makeArrival(id, "t", 600))
	}
	cases := map[string]struct {
		rule     string
		seen     history
		violated bool
	}{
		"a complete answer":                                         {"whole", empty.WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(makeArrival("r", "t", 1)), false},
		"an answer to another request":                              {"whole", empty.WithAttempt(misattributed).WithArrival(makeArrival("other", "t", 1)), true},
		"an answer whose stamp no target issued":                    {"whole", empty.WithAttempt(makeAttempt("r", okStatus, 0, 9)), true},
		"an answer with wrong bytes":                                {"whole", empty.WithAttempt(corrupted).WithArrival(makeArrival("r", "t", 1)), true},
		"a success without a stamp":                                 {"whole", empty.WithAttempt(unsigned), true},
		"a request with an altered path":                            {"unasked", empty.WithArrival(altered), true},
		"a request that ran twice":                                  {"once", empty.WithArrival(makeArrival("r", "t", 1)).WithArrival(makeArrival("r", "u", 2)), true},
		"a repeatable request that ran twice":                       {"once", empty.WithArrival(repeated).WithArrival(repeated), false},
		"a refused request that ran":                                {"refused", empty.WithAttempt(makeAttempt("r", http.StatusServiceUnavailable, 0, 9)).WithArrival(makeArrival("r", "t", 5000)), true},
		"a request that ran and was answered 502":                   {"refused", empty.WithAttempt(makeAttempt("r", http.StatusBadGateway, 0, 9)).WithArrival(makeArrival("r", "t", 5)), false},
		"a revoked key accepted before the table timeout":           {"revoked", empty.WithOrder(revoked).WithAttempt(makeAttempt("r", okStatus, 2900, 2910)), false},
		"a revoked key accepted after the table timeout":            {"revoked", empty.WithOrder(revoked).WithAttempt(makeAttempt("r", okStatus, 3100, 3110)), true},
		"a revoked key accepted soon after the instance was frozen": {"revoked", empty.WithOrder(revoked).WithDisruption(frozen).WithAttempt(makeAttempt("r", okStatus, 3100, 3110)), false},
		"a revoked key that is refused":                             {"revoked", empty.WithOrder(revoked).WithAttempt(makeAttempt("r", http.StatusUnauthorized, 3100, 3110)), false},
		"a request to a draining target before the timeout":         {"drain", empty.WithOrder(order{kind: drained, name: "t", acked: noon}).WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(makeArrival("r", "t", 2900)), false},
		"a request to a draining target after the timeout":          {"drain", empty.WithOrder(order{kind: drained, name: "t", acked: noon}).WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(makeArrival("r", "t", 3100)), true},
		"a misdirected request to a draining target":                {"drain", empty.WithOrder(order{kind: drained, name: "t", acked: noon}).WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(misdirected), false},
		"a request soon after a target announced that it leaves":    {"leaving", leaving(2900), false},
		"a request long after a target announced that it leaves":    {"leaving", leaving(3100), true},
		"a request after the instance that was told was frozen":     {"leaving", leaving(3100).WithDisruption(frozen), false},
		"a request of another instance":                             {"leaving", leavingElsewhere, false},
		"two requests to a target that asked for none":              {"backoff", backedOff(2, 1000), false},
		"three requests to a target that asked for none":            {"backoff", backedOff(3, 1000), true},
		"three requests right after a target asked for none":        {"backoff", backedOff(3, 400), false},
		"three requests once a target wants some again":             {"backoff", backedOff(3, 2100), false},
		"three requests of an instance that was frozen":             {"backoff", backedOff(3, 1000).WithDisruption(frozen), false},
		"a request to a zone out of service after the timeout":      {"zones", empty.WithOrder(order{kind: zoneOut, name: "z", acked: noon}).WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(makeArrival("r", "t", 5100)), true},
		"a request to a zone returned to service":                   {"zones", empty.WithOrder(order{kind: zoneOut, name: "z", acked: noon}).WithOrder(order{kind: zoneOut, name: "z", acked: after(5000), ends: after(5000)}).WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(makeArrival("r", "t", 5100)), false},
		"a cold target within its rate":                             {"cold", withColdArrivals(empty, 60, 60), false},
		"a cold target above its rate":                              {"cold", withColdArrivals(empty, 60, 40), true},
		"retries within the budget":                                 {"budget", withColdArrivals(empty.WithAttempt(makeAttempt("r", okStatus, 0, 9)), 40, 1), false},
		"retries above the budget":                                  {"budget", withColdArrivals(empty.WithAttempt(makeAttempt("r", okStatus, 0, 9)), 60, 1), true},
		"a request lost in a graceful shutdown":                     {"lost", empty.WithDisruption(stopped).WithAttempt(truncated).WithArrival(makeArrival("r", "t", 950)), true},
		"a request lost while the instance was frozen":              {"lost", empty.WithDisruption(stopped).WithDisruption(frozen).WithAttempt(truncated).WithArrival(makeArrival("r", "t", 950)), false},
		"a call served after recovery":                              {"recover", empty.WithFaultsOver(noon).WithCall(served), false},
		"a call not served after recovery":                          {"recover", empty.WithFaultsOver(noon).WithCall(unserved), true},
		"a call not served before the recovery timeout":             {"recover", empty.WithFaultsOver(after(10000)).WithCall(unserved), false},
		"requests that arrive after their callers gave up":          {"gone", abandoned, true},
		"a request that arrives while its caller waits":             {"gone", empty.WithAttempt(makeAttempt("r", okStatus, 0, 9)).WithArrival(makeArrival("r", "t", 5)), false},
		"requests that crash targets, soon after the fifth crash":   {"prompts", crashing(9, 900, okStatus), false},
		"requests that crash targets, long after the fifth crash":   {"prompts", crashing(9, 2000, okStatus), true},
		"few requests that crash targets after the fifth crash":     {"prompts", crashing(8, 2000, okStatus), false},
		"sound requests beside those that crash targets, refused":   {"prompts", crashing(5, 1, http.StatusServiceUnavailable), true},
		"an instance that exited unexpectedly":                      {"running", empty.WithExit("gateway-0 exited unexpectedly"), true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(len(rules()[test.rule](test.seen)) > 0, ShouldEqual, test.violated)
		})
	}
}

func TestFairShares(t *testing.T) {
	cases := map[string]struct {
		// served is how many of the twenty requests of a team in a second were served.
		served   int
		violated bool
	}{
		"a team that is served in full":                 {20, false},
		"a team that is served half of its requests":    {10, false},
		"a team that is served a tenth of its requests": {2, true},
		"a team that is served nothing":                 {0, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			seen := history{}.WithCall(call{began: noon})
			for second := range 8 {
				for index := range 20 {
					at := 1000*second + index
					for team, served := range map[string]int{steadyTeam: test.served, floodTeam: 20} {
						attempt := makeAttempt("r", okStatus, at, at+1)
						attempt.team = team
						if index >= served {
							attempt.status = http.StatusServiceUnavailable
						}
						seen = seen.WithAttempt(attempt)
					}
				}
			}
			So(len(fairShares(seen)) > 0, ShouldEqual, test.violated)
		})
	}
}
