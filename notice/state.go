// Package notice holds what targets announce about themselves in their answers: that they are leaving, or that they want
// no requests for a while. An instance follows the announcements that it has received even if the platform's records
// don't show them.
package notice

import (
	"maps"
	"time"

	"coltsfootlink"
)

const (
	// forgetAfter is how long an announcement is kept after its target was last listed on the platform. The record of a
	// target that is leaving may expire and come back while it shuts down.
	forgetAfter = 10 * time.Minute
	// minExtension is how much later than the known time a target must ask for requests for that to be news, so that not
	// every answer of a target that is shedding load is.
	minExtension = 100 * time.Millisecond
)

// entry is the announcement of one target.
type entry struct {
	coltsfootlink.TargetNotice

	forgetAt time.Time
}

// State holds the announcements of targets; it is immutable. The zero value holds none.
type State struct {
	entries map[coltsfootlink.TargetName]entry
}

// WithNotice adds an announcement. It returns false if it is not news.
func (state State) WithNotice(now time.Time, notice coltsfootlink.TargetNotice) (State, bool) {
	known, found := state.entries[notice.Target]
	if found && known.Incarnation == notice.Incarnation {
		extended := notice.RetryAt.After(known.RetryAt.Add(minExtension))
		if !extended && (known.Leaving || !notice.Leaving) {
			return state, false
		}
		notice.Leaving = notice.Leaving || known.Leaving
		if !extended {
			notice.RetryAt = known.RetryAt
		}
	}
	if !notice.Leaving && !notice.RetryAt.After(now) {
		return state, false
	}
	state.entries = maps.Clone(state.entries)
	if state.entries == nil {
		state.entries = make(map[coltsfootlink.TargetName]entry)
	}
	state.entries[notice.Target] = entry{TargetNotice: notice, forgetAt: now.Add(forgetAfter)}
	return state, true
}

// WithCatalog drops the announcements of targets that have restarted or have not been listed for forgetAfter.
func (state State) WithCatalog(now time.Time, catalog coltsfootlink.Catalog) State {
	kept := make(map[coltsfootlink.TargetName]entry, len(state.entries))
	for name, known := range state.entries {
		target, listed := catalog.Targets[name]
		switch {
		case listed && target.Incarnation != known.Incarnation, !listed && now.After(known.forgetAt):
			continue
		case listed:
			known.forgetAt = now.Add(forgetAfter)
		}
		kept[name] = known
	}
	state.entries = kept
	return state
}

// Refusal returns why a target takes no requests now, and when it may take some again; the time is zero if it is leaving.
// The reason is empty if nothing is known against sending requests.
func (state State) Refusal(now time.Time, target coltsfootlink.Target) (coltsfootlink.Reason, time.Time) {
	known, found := state.entries[target.Name]
	switch {
	case !found || known.Incarnation != target.Incarnation:
		return "", time.Time{}
	case known.Leaving:
		return coltsfootlink.TargetLeaving, time.Time{}
	case now.Before(known.RetryAt):
		return coltsfootlink.TargetBackoff, known.RetryAt
	default:
		return "", time.Time{}
	}
}

// Notices returns all announcements.
func (state State) Notices() []coltsfootlink.TargetNotice {
	notices := make([]coltsfootlink.TargetNotice, 0, len(state.entries))
	for _, known := range state.entries {
		notices = append(notices, known.TargetNotice)
	}
	return notices
}
