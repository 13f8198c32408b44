package main

import (
	"fmt"
	"time"
)

// tally is what a team asked for and got in one second.
type tally struct {
	asked, got int
	// short says that a request was refused or late.
	short bool
}

// fairShares: in seconds without faults, a team that is kept short gets at least half of what it asked or of what the
// best served team got.
func fairShares(seen history) []string {
	if len(seen.calls) == 0 {
		return nil
	}
	began := seen.calls[0].began
	seconds := make(map[int]map[string]tally)
	last := 0
	for _, tried := range seen.attempts {
		if tried.team == staleTeam {
			continue
		}
		second := int(tried.sent.Sub(began) / time.Second)
		if seconds[second] == nil {
			seconds[second] = make(map[string]tally)
		}
		counted := seconds[second][tried.team]
		counted.asked++
		if tried.served() {
			counted.got++
		}
		counted.short = counted.short || promises(tried.status) || tried.first.IsZero() || tried.first.Sub(tried.sent) > objective
		seconds[second][tried.team] = counted
		last = max(last, second)
	}
	var found []string
	for from := 0; from+fairWindow <= last; from++ {
		at := began.Add(time.Duration(from) * time.Second)
		if seen.disrupted(at, at.Add(fairWindow*time.Second), func(step step) bool { return step.Kind != floodKind }) {
			continue
		}
		for team := range seconds[from] {
			if text := starved(seconds, from, team); text != "" {
				found = append(found, text)
			}
		}
	}
	return found
}

// starved tells how a team fell short in a window; empty if it did not.
func starved(seconds map[int]map[string]tally, from int, team string) string {
	owed, got := 0, 0
	for second := from; second < from+fairWindow; second++ {
		counted := seconds[second][team]
		if !counted.short {
			return ""
		}
		best := 0
		for _, other := range seconds[second] {
			best = max(best, other.got)
		}
		owed += min(counted.asked, best)
		got += counted.got
	}
	if got >= owed/fairDivisor-fairSlack {
		return ""
	}
	return fmt.Sprintf("team %s got %d in %d s from second %d on, owed %d", team, got, fairWindow, from, owed)
}
