// Package usage counts the requests of each team that targets have begun, by windows of true time, and merges the counts
// of all instances into one report for each window.
package usage

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// maxWindows is the number of windows for which a counter keeps counts, 5 min at 5 s. It bounds the reports while no window
// can be recorded; the holder keeps the counts that it has received, for longer.
const maxWindows = 60

// teamCounts is the number of requests of each team.
type teamCounts = *immutable.SortedMap[coltsfootlink.TeamName, int]

// byName sorts teams by name, without the reflection that the library needs for named types.
type byName struct{}

// Compare returns the order of two teams.
func (byName) Compare(left, right coltsfootlink.TeamName) int { return cmp.Compare(left, right) }

func newTeamCounts() teamCounts {
	return immutable.NewSortedMap[coltsfootlink.TeamName, int](byName{})
}

// Counter counts the requests of an instance's callers that have begun, by window and team; it is immutable. Counts of one
// window only grow until the window is dropped. Times are those of a clock that does not step.
type Counter struct {
	window time.Duration
	// first is the first window that is counted; those before it are recorded.
	first   uint64
	windows *immutable.SortedMap[uint64, teamCounts]
}

// NewCounter returns a counter without counts.
func NewCounter(window time.Duration) Counter {
	return Counter{window: window, windows: immutable.NewSortedMap[uint64, teamCounts](nil)}
}

// Index returns the number of the window to which a time belongs. Window 0 began at the Unix epoch.
func (counter Counter) Index(at time.Time) uint64 {
	return indexOf(at, counter.window)
}

// WithBegun counts a request that began at a time. Requests without a team are not counted, nor those of windows that are
// recorded already.
func (counter Counter) WithBegun(at time.Time, team coltsfootlink.TeamName) Counter {
	if team == "" {
		return counter
	}
	index := counter.Index(at)
	if index < counter.first {
		return counter
	}
	teams, found := counter.windows.Get(index)
	if !found {
		teams = newTeamCounts()
	}
	requests, _ := teams.Get(team)
	counter.windows = counter.windows.Set(index, teams.Set(team, requests+1))
	if index >= maxWindows {
		counter = counter.WithoutBefore(index - maxWindows + 1)
	}
	return counter
}

// WithoutBefore drops the windows before an index, which are recorded.
func (counter Counter) WithoutBefore(index uint64) Counter {
	if index <= counter.first {
		return counter
	}
	counter.first = index
	counter.windows = withoutBefore(counter.windows, index)
	return counter
}

// Windows returns the counts of all windows that are not dropped, the oldest first, with the teams sorted by name.
func (counter Counter) Windows() []coltsfootlink.UsageWindow {
	windows := make([]coltsfootlink.UsageWindow, 0, counter.windows.Len())
	for iterator := counter.windows.Iterator(); !iterator.Done(); {
		index, teams, _ := iterator.Next()
		windows = append(windows, coltsfootlink.UsageWindow{Index: index, Teams: listOf(teams)})
	}
	return windows
}

// indexOf returns the number of the window to which a time belongs; zero for times before the Unix epoch.
func indexOf(at time.Time, window time.Duration) uint64 {
	return uint64(max(0, at.UnixNano()) / int64(window))
}

// End returns the end of a window.
func End(index uint64, window time.Duration) time.Time {
	return time.Unix(0, int64(index+1)*int64(window))
}

// listOf returns counts sorted by team.
func listOf(teams teamCounts) []coltsfootlink.TeamCount {
	counts := make([]coltsfootlink.TeamCount, 0, teams.Len())
	for iterator := teams.Iterator(); !iterator.Done(); {
		team, requests, _ := iterator.Next()
		counts = append(counts, coltsfootlink.TeamCount{Team: team, Requests: requests})
	}
	return counts
}

// withoutBefore drops the entries of windows before an index.
func withoutBefore[V any](windows *immutable.SortedMap[uint64, V], index uint64) *immutable.SortedMap[uint64, V] {
	for iterator := windows.Iterator(); !iterator.Done(); {
		known, _, _ := iterator.Next()
		if known >= index {
			break
		}
		windows = windows.Delete(known)
	}
	return windows
}
