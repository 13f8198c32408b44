// Package catalog keeps an instance's copy of the platform's routing table, targets, zones out of service and version
// moves up to date. Some instances of each zone read the platform and forward the records to the others.
package catalog

import (
	"maps"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// recordKey identifies a record: its stream and its key in the stream.
type recordKey struct {
	stream coltsfootlink.CatalogStream
	key    string
}

// entry is the newest record of a key with its decoded fact.
type entry struct {
	// record is without its value, as if the key had been removed, if it cannot be decoded.
	record coltsfootlink.CatalogRecord
	// fact is nil if the record was removed or holds no usable fact.
	fact coltsfootlink.Fact
}

// recordKeyHasher hashes record keys for immutable maps.
type recordKeyHasher struct{}

// Hash returns a hash of a record key.
func (recordKeyHasher) Hash(key recordKey) uint32 {
	return immutable.NewHasher("").Hash(string(key.stream) + "/" + key.key)
}

// Equal reports whether two record keys are equal.
func (recordKeyHasher) Equal(left, right recordKey) bool { return left == right }

// State holds the newest record of each key; it is immutable. It does not depend on the order in which records arrive.
type State struct {
	decoder coltsfootlink.FactDecoder
	entries *immutable.Map[recordKey, entry]
	catalog coltsfootlink.Catalog
	// table is the record of the routing table in force. Its key may have a newer record that cannot be decoded.
	table coltsfootlink.CatalogRecord
	// ends are the positions up to which streams have been read completely: an older record of a key that is not known was
	// removed before.
	ends map[coltsfootlink.CatalogStream]coltsfootlink.Position
}

// NewState returns a state without records.
func NewState(decoder coltsfootlink.FactDecoder) State {
	return State{decoder: decoder, entries: immutable.NewMap[recordKey, entry](recordKeyHasher{})}
}

// Catalog returns the catalog built from the records.
func (state State) Catalog() coltsfootlink.Catalog { return state.catalog }

// Change is the effect of a record on the state.
type Change int

const (
	// Ignored means that the record has no effect: it is known already, is older than the known record of its key, or holds
	// a routing table older than the one in force.
	Ignored Change = iota
	// Refreshed means that the record is newer but does not change the catalog.
	Refreshed
	// Changed means that the record changes the catalog.
	Changed
)

// WithRecord returns the state with a record that was read now; it ignores a record that is not newer than the known one
// of its key, or than the complete read that did not list its key. If the record cannot be decoded, the previous fact of
// its key no longer applies, as after a removal, and the error is returned along with the new state. A routing table stays
// in force until another one replaces it.
func (state State) WithRecord(now time.Time, record coltsfootlink.CatalogRecord) (State, Change, error) {
	key := recordKey{stream: record.Stream, key: record.Key}
	known, found := state.entries.Get(key)
	if found && !known.record.Position.Before(record.Position) || !found && record.Position.Before(state.ends[record.Stream]) {
		return state.withLateTable(record)
	}
	var fact coltsfootlink.Fact
	var err error
	if !record.Removed {
		fact, err = state.decoder.Decode(record)
	}
	if table, is := fact.(coltsfootlink.TableFact); is {
		if state.catalog.TableLoaded && table.Table.Version < state.catalog.Table.Version {
			// The version of the routing table never decreases.
			return state, Ignored, nil
		}
		state.table = record
	}
	if err != nil {
		record.Removed, record.Value = true, nil
	}
	state.entries = state.entries.Set(key, entry{record: record, fact: fact})
	var change Change
	state.catalog, change = withFact(state.catalog, now, key.key, known.fact, fact)
	return state, change, err
}

// withLateTable puts the routing table in an outdated record in force if none of its version or a later one is: the newer
// record of its key may be one that cannot be decoded. Other outdated records are ignored.
func (state State) withLateTable(record coltsfootlink.CatalogRecord) (State, Change, error) {
	known := state.catalog.TableLoaded && (record.Key != state.table.Key || record.Position == state.table.Position)
	if record.Stream != coltsfootlink.OperatorStream || record.Removed || known {
		return state, Ignored, nil
	}
	fact, err := state.decoder.Decode(record)
	table, is := fact.(coltsfootlink.TableFact)
	if err != nil || !is || state.catalog.TableLoaded && table.Table.Version <= state.catalog.Table.Version {
		// An error was reported when the record was new.
		return state, Ignored, nil
	}
	state.table = record
	state.catalog = state.catalog.WithTable(table.Table)
	return state, Changed, nil
}

// WithEnd records that a stream has been read completely up to a position, so that older records of keys that are not
// known are outdated.
func (state State) WithEnd(stream coltsfootlink.CatalogStream, end coltsfootlink.Position) State {
	if !state.ends[stream].Before(end) {
		return state
	}
	state.ends = maps.Clone(state.ends)
	if state.ends == nil {
		state.ends = make(map[coltsfootlink.CatalogStream]coltsfootlink.Position)
	}
	state.ends[stream] = end
	return state
}

// Ends returns the positions up to which streams have been read completely.
func (state State) Ends() map[coltsfootlink.CatalogStream]coltsfootlink.Position {
	return maps.Clone(state.ends)
}

// Records returns the newest record of each key, and the record of the routing table in force.
func (state State) Records() []coltsfootlink.CatalogRecord {
	records := make([]coltsfootlink.CatalogRecord, 0, state.entries.Len()+1)
	for iterator := state.entries.Iterator(); !iterator.Done(); {
		_, stored, _ := iterator.Next()
		records = append(records, stored.record)
	}
	stored, _ := state.entries.Get(recordKey{stream: state.table.Stream, key: state.table.Key})
	if state.catalog.TableLoaded && stored.record.Position != state.table.Position {
		records = append(records, state.table)
	}
	return records
}

// Missing returns removals for the keys of a stream whose known records are older than the position end and that are not
// among the newest records, which were read up to this position. Their removal was not seen.
func (state State) Missing(stream coltsfootlink.CatalogStream, newest []coltsfootlink.CatalogRecord, end coltsfootlink.Position) []coltsfootlink.CatalogRecord {
	listed := make(map[string]bool, len(newest))
	for _, record := range newest {
		listed[record.Key] = true
	}
	var missing []coltsfootlink.CatalogRecord
	for iterator := state.entries.Iterator(); !iterator.Done(); {
		key, stored, _ := iterator.Next()
		if key.stream == stream && !listed[key.key] && !stored.record.Removed && stored.record.Position.Before(end) {
			removal := coltsfootlink.CatalogRecord{Stream: stream, Key: key.key, Removed: true, Position: end.Previous()}
			missing = append(missing, removal)
		}
	}
	return missing
}

// withFact returns the catalog after the fact of a key was replaced; either fact may be nil.
func withFact(catalog coltsfootlink.Catalog, now time.Time, key string, before, after coltsfootlink.Fact) (coltsfootlink.Catalog, Change) {
	switch fact := after.(type) {
	case coltsfootlink.TableFact:
		return catalog.WithTable(fact.Table), Changed
	case coltsfootlink.ZoneOutFact:
		return catalog.WithZoneOut(fact.Zone, true), Changed
	case coltsfootlink.MoveFact:
		return withMove(catalog, now, fact), Changed
	case coltsfootlink.TargetFact:
		return withTarget(catalog, now, fact)
	}
	switch fact := before.(type) {
	case coltsfootlink.ZoneOutFact:
		return withZoneReturned(catalog, now, fact.Zone), Changed
	case coltsfootlink.MoveFact:
		return catalog.WithoutMove(fact.Pool), Changed
	case coltsfootlink.TargetFact:
		return catalog.WithoutTarget(coltsfootlink.TargetName(key)), Changed
	}
	return catalog, Refreshed
}

// withMove returns the catalog with a move order; its time limit counts from when this instance first reads it.
func withMove(catalog coltsfootlink.Catalog, now time.Time, fact coltsfootlink.MoveFact) coltsfootlink.Catalog {
	return catalog.WithMove(coltsfootlink.Move{
		Pool:      fact.Pool,
		To:        fact.To,
		Started:   fact.Started,
		Shown:     fact.Started,
		OrderedAt: now,
		FinishBy:  now.Add(fact.TimeLimit),
		State:     coltsfootlink.MoveRunning,
	})
}

// withTarget returns the catalog with a target as it last registered itself. A target that has restarted without reporting
// a cold start is assumed to be in one.
func withTarget(catalog coltsfootlink.Catalog, now time.Time, fact coltsfootlink.TargetFact) (coltsfootlink.Catalog, Change) {
	target := fact.Target
	known, found := catalog.Targets[target.Name]
	if fact.ColdRemaining > 0 {
		target = target.WithColdUntil(now.Add(fact.ColdRemaining))
	}
	traits, _ := catalog.Table.Pool(target.Pool)
	restarted := found && target.Incarnation != known.Incarnation
	if restarted && fact.ColdRemaining == 0 {
		target = target.WithColdUntil(now.Add(traits.ColdStartDuration))
	}
	if !restarted && known.ColdUntil.After(target.ColdUntil) {
		target = target.WithColdUntil(known.ColdUntil)
	}
	same := found && known.WithColdUntil(time.Time{}) == target.WithColdUntil(time.Time{})
	if same && !target.ColdUntil.After(now) {
		return catalog, Refreshed
	}
	return catalog.WithTarget(target), Changed
}

// withZoneReturned returns a zone to service. Its targets are assumed to be in cold start, since they may have become cold
// while the zone was out of service.
func withZoneReturned(catalog coltsfootlink.Catalog, now time.Time, zone coltsfootlink.ZoneName) coltsfootlink.Catalog {
	catalog = catalog.WithZoneOut(zone, false)
	for _, target := range catalog.Targets {
		traits, _ := catalog.Table.Pool(target.Pool)
		if until := now.Add(traits.ColdStartDuration); target.Zone == zone && until.After(target.ColdUntil) {
			catalog = catalog.WithTarget(target.WithColdUntil(until))
		}
	}
	return catalog
}
