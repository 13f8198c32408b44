package duty

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// copied returns what is recorded now, as a copy from which the store can be restored.
func (site *site) copied() coltsfootlink.DutyRecords {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	records := site.records
	records.Windows = maps.Clone(records.Windows)
	return records
}

// restore puts an earlier copy of the store in place, in the next era.
func (site *site) restore(records coltsfootlink.DutyRecords) {
	site.set(func() {
		records.End.Era = site.records.End.Era + 1
		records.Windows = maps.Clone(records.Windows)
		for index := range site.records.Windows {
			if _, kept := records.Windows[index]; !kept {
				site.lost[index] = true
			}
		}
		site.records = records
	})
}

// TestUsageReportsAcrossARestore guards against windows that are sent with two counts, and against falling or shared tokens,
// after the store has lost its latest records.
func TestUsageReportsAcrossARestore(t *testing.T) {
	cases := map[string]struct {
		// before, between and after are played before the copy, between it and the restore, and after that.
		before, between, after func(site *site)
	}{
		"a reported window is lost": {
			func(site *site) { site.play(20 * time.Second) },
			func(site *site) { site.play(7 * time.Second) },
			func(*site) {},
		},
		"a reported window is lost, and its holder with it": {
			func(site *site) { site.play(20 * time.Second) },
			func(site *site) { site.play(7 * time.Second) },
			func(site *site) { site.stop(site.holderName()) },
		},
		"the acquisition of the holder is lost": {
			func(site *site) { site.play(20 * time.Second) },
			func(site *site) {
				site.stop(site.holderName())
				site.play(9 * time.Second)
			},
			func(*site) {},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite()
				site.start("a", "b", "c")
				time.Sleep(5 * time.Second)
				test.before(site)
				records := site.copied()
				test.between(site)
				site.restore(records)
				test.after(site)
				site.play(40 * time.Second)
				site.stopAll()
				Convey(name, t, func() { So(site.violations, ShouldBeEmpty) })
			})
		})
	}
}

// playWithCopies lets requests begin for a time in which the store is copied ten times a second.
func (site *site) playWithCopies(copies []coltsfootlink.DutyRecords, duration time.Duration) []coltsfootlink.DutyRecords {
	for range duration / copyInterval {
		copies = append(copies, site.copied())
		site.play(copyInterval)
	}
	return copies
}

// copyInterval is the time between two copies of the store.
const copyInterval = 100 * time.Millisecond

// TestRestoreAtEveryStep guards against two counts of a window, and falling or shared tokens, when the store is restored between
// any two steps of acquiring, renewing, recording, sending and confirming: at twenty points of a window's cycle.
func TestRestoreAtEveryStep(t *testing.T) {
	cases := map[string]struct {
		// age is that of the copy, and away how long the store is away.
		age, away time.Duration
		// late lets appends take effect seconds later. In the restore the holder or all instances are stopped, and started again
		// afterwards.
		late, holderStops, allStop bool
		// throttled has the platform refuse all calls until the holder has written its records again and is stopped then.
		throttled bool
		// wrong is the number of windows that may be missing: with the holder, none. Otherwise those that ended while no
		// instance can tell whether another one has recorded them, and two whose counts died with an instance: its last second
		// may span two windows.
		wrong int
	}{
		"the holder stays":                             {age: 3 * time.Second},
		"the holder stays, the copy is older":          {age: 12 * time.Second},
		"the holder stays, appends take effect late":   {age: 3 * time.Second, late: true, wrong: 3},
		"the holder stays, its lease expires":          {age: 3 * time.Second, away: 5 * time.Second, wrong: 3},
		"the holder stops":                             {age: 8 * time.Second, holderStops: true, wrong: 4},
		"the holder stops, appends take effect late":   {age: 8 * time.Second, away: time.Second, late: true, holderStops: true, wrong: 5},
		"the holder writes windows again, then stops":  {age: 8 * time.Second, throttled: true, wrong: 2},
		"all instances lose power in the same restore": {age: 8 * time.Second, away: 4 * time.Second, allStop: true, wrong: 5},
		"all lose power, and the acquisition is lost":  {age: 30 * time.Second, away: 4 * time.Second, allStop: true, wrong: 10},
	}
	const steps, played = 20, 20 * time.Second
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			worst := 0
			for step := range time.Duration(steps) {
				synctest.Test(t, func(t *testing.T) {
					site := newSite()
					site.records.End.Era = 1
					copies := []coltsfootlink.DutyRecords{site.copied()}
					site.start("a", "b")
					copies = site.playWithCopies(copies, 10*time.Second)
					first := indexOf(time.Now())
					site.set(func() { site.lateStore = test.late })
					site.set(func() { site.throttle = test.throttled })
					copies = site.playWithCopies(copies, played-10*time.Second+step*windowLength/steps)
					site.set(func() { site.down = test.away > 0 })
					holder := site.holderName()
					switch {
					case test.allStop:
						site.stop("a", "b")
					case test.holderStops:
						site.stop(holder)
					}
					site.play(test.away)
					site.restore(copies[max(0, len(copies)-int(test.age/copyInterval))])
					site.set(func() { site.down = false })
					if test.allStop {
						site.start("a", "b")
					}
					site.play(5 * time.Second)
					if test.throttled {
						site.stop(holder)
						site.set(func() { site.throttle = false })
					}
					if test.holderStops || test.throttled {
						site.start(holder)
					}
					site.play(5 * time.Second)
					site.set(func() { site.lateStore = false })
					site.play(5 * time.Second)
					settled := indexOf(time.Now())
					site.play(15 * time.Second)
					last := indexOf(time.Now()) - 1
					site.play(10 * time.Second)
					site.stopAll()
					Convey(fmt.Sprint("step ", int(step)), t, func() {
						So(site.violations, ShouldBeEmpty)
						wrong := 0
						for index := first; index < last; index++ {
							if !reflect.DeepEqual(site.received[index], site.truth[index]) {
								wrong++
								So(index, ShouldBeLessThan, settled)
							}
						}
						worst = max(worst, wrong)
						So(wrong, ShouldBeLessThanOrEqualTo, test.wrong)
					})
				})
			}
			t.Logf("at most %d windows missing or wrong", worst)
		})
	}
}

// TestRandomFaultsAcrossRestores guards against violations in interleavings of restores with the faults of TestRandomFaults.
func TestRandomFaultsAcrossRestores(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 2))
				names := []coltsfootlink.InstanceName{"a", "b", "c"}
				site := newSite()
				site.records.End.Era = 1
				site.start(names...)
				copies := []coltsfootlink.DutyRecords{site.copied()}
				for range 60 {
					if random.IntN(6) == 0 {
						site.restore(copies[max(0, len(copies)-1-random.IntN(150))])
					} else {
						site.disturb(random, names[random.IntN(len(names))])
					}
					copies = site.playWithCopies(copies, time.Duration(random.IntN(3000))*time.Millisecond)
				}
				site.repair(names)
				site.play(20 * time.Second)
				first := indexOf(time.Now()) + 1
				site.play(30 * time.Second)
				last := indexOf(time.Now())
				site.play(10 * time.Second)
				site.stopAll()
				Convey(fmt.Sprint("seed ", seed), t, func() {
					So(site.violations, ShouldBeEmpty)
					for index := first; index < last; index++ {
						So(site.received[index], ShouldResemble, site.truth[index])
					}
				})
			})
		})
	}
}

// TestWindowReplacedInARestoredStore guards against a window that is reported with the counts of a late append, although its
// recorded counts are known and may have been reported.
func TestWindowReplacedInARestoredStore(t *testing.T) {
	cases := map[string]struct {
		// holderStops lets another instance report the window, which has read the record before the restore.
		holderStops bool
	}{
		"the holder has recorded it":        {false},
		"its successor has read the record": {true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite()
				site.records.End.Era = 1
				site.start("a", "b")
				for _, task := range site.tasks {
					// Both are candidates and read the records.
					task.disagrees = true
				}
				site.announceViews()
				site.play(14 * time.Second)
				site.set(func() { site.throttle = true })
				site.play(10 * time.Second)
				records := site.copied()
				index := records.NextWindow() - 1
				recorded := records.Windows[index]
				records.Windows[index] = coltsfootlink.UsageWindow{Index: index, Teams: []coltsfootlink.TeamCount{{Team: "team-0", Requests: 1}}}
				site.restore(records)
				holder := coltsfootlink.InstanceName(records.Lease.Holder)
				if test.holderStops {
					site.stop(holder)
				}
				site.play(2 * time.Second)
				site.set(func() { site.throttle = false })
				site.play(20 * time.Second)
				site.stopAll()
				Convey(name, t, func() {
					So(site.violations, ShouldBeEmpty)
					expected := make(map[coltsfootlink.TeamName]int)
					for _, team := range recorded.Teams {
						expected[team.Team] = team.Requests
					}
					So(expected, ShouldNotBeEmpty)
					So(site.received[index], ShouldResemble, expected)
				})
			})
		})
	}
}

// TestNoReportBeforeWindowsAreWrittenAgain guards against a report of a window whose record in the store has other counts: if the
// holder dies after that, its successor reports those.
func TestNoReportBeforeWindowsAreWrittenAgain(t *testing.T) {
	for step := range time.Duration(20) {
		synctest.Test(t, func(t *testing.T) {
			site := newSite()
			site.records.End.Era = 1
			site.start("a", "b")
			site.play(14 * time.Second)
			site.set(func() { site.throttle = true })
			site.play(8*time.Second + step*copyInterval)
			index := site.copied().NextWindow() - 1
			site.set(func() {
				site.records.Windows[index] = coltsfootlink.UsageWindow{Index: index}
				site.records.End = site.records.End.Next()
				site.refuseAppends = true
			})
			// The holder's next renewal, a second after the one before, fails, and it reads the records.
			site.play(1300 * time.Millisecond)
			site.set(func() { site.throttle = false })
			site.play(1400 * time.Millisecond)
			early := site.received[index]
			site.set(func() { site.refuseAppends = false })
			site.play(10 * time.Second)
			site.stopAll()
			Convey(fmt.Sprint("step ", int(step)), t, func() {
				So(site.violations, ShouldBeEmpty)
				So(early, ShouldBeNil)
				So(site.received[index], ShouldNotBeEmpty)
			})
		})
	}
}
