package catalog

import (
	"bytes"
	"maps"
	"math"
	"time"

	"coltsfootlink"
)

// settleTime is how long records that were lost in a restore may take to be written again once it is noticed; targets that are
// alive register again within about two seconds. After that all keys are read once more, and what is read counts. It is
// shorter than the time that a change may take.
const settleTime = reregistrationGrace

// Settlement describes the end of the time in which the records of one stream may be written again.
type Settlement struct {
	Stream coltsfootlink.CatalogStream
	Era    uint64
	// Kept is the number of keys whose record is still at its offset, Rewritten that of keys whose content was written again.
	Kept, Rewritten int
	// Replaced is the number of keys with other content than before the restore.
	Replaced int
	// Missing is the number of keys that have no record in this era any more, or no usable one, as for a routing table of a
	// lower version.
	Missing int
	// Changed are the records that have come into force, and Written the others that were written since the restore: an
	// instance that does not read itself may have an older one of the copy instead.
	Changed, Written []coltsfootlink.CatalogRecord
}

// Era returns the latest known era of the store; zero if it reports none.
func (state State) Era() uint64 {
	var latest uint64
	for _, era := range state.eras {
		latest = max(latest, era.Begun.Era)
	}
	return latest
}

// StreamEra returns what is known of the current era for a stream, if anything is.
func (state State) StreamEra(stream coltsfootlink.CatalogStream) (coltsfootlink.StreamEra, bool) {
	era, found := state.eras[stream]
	return era, found
}

// Eras returns what is known of restores of the store.
func (state State) Eras() map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra {
	var eras map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra
	for stream, era := range state.eras {
		if era.SettleBy.IsZero() {
			continue
		}
		if eras == nil {
			eras = make(map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra)
		}
		eras[stream] = era
	}
	return eras
}

// LaterEras returns the streams of which the state knows a restore that an earlier state does not.
func (state State) LaterEras(earlier State) []coltsfootlink.CatalogStream {
	var streams []coltsfootlink.CatalogStream
	for stream, era := range state.Eras() {
		if known := earlier.eras[stream]; known.Begun.Era < era.Begun.Era || known.SettleBy.IsZero() {
			streams = append(streams, stream)
		}
	}
	return streams
}

// Settling reports whether what was known of a stream before a restore may still be in force.
func (state State) Settling(stream coltsfootlink.CatalogStream) bool { return state.settling[stream] }

// Rewriting reports whether lost records of a stream may still be written again, so that keys without one are not removed.
func (state State) Rewriting(now time.Time, stream coltsfootlink.CatalogStream) bool {
	return state.settling[stream] && now.Before(state.eras[stream].SettleBy)
}

// WithPosition returns the state after a stream was read up to a position, possibly in a later era than known. The first
// era that is known of a stream is not a restore: the store or the instance has just started.
func (state State) WithPosition(now time.Time, stream coltsfootlink.CatalogStream, end coltsfootlink.Position) State {
	era := coltsfootlink.StreamEra{Begun: end}
	if known, found := state.eras[stream]; found && known.Begun.Era < end.Era {
		era.SettleBy = now.Add(settleTime)
	}
	return state.WithEra(now, stream, era)
}

// WithRecordEra returns the state after a record was received from another instance, possibly of a later era than known, of
// which it is not known where it began.
func (state State) WithRecordEra(now time.Time, record coltsfootlink.CatalogRecord) State {
	if record.Position.Era <= state.eras[record.Stream].Begun.Era {
		return state
	}
	return state.WithPosition(now, record.Stream, coltsfootlink.Position{Era: record.Position.Era, Offset: math.MaxUint64})
}

// WithEra returns the state with what another instance knows of an era of a stream. Until it is confirmed, what is known from
// before stays in force unless records of the era say otherwise; see docs/design/store-eras.md.
func (state State) WithEra(now time.Time, stream coltsfootlink.CatalogStream, era coltsfootlink.StreamEra) State {
	known, found := state.eras[stream]
	merged := era
	if found {
		merged = known.WithMerged(era)
	}
	if found && merged == known {
		return state
	}
	state.eras = maps.Clone(state.eras)
	if state.eras == nil {
		state.eras = make(map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra)
	}
	state.eras[stream] = merged
	// A settled era stays so, unless this instance had not learned of the restore.
	learned := merged.Begun.Era > known.Begun.Era || known.SettleBy.IsZero()
	if learned && !merged.SettleBy.IsZero() && !merged.Confirmed {
		state = state.withSettling(stream, true)
	}
	return state
}

func (state State) withSettling(stream coltsfootlink.CatalogStream, settling bool) State {
	state.settling = maps.Clone(state.settling)
	if state.settling == nil {
		state.settling = make(map[coltsfootlink.CatalogStream]bool)
	}
	state.settling[stream] = settling
	return state
}

// Confirmed reports whether keys without a record of the current era of a stream may be removed.
func (state State) Confirmed(stream coltsfootlink.CatalogStream) bool {
	return !state.settling[stream] || state.eras[stream].Confirmed
}

// WithConfirmed returns the state after all keys of a stream were read when lost records had been written again.
func (state State) WithConfirmed(now time.Time, stream coltsfootlink.CatalogStream) State {
	if !state.settling[stream] {
		return state
	}
	era := state.eras[stream]
	era.Confirmed = true
	return state.WithEra(now, stream, era)
}

// WithSettled returns the state with the records of all eras that are confirmed in force, and nothing else held. The routing
// table's version does not decrease even then. While the store can't be read, what is known stays in force.
func (state State) WithSettled(now time.Time) (State, []Settlement) {
	var settlements []Settlement
	for stream, settling := range state.settling {
		era := state.eras[stream]
		if !settling || !era.Confirmed {
			continue
		}
		state = state.withSettling(stream, false)
		settlement := Settlement{Stream: stream, Era: era.Begun.Era}
		before := state.entries
		for iterator := before.Iterator(); !iterator.Done(); {
			key, stored, _ := iterator.Next()
			if key.stream != stream {
				continue
			}
			settlement = settlement.with(stored)
			if stored.held == nil {
				continue
			}
			settled := stored
			settled.held = nil
			var change Change
			state, change = state.withSettled(now, key, stored, settled)
			switch {
			case change == Changed:
				settlement.Changed = append(settlement.Changed, stored.record)
			case !stored.record.Position.Before(era.Begun):
				settlement.Written = append(settlement.Written, stored.record)
			}
		}
		settlements = append(settlements, settlement)
	}
	return state, settlements
}

// withSettled returns the state after the entry of a key was replaced by the one without the entry held for it.
func (state State) withSettled(now time.Time, key recordKey, stored, settled entry) (State, Change) {
	if stored.stays {
		return state.withEntry(now, key, stored, settled)
	}
	state.entries = state.entries.Set(key, settled)
	return state, Refreshed
}

// with counts an entry at the end of the time in which it may be written again.
func (settlement Settlement) with(stored entry) Settlement {
	switch {
	case stored.record.Position.Era < settlement.Era:
		if !stored.record.Removed {
			settlement.Missing++
		}
	case stored.held == nil:
	case stored.record.Removed && !stored.held.record.Removed:
		settlement.Missing++
	case !bytes.Equal(stored.held.record.Value, stored.record.Value):
		settlement.Replaced++
	case stored.held.record.Position.Offset == stored.record.Position.Offset:
		settlement.Kept++
	default:
		settlement.Rewritten++
	}
	return settlement
}

// isOfEarlierEra reports whether a record is of an era before the one that settles now.
func (state State) isOfEarlierEra(record coltsfootlink.CatalogRecord) bool {
	return state.settling[record.Stream] && record.Position.Era < state.eras[record.Stream].Begun.Era
}

// withKnown returns a new entry with what stays of the known entry of its key: the entry that is in force until the era has
// settled, and the identity of a move order that was written again.
func (state State) withKnown(after, known entry) entry {
	held := known.held
	if known.record.Position.Era < after.record.Position.Era {
		previous := known.inForce()
		after = after.withOrderOf(previous)
		held = &previous
	}
	_, is := after.fact.(coltsfootlink.TableFact)
	if !state.settling[after.record.Stream] || is || held == nil {
		return after
	}
	if _, is := held.fact.(coltsfootlink.TableFact); is {
		return after
	}
	after.held = held
	return after.withOrderOf(*held)
}

// isOrderOf reports whether both entries order the same move.
func (stored entry) isOrderOf(earlier entry) bool {
	fact, is := stored.fact.(coltsfootlink.MoveFact)
	known, was := earlier.fact.(coltsfootlink.MoveFact)
	return is && was && fact.IsSameOrder(known)
}

// withOrderOf returns the entry as that of an order that is known from an earlier era, if both order the same move.
func (stored entry) withOrderOf(earlier entry) entry {
	if !stored.isOrderOf(earlier) {
		return stored
	}
	origin := earlier.record.Origin
	if origin == (coltsfootlink.Position{}) {
		origin = earlier.record.Position
	}
	if origin != stored.record.Origin && !identifiesBetter(origin, stored.record.Origin) {
		return stored
	}
	stored.fact, stored.record.Origin, stored.readAt = earlier.fact, origin, earlier.readAt
	return stored
}

// identifiesBetter reports whether a position is the origin of an order rather than the known one, which is zero if there is
// none: the one of the earlier era, in which the order was given, and of two orders of that era the later one.
func identifiesBetter(origin, known coltsfootlink.Position) bool {
	switch {
	case known == coltsfootlink.Position{}:
		return true
	case origin.Era != known.Era:
		return origin.Era < known.Era
	default:
		return origin.Offset > known.Offset
	}
}

// withOrigin returns the state after another instance has told that a known move order was first written before a restore.
func (state State) withOrigin(now time.Time, key recordKey, known entry, record coltsfootlink.CatalogRecord) (State, Change, error) {
	superseded := known.held != nil && record.Origin.Before(known.held.record.Position) && !known.isOrderOf(*known.held)
	if superseded || !identifiesBetter(record.Origin, known.record.Origin) {
		return state, Ignored, nil
	}
	fact, err := state.decode(record)
	if _, is := fact.(coltsfootlink.MoveFact); err != nil || !is || known.record.Removed {
		// An error was reported when the record was new.
		return state, Ignored, nil
	}
	after := known
	after.record.Origin, after.fact = record.Origin, fact
	state, change := state.withEntry(now, key, known, after)
	return state, change, nil
}

// withEarlier returns the state with a record of an era before the one that settles now, for a key with a record of the new
// era: it tells what was last in force before the restore.
func (state State) withEarlier(now time.Time, key recordKey, known entry, record coltsfootlink.CatalogRecord) (State, Change, error) {
	fact, err := state.decode(record)
	_, table := fact.(coltsfootlink.TableFact)
	_, was := known.fact.(coltsfootlink.TableFact)
	if table || was {
		return state.withLateTable(record)
	}
	if known.held != nil && !known.held.record.Position.Before(record.Position) {
		return state, Ignored, nil
	}
	var incarnation uint64
	if known.held != nil {
		incarnation = known.held.incarnation
	}
	held := newEntry(now, incarnation, record, fact, err)
	after := known
	if _, is := known.fact.(coltsfootlink.MoveFact); is && known.record.Origin != (coltsfootlink.Position{}) {
		// The order counted as one that may have been replaced by this record.
		after.record.Origin = coltsfootlink.Position{}
		after.fact, _ = state.decode(after.record)
	}
	after.held = &held
	state, change := state.withEntry(now, key, known, after.withOrderOf(held))
	return state, change, err
}

// staysInForce reports whether what was known before a restore stays in force although there is a record of the new era. That
// record may be an older one of the copy, or an older one that is written again before the newest.
func (state State) staysInForce(after entry) bool {
	held := after.held
	switch fact := after.fact.(type) {
	case coltsfootlink.TargetFact:
		switch {
		case held.fact == nil && held.incarnation == 0:
			return true
		case fact.Target.Incarnation != held.incarnation:
			return fact.Target.Incarnation < held.incarnation
		default:
			return !fact.Target.Leaving || held.fact == nil
		}
	case coltsfootlink.ZoneOutFact:
		_, out := held.fact.(coltsfootlink.ZoneOutFact)
		return !out && after.record.Position.Before(state.eras[after.record.Stream].Begun)
	case coltsfootlink.MoveFact:
		return !after.isOrderOf(*held)
	}
	if after.record.Stream == coltsfootlink.TargetStream {
		// The removal follows a record of an earlier incarnation.
		return after.incarnation < held.incarnation
	}
	return false
}

// withColdStart returns the state with the cold start that a record of the new era reports for a target whose earlier record
// stays in force.
func (state State) withColdStart(now time.Time, standing, after entry) (State, Change) {
	known, is := standing.fact.(coltsfootlink.TargetFact)
	reported, was := after.fact.(coltsfootlink.TargetFact)
	if !is || !was || known.Target.Incarnation != reported.Target.Incarnation {
		return state, Refreshed
	}
	known.ColdRemaining = reported.ColdRemaining
	var change Change
	state.catalog, change = withTarget(state.catalog, now, known)
	return state, change
}
