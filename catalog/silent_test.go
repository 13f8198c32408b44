package catalog

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// fleetOf returns a view with as many instances in each of some zones.
func fleetOf(zones, perZone int) coltsfootlink.View {
	var view coltsfootlink.View
	for zone := range zones {
		for number := range perZone {
			name := coltsfootlink.InstanceName(fmt.Sprintf("i-%d-%d", zone, number))
			view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name, Zone: coltsfootlink.ZoneName(fmt.Sprint(zone))}, Live: true})
		}
	}
	return view
}

// TestReadersNoticeSilentConnectionsSoon guards against all readers waiting for the store until about the same time: after all
// connections have gone silent at once, the fleet was without news for a whole wait and a timeout, longer than operators'
// changes may take.
func TestReadersNoticeSilentConnectionsSoon(t *testing.T) {
	// allowed is how long the first reader may go on waiting, so that its timeout and the next read fit into the 2 s that a
	// change may take.
	const allowed = 800 * time.Millisecond
	cases := map[string]struct{ zones, perZone int }{
		"two zones":   {2, 3},
		"three zones": {3, 3},
		"five zones":  {5, 39},
	}
	for name, test := range cases {
		Convey("a silent connection is noticed soon by one of the readers, whenever it goes silent: "+name, t, func() {
			view := fleetOf(test.zones, test.perZone)
			var phases []time.Duration
			for _, member := range view.Members {
				task, _, _ := newTask(member.Name, view)
				task.Self.Zone = member.Zone
				task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
				if slices.Contains(task.readers(member.Zone), member.Name) {
					phases = append(phases, time.Duration(task.phase.Load()))
				}
			}
			So(phases, ShouldHaveLength, test.zones*readersPerZone)
			for silentAt := time.Duration(0); silentAt < maxFollowWait; silentAt += 10 * time.Millisecond {
				earliest := maxFollowWait
				for _, phase := range phases {
					stored := new(atomic.Int64)
					stored.Store(int64(phase))
					reader := &reader{phase: stored}
					// The wait in progress at silentAt began at the reader's previous end.
					earliest = min(earliest, (reader.untilPhase(baseTime.Add(silentAt)))%maxFollowWait)
				}
				So(earliest, ShouldBeLessThanOrEqualTo, allowed)
			}
		})
	}
	waits := map[string]struct{ phase, now, wait time.Duration }{
		"right after its end":  {time.Second, time.Second, maxFollowWait},
		"just before its end":  {time.Second, time.Second - minFollowWait/2, maxFollowWait + minFollowWait/2},
		"half a second before": {time.Second, time.Second / 2, time.Second / 2},
		"after its end":        {time.Second, 2 * time.Second, maxFollowWait - time.Second},
	}
	for name, test := range waits {
		Convey("a wait ends at the reader's own time, and no wait is very short: "+name, t, func() {
			stored := new(atomic.Int64)
			stored.Store(int64(test.phase))
			reader := &reader{phase: stored}
			period := time.Unix(3*1_000_000, 0)
			So(reader.untilPhase(period.Add(test.now)), ShouldEqual, test.wait)
		})
	}
}
