package duty

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

const (
	windowLength = 5 * time.Second
	lateness     = 10 * time.Second
)

// site is a fleet of duty tasks with a store and a platform that may fail.
type site struct {
	mutex sync.Mutex
	tasks map[coltsfootlink.InstanceName]*running

	// The store: what is recorded, which windows restores have removed, whether it is down, and whether the answers to appends
	// are lost.
	records         coltsfootlink.DutyRecords
	lost            map[uint64]bool
	down, loseStore bool
	// refuseAppends lets appends fail while reads are answered.
	refuseAppends bool
	// lateStore delays some appends, which may then take effect after their caller has given up.
	lateStore bool

	// The platform: whether it throttles calls, loses their answers, or is slow.
	throttle, loseAnswers bool
	// refuse indicates that it refuses the reports of each fourth window.
	refuse bool
	// cutStore and cutControl are the instances that are cut off from the store or from the platform.
	cutStore, cutControl map[coltsfootlink.InstanceName]bool
	delay                time.Duration
	// received are the counts that it was sent for each window, and tokens the highest token and its holder.
	received   map[uint64]map[coltsfootlink.TeamName]int
	token      uint64
	holder     string
	answered   map[uint64]time.Time
	violations []string
	// truth are the requests that began, by window.
	truth map[uint64]map[coltsfootlink.TeamName]int
}

// running is a duty task that runs; disagrees indicates that the view of its instance has no other live instance.
type running struct {
	*Task
	cancel    context.CancelFunc
	disagrees bool
}

func newSite() *site {
	return &site{
		tasks:    make(map[coltsfootlink.InstanceName]*running),
		cutStore: make(map[coltsfootlink.InstanceName]bool), cutControl: make(map[coltsfootlink.InstanceName]bool),
		records:  coltsfootlink.DutyRecords{Windows: make(map[uint64]coltsfootlink.UsageWindow)},
		lost:     make(map[uint64]bool),
		received: make(map[uint64]map[coltsfootlink.TeamName]int), answered: make(map[uint64]time.Time),
		truth: make(map[uint64]map[coltsfootlink.TeamName]int),
	}
}

// endpoint is an instance's connection to the other instances, the store and the platform.
type endpoint struct {
	site *site
	name coltsfootlink.InstanceName
}

// Send delivers a message to an instance that runs.
func (endpoint endpoint) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	endpoint.site.mutex.Lock()
	defer endpoint.site.mutex.Unlock()
	if task, found := endpoint.site.tasks[to]; found {
		task.Inbox.Put(coltsfootlink.Delivery{From: endpoint.name, Message: message})
	}
}

// Read returns what is recorded.
func (endpoint endpoint) Read(context.Context) (coltsfootlink.DutyRecords, error) {
	endpoint.site.mutex.Lock()
	defer endpoint.site.mutex.Unlock()
	if endpoint.site.down || endpoint.site.cutStore[endpoint.name] {
		return coltsfootlink.DutyRecords{}, errors.New("down")
	}
	records := endpoint.site.records
	records.Windows = maps.Clone(records.Windows)
	return records, nil
}

func (endpoint endpoint) append(ctx context.Context, at coltsfootlink.Position, count int, change func(records *coltsfootlink.DutyRecords)) (coltsfootlink.Position, error) {
	type result struct {
		next coltsfootlink.Position
		err  error
	}
	answer := make(chan result, 1)
	go func() {
		endpoint.site.mutex.Lock()
		late := endpoint.site.lateStore && rand.IntN(3) == 0
		endpoint.site.mutex.Unlock()
		if late {
			time.Sleep(rand.N(4 * time.Second))
		}
		next, err := endpoint.appendNow(at, count, change)
		answer <- result{next, err}
	}()
	select {
	case result := <-answer:
		return result.next, result.err
	case <-ctx.Done():
		return coltsfootlink.Position{}, ctx.Err()
	}
}

func (endpoint endpoint) appendNow(at coltsfootlink.Position, count int, change func(records *coltsfootlink.DutyRecords)) (coltsfootlink.Position, error) {
	site := endpoint.site
	site.mutex.Lock()
	defer site.mutex.Unlock()
	switch {
	case site.down || site.cutStore[endpoint.name] || site.refuseAppends:
		return coltsfootlink.Position{}, errors.New("down")
	case at.Offset != site.records.End.Offset:
		return coltsfootlink.Position{}, coltsfootlink.ErrDutyConflict
	}
	restored := at.Era != site.records.End.Era
	site.records.End = site.records.End.Plus(count)
	change(&site.records)
	switch {
	case restored:
		return coltsfootlink.Position{}, errors.New("appended in another era")
	case site.loseStore:
		return coltsfootlink.Position{}, errors.New("no answer")
	}
	return site.records.End, nil
}

// AppendLease records a lease and lost windows.
func (endpoint endpoint) AppendLease(ctx context.Context, record coltsfootlink.LeaseRecord, lost []coltsfootlink.UsageWindow, at coltsfootlink.Position) (coltsfootlink.Position, error) {
	return endpoint.append(ctx, at, 1+len(lost), func(records *coltsfootlink.DutyRecords) {
		if record.Token == 0 {
			record.Token = coltsfootlink.FencingToken(coltsfootlink.Position{Era: records.End.Era, Offset: at.Offset})
		}
		records.Lease, records.LeaseFound = record, true
		for _, window := range lost {
			records.Windows[window.Index] = window
		}
	})
}

// AppendWindow records a window.
func (endpoint endpoint) AppendWindow(ctx context.Context, window coltsfootlink.UsageWindow, at coltsfootlink.Position) (coltsfootlink.Position, error) {
	return endpoint.append(ctx, at, 1, func(records *coltsfootlink.DutyRecords) { records.Windows[window.Index] = window })
}

// RemoveWindows removes windows.
func (endpoint endpoint) RemoveWindows(ctx context.Context, indexes []uint64, at coltsfootlink.Position) (coltsfootlink.Position, error) {
	return endpoint.append(ctx, at, len(indexes), func(records *coltsfootlink.DutyRecords) {
		for _, index := range indexes {
			delete(records.Windows, index)
		}
	})
}

// ReportUsage is received by the platform, which checks it against what it has received before.
func (endpoint endpoint) ReportUsage(ctx context.Context, fence coltsfootlink.FencedCall, window uint64, counts []coltsfootlink.TeamCount) error {
	site := endpoint.site
	site.mutex.Lock()
	delay, throttle, lose, refuse := site.delay, site.throttle, site.loseAnswers, window%4 == 0 && site.refuse
	if site.cutControl[endpoint.name] {
		site.mutex.Unlock()
		return &coltsfootlink.DutyError{Cause: errors.New("cut off")}
	}
	if !throttle {
		site.receive(fence, window, counts)
	}
	site.mutex.Unlock()
	switch {
	case refuse:
		return &coltsfootlink.DutyError{Answered: true, Rejected: true, Cause: errors.New("400")}
	case throttle:
		return &coltsfootlink.DutyError{Answered: true, Throttled: true, Cause: errors.New("429")}
	case lose || !coltsfootlink.Sleep(ctx, delay):
		<-ctx.Done()
		return &coltsfootlink.DutyError{Cause: ctx.Err()}
	}
	site.mutex.Lock()
	defer site.mutex.Unlock()
	if site.answered[window].IsZero() {
		site.answered[window] = time.Now()
	}
	return nil
}

func (site *site) receive(fence coltsfootlink.FencedCall, window uint64, teams []coltsfootlink.TeamCount) {
	counts := make(map[coltsfootlink.TeamName]int)
	for _, team := range teams {
		counts[team.Team] = team.Requests
	}
	if before, found := site.received[window]; found && !reflect.DeepEqual(before, counts) {
		site.violations = append(site.violations, fmt.Sprintf("window %d was sent with %v and %v", window, before, counts))
	}
	// A holder may still report a window that was recorded until it learns that the store was restored.
	if _, recorded := site.records.Windows[window]; !recorded && !site.lost[window] {
		site.violations = append(site.violations, fmt.Sprintf("window %d was sent, but is not recorded", window))
	}
	if fence.Token < site.token || fence.Token == site.token && fence.Holder != site.holder {
		site.violations = append(site.violations, fmt.Sprintf("%s sent token %d after %d of %s", fence.Holder, fence.Token, site.token, site.holder))
	}
	site.received[window], site.token, site.holder = counts, fence.Token, fence.Holder
}

// Scale is not called: no loads are known.
func (endpoint endpoint) Scale(context.Context, coltsfootlink.FencedCall, coltsfootlink.PoolName, coltsfootlink.ZoneName, int) error {
	return errors.New("not expected")
}

// start starts the tasks of instances.
func (site *site) start(names ...coltsfootlink.InstanceName) {
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		end := endpoint{site, name}
		task := &Task{
			Self: name, Holder: string(name), Usage: true, Lease: 3 * time.Second, Window: windowLength, Lateness: lateness, CallsPerSecond: 50,
			Store: end, Caller: end, Clock: coltsfootlink.SystemClock{}, Sender: end, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries(),
		}
		site.set(func() { site.tasks[name] = &running{Task: task, cancel: cancel} })
		go func() { _ = task.Run(ctx) }()
	}
	site.announceViews()
}

// stop ends the tasks of instances at once; their answers and messages are lost.
func (site *site) stop(names ...coltsfootlink.InstanceName) {
	site.mutex.Lock()
	for _, name := range names {
		site.tasks[name].cancel()
		delete(site.tasks, name)
	}
	site.mutex.Unlock()
	site.announceViews()
}

// stopAll ends all tasks and waits until their calls have ended.
func (site *site) stopAll() {
	site.stop(slices.Collect(maps.Keys(site.tasks))...)
	synctest.Wait()
}

// announceViews tells each instance which ones are live.
func (site *site) announceViews() {
	for _, task := range site.tasks {
		var view coltsfootlink.View
		for name := range site.tasks {
			if name == task.Self || !task.disagrees {
				view.Members = append(view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name}, Live: true})
			}
		}
		task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
	}
}

// set changes how the store and the platform behave.
func (site *site) set(change func()) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	change()
}

// play lets requests begin on all instances for a time.
func (site *site) play(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, task := range site.tasks {
			team := coltsfootlink.TeamName(fmt.Sprint("team-", rand.IntN(5)))
			index := indexOf(time.Now())
			if site.truth[index] == nil {
				site.truth[index] = make(map[coltsfootlink.TeamName]int)
			}
			site.truth[index][team]++
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.UsageBegun{At: time.Now(), Team: team}})
		}
	}
}

// late reports whether the platform has not confirmed the report of a window in time.
func (site *site) late(index uint64) bool {
	due := time.Unix(0, 0).Add(time.Duration(index+1)*windowLength + lateness)
	return site.answered[index].IsZero() || site.answered[index].After(due)
}

func indexOf(at time.Time) uint64 { return uint64(at.UnixNano()) / uint64(windowLength) }

// holderName returns the instance that has made the newest call.
func (site *site) holderName() coltsfootlink.InstanceName {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	return coltsfootlink.InstanceName(site.holder)
}

// TestUsageReports guards against windows that are sent with two counts, with falling or shared tokens, unrecorded, wrong or
// not at all, while instances, the store and the platform fail.
func TestUsageReports(t *testing.T) {
	cases := map[string]struct {
		play func(site *site)
		// wrong is the number of windows that may be missing or wrong: those whose counts died with an instance.
		wrong int
		// late is the number of windows whose report may come after it was due: those that are due while the store or the
		// platform is away, and one at each edge.
		late int
	}{
		"calm": {func(site *site) { site.play(time.Minute) }, 0, 0},
		"the platform throttles calls": {func(site *site) {
			site.set(func() { site.throttle = true })
			site.play(30 * time.Second)
			site.set(func() { site.throttle = false })
		}, 0, 5},
		"the platform refuses some windows each time": {func(site *site) {
			site.set(func() { site.refuse = true })
			site.play(4 * time.Minute)
		}, 13, 13},
		"answers of the platform are lost": {func(site *site) {
			site.set(func() { site.loseAnswers = true })
			site.play(30 * time.Second)
			site.set(func() { site.loseAnswers = false })
		}, 0, 5},
		"the platform is slow": {func(site *site) {
			site.set(func() { site.delay = 1500 * time.Millisecond })
			site.play(30 * time.Second)
		}, 0, 0},
		"the store is down": {func(site *site) {
			site.play(10 * time.Second)
			site.set(func() { site.down = true })
			site.play(3 * time.Minute)
			site.set(func() { site.down = false })
			site.play(10 * time.Second)
		}, 0, 36},
		"answers of the store are lost": {func(site *site) {
			site.set(func() { site.loseStore = true })
			site.play(30 * time.Second)
			site.set(func() { site.loseStore = false })
		}, 0, 0},
		"the holder dies after answers were lost: its successor repeats the recorded counts": {func(site *site) {
			site.play(10 * time.Second)
			site.set(func() { site.loseAnswers = true })
			site.play(90 * time.Second)
			site.stop(site.holderName())
			site.set(func() { site.loseAnswers = false })
			site.play(20 * time.Second)
		}, 1, 18},
		"holders die one after the other": {func(site *site) {
			for range 3 {
				site.play(12 * time.Second)
				dead := site.holderName()
				site.stop(dead)
				site.play(12 * time.Second)
				site.start(dead)
			}
		}, 3, 0},
		"all instances lose power": {func(site *site) {
			site.play(12 * time.Second)
			site.set(func() { site.loseAnswers = true })
			site.play(10 * time.Second)
			site.stop("a", "b", "c")
			site.set(func() { site.loseAnswers = false })
			time.Sleep(3 * time.Second)
			site.start("a", "b", "c")
		}, 2, 2},
		"the holder is cut off from the store, but not from the other instances": {func(site *site) {
			site.play(12 * time.Second)
			site.set(func() { site.cutStore[coltsfootlink.InstanceName(site.holder)] = true })
			site.play(30 * time.Second)
			site.set(func() { clear(site.cutStore) })
		}, 0, 0},
		// It gives up after 8 s, and its successor has the lease about 6 s later; a report has 8 s or so left when it is recorded.
		"the holder is cut off from the platform, but not from the store": {func(site *site) {
			site.play(12 * time.Second)
			site.set(func() { site.cutControl[coltsfootlink.InstanceName(site.holder)] = true })
			site.play(60 * time.Second)
			site.set(func() { clear(site.cutControl) })
		}, 0, 2},
		"each instance sees itself as the candidate": {func(site *site) {
			for _, task := range site.tasks {
				task.disagrees = true
			}
			site.announceViews()
			site.play(30 * time.Second)
			for _, task := range site.tasks {
				task.disagrees = false
			}
		}, 6, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite()
				site.start("a", "b", "c")
				time.Sleep(5 * time.Second)
				first := indexOf(time.Now()) + 1
				test.play(site)
				site.announceViews()
				last := indexOf(time.Now())
				site.play(30 * time.Second)
				site.stopAll()
				Convey(name, t, func() {
					So(site.violations, ShouldBeEmpty)
					wrong, late := 0, 0
					for index := first; index < last; index++ {
						if site.answered[index].IsZero() || !reflect.DeepEqual(site.received[index], site.truth[index]) {
							wrong++
						}
						if site.late(index) {
							late++
						}
					}
					So(last-first, ShouldBeGreaterThan, 3)
					So(wrong, ShouldBeLessThanOrEqualTo, test.wrong)
					So(late, ShouldBeLessThanOrEqualTo, test.late)
					So(len(site.records.Windows), ShouldBeLessThanOrEqualTo, removeAfter+3)
				})
			})
		})
	}
}

// TestRandomFaults guards against violations in interleavings that no table case names. After the faults, reports must be right
// again.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				names := []coltsfootlink.InstanceName{"a", "b", "c"}
				site := newSite()
				site.start(names...)
				for range 60 {
					site.disturb(random, names[random.IntN(len(names))])
					site.play(time.Duration(random.IntN(2000)) * time.Millisecond)
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
						So(site.late(index), ShouldBeFalse)
						So(site.received[index], ShouldResemble, site.truth[index])
					}
				})
			})
		})
	}
}

// disturb begins or ends one fault.
func (site *site) disturb(random *rand.Rand, name coltsfootlink.InstanceName) {
	task, runs := site.tasks[name]
	kind := random.IntN(10)
	site.set(func() {
		switch kind {
		case 0:
			site.down = random.IntN(3) == 0
		case 1:
			site.loseStore = random.IntN(2) == 0
		case 2:
			site.lateStore = random.IntN(2) == 0
		case 3:
			site.throttle = random.IntN(3) == 0
		case 4:
			site.loseAnswers = random.IntN(3) == 0
		case 5:
			site.delay = rand.N(3 * time.Second)
		case 6:
			if runs {
				task.disagrees = !task.disagrees
			}
		case 8:
			site.cutStore[name] = random.IntN(2) == 0
		case 9:
			site.cutControl[name] = random.IntN(2) == 0
		}
	})
	switch {
	case kind == 7 && runs:
		site.stop(name)
	case kind == 7:
		site.start(name)
	}
	site.announceViews()
}

// repair ends all faults.
func (site *site) repair(names []coltsfootlink.InstanceName) {
	site.set(func() {
		clear(site.cutStore)
		clear(site.cutControl)
		site.down, site.loseStore, site.lateStore, site.throttle, site.loseAnswers, site.delay = false, false, false, false, false, 0
	})
	for _, name := range names {
		if task, runs := site.tasks[name]; runs {
			task.disagrees = false
		} else {
			site.start(name)
		}
	}
	site.announceViews()
}

// TestShowDuties guards against operators who cannot see who holds the lease and how far it has reported.
func TestShowDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite()
		site.start("a", "b")
		// The newest window ended four seconds ago, so that all know that it is recorded.
		site.play(34 * time.Second)
		tables := make(map[coltsfootlink.InstanceName]coltsfootlink.Table)
		for name, task := range site.tasks {
			reply := make(chan coltsfootlink.Table, 1)
			task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.Inquiry{Subject: coltsfootlink.DutiesSubject, Reply: reply}})
			tables[name] = <-reply
		}
		holder := site.holderName()
		site.stopAll()
		Convey("the holder and the instance that follows it tell the same", t, func() {
			for name, table := range tables {
				So(table.Rows, ShouldHaveLength, 1)
				row := table.Rows[0]
				So(row[table.Column("holder")], ShouldEqual, string(holder))
				So(row[table.Column("token")], ShouldEqual, "1")
				So(row[table.Column("state")], ShouldEqual, map[bool]string{true: "holds", false: "follows"}[name == holder])
				So(row[table.Column("recorded")], ShouldEqual, fmt.Sprint(site.records.NextWindow()-1))
			}
			So(tables[holder].Rows[0][4], ShouldEqual, tables[holder].Rows[0][3])
		})
	})
}
