package move

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var orderedAt = time.Unix(1_000_000, 0)

// trip is one request in a simulated move.
type trip struct {
	isNew, failed bool
	route         string
	millis        float64
	endsAt        time.Time
}

// site is instances that follow the word of a move's coordinator, half an interval late.
type site struct {
	random  *rand.Rand
	course  Course
	now     time.Time
	share   float64
	flying  map[coltsfootlink.InstanceName][]trip
	usages  map[coltsfootlink.InstanceName][]coltsfootlink.MoveUsage
	sent    int
	sentNew int
	// badAt is when the bad answers came, and newestNew when the new version last got a request.
	badAt     []time.Time
	newestNew time.Time
}

// conduct says how a request of the new version goes, at a part of the move's time and a share of the requests.
type conduct func(random *rand.Rand, part, share float64, route string) (failed bool, millis float64)

var names7 = []coltsfootlink.InstanceName{"a", "b", "c", "d", "e", "f", "g"}

func (site *site) serve(fresh conduct, usualFailures float64, part float64) {
	from := names7[site.random.IntN(len(names7))]
	one := trip{isNew: site.random.Float64() < site.share, route: fmt.Sprint("r", site.random.IntN(3))}
	one.millis = 100 * (0.5 + site.random.ExpFloat64()/2)
	one.failed = site.random.Float64() < usualFailures
	site.sent++
	if one.isNew {
		site.sentNew++
		site.newestNew = site.now
		if failed, millis := fresh(site.random, part, site.share, one.route); failed || millis > 0 {
			one.failed = one.failed || failed
			one.millis = max(one.millis, millis)
		}
	}
	one.endsAt = site.now.Add(time.Duration(one.millis * float64(time.Millisecond)))
	site.flying[from] = append(site.flying[from], one)
}

// land ends requests whose time has come.
func (site *site) land(usual float64) {
	for from, trips := range site.flying {
		var left []trip
		for _, one := range trips {
			if one.endsAt.After(site.now) {
				left = append(left, one)
				continue
			}
			site.usages[from] = append(site.usages[from], coltsfootlink.MoveUsage{OnNewVersion: one.isNew, Route: one.route, Failed: one.failed, Millis: one.millis})
			if one.isNew && (one.failed && usual == 0 || one.millis > 1000) {
				site.badAt = append(site.badAt, site.now)
			}
		}
		site.flying[from] = left
	}
}

// tell brings the coordinator's knowledge up to date, and the instances' half an interval later.
func (site *site) tell() {
	for _, from := range names7 {
		told := coltsfootlink.MoveUsages{Pool: "p", Usages: site.usages[from]}
		for _, one := range site.flying[from] {
			if one.isNew {
				told.RunningNew++
			} else {
				told.RunningOld++
			}
		}
		site.usages[from] = nil
		site.course = site.course.WithUsages(site.now, from, told)
	}
	site.course = site.course.WithTime(site.now, names7)
}

// play plays a move to its end, and some seconds beyond it.
func play(seed uint64, perSecond float64, span time.Duration, fresh conduct, usualFailures float64) *site {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 1, OrderedAt: orderedAt, FinishBy: orderedAt.Add(span), State: coltsfootlink.MoveRunning}
	site := &site{
		random: rand.New(rand.NewPCG(seed, 1)), course: NewCourse(order), now: orderedAt,
		flying: make(map[coltsfootlink.InstanceName][]trip), usages: make(map[coltsfootlink.InstanceName][]coltsfootlink.MoveUsage),
	}
	const step = 5 * time.Millisecond
	arrivals := 0.0
	for tick := 0; site.now.Before(orderedAt.Add(span + 3*time.Second)); tick++ {
		site.now = site.now.Add(step)
		part := float64(site.now.Sub(orderedAt)) / float64(span)
		for arrivals += perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
			site.serve(fresh, usualFailures, part)
		}
		site.land(usualFailures)
		switch tick % 50 {
		case 0:
			site.tell()
		case 25:
			site.share = site.course.Share(site.now)
		}
	}
	return site
}

// TestCourse holds for what becomes of a move, and what a bad version gets, over some seeds and rates.
func TestCourse(t *testing.T) {
	const exposureShare, exposureSlack, seeds = 0.1, 50, 8
	good := func(*rand.Rand, float64, float64, string) (bool, float64) { return false, 0 }
	when := func(holds func(part, share float64, route string) bool, bad conduct) conduct {
		return func(random *rand.Rand, part, share float64, route string) (bool, float64) {
			if holds(part, share, route) {
				return bad(random, part, share, route)
			}
			return false, 0
		}
	}
	fails := func(random *rand.Rand, _, _ float64, _ string) (bool, float64) { return random.Float64() < 0.5, 0 }
	drags := func(random *rand.Rand, _, _ float64, _ string) (bool, float64) {
		return false, 1500 + 500*random.Float64()
	}
	always := func(float64, float64, string) bool { return true }
	after := func(from float64) func(float64, float64, string) bool {
		return func(part, _ float64, _ string) bool { return part >= from }
	}
	loaded := func(_, share float64, _ string) bool { return share > 0.3 }
	oneRoute := func(_, _ float64, route string) bool { return route == "r1" }
	cases := map[string]struct {
		fresh         conduct
		usualFailures float64
		state         coltsfootlink.MoveState
	}{
		"good":                           {good, 0, coltsfootlink.MoveDone},
		"good, where failures are usual": {good, 0.14, coltsfootlink.MoveDone},
		"fails at once":                  {when(always, fails), 0, coltsfootlink.MoveRolledBack},
		"slow at once":                   {when(always, drags), 0, coltsfootlink.MoveRolledBack},
		"fails after a third":            {when(after(0.33), fails), 0, coltsfootlink.MoveRolledBack},
		"fails after two thirds":         {when(after(0.66), fails), 0, coltsfootlink.MoveRolledBack},
		"fails late":                     {when(after(0.75), fails), 0, coltsfootlink.MoveRolledBack},
		"slow under load":                {when(loaded, drags), 0, coltsfootlink.MoveRolledBack},
		"fails under load":               {when(loaded, fails), 0, coltsfootlink.MoveRolledBack},
		"fails on one route":             {when(oneRoute, fails), 0, coltsfootlink.MoveRolledBack},
		"fails where failures are usual": {when(always, fails), 0.14, coltsfootlink.MoveRolledBack},
	}
	for name, test := range cases {
		for _, perSecond := range []float64{32, 300, 2000} {
			Convey(fmt.Sprint("a version that is ", name, ", at ", perSecond, " requests a second"), t, func() {
				for seed := range uint64(seeds) {
					site := play(seed, perSecond, 12*time.Second, test.fresh, test.usualFailures)
					So(site.course.Move().State, ShouldEqual, test.state)
					if test.state == coltsfootlink.MoveDone {
						So(site.share, ShouldEqual, 1)
						continue
					}
					So(site.share, ShouldEqual, 0)
					inTime := perSecond * 12
					So(float64(site.sentNew), ShouldBeLessThanOrEqualTo, exposureShare*inTime+exposureSlack)
					if len(site.badAt) > 50 {
						So(site.newestNew, ShouldHappenBefore, site.badAt[49].Add(5*time.Second))
					}
				}
			})
		}
	}
}

// TestCourseEnds holds for the end of a move.
func TestCourseEnds(t *testing.T) {
	span := 10 * time.Second
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: 1, OrderedAt: orderedAt, FinishBy: orderedAt.Add(span), State: coltsfootlink.MoveRunning}
	late := orderedAt.Add(span - recordMargin)
	well := make([]coltsfootlink.MoveUsage, 20)
	for place := range well {
		well[place] = coltsfootlink.MoveUsage{OnNewVersion: true, Route: "r", Millis: 50}
	}
	cases := map[string]struct {
		usages []coltsfootlink.MoveUsage
		old    int
		at     time.Duration
		state  coltsfootlink.MoveState
	}{
		"no request of it has ended":                {nil, 0, span - recordMargin, coltsfootlink.MoveRolledBack},
		"its requests end well, and it is early":    {well, 0, span / 2, coltsfootlink.MoveRunning},
		"its requests end well, and old ones run":   {well, 3, span * 91 / 100, coltsfootlink.MoveRunning},
		"its requests end well, and none is left":   {well, 0, span * 91 / 100, coltsfootlink.MoveDone},
		"its requests end well, and its time is up": {well, 3, span - recordMargin, coltsfootlink.MoveDone},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			course := NewCourse(order)
			for now := orderedAt; !now.After(orderedAt.Add(test.at)); now = now.Add(interval) {
				course = course.WithUsages(now, "a", coltsfootlink.MoveUsages{RunningOld: test.old})
				course = course.WithTime(now, []coltsfootlink.InstanceName{"a"})
				if now.Equal(orderedAt) {
					course = course.WithUsages(now, "a", coltsfootlink.MoveUsages{Usages: test.usages, RunningOld: test.old})
				}
			}
			course = course.WithTime(orderedAt.Add(test.at), []coltsfootlink.InstanceName{"a"})
			So(course.Move().State, ShouldEqual, test.state)
		})
	}
	Convey("what was recorded or said before holds", t, func() {
		course := NewCourse(order).WithMove(order.WithState(coltsfootlink.MoveRolledBack, "before"))
		So(course.WithTime(late, nil).Move().State, ShouldEqual, coltsfootlink.MoveRolledBack)
		So(course.Share(late), ShouldEqual, 0)
		So(NewCourse(order).WithMove(order.WithState(coltsfootlink.MoveDone, "before")).Share(late), ShouldEqual, 1)
	})
	Convey("the earlier end holds, for the order may have been known before", t, func() {
		earlier := order
		earlier.OrderedAt, earlier.FinishBy = orderedAt.Add(-time.Second), orderedAt.Add(span-time.Second)
		So(NewCourse(order).WithMove(earlier).Move().FinishBy, ShouldEqual, earlier.FinishBy)
	})
}
