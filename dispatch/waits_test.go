package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestShortestWait(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	verdict := func(millis int, reason coltsfootlink.Reason) coltsfootlink.Verdict {
		return coltsfootlink.Verdict{WaitMillis: millis, Reason: reason}
	}
	cases := map[string]struct {
		verdicts map[coltsfootlink.TargetName]coltsfootlink.Verdict
		// age is the age of the verdicts.
		age      time.Duration
		tried    coltsfootlink.TargetName
		expected coltsfootlink.TargetName
	}{
		"the shortest wait":                             {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": verdict(300, ""), "t-2": verdict(20, ""), "t-3": verdict(200, "")}, 0, "", "t-2"},
		"a full target whose wait has passed since":     {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": verdict(300, coltsfootlink.TargetFull), "t-2": verdict(900, ""), "t-3": verdict(900, "")}, time.Second, "t-2", "t-1"},
		"not a target that takes no requests":           {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": verdict(0, coltsfootlink.TargetCold), "t-2": verdict(500, ""), "t-3": verdict(900, "")}, 0, "", "t-2"},
		"a target that was asked after the deadline":    {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": verdict(0, coltsfootlink.PastDeadline), "t-2": verdict(500, ""), "t-3": verdict(900, "")}, 0, "", "t-1"},
		"not a target that was tried":                   {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": verdict(0, ""), "t-2": verdict(500, ""), "t-3": verdict(900, "")}, 0, "t-1", "t-2"},
		"a target without an estimate before busy ones": {map[coltsfootlink.TargetName]coltsfootlink.Verdict{"t-1": verdict(900, ""), "t-2": verdict(900, "")}, 0, "", "t-3"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, _ := newTask()
			estimates := make(waitEstimates)
			for target, verdict := range test.verdicts {
				estimates.record(now, target, verdict)
			}
			target, found := estimates.shortest(now.Add(test.age), task.catalog, "p", map[coltsfootlink.TargetName]bool{test.tried: true})
			So(found, ShouldBeTrue)
			So(target.Name, ShouldEqual, test.expected)
		})
	}
}
