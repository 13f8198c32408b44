package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// fleet connects the tasks of several instances; those that are cut off get no messages.
type fleet struct {
	now   time.Time
	tasks map[coltsfootlink.InstanceName]*Task
	cut   map[coltsfootlink.InstanceName]bool
	// sent is the number of messages between instances.
	sent int
}

// link sends the messages of one instance.
type link struct {
	fleet *fleet
	from  coltsfootlink.InstanceName
}

// Send delivers a message at once, as the receiver decodes it.
func (link link) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	link.fleet.sent++
	if task, found := link.fleet.tasks[to]; found && !link.fleet.cut[to] && !link.fleet.cut[link.from] {
		task.handle(coltsfootlink.Delivery{From: link.from, Message: message})
	}
}

// Now returns the time of the fleet.
func (fleet *fleet) Now() time.Time { return fleet.now }

func newFleet(count int) *fleet {
	fleet := &fleet{now: start, tasks: make(map[coltsfootlink.InstanceName]*Task), cut: make(map[coltsfootlink.InstanceName]bool)}
	for number := range count {
		fleet.start(coltsfootlink.InstanceName(fmt.Sprint("i-", number)))
	}
	fleet.announce()
	return fleet
}

// start starts an instance, or starts it anew.
func (fleet *fleet) start(name coltsfootlink.InstanceName) {
	task := &Task{Self: name, Clock: fleet, Sender: link{fleet, name}, Log: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
	task.reset()
	task.pools = Pools{}.With("p", knownState())
	fleet.tasks[name] = task
}

// announce tells all instances which ones are live; incarnations change with the time of the last start.
func (fleet *fleet) announce() {
	for self, task := range fleet.tasks {
		var view coltsfootlink.View
		for name, other := range fleet.tasks {
			view.Members = append(view.Members, coltsfootlink.Member{
				Instance: coltsfootlink.Instance{Name: name, Incarnation: uint64(other.syncBy.UnixNano())}, Live: fleet.cut[self] == fleet.cut[name],
			})
		}
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view.WithIndex()}})
	}
}

// crash reports a crash that an instance has seen.
func (fleet *fleet) crash(name coltsfootlink.InstanceName, request, letters string) {
	fleet.crashIn("p", name, request, letters)
}

// crashIn does what crash does, for a target of another pool.
func (fleet *fleet) crashIn(pool coltsfootlink.PoolName, name coltsfootlink.InstanceName, request, letters string) {
	sentAt := fleet.now
	fleet.now = fleet.now.Add(100 * time.Millisecond)
	crash := crashOf(request, letters, 0, 0)
	crash.Pool, crash.SentAt, crash.CrashedAt = pool, sentAt, fleet.now
	fleet.tasks[name].handle(coltsfootlink.Delivery{Message: Crashed{Crash: crash, Reply: make(chan bool, 1)}})
}

func (fleet *fleet) barring(letters string) int {
	count := 0
	for _, task := range fleet.tasks {
		if _, found := task.view.Bar("p", prompt(letters)); found && task.view.Synced {
			count++
		}
	}
	return count
}

func TestAllInstancesLearnWhichPromptsCrashTargets(t *testing.T) {
	const count = 9
	cases := map[string]struct {
		act     func(fleet *fleet)
		barring int
	}{
		"each crash was seen elsewhere": {func(fleet *fleet) {}, count},
		"one has started since":         {func(fleet *fleet) { fleet.start("i-3"); fleet.announce() }, count},
		"one comes back from a cut": {func(fleet *fleet) {
			fleet.start("i-3")
			fleet.cut["i-3"] = true
			fleet.announce()
			fleet.cut["i-3"] = false
			fleet.announce()
		}, count},
		"one after the other has started": {func(fleet *fleet) {
			for number := range count {
				fleet.now = fleet.now.Add(time.Second)
				fleet.start(coltsfootlink.InstanceName(fmt.Sprint("i-", number)))
				fleet.announce()
			}
		}, count},
		"one missed the news, and others tell of it now and then": {func(fleet *fleet) {
			fleet.tasks["i-3"].pools = Pools{}.With("p", knownState())
			for range 200 {
				fleet.now = fleet.now.Add(gossipInterval)
				for _, task := range fleet.tasks {
					task.tick()
				}
			}
		}, count},
		"an operator lifts the bar on one instance": {func(fleet *fleet) {
			fleet.now = fleet.now.Add(time.Second)
			fleet.tasks["i-5"].handle(coltsfootlink.Delivery{Message: coltsfootlink.BarLift{Pool: "p", Parts: prompt("d")}})
		}, 0},
		"an operator lifts another bar": {func(fleet *fleet) {
			fleet.tasks["i-5"].handle(coltsfootlink.Delivery{Message: coltsfootlink.BarLift{Pool: "q", Parts: prompt("d")}})
		}, count},
		"a trial was answered": {func(fleet *fleet) {
			fleet.now = fleet.now.Add(time.Minute)
			fleet.tasks["i-7"].handle(coltsfootlink.Delivery{Message: Answered{Pool: "p", Parts: prompt("cd"), At: fleet.now}})
		}, 0},
	}
	for name, test := range cases {
		Convey("instances hold back what has crashed targets: "+name, t, func() {
			fleet := newFleet(count)
			fleet.crash("i-0", "1", "cd")
			fleet.crash("i-8", "2", "xd")
			test.act(fleet)
			So(fleet.barring("yd"), ShouldEqual, test.barring)
			So(fleet.barring("c"), ShouldEqual, 0)
		})
	}
	Convey("an instance without others begins after a while", t, func() {
		fleet := newFleet(1)
		So(fleet.tasks["i-0"].view.Synced, ShouldBeFalse)
		fleet.now = fleet.now.Add(syncTimeout)
		fleet.tasks["i-0"].tick()
		So(fleet.tasks["i-0"].view.Synced, ShouldBeTrue)
	})
	Convey("the messages about a crash in a large fleet are bounded", t, func() {
		fleet := newFleet(195)
		fleet.sent = 0
		fleet.crash("i-0", "1", "cd")
		So(fleet.sent, ShouldEqual, 194)
		fleet.sent = 0
		fleet.start("i-3")
		fleet.announce()
		So(fleet.sent, ShouldBeLessThanOrEqualTo, 3*syncPeers+1)
	})
}

// TestOldestRequestsOfACrashAreReported guards against a crash that takes many requests along, each of which is told to all instances.
func TestOldestRequestsOfACrashAreReported(t *testing.T) {
	cases := map[string]struct {
		// requests are the letters of the requests that each target's crash took along, oldest last.
		requests [][]string
		suspects string
	}{
		"one request":         {[][]string{{"cd"}}, "cd"},
		"many on one target":  {[][]string{{"ab", "ef", "xd", "cd"}}, "cdx"},
		"many on each of two": {[][]string{{"ab", "xd", "cd"}, {"ab", "yd", "zd"}}, "cdxyz"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			fleet := newFleet(2)
			for target, requests := range test.requests {
				for index, letters := range requests {
					crash := unbegun(fmt.Sprint(target, index), letters, len(requests)-index, 100)
					crash.Target = coltsfootlink.TargetName(fmt.Sprint("t-", target))
					fleet.tasks["i-0"].handle(coltsfootlink.Delivery{Message: Crashed{Crash: crash, Reply: make(chan bool, 1)}})
				}
			}
			So(fleet.tasks["i-1"].pools.State("p").Crashes(), ShouldBeEmpty)
			fleet.tasks["i-0"].tick()
			var parts []coltsfootlink.PartID
			for _, crash := range fleet.tasks["i-1"].pools.State("p").Crashes() {
				parts = append(parts, partsOf(crash)...)
			}
			slices.Sort(parts)
			So(slices.Compact(parts), ShouldResemble, prompt(test.suspects))
		})
	}
}

// Once a lifted bar no longer explained its crashes, they were held against the parts beside the lifted one.
func TestLiftedBarsAreNotReplacedByBarsOnOtherParts(t *testing.T) {
	cases := map[string]struct {
		// crashes are the suspects of each crash, and kept the bars that stay when the bar on d is lifted.
		crashes []string
		kept    int
	}{
		"beginnings in common":           {[]string{"cd", "xd", "cd"}, 0},
		"another part is barred, too":    {[]string{"cd", "xd", "cd", "ye", "ze"}, 1},
		"the lifted parts stand in both": {[]string{"cd", "xd", "de", "ye", "ze"}, 1},
	}
	for name, test := range cases {
		Convey("an operator's lift is not undone by the crashes that the bar rested on: "+name, t, func() {
			fleet := newFleet(4)
			for number, letters := range test.crashes {
				fleet.crash(coltsfootlink.InstanceName(fmt.Sprint("i-", number%4)), fmt.Sprint(number), letters)
				fleet.now = fleet.now.Add(time.Second)
			}
			So(fleet.barring("d"), ShouldEqual, 4)
			fleet.tasks["i-2"].handle(coltsfootlink.Delivery{Message: coltsfootlink.BarLift{Pool: "p", Parts: prompt("d")}})
			So(fleet.barring("cdx"), ShouldEqual, 0)
			for _, task := range fleet.tasks {
				So(task.pools.State("p").Bars(), ShouldHaveLength, test.kept)
			}
		})
	}
}

// probe sends a request with the letters as shared parts on an instance, if it is not held back or a probe is due, and reports
// whether it was sent. The crash of its target is reported if it is seen.
func (fleet *fleet) probe(pool coltsfootlink.PoolName, name coltsfootlink.InstanceName, request, letters string, seen bool) bool {
	bar, held := fleet.tasks[name].view.Bar(pool, prompt(letters))
	if held && fleet.now.Before(bar.TrialAt) {
		return false
	}
	if held {
		probe := crashOf(request, letters, 0, 0)
		probe.Pool, probe.SentAt, probe.CrashedAt = pool, fleet.now, fleet.now
		fleet.tasks[name].handle(coltsfootlink.Delivery{Message: TrialSent{Crash: probe}})
	}
	if seen {
		fleet.crashIn(pool, name, request, letters)
	}
	return true
}

// Guards against trials whose crashes are not seen and put nothing off, so that one follows the other as long as requests come.
func TestProbesAreFewWhateverBecomesOfThem(t *testing.T) {
	const day = 24 * time.Hour
	cases := map[string]struct {
		// atOnce is the number of targets that crash at the same moment, before anything is known.
		atOnce int
		// seen is the number of crashes after that which are noticed.
		seen               int
		interval, duration time.Duration
		// restarts indicates that an instance starts anew every quarter of an hour.
		restarts bool
		// pools is the number of pools among which the requests are divided.
		pools int
	}{
		"their crashes are seen":                              {0, 100_000, time.Second, 5 * time.Minute, false, 1},
		"the crashes of probes are not seen":                  {0, 2, time.Second, 5 * time.Minute, false, 1},
		"the crashes of later probes are not seen":            {0, 4, time.Second, 5 * time.Minute, false, 1},
		"their crashes are seen, over a day":                  {0, 100_000, 10 * time.Second, day, false, 1},
		"the crashes of probes are not seen, over a day":      {0, 2, 10 * time.Second, day, false, 1},
		"one instance after the other starts anew over a day": {0, 100_000, 10 * time.Second, day, true, 1},
		"many targets crash at first, over a day":             {8, 100_000, 10 * time.Second, day, false, 1},
		"three pools":             {0, 100_000, time.Second, 5 * time.Minute, false, 3},
		"three pools, over a day": {0, 2, 10 * time.Second, day, false, 3},
	}
	for name, test := range cases {
		Convey("few requests with a part that crashes targets are sent after the fifth crash: "+name, t, func() {
			fleet := newFleet(4)
			var sent []time.Time
			for number := range test.atOnce {
				instance := coltsfootlink.InstanceName(fmt.Sprint("i-", number%4))
				fleet.tasks[instance].handle(coltsfootlink.Delivery{Message: Crashed{Crash: crashOf(fmt.Sprint("first-", number), "cd", 0, 100+number), Reply: make(chan bool, 1)}})
				sent = append(sent, start)
			}
			for number := 0; fleet.now.Sub(start) < test.duration; number++ {
				fleet.now = fleet.now.Add(test.interval)
				if test.restarts && number%90 == 45 {
					fleet.start(coltsfootlink.InstanceName(fmt.Sprint("i-", number/90%4)))
					fleet.announce()
				}
				instance := coltsfootlink.InstanceName(fmt.Sprint("i-", number%4))
				pool := []coltsfootlink.PoolName{"p", "q", "r"}[number/4%max(1, test.pools)]
				if fleet.probe(pool, instance, fmt.Sprint(number), string(rune('a'+number%3))+"d", len(sent)-test.atOnce < test.seen) {
					sent = append(sent, fleet.now)
				}
				for _, task := range fleet.tasks {
					task.tick()
				}
			}
			late := 0
			for _, at := range sent {
				if len(sent) > 5 && at.After(sent[4].Add(3*time.Second)) {
					late++
				}
			}
			So(late, ShouldBeLessThanOrEqualTo, 3)
		})
	}
	Convey("a probe that is answered ends the bar on all instances", t, func() {
		fleet := newFleet(4)
		fleet.crash("i-0", "1", "cd")
		fleet.crash("i-1", "2", "xd")
		fleet.now = fleet.now.Add(firstTrialDelay)
		So(fleet.probe("p", "i-2", "3", "cd", false), ShouldBeTrue)
		So(fleet.barring("d"), ShouldEqual, 4)
		fleet.now = fleet.now.Add(time.Second)
		fleet.tasks["i-2"].handle(coltsfootlink.Delivery{Message: Answered{Pool: "p", Parts: prompt("cd"), At: fleet.now}})
		So(fleet.barring("d"), ShouldEqual, 0)
	})
}
