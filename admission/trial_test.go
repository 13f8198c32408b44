package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestOneTrialOfBarredPartsAtATime(t *testing.T) {
	cases := map[string]struct {
		trial, next uint64
		after       time.Duration
		reason      coltsfootlink.Reason
	}{
		"the same parts":              {7, 7, time.Second, coltsfootlink.TrialRunning},
		"the same parts later":        {7, 7, trialDuration, ""},
		"other parts":                 {7, 8, time.Second, ""},
		"a request that is no trial":  {7, 0, time.Second, ""},
		"a trial after other request": {0, 7, time.Second, ""},
	}
	for name, test := range cases {
		Convey("the owner of a target permits one trial of barred parts at a time: "+name, t, func() {
			task, last := ownerTask(start)
			task.trials = make(map[uint64]time.Time)
			for serial, trial := range []uint64{test.trial, test.next} {
				now := start.Add(time.Duration(serial) * test.after)
				task.Clock = fixedClock{now}
				asked := ask(now, uint64(serial+1), prompt(serial, 800, 9), time.Second)
				asked.Trial = trial
				task.handle(coltsfootlink.Delivery{From: coltsfootlink.InstanceName(name), Message: asked})
			}
			So(last.Reason, ShouldEqual, test.reason)
		})
	}
}
