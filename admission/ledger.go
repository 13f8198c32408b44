// Package admission decides which requests the targets that an instance owns get, and when.
package admission

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
	"coltsfootlink/engine"
)

const (
	// paceWindow is the time over which requests to a cold target are counted: the second that counts, and the time
	// within which permits have to be used, for not all take the same time to arrive.
	paceWindow = time.Second + coltsfootlink.PacedPermitTTL
	// viewLag is how much later than another an instance may learn who lives, and then no longer owns a target.
	viewLag = 500 * time.Millisecond
	// probeSpan is how long a new owner asks its target for reports, and reportInterval the time between two.
	probeSpan      = 4 * time.Second
	reportInterval = 400 * time.Millisecond
	// reportSpan is how long after it was asked for a report counts: until two later ones have been asked for.
	reportSpan = 2 * reportInterval
	// settleSpan is how long a new owner waits for what the others hold on a target.
	settleSpan = 250 * time.Millisecond
	// blockSpan is how long a target that does not accept connections gets nothing.
	blockSpan = 700 * time.Millisecond
	// silenceLimit is how much later than expected a first event may come before the target counts as silent.
	silenceLimit = 1500 * time.Millisecond
	// probeInterval is the time between two requests to a silent target.
	probeInterval = 500 * time.Millisecond
	// burstSpan and burstCrashes say how many connections break at once when a target crashes.
	burstSpan    = 100 * time.Millisecond
	burstCrashes = 3
	// minRetry is the least time after which a refused request may come again.
	minRetry = 60 * time.Millisecond
	// plainShare is the part of the objective that a request to a plain service may wait.
	plainShare = 0.5
	// maxPlainDepth is the most requests for each slot of a plain service.
	maxPlainDepth = 3.0
	// smoothing is the weight of the newest duration in the mean.
	smoothing = 0.1
	// correctionGain is the part of an error that corrects the expectations of the prompts behind.
	correctionGain = 0.3
	// unknownPrompt is the size in tokens of a prompt of which nothing is known.
	unknownPrompt = 4000
	// rankShare is the part of the wait that is allowed to the next priority.
	rankShare = 0.6
	// paceMillis is the least time of reading from which the pace is learned; less is mostly constant cost.
	paceMillis = 40.0
	// minPace and maxPace bound what is believed of a target's pace.
	minPace = 0.5
	maxPace = 4.0
)

// Policy is how much is let in.
type Policy struct {
	Rates engine.Rates
	// ObjectiveShare is the part of the time to the first event that the expected time may take.
	ObjectiveShare float64
	// LargeShare is the same for the wait before a prompt that takes longer to read than that.
	LargeShare float64
	// BearableShare and SurplusShare bound the wait of requests beyond their team's share.
	BearableShare float64
	SurplusShare  float64
	// MemoryShare is the part of an engine's memory that running requests may take.
	MemoryShare float64
	// ColdOverage and ColdSlack allow more requests a second than a cold target's pace: pace x overage + slack.
	ColdOverage float64
	ColdSlack   float64
}

// runID identifies a permitted request.
type runID struct {
	holder coltsfootlink.InstanceName
	serial uint64
}

// run is a request on a target.
type run struct {
	team      coltsfootlink.TeamName
	work      coltsfootlink.Work
	deadline  time.Time
	grantedAt time.Time
	// expectedAt is when the prompt was expected to be read, less the book's shift at the time.
	expectedAt time.Time
	readMillis float64
	// startsAt is when reading the prompt was expected to begin; zero if this owner has not let it in.
	startsAt time.Time
	// alone says that no other prompt was to be read before.
	alone bool
	// read says that the first event has come.
	read bool
}

// Book is what an owner knows of one target; it is immutable.
type Book struct {
	target coltsfootlink.Target
	traits coltsfootlink.PoolTraits
	policy Policy

	runs   *immutable.Map[runID, run]
	cache  engine.Cache
	grants []time.Time
	// ownedAt is when the owner began to own the target.
	ownedAt time.Time
	// clearAt is when the prompts that were let in are expected to be read.
	clearAt time.Time
	// shift is how much later than expected prompts have been read.
	shift time.Duration
	// pace is the time that the target takes for a prompt over the time that the rates give.
	pace float64
	// foreign is the number of requests on the target that nobody holds any more, until it says otherwise.
	foreign int
	// probeAt is when the target is next asked for a report, and probeUntil when it is asked no more.
	probeAt, probeUntil time.Time
	// coldUntil is when the target, which may have restarted, counts as warm.
	coldUntil time.Time
	// blockedUntil is when the target may get requests again.
	blockedUntil time.Time
	// trust is what the traffic says of the target's health.
	trust trust
	// eventAt is when the target last showed progress.
	eventAt time.Time
	// crashes are the latest times at which connections broke.
	crashes []time.Time
	// meanMillis is the mean duration of requests to a plain service in milliseconds.
	meanMillis float64
}

// runHasher makes run identifiers usable as keys of persistent maps.
type runHasher struct{}

// Hash returns a hash of an identifier.
func (runHasher) Hash(id runID) uint32 { return uint32(id.serial) }

// Equal says whether two identifiers are the same.
func (runHasher) Equal(left, right runID) bool { return left == right }

// NewBook returns the book of a target that is owned from now on.
func NewBook(now time.Time, target coltsfootlink.Target, traits coltsfootlink.PoolTraits, policy Policy) Book {
	return Book{
		target:     target,
		traits:     traits,
		policy:     policy,
		runs:       immutable.NewMap[runID, run](runHasher{}),
		cache:      engine.NewCache(),
		ownedAt:    now,
		probeAt:    now,
		probeUntil: now.Add(probeSpan),
		clearAt:    now,
		pace:       1,
		eventAt:    now,
	}
}

// WithTarget follows what the target says of itself.
func (book Book) WithTarget(target coltsfootlink.Target, traits coltsfootlink.PoolTraits) Book {
	if target.Incarnation != book.target.Incarnation {
		book.cache = engine.NewCache()
		book.runs = immutable.NewMap[runID, run](runHasher{})
		book.blockedUntil = time.Time{}
		book.trust = trust{}
	}
	book.target = target
	book.traits = traits
	return book
}

// WithAsk decides on a request; the verdict has no reason if the request may be sent.
func (book Book) WithAsk(now time.Time, from coltsfootlink.InstanceName, ask coltsfootlink.Ask) (Book, coltsfootlink.Verdict) {
	verdict := coltsfootlink.Verdict{Serial: ask.Serial, WaitMillis: int(book.waitMillis(now))}
	book.grants = after(book.grants, now.Add(-paceWindow))
	verdict.Reason, verdict.RetryAt = book.refusal(now, ask)
	if verdict.Reason != "" {
		return book, verdict
	}
	verdict.Paced = book.traits.ColdPerSecond > 0 && book.cold(now)
	if book.traits.Engine {
		verdict.ExpectedMillis = int(book.waitMillis(now) + book.readMillis(ask.Work) + book.policy.Rates.FirstMillis)
	}
	return book.withRun(now, runID{holder: from, serial: ask.Serial}, ask), verdict
}

// withRun counts a request that may be sent.
func (book Book) withRun(now time.Time, id runID, ask coltsfootlink.Ask) Book {
	added := run{team: ask.Team, work: ask.Work, deadline: ask.Deadline, grantedAt: now, expectedAt: now}
	if book.traits.Engine {
		added.readMillis = book.readMillis(ask.Work)
		if book.clearAt.Before(now) {
			book.clearAt = now
			added.alone = true
		}
		added.startsAt = book.clearAt
		book.clearAt = book.clearAt.Add(spanOf(added.readMillis))
		added.expectedAt = book.clearAt.Add(-book.shift)
		book.cache = book.cache.WithPrompt(now, ask.Work, book.traits.MemoryTokens-book.memory())
	}
	book.grants = append(book.grants[:len(book.grants):len(book.grants)], now)
	book.trust = book.trust.withGrant(now)
	book.runs = book.runs.Set(id, added)
	return book
}

// Load returns the number of requests on the target and the wait that a new one would have, in milliseconds.
func (book Book) Load(now time.Time) (int, int) {
	return book.runs.Len(), int(math.Round(book.waitMillis(now)))
}

// after returns the times after a moment; they are in order.
func after(times []time.Time, moment time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(moment) {
		times = times[1:]
	}
	return times
}

// spanOf returns a number of milliseconds as a span.
func spanOf(millis float64) time.Duration { return time.Duration(millis * float64(time.Millisecond)) }
