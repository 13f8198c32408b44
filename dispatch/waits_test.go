package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestLeastWait(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	word := func(millis int, reason coltsfootlink.Reason) coltsfootlink.Verdict {
		return coltsfootlink.Verdict{WaitMillis: millis, Reason: reason}
	}
	cases := map[string]struct {
		words map[coltsfootlink.TargetName]coltsfootlink.Verdict
		// later is how long ago the words are.
		later time.Duration
		tried coltsfootlink.TargetName
		least coltsfootlink.TargetName
	}{
		"the shortest wait":            {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": word(300, ""), "t-2": word(20, ""), "t-3": word(200, "")}, 0, "", "t-2"},
		"a full one that has drained":  {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": word(300, coltsfootlink.TargetFull), "t-2": word(900, ""), "t-3": word(900, "")}, time.Second, "t-2", "t-1"},
		"not one that takes nothing":   {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": word(0, coltsfootlink.TargetCold), "t-2": word(500, ""), "t-3": word(900, "")}, 0, "", "t-2"},
		"one that was asked too late":  {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": word(0, coltsfootlink.PastDeadline), "t-2": word(500, ""), "t-3": word(900, "")}, 0, "", "t-1"},
		"not one that was tried":       {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": word(0, ""), "t-2": word(500, ""), "t-3": word(900, "")}, 0, "t-1", "t-2"},
		"an unknown one before a full": {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": word(900, ""), "t-2": word(900, "")}, 0, "", "t-3"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, _ := newTask()
			known := make(waits)
			for target, verdict := range test.words {
				known.note(now, target, verdict)
			}
			target, found := known.least(now.Add(test.later), task.catalog, "p", map[coltsfootlink.TargetName]bool{test.tried: true})
			So(found, ShouldBeTrue)
			So(target.Name, ShouldEqual, test.least)
		})
	}
}
