package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/engine"
)

const (
	simulationStep = 5 * time.Millisecond
	// beforeReturn and afterReturn are how long the target is offered requests before and after its return.
	beforeReturn, afterReturn = 5 * time.Second, 8 * time.Second
	// transit is the time of a request to the target, and of a report back to its owner.
	transit           = 2 * time.Millisecond
	simulateObjective = 600 * time.Millisecond
	// rampAllowance is how much later than with the fixed ramp a target may be in full use.
	rampAllowance = time.Second
)

// scenario is what a target goes through; times are counted from its return. It takes slowdown times as long
// from its return until slowFor.
type scenario struct {
	traits    coltsfootlink.PoolTraits
	slots     int
	perSecond float64
	outageAt  time.Duration
	// crashes indicates that requests on the target break at outageAt, fails that later ones fail until the return, and
	// stalls that it answers none of them until then.
	crashes, fails, stalls bool
	// announced is applied at outageAt, returned at the return.
	announced, returned func(ledger Ledger, now time.Time) Ledger
	slowFor             time.Duration
	slowdown            float64
}

// experience is what callers see in the first four seconds after the return: how many of their requests are answered and how
// many of these after their objective, how long the slowest of the first twenty takes, and when the target is in full use.
type experience struct {
	answered, late       int
	slowest, fullUseFrom time.Duration
}

// report is on its way to the owner.
type report struct {
	at time.Time
	coltsfootlink.Progress
}

// simulation plays a scenario against the stand-in engine.
type simulation struct {
	scenario
	ledger  Ledger
	speed   engine.Traits
	state   engine.State
	granted map[uint64]time.Time
	reports []report
	// answers are the times of all answers.
	answers []time.Time
	experience
}

// run returns what callers see, with arrivals drawn from the seed.
func (test scenario) run(paced bool, seed uint64) experience {
	used := policy
	used.Pace = paced
	// A plain service answers as a whole: the stand-in's only event is the last one.
	current := simulation{scenario: test, granted: make(map[uint64]time.Time), speed: engine.Traits{Rates: rates, Slots: test.slots, MemoryTokens: 500_000, EventTokens: 1000}}
	if test.traits.Engine {
		current.speed.EventTokens = 1
	}
	current.ledger = NewLedger(start, coltsfootlink.Target{Name: "t", Slots: test.slots}, test.traits, used)
	current.state = engine.NewState(current.speed)
	random := rand.New(rand.NewPCG(seed, 0))
	arrival, engineTime := -beforeReturn+time.Second, start
	for at := -beforeReturn; at < afterReturn; at += simulationStep {
		now := start.Add(beforeReturn + at)
		current.change(at, now)
		switch {
		case test.stalls && at >= test.outageAt && at < 0:
		case at >= 0 && at < test.slowFor:
			engineTime = engineTime.Add(time.Duration(float64(simulationStep) / test.slowdown))
		default:
			engineTime = engineTime.Add(simulationStep)
		}
		current.receive(at, now, engineTime)
		for ; arrival <= at; arrival += time.Duration(random.ExpFloat64() / test.perSecond * float64(time.Second)) {
			current.offer(at, now, engineTime, random)
		}
	}
	current.fullUseFrom = current.fullUse()
	return current.experience
}

// change applies the outage and the return when they are due.
func (current *simulation) change(at time.Duration, now time.Time) {
	if at == current.outageAt && current.crashes {
		current.state, current.reports = engine.NewState(current.speed), nil
		for serial := range current.granted {
			current.report(now, serial, coltsfootlink.Ended, coltsfootlink.Crashed, 0)
		}
		clear(current.granted)
	}
	if at == current.outageAt && current.announced != nil {
		current.ledger = current.announced(current.ledger, now)
	}
	if at == 0 && current.returned != nil {
		current.ledger = current.returned(current.ledger, now)
	}
}

func (current *simulation) report(now time.Time, serial uint64, stage coltsfootlink.ProgressStage, result coltsfootlink.Result, took time.Duration) {
	progress := coltsfootlink.Progress{Serial: serial, Stage: stage, Result: result, Millis: int(took.Milliseconds())}
	current.reports = append(current.reports, report{at: now.Add(transit), Progress: progress})
}

// receive takes the engine's events, and gives the owner the reports that have arrived.
func (current *simulation) receive(at time.Duration, now, engineTime time.Time) {
	var events []engine.Event
	current.state, events = current.state.WithTime(engineTime)
	for _, event := range events {
		grantedAt, known := current.granted[event.Job]
		if !known {
			continue
		}
		took := now.Add(transit).Sub(grantedAt)
		if event.Number == 1 {
			current.answers = append(current.answers, now)
			if granted := at + transit - took; granted >= 0 && granted < 4*time.Second {
				current.count(took)
			}
			if current.traits.Engine {
				current.report(now, event.Job, coltsfootlink.FirstEvent, "", took)
			}
		}
		if event.Ended {
			delete(current.granted, event.Job)
			current.report(now, event.Job, coltsfootlink.Ended, coltsfootlink.Succeeded, took)
		}
	}
	for len(current.reports) > 0 && !current.reports[0].at.After(now) {
		current.ledger = current.ledger.WithProgress(now, "a", current.reports[0].Progress)
		current.reports = current.reports[1:]
	}
}

func (current *simulation) count(took time.Duration) {
	current.answered++
	if took > simulateObjective {
		current.late++
	}
	if current.answered <= 20 {
		current.slowest = max(current.slowest, took)
	}
}

// offer asks the owner for a permit, and sends the request to the engine if it gets one.
func (current *simulation) offer(at time.Duration, now, engineTime time.Time, random *rand.Rand) {
	serial := random.Uint64()
	work := prompt(0, 400+random.IntN(2200), serial)
	work.OutputTokens = 40 + random.IntN(60)
	asked := ask(now, serial, work, simulateObjective)
	if !current.traits.Engine {
		asked.Work, work = coltsfootlink.Work{}, coltsfootlink.Work{OutputTokens: 8 + random.IntN(32)}
	}
	var verdict coltsfootlink.Verdict
	current.ledger, verdict = current.ledger.WithAsk(now, "a", asked)
	switch {
	case verdict.Reason != "":
	case current.fails && at >= current.outageAt && at < 0:
		current.report(now, serial, coltsfootlink.Ended, coltsfootlink.Failed, 0)
	default:
		current.granted[serial] = now
		current.state = current.state.WithJob(engineTime, engine.Job{ID: serial, Work: work})
	}
}

// fullUse is when the answers of half a second first reach 85% of their mean in the last three seconds.
func (current *simulation) fullUse() time.Duration {
	between := func(from, to time.Duration) int {
		returned := start.Add(beforeReturn)
		return len(timesAfter(current.answers, returned.Add(from))) - len(timesAfter(current.answers, returned.Add(to)))
	}
	enough := 0.85 / 6 * float64(between(afterReturn-3*time.Second, afterReturn))
	from := time.Duration(0)
	for from < afterReturn && float64(between(from, from+time.Second/2)) < enough {
		from += 50 * time.Millisecond
	}
	return from
}

// TestReturningTarget checks that the first requests to a returning target do not wait beyond their objective, that no more
// requests miss it than with the fixed ramp, and that the target is in full use no later than with it and an allowance.
func TestReturningTarget(t *testing.T) {
	warm := coltsfootlink.PoolTraits{Engine: true, MemoryTokens: 500_000}
	cold := func(ledger Ledger, now time.Time) Ledger {
		return ledger.WithTarget(ledger.target.WithIncarnation(2).WithColdUntil(now.Add(3*time.Second)), ledger.traits)
	}
	restart := func(ledger Ledger, _ time.Time) Ledger {
		return ledger.WithTarget(ledger.target.WithIncarnation(2), ledger.traits)
	}
	backoff := func(ledger Ledger, now time.Time) Ledger {
		return ledger.WithNotice(coltsfootlink.TargetNotice{RetryAt: now.Add(2 * time.Second)})
	}
	cases := map[string]scenario{
		"cold start, slow for 3 s":            {traits: engineTraits, outageAt: -time.Second, crashes: true, returned: cold, slowFor: 3 * time.Second, slowdown: 3},
		"cold start at full speed":            {traits: engineTraits, outageAt: -time.Second, crashes: true, returned: cold},
		"crash, slow for 4 s":                 {traits: engineTraits, outageAt: -blockDuration, crashes: true, slowFor: 4 * time.Second, slowdown: 3},
		"backoff":                             {traits: engineTraits, outageAt: -2 * time.Second, announced: backoff},
		"backoff, slow for 2 s":               {traits: engineTraits, outageAt: -2 * time.Second, announced: backoff, slowFor: 2 * time.Second, slowdown: 3},
		"backoff, no cold starts, slow":       {traits: warm, outageAt: -2 * time.Second, announced: backoff, slowFor: 2 * time.Second, slowdown: 3},
		"unresponsive, at speed":              {traits: warm, outageAt: -2500 * time.Millisecond, stalls: true},
		"circuit breaker, slow for 1 s":       {traits: warm, outageAt: -3 * time.Second, fails: true, slowFor: time.Second, slowdown: 4},
		"restart, no cold starts, slow":       {traits: warm, outageAt: -time.Second, crashes: true, returned: restart, slowFor: 3 * time.Second, slowdown: 4},
		"restart, no cold starts, at speed":   {traits: warm, outageAt: -time.Second, crashes: true, returned: restart},
		"plain service of three slots, slow":  {traits: plainTraits, slots: 3, perSecond: 50, outageAt: -time.Second, crashes: true, returned: restart, slowFor: 3 * time.Second, slowdown: 4},
		"plain service of one slot, at speed": {traits: plainTraits, slots: 1, perSecond: 20, outageAt: -time.Second, crashes: true, returned: restart},
	}
	const seeds = 3
	for name, test := range cases {
		Convey(name, t, func() {
			if test.traits.Engine {
				test.slots, test.perSecond = 128, 60
			}
			var seen [2]experience
			for side, setting := range []string{"off", "on"} {
				for seed := range uint64(seeds) {
					one := test.run(side == 1, seed)
					seen[side].answered += one.answered
					seen[side].late += one.late
					seen[side].slowest = max(seen[side].slowest, one.slowest)
					seen[side].fullUseFrom += one.fullUseFrom / seeds
				}
				t.Logf("%-35s pace %-3s  full use after %4d ms, in time %3d, late %3d, slowest of the first 20 %4d ms", name, setting,
					seen[side].fullUseFrom.Milliseconds(), (seen[side].answered-seen[side].late)/seeds, seen[side].late/seeds, seen[side].slowest.Milliseconds())
			}
			off, on := seen[0], seen[1]
			So(on.fullUseFrom, ShouldBeLessThanOrEqualTo, off.fullUseFrom+rampAllowance)
			So(on.late, ShouldBeLessThanOrEqualTo, off.late)
			if test.traits.Engine {
				// A trial request to an unresponsive target waits behind what the target had not read before.
				So(on.slowest, ShouldBeLessThanOrEqualTo, map[bool]time.Duration{false: simulateObjective, true: off.slowest}[test.stalls])
			}
		})
	}
}
