package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

const length = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// after returns the time a number of milliseconds after the start.
func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// store is a log of duty records.
type store struct {
	lease coltsfootlink.LeaseRecord
	found bool
	end   coltsfootlink.Position
	// acquired is the offset of the lease record if it is an acquisition, whose token follows from its position.
	acquired *uint64
}

func (store *store) read() coltsfootlink.DutyRecords {
	return coltsfootlink.DutyRecords{Lease: store.lease, LeaseFound: store.found, End: store.end}
}

// append appends a lease record, or another record if there is none, and returns the next offset; false if the offset is not
// the end. As the platform's store it checks no era.
func (store *store) append(record *coltsfootlink.LeaseRecord, at coltsfootlink.Position) (coltsfootlink.Position, bool) {
	if at.Offset != store.end.Offset {
		return coltsfootlink.Position{}, false
	}
	at = store.end
	store.end = store.end.Next()
	if record != nil {
		store.lease, store.found, store.acquired = *record, true, nil
		if store.lease.Token == 0 {
			store.acquired = &at.Offset
			store.lease.Token = coltsfootlink.FencingToken(at)
		}
	}
	return store.end, true
}

// member is an instance in a table case, all of whose calls of the store are answered at once.
type member struct {
	State
	store *store
}

// advance takes the steps that are due at a time and returns the last one.
func (member *member) advance(millis int, candidate bool) Step {
	last := Wait
	for step := member.Next(after(millis), candidate); step != Wait; step = member.Next(after(millis), candidate) {
		last = step
		member.State = member.WithBegun(after(millis), step)
		if step == Read {
			member.State = member.WithRead(after(millis), member.store.read())
			continue
		}
		member.answer(millis)
	}
	return last
}

// answer has the store carry out the append in progress, and delivers its answer at a time.
func (member *member) answer(answeredMillis int) {
	record, at := member.Proposal(0)
	if next, appended := member.store.append(&record, at); appended {
		member.State = member.WithAppended(after(answeredMillis), next, 0)
		return
	}
	member.State = member.WithConflict(after(answeredMillis))
}

// validAt returns the letters of the members that may call at a time.
func validAt(millis int, members ...*member) string {
	text := ""
	for index, member := range members {
		if _, valid := member.CallDeadline(after(millis)); valid {
			text += string(rune('a' + index))
		}
	}
	return text
}

// TestWhoMayCall guards against calls of an instance whose lease may have been acquired by another one.
func TestWhoMayCall(t *testing.T) {
	type fleet struct{ a, b *member }
	cases := map[string]struct {
		// play moves the two instances, of which a has acquired the lease at 0 ms, and returns the time that is looked at.
		play func(fleet) int
		// valid names those that may call then, and token is the highest token of the record.
		valid string
		token uint64
	}{
		"the holder, shortly before its lease expires":         {func(fleet) int { return 2699 }, "a", 1},
		"the holder, suspended between the check and the call": {func(fleet) int { return 2700 }, "", 1},
		"renewed at a third of the lease": {func(fleet fleet) int {
			fleet.a.advance(1000, true)
			return 3699
		}, "a", 1},
		"renewal answered late: valid from when it was sent": {func(fleet fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			fleet.a.answer(2500)
			return 3700
		}, "", 1},
		"renewal without an answer, not read back": {func(fleet fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			fleet.a.State = fleet.a.WithFailure(after(2000))
			return 2700
		}, "", 1},
		"renewal whose answer was lost, read back": {func(fleet fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			record, at := fleet.a.Proposal(0)
			fleet.a.store.append(&record, at)
			fleet.a.State = fleet.a.WithFailure(after(2000))
			fleet.a.advance(2200, true)
			return 3699
		}, "a", 1},
		"a renewal that takes effect after a later one was sent extends nothing": {func(fleet fleet) int {
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			record, at := fleet.a.Proposal(0)
			fleet.a.State = fleet.a.WithFailure(after(2000)).WithBegun(after(2200), Read).WithRead(after(2200), fleet.a.store.read())
			fleet.a.State = fleet.a.WithBegun(after(2200), fleet.a.Next(after(2200), true))
			fleet.a.store.append(&record, at)
			fleet.a.answer(2300)
			fleet.a.State = fleet.a.WithBegun(after(2300), Read).WithRead(after(2300), fleet.a.store.read())
			return 2700
		}, "", 1},
		"answers of the store are cut off: the holder stops renewing, and the other acquires": {func(fleet fleet) int {
			fleet.b.advance(500, true)
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			record, at := fleet.a.Proposal(0)
			fleet.a.store.append(&record, at)
			for millis := 2000; millis <= 6000; millis += 100 {
				fleet.a.State = fleet.a.WithFailure(after(millis))
				fleet.a.State = fleet.a.WithBegun(after(millis), fleet.a.Next(after(millis), true))
				fleet.b.advance(millis, true)
			}
			return 6000
		}, "b", 3},
		"a deposed holder stops when its append fails": {func(fleet fleet) int {
			fleet.a.store.append(&coltsfootlink.LeaseRecord{Holder: "b", Incarnation: 9}, fleet.a.store.end)
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			fleet.a.answer(1000)
			return 1000
		}, "", 2},
		"an append that fails for a foreign record stops the holder only until it has read it": {func(fleet fleet) int {
			fleet.a.store.append(nil, fleet.a.store.end)
			fleet.a.State = fleet.a.WithBegun(after(1000), fleet.a.Next(after(1000), true))
			fleet.a.answer(1000)
			fleet.a.advance(1000, true)
			return 1000
		}, "a", 1},
		"a live holder keeps the lease while the view flaps": {func(fleet fleet) int {
			for millis := 0; millis < 20_000; millis += 100 {
				fleet.a.advance(millis, millis/1700%2 == 0)
				fleet.b.advance(millis, millis/1700%2 == 1)
			}
			return 20_000
		}, "a", 1},
		"a dead holder's lease is acquired after the lease and the margin": {func(fleet fleet) int {
			for millis := 100; millis <= 3400; millis += 100 {
				fleet.b.advance(millis, true)
			}
			return 3400
		}, "b", 2},
		"and not before": {func(fleet fleet) int {
			for millis := 100; millis < 3400; millis += 100 {
				fleet.b.advance(millis, true)
			}
			return 3399
		}, "", 1},
		"the same instance started again waits as any other": {func(fleet fleet) int {
			again := &member{New("a", 2, length), fleet.a.store}
			for millis := 100; millis < 3400; millis += 100 {
				again.advance(millis, true)
			}
			*fleet.a = *again
			return 3399
		}, "", 1},
		"all instances lose power: the next token is higher": {func(fleet fleet) int {
			*fleet.a, *fleet.b = member{New("a", 2, length), fleet.a.store}, member{New("b", 2, length), fleet.a.store}
			for millis := 10_000; millis <= 13_300; millis += 100 {
				fleet.b.advance(millis, true)
			}
			return 13_300
		}, "b", 2},
		"two candidates at once": {func(fleet fleet) int {
			*fleet.a = member{New("a", 2, length), fleet.a.store}
			for millis := 100; millis <= 5000; millis += 100 {
				if fleet.a.Next(after(millis), true) == Acquire && fleet.b.Next(after(millis), true) == Acquire {
					fleet.a.State = fleet.a.WithBegun(after(millis), Acquire)
					fleet.b.State = fleet.b.WithBegun(after(millis), Acquire)
					fleet.b.answer(millis)
					fleet.a.answer(millis)
					return millis
				}
				for _, one := range []*member{fleet.a, fleet.b} {
					if one.Next(after(millis), true) == Read {
						one.State = one.WithBegun(after(millis), Read).WithRead(after(millis), one.store.read())
					}
				}
			}
			return 0
		}, "b", 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			log := new(store)
			a, b := &member{New("a", 1, length), log}, &member{New("b", 1, length), log}
			So(a.advance(0, true), ShouldEqual, Acquire)
			millis := test.play(fleet{a, b})
			So(validAt(millis, a, b), ShouldEqual, test.valid)
			So(log.lease.Token, ShouldEqual, test.token)
		})
	}
	Convey("an instance that is neither candidate nor holder takes no step", t, func() {
		So(New("a", 1, length).Next(after(0), false), ShouldEqual, Wait)
	})
}

// world is a fleet of instances whose clocks differ, over one store whose calls may be slow, lost, or answered late.
type world struct {
	store     store
	millis    int
	instances []*instance
	calls     []*storeCall
	// holders has the instance that has used each token, and highest the highest one used.
	holders map[uint64]string
	highest uint64
	// draw returns a number of a range, for what happens at random.
	draw func(name string, least, most int) int
}

// failer ends a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// instance is one instance of a world.
type instance struct {
	State
	name      string
	starts    uint64
	candidate bool
	// rate is the speed of the instance's clock, and offset what it shows at the start, in milliseconds.
	rate   float64
	offset int
	// suspendedUntil is when the instance goes on.
	suspendedUntil int
	call           *storeCall
	// deadline is the latest time until which a call may be on its way, in milliseconds of true time.
	deadline float64
}

// storeCall is one call of the store.
type storeCall struct {
	step   Step
	record coltsfootlink.LeaseRecord
	at     coltsfootlink.Position
	// effectAt is when the store carries out the call, and answeredAt when its answer arrives; never if negative.
	effectAt, answeredAt, timeoutAt int
	done, appended                  bool
	next                            coltsfootlink.Position
	records                         coltsfootlink.DutyRecords
}

func (instance *instance) now(millis int) time.Time {
	return start.Add(time.Duration((float64(millis)*instance.rate + float64(instance.offset)) * float64(time.Millisecond)))
}

func (world *world) start(instance *instance) {
	instance.starts++
	instance.State = New(instance.name, instance.starts, length)
	instance.call = nil
}

const stepMillis = 50

func (world *world) step(t failer) {
	world.millis += stepMillis
	for _, call := range world.calls {
		if call.done || call.effectAt < 0 || world.millis < call.effectAt {
			continue
		}
		call.done = true
		switch call.step {
		case Read:
			call.records, call.appended = world.store.read(), true
		case Use:
			call.next, call.appended = world.store.append(nil, call.at)
		default:
			call.next, call.appended = world.store.append(&call.record, call.at)
		}
	}
	for _, instance := range world.instances {
		if world.millis >= instance.suspendedUntil {
			world.advance(instance)
		}
	}
	world.check(t)
}

func (world *world) advance(instance *instance) {
	now := instance.now(world.millis)
	if call := instance.call; call != nil {
		switch {
		case call.done && call.answeredAt >= 0 && world.millis >= call.answeredAt && call.step == Read:
			instance.State = instance.WithRead(now, call.records)
		case call.done && call.answeredAt >= 0 && world.millis >= call.answeredAt && call.appended:
			instance.State = instance.WithAppended(now, call.next, 0)
		case call.done && call.answeredAt >= 0 && world.millis >= call.answeredAt:
			instance.State = instance.WithConflict(now)
		case world.millis >= call.timeoutAt:
			instance.State = instance.WithFailure(now)
		default:
			return
		}
		instance.call = nil
	}
	step := instance.Next(now, instance.candidate)
	if step == Wait && instance.MayUse(now) && world.draw("use", 0, 9) == 0 {
		step = Use
	}
	if step == Wait {
		return
	}
	instance.State = instance.WithBegun(now, step)
	call := &storeCall{step: step, timeoutAt: world.millis + 1000}
	call.record, call.at = instance.Proposal(0)
	call.effectAt, call.answeredAt = world.millis, world.millis
	switch world.draw("network", 0, 9) {
	case 0:
		call.effectAt, call.answeredAt = -1, -1
	case 1:
		call.answeredAt = -1
	case 2:
		call.effectAt += world.draw("effect", 0, 4000)
		call.answeredAt = call.effectAt + world.draw("answer", 0, 1000)
	}
	world.calls = append(world.calls, call)
	instance.call = call
}

// check fails if two instances may call at the same time, counting calls that are on their way, if a token has two holders, or
// if a lower token is used after a higher one.
func (world *world) check(t failer) {
	for _, instance := range world.instances {
		deadline, valid := instance.CallDeadline(instance.now(world.millis))
		if !valid {
			continue
		}
		for _, other := range world.instances {
			if other != instance && other.deadline > float64(world.millis) {
				t.Fatalf("at %d ms %s may call while a call of %s may be on its way until %.0f ms", world.millis, instance.name, other.name, other.deadline)
			}
		}
		left := deadline.Sub(instance.now(world.millis))
		instance.deadline = max(instance.deadline, float64(world.millis)+float64(left.Milliseconds())/instance.rate)
		token := instance.Token()
		if holder, used := world.holders[token]; used && holder != instance.name {
			t.Fatalf("token %d is used by %s and %s", token, holder, instance.name)
		}
		if token < world.highest {
			t.Fatalf("%s uses token %d after %d", instance.name, token, world.highest)
		}
		world.holders[token], world.highest = instance.name, token
	}
}

// TestNoTwoHolders guards against two holders at one moment and against tokens that fall or are used by two, in random
// interleavings of two or three instances that are suspended, restarted and cut off, with clocks that run up to 3 % apart.
func TestNoTwoHolders(t *testing.T) {
	acquisitions := 0
	rapid.Check(t, func(t *rapid.T) {
		world := &world{holders: make(map[uint64]string)}
		world.draw = func(name string, least, most int) int { return rapid.IntRange(least, most).Draw(t, name) }
		for number := range rapid.IntRange(2, 3).Draw(t, "instances") {
			instance := &instance{
				name: fmt.Sprint("i-", number), candidate: number == 0,
				rate: rapid.Float64Range(0.985, 1.015).Draw(t, "rate"), offset: rapid.IntRange(-5000, 5000).Draw(t, "offset"),
			}
			world.instances = append(world.instances, instance)
			world.start(instance)
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			target := world.instances[rapid.IntRange(0, len(world.instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 39).Draw(t, "event") {
			case 0, 1:
				target.candidate = !target.candidate
			case 2, 3:
				target.suspendedUntil = world.millis + rapid.IntRange(100, 8000).Draw(t, "suspended")
			case 4:
				world.start(target)
			}
			world.step(t)
		}
		acquisitions += len(world.holders)
	})
	Convey("leases were acquired", t, func() { So(acquisitions, ShouldBeGreaterThan, 0) })
}
