package lease

import (
	"fmt"
	"math/rand/v2"
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

// restoredFrom puts an earlier copy in place of the log in the next era. The token of an acquisition is read with that era.
func (store *store) restoredFrom(earlier store) {
	earlier.end.Era = store.end.Era + 1
	if earlier.acquired != nil {
		earlier.lease.Token = coltsfootlink.FencingToken(coltsfootlink.Position{Era: earlier.end.Era, Offset: *earlier.acquired})
	}
	*store = earlier
}

// TestHolderAcrossARestore guards against a holder that goes on without its record, and against an append of the era before
// that makes its sender a holder.
func TestHolderAcrossARestore(t *testing.T) {
	type fleet struct {
		a, b  *member
		store *store
		// empty is the store before the acquisition of a at 0 ms, and early the one after it.
		empty, early store
	}
	read := func(one *member, millis int) {
		one.State = one.WithBegun(after(millis), Read).WithRead(after(millis), one.store.read())
	}
	firstToken := coltsfootlink.FencingToken(coltsfootlink.Position{Era: 1})
	cases := map[string]struct {
		// play returns the time that is looked at; valid names those that may call then, and token is that of the record.
		play  func(*fleet) int
		valid string
		token uint64
	}{
		"a holder that has not learned of the restore may call until its lease expires": {func(fleet *fleet) int {
			fleet.store.restoredFrom(fleet.empty)
			return 2699
		}, "a", 0},
		"a holder that finds its record gone makes no call before it is written again": {func(fleet *fleet) int {
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.a, 1000)
			return 1000
		}, "", 0},
		"and writes it again with its token": {func(fleet *fleet) int {
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.a, 1000)
			fleet.a.advance(1000, true)
			return 1000
		}, "a", firstToken},
		"a holder whose renewal is lost writes it again as well": {func(fleet *fleet) int {
			fleet.a.advance(1000, true)
			fleet.store.restoredFrom(fleet.early)
			fleet.a.advance(2000, true)
			return 2000
		}, "a", firstToken},
		"a holder whose lease has expired meanwhile waits as others do": {func(fleet *fleet) int {
			fleet.store.restoredFrom(fleet.early)
			read(fleet.a, 2700)
			fleet.a.advance(2700+3299, true)
			return 2700 + 3299
		}, "", coltsfootlink.FencingToken(coltsfootlink.Position{Era: 2})},
		"and then acquires anew": {func(fleet *fleet) int {
			fleet.store.restoredFrom(fleet.early)
			read(fleet.a, 2700)
			fleet.a.advance(2700+3300, true)
			return 2700 + 3300
		}, "a", coltsfootlink.FencingToken(coltsfootlink.Position{Era: 2, Offset: 1})},
		"a candidate waits anew after it has seen the era": {func(fleet *fleet) int {
			fleet.a.advance(1000, true)
			fleet.b.advance(1100, true)
			copied := *fleet.store
			fleet.a.advance(2000, true)
			fleet.store.restoredFrom(copied)
			fleet.b.advance(3000, true)
			fleet.b.advance(4400, true)
			return 4400
		}, "a", firstToken},
		"an acquisition of the era before that takes effect by accident": {func(fleet *fleet) int {
			fleet.b.advance(100, true)
			fleet.b.State = fleet.b.WithBegun(after(3400), Acquire)
			record, at := fleet.b.Proposal(0)
			fleet.store.restoredFrom(fleet.early)
			fleet.store.append(&record, at)
			fleet.b.State = fleet.b.WithFailure(after(3500))
			fleet.b.advance(3700, true)
			return 3700
		}, "", coltsfootlink.FencingToken(coltsfootlink.Position{Era: 2, Offset: 1})},
		"also if its answer is taken for that of the era before": {func(fleet *fleet) int {
			fleet.b.advance(100, true)
			fleet.b.State = fleet.b.WithBegun(after(3400), Acquire)
			fleet.store.restoredFrom(fleet.early)
			fleet.b.answer(3400)
			return 3400
		}, "", coltsfootlink.FencingToken(coltsfootlink.Position{Era: 2, Offset: 1})},
		"a renewal of the era before that replaces the record of a new holder": {func(fleet *fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(2600), Renew)
			record, at := fleet.a.Proposal(0)
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.b, 2600)
			fleet.b.advance(6000, true)
			fleet.store.append(&record, at)
			fleet.a.State = fleet.a.WithFailure(after(6100))
			fleet.a.advance(6300, true)
			return 6300
		}, "b", firstToken},
		"which writes its own record again once it has read that": {func(fleet *fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(2600), Renew)
			record, at := fleet.a.Proposal(0)
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.b, 2600)
			fleet.b.advance(6000, true)
			fleet.store.append(&record, at)
			read(fleet.b, 7000)
			So(validAt(7000, fleet.b), ShouldBeEmpty)
			fleet.b.advance(7000, true)
			fleet.a.State = fleet.a.WithFailure(after(7000))
			fleet.a.advance(7200, true)
			return 8699
		}, "b", coltsfootlink.FencingToken(coltsfootlink.Position{Era: 2})},
		"or stops if its lease has expired": {func(fleet *fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(2600), Renew)
			record, at := fleet.a.Proposal(0)
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.b, 2600)
			fleet.b.advance(6000, true)
			fleet.store.append(&record, at)
			fleet.b.advance(8700, true)
			return 8700
		}, "", firstToken},
		"a holder whose own renewal of the era before replaces its record writes it again": {func(fleet *fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(1000), Renew)
			record, at := fleet.a.Proposal(0)
			fleet.store.restoredFrom(fleet.empty)
			fleet.a.State = fleet.a.WithFailure(after(1100))
			fleet.a.advance(1300, true)
			fleet.store.append(&record, at)
			fleet.a.advance(2300, true)
			return 2300
		}, "a", firstToken},
		"a holder that was replaced before it has written its record again stops": {func(fleet *fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(500), Renew)
			record, at := fleet.a.Proposal(0)
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.a, 1000)
			read(fleet.b, 1000)
			fleet.b.advance(4300, true)
			fleet.store.append(&record, at)
			read(fleet.a, 4400)
			fleet.a.advance(4400, true)
			return 4400
		}, "b", firstToken},
		"a holder that finds another one's record in the new era stops": {func(fleet *fleet) int {
			fleet.store.restoredFrom(fleet.empty)
			read(fleet.b, 10)
			fleet.b.advance(3310, true)
			fleet.a.State = fleet.a.WithConflict(after(3310))
			fleet.a.advance(3310, true)
			return 3310
		}, "b", coltsfootlink.FencingToken(coltsfootlink.Position{Era: 2})},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			log := &store{end: coltsfootlink.Position{Era: 1}}
			fleet := &fleet{a: &member{New("a", 1, length), log}, b: &member{New("b", 1, length), log}, store: log, empty: *log}
			read(fleet.a, -3300)
			So(fleet.a.advance(0, true), ShouldEqual, Acquire)
			fleet.early = *log
			millis := test.play(fleet)
			So(validAt(millis, fleet.a, fleet.b), ShouldEqual, test.valid)
			So(log.lease.Token, ShouldEqual, test.token)
		})
	}
}

// TestNoTwoHoldersAcrossRestores guards against what TestNoTwoHolders does, while the store is restored from copies up to 15 s
// old, appends of earlier eras take effect by accident, and all instances are restarted at once.
func TestNoTwoHoldersAcrossRestores(t *testing.T) {
	const seeds = 4000
	restores, acquisitions, rewritten, accidents := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		draw := func(_ string, least, most int) int { return least + random.IntN(most-least+1) }
		world := &world{holders: make(map[uint64]string), draw: draw}
		world.store.end.Era = 1
		for number := range draw("instances", 2, 3) {
			instance := &instance{
				name: fmt.Sprint("i-", number), candidate: number == 0 || draw("candidate", 0, 1) == 0,
				rate: 0.985 + 0.03*random.Float64(), offset: draw("offset", -5000, 5000),
			}
			world.instances = append(world.instances, instance)
			world.start(instance)
		}
		copies := []store{world.store}
		for range draw("steps", 300, 1200) {
			target := world.instances[draw("instance", 0, len(world.instances)-1)]
			switch draw("event", 0, 299) {
			case 0, 1, 2, 3:
				target.candidate = !target.candidate
			case 4, 5:
				target.suspendedUntil = world.millis + draw("suspended", 100, 8000)
			case 6:
				world.start(target)
			case 7, 8:
				world.store.restoredFrom(copies[max(0, len(copies)-1-draw("age", 0, 15_000/stepMillis))])
				restores++
				if draw("power", 0, 4) == 0 {
					for _, instance := range world.instances {
						world.start(instance)
					}
				}
			}
			world.step(seedFailer{t, seed})
			copies = append(copies, world.store)
			for _, instance := range world.instances {
				if instance.Unwritten() {
					rewritten++
				}
			}
		}
		acquisitions += len(world.holders)
		for _, call := range world.calls {
			if call.appended && call.step != Read && call.next.Era != call.at.Era {
				accidents++
			}
		}
	}
	Convey("all that may happen has happened", t, func() {
		for _, number := range []int{restores, acquisitions, rewritten, accidents} {
			So(number, ShouldBeGreaterThan, seeds/10)
		}
	})
	t.Logf("%d restores, %d acquisitions, %d steps before a record was written again, %d appends in a later era", restores, acquisitions, rewritten, accidents)
}

// seedFailer adds the seed to the message of a failed test.
type seedFailer struct {
	test *testing.T
	seed uint64
}

// Fatalf ends the test.
func (failer seedFailer) Fatalf(format string, args ...any) {
	failer.test.Helper()
	failer.test.Fatalf("seed %d: "+format, append([]any{failer.seed}, args...)...)
}
