package move

import (
	"maps"
	"time"

	"coltsfootlink"
)

// Ledger is what an instance knows of the newest move of each pool, from the orders in its catalog and from announcements; it is
// immutable. The catalog decides which order is the newest, and which records are of one order; an outcome counts for the order
// that it was announced of and for no other one, not even to the same version.
type Ledger struct {
	entries map[coltsfootlink.PoolName]entry
}

// heard is an announcement and when it was received; empty if there is none.
type heard struct {
	coltsfootlink.MoveWord

	at time.Time
}

// entry is what is known of one pool.
type entry struct {
	// word is the newest announcement of the order that the catalog shows, or the order itself as a move that runs without a
	// share; if the catalog has not shown an order yet, the newest announcement.
	word heard
	// ahead is the newest announcement of an order that the catalog does not show yet.
	ahead heard
	// before is what was known of the move before.
	before coltsfootlink.Move
}

// Word returns what is known of a move and when it was announced. A move that nothing was announced of runs, without a share for
// its new version; so does a running move after which a later order of the pool was announced.
func (ledger Ledger) Word(order coltsfootlink.Move) (coltsfootlink.MoveWord, time.Time) {
	known := ledger.entries[order.Pool]
	switch {
	case !known.word.Move.SameOrder(order):
		return coltsfootlink.MoveWord{Move: order.WithState(coltsfootlink.MoveRunning, "")}, time.Time{}
	case !known.ahead.at.IsZero() && !known.word.Move.State.Final():
		return coltsfootlink.MoveWord{Move: known.word.Move}, time.Time{}
	default:
		return known.word.MoveWord, known.word.at
	}
}

// Before returns what is known of the pool's move before the given one; an empty move if nothing is.
func (ledger Ledger) Before(order coltsfootlink.Move) coltsfootlink.Move {
	known := ledger.entries[order.Pool]
	if !known.word.Move.SameOrder(order) {
		return known.word.Move
	}
	return known.before
}

// WithWord returns the ledger with an announcement that was received now, unless it is late: of an earlier move, or of a move
// that has ended since. A question announces nothing.
func (ledger Ledger) WithWord(now time.Time, word coltsfootlink.MoveWord) Ledger {
	if word.IsQuestion() {
		return ledger
	}
	known, found := ledger.entries[word.Move.Pool]
	received := heard{word, now}
	switch {
	case !found:
		known.word = received
	case word.Move.SameOrder(known.word.Move):
		if !word.Replaces(known.word.MoveWord) {
			return ledger
		}
		received.Move = word.Move.WithOrder(known.word.Move)
		known.word = received
	case word.Move.Identity() < known.word.Move.Identity():
		return ledger
	case !known.ahead.at.IsZero() && !word.Replaces(known.ahead.MoveWord):
		return ledger
	default:
		known.ahead = received
	}
	return ledger.with(known)
}

// WithCatalog returns the ledger with the orders of a catalog.
func (ledger Ledger) WithCatalog(catalog coltsfootlink.Catalog) Ledger {
	for _, order := range catalog.Moves {
		ledger = ledger.withOrder(catalog, order)
	}
	return ledger
}

// withOrder returns the ledger with an order that the catalog shows.
func (ledger Ledger) withOrder(catalog coltsfootlink.Catalog, order coltsfootlink.Move) Ledger {
	known, found := ledger.entries[order.Pool]
	ahead, before := known.ahead, known.word.Move
	if found && order.Identity() < before.Identity() {
		// The announcement was received before the catalog showed any order.
		ahead, before = known.word, coltsfootlink.Move{}
	}
	first := order.WithVersions(catalog.InService(order), nil)
	shown := entry{word: heard{MoveWord: coltsfootlink.MoveWord{Move: first.WithPredecessor(before)}}, before: before}
	if found && order.SameOrder(known.word.Move) {
		// An instance that starts may read the order before the targets.
		unserved := len(known.word.Move.Serving) == 0 && len(first.Serving) > 0
		if order.Order() == known.word.Move.Order() && !unserved {
			return ledger
		}
		shown.word, shown.before = known.word, known.before
		shown.word.Move = known.word.Move.WithOrder(order)
		if unserved {
			shown.word.Move = shown.word.Move.WithVersions(first.Serving, known.word.Move.Rejected)
		}
	}
	ledger = ledger.with(shown)
	if !ahead.at.IsZero() {
		ledger = ledger.WithWord(ahead.at, ahead.MoveWord)
	}
	return ledger
}

func (ledger Ledger) with(known entry) Ledger {
	entries := maps.Clone(ledger.entries)
	if entries == nil {
		entries = make(map[coltsfootlink.PoolName]entry)
	}
	entries[known.word.Move.Pool] = known
	return Ledger{entries: entries}
}
