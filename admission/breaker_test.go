package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestBreaker checks how many requests a target gets while its requests fail, and that it gets all of them again once
// they succeed.
func TestBreaker(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	step := 20 * time.Millisecond
	cases := map[string]struct {
		// fails reports whether the request with a given number fails.
		fails func(number int) bool
		// least and most are the bounds for how many of 500 requests in ten seconds are sent.
		least, most int
	}{
		"none fail":              {func(int) bool { return false }, 499, 500},
		"one in ten fails":       {func(number int) bool { return number%10 == 0 }, 499, 500},
		"every second one fails": {func(number int) bool { return number%2 == 0 }, 499, 500},
		"all fail, whatever the health check returns": {func(int) bool { return true }, 9, 20},
		"the first ten fail":                          {func(number int) bool { return number < 10 }, 250, 400},
		"the first ten fail, and ten later ones":      {func(number int) bool { return number < 10 || number >= 100 && number < 110 }, 100, 250},
	}
	for name, test := range cases {
		Convey("a failing target gets only trial requests until one succeeds: "+name, t, func() {
			ledger := NewLedger(start, coltsfootlink.Target{Name: "t", Slots: 100}, coltsfootlink.PoolTraits{}, Policy{})
			now, sent := start.Add(settleDelay), 0
			for range 500 {
				now = now.Add(step)
				ask := coltsfootlink.Ask{Serial: uint64(now.UnixNano()), Target: "t", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}
				updated, verdict := ledger.WithAsk(now, "i", ask)
				ledger = updated
				if verdict.Reason != "" {
					So(verdict.Reason, ShouldEqual, coltsfootlink.TargetFailing)
					So(verdict.RetryAt, ShouldHappenAfter, now)
					continue
				}
				result := coltsfootlink.Succeeded
				if test.fails(sent) {
					result = coltsfootlink.Failed
				}
				sent++
				ledger = ledger.WithProgress(now, "i", coltsfootlink.Progress{Serial: ask.Serial, Target: "t", Stage: coltsfootlink.Ended, Result: result})
			}
			So(sent, ShouldBeBetweenOrEqual, test.least, test.most)
		})
	}
	Convey("the breaker is closed for a new incarnation of the target", t, func() {
		ledger := NewLedger(start, coltsfootlink.Target{Name: "t", Slots: 100}, coltsfootlink.PoolTraits{}, Policy{})
		for range 20 {
			ledger.breaker = ledger.breaker.withResult(start, start, true)
		}
		So(ledger.breaker.open(), ShouldBeTrue)
		So(ledger.WithTarget(coltsfootlink.Target{Name: "t", Slots: 100}, coltsfootlink.PoolTraits{}).breaker.open(), ShouldBeTrue)
		So(ledger.WithTarget(coltsfootlink.Target{Name: "t", Slots: 100, Incarnation: 2}, coltsfootlink.PoolTraits{}).breaker.open(), ShouldBeFalse)
	})
}
