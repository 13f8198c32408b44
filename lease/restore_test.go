package lease

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// restored puts a log without records, as before the first acquisition, in place of the store's in the next era.
func (store *store) restored() {
	store.lease, store.found, store.end = coltsfootlink.LeaseRecord{}, false, coltsfootlink.Position{Era: store.end.Era + 1}
}

// TestLeaseLostInARestoreIsNotAcquiredWhileItsHolderMayCall guards against two instances that may call after the store has lost
// the record of the lease.
func TestLeaseLostInARestoreIsNotAcquiredWhileItsHolderMayCall(t *testing.T) {
	Convey("the record of the holder's acquisition is lost", t, func() {
		store := &store{}
		a, b := &member{New("a", 1, length), store}, &member{New("b", 2, length), store}
		a.advance(0, true)
		So(validAt(1, a, b), ShouldEqual, "a")
		store.restored()
		b.advance(100, true)
		So(validAt(101, a, b), ShouldEqual, "a")
	})
}

// TestTokenRisesAcrossARestore guards against a fencing token that is lower than one that the platform has seen before the store
// lost the record of its acquisition.
func TestTokenRisesAcrossARestore(t *testing.T) {
	Convey("an acquisition at an offset that is assigned again", t, func() {
		store := &store{end: coltsfootlink.Position{Era: 1, Offset: 7}}
		first := &member{New("a", 1, length), store}
		first.advance(0, true)
		before := first.Token()
		So(before, ShouldBeGreaterThan, 0)
		store.restored()
		second := &member{New("b", 2, length), store}
		second.advance(0, true)
		second.advance(10_000, true)
		second.advance(20_000, true)
		So(second.Holds(), ShouldBeTrue)
		So(second.Token(), ShouldBeGreaterThan, before)
	})
}
