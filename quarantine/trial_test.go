package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTrialsHaveNoOtherSuspects guards against sound parts that stay barred, because their trials are requests with the part
// that does crash targets.
func TestTrialsHaveNoOtherSuspects(t *testing.T) {
	state := knownState()
	state = state.WithCrash(start, crashOf("1", "cd", 0, 100)).WithCrash(start, crashOf("2", "cx", 100, 200))
	cases := map[string]struct {
		parts string
		// after is the time from when the trial is due.
		after time.Duration
		may   bool
	}{
		"before it is due":                      {"ce", -time.Millisecond, false},
		"without other suspects":                {"ce", 0, true},
		"with the part that crashes targets":    {"cd", 0, false},
		"with a part that stood beside a crash": {"cx", 0, false},
		"with a suspect, and no other came":     {"cd", trialPatience, true},
	}
	for name, test := range cases {
		Convey("a trial tells something of the barred parts: "+name, t, func() {
			So(state.Bars(), ShouldHaveLength, 1)
			bar := state.Bars()[0]
			So(bar.Parts, ShouldResemble, partsOf(crashOf("1", "c", 0, 0)))
			So(bar.MayTry(bar.TrialAt.Add(test.after), partsOf(crashOf("3", test.parts, 0, 0))), ShouldEqual, test.may)
		})
	}
}
