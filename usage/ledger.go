package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

const (
	// recordMargin is how long before its report would be late a window is recorded at the latest, so that a refused or
	// lost call can be repeated.
	recordMargin = 4 * time.Second
	// settleTime is the time after the end of a window before which it is not recorded. Requests that began in the window
	// may still wait in an instance's inbox when the instance reports past its end; the next report, a second later, has
	// them.
	settleTime = 1500 * time.Millisecond
	// hearingTime is how long a new holder waits for the reports of instances, which come once a second.
	hearingTime = 2 * time.Second
	// maxPending is the number of windows before the current one for which reports are kept, 20 min at 5 s. It bounds the
	// memory while the store is unavailable.
	maxPending = 240
	// maxAhead is how many windows the clock of a sender may be ahead.
	maxAhead = 2
)

// source is one run of an instance: the counts of each run are cumulative and independent of those of others.
type source struct {
	instance    coltsfootlink.InstanceName
	incarnation uint64
}

// sourceHasher lets sources be keys of persistent maps.
type sourceHasher struct{}

// Hash hashes by the name; equal names of different incarnations collide.
func (sourceHasher) Hash(source source) uint32 {
	return uint32(xxhash.Sum64String(string(source.instance)))
}

// Equal reports whether two sources are the same.
func (sourceHasher) Equal(left, right source) bool { return left == right }

// progress is how far an instance has reported.
type progress struct{ incarnation, reached uint64 }

// bySource holds the counts of one window by their source, sorted by team.
type bySource = *immutable.Map[source, []coltsfootlink.TeamCount]

// Ledger holds the counts that the holder of the duty has received and that are not recorded yet; it is immutable. A new
// holder begins with a new ledger. Times are those of a clock that does not step.
type Ledger struct {
	window, lateness time.Duration
	// next is the first window that may be recorded.
	next uint64
	// heard reports whether any report has arrived; the first one arrived at firstHeardAt. From the window heardFrom on, some
	// instance was observed, so that a window without requests is known to have none.
	heard        bool
	firstHeardAt time.Time
	heardFrom    uint64
	reached      *immutable.Map[coltsfootlink.InstanceName, progress]
	windows      *immutable.SortedMap[uint64, bySource]
}

// NewLedger returns a ledger without counts. A report is late when lateness has passed since the end of its window.
func NewLedger(window, lateness time.Duration) Ledger {
	return Ledger{
		window: window, lateness: lateness,
		reached: immutable.NewMap[coltsfootlink.InstanceName, progress](nil),
		windows: immutable.NewSortedMap[uint64, bySource](nil),
	}
}

// WithReport merges a report. Counts are cumulative, so the larger one of the same run of an instance is the newer one, and
// lost, repeated and reordered reports do no harm. Reports from other times are ignored.
func (ledger Ledger) WithReport(now time.Time, from coltsfootlink.InstanceName, report coltsfootlink.DutyReport) Ledger {
	oldest, newest := ledger.bounds(now)
	if report.Reached < oldest || report.Reached > newest {
		return ledger
	}
	if !ledger.heard {
		ledger.heard, ledger.firstHeardAt, ledger.heardFrom = true, now, report.Reached
	}
	ledger.heardFrom = min(ledger.heardFrom, report.Reached)
	known, found := ledger.reached.Get(from)
	reported := progress{incarnation: report.Incarnation, reached: report.Reached}
	if !found || known.incarnation < reported.incarnation || known.incarnation == reported.incarnation && known.reached < reported.reached {
		ledger.reached = ledger.reached.Set(from, reported)
	}
	ledger.windows = withoutBefore(ledger.windows, oldest)
	for _, window := range report.Windows {
		if window.Index >= max(ledger.next, oldest) && window.Index <= newest {
			ledger.windows = ledger.windows.Set(window.Index, ledger.merged(source{instance: from, incarnation: report.Incarnation}, window))
		}
	}
	return ledger
}

// bounds returns the oldest and the newest window for which reports are accepted.
func (ledger Ledger) bounds(now time.Time) (uint64, uint64) {
	current := indexOf(now, ledger.window)
	return current - min(current, maxPending), current + maxAhead
}

// merged returns the counts of a window together with those of a report.
func (ledger Ledger) merged(from source, reported coltsfootlink.UsageWindow) bySource {
	sources, found := ledger.windows.Get(reported.Index)
	if !found {
		sources = immutable.NewMap[source, []coltsfootlink.TeamCount](sourceHasher{})
	}
	known, _ := sources.Get(from)
	return sources.Set(from, joined(known, sortedByTeam(reported.Teams), func(one, other int) int { return max(one, other) }))
}

// WithRecorded drops a window that is recorded and all before it. Windows are recorded in order, so the counts of a
// recorded window are never computed again.
func (ledger Ledger) WithRecorded(index uint64) Ledger {
	if index < ledger.next {
		return ledger
	}
	ledger.next = index + 1
	ledger.windows = withoutBefore(ledger.windows, ledger.next)
	return ledger
}

// Due returns the oldest window that is not recorded yet, if it is to be recorded now: all live instances have reported past
// its end, or its report would soon be late. It answers the reports of a fleet of which some instances die, are suspended or
// cut off: their counts are kept as last reported, and no window waits for them until it is late.
func (ledger Ledger) Due(now time.Time, live []coltsfootlink.InstanceName) (coltsfootlink.UsageWindow, bool) {
	if !ledger.heard {
		return coltsfootlink.UsageWindow{}, false
	}
	oldest, _ := ledger.bounds(now)
	index := max(ledger.next, ledger.heardFrom, oldest)
	if first := ledger.windows.Iterator(); !first.Done() {
		if counted, _, _ := first.Next(); counted >= oldest {
			index = min(index, counted)
		}
	}
	end := End(index, ledger.window)
	complete := !now.Before(end.Add(settleTime)) && ledger.reportedPast(index, live)
	if !complete && now.Before(ledger.deadline(end)) {
		return coltsfootlink.UsageWindow{}, false
	}
	return coltsfootlink.UsageWindow{Index: index, Teams: ledger.total(index)}, true
}

// deadline returns when a window is recorded in any case. With a short lateness, half of it is left for the call.
func (ledger Ledger) deadline(end time.Time) time.Time {
	latest := end.Add(max(ledger.lateness-recordMargin, ledger.lateness/2))
	if heard := ledger.firstHeardAt.Add(hearingTime); heard.After(latest) {
		return heard
	}
	return latest
}

// reportedPast reports whether all live instances have reported past the end of a window; false if none is live.
func (ledger Ledger) reportedPast(index uint64, live []coltsfootlink.InstanceName) bool {
	for _, name := range live {
		if known, found := ledger.reached.Get(name); !found || known.reached <= index {
			return false
		}
	}
	return len(live) > 0
}

// total returns the counts of a window, added up over all runs of all instances and sorted by team.
func (ledger Ledger) total(index uint64) []coltsfootlink.TeamCount {
	sources, found := ledger.windows.Get(index)
	if !found {
		return nil
	}
	var sum []coltsfootlink.TeamCount
	for iterator := sources.Iterator(); !iterator.Done(); {
		_, counts, _ := iterator.Next()
		sum = joined(sum, counts, func(one, other int) int { return one + other })
	}
	return sum
}

// sortedByTeam returns the counts sorted by team, as instances send them.
func sortedByTeam(counts []coltsfootlink.TeamCount) []coltsfootlink.TeamCount {
	compare := func(left, right coltsfootlink.TeamCount) int { return cmp.Compare(left.Team, right.Team) }
	if slices.IsSortedFunc(counts, compare) {
		return counts
	}
	return slices.SortedFunc(slices.Values(counts), compare)
}

// joined returns the counts of two lists sorted by team; those of teams in both are combined.
func joined(left, right []coltsfootlink.TeamCount, combine func(one, other int) int) []coltsfootlink.TeamCount {
	if len(left) == 0 {
		return right
	}
	counts := make([]coltsfootlink.TeamCount, 0, max(len(left), len(right)))
	for len(left) > 0 && len(right) > 0 {
		switch order := cmp.Compare(left[0].Team, right[0].Team); {
		case order < 0:
			counts, left = append(counts, left[0]), left[1:]
		case order > 0:
			counts, right = append(counts, right[0]), right[1:]
		default:
			counts = append(counts, coltsfootlink.TeamCount{Team: left[0].Team, Requests: combine(left[0].Requests, right[0].Requests)})
			left, right = left[1:], right[1:]
		}
	}
	return append(append(counts, left...), right...)
}
