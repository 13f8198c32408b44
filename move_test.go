package coltsfootlink_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// at returns the revision of an order at an offset of an era.
func at(era, offset uint64) coltsfootlink.Revision {
	return coltsfootlink.RevisionAt(coltsfootlink.Position{Era: era, Offset: offset})
}

// TestOrdersAcrossRestores guards against an order that counts as another one because it is read at another position after a
// restore of the store, and against a new order that counts as an earlier one.
func TestOrdersAcrossRestores(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: at(1, 9)}
	shown := order
	shown.Shown = at(2, 4)
	kept, keptTwice := order, order
	kept.Shown, keptTwice.Shown = at(2, 9), at(3, 9)
	otherVersion := order.WithStarted(at(2, 4))
	otherVersion.To = "v3"
	cases := map[string]struct {
		one, other coltsfootlink.Move
		same       bool
		// recorded indicates that the record of the first order is taken for one of the other.
		recorded bool
	}{
		"the same position":                      {order, order, true, true},
		"another offset of the era":              {order, order.WithStarted(at(1, 10)), false, false},
		"another offset of a later era":          {order, order.WithStarted(at(2, 4)), false, false},
		"shown again, and as it was first known": {order, shown, true, true},
		"kept, and a new order at its offset":    {shown, order.WithStarted(at(2, 9)), false, false},
		"kept, and a later order of the era":     {kept, order.WithStarted(at(2, 12)), false, false},
		"kept twice, first read in between":      {keptTwice, order.WithStarted(at(2, 9)), false, false},
		"shown again, a build without eras":      {order.WithStarted(4), shown, true, true},
		"the same offset of a later era":         {order, order.WithStarted(at(2, 9)), false, true},
		"another version in a later era":         {order, otherVersion, false, false},
		"shown again, and first read there":      {shown, order.WithStarted(at(2, 4)), true, true},
		"shown again, and a later order":         {shown, order.WithStarted(at(2, 7)), false, false},
		"a build without eras, same offset":      {order, order.WithStarted(9), true, true},
		"a build without eras, another offset":   {order, order.WithStarted(10), false, false},
		"a store without eras, two orders of it": {order.WithStarted(9), order.WithStarted(10), false, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(test.one.SameOrder(test.other), ShouldEqual, test.same)
			So(test.other.SameOrder(test.one), ShouldEqual, test.same)
			So(coltsfootlink.MoveRecord{To: test.one.To, Started: test.one.Identity()}.IsOf(test.other), ShouldEqual, test.recorded)
		})
	}
}

// TestAnnouncementsAcrossRestores guards against an announcement that revives a move because its order was read again in a later
// era, and against a later order that is taken for one that has ended.
func TestAnnouncementsAcrossRestores(t *testing.T) {
	word := func(started coltsfootlink.Revision, state coltsfootlink.MoveState, recorded bool) coltsfootlink.MoveWord {
		return coltsfootlink.MoveWord{Move: coltsfootlink.Move{Pool: "p", To: "v2", Started: started, State: state}, Recorded: recorded}
	}
	known := word(at(1, 9), coltsfootlink.MoveRolledBack, true)
	again := word(at(2, 4), coltsfootlink.MoveRolledBack, true)
	again.Move.Started, again.Move.Shown = at(1, 9), at(2, 4)
	started := word(at(2, 4), coltsfootlink.MoveRunning, false)
	started.Move = started.Move.WithOrder(again.Move)
	completed := word(at(2, 4), coltsfootlink.MoveDone, true)
	completed.Move = completed.Move.WithOrder(again.Move)
	cases := map[string]struct {
		known, word coltsfootlink.MoveWord
		replaces    bool
	}{
		"the move runs, in a later era":                 {known, started, false},
		"the other outcome, in a later era":             {known, completed, false},
		"the same outcome, in a later era":              {known, again, true},
		"the same outcome, in an earlier era":           {again, known, false},
		"the same outcome once more":                    {again, again, false},
		"a later order, not shown to be the same":       {known, word(at(2, 4), coltsfootlink.MoveRunning, false), true},
		"a later order, after the outcome was repeated": {again, word(at(2, 7), coltsfootlink.MoveRunning, false), true},
		"an earlier order of the later era":             {word(at(2, 7), coltsfootlink.MoveRunning, false), again, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(test.word.Replaces(test.known), ShouldEqual, test.replaces)
		})
	}
}

// TestRevisionsAreOrderedAsPositions guards against revisions that lose the era or the offset of their position.
func TestRevisionsAreOrderedAsPositions(t *testing.T) {
	cases := map[string]struct{ before, after coltsfootlink.Position }{
		"offsets of no era":  {coltsfootlink.Position{Offset: 3}, coltsfootlink.Position{Offset: 9}},
		"offsets of one era": {coltsfootlink.Position{Era: 1, Offset: 3}, coltsfootlink.Position{Era: 1, Offset: 9}},
		"a later era":        {coltsfootlink.Position{Era: 1, Offset: 9}, coltsfootlink.Position{Era: 2, Offset: 3}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(coltsfootlink.RevisionAt(test.before), ShouldBeLessThan, coltsfootlink.RevisionAt(test.after))
			So(coltsfootlink.RevisionAt(test.before).Position(), ShouldResemble, test.before)
			So(coltsfootlink.RevisionAt(test.after).Position(), ShouldResemble, test.after)
		})
	}
}
