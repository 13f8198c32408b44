package coltsfootlink

import "time"

// Ask asks the owner of a target whether a request may be sent to it.
type Ask struct {
	// Serial identifies the question on the sender.
	Serial uint64
	Target TargetName
	Team   TeamName
	Work   Work
	// Objective is when the answer, or a stream's first event, should have come.
	Objective time.Time
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// Rank is how many priorities of the pool's requests go before this one's.
	Rank int
	// Standing is how the request stands to its team's fair share.
	Standing Standing
	// Patience is the part of its objective that a bearable request may wait; zero for the owner's own setting.
	Patience float64
}

// Expired says that the caller no longer waits for an answer.
func (ask Ask) Expired(now time.Time) bool {
	return !ask.Deadline.IsZero() && !now.Before(ask.Deadline)
}

// Standing says how a request stands to its team's fair share.
type Standing uint32

const (
	// Entitled requests lie within the team's share of what the operators promise.
	Entitled Standing = iota
	// Bearable requests lie within the team's share of what the targets can do.
	Bearable
	// Surplus requests are served where nobody else wants to be.
	Surplus
)

// Offered tells the keeper of a pool's shares what callers have asked for since the last time.
type Offered struct {
	Pool  PoolName
	Teams []TeamOffer
	// Tried is the work within teams' shares that was offered to targets, and Full the part of it that was refused
	// because they were full; in tokens.
	Tried, Full float64
}

// TeamOffer is the work that a team has asked for and got, in tokens.
type TeamOffer struct {
	Team   TeamName
	Tokens float64
	// Granted is the part of the work for which there were permits.
	Granted float64
}

// Shares tells which part of their requests teams may have; teams that are not named may have all.
type Shares struct {
	Pool  PoolName
	Teams []TeamShare
	// Patience is the part of its objective that a request beyond what is promised, but within what targets bear, may
	// wait.
	Patience float64
}

// TeamShare is the part of a team's requests that lies within its share, from 0 to 1.
type TeamShare struct {
	Team TeamName
	// Entitled is the part within its share of what the operators promise.
	Entitled float64
	// Bearable is the part within its share of what the targets can do.
	Bearable float64
	// Surplus is the part of the rest that may be offered to targets at all.
	Surplus float64
}

// MoveUsages tells the coordinator of a move how requests of the pool have ended since the last time.
type MoveUsages struct {
	Pool    PoolName
	Started Revision
	Usages  []MoveUsage
	// RunningNew and RunningOld are the numbers of the sender's requests that run on targets of the new version and
	// of others.
	RunningNew, RunningOld int
}

// MoveUsage is how one request of a moving pool has ended.
type MoveUsage struct {
	// New says that a target of the new version had the request.
	New    bool
	Route  string
	Failed bool
	// Millis is the time to the first event of a stream, or to the whole answer, in milliseconds.
	Millis float64
}

// MoveWord is what the coordinator of a move says of it.
type MoveWord struct {
	Move Move
	// Share is the share of the requests that go to the new version.
	Share float64
}

// PacedSpan is how long after it was asked for a permit for a cold target may be used.
const PacedSpan = 100 * time.Millisecond

// Verdict answers an Ask.
type Verdict struct {
	Serial uint64
	// Reason says why the request may not be sent; empty if it may.
	Reason Reason
	// RetryAt is when the target may have room again; zero if unknown.
	RetryAt time.Time
	// ExpectedMillis is the expected time to a stream's first event.
	ExpectedMillis int
	// WaitMillis is how long a prompt waits on the target before it is read.
	WaitMillis int
	// Paced says that the target may be cold, so that the permit has to be used at once.
	Paced bool
}

// ProgressStage is how far a permitted request has come.
type ProgressStage uint32

const (
	// FirstEvent means that the first byte of the answer has come.
	FirstEvent ProgressStage = iota + 1
	// Ended means that nothing of the request is left on the target.
	Ended
)

// Progress tells the owner of a target how far a permitted request has come.
type Progress struct {
	Serial uint64
	Target TargetName
	Stage  ProgressStage
	// Result is how the request ended.
	Result Result
	// Millis is the time since the request was sent.
	Millis int
}

// HeldRun is one request that the sender of Held has on a target.
type HeldRun struct {
	Serial   uint64
	Team     TeamName
	Work     Work
	Deadline time.Time
	// Read says that the first event has come.
	Read bool
}

// Held tells a new owner which requests the sender has on a target.
type Held struct {
	Target TargetName
	Runs   []HeldRun
}

// News hands on records that the sender has read from the platform.
type News struct {
	Records []CatalogRecord
	// ReadAt is when the sender knew that it had the newest records.
	ReadAt time.Time
	// Signature is that of the sender's catalog.
	Signature uint64
}

// NewsRequest asks a peer for all records that it knows.
type NewsRequest struct{}

func (Ask) isMessage()         {}
func (MoveUsages) isMessage()  {}
func (MoveWord) isMessage()    {}
func (Offered) isMessage()     {}
func (Shares) isMessage()      {}
func (Verdict) isMessage()     {}
func (Progress) isMessage()    {}
func (Held) isMessage()        {}
func (News) isMessage()        {}
func (NewsRequest) isMessage() {}
