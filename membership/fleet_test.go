package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// step is the time that a message between instances takes.
const step = 25 * time.Millisecond

// fleet is some instances whose heartbeats take one step.
type fleet struct {
	now    time.Time
	names  []coltsfootlink.InstanceName
	states map[coltsfootlink.InstanceName]State
	// tickAt is when an instance ticks next.
	tickAt map[coltsfootlink.InstanceName]time.Time
	// down are the instances that do not run, and side the sides of a cut.
	down map[coltsfootlink.InstanceName]bool
	side map[coltsfootlink.InstanceName]int
	// loss is the part of the messages that is lost.
	loss   float64
	wire   map[coltsfootlink.InstanceName][]mail
	sent   int
	beats  int
	random *rand.Rand
}

type mail struct {
	from      coltsfootlink.InstanceName
	heartbeat coltsfootlink.Heartbeat
}

func newFleet(size int) *fleet {
	fleet := &fleet{
		now: start, states: make(map[coltsfootlink.InstanceName]State), tickAt: make(map[coltsfootlink.InstanceName]time.Time),
		down: make(map[coltsfootlink.InstanceName]bool), side: make(map[coltsfootlink.InstanceName]int),
		wire: make(map[coltsfootlink.InstanceName][]mail), random: rand.New(rand.NewPCG(1, 2)),
	}
	for number := range size {
		name := coltsfootlink.InstanceName(fmt.Sprint("i", number))
		fleet.names = append(fleet.names, name)
		fleet.start(name, 100)
	}
	return fleet
}

func (fleet *fleet) start(name coltsfootlink.InstanceName, incarnation uint64) {
	seeds := []coltsfootlink.Instance{instance("i0", 0), instance("i1", 0), instance("i2", 0)}
	fleet.states[name] = NewState(instance(string(name), incarnation), seeds, policy)
	fleet.tickAt[name] = fleet.now.Add(time.Duration(fleet.random.Int64N(int64(policy.Interval))))
	delete(fleet.down, name)
}

// run lets the fleet run for a while and returns how often an instance has learned something of the live ones.
func (fleet *fleet) run(span time.Duration) int {
	changes := 0
	for end := fleet.now.Add(span); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(step)
		arriving := fleet.wire
		fleet.wire = make(map[coltsfootlink.InstanceName][]mail)
		for _, name := range fleet.names {
			if fleet.down[name] {
				continue
			}
			before := fleet.states[name].signature
			for _, mail := range arriving[name] {
				state, outgoing := fleet.states[name].WithHeartbeat(fleet.now, mail.from, mail.heartbeat)
				fleet.states[name] = state
				fleet.send(name, outgoing)
			}
			if !fleet.now.Before(fleet.tickAt[name]) {
				state, outgoing := fleet.states[name].WithTick(fleet.now)
				fleet.states[name] = state
				fleet.tickAt[name] = fleet.now.Add(policy.Interval)
				fleet.send(name, outgoing)
			}
			if fleet.states[name].signature != before {
				changes++
			}
		}
	}
	return changes
}

func (fleet *fleet) send(from coltsfootlink.InstanceName, outgoing []Outgoing) {
	for _, heartbeat := range outgoing {
		fleet.sent++
		fleet.beats += len(heartbeat.Heartbeat.Entries)
		if fleet.side[from] == fleet.side[heartbeat.To] && fleet.random.Float64() >= fleet.loss {
			fleet.wire[heartbeat.To] = append(fleet.wire[heartbeat.To], mail{from: from, heartbeat: heartbeat.Heartbeat})
		}
	}
}

// live returns the number of live members.
func (state State) live() int { return len(state.names(member.live)) }

// agree says whether all instances that run see exactly those as live that run on their side.
func (fleet *fleet) agree() bool {
	for _, observer := range fleet.names {
		if fleet.down[observer] {
			continue
		}
		view := fleet.states[observer].View()
		for _, other := range fleet.names {
			member, _ := view.Member(other)
			if member.Live != (!fleet.down[other] && fleet.side[observer] == fleet.side[other]) {
				return false
			}
		}
	}
	return true
}

// mistaken returns how many pairs of instances that run on one side there are of which the first takes the second
// for silent.
func (fleet *fleet) mistaken() int {
	count := 0
	for _, observer := range fleet.names {
		view := fleet.states[observer].View()
		for _, other := range fleet.names {
			member, _ := view.Member(other)
			if fleet.side[observer] == fleet.side[other] && !member.Live {
				count++
			}
		}
	}
	return count
}

// TestReturn holds for a zone that comes back: what each side believes of the other while they were cut off makes
// nobody take an instance of its own side for silent.
func TestReturn(t *testing.T) {
	cases := map[string]struct {
		size int
		span time.Duration
	}{
		"after a short cut":  {8, 3 * time.Second},
		"after a cut":        {8, 6 * time.Second},
		"after a long cut":   {8, 30 * time.Second},
		"in a smaller fleet": {5, 6 * time.Second},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			fleet := newFleet(test.size)
			fleet.run(4 * time.Second)
			sides := make(map[coltsfootlink.InstanceName]int)
			for place, name := range fleet.names {
				sides[name] = place % 3 / 2
			}
			fleet.side = sides
			fleet.run(test.span)
			So(fleet.agree(), ShouldBeTrue)
			most := 0
			for range 120 {
				fleet.side = make(map[coltsfootlink.InstanceName]int)
				fleet.run(step)
				fleet.side = sides
				most = max(most, fleet.mistaken())
			}
			So(most, ShouldEqual, 0)
			clear(fleet.side)
			So(fleet.agree(), ShouldBeTrue)
		})
	}
}

// TestFleet holds for fleets of which all answer: nobody is taken for silent, and what an instance sends does not
// grow with the fleet.
func TestFleet(t *testing.T) {
	for name, size := range map[string]int{"two": 2, "eight": 8, "thirty": 30, "seventy-one": 71, "three hundred and twenty": 320} {
		Convey(name+" instances that all answer", t, func() {
			fleet := newFleet(size)
			fleet.run(4 * time.Second)
			So(fleet.agree(), ShouldBeTrue)
			fleet.run(26 * time.Second)
			fleet.sent, fleet.beats = 0, 0
			So(fleet.run(5*time.Second), ShouldEqual, 0)
			So(fleet.agree(), ShouldBeTrue)
			seconds := 5.0 * float64(size)
			// Each interval an instance asks the fan-out and is asked as often.
			perSecond := 2 * float64(policy.Fanout) * float64(time.Second/policy.Interval)
			So(float64(fleet.sent)/seconds, ShouldBeLessThanOrEqualTo, perSecond*1.05)
			So(float64(fleet.beats), ShouldEqual, float64(fleet.sent))
		})
	}
}

// TestChanges holds for what happens to a fleet that has settled, and how soon all know of it.
func TestChanges(t *testing.T) {
	cut := func(fleet *fleet) {
		for place, name := range fleet.names {
			fleet.side[name] = place % 3 / 2
		}
	}
	cases := map[string]struct {
		change func(*fleet)
		within time.Duration
	}{
		"one dies": {func(fleet *fleet) { fleet.down["i5"] = true }, 3 * time.Second},
		"a third dies": {func(fleet *fleet) {
			for place, name := range fleet.names {
				fleet.down[name] = place%3 == 2
			}
		}, 5 * time.Second},
		"one starts again":                           {func(fleet *fleet) { fleet.start("i5", 200) }, 2 * time.Second},
		"one starts again after its clock went back": {func(fleet *fleet) { fleet.start("i5", 50) }, 2 * time.Second},
		"one was dead, and starts after its clock went back": {func(fleet *fleet) {
			fleet.down["i5"] = true
			fleet.run(5 * time.Second)
			fleet.start("i5", 50)
		}, 2 * time.Second},
		"a seed starts again": {func(fleet *fleet) { fleet.start("i0", 200) }, 2 * time.Second},
		"one comes":           {func(fleet *fleet) { fleet.names = append(fleet.names, "new"); fleet.start("new", 100) }, 2 * time.Second},
		"a zone is cut off":   {cut, 5 * time.Second},
		"a zone comes back": {func(fleet *fleet) {
			cut(fleet)
			fleet.run(5 * time.Second)
			clear(fleet.side)
		}, 3 * time.Second},
		"all start again": {func(fleet *fleet) {
			for _, name := range fleet.names {
				fleet.start(name, 300)
			}
		}, 3 * time.Second},
	}
	for name, test := range cases {
		for _, size := range []int{8, 71} {
			Convey(fmt.Sprint(name, ", of ", size), t, func() {
				fleet := newFleet(size)
				fleet.run(4 * time.Second)
				So(fleet.agree(), ShouldBeTrue)
				test.change(fleet)
				fleet.run(test.within)
				So(fleet.agree(), ShouldBeTrue)
			})
		}
	}
	Convey("an instance that stood still takes nobody for silent", t, func() {
		fleet := newFleet(8)
		fleet.run(4 * time.Second)
		state, _ := fleet.states["i3"].WithTick(fleet.now)
		before := state.live()
		state, _ = state.WithTick(fleet.now.Add(time.Minute))
		state, _ = state.WithTick(fleet.now.Add(time.Minute + policy.Interval))
		So(state.live(), ShouldEqual, before)
	})
	Convey("an instance that leaves is known to leave", t, func() {
		fleet := newFleet(71)
		fleet.run(4 * time.Second)
		state, outgoing := fleet.states["i7"].WithLeaving().WithAnnouncement()
		fleet.states["i7"] = state
		fleet.send("i7", outgoing)
		fleet.run(1500 * time.Millisecond)
		for _, observer := range fleet.names {
			member, _ := fleet.states[observer].View().Member("i7")
			So(member.Leaving, ShouldBeTrue)
			So(member.Live, ShouldBeTrue)
		}
	})
	Convey("what is lost now and then is found out about", t, func() {
		fleet := newFleet(30)
		fleet.run(4 * time.Second)
		fleet.loss = 0.05
		fleet.run(10 * time.Second)
		fleet.loss = 0
		fleet.run(3 * time.Second)
		So(fleet.agree(), ShouldBeTrue)
	})
	Convey("an instance that is gone for good is forgotten", t, func() {
		fleet := newFleet(8)
		fleet.run(4 * time.Second)
		fleet.down["i6"] = true
		fleet.run(forgetSpan + 5*time.Second)
		_, known := fleet.states["i3"].View().Member("i6")
		So(known, ShouldBeFalse)
	})
}
