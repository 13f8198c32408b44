package coltsfootlink

import "time"

// Outcome tells a caller whether its request was run by a target.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that a target ran the request and the answer is complete.
	Ran Outcome = "ran"
	// NotRun means that no target has run or will run the request.
	NotRun Outcome = "not-run"
	// MayHaveRun means that the request was sent to a target and its result is unknown.
	MayHaveRun Outcome = "may-have-run"
)

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	UnknownTeam      Reason = "unknown-team"
	UnknownPool      Reason = "unknown-pool"
	UnknownRoute     Reason = "unknown-route"
	BodyTooLarge     Reason = "body-too-large"
	BodyIncomplete   Reason = "body-incomplete"
	BadDeadline      Reason = "bad-deadline"
	PastDeadline     Reason = "past-deadline"
	BadHint          Reason = "bad-cost-hint"
	MissingKey       Reason = "missing-idempotency-key"
	MalformedKey     Reason = "malformed-idempotency-key"
	ExpiredKey       Reason = "expired-idempotency-key"
	RepeatedKey      Reason = "repeated-idempotency-key"
	LogUnavailable   Reason = "log-unavailable"
	QueueFull        Reason = "queue-full"
	NotReady         Reason = "not-ready"
	InstanceStopping Reason = "instance-stopping"
	CallerGone       Reason = "caller-gone"
	TargetFailed     Reason = "target-failed"
	AnswerCut        Reason = "answer-cut"
	AnswerCrossed    Reason = "answer-crossed"
	AnswerTooLong    Reason = "answer-too-long"
	CrashingRequest  Reason = "crashing-request"
	NoTarget         Reason = "no-target"
	NotTheOwner      Reason = "not-the-owner"
	OwnerNew         Reason = "owner-new"
	OwnerSilent      Reason = "owner-silent"
	TargetDown       Reason = "target-down"
	TargetSilent     Reason = "target-silent"
	TargetFailing    Reason = "target-failing"
	TargetCold       Reason = "target-cold"
	TargetPaced      Reason = "target-paced"
	TargetFull       Reason = "target-full"
	TargetLeaving    Reason = "target-leaving"
	TargetBackoff    Reason = "target-backoff"
	InstanceBusy     Reason = "instance-busy"
	OverShare        Reason = "over-share"
	RetriesUsedUp    Reason = "retries-used-up"
	PromptBarred     Reason = "prompt-barred"
	TrialRunning     Reason = "trial-running"
)

// Refusal is the error of a request that ends without a complete answer.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAt is when the caller may retry; zero if a retry would not help.
	RetryAt time.Time
}

// Refuse returns a refusal of a request that was not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail}
}

func (refusal *Refusal) Error() string {
	return string(refusal.Outcome) + ": " + string(refusal.Reason) + ": " + refusal.Detail
}

// WithOutcome returns the refusal with another outcome.
func (refusal Refusal) WithOutcome(outcome Outcome) *Refusal {
	refusal.Outcome = outcome
	return &refusal
}

// WithRetryAt returns the refusal with the time when the caller may retry.
func (refusal Refusal) WithRetryAt(at time.Time) *Refusal {
	refusal.RetryAt = at
	return &refusal
}
