package coltsfootlink

import "time"

// Ask is sent by a gateway to the owner of a target and requests a permit to send one request to the target.
type Ask struct {
	// Serial identifies the ask among those of the sender.
	Serial uint64
	Target TargetName
	Team   TeamName
	Work   Work
	// Objective is the latency objective as a time: when the answer, or a stream's first event, is due.
	Objective time.Time
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// Rank is the number of priorities in the pool that are served before this request's.
	Rank int
	// Standing is the request's position relative to its team's fair share.
	Standing Standing
	// MaxWaitFraction is the maximum wait of a Bearable request as a fraction of its objective, if that is more than
	// the owner's own setting; the maximum wait of a Surplus request grows by the same factor. Zero for the owner's own
	// setting.
	MaxWaitFraction float64
	// Trial identifies the barred parts of the prompt if the request is a trial of them, of which the target's owner permits
	// one at a time; zero if it is none.
	Trial uint64
}

// Expired reports whether the caller no longer waits for an answer.
func (ask Ask) Expired(now time.Time) bool {
	return !ask.Deadline.IsZero() && !now.Before(ask.Deadline)
}

// Standing classifies a request relative to its team's fair share; higher values are served with lower preference.
type Standing uint32

const (
	// Entitled requests are within the team's share of the rate that the operators guarantee.
	Entitled Standing = iota
	// Bearable requests are beyond that, but within the team's share of the rate that the targets can sustain.
	Bearable
	// Surplus requests are beyond both and are served only with capacity that is otherwise idle.
	Surplus
)

// Offered is sent by every gateway to the share coordinator of a pool, the one instance that computes the team shares.
// It reports the load that callers have offered since the previous report.
type Offered struct {
	Pool  PoolName
	Teams []TeamLoad
	// Attempted is the work within teams' shares for which permits were requested from targets' owners, and RefusedFull
	// the part of it that was refused because the targets were full; in tokens.
	Attempted, RefusedFull float64
}

// TeamLoad is the work that a team has requested and been granted, in tokens.
type TeamLoad struct {
	Team TeamName
	// Tokens is the requested work, and Requests the number of requests.
	Tokens   float64
	Requests int
	// Granted is the part of the work for which permits were granted.
	Granted float64
}

// Shares is sent by the share coordinator of a pool to all gateways. It limits the teams that ask for more than their
// fair share; all requests of teams that are not listed are Entitled.
type Shares struct {
	Pool  PoolName
	Teams []TeamShare
	// MaxWaitFraction is the maximum wait of a Bearable request as a fraction of its objective.
	MaxWaitFraction float64
	// Zones are the parts that the callers of each availability zone have in the work of the pool; empty if there is too
	// little work to tell.
	Zones []ZoneDemand
}

// ZoneDemand is the part that the callers of one availability zone have in the work for which permits were granted.
type ZoneDemand struct {
	Zone ZoneName
	// Fraction is from 0 to 1.
	Fraction float64
}

// TeamShare divides the requests of one team by their standing; all fields are fractions from 0 to 1.
type TeamShare struct {
	Team TeamName
	// Entitled is the fraction within the team's share of the guaranteed rate.
	Entitled float64
	// Bearable is the fraction within the team's share of the sustainable rate; it includes Entitled.
	Bearable float64
	// Surplus is the fraction of the remaining requests that may be offered to targets at all; the others are refused.
	Surplus float64
}

// MoveUsages is sent by every gateway to the coordinator of a move and reports how requests of the pool have ended since
// the previous report.
type MoveUsages struct {
	Pool PoolName
	// Started identifies the move.
	Started Revision
	Usages  []MoveUsage
	// RunningNew and RunningOld are the numbers of the sender's requests in progress on targets of the new version and
	// of other versions.
	RunningNew, RunningOld int
}

// MoveUsage is the result of one request to a pool with a running move.
type MoveUsage struct {
	// OnNewVersion indicates that the request was sent to a target of the new version.
	OnNewVersion bool
	Route        string
	Failed       bool
	// Millis is the time to the first event of a stream, or to the complete answer, in milliseconds.
	Millis float64
	// ExpectedMillis is what the target's owner expected of Millis; zero if it expects nothing, as with plain services.
	ExpectedMillis float64
}

// MoveWord is sent by the coordinator of a move to all gateways and announces the state of the move.
type MoveWord struct {
	Move Move
	// Share is the fraction of the requests that go to the new version, from 0 to 1.
	Share float64
	// Recorded indicates that the move has ended and that its outcome is recorded on the platform.
	Recorded bool
}

// IsQuestion reports whether the sender asks for the outcome of the move: it coordinates the move and has not read its record.
func (word MoveWord) IsQuestion() bool { return word.Move.State == MoveRunning && word.Share == 0 }

// Replaces reports whether the announcement replaces what is known of the pool's move. A recorded outcome is final, and one
// that is not recorded yet is replaced only by a recorded one, so that no late announcement revives a move.
func (word MoveWord) Replaces(known MoveWord) bool {
	switch {
	case !word.Move.SameOrder(known.Move):
		return word.Move.Identity() > known.Move.Identity()
	case known.Recorded && word.Recorded && word.Move.State == known.Move.State:
		// The same outcome, identified by the position of its order in a later era.
		return word.Move.Identity() > known.Move.Identity()
	case known.Recorded:
		return false
	case known.Move.State.Final():
		return word.Recorded
	default:
		return true
	}
}

// PacedPermitTTL is how long a permit for a cold target may be used, counted from when it was requested.
const PacedPermitTTL = 100 * time.Millisecond

// Verdict is the target owner's reply to an Ask.
type Verdict struct {
	Serial uint64
	// Reason is why the request may not be sent; empty if it may.
	Reason Reason
	// RetryAt is when the target may have capacity again; zero if unknown.
	RetryAt time.Time
	// ExpectedMillis is the expected time to a stream's first event.
	ExpectedMillis int
	// WaitMillis is how long a prompt is expected to wait on the target before it is read.
	WaitMillis int
	// Paced indicates that the target may be cold, so that permits for it are paced and this one expires after
	// PacedPermitTTL. Permits used later would reach the target together with those granted after them.
	Paced bool
}

// WithWait returns the verdict with an expected wait of at least a duration.
func (verdict Verdict) WithWait(wait time.Duration) Verdict {
	verdict.WaitMillis = max(verdict.WaitMillis, int(wait.Milliseconds()))
	return verdict
}

// ProgressStage is the stage that a permitted request has reached.
type ProgressStage uint32

const (
	// FirstEvent means that the first byte of the answer was received.
	FirstEvent ProgressStage = iota + 1
	// Ended means that nothing of the request is left on the target.
	Ended
)

// Progress is sent by the holder of a permit to the target's owner when the permitted request reaches a stage.
type Progress struct {
	Serial uint64
	Target TargetName
	Stage  ProgressStage
	// Result is how the request ended; it is set at the stage Ended.
	Result Result
	// Millis is the time since the request was sent.
	Millis int
}

// HeldRequest is one request that the sender of Held has in progress on a target.
type HeldRequest struct {
	Serial   uint64
	Team     TeamName
	Work     Work
	Deadline time.Time
	// FirstEventReceived indicates that the first event was received.
	FirstEventReceived bool
}

// Held is sent to the new owner of a target and lists the requests that the sender has in progress on the target.
type Held struct {
	Target   TargetName
	Requests []HeldRequest
}

// TargetNotice is an announcement that a target makes about itself in its answers. The instance that received it sends it
// to the target's owner.
type TargetNotice struct {
	Target TargetName
	// Incarnation is the target's incarnation according to its record.
	Incarnation uint64
	// Leaving indicates that the target is shutting down and wants no new requests.
	Leaving bool
	// RetryAt is when the target wants requests again; zero if it did not say that it wants none.
	RetryAt time.Time
}

// News is sent between the catalog tasks of instances and forwards records that the sender has read from the platform.
type News struct {
	Records []CatalogRecord
	// ReadAt is when the sender last knew that it had the newest records; zero if it reports none.
	ReadAt time.Time
	// Signature is the signature of the sender's catalog.
	Signature uint64
	// Ends is set if the records are all that the sender has: the positions up to which it has read streams completely.
	Ends map[CatalogStream]Position
	// Era is the latest era of the store that the sender knows; zero if the store reports none.
	Era uint64
	// Eras is what the sender knows of restores of the store; empty if it has seen none.
	Eras map[CatalogStream]StreamEra
}

// NewsRequest asks a peer for all its catalog records; the reply is News.
type NewsRequest struct{}

func (Ask) isMessage()          {}
func (MoveUsages) isMessage()   {}
func (MoveWord) isMessage()     {}
func (Offered) isMessage()      {}
func (Shares) isMessage()       {}
func (Verdict) isMessage()      {}
func (Progress) isMessage()     {}
func (Held) isMessage()         {}
func (TargetNotice) isMessage() {}
func (News) isMessage()         {}
func (NewsRequest) isMessage()  {}
