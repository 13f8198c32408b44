package coltsfootlink

import (
	"cmp"
	"math"
	"strconv"
)

// FirstEra is the era that a store which was never restored is taken to be in. The platform does not publish the number of its
// first era; a later one counts as begun by a restore.
const FirstEra = 1

// Position is a place in a stream of the platform's store. The store may be restored from a copy, after which it assigns
// offsets again that it had assigned before, so an offset identifies a record only within one era of the store. The zero
// value is the start of every stream; with a store that reports no eras, the era of all positions is zero.
//
// Positions are ordered by era, then by offset. What is read in a later era is therefore newer than all that was read in an
// earlier one, including a record that the restore has kept and that was known at the same offset before.
type Position struct {
	// Era is the era of the store in which the position was read or assigned; it rises by one with each restore.
	Era uint64
	// Offset numbers the records of a stream without gaps.
	Offset uint64
}

// Compare returns -1 if the position is before the other one, 0 if they are equal, and 1 if it is after the other one.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Offset, other.Offset))
}

// Before reports whether the position is before the other one.
func (position Position) Before(other Position) bool { return position.Compare(other) < 0 }

// Next returns the position of the next record of the same era.
func (position Position) Next() Position { return position.Plus(1) }

// Plus returns the position a number of records further in the same era.
func (position Position) Plus(records int) Position {
	return Position{Era: position.Era, Offset: position.Offset + uint64(records)}
}

// Previous returns the last position before this one. Before the first offset of an era, this is the end of the range of
// offsets in the era before; before the zero value there is none, and Previous returns the zero value.
func (position Position) Previous() Position {
	switch {
	case position.Offset > 0:
		position.Offset--
	case position.Era > 0:
		position = Position{Era: position.Era - 1, Offset: math.MaxUint64}
	}
	return position
}

// String returns the era and the offset, for log lines and error messages.
func (position Position) String() string {
	return strconv.FormatUint(position.Era, 10) + "/" + strconv.FormatUint(position.Offset, 10)
}
