// Package catalog keeps what the platform says: the routing table, the targets, and the zones that are out.
package catalog

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// place is where a record lies.
type place struct {
	stream coltsfootlink.CatalogStream
	key    string
}

// entry is the newest record of a place and what it says.
type entry struct {
	record coltsfootlink.CatalogRecord
	// fact is nil if the record was removed or says nothing that can be used.
	fact coltsfootlink.Fact
}

// placeHasher makes places usable as keys of persistent maps.
type placeHasher struct{}

// Hash returns a hash of a place.
func (placeHasher) Hash(key place) uint32 {
	return immutable.NewHasher("").Hash(string(key.stream) + "/" + key.key)
}

// Equal says whether two places are the same.
func (placeHasher) Equal(left, right place) bool { return left == right }

// State is the newest record of each key, however the records arrive; it is immutable.
type State struct {
	decoder coltsfootlink.FactDecoder
	entries *immutable.Map[place, entry]
	catalog coltsfootlink.Catalog
}

// NewState returns a state that knows nothing.
func NewState(decoder coltsfootlink.FactDecoder) State {
	return State{decoder: decoder, entries: immutable.NewMap[place, entry](placeHasher{})}
}

// Catalog returns what the records say.
func (state State) Catalog() coltsfootlink.Catalog { return state.catalog }

// Change is what a record did to the state.
type Change int

const (
	// Nothing means that the record was known, or older than a known one.
	Nothing Change = iota
	// Renewal means that the record is newer and says the same.
	Renewal
	// Difference means that the record says something else.
	Difference
)

// WithRecord notes a record that was read now; older records change nothing. The error tells of a record
// that says nothing that can be used; the state then knows that.
func (state State) WithRecord(now time.Time, record coltsfootlink.CatalogRecord) (State, Change, error) {
	at := place{stream: record.Stream, key: record.Key}
	known, found := state.entries.Get(at)
	if found && record.Offset <= known.record.Offset {
		return state, Nothing, nil
	}
	var fact coltsfootlink.Fact
	var err error
	if !record.Removed {
		fact, err = state.decoder.Decode(record)
	}
	if table, is := fact.(coltsfootlink.TableFact); is && state.catalog.TableLoaded && table.Table.Version < state.catalog.Table.Version {
		// The configuration never steps back.
		return state, Nothing, nil
	}
	state.entries = state.entries.Set(at, entry{record: record, fact: fact})
	var change Change
	state.catalog, change = withFact(state.catalog, now, at.key, known.fact, fact)
	return state, change, err
}

// Records returns the newest record of each key.
func (state State) Records() []coltsfootlink.CatalogRecord {
	records := make([]coltsfootlink.CatalogRecord, 0, state.entries.Len())
	for iterator := state.entries.Iterator(); !iterator.Done(); {
		_, held, _ := iterator.Next()
		records = append(records, held.record)
	}
	return records
}

// Missing returns removals for the keys of a stream that were known before an offset and are not among the newest.
func (state State) Missing(stream coltsfootlink.CatalogStream, newest []coltsfootlink.CatalogRecord, end uint64) []coltsfootlink.CatalogRecord {
	listed := make(map[string]bool, len(newest))
	for _, record := range newest {
		listed[record.Key] = true
	}
	var missing []coltsfootlink.CatalogRecord
	for iterator := state.entries.Iterator(); !iterator.Done(); {
		at, held, _ := iterator.Next()
		if at.stream == stream && !listed[at.key] && !held.record.Removed && held.record.Offset < end {
			removal := coltsfootlink.CatalogRecord{Stream: stream, Key: at.key, Removed: true, Offset: end - 1}
			missing = append(missing, removal)
		}
	}
	return missing
}

// withFact returns the catalog after the fact of a key was replaced by another; either may be nil.
func withFact(catalog coltsfootlink.Catalog, now time.Time, key string, before, after coltsfootlink.Fact) (coltsfootlink.Catalog, Change) {
	switch fact := after.(type) {
	case coltsfootlink.TableFact:
		return catalog.WithTable(fact.Table), Difference
	case coltsfootlink.ZoneOutFact:
		return catalog.WithZoneOut(fact.Zone, true), Difference
	case coltsfootlink.MoveFact:
		return withMove(catalog, now, fact), Difference
	case coltsfootlink.TargetFact:
		return withTarget(catalog, now, fact)
	}
	switch fact := before.(type) {
	case coltsfootlink.ZoneOutFact:
		return withZoneBack(catalog, now, fact.Zone), Difference
	case coltsfootlink.MoveFact:
		return catalog.WithoutMove(fact.Pool), Difference
	case coltsfootlink.TargetFact:
		return catalog.WithoutTarget(coltsfootlink.TargetName(key)), Difference
	}
	return catalog, Renewal
}

// withMove notes an order to move; its time counts from when it is first known.
func withMove(catalog coltsfootlink.Catalog, now time.Time, fact coltsfootlink.MoveFact) coltsfootlink.Catalog {
	return catalog.WithMove(coltsfootlink.Move{
		Pool:      fact.Pool,
		To:        fact.To,
		Started:   fact.Started,
		OrderedAt: now,
		FinishBy:  now.Add(fact.TimeLimit),
		State:     coltsfootlink.MoveRunning,
	})
}

// withTarget notes what a target says of itself.
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
		return catalog, Renewal
	}
	return catalog.WithTarget(target), Difference
}

// withZoneBack takes a zone back; its targets may have turned cold while it was out.
func withZoneBack(catalog coltsfootlink.Catalog, now time.Time, zone coltsfootlink.ZoneName) coltsfootlink.Catalog {
	catalog = catalog.WithZoneOut(zone, false)
	for _, target := range catalog.Targets {
		traits, _ := catalog.Table.Pool(target.Pool)
		if until := now.Add(traits.ColdStartDuration); target.Zone == zone && until.After(target.ColdUntil) {
			catalog = catalog.WithTarget(target.WithColdUntil(until))
		}
	}
	return catalog
}
