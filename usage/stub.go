// Package usage counts the requests that begin to run, by window and team. This file stands in for the package until it is
// merged, and is removed then.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootlink"
)

// Counter holds the counts of one instance.
type Counter struct {
	window  time.Duration
	windows map[uint64]map[coltsfootlink.TeamName]int
}

// NewCounter returns a counter without requests.
func NewCounter(window time.Duration) Counter { return Counter{window: window} }

// Index returns the window of a point in time.
func (counter Counter) Index(at time.Time) uint64 {
	return uint64(at.UnixNano()) / uint64(counter.window)
}

// WithBegun returns the counter with one more request.
func (counter Counter) WithBegun(at time.Time, team coltsfootlink.TeamName) Counter {
	counter.windows = maps.Clone(counter.windows)
	if counter.windows == nil {
		counter.windows = make(map[uint64]map[coltsfootlink.TeamName]int)
	}
	index := counter.Index(at)
	counts := maps.Clone(counter.windows[index])
	if counts == nil {
		counts = make(map[coltsfootlink.TeamName]int)
	}
	counts[team]++
	counter.windows[index] = counts
	return counter
}

// WithoutBefore returns the counter without the windows before an index.
func (counter Counter) WithoutBefore(index uint64) Counter {
	counter.windows = maps.Clone(counter.windows)
	maps.DeleteFunc(counter.windows, func(window uint64, _ map[coltsfootlink.TeamName]int) bool { return window < index })
	return counter
}

// Windows returns the counts, oldest window first.
func (counter Counter) Windows() []coltsfootlink.UsageWindow {
	var windows []coltsfootlink.UsageWindow
	for _, index := range slices.Sorted(maps.Keys(counter.windows)) {
		windows = append(windows, windowOf(index, counter.windows[index]))
	}
	return windows
}

func windowOf(index uint64, counts map[coltsfootlink.TeamName]int) coltsfootlink.UsageWindow {
	window := coltsfootlink.UsageWindow{Index: index}
	for team, requests := range counts {
		window.Teams = append(window.Teams, coltsfootlink.TeamCount{Team: team, Requests: requests})
	}
	slices.SortFunc(window.Teams, func(left, right coltsfootlink.TeamCount) int { return cmp.Compare(left.Team, right.Team) })
	return window
}

// sender identifies the counts of one incarnation of an instance.
type sender struct {
	name        coltsfootlink.InstanceName
	incarnation uint64
}

// Ledger holds what the holder knows of all instances' counts.
type Ledger struct {
	window, lateness time.Duration
	counts           map[uint64]map[sender]map[coltsfootlink.TeamName]int
	reached          map[coltsfootlink.InstanceName]uint64
	next             uint64
	// first is the first window of which anything was heard.
	first uint64
}

// NewLedger returns a ledger without counts.
func NewLedger(window, lateness time.Duration) Ledger {
	return Ledger{window: window, lateness: lateness}
}

// WithReport returns the ledger with an instance's report.
func (ledger Ledger) WithReport(_ time.Time, from coltsfootlink.InstanceName, report coltsfootlink.DutyReport) Ledger {
	counts := make(map[uint64]map[sender]map[coltsfootlink.TeamName]int)
	for index, bySender := range ledger.counts {
		counts[index] = maps.Clone(bySender)
	}
	for _, window := range report.Windows {
		if counts[window.Index] == nil {
			counts[window.Index] = make(map[sender]map[coltsfootlink.TeamName]int)
		}
		teams := make(map[coltsfootlink.TeamName]int)
		for _, team := range window.Teams {
			teams[team.Team] = team.Requests
		}
		counts[window.Index][sender{from, report.Incarnation}] = teams
	}
	ledger.counts = counts
	ledger.reached = maps.Clone(ledger.reached)
	if ledger.reached == nil {
		ledger.reached = make(map[coltsfootlink.InstanceName]uint64)
	}
	ledger.reached[from] = report.Reached
	if ledger.first == 0 {
		ledger.first = report.Reached
	}
	for _, window := range report.Windows {
		ledger.first = min(ledger.first, window.Index)
	}
	return ledger
}

// WithRecorded returns the ledger after a window was recorded.
func (ledger Ledger) WithRecorded(index uint64) Ledger {
	ledger.next = max(ledger.next, index+1)
	return ledger
}

// Due returns the oldest window that is to be recorded now, also if no request began in it.
func (ledger Ledger) Due(now time.Time, live []coltsfootlink.InstanceName) (coltsfootlink.UsageWindow, bool) {
	if len(ledger.reached) == 0 {
		return coltsfootlink.UsageWindow{}, false
	}
	index := ledger.next
	if index == 0 {
		index = ledger.first
	}
	closed := now.UnixNano() >= int64(index+1)*int64(ledger.window)+int64(ledger.lateness-4*time.Second)
	complete := !slices.ContainsFunc(live, func(name coltsfootlink.InstanceName) bool { return ledger.reached[name] <= index })
	if !closed && !complete {
		return coltsfootlink.UsageWindow{}, false
	}
	sum := make(map[coltsfootlink.TeamName]int)
	for _, teams := range ledger.counts[index] {
		for team, requests := range teams {
			sum[team] += requests
		}
	}
	return windowOf(index, sum), true
}
