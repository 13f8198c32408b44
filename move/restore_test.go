package move

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/catalog"
	"coltsfootlink/mailbox"
)

// at returns the revision of an order at an offset of an era.
func at(era, offset uint64) coltsfootlink.Revision {
	return coltsfootlink.RevisionAt(coltsfootlink.Position{Era: era, Offset: offset})
}

// restore begins the next era, in which the records are those of a copy.
func (store *recordStore) restore(known map[coltsfootlink.PoolName]coltsfootlink.MoveRecord) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.known = known
	store.end = coltsfootlink.Position{Era: store.end.Era + 1, Offset: store.end.Offset / 2}
}

// record returns the record of the pool, without what it says of other versions.
func (store *recordStore) record() coltsfootlink.MoveRecord {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	record := store.known["p"]
	record.Serving, record.Rejected = nil, nil
	return record
}

// eraFixture is instance a, which coordinates the move of the pool, beside the live instance b.
type eraFixture struct {
	staleFixture
}

// newEraFixture runs the coordinator with what the store has recorded in an era.
func newEraFixture(ctx context.Context, era uint64, recorded coltsfootlink.MoveRecord, started coltsfootlink.Revision) *eraFixture {
	clock := &manualClock{now: time.Now()}
	fixture := &eraFixture{staleFixture{
		store:  &recordStore{known: map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": recorded}, end: coltsfootlink.Position{Era: era, Offset: 20}},
		sender: new(sender), clock: clock,
	}}
	fixture.task = &Task{Self: "a", Records: fixture.store, Clock: clock, Sender: fixture.sender, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
	fixture.tell("", coltsfootlink.ViewChanged{View: coltsfootlink.View{Members: []coltsfootlink.Member{
		{Instance: coltsfootlink.Instance{Name: "a"}, Live: true}, {Instance: coltsfootlink.Instance{Name: "b"}, Live: true},
	}}})
	fixture.show(started)
	go func() { _ = fixture.task.Run(ctx) }()
	return fixture
}

// show has the catalog show the order at another position.
func (fixture *eraFixture) show(started coltsfootlink.Revision) {
	fixture.order = coltsfootlink.Move{
		Pool: "p", To: "v2", Started: started, State: coltsfootlink.MoveRunning, OrderedAt: fixture.clock.Now(), FinishBy: fixture.clock.Now().Add(time.Hour),
	}
	fixture.tell("", coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithMove(fixture.order)})
}

// play lets the time of the coordinator go on, in steps that it does not take for a stall, until a condition holds.
func (fixture *eraFixture) play(holds func() bool) bool {
	for range 1000 {
		if holds() {
			return true
		}
		fixture.clock.advance(5 * time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func (fixture *eraFixture) playFor(duration time.Duration) {
	until := time.Now().Add(duration)
	fixture.play(func() bool { return time.Now().After(until) })
}

// TestOutcomesLostInARestore guards against a move that begins anew, or whose other outcome is announced, because the store has
// lost the recorded one.
func TestOutcomesLostInARestore(t *testing.T) {
	running := coltsfootlink.MoveRecord{To: "v2", Started: at(1, 9), State: coltsfootlink.MoveRunning}
	rolledBack := coltsfootlink.MoveRecord{To: "v2", Started: at(1, 9), State: coltsfootlink.MoveRolledBack}
	done := coltsfootlink.MoveRecord{To: "v2", Started: at(1, 9), State: coltsfootlink.MoveDone}
	earlier := coltsfootlink.MoveRecord{To: "v1", Started: at(1, 2), State: coltsfootlink.MoveDone}
	cases := map[string]struct {
		recorded, copied coltsfootlink.MoveRecord
		// shown is the position at which the order is read after the restore; zero if it is not read again.
		shown coltsfootlink.Revision
	}{
		"a rollback, the copy has nothing of the move":           {rolledBack, earlier, 0},
		"a rollback, the copy has that the move runs":            {rolledBack, running, 0},
		"a completion, the copy has that the move runs":          {done, running, 0},
		"a rollback, the order is shown again at another offset": {rolledBack, running, at(2, 4)},
		"a completion, the order was kept":                       {done, running, at(2, 9)},
		"a completion that the copy has":                         {done, done, at(2, 9)},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fixture := newEraFixture(ctx, 1, test.recorded, at(1, 9))
			announced := func() bool {
				word, _ := fixture.sender.last()
				return word.Recorded && word.Move.State == test.recorded.State
			}
			So(fixture.play(announced), ShouldBeTrue)
			fixture.store.restore(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": test.copied})
			fixture.sender.takeSent()
			identity := at(1, 9)
			if test.shown != 0 {
				fixture.order.Shown = test.shown
				fixture.tell("", coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithMove(fixture.order)})
				identity = test.shown
			}
			So(fixture.play(func() bool {
				record := fixture.store.record()
				return record.To == "v2" && record.Started == identity && record.State == test.recorded.State && announced()
			}), ShouldBeTrue)
			fixture.playFor(time.Second)
			for _, word := range fixture.sender.takeSent() {
				So(word.Move.State, ShouldEqual, test.recorded.State)
			}
			So(fixture.store.recordedState(), ShouldEqual, test.recorded.State)
		})
	}
}

// TestCoordinatorLearnsOutcomesThatTheStoreHasLost guards against a coordinator that starts after a restore of the store and
// begins a move anew whose outcome other instances know.
func TestCoordinatorLearnsOutcomesThatTheStoreHasLost(t *testing.T) {
	for _, outcome := range []coltsfootlink.MoveState{coltsfootlink.MoveRolledBack, coltsfootlink.MoveDone} {
		Convey(string(outcome), t, func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			other := &Task{Self: "b", Records: &recordStore{end: coltsfootlink.Position{Era: 2}}, Clock: coltsfootlink.SystemClock{}, Sender: new(sender), Log: zerolog.Nop()}
			known := coltsfootlink.Move{Pool: "p", To: "v2", Started: at(1, 9), State: outcome}
			other.handle(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: coltsfootlink.Catalog{}.WithMove(
				coltsfootlink.Move{Pool: "p", To: "v2", Started: at(1, 9), Shown: at(2, 4), State: coltsfootlink.MoveRunning},
			)}})
			other.handleWord("c", coltsfootlink.MoveWord{Move: known, Recorded: true})
			fixture := newEraFixture(ctx, 2, coltsfootlink.MoveRecord{To: "v2", Started: at(1, 9), State: coltsfootlink.MoveRunning}, at(2, 4))
			So(fixture.play(func() bool { _, found := fixture.sender.last(); return found }), ShouldBeTrue)
			questions := fixture.sender.takeSent()
			So(questions, ShouldHaveLength, 1)
			So(questions[0].Share, ShouldEqual, 0)
			other.handleWord("a", questions[0])
			reply, replied := other.Sender.(*sender).last()
			So(replied, ShouldBeTrue)
			fixture.tell("b", reply)
			So(fixture.play(func() bool { return fixture.store.recordedState() == outcome }), ShouldBeTrue)
			fixture.playFor(time.Second)
			for _, word := range fixture.sender.takeSent() {
				So(word.Move.State, ShouldEqual, outcome)
			}
			So(fixture.store.states(), ShouldResemble, []coltsfootlink.MoveState{outcome})
		})
	}
}

// TestOrdersAfterARestore checks that a move runs if its order is new in the later era, and that nobody is asked in the first era.
func TestOrdersAfterARestore(t *testing.T) {
	recorded := coltsfootlink.MoveRecord{To: "v2", Started: at(2, 4), State: coltsfootlink.MoveRolledBack}
	cases := map[string]struct {
		era       uint64
		recorded  coltsfootlink.MoveRecord
		started   coltsfootlink.Revision
		questions int
	}{
		"a second order to the same version in the later era": {2, recorded, at(2, 7), 1},
		"an order to another version than before the restore": {2, coltsfootlink.MoveRecord{To: "v1", Started: at(1, 9), State: coltsfootlink.MoveDone}, at(2, 4), 1},
		"the first era": {1, coltsfootlink.MoveRecord{}, at(1, 7), 0},
		"no eras":       {0, coltsfootlink.MoveRecord{}, 7, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fixture := newEraFixture(ctx, test.era, test.recorded, test.started)
			So(fixture.play(func() bool { word, _ := fixture.sender.last(); return word.Share > 0 }), ShouldBeTrue)
			So(fixture.store.record(), ShouldResemble, coltsfootlink.MoveRecord{To: "v2", Started: test.started, State: coltsfootlink.MoveRunning})
			questions := 0
			for _, word := range fixture.sender.takeSent() {
				if word.Share == 0 {
					questions++
				}
			}
			So(questions, ShouldEqual, test.questions)
		})
	}
}

// orderDecoder decodes move orders whose value is the version.
type orderDecoder struct{}

// Decode returns the order in a record.
func (orderDecoder) Decode(record coltsfootlink.CatalogRecord) (coltsfootlink.Fact, error) {
	return coltsfootlink.MoveFact{Pool: "p", To: coltsfootlink.Version(record.Value), Started: coltsfootlink.RevisionAt(record.Position), TimeLimit: time.Hour}, nil
}

// ordersFixture is a coordinator whose catalog follows the operators' stream, and that receives its own announcements.
type ordersFixture struct {
	*eraFixture

	state catalog.State
}

func newOrdersFixture(ctx context.Context) *ordersFixture {
	fixture := &ordersFixture{
		eraFixture: newEraFixture(ctx, 1, coltsfootlink.MoveRecord{To: "v2", Started: at(1, 9), State: coltsfootlink.MoveRunning}, at(1, 9)),
		state:      catalog.NewState(orderDecoder{}),
	}
	fixture.read(1, 9, "v2")
	return fixture
}

// read has the catalog read an order.
func (fixture *ordersFixture) read(era, offset uint64, to coltsfootlink.Version) {
	position := coltsfootlink.Position{Era: era, Offset: offset}
	now := fixture.clock.Now()
	fixture.state, _, _ = fixture.state.WithPosition(now, coltsfootlink.OperatorStream, position.Next()).
		WithRecord(now, coltsfootlink.CatalogRecord{Stream: coltsfootlink.OperatorStream, Key: "p", Position: position, Value: []byte(to)})
	fixture.tell("", coltsfootlink.CatalogChanged{Catalog: fixture.state.Catalog()})
}

// settle lets the time go by in which records may be written again.
func (fixture *ordersFixture) settle() {
	now := fixture.clock.Now()
	fixture.state, _ = fixture.state.WithConfirmed(now, coltsfootlink.OperatorStream).WithSettled(now)
}

// end has another coordinator record an outcome, and waits until the order's coordinator announces it.
func (fixture *ordersFixture) end(started coltsfootlink.Revision, to coltsfootlink.Version, state coltsfootlink.MoveState) bool {
	fixture.store.replace(coltsfootlink.MoveRecord{To: to, Started: started, State: state})
	fixture.clock.advance(stallTimeout)
	return fixture.announces(to, state)
}

func (fixture *ordersFixture) announces(to coltsfootlink.Version, state coltsfootlink.MoveState) bool {
	return fixture.play(func() bool {
		word, _ := fixture.sender.last()
		// The sender delivers to nobody, not even to this instance itself.
		fixture.tell("a", word)
		return word.Move.To == to && word.Move.State == state && word.Recorded == state.Final()
	})
}

// TestOrdersOfTwoVersionsAreWrittenAgain guards against a version that gets traffic again because its order is written again before
// that of a later version.
func TestOrdersOfTwoVersionsAreWrittenAgain(t *testing.T) {
	Convey("v2 was rolled back and v3 completed, and the store has lost both", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newOrdersFixture(ctx)
		So(fixture.end(at(1, 9), "v2", coltsfootlink.MoveRolledBack), ShouldBeTrue)
		fixture.read(1, 10, "v3")
		So(fixture.end(at(1, 10), "v3", coltsfootlink.MoveDone), ShouldBeTrue)
		fixture.store.restore(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{})
		fixture.sender.takeSent()
		fixture.read(2, 4, "v2")
		fixture.playFor(time.Second)
		fixture.read(2, 5, "v3")
		So(fixture.announces("v3", coltsfootlink.MoveDone), ShouldBeTrue)
		So(fixture.play(func() bool { return fixture.store.record().Started == at(2, 5) }), ShouldBeTrue)
		for _, word := range fixture.sender.takeSent() {
			So(word.Move.State.Final(), ShouldBeTrue)
		}
		So(fixture.store.record(), ShouldResemble, coltsfootlink.MoveRecord{To: "v3", Started: at(2, 5), State: coltsfootlink.MoveDone})
	})
}

// TestNewOrderTakesNoOutcomeFromBeforeARestore guards against a new order that counts as completed or rolled back because an
// earlier order to the same version was before the store was restored.
func TestNewOrderTakesNoOutcomeFromBeforeARestore(t *testing.T) {
	cases := map[string]struct {
		// outcome is that of the first order to v2.
		outcome coltsfootlink.MoveState
		// restoreBefore indicates that the store is restored before the order back to v1, which is then read in the later era only.
		restoreBefore bool
		// kept indicates that the copy has the last order, so that it is read at the same offset.
		kept bool
	}{
		"completed, the order back was kept":           {coltsfootlink.MoveDone, false, true},
		"completed, the order back is written again":   {coltsfootlink.MoveDone, false, false},
		"completed, the order back is in the next era": {coltsfootlink.MoveDone, true, true},
		"rolled back, the order back was kept":         {coltsfootlink.MoveRolledBack, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fixture := newOrdersFixture(ctx)
			So(fixture.end(at(1, 9), "v2", test.outcome), ShouldBeTrue)
			back := at(1, 12)
			if test.restoreBefore {
				fixture.store.restore(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": {To: "v2", Started: at(1, 9), State: test.outcome}})
				fixture.read(2, 9, "v2")
				fixture.settle()
				back = at(2, 12)
			}
			fixture.read(back.Position().Era, back.Position().Offset, "v1")
			So(fixture.end(back, "v1", coltsfootlink.MoveDone), ShouldBeTrue)
			if !test.restoreBefore {
				fixture.store.restore(map[coltsfootlink.PoolName]coltsfootlink.MoveRecord{"p": {To: "v1", Started: back, State: coltsfootlink.MoveDone}})
				offset := uint64(7)
				if test.kept {
					offset = 12
				}
				fixture.read(2, offset, "v1")
				fixture.settle()
				So(fixture.play(func() bool { return fixture.store.record().Started == at(2, offset) }), ShouldBeTrue)
			}
			fixture.sender.takeSent()
			fixture.read(2, 30, "v2")
			So(fixture.announces("v2", coltsfootlink.MoveRunning), ShouldBeTrue)
			fixture.playFor(time.Second)
			for _, word := range fixture.sender.takeSent() {
				So(word.Move.To == "v2" && word.Move.State.Final(), ShouldBeFalse)
			}
			So(fixture.store.record(), ShouldResemble, coltsfootlink.MoveRecord{To: "v2", Started: at(2, 30), State: coltsfootlink.MoveRunning})
		})
	}
}
