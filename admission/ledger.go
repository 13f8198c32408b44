// Package admission decides, on the instance that owns a target, which requests may be sent to that target and when.
// It limits concurrency, queueing delay, memory use and the rate of requests during a cold start, and it stops
// sending to targets that crash, fail or stop responding.
package admission

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
	"coltsfootlink/engine"
	"coltsfootlink/speed"
)

const (
	// coldRateWindow is the sliding window over which requests to a cold target are counted. It is one second plus the
	// TTL of permits, because requests granted at different times may reach the target in the same second.
	coldRateWindow = time.Second + coltsfootlink.PacedPermitTTL
	// viewLag is the maximum difference between the times at which two instances learn of a membership change. For this
	// long, the previous owner of a target may still grant permits.
	viewLag = 500 * time.Millisecond
	// probeDuration is how long a new owner requests reports from its target, and reportInterval the time between two
	// of them.
	probeDuration  = 4 * time.Second
	reportInterval = 400 * time.Millisecond
	// reportMaxAge is the maximum age of a report, counted from its request; after that, two later ones have been
	// requested.
	reportMaxAge = 2 * reportInterval
	// settleDelay is how long a new owner refuses requests while it waits for the other instances to list the requests
	// that they hold on the target.
	settleDelay = 250 * time.Millisecond
	// blockDuration is how long no requests are sent to a target that refused a connection or crashed.
	blockDuration = 700 * time.Millisecond
	// unresponsiveTimeout is how overdue a first event may be before the target counts as unresponsive.
	unresponsiveTimeout = 1500 * time.Millisecond
	// trialInterval is the time between two trial requests to an unresponsive target.
	trialInterval = 500 * time.Millisecond
	// A target counts as crashed when at least crashThreshold connections to it break within crashWindow, and these are
	// at least as many as the requests that remain on it.
	crashWindow    = 100 * time.Millisecond
	crashThreshold = 3
	// minRetryDelay is the minimum delay before a refused request may be retried.
	minRetryDelay = 60 * time.Millisecond
	// plainWaitFraction is the maximum wait of a request to a plain service as a fraction of its objective.
	plainWaitFraction = 0.5
	// maxPlainDepth is the maximum number of requests per slot of a plain service, running and waiting.
	maxPlainDepth = 3
	// smoothing is the weight of the newest sample in moving averages.
	smoothing = 0.1
	// correctionGain is the fraction of a prediction error by which the predictions for later prompts are corrected.
	correctionGain = 0.3
	// defaultPromptTokens is the size in tokens that is assumed for prompts of unknown size.
	defaultPromptTokens = 4000
	// rankWaitFactor is the factor by which the maximum wait falls from one priority rank to the next lower one.
	rankWaitFactor = 0.6
	// minSlowdownSample is the minimum predicted reading time, in milliseconds, of prompts from which the slowdown is
	// measured; the time of shorter ones is mostly fixed overhead.
	minSlowdownSample = 40.0
	// minSlowdown and maxSlowdown bound the measured slowdown of a target.
	minSlowdown = 0.5
	maxSlowdown = 4.0
)

// Policy holds the admission limits.
type Policy struct {
	Rates engine.Rates
	// ObjectiveShare is the maximum expected time to the first event as a fraction of the request's objective.
	ObjectiveShare float64
	// LargeShare is the lower bound of the allowed wait, as a fraction of the objective and before rank and standing
	// reduce it. Large prompts, whose reading alone uses up ObjectiveShare, are admitted by it.
	LargeShare float64
	// BearableShare and SurplusShare are the maximum waits, as fractions of the objective, of requests with the
	// standing Bearable or Surplus. An Ask.MaxWaitFraction above BearableShare raises both by the same factor.
	BearableShare float64
	SurplusShare  float64
	// MemoryShare is the fraction of an engine's memory that running requests may use.
	MemoryShare float64
	// ColdOverage and ColdSlack give the maximum number of requests per second to a cold target:
	// ColdPerSecond x ColdOverage + ColdSlack. An owner grants half of that, see coldRateLimit.
	ColdOverage float64
	ColdSlack   float64
	// Pace lets the target's answers set the pace at which it gets requests after it has started or recovered.
	Pace bool
	// BasicEstimate ignores momentary slowness and differences in speed between targets; it is used for comparison.
	BasicEstimate bool
}

// requestID identifies a permitted request.
type requestID struct {
	holder coltsfootlink.InstanceName
	serial uint64
}

// request is a permitted request that may be waiting or running on a target.
type request struct {
	team      coltsfootlink.TeamName
	work      coltsfootlink.Work
	objective time.Time
	deadline  time.Time
	grantedAt time.Time
	// expectedAt is when the target is expected to have read the prompt, without the ledger's lag: the lag at the time of
	// the permit is subtracted, so that the current lag can be added.
	expectedAt time.Time
	readMillis float64
	// basicMillis is readMillis with the ledger's slowdown, and ratesMillis with none.
	basicMillis, ratesMillis float64
	// firstEventMillis is the expected time from the end of reading to the first event.
	firstEventMillis float64
	// promisedLag is the lag of the reading queue that was expected when the permit was granted.
	promisedLag time.Duration
	// readStartsAt is when the target is expected to begin reading the prompt; zero if another owner granted the permit.
	readStartsAt time.Time
	// firstInQueue indicates that no admitted prompt was still to be read when the permit was granted.
	firstInQueue bool
	// firstEventReceived indicates that the request's holder has received the first event.
	firstEventReceived bool
	// surplus indicates that the request is beyond its team's shares.
	surplus bool
}

// Ledger holds the permitted requests of one target, and what its owner has observed and predicts of the target; it is
// immutable.
type Ledger struct {
	target coltsfootlink.Target
	traits coltsfootlink.PoolTraits
	policy Policy

	requests   *immutable.Map[requestID, request]
	cache      engine.Cache
	grantTimes []time.Time
	// ownedAt is when the owner began to own the target.
	ownedAt time.Time
	// queueEndsAt is when the target is expected to have read all admitted prompts.
	queueEndsAt time.Time
	// lag is the smoothed difference between the actual and the predicted times at which prompts were read.
	lag time.Duration
	// slowdown is the ratio of the time that the target takes to read a prompt to the time computed from the rates, in the basic
	// estimate. Others use currentSlowdown.
	slowdown float64
	// poolSlowdown is the median slowdown of the pool's targets.
	poolSlowdown float64
	// speed is what is known of the target's speed.
	speed speed.State
	// head is the request whose first event is expected next. readUntil is the time, in terms of request.expectedAt, up to
	// which prompts are known to have been read.
	head      requestID
	readUntil time.Time
	// readSeenAt is when the first event of the latest prompt that was read was received.
	readSeenAt time.Time
	// orphaned is the number of requests on the target, by its last report, that no live instance holds.
	orphaned int
	// probeAt is when the next report is requested from the target. After probeUntil, reports are requested only while
	// there are orphaned requests.
	probeAt, probeUntil time.Time
	// coldUntil is the end of the cold start of a target that may have restarted.
	coldUntil time.Time
	// blockedUntil is when requests may be sent to the target again.
	blockedUntil time.Time
	// announced is what the target has announced in its answers.
	announced announced
	// breaker is the circuit breaker of the target.
	breaker breaker
	// lastProgressAt is when the target last sent a first event or completed a request.
	lastProgressAt time.Time
	// crashTimes lists, in order, when connections to the target broke within the last crashWindow.
	crashTimes []time.Time
	// meanDurationMillis is the moving average of request durations in milliseconds; it is used for plain services.
	meanDurationMillis float64
	// recovery is how the target starts or recovers.
	recovery recovery
}

// requestHasher lets request identifiers be keys of persistent maps.
type requestHasher struct{}

// Hash hashes by the serial number alone; equal numbers of different holders collide.
func (requestHasher) Hash(id requestID) uint32 { return uint32(id.serial) }

// Equal reports whether two identifiers are the same.
func (requestHasher) Equal(left, right requestID) bool { return left == right }

// NewLedger returns an empty ledger for a target of which the instance has just become the owner.
func NewLedger(now time.Time, target coltsfootlink.Target, traits coltsfootlink.PoolTraits, policy Policy) Ledger {
	ledger := Ledger{
		target:         target,
		traits:         traits,
		policy:         policy,
		requests:       immutable.NewMap[requestID, request](requestHasher{}),
		cache:          engine.NewCache(),
		ownedAt:        now,
		probeAt:        now,
		probeUntil:     now.Add(probeDuration),
		queueEndsAt:    now,
		slowdown:       1,
		poolSlowdown:   1,
		speed:          speed.New(),
		lastProgressAt: now,
	}
	ledger.recovery = ledger.newRecovery(now)
	return ledger
}

// WithTarget applies a change of the target or of its pool's traits. A new incarnation has restarted: it has lost its
// requests, its queue and its cache, and blocks and failures of the previous one no longer count. Its speed is kept: a
// restart on the same machine seldom changes it.
func (ledger Ledger) WithTarget(target coltsfootlink.Target, traits coltsfootlink.PoolTraits) Ledger {
	if target.Incarnation != ledger.target.Incarnation {
		ledger.cache = engine.NewCache()
		ledger.requests = immutable.NewMap[requestID, request](requestHasher{})
		ledger.blockedUntil = time.Time{}
		ledger.announced = announced{}
		ledger.breaker = breaker{}
		ledger.head, ledger.readUntil = requestID{}, time.Time{}
		ledger.queueEndsAt, ledger.lag, ledger.orphaned, ledger.crashTimes = time.Time{}, 0, 0, nil
		ledger = ledger.withRestart()
	}
	ledger.target = target
	ledger.traits = traits
	return ledger
}

// WithAsk decides whether a request may be sent; if so, the verdict's reason is empty and the request is recorded.
func (ledger Ledger) WithAsk(now time.Time, from coltsfootlink.InstanceName, ask coltsfootlink.Ask) (Ledger, coltsfootlink.Verdict) {
	ledger = ledger.withPaceAt(now)
	verdict := coltsfootlink.Verdict{Serial: ask.Serial, WaitMillis: int(ledger.expectedWait(now))}
	ledger.grantTimes = timesAfter(ledger.grantTimes, now.Add(-coldRateWindow))
	verdict.Reason, verdict.RetryAt = ledger.refusal(now, ask)
	if verdict.Reason == "" {
		ledger, verdict = ledger.withPaceVerdict(now, verdict)
	}
	if verdict.Reason != "" {
		return ledger, verdict
	}
	verdict.Paced = ledger.rateLimited(now)
	if ledger.traits.Engine {
		verdict.ExpectedMillis = int(ledger.expectedWait(now) + ledger.usualMillis(ask.Work))
	}
	return ledger.withRequest(now, requestID{holder: from, serial: ask.Serial}, ask), verdict
}

// withRequest records a permitted request and, for an engine, appends its prompt to the reading queue.
func (ledger Ledger) withRequest(now time.Time, id requestID, ask coltsfootlink.Ask) Ledger {
	added := request{
		team: ask.Team, work: ask.Work, objective: ask.Objective, deadline: ask.Deadline, grantedAt: now, expectedAt: now,
		surplus: ask.Standing == coltsfootlink.Surplus,
	}
	if ledger.traits.Engine {
		added.ratesMillis = ledger.ratesMillis(ask.Work)
		added.readMillis, added.basicMillis = ledger.currentSlowdown()*added.ratesMillis, ledger.slowdown*added.ratesMillis
		added.firstEventMillis = ledger.firstEventMillis()
		added.promisedLag = ledger.lag + ledger.overdue(now)
		if ledger.queueEndsAt.Before(now) {
			ledger.queueEndsAt = now
			added.firstInQueue = true
		}
		added.readStartsAt = ledger.queueEndsAt
		ledger.queueEndsAt = ledger.queueEndsAt.Add(durationOf(added.readMillis))
		added.expectedAt = ledger.queueEndsAt.Add(-ledger.lag)
		ledger.cache = ledger.cache.WithPrompt(now, ask.Work, ledger.traits.MemoryTokens-ledger.usedTokens())
	}
	ledger.grantTimes = append(ledger.grantTimes[:len(ledger.grantTimes):len(ledger.grantTimes)], now)
	ledger.breaker = ledger.breaker.withGrant(now)
	ledger.requests = ledger.requests.Set(id, added)
	if _, found := ledger.requests.Get(ledger.head); !found {
		ledger = ledger.withHead()
	}
	return ledger
}

// Load returns the number of permitted requests on the target and the expected wait of a new one in milliseconds.
func (ledger Ledger) Load(now time.Time) (int, int) {
	return ledger.requests.Len(), int(math.Round(ledger.expectedWait(now)))
}

// timesAfter returns the times after a moment; the times must be in ascending order.
func timesAfter(times []time.Time, moment time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(moment) {
		times = times[1:]
	}
	return times
}

// durationOf converts milliseconds to a duration.
func durationOf(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
