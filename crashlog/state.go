// Package crashlog keeps in the platform's store the crashes because of which instances hold prompts and requests back, so that they
// are known when all instances were lost.
package crashlog

import (
	"maps"
	"slices"

	"coltsfootlink"
)

// maxChanges is the number of records that are written or removed with one call.
const maxChanges = 64

// State is what has to be recorded and what is; it is immutable. The instance that has seen a crash records it, and the one that
// has seen that it is void removes it. One instance of the fleet, which reads the records now and then, does what others could not.
type State struct {
	held map[coltsfootlink.CrashKind]coltsfootlink.CrashesHeld
	// stored are the keys of the records that are known to be in the store.
	stored map[string]bool
	// void are the keys of records that have to be removed.
	void map[string]bool
	// unheld are the keys that were read and belong to nothing that is held back here. They are void if they still are at
	// the next read: the instance may not have heard yet of a crash that another one has recorded.
	unheld map[string]bool
}

// WithHeld replaces the crashes of a kind that have to be recorded.
func (state State) WithHeld(held coltsfootlink.CrashesHeld) State {
	state.held = maps.Clone(state.held)
	if state.held == nil {
		state.held = make(map[coltsfootlink.CrashKind]coltsfootlink.CrashesHeld)
	}
	state.held[held.Kind] = held
	state.void = without(state.void, held.Records)
	return state
}

// WithVoid adds keys of records to remove.
func (state State) WithVoid(keys []string) State {
	state.void = with(state.void, keys)
	return state
}

// WithRead takes the keys of all records in the store.
func (state State) WithRead(records []coltsfootlink.CrashRecord) State {
	stored, unheld := make(map[string]bool, len(records)), make(map[string]bool)
	for _, record := range records {
		key := record.Key()
		stored[key] = true
		if _, found := state.held[record.Kind].Records[key]; found {
			continue
		}
		unheld[key] = true
		if state.unheld[key] {
			state = state.WithVoid([]string{key})
		}
	}
	state.stored, state.unheld = stored, unheld
	return state
}

// WithRestored forgets what is in the store, which was restored from an earlier copy.
func (state State) WithRestored() State {
	state.stored, state.unheld = nil, nil
	return state
}

// WithWritten takes over changes that the store has confirmed.
func (state State) WithWritten(records []coltsfootlink.CrashRecord, removed []string) State {
	state.stored, state.void = maps.Clone(state.stored), maps.Clone(state.void)
	if state.stored == nil {
		state.stored = make(map[string]bool)
	}
	for _, record := range records {
		state.stored[record.Key()] = true
	}
	for _, key := range removed {
		delete(state.stored, key)
		delete(state.void, key)
	}
	return state
}

// Changes returns the records to write and the keys of those to remove, maxChanges of each at most: those of crashes that this
// instance has seen, or of all.
func (state State) Changes(all bool) (records []coltsfootlink.CrashRecord, removed []string) {
	for _, held := range state.held {
		for _, key := range slices.Sorted(maps.Keys(held.Records)) {
			if !state.stored[key] && (all || held.Own[key]) && len(records) < maxChanges {
				records = append(records, held.Records[key])
			}
		}
	}
	removed = slices.Sorted(maps.Keys(state.void))
	return records, removed[:min(maxChanges, len(removed))]
}

// Empty reports whether nothing is held back and nothing is known to be recorded.
func (state State) Empty() bool {
	for _, held := range state.held {
		if len(held.Records) > 0 {
			return false
		}
	}
	return len(state.stored) == 0 && len(state.void) == 0
}

// with returns a set with keys added.
func with(set map[string]bool, keys []string) map[string]bool {
	next := maps.Clone(set)
	if next == nil {
		next = make(map[string]bool)
	}
	for _, key := range keys {
		next[key] = true
	}
	return next
}

// without returns a set without the keys of records.
func without(set map[string]bool, records map[string]coltsfootlink.CrashRecord) map[string]bool {
	next := maps.Clone(set)
	for key := range records {
		delete(next, key)
	}
	return next
}
