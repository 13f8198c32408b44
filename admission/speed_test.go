package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/engine"
)

// load is a simulated load of requests on engines, without a network: each tick is a millisecond.
type load struct {
	policy   Policy
	speeds   []float64
	phase    time.Duration // how long an engine is slow at a time; zero if it never is
	demand   float64       // the offered reading time as a fraction of the engines' capacity
	random   *rand.Rand    // of the requests, so that they are the same for all estimates
	noise    *rand.Rand    // of the delays of reports
	phases   *rand.Rand
	engines  []engine.State
	ledgers  []Ledger
	phaseEnd []time.Time
	slow     []bool
	sent     map[uint64]sent
	reports  []delayedReport
	counts   counts
}

// sent is a request that is on an engine.
type sent struct {
	target              int
	sentAt, objective   time.Time
	expectedMillis      int
	firstEventDelivered bool
	work                coltsfootlink.Work
}

// delayedReport is a report on its way to the owner.
type delayedReport struct {
	at       time.Time
	target   int
	progress coltsfootlink.Progress
}

// counts are the requests by how they ended.
type counts struct{ inTime, late, refused int }

const (
	simulatedSlowShare = 0.15
	simulatedSlowdown  = 2.5
)

var simulatedRates = engine.Rates{PromptTokensPerMilli: 112, PairsMillis: 0.2, StepMillis: 3.41, StepMillisPerRequest: 0.1, ChunkTokens: 1024, FirstEventMillis: 35}

// run offers requests for a while and returns how they ended.
func (load *load) run(duration time.Duration, seed uint64) counts {
	load.random, load.noise, load.phases = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	load.sent = make(map[uint64]sent)
	load.policy.Rates = simulatedRates
	traits := coltsfootlink.PoolTraits{Name: "p", Engine: true, MemoryTokens: 500_000}
	now := start.Add(time.Minute)
	for index := range load.speeds {
		target := coltsfootlink.Target{Name: "t", Pool: "p", Slots: 64}
		load.ledgers = append(load.ledgers, NewLedger(start, target, traits, load.policy))
		load.engines = append(load.engines, engine.NewState(engine.Traits{Rates: simulatedRates, Slots: 64, MemoryTokens: 500_000, EventTokens: 6}).WithSlowdown(1/load.speeds[index]))
		load.phaseEnd = append(load.phaseEnd, now)
		load.slow = append(load.slow, true)
	}
	capacity := 0.0
	for _, speed := range load.speeds {
		capacity += speed
	}
	if load.phase > 0 {
		capacity *= 1 - simulatedSlowShare*(1-1/simulatedSlowdown)
	}
	next := 0.0
	for tick := range int(duration / time.Millisecond) {
		now = now.Add(time.Millisecond)
		load.advance(now)
		for ; next < float64(tick); next += load.random.ExpFloat64() * load.meanRead() / (capacity * load.demand) {
			load.offer(now, uint64(len(load.sent)+load.counts.refused+1))
		}
	}
	return load.counts
}

// meanRead is the mean reading time of a prompt in milliseconds: three of four are short.
func (load *load) meanRead() float64 {
	return 0.75*simulatedRates.ReadMillis(0, 2500, 5) + 0.25*simulatedRates.ReadMillis(0, 16_000, 5)
}

// advance moves the engines on and delivers reports.
func (load *load) advance(now time.Time) {
	for index := range load.engines {
		if load.phase > 0 && !now.Before(load.phaseEnd[index]) {
			load.slow[index] = !load.slow[index]
			mean, factor := float64(load.phase)*(1/simulatedSlowShare-1), 1.0
			if load.slow[index] {
				mean, factor = float64(load.phase), simulatedSlowdown
			}
			load.phaseEnd[index] = now.Add(time.Duration(mean * (0.5 + load.phases.Float64())))
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
	remaining := load.reports[:0]
	for _, report := range load.reports {
		if report.at.After(now) {
			remaining = append(remaining, report)
			continue
		}
		load.ledgers[report.target] = load.ledgers[report.target].WithProgress(now, "i", report.progress)
	}
	load.reports = remaining
}

// report counts a first event and sends a report to the owner.
func (load *load) report(event engine.Event) {
	request := load.sent[event.Job]
	progress := coltsfootlink.Progress{Serial: event.Job, Stage: coltsfootlink.FirstEvent, Millis: int(event.At.Sub(request.sentAt).Milliseconds())}
	if event.Number == 1 {
		if event.At.After(request.objective) {
			load.counts.late++
		} else {
			load.counts.inTime++
		}
	} else {
		progress.Stage, progress.Result = coltsfootlink.Ended, coltsfootlink.Succeeded
	}
	delay := time.Duration(1+4*load.noise.Float64()) * time.Millisecond
	load.reports = append(load.reports, delayedReport{at: event.At.Add(delay), target: request.target, progress: progress})
}

// offer asks three targets in random order, and then the one with the shortest wait.
func (load *load) offer(now time.Time, serial uint64) {
	work, objective := prompt(0, 1000+load.random.IntN(3000), serial+10), time.Duration(300+load.random.IntN(200))*time.Millisecond
	if load.random.IntN(4) == 0 {
		work, objective = prompt(0, 8000+load.random.IntN(16_000), serial+10), time.Duration(500+load.random.IntN(300))*time.Millisecond
	}
	candidates := load.random.Perm(len(load.ledgers))[:min(3, len(load.ledgers))]
	shortest := 0
	for index, ledger := range load.ledgers {
		if ledger.waitMillis(now) < load.ledgers[shortest].waitMillis(now) {
			shortest = index
		}
	}
	for _, target := range append(candidates, shortest) {
		var verdict coltsfootlink.Verdict
		load.ledgers[target], verdict = load.ledgers[target].WithAsk(now, "i", ask(now, serial, work, objective))
		if verdict.Reason == "" {
			sentAt := now.Add(time.Millisecond)
			load.sent[serial] = sent{target: target, sentAt: sentAt, objective: now.Add(objective), expectedMillis: verdict.ExpectedMillis, work: work}
			load.engines[target] = load.engines[target].WithJob(sentAt, engine.Job{ID: serial, Work: work})
			return
		}
	}
	load.counts.refused++
}

// TestUnevenLoad guards against promises that are made from a target's average while it is slow: on targets whose speed
// varies, fewer requests may be late than by the basic estimate, and not fewer in time; on even targets nothing may change.
func TestUnevenLoad(t *testing.T) {
	even := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	mixed := []float64{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2}
	cases := map[string]struct {
		speeds []float64
		phase  time.Duration
	}{
		"even":                   {even, 0},
		"slow for 100 ms":        {even, 100 * time.Millisecond},
		"slow for 200 ms":        {even, 200 * time.Millisecond},
		"mixed":                  {mixed, 0},
		"mixed, slow for 100 ms": {mixed, 100 * time.Millisecond},
		"mixed, slow for 200 ms": {mixed, 200 * time.Millisecond},
		"mixed, slow for 300 ms": {mixed, 300 * time.Millisecond},
	}
	for name, test := range cases {
		for _, demand := range []float64{0.6, 0.9, 1.2} {
			Convey(fmt.Sprintf("%s, demand %.1f", name, demand), t, func() {
				var ended [2]counts
				for index := range ended {
					for seed := range uint64(2) {
						one := load{policy: policy, speeds: test.speeds, phase: test.phase, demand: demand}
						one.policy.BasicEstimate = index == 0
						got := one.run(20*time.Second, seed)
						ended[index].inTime += got.inTime
						ended[index].late += got.late
						ended[index].refused += got.refused
					}
				}
				basic, tracked := ended[0], ended[1]
				offered := float64(basic.inTime + basic.late + basic.refused)
				t.Logf("%s, demand %.1f: basic %+v, new %+v", name, demand, basic, tracked)
				So(float64(tracked.inTime-basic.inTime)/offered, ShouldBeGreaterThan, -0.02)
			})
		}
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
