package notice

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

var start = time.UnixMilli(1_700_000_000_000)

func target(name coltsfootlink.TargetName, incarnation uint64) coltsfootlink.Target {
	return coltsfootlink.Target{Name: name, Pool: "p", Incarnation: incarnation}
}

func TestRefusal(t *testing.T) {
	leaving := coltsfootlink.TargetNotice{Target: "t", Incarnation: 3, Leaving: true}
	backoff := coltsfootlink.TargetNotice{Target: "t", Incarnation: 3, RetryAt: start.Add(2 * time.Second)}
	shorter := coltsfootlink.TargetNotice{Target: "t", Incarnation: 3, RetryAt: start.Add(time.Second)}
	cases := map[string]struct {
		notices []coltsfootlink.TargetNotice
		catalog *coltsfootlink.Catalog
		target  coltsfootlink.Target
		after   time.Duration
		reason  coltsfootlink.Reason
	}{
		"nothing was announced":                        {nil, nil, target("t", 3), 0, ""},
		"it is leaving":                                {[]coltsfootlink.TargetNotice{leaving}, nil, target("t", 3), time.Hour, coltsfootlink.TargetLeaving},
		"another target is leaving":                    {[]coltsfootlink.TargetNotice{leaving}, nil, target("u", 3), 0, ""},
		"its previous incarnation was leaving":         {[]coltsfootlink.TargetNotice{leaving}, nil, target("t", 4), 0, ""},
		"it wants no requests for two seconds":         {[]coltsfootlink.TargetNotice{backoff}, nil, target("t", 3), 1999 * time.Millisecond, coltsfootlink.TargetBackoff},
		"the two seconds are over":                     {[]coltsfootlink.TargetNotice{backoff}, nil, target("t", 3), 2 * time.Second, ""},
		"a later answer names an earlier time":         {[]coltsfootlink.TargetNotice{backoff, shorter}, nil, target("t", 3), 1500 * time.Millisecond, coltsfootlink.TargetBackoff},
		"it wants no requests, and then leaves":        {[]coltsfootlink.TargetNotice{backoff, leaving}, nil, target("t", 3), time.Hour, coltsfootlink.TargetLeaving},
		"it leaves, and then wants no requests":        {[]coltsfootlink.TargetNotice{leaving, backoff}, nil, target("t", 3), time.Hour, coltsfootlink.TargetLeaving},
		"it is leaving, and its record says ready":     {[]coltsfootlink.TargetNotice{leaving}, catalogOf(target("t", 3)), target("t", 3), time.Minute, coltsfootlink.TargetLeaving},
		"it is leaving, and its record expired":        {[]coltsfootlink.TargetNotice{leaving}, catalogOf(), target("t", 3), time.Minute, coltsfootlink.TargetLeaving},
		"it was leaving, and its record expired early": {[]coltsfootlink.TargetNotice{leaving}, catalogOf(), target("t", 3), time.Hour, ""},
		"it has restarted since it was leaving":        {[]coltsfootlink.TargetNotice{leaving}, catalogOf(target("t", 4)), target("t", 4), time.Minute, ""},
	}
	for name, test := range cases {
		Convey("a target takes requests unless it announced otherwise: "+name, t, func() {
			var state State
			for _, notice := range test.notices {
				state, _ = state.WithNotice(start, notice)
			}
			now := start.Add(test.after)
			if test.catalog != nil {
				state = state.WithCatalog(now, *test.catalog)
			}
			reason, retryAt := state.Refusal(now, test.target)
			So(reason, ShouldEqual, test.reason)
			So(retryAt.After(now), ShouldEqual, reason == coltsfootlink.TargetBackoff)
		})
	}
}

// catalogOf returns a catalog with these targets.
func catalogOf(targets ...coltsfootlink.Target) *coltsfootlink.Catalog {
	var catalog coltsfootlink.Catalog
	for _, target := range targets {
		catalog = catalog.WithTarget(target)
	}
	return &catalog
}

func TestNews(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := map[string]struct {
		known, notice coltsfootlink.TargetNotice
		news          bool
	}{
		"the first announcement of leaving": {coltsfootlink.TargetNotice{}, coltsfootlink.TargetNotice{Target: "t", Leaving: true}, true},
		"leaving once more":                 {coltsfootlink.TargetNotice{Target: "t", Leaving: true}, coltsfootlink.TargetNotice{Target: "t", Leaving: true}, false},
		"the next incarnation leaves":       {coltsfootlink.TargetNotice{Target: "t", Leaving: true}, coltsfootlink.TargetNotice{Target: "t", Incarnation: 1, Leaving: true}, true},
		"the same time once more":           {coltsfootlink.TargetNotice{Target: "t", RetryAt: at(1)}, coltsfootlink.TargetNotice{Target: "t", RetryAt: at(1.05)}, false},
		"a later time":                      {coltsfootlink.TargetNotice{Target: "t", RetryAt: at(1)}, coltsfootlink.TargetNotice{Target: "t", RetryAt: at(2)}, true},
		"a time that has passed":            {coltsfootlink.TargetNotice{}, coltsfootlink.TargetNotice{Target: "t", RetryAt: at(-1)}, false},
		"nothing":                           {coltsfootlink.TargetNotice{}, coltsfootlink.TargetNotice{Target: "t"}, false},
	}
	for name, test := range cases {
		Convey("only news is passed on: "+name, t, func() {
			state, _ := State{}.WithNotice(start, test.known)
			_, news := state.WithNotice(start, test.notice)
			So(news, ShouldEqual, test.news)
		})
	}
}

// TestAnnouncementsHold draws announcements, restarts, records that come and go, and clocks that jump, and checks that a
// target that said it is leaving takes no request before it has restarted, and one that named a time none before that.
func TestAnnouncementsHold(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		names := []coltsfootlink.TargetName{"a", "b", "c", "d"}
		incarnations := make(map[coltsfootlink.TargetName]uint64)
		listed := make(map[coltsfootlink.TargetName]bool)
		leaving := make(map[coltsfootlink.TargetName]bool)
		retryAt := make(map[coltsfootlink.TargetName]time.Time)
		for _, name := range names {
			listed[name] = true
		}
		var state State
		now := start
		for range rapid.IntRange(1, 60).Draw(draw, "steps") {
			name := rapid.SampledFrom(names).Draw(draw, "target")
			switch rapid.IntRange(0, 4).Draw(draw, "kind") {
			case 0:
				now = now.Add(time.Duration(rapid.Int64Range(-2000, 5000).Draw(draw, "millis")) * time.Millisecond)
			case 1:
				incarnations[name]++
				delete(leaving, name)
				delete(retryAt, name)
			case 2:
				listed[name] = !listed[name]
			case 3:
				leaving[name] = true
				state, _ = state.WithNotice(now, coltsfootlink.TargetNotice{Target: name, Incarnation: incarnations[name], Leaving: true})
			case 4:
				until := now.Add(time.Duration(rapid.Int64Range(1, 60_000).Draw(draw, "backoff")) * time.Millisecond)
				if until.After(retryAt[name]) {
					retryAt[name] = until
				}
				state, _ = state.WithNotice(now, coltsfootlink.TargetNotice{Target: name, Incarnation: incarnations[name], RetryAt: until})
			}
			var catalog coltsfootlink.Catalog
			for _, other := range names {
				if listed[other] {
					catalog = catalog.WithTarget(target(other, incarnations[other]))
				}
			}
			state = state.WithCatalog(now, catalog)
			for _, other := range names {
				reason, _ := state.Refusal(now, target(other, incarnations[other]))
				switch {
				case leaving[other] && reason != coltsfootlink.TargetLeaving:
					draw.Fatalf("%s is leaving, but the reason is %q", other, reason)
				case now.Before(retryAt[other].Add(-minExtension)) && reason == "":
					draw.Fatalf("%s wants no requests for %v, but takes some", other, retryAt[other].Sub(now))
				case !leaving[other] && !now.Before(retryAt[other]) && reason != "":
					draw.Fatalf("%s takes requests, but the reason is %q", other, reason)
				}
			}
		}
	})
}
