package main

import (
	"fmt"
	"time"
)

// tally counts a team's requests in one second.
type tally struct {
	requested, served int
	// underserved indicates that a request was refused, or that its first byte came later than the objective or never.
	underserved bool
}

// fairShares checks that teams are served fairly in every window of fairWindow seconds without faults, floods excepted.
// A team that was underserved in each second of the window has to be served at least half of what it was entitled to,
// less fairSlack requests. In each second it is entitled to as many requests as the best-served team got, but to no
// more than it sent.
func fairShares(seen history) []string {
	if len(seen.calls) == 0 {
		return nil
	}
	began := seen.calls[0].began
	seconds := make(map[int]map[string]tally)
	last := 0
	for _, attempt := range seen.attempts {
		if attempt.team == staleTeam {
			continue
		}
		second := int(attempt.sent.Sub(began) / time.Second)
		if seconds[second] == nil {
			seconds[second] = make(map[string]tally)
		}
		count := seconds[second][attempt.team]
		count.requested++
		if attempt.served() {
			count.served++
		}
		count.underserved = count.underserved || guaranteesNotRun(attempt.status) || attempt.firstByte.IsZero() || attempt.firstByte.Sub(attempt.sent) > objective
		seconds[second][attempt.team] = count
		last = max(last, second)
	}
	var found []string
	for from := 0; from+fairWindow <= last; from++ {
		at := began.Add(time.Duration(from) * time.Second)
		if seen.disrupted(at, at.Add(fairWindow*time.Second), func(step step) bool { return step.Kind != floodKind }) {
			continue
		}
		for team := range seconds[from] {
			if text := shortfall(seconds, from, team); text != "" {
				found = append(found, text)
			}
		}
	}
	return found
}

// shortfall describes by how much a team was served too little in a window; empty if it was not.
func shortfall(seconds map[int]map[string]tally, from int, team string) string {
	entitled, served := 0, 0
	for second := from; second < from+fairWindow; second++ {
		count := seconds[second][team]
		if !count.underserved {
			return ""
		}
		best := 0
		for _, other := range seconds[second] {
			best = max(best, other.served)
		}
		entitled += min(count.requested, best)
		served += count.served
	}
	if served >= entitled/fairDivisor-fairSlack {
		return ""
	}
	return fmt.Sprintf("team %s was served %d requests in %d s from second %d on, entitled to %d", team, served, fairWindow, from, entitled)
}
