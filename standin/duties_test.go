package standin

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/platform"
)

// TestDutyRules guards against a checker that misses what the platform counts as a violation, or finds one that is none.
func TestDutyRules(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	report := func(millis int, holder string, token, window uint64, requests int) DutyCall {
		return DutyCall{At: began.Add(time.Duration(millis) * time.Millisecond), Holder: holder, Token: token, Usage: &platform.UsageDocument{WindowIndex: window, Counts: map[string]int{"t": requests}}}
	}
	order := func(millis int, holder string, token uint64, zone string) DutyCall {
		return DutyCall{At: began.Add(time.Duration(millis) * time.Millisecond), Holder: holder, Token: token, Scale: &platform.ScaleDocument{Service: "p", Zone: zone, DesiredCount: 3}}
	}
	cases := map[string]struct {
		calls []DutyCall
		// excused is the index of a call that is excused; none if negative.
		excused int
		found   []string
	}{
		"reports of one holder":                 {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "a", 1, 8, 4), report(9, "a", 1, 7, 3)}, -1, nil},
		"a successor repeats a report":          {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "b", 2, 7, 3)}, -1, nil},
		"other counts":                          {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "b", 2, 7, 4)}, -1, []string{"window 7 was sent with map[t:3] and then with map[t:4]"}},
		"a lower token":                         {[]DutyCall{report(0, "a", 2, 7, 3), report(9, "b", 1, 8, 3)}, -1, []string{"b called with token 1 for usage after token 2"}},
		"a lower token for another subject":     {[]DutyCall{order(0, "a", 2, "x"), order(9, "b", 1, "y")}, -1, nil},
		"one token for two holders":             {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "b", 1, 8, 3)}, -1, []string{"token 1 of usage was used by a and b"}},
		"holders alternate within the lease":    {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "b", 2, 8, 3), report(2999, "a", 3, 9, 3)}, -1, []string{"a called again 2.999s after its last call, and b in between"}},
		"holders alternate after the lease":     {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "b", 2, 8, 3), report(3000, "a", 3, 9, 3)}, -1, nil},
		"a resumed holder is excused":           {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "b", 2, 8, 3), report(10, "a", 1, 7, 3)}, 2, nil},
		"but not with other counts of a window": {[]DutyCall{report(0, "a", 1, 7, 3), report(9, "a", 1, 7, 4)}, 1, []string{"window 7 was sent with map[t:3] and then with map[t:4]"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			rules := DutyRules{Lease: 3 * time.Second}
			var all, found []string
			for index, call := range test.calls {
				rules, found = rules.WithCall(call, index == test.excused)
				all = append(all, found...)
			}
			So(all, ShouldResemble, test.found)
		})
	}
}
