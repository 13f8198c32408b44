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
	// readAt is when the record was first read. A move order that was written again after a restore keeps its first time.
	readAt time.Time
	// incarnation is the last known one of the target; it is kept after a removal.
	incarnation uint64
	// held is, while an era settles, the entry that was in force before it; nil if there is none.
	held *entry
	// stays indicates that held remains in force until the era has settled.
	stays bool
}

// inForce returns the entry whose fact is in force.
func (stored entry) inForce() entry {
	if stored.stays {
		return *stored.held
	}
	stored.held = nil
	return stored
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
	// eras are the current eras of the streams; settling are those streams whose era has not settled yet.
	eras     map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra
	settling map[coltsfootlink.CatalogStream]bool
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
// in force until another one replaces it. While an era settles, what was known before may stay in force.
func (state State) WithRecord(now time.Time, record coltsfootlink.CatalogRecord) (State, Change, error) {
	key := recordKey{stream: record.Stream, key: record.Key}
	known, found := state.entries.Get(key)
	switch {
	case found && state.isOfEarlierEra(record) && !state.isOfEarlierEra(known.record):
		return state.withEarlier(now, key, known, record)
	case found && known.record.Position == record.Position && record.Origin != coltsfootlink.Position{}:
		return state.withOrigin(now, key, known, record)
	case found && !known.record.Position.Before(record.Position) || !found && state.wasRemoved(record):
		return state.withLateTable(record)
	}
	fact, err := state.decode(record)
	if table, is := fact.(coltsfootlink.TableFact); is {
		if state.catalog.TableLoaded && table.Table.Version < state.catalog.Table.Version {
			// The version of the routing table never decreases.
			return state, Ignored, nil
		}
		state.table = record
	}
	after := newEntry(now, known.incarnation, record, fact, err)
	if found {
		after = state.withKnown(after, known)
	}
	state, change := state.withEntry(now, key, known, after)
	return state, change, err
}

// decode returns the fact in a record; nil if the record is a removal.
func (state State) decode(record coltsfootlink.CatalogRecord) (coltsfootlink.Fact, error) {
	if record.Removed {
		return nil, nil
	}
	if record.Origin != (coltsfootlink.Position{}) {
		record.Position = record.Origin
	}
	return state.decoder.Decode(record)
}

// newEntry returns the entry of a record that was read now, with the fact or the error from decoding it.
func newEntry(now time.Time, incarnation uint64, record coltsfootlink.CatalogRecord, fact coltsfootlink.Fact, err error) entry {
	if err != nil {
		record.Removed, record.Value, fact = true, nil, nil
	}
	if target, is := fact.(coltsfootlink.TargetFact); is {
		incarnation = target.Target.Incarnation
	}
	return entry{record: record, fact: fact, readAt: now, incarnation: incarnation}
}

// wasRemoved reports whether a record of a key that is not known is older than the complete read that did not list its key.
// While an era settles, its own complete read says nothing of records of the era before, which may be written again.
func (state State) wasRemoved(record coltsfootlink.CatalogRecord) bool {
	end := state.ends[record.Stream]
	if state.isOfEarlierEra(record) && end.Era == state.eras[record.Stream].Begun.Era {
		return false
	}
	return record.Position.Before(end)
}

// withEntry returns the state after the entry of a key was replaced.
func (state State) withEntry(now time.Time, key recordKey, known, after entry) (State, Change) {
	after.stays = after.held != nil && state.staysInForce(after)
	state.entries = state.entries.Set(key, after)
	before, standing := known.inForce(), after.inForce()
	if after.stays && before.record.Position == standing.record.Position {
		return state.withColdStart(now, standing, after)
	}
	var change Change
	state.catalog, change = withFact(state.catalog, now, key.key, before.fact, standing)
	return state, change
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

// Records returns the newest record of each key, the records that are in force until an era has settled, and the record of
// the routing table in force.
func (state State) Records() []coltsfootlink.CatalogRecord {
	records := make([]coltsfootlink.CatalogRecord, 0, state.entries.Len()+1)
	for iterator := state.entries.Iterator(); !iterator.Done(); {
		_, stored, _ := iterator.Next()
		records = append(records, stored.record)
		if stored.held != nil {
			records = append(records, stored.held.record)
		}
	}
	stored, _ := state.entries.Get(recordKey{stream: state.table.Stream, key: state.table.Key})
	if state.catalog.TableLoaded && stored.record.Position != state.table.Position {
		records = append(records, state.table)
	}
	return records
}

// Stored returns the stored form of a record, which has the origin of a move order, or the record itself if another one of
// its key is known.
func (state State) Stored(record coltsfootlink.CatalogRecord) coltsfootlink.CatalogRecord {
	stored, found := state.entries.Get(recordKey{stream: record.Stream, key: record.Key})
	if found && stored.record.Position == record.Position {
		record.Origin = stored.record.Origin
	}
	return record
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

// withFact returns the catalog after the fact of a key was replaced by that of an entry; either fact may be nil.
func withFact(catalog coltsfootlink.Catalog, now time.Time, key string, before coltsfootlink.Fact, after entry) (coltsfootlink.Catalog, Change) {
	switch fact := after.fact.(type) {
	case coltsfootlink.TableFact:
		return catalog.WithTable(fact.Table), Changed
	case coltsfootlink.ZoneOutFact:
		return catalog.WithZoneOut(fact.Zone, true), Changed
	case coltsfootlink.MoveFact:
		return withMove(catalog, after, fact), Changed
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

// withMove returns the catalog with a move order; its time limit counts from when this instance first read it. An order that was
// written again after a restore of the store keeps the revision of its first record beside that of the newest one.
func withMove(catalog coltsfootlink.Catalog, ordered entry, fact coltsfootlink.MoveFact) coltsfootlink.Catalog {
	return catalog.WithMove(coltsfootlink.Move{
		Pool:      fact.Pool,
		To:        fact.To,
		Started:   fact.Started,
		Shown:     coltsfootlink.RevisionAt(ordered.record.Position),
		OrderedAt: ordered.readAt,
		FinishBy:  ordered.readAt.Add(fact.TimeLimit),
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
