package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestTargetsThatFailAreLeftAlone(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	step := 20 * time.Millisecond
	cases := map[string]struct {
		// fails says whether a request fails, by its number.
		fails func(number int) bool
		// least and most bound the requests that the target gets of 500 in ten seconds.
		least, most int
	}{
		"none fail":                        {func(int) bool { return false }, 499, 500},
		"one in ten":                       {func(number int) bool { return number%10 == 0 }, 499, 500},
		"each second one":                  {func(number int) bool { return number%2 == 0 }, 499, 500},
		"all, whatever its health says":    {func(int) bool { return true }, 9, 20},
		"all at first, and well then":      {func(number int) bool { return number < 10 }, 250, 400},
		"all for a while, and again later": {func(number int) bool { return number < 10 || number >= 100 && number < 110 }, 100, 250},
	}
	for name, test := range cases {
		Convey("a target whose requests fail gets few, and all again when it serves: "+name, t, func() {
			book := NewBook(start, coltsfootlink.Target{Name: "t", Slots: 100}, coltsfootlink.PoolTraits{}, Policy{})
			now, sent := start.Add(settleSpan), 0
			for range 500 {
				now = now.Add(step)
				ask := coltsfootlink.Ask{Serial: uint64(now.UnixNano()), Target: "t", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}
				after, verdict := book.WithAsk(now, "i", ask)
				book = after
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
				book = book.WithProgress(now, "i", coltsfootlink.Progress{Serial: ask.Serial, Target: "t", Stage: coltsfootlink.Ended, Result: result})
			}
			So(sent, ShouldBeBetweenOrEqual, test.least, test.most)
		})
	}
	Convey("a new start under the same name is trusted", t, func() {
		book := NewBook(start, coltsfootlink.Target{Name: "t", Slots: 100}, coltsfootlink.PoolTraits{}, Policy{})
		for range 20 {
			book.trust = book.trust.withResult(start, start, true)
		}
		So(book.trust.lost(), ShouldBeTrue)
		So(book.WithTarget(coltsfootlink.Target{Name: "t", Slots: 100}, coltsfootlink.PoolTraits{}).trust.lost(), ShouldBeTrue)
		So(book.WithTarget(coltsfootlink.Target{Name: "t", Slots: 100, Incarnation: 2}, coltsfootlink.PoolTraits{}).trust.lost(), ShouldBeFalse)
	})
}
