package coltsfootlink

// OrderID identifies a move order by the positions of its records. An order has at most one position in each era of the store:
// a restore keeps its record at its offset, or the order is lost and written again at another one.
type OrderID struct {
	// First is the earliest known position of the order, and Newest that of its newest record.
	First, Newest Revision
}

// Same reports whether the positions show that both identify the same order: they agree in an era that both name. Builds without
// eras name the offset only.
//
// Two orders that name no common era count as different, even to the same version. If they were one order, it is judged a second
// time; if they were not and counted as one, a version would be completed that nobody has judged.
func (id OrderID) Same(other OrderID) bool {
	for _, one := range id.positions() {
		for _, two := range other.positions() {
			if one.Era == two.Era {
				return one.Offset == two.Offset
			}
			if (one.Era == 0 || two.Era == 0) && one.Offset == two.Offset {
				return true
			}
		}
	}
	return false
}

func (id OrderID) positions() []Position {
	return []Position{id.First.Position(), id.Newest.Position()}
}

// Order returns what identifies the move's order.
func (move Move) Order() OrderID { return OrderID{First: move.Started, Newest: move.Identity()} }

// Identity returns the revision by which instances and records name the move now: that of the order's newest record, which
// all instances read at the same position, whether they have seen the order before a restore of the store or not.
func (move Move) Identity() Revision { return max(move.Started, move.Shown) }

// WithOrder returns the move with the identity of its order as the catalog shows it.
func (move Move) WithOrder(shown Move) Move {
	move.Started, move.Shown = shown.Started, shown.Shown
	return move
}

// SameOrder reports whether two moves result from the same order.
func (move Move) SameOrder(other Move) bool {
	return move.Pool == other.Pool && move.To == other.To && move.Order().Same(other.Order())
}

// IsOf reports whether the record is of the given move, and not of an earlier or a later one of the pool. A restore that keeps the
// record of a move keeps its order, too, at its offset.
func (record MoveRecord) IsOf(move Move) bool {
	id := OrderID{First: record.Started, Newest: record.Started}
	kept := record.Started < move.Started && record.Started.Position().Offset == move.Identity().Position().Offset
	return record.To == move.To && (record.Started == 0 || kept || id.Same(move.Order()))
}

// IsOf reports whether the usages are of requests to the pool of the given move while it ran.
func (usages MoveUsages) IsOf(move Move) bool {
	return usages.Pool == move.Pool && OrderID{First: usages.Started, Newest: usages.Started}.Same(move.Order())
}
