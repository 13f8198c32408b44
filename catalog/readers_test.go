package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/ownership"
)

const (
	// applyTime is how long after its acknowledgement a configuration may take to be in force.
	applyTime = 2 * time.Second
	// readTime is how long a read of the store and its way to the task take, and joinTime how long an instance that has started
	// takes to be in the views of others.
	readTime = 50 * time.Millisecond
	joinTime = 300 * time.Millisecond
	stepTime = 20 * time.Millisecond
)

// testZone is a zone of catalog tasks without a network or readers. Time passes in steps.
type testZone struct {
	clock   *manualClock
	view    coltsfootlink.View
	tasks   map[coltsfootlink.InstanceName]*Task
	senders map[coltsfootlink.InstanceName]*recordingSender
	// reads are when the reads in progress return.
	reads map[coltsfootlink.InstanceName]time.Time
	store []coltsfootlink.CatalogRecord
}

func newTestZone(size int) *testZone {
	zone := &testZone{clock: &manualClock{now: baseTime}, tasks: make(map[coltsfootlink.InstanceName]*Task), senders: make(map[coltsfootlink.InstanceName]*recordingSender), reads: make(map[coltsfootlink.InstanceName]time.Time)}
	var names []coltsfootlink.InstanceName
	for number := range size {
		names = append(names, coltsfootlink.InstanceName(fmt.Sprintf("i-%03d", number)))
	}
	zone.view = viewOf(names...)
	for _, name := range names {
		zone.start(name, zone.view)
	}
	return zone
}

// start starts an instance that has read everything up to now.
func (zone *testZone) start(name coltsfootlink.InstanceName, view coltsfootlink.View) {
	task, sender, _ := newTask(name, view)
	task.Clock, task.heard, task.lastUpdateAt = zone.clock, nil, zone.clock.now
	zone.tasks[name], zone.senders[name] = task, sender
	delete(zone.reads, name)
}

// step lets time pass for all tasks: reads return, ticks come, and messages arrive.
func (zone *testZone) step(length time.Duration) {
	zone.clock.now = zone.clock.now.Add(length)
	for name, task := range zone.tasks {
		due, reading := zone.reads[name]
		switch {
		case !task.shouldRead():
			delete(zone.reads, name)
		case !reading:
			zone.reads[name] = zone.clock.now.Add(readTime)
		case !zone.clock.now.Before(due):
			zone.reads[name] = zone.clock.now.Add(maxFollowWait)
			task.handle(coltsfootlink.Delivery{Message: readResult{stream: coltsfootlink.TargetStream, records: zone.store, readAt: zone.clock.now}})
		}
		if zone.clock.now.UnixMilli()%tickInterval.Milliseconds() == 0 {
			task.keepAlive()
		}
	}
	for range 3 {
		zone.deliver()
	}
}

func (zone *testZone) deliver() {
	for name, sender := range zone.senders {
		outgoing := sender.sent
		sender.sent = nil
		for _, delivery := range outgoing {
			if task, runs := zone.tasks[delivery.From]; runs {
				task.handle(coltsfootlink.Delivery{From: name, Message: delivery.Message})
			}
		}
	}
}

// TestChangesReachInstancesWhoseReadersAreGone guards against an instance that follows an outdated catalog because the readers of its
// zone are gone or have started again.
func TestChangesReachInstancesWhoseReadersAreGone(t *testing.T) {
	cases := map[string]struct {
		size int
		// gone are the ranks of the instances that are killed just before the change, and down how long they are; zero for good.
		gone []int
		down time.Duration
	}{
		"none is killed":                               {3, nil, 0},
		"both readers, for 0.4 s":                      {3, []int{0, 1}, 400 * time.Millisecond},
		"both readers, for 0.8 s":                      {3, []int{0, 1}, 800 * time.Millisecond},
		"both readers, for 2 s":                        {3, []int{0, 1}, 2 * time.Second},
		"both readers, for good":                       {3, []int{0, 1}, 0},
		"one reader":                                   {3, []int{1}, 0},
		"both readers and the one after them":          {4, []int{0, 1, 2}, 0},
		"most instances of a large zone, for good":     {24, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}, 0},
		"most instances of a large zone, for a second": {24, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}, time.Second},
	}
	for name, test := range cases {
		for offset := time.Duration(0); offset < maxFollowWait; offset += 700 * time.Millisecond {
			Convey(fmt.Sprint(name, ", ", offset, " later"), t, func() {
				zone := newTestZone(test.size)
				ranked := ownership.Ranked("catalog a", zone.view.Candidates("a"))
				for passed := time.Duration(0); passed < 5*time.Second+offset; passed += stepTime {
					zone.step(stepTime)
				}
				var gone []coltsfootlink.InstanceName
				for _, rank := range test.gone {
					gone = append(gone, ranked[rank])
					delete(zone.tasks, ranked[rank])
					delete(zone.senders, ranked[rank])
				}
				zone.store = []coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1")}
				if len(gone) < 2 {
					// The reader that is left waits on the store and gets the change at once.
					zone.reads[ranked[0]] = zone.clock.now
				}
				joined := zone.view
				joined.Members = slices.Clone(joined.Members)
				for index, member := range joined.Members {
					if slices.Contains(gone, member.Name) {
						joined.Members[index].Incarnation++
					}
				}
				for passed := time.Duration(0); passed < applyTime; passed += stepTime {
					for _, name := range gone {
						if test.down > 0 && passed == test.down {
							zone.start(name, viewOf(name))
							zone.tasks[name].loaded = make(map[coltsfootlink.CatalogStream]bool)
						}
					}
					if test.down > 0 && passed == test.down+joinTime {
						for _, task := range zone.tasks {
							task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: joined}})
						}
					}
					zone.step(stepTime)
				}
				for name, task := range zone.tasks {
					if !slices.Contains(gone, name) {
						So(task.state.Catalog().Targets, ShouldHaveLength, 1)
					}
				}
			})
		}
	}
}
