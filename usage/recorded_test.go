package usage

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// recordedWindow returns a window with the requests of one team.
func recordedWindow(index uint64, requests int) coltsfootlink.UsageWindow {
	return coltsfootlink.UsageWindow{Index: index, Teams: []coltsfootlink.TeamCount{{Team: "team-1", Requests: requests}}}
}

// storedIn returns records of an era with a lease record that was sent in another era, and windows.
func storedIn(era, leaseEra uint64, windows ...coltsfootlink.UsageWindow) coltsfootlink.DutyRecords {
	records := coltsfootlink.DutyRecords{
		Lease: coltsfootlink.LeaseRecord{Holder: "a", Era: leaseEra}, LeaseFound: true,
		Windows: make(map[uint64]coltsfootlink.UsageWindow), End: coltsfootlink.Position{Era: era, Offset: 9},
	}
	for _, window := range windows {
		records.Windows[window.Index] = window
	}
	return records
}

// TestRecordedWindowsAcrossARestore guards against a window that is reported with two counts, and against windows that nobody
// reports although their counts are known.
func TestRecordedWindowsAcrossARestore(t *testing.T) {
	type windows = []coltsfootlink.UsageWindow
	empty := coltsfootlink.DutyRecords{End: coltsfootlink.Position{Era: 1}}
	trusted := storedIn(2, 2)
	trusted.Lease.Refused = 7
	cases := map[string]struct {
		recorded Recorded
		// stored is what was read last, in window 20.
		stored  coltsfootlink.DutyRecords
		holds   bool
		lost    windows
		refused uint64
	}{
		"the first read in a store that was never restored": {NewRecorded(), storedIn(1, 1, recordedWindow(12, 5)), false, nil, 0},
		"no lease record in the first era":                  {NewRecorded(), empty, false, nil, 0},
		"no lease record in the first era, but one before":  {NewRecorded().WithRead(18, false, storedIn(0, 0)), empty, false, nil, 20},
		"a store that sends no eras":                        {NewRecorded(), storedIn(0, 0), false, nil, 0},
		"the first read in a later era":                     {NewRecorded(), storedIn(2, 1, recordedWindow(12, 5)), false, nil, 20},
		"the first read after the era has a holder":         {NewRecorded(), trusted, false, nil, 7},
		"a later read in the same era": {
			NewRecorded().WithRead(18, false, storedIn(2, 1)), storedIn(2, 1, recordedWindow(12, 5)), false, nil, 18,
		},
		"the store has lost a window": {
			NewRecorded().WithRead(18, true, storedIn(1, 1, recordedWindow(12, 5))).WithWindow(recordedWindow(13, 6)),
			storedIn(2, 1, recordedWindow(12, 5)), true, windows{recordedWindow(13, 6)}, 20,
		},
		"the store has a window with other counts after a restore": {
			NewRecorded().WithRead(18, false, storedIn(1, 1, recordedWindow(12, 5))),
			storedIn(2, 1, recordedWindow(12, 4)), false, windows{recordedWindow(12, 5)}, 20,
		},
		"the store was restored, and its holder has recorded the window with other counts": {
			NewRecorded().WithRead(18, false, storedIn(1, 1, recordedWindow(12, 5))),
			storedIn(2, 2, recordedWindow(12, 4)), false, nil, 0,
		},
		"another append has replaced what the holder has recorded": {
			NewRecorded().WithRead(18, true, storedIn(2, 2)).WithWindow(recordedWindow(12, 5)),
			storedIn(2, 2, recordedWindow(12, 4)), true, windows{recordedWindow(12, 5)}, 0,
		},
		"the holder has replaced what another instance knew": {
			NewRecorded().WithRead(18, false, storedIn(2, 2, recordedWindow(12, 4))),
			storedIn(2, 2, recordedWindow(12, 5)), false, nil, 0,
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			recorded := test.recorded.WithRead(20, test.holds, test.stored)
			So(recorded.Lost(10, test.stored), ShouldResemble, test.lost)
			So(recorded.Lost(14, test.stored), ShouldBeEmpty)
			So(recorded.Refused(test.stored), ShouldEqual, test.refused)
		})
	}
	Convey("the newest windows are remembered", t, func() {
		recorded := NewRecorded()
		for index := range uint64(maxRemembered + 5) {
			recorded = recorded.WithWindow(recordedWindow(index, 1))
		}
		lost := recorded.Lost(0, coltsfootlink.DutyRecords{})
		So(lost, ShouldHaveLength, maxRemembered)
		So(lost[0].Index, ShouldEqual, 5)
	})
}
