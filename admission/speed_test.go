package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/engine"
)

// load is a simulated load on engines, without a network, in ticks of a millisecond.
type load struct {
	policy Policy
	// speeds are the engines' speeds. Each of them is 2.5 times slower for 15% of the time, for about phase at a time; zero
	// if it never is.
	speeds []float64
	phase  time.Duration
	// demand is the offered reading time as a fraction of the engines' capacity.
	demand float64
	// requests, reports and phases are random numbers for each; the requests are the same whatever is decided.
	requests, reports, phases *rand.Rand
	engines                   []engine.State
	ledgers                   []Ledger
	slow                      []bool
	phaseEnds                 []time.Time
	sent                      map[uint64]sent
	delayed                   []delayedReport
	counts                    counts
}

// sent is a request that is on an engine, and delayedReport a report on its way to the owner.
type sent struct {
	target            int
	sentAt, objective time.Time
}

type delayedReport struct {
	at       time.Time
	target   int
	progress coltsfootlink.Progress
}

// counts are requests by how they ended.
type counts struct{ inTime, late, refused int }

const (
	slowShare    = 0.15
	slowFactor   = 2.5
	firstEventIn = 27 * time.Millisecond // from the first token to the first event at the holder
)

var loadRates = engine.Rates{PromptTokensPerMilli: 112, PairsMillis: 0.2, StepMillis: 3.41, StepMillisPerRequest: 0.1, ChunkTokens: 1024, FirstEventMillis: 35}

// run offers requests for a while and returns how they ended.
func (load *load) run(duration time.Duration, seed uint64) counts {
	load.requests, load.reports, load.phases = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	load.sent = make(map[uint64]sent)
	load.policy.Rates = loadRates
	traits := coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 500_000}
	now, capacity := start.Add(time.Minute), 0.0
	for _, speed := range load.speeds {
		load.ledgers = append(load.ledgers, NewLedger(start, coltsfootlink.Target{Name: "t", Pool: "p", Slots: 64}, traits, load.policy))
		load.engines = append(load.engines, engine.NewState(engine.Traits{Rates: loadRates, Slots: 64, MemoryTokens: 500_000, EventTokens: 1}).WithSlowdown(1/speed))
		load.phaseEnds = append(load.phaseEnds, now)
		load.slow = append(load.slow, true)
		capacity += speed
	}
	if load.phase > 0 {
		capacity *= 1 - slowShare*(1-1/slowFactor)
	}
	meanRead := 0.75*loadRates.ReadMillis(0, 2500, 5) + 0.25*loadRates.ReadMillis(0, 16_000, 5)
	serial := uint64(0)
	for tick, next := 0, 0.0; tick < int(duration/time.Millisecond); tick++ {
		now = now.Add(time.Millisecond)
		load.advance(now)
		for ; next < float64(tick); next += load.requests.ExpFloat64() * meanRead / (capacity * load.demand) {
			serial++
			load.offer(now, serial)
		}
	}
	return load.counts
}

// advance moves the engines on and delivers reports.
func (load *load) advance(now time.Time) {
	for index := range load.engines {
		if load.phase > 0 && !now.Before(load.phaseEnds[index]) {
			load.slow[index] = !load.slow[index]
			mean, factor := float64(load.phase)*(1/slowShare-1), 1.0
			if load.slow[index] {
				mean, factor = float64(load.phase), slowFactor
			}
			load.phaseEnds[index] = now.Add(time.Duration(mean * (0.5 + load.phases.Float64())))
			load.engines[index] = load.engines[index].WithSlowdown(factor / load.speeds[index])
		}
		var events []engine.Event
		load.engines[index], events = load.engines[index].WithTime(now)
		for _, event := range events {
			if event.Number == 1 || event.Ended {
				load.report(event)
			}
		}
	}
	remaining := load.delayed[:0]
	for _, report := range load.delayed {
		if report.at.After(now) {
			remaining = append(remaining, report)
			continue
		}
		load.ledgers[report.target] = load.ledgers[report.target].WithProgress(now, "i", report.progress)
	}
	load.delayed = remaining
}

// report counts a first event, and reports it or the end of a stream to the owner, one to five milliseconds late.
func (load *load) report(event engine.Event) {
	request, at := load.sent[event.Job], event.At.Add(firstEventIn)
	progress := coltsfootlink.Progress{Serial: event.Job, Stage: coltsfootlink.FirstEvent, Millis: int(at.Sub(request.sentAt).Milliseconds())}
	switch {
	case event.Ended:
		progress.Stage, progress.Result = coltsfootlink.Ended, coltsfootlink.Succeeded
	case at.After(request.objective):
		load.counts.late++
	default:
		load.counts.inTime++
	}
	delay := time.Duration(1+4*load.reports.Float64()) * time.Millisecond
	load.delayed = append(load.delayed, delayedReport{at: at.Add(delay), target: request.target, progress: progress})
}

// offer asks three targets in random order, and then the one with the shortest wait. Three of four prompts are short.
func (load *load) offer(now time.Time, serial uint64) {
	work, objective := prompt(0, 1000+load.requests.IntN(3000), serial+10), time.Duration(300+load.requests.IntN(200))*time.Millisecond
	if load.requests.IntN(4) == 0 {
		work, objective = prompt(0, 8000+load.requests.IntN(16_000), serial+10), time.Duration(500+load.requests.IntN(300))*time.Millisecond
	}
	work.OutputTokens = 60
	shortest := 0
	for index, ledger := range load.ledgers {
		if ledger.expectedWait(now) < load.ledgers[shortest].expectedWait(now) {
			shortest = index
		}
	}
	for _, target := range append(load.requests.Perm(len(load.ledgers))[:3], shortest) {
		var verdict coltsfootlink.Verdict
		load.ledgers[target], verdict = load.ledgers[target].WithAsk(now, "i", ask(now, serial, work, objective))
		if verdict.Reason == "" {
			load.sent[serial] = sent{target: target, sentAt: now.Add(time.Millisecond), objective: now.Add(objective)}
			load.engines[target] = load.engines[target].WithJob(now.Add(time.Millisecond), engine.Job{ID: serial, Work: work})
			return
		}
	}
	load.counts.refused++
}

// TestUnevenLoad guards against promises that are made from the average of a target or a pool: on targets whose speed differs,
// fewer requests may be late than by the basic estimate, and not fewer in time. On even targets the decisions may not change.
func TestUnevenLoad(t *testing.T) {
	even := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	mixed := []float64{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2}
	cases := map[string]struct {
		speeds []float64
		phase  time.Duration
		// lateFactor is the maximum number of late requests as a multiple of those by the basic estimate; zero if even.
		// inTimeGain is the minimum gain of requests in time as a fraction of all.
		lateFactor, inTimeGain float64
	}{
		"even":                   {even, 0, 0, 0},
		"even, slow for 200 ms":  {even, 200 * time.Millisecond, 0.7, -0.01},
		"mixed":                  {mixed, 0, 0.5, 0},
		"mixed, slow for 90 ms":  {mixed, 90 * time.Millisecond, 0.5, 0},
		"mixed, slow for 300 ms": {mixed, 300 * time.Millisecond, 0.7, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			play := func(basic bool, demand float64) <-chan counts {
				ended := make(chan counts, 1)
				go func() {
					one := load{policy: policy, speeds: test.speeds, phase: test.phase, demand: demand}
					one.policy.BasicEstimate = basic
					ended <- one.run(15*time.Second, 1)
				}()
				return ended
			}
			var sums [2]counts
			for _, demand := range []float64{0.6, 0.9, 1.2} {
				first, second := play(true, demand), play(false, demand)
				for index, ended := range []counts{<-first, <-second} {
					t.Logf("%s, demand %.1f, basic %t: %+v", name, demand, index == 0, ended)
					sums[index] = counts{sums[index].inTime + ended.inTime, sums[index].late + ended.late, sums[index].refused + ended.refused}
				}
			}
			basic, tracked := sums[0], sums[1]
			offered := float64(basic.inTime + basic.late + basic.refused)
			if test.lateFactor == 0 {
				So(float64(tracked.refused)/offered, ShouldAlmostEqual, float64(basic.refused)/offered, 0.01)
				return
			}
			So(float64(tracked.late), ShouldBeLessThanOrEqualTo, test.lateFactor*float64(basic.late))
			So(float64(tracked.inTime-basic.inTime)/offered, ShouldBeGreaterThanOrEqualTo, test.inTimeGain)
		})
	}
}

// TestOverdueFirstEvents guards against promises on a target that has just turned slow, and against targets that count as
// slow for the delay of a holder's reports.
func TestOverdueFirstEvents(t *testing.T) {
	read := durationOf(rates.ReadMillis(0, 8000, 0) + rates.FirstEventMillis)
	firstEvent := func(serial uint64, millis time.Duration) coltsfootlink.Progress {
		return coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent, Millis: int(millis.Milliseconds())}
	}
	cases := map[string]struct {
		// after is the time from the permit of three prompts to the question.
		after  time.Duration
		before func(ledger Ledger, now time.Time) Ledger
		slower bool
	}{
		"in time":                           {read - 10*time.Millisecond, nil, false},
		"overdue by less than usual errors": {read + 25*time.Millisecond, nil, false},
		"overdue":                           {read + 60*time.Millisecond, nil, true},
		"overdue and then received": {read + 60*time.Millisecond, func(ledger Ledger, now time.Time) Ledger {
			return ledger.WithProgress(now, "a", firstEvent(1, read+55*time.Millisecond))
		}, false},
		"first event of a later prompt received": {read + 60*time.Millisecond, func(ledger Ledger, now time.Time) Ledger {
			return ledger.WithProgress(now, "a", firstEvent(2, read+50*time.Millisecond))
		}, false},
		"holder has left": {read + 60*time.Millisecond, func(ledger Ledger, _ time.Time) Ledger {
			return ledger.WithoutHolder("a")
		}, false},
		"holder reports late": {read + 60*time.Millisecond, func(ledger Ledger, now time.Time) Ledger {
			ledger.speed = ledger.speed.WithReport("a", 30*time.Millisecond)
			return ledger
		}, false},
		"no request permitted for long, as the report may be lost": {read + 600*time.Millisecond, nil, false},
	}
	for name, test := range cases {
		Convey("a target counts as slow only while its next first event is overdue: "+name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			for serial := range uint64(3) {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial+1, prompt(0, 8000, serial+10), 10*time.Second))
			}
			now = now.Add(test.after)
			if test.before != nil {
				ledger = test.before(ledger, now)
			}
			So(ledger.overdue(now) > 0, ShouldEqual, test.slower)
			So(ledger.expectedWait(now) > ledger.waitMillis(now), ShouldEqual, test.slower)
		})
	}
}

// TestEventsOfSlowHolders guards against queues that move by the delays of holders, or by times that a new owner does not know.
func TestEventsOfSlowHolders(t *testing.T) {
	millis := rates.ReadMillis(0, 8000, 0) + rates.FirstEventMillis
	cases := map[string]struct {
		// laterFirst indicates that the first event of a later prompt was reported first, and held that another owner granted
		// the permit.
		laterFirst, held bool
		// most is the maximum part of the delay by which the queue moves.
		most float64
	}{
		"the target was suspended":        {false, false, 1},
		"the holder was suspended":        {true, false, 0.01},
		"permitted by the previous owner": {false, true, correctionGain},
	}
	for name, test := range cases {
		Convey("a first event comes two seconds late: "+name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			late := uint64(1)
			if test.held {
				late = 0
				ledger = ledger.WithHeld(now, "a", coltsfootlink.Held{Target: "t", Requests: []coltsfootlink.HeldRequest{{Serial: 0, Work: prompt(0, 8000, 5), Deadline: now.Add(time.Minute)}}})
			}
			for serial := uint64(1); serial <= 20; serial++ {
				ledger, _ = ledger.WithAsk(now, "a", ask(now, serial, prompt(0, 8000, serial+10), time.Minute))
			}
			if test.laterFirst {
				ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: 2, Stage: coltsfootlink.FirstEvent, Millis: int(2*millis - rates.FirstEventMillis)})
			}
			before := ledger.queueEndsAt
			now = now.Add(2*time.Second + durationOf(millis))
			ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: late, Stage: coltsfootlink.FirstEvent, Millis: int(2000 + millis)})
			moved := ledger.queueEndsAt.Sub(before).Seconds() / 2
			So(moved, ShouldBeBetweenOrEqual, 0.9*test.most-0.01, test.most+0.05)
		})
	}
}

// TestLargePromptsOnSlowTargets guards against large prompts that are late on a slow target and would be in time on another, and
// against their refusal where they would be late on all targets of the pool.
func TestLargePromptsOnSlowTargets(t *testing.T) {
	cases := map[string]struct {
		slowdown, poolSpeed float64
		uneven              bool
		objective           time.Duration
		reason              coltsfootlink.Reason
	}{
		// Reading takes 224 ms by the rates, and the first event 30 ms more.
		"like the others, in time":                {1, 0, false, 300 * time.Millisecond, ""},
		"like the others, late everywhere":        {1, 0, false, 200 * time.Millisecond, ""},
		"slower than the others":                  {1.8, 1, false, 300 * time.Millisecond, coltsfootlink.TargetFull},
		"slower than the others, in time":         {1.8, 1, false, 500 * time.Millisecond, ""},
		"slower than the others, late everywhere": {1.8, 1, false, 200 * time.Millisecond, ""},
		"all slow": {1.8, 0.6, false, 300 * time.Millisecond, ""},
		"uneven, and in time only by its average": {1, 0, true, 300 * time.Millisecond, ""},
	}
	for name, test := range cases {
		Convey("a large prompt on an idle target: "+name, t, func() {
			ledger, now := settledLedger(engineTraits, 128)
			ledger = ledger.WithPoolSpeed(test.poolSpeed)
			for range 100 {
				ledger.speed = ledger.speed.WithReading(durationOf(100*test.slowdown), 100*time.Millisecond)
			}
			if test.uneven {
				ledger.speed = ledger.speed.WithError(time.Second).WithError(time.Second).WithError(time.Second)
			}
			_, verdict := ledger.WithAsk(now, "a", ask(now, 1, prompt(0, 16_000, 1), test.objective))
			So(verdict.Reason, ShouldEqual, test.reason)
		})
	}
}

// TestExpectationsOfSlowVersions guards against slow versions that are not noticed, because expectations follow them.
func TestExpectationsOfSlowVersions(t *testing.T) {
	Convey("what is expected of short prompts does not follow a target that is twice as slow", t, func() {
		ledger, now := settledLedger(engineTraits, 128)
		work := func(serial uint64) coltsfootlink.Work { return prompt(0, 2000, serial+10) }
		took := durationOf(2 * (rates.ReadMillis(0, 2000, 0) + rates.FirstEventMillis))
		for serial := range uint64(100) {
			var verdict coltsfootlink.Verdict
			ledger, verdict = ledger.WithAsk(now, "a", ask(now, serial, work(serial), time.Second))
			So(verdict.ExpectedMillis, ShouldBeLessThanOrEqualTo, int(took.Milliseconds())/2)
			now = now.Add(took)
			ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.FirstEvent, Millis: int(took.Milliseconds())})
			ledger = ledger.WithProgress(now, "a", coltsfootlink.Progress{Serial: serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Succeeded})
		}
		So(ledger.currentSlowdown(), ShouldAlmostEqual, 2, 0.1)
	})
}

// speedRecorder is a sender that records announced speeds by receiver.
type speedRecorder map[coltsfootlink.InstanceName][]coltsfootlink.TargetSpeed

// Send records announced speeds and drops other messages.
func (recorder speedRecorder) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if speeds, is := message.(coltsfootlink.TargetSpeeds); is {
		recorder[to] = speeds.Speeds
	}
}

// TestSpeedMessages guards against owners that do not tell all instances of a slow target, or do not use what they are told.
func TestSpeedMessages(t *testing.T) {
	Convey("an owner announces a slow target to all live instances, and compares its targets with the announced speeds", t, func() {
		task, _ := ownerTask(start)
		sent := make(speedRecorder)
		task.Sender = sent
		for _, name := range []coltsfootlink.InstanceName{"o", "other"} {
			task.view.Members = append(task.view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name}, Live: true})
		}
		ledger := task.ledgers["t"]
		for range 100 {
			ledger.speed = ledger.speed.WithReading(100*time.Millisecond, 50*time.Millisecond)
		}
		task.ledgers["t"] = ledger
		task.tick()
		slow := []coltsfootlink.TargetSpeed{{Target: "t", Speed: 0.5}}
		So(sent, ShouldResemble, speedRecorder{"o": slow, "other": slow})
		task.handle(coltsfootlink.Delivery{Message: coltsfootlink.TargetSpeeds{Speeds: slow}})
		task.Clock = fixedClock{start.Add(mediansInterval)}
		task.tick()
		So(task.ledgers["t"].poolSlowdown, ShouldEqual, 2)
	})
}
