package usage

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// maxRemembered is the number of recorded windows that are remembered, 2 min at 5 s. A restore of the store loses the records of
// some seconds; older windows are in its copy.
const maxRemembered = 24

// Recorded is what an instance knows of recorded windows apart from what the store shows at the moment; it is immutable. It
// answers the load of a store that is restored from an earlier copy: windows whose counts may have been reported are gone from
// it, and must never be reported with other counts.
type Recorded struct {
	// era is the newest era of the store that was read; seen indicates that any was, and restored that it was not the first.
	era            uint64
	seen, restored bool
	// open is the first window that had not ended when the era was first read. A window is recorded after its end, so no record
	// of an earlier era is of this window or a later one.
	open uint64
	// windows are the newest recorded windows, by index.
	windows *immutable.SortedMap[uint64, coltsfootlink.UsageWindow]
}

// NewRecorded returns the knowledge of an instance that has read nothing.
func NewRecorded() Recorded {
	return Recorded{windows: immutable.NewSortedMap[uint64, coltsfootlink.UsageWindow](nil)}
}

// Era returns the newest era of the store that was read, and false if nothing was read.
func (recorded Recorded) Era() (uint64, bool) { return recorded.era, recorded.seen }

// Restored reports whether the store was restored since this instance first read it.
func (recorded Recorded) Restored() bool { return recorded.restored }

// WithRead returns the knowledge after the records were read in the window current. What the instance knows of a window stays
// as it is if the instance records the windows itself, or if the store was restored since and no holder has written there yet;
// otherwise the store has the newer record.
func (recorded Recorded) WithRead(current uint64, holds bool, records coltsfootlink.DutyRecords) Recorded {
	later := recorded.seen && records.End.Era > recorded.era
	if later || !recorded.seen {
		recorded.era, recorded.open = records.End.Era, current
	}
	recorded.seen, recorded.restored = true, recorded.restored || later
	keeps := holds || recorded.restored && records.Lease.Era != records.End.Era
	for index, window := range records.Windows {
		if _, known := recorded.windows.Get(index); !known || !keeps {
			recorded.windows = recorded.windows.Set(index, window)
		}
	}
	return recorded.limited()
}

// WithWindow returns the knowledge after a window was recorded by this instance.
func (recorded Recorded) WithWindow(window coltsfootlink.UsageWindow) Recorded {
	recorded.windows = recorded.windows.Set(window.Index, window)
	return recorded.limited()
}

func (recorded Recorded) limited() Recorded {
	for iterator := recorded.windows.Iterator(); !iterator.Done() && recorded.windows.Len() > maxRemembered; {
		index, _, _ := iterator.Next()
		recorded.windows = recorded.windows.Delete(index)
	}
	return recorded
}

// Lost returns the recorded windows from an index on that the store lacks, or has with other counts, as after an append of an
// earlier era that took effect late. They have to be written again before anything is reported.
func (recorded Recorded) Lost(from uint64, records coltsfootlink.DutyRecords) []coltsfootlink.UsageWindow {
	var lost []coltsfootlink.UsageWindow
	for iterator := recorded.windows.Iterator(); !iterator.Done(); {
		index, window, _ := iterator.Next()
		stored, found := records.Windows[index]
		if index >= from && !(found && slices.Equal(stored.Teams, window.Teams)) {
			lost = append(lost, window)
		}
	}
	return lost
}

// Refused returns the first window that an instance which acquires the lease may record if it is not known as recorded. Counts
// of earlier windows may have been reported by a holder whose records are lost, and counting again gives other numbers. A lease
// record that was sent in the present era tells it; otherwise it is the first one that had not ended when the era was seen. The
// first instance of a new log refuses nothing.
func (recorded Recorded) Refused(records coltsfootlink.DutyRecords) uint64 {
	first := !records.LeaseFound && !recorded.restored && records.End.Era <= coltsfootlink.FirstEra
	if first || records.Lease.Era == records.End.Era && records.LeaseFound {
		return records.Lease.Refused
	}
	return max(records.Lease.Refused, recorded.open)
}
