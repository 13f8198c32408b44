package move

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var orderedAt = time.Unix(1_000_000, 0)

// request is one request in a simulated move.
type request struct {
	isNew, failed bool
	route         string
	// millis is the time to the first byte, and expectedMillis what was expected of it; zero for plain services.
	millis, expectedMillis float64
	endsAt                 time.Time
}

// simulation is a set of instances that follow the announcements of a move's coordinator with a delay of half an announce
// interval.
type simulation struct {
	random  *rand.Rand
	tracker Tracker
	now     time.Time
	share   float64
	running map[coltsfootlink.InstanceName][]request
	usages  map[coltsfootlink.InstanceName][]coltsfootlink.MoveUsage
	sent    int
	sentNew int
	// badEndedAt are the times of bad answers of the new version, and lastNewAt is when it last got a request.
	badEndedAt []time.Time
	lastNewAt  time.Time
	// engines describes the targets if they are engines; nil for plain services.
	engines *simulatedEngines
}

// simulatedEngines are the targets of a pool of engines. Those of the old version have queues, those of the new version
// get so few requests that they have none.
type simulatedEngines struct {
	// slowdown is the ratio of the time that the new version takes to read a prompt to the expected one.
	slowdown float64
}

// fixedMillis is the part of the time to an engine's first event that does not depend on the prompt.
const fixedMillis = 35

// firstEvent returns the time to the first event, and the expected one.
func (engines simulatedEngines) firstEvent(random *rand.Rand, isNew bool) (millis, expected float64) {
	reading, waiting := 60*random.ExpFloat64(), 120*random.ExpFloat64()
	noise := 0.85 + 0.3*random.Float64()
	if isNew {
		return fixedMillis + engines.slowdown*noise*reading, fixedMillis + reading
	}
	return fixedMillis + noise*(reading+waiting), fixedMillis + reading + waiting
}

// behaviour returns the result of a request on the new version, given the elapsed fraction of the move's time and the
// version's share of the traffic.
type behaviour func(random *rand.Rand, elapsed, share float64, route string) (failed bool, millis float64)

var instanceNames = []coltsfootlink.InstanceName{"a", "b", "c", "d", "e", "f", "g"}

func (simulation *simulation) serve(onNew behaviour, failureRate float64, elapsed float64) {
	from := instanceNames[simulation.random.IntN(len(instanceNames))]
	started := request{isNew: simulation.random.Float64() < simulation.share, route: fmt.Sprint("r", simulation.random.IntN(3))}
	started.millis = 100 * (0.5 + simulation.random.ExpFloat64()/2)
	if simulation.engines != nil {
		started.millis, started.expectedMillis = simulation.engines.firstEvent(simulation.random, started.isNew)
	}
	started.failed = simulation.random.Float64() < failureRate
	simulation.sent++
	if started.isNew {
		simulation.sentNew++
		simulation.lastNewAt = simulation.now
		if failed, millis := onNew(simulation.random, elapsed, simulation.share, started.route); failed || millis > 0 {
			started.failed = started.failed || failed
			started.millis = max(started.millis, millis)
		}
	}
	started.endsAt = simulation.now.Add(time.Duration(started.millis * float64(time.Millisecond)))
	simulation.running[from] = append(simulation.running[from], started)
}

// finish ends the requests that are due and notes their results for the next report.
func (simulation *simulation) finish(failureRate float64) {
	for from, requests := range simulation.running {
		var left []request
		for _, current := range requests {
			if current.endsAt.After(simulation.now) {
				left = append(left, current)
				continue
			}
			simulation.usages[from] = append(simulation.usages[from], coltsfootlink.MoveUsage{OnNewVersion: current.isNew, Route: current.route, Failed: current.failed, Millis: current.millis, ExpectedMillis: current.expectedMillis})
			if current.isNew && (current.failed && failureRate == 0 || current.millis > 1000) {
				simulation.badEndedAt = append(simulation.badEndedAt, simulation.now)
			}
		}
		simulation.running[from] = left
	}
}

// report sends the reports of all instances to the coordinator and lets it decide.
func (simulation *simulation) report() {
	for _, from := range instanceNames {
		usages := coltsfootlink.MoveUsages{Pool: "p", Usages: simulation.usages[from]}
		for _, current := range simulation.running[from] {
			if current.isNew {
				usages.RunningNew++
			} else {
				usages.RunningOld++
			}
		}
		simulation.usages[from] = nil
		simulation.tracker = simulation.tracker.WithUsages(simulation.now, from, usages)
	}
	simulation.tracker = simulation.tracker.WithTime(simulation.now, instanceNames)
}

// simulate runs a move until 3 s after its deadline. Reports and announcements each take place once in 50 steps of 5 ms.
func simulate(seed uint64, perSecond float64, duration time.Duration, onNew behaviour, failureRate float64) *simulation {
	return simulateOn(nil, seed, perSecond, duration, onNew, failureRate)
}

// simulateOn does what simulate does, on engines unless they are nil.
func simulateOn(engines *simulatedEngines, seed uint64, perSecond float64, duration time.Duration, onNew behaviour, failureRate float64) *simulation {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 1, OrderedAt: orderedAt, FinishBy: orderedAt.Add(duration), State: coltsfootlink.MoveRunning}
	simulation := &simulation{
		engines: engines,
		random:  rand.New(rand.NewPCG(seed, 1)), tracker: NewTracker(order), now: orderedAt,
		running: make(map[coltsfootlink.InstanceName][]request), usages: make(map[coltsfootlink.InstanceName][]coltsfootlink.MoveUsage),
	}
	const step = 5 * time.Millisecond
	arrivals := 0.0
	for tick := 0; simulation.now.Before(orderedAt.Add(duration + 3*time.Second)); tick++ {
		simulation.now = simulation.now.Add(step)
		elapsed := float64(simulation.now.Sub(orderedAt)) / float64(duration)
		for arrivals += perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
			simulation.serve(onNew, failureRate, elapsed)
		}
		simulation.finish(failureRate)
		switch tick % 50 {
		case 0:
			simulation.report()
		case 25:
			simulation.share = simulation.tracker.Share(simulation.now)
		}
	}
	return simulation
}

// good is the behaviour of a healthy version.
func good(*rand.Rand, float64, float64, string) (bool, float64) { return false, 0 }

// TestSlowEnginesAreFoundThoughTheyHaveNoQueue checks that a version whose engines read prompts slowly is rolled back
// early, although its requests take no longer than those that wait on the old version.
func TestSlowEnginesAreFoundThoughTheyHaveNoQueue(t *testing.T) {
	const seeds = 30
	cases := map[string]struct {
		slowdown float64
		state    coltsfootlink.MoveState
		// latest is the fraction of the move's time by which the version gets no more requests.
		latest float64
	}{
		"as fast as expected":                           {1, coltsfootlink.MoveDone, math.Inf(1)},
		"a third slower, as engines of one pool may be": {1.3, coltsfootlink.MoveDone, math.Inf(1)},
		"four times slower":                             {4, coltsfootlink.MoveRolledBack, 0.6},
		"eight times slower":                            {8, coltsfootlink.MoveRolledBack, 0.6},
	}
	for name, test := range cases {
		for _, perSecond := range []float64{60, 300} {
			Convey(fmt.Sprint("a version that reads prompts ", name, ", at ", perSecond, " requests a second"), t, func() {
				wrong := 0
				for seed := range uint64(seeds) {
					simulation := simulateOn(&simulatedEngines{slowdown: test.slowdown}, seed, perSecond, 14*time.Second, good, 0)
					last := float64(simulation.lastNewAt.Sub(orderedAt)) / float64(14*time.Second)
					if simulation.tracker.Move().State != test.state || last > test.latest {
						wrong++
					}
				}
				So(wrong, ShouldEqual, 0)
			})
		}
	}
}

// TestTrackerOutcome checks, at several request rates and seeds, that a healthy version gets all traffic, and that a bad
// one is rolled back after a limited number of requests.
func TestTrackerOutcome(t *testing.T) {
	const exposureShare, exposureSlack, seeds = 0.1, 50, 8
	onlyWhen := func(applies func(elapsed, share float64, route string) bool, bad behaviour) behaviour {
		return func(random *rand.Rand, elapsed, share float64, route string) (bool, float64) {
			if applies(elapsed, share, route) {
				return bad(random, elapsed, share, route)
			}
			return false, 0
		}
	}
	fails := func(random *rand.Rand, _, _ float64, _ string) (bool, float64) { return random.Float64() < 0.5, 0 }
	slow := func(random *rand.Rand, _, _ float64, _ string) (bool, float64) {
		return false, 1500 + 500*random.Float64()
	}
	always := func(float64, float64, string) bool { return true }
	after := func(from float64) func(float64, float64, string) bool {
		return func(elapsed, _ float64, _ string) bool { return elapsed >= from }
	}
	underLoad := func(_, share float64, _ string) bool { return share > 0.3 }
	oneRoute := func(_, _ float64, route string) bool { return route == "r1" }
	cases := map[string]struct {
		newVersion  behaviour
		failureRate float64
		state       coltsfootlink.MoveState
	}{
		"healthy":                                  {good, 0, coltsfootlink.MoveDone},
		"healthy, with a baseline of failures":     {good, 0.14, coltsfootlink.MoveDone},
		"failing from the start":                   {onlyWhen(always, fails), 0, coltsfootlink.MoveRolledBack},
		"slow from the start":                      {onlyWhen(always, slow), 0, coltsfootlink.MoveRolledBack},
		"failing after a third of the time":        {onlyWhen(after(0.33), fails), 0, coltsfootlink.MoveRolledBack},
		"failing after two thirds of the time":     {onlyWhen(after(0.66), fails), 0, coltsfootlink.MoveRolledBack},
		"failing after three quarters of the time": {onlyWhen(after(0.75), fails), 0, coltsfootlink.MoveRolledBack},
		"slow under load":                          {onlyWhen(underLoad, slow), 0, coltsfootlink.MoveRolledBack},
		"failing under load":                       {onlyWhen(underLoad, fails), 0, coltsfootlink.MoveRolledBack},
		"failing on one route":                     {onlyWhen(oneRoute, fails), 0, coltsfootlink.MoveRolledBack},
		"failing, with a baseline of failures":     {onlyWhen(always, fails), 0.14, coltsfootlink.MoveRolledBack},
	}
	for name, test := range cases {
		for _, perSecond := range []float64{32, 300, 2000} {
			Convey(fmt.Sprint("a version that is ", name, ", at ", perSecond, " requests a second"), t, func() {
				for seed := range uint64(seeds) {
					simulation := simulate(seed, perSecond, 12*time.Second, test.newVersion, test.failureRate)
					So(simulation.tracker.Move().State, ShouldEqual, test.state)
					if test.state == coltsfootlink.MoveDone {
						So(simulation.share, ShouldEqual, 1)
						continue
					}
					So(simulation.share, ShouldEqual, 0)
					sentByDeadline := perSecond * 12
					So(float64(simulation.sentNew), ShouldBeLessThanOrEqualTo, exposureShare*sentByDeadline+exposureSlack)
					if len(simulation.badEndedAt) > 50 {
						So(simulation.lastNewAt, ShouldHappenBefore, simulation.badEndedAt[49].Add(5*time.Second))
					}
				}
			})
		}
	}
}

// TestTrackerEnd checks when a move ends, and with which outcome.
func TestTrackerEnd(t *testing.T) {
	duration := 10 * time.Second
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 1, OrderedAt: orderedAt, FinishBy: orderedAt.Add(duration), State: coltsfootlink.MoveRunning}
	due := orderedAt.Add(duration - recordMargin)
	succeeded := make([]coltsfootlink.MoveUsage, 20)
	for index := range succeeded {
		succeeded[index] = coltsfootlink.MoveUsage{OnNewVersion: true, Route: "r", Millis: 50}
	}
	cases := map[string]struct {
		usages     []coltsfootlink.MoveUsage
		runningOld int
		at         time.Duration
		state      coltsfootlink.MoveState
	}{
		"no request on the new version has ended by the deadline":  {nil, 0, duration - recordMargin, coltsfootlink.MoveRolledBack},
		"requests succeed, at half of the time":                    {succeeded, 0, duration / 2, coltsfootlink.MoveRunning},
		"requests succeed, old ones still run before the deadline": {succeeded, 3, duration * 91 / 100, coltsfootlink.MoveRunning},
		"requests succeed, no old ones run before the deadline":    {succeeded, 0, duration * 91 / 100, coltsfootlink.MoveDone},
		"requests succeed, old ones still run at the deadline":     {succeeded, 3, duration - recordMargin, coltsfootlink.MoveDone},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			tracker := NewTracker(order)
			for now := orderedAt; !now.After(orderedAt.Add(test.at)); now = now.Add(announceInterval) {
				tracker = tracker.WithUsages(now, "a", coltsfootlink.MoveUsages{RunningOld: test.runningOld})
				tracker = tracker.WithTime(now, []coltsfootlink.InstanceName{"a"})
				if now.Equal(orderedAt) {
					tracker = tracker.WithUsages(now, "a", coltsfootlink.MoveUsages{Usages: test.usages, RunningOld: test.runningOld})
				}
			}
			tracker = tracker.WithTime(orderedAt.Add(test.at), []coltsfootlink.InstanceName{"a"})
			So(tracker.Move().State, ShouldEqual, test.state)
		})
	}
	Convey("an outcome that was recorded or announced before is final", t, func() {
		tracker := NewTracker(order).WithMove(order.WithState(coltsfootlink.MoveRolledBack, "before"))
		So(tracker.WithTime(due, nil).Move().State, ShouldEqual, coltsfootlink.MoveRolledBack)
		So(tracker.Share(due), ShouldEqual, 0)
		So(NewTracker(order).WithMove(order.WithState(coltsfootlink.MoveDone, "before")).Share(due), ShouldEqual, 1)
	})
	Convey("the earlier deadline applies, since another coordinator may have known the order earlier", t, func() {
		earlier := order
		earlier.OrderedAt, earlier.FinishBy = orderedAt.Add(-time.Second), orderedAt.Add(duration-time.Second)
		So(NewTracker(order).WithMove(earlier).Move().FinishBy, ShouldEqual, earlier.FinishBy)
	})
}
