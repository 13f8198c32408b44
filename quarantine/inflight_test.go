package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestCrashesUntilPartsAreBarred plays crashes in which, beside the crashing request, other answers had just begun on the target
// too. Sound requests are answered on other targets in between, as they are while one of many is down.
func TestCrashesUntilPartsAreBarred(t *testing.T) {
	// begunShare is the share of the requests on a target whose answers have just begun.
	const begunShare, between, soundParts = 0.05, 300, 40
	for _, inFlight := range []int{1, 16, 128} {
		for _, crashing := range []string{"D", "DE"} {
			Convey(fmt.Sprintf("%d requests on a target, %d crashing parts: two crashes for each part, and no sound part is barred", inFlight, len(crashing)), t, func() {
				state := knownState()
				crashes, wrong, at := 0, 0, 0
				sound := func(number int) string { return "c" + string(rune(1000+number%soundParts)) }
				for len(state.Bars()) < len(crashing) && crashes < 50 {
					at += between
					for number := range soundParts {
						state = state.WithAnswered(start.Add(time.Duration(at)*time.Millisecond), prompt(sound(number)))
					}
					part := string(crashing[crashes%len(crashing)])
					state = state.WithCrash(start, crashOf(fmt.Sprint("d", crashes), "c"+part, at+1, at+100))
					for number := range int(begunShare * float64(inFlight)) {
						state = state.WithCrash(start, crashOf(fmt.Sprint("s", crashes, "-", number), sound(crashes+number), at+1, at+100))
					}
					crashes++
					for number := range soundParts {
						if _, held := (View{}).WithBars("p", state.Bars()).Bar("p", prompt(sound(number))); held {
							wrong++
						}
					}
				}
				So(crashes, ShouldEqual, minCrashes*len(crashing))
				So(wrong, ShouldEqual, 0)
				So(state.Bars()[0].Holds([]coltsfootlink.PartID{'c', 'D'}), ShouldBeTrue)
			})
		}
	}
}
