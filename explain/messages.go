package explain

import (
	"time"

	"coltsfootlink"
)

// Request is a request that is not sent.
type Request struct {
	Host, Path string
	Team       coltsfootlink.TeamName
	// Pool is one of the pools that share the requests of the route; empty for the one that gets most of them.
	Pool coltsfootlink.PoolName
	// ID is the request's ID, by which pools and versions are drawn; empty if it is not known.
	ID   coltsfootlink.RequestID
	Work coltsfootlink.Work
	// Fingerprint is that of requests which crashed targets; zero if it is not known.
	Fingerprint uint64
	// Zone is the zone in which the request arrives; empty for that of the asked instance.
	Zone coltsfootlink.ZoneName
}

// Refusal is why a request would be refused.
type Refusal struct {
	Reason coltsfootlink.Reason
	Detail string
	// RetryAt is when the caller may retry; zero if a retry would not help.
	RetryAt time.Time
}

// RefusalOf returns what is explained of a refusal.
func RefusalOf(refusal *coltsfootlink.Refusal) *Refusal {
	return &Refusal{Reason: refusal.Reason, Detail: refusal.Detail, RetryAt: refusal.RetryAt}
}

// Candidate is what an instance knows of a target for a request.
type Candidate struct {
	Target coltsfootlink.TargetName
	Zone   coltsfootlink.ZoneName
	Weight float64
	// Owner is the target's owner and OwnerAddress its address for other instances; empty if there is none.
	Owner        coltsfootlink.InstanceName
	OwnerAddress string
	// Withheld is why the target would not be offered the request; empty if it would. RetryAt is when it may be again; zero
	// if that is not known.
	Withheld string
	RetryAt  time.Time
	// OwnerBackoff indicates that the owner did not reply lately, so that its targets are passed over.
	OwnerBackoff bool
	// Wait is the wait on the target as last heard of its owner; negative if it is not known.
	Wait time.Duration
}

// Plan is what an instance would do with a request.
type Plan struct {
	Instance coltsfootlink.InstanceName
	Zone     coltsfootlink.ZoneName
	// At is the time on the instance, to which other times compare.
	At time.Time
	// Elsewhere are the addresses of live instances of the zone that was asked about, if that is not the instance's own.
	Elsewhere []string
	Rule      string
	Pool      coltsfootlink.PoolName
	// Notes say what the plan depends on besides the targets.
	Notes []string
	// Refusal is why the instance refuses the request before it asks for any target; nil if it does not.
	Refusal *Refusal
	Inquiry TargetInquiry
	// Candidates are the targets that are offered the request in this order, and Skipped those that would be among them but
	// for what Withheld says.
	Candidates, Skipped []Candidate
	// Spillover are the targets by their wait. The first ones that were not offered the request are offered it when no
	// candidate is left, Spills at most.
	Spillover []Candidate
	Spills    int
	// Entitled indicates that the request is within its team's share. Otherwise the first full target ends the attempts.
	Entitled bool
	// ByWait indicates that after a full target the ones by wait take the place of the other candidates.
	ByWait bool
	// Fallback is why the request is refused if there is no candidate, and DefaultRetryAt when to retry if an owner does not
	// say.
	Fallback       Refusal
	DefaultRetryAt time.Time
}

// TargetInquiry asks the owner of targets what it would answer to a request. The owner adds the time that it is asked to the
// times left.
type TargetInquiry struct {
	Targets  []coltsfootlink.TargetName
	Team     coltsfootlink.TeamName
	Work     coltsfootlink.Work
	Rank     int
	Standing coltsfootlink.Standing
	// MaxWaitFraction and Trial are those of coltsfootlink.Ask.
	MaxWaitFraction float64
	Trial           uint64
	// ObjectiveLeft and TimeoutLeft are the times to the objective and the deadline of the request. They are durations,
	// because the request exists only when it is explained.
	ObjectiveLeft, TimeoutLeft time.Duration
}

// Ask returns the ask for a target that the inquiry stands for.
func (inquiry TargetInquiry) Ask(now time.Time, target coltsfootlink.TargetName) coltsfootlink.Ask {
	return coltsfootlink.Ask{
		Target:          target,
		Team:            inquiry.Team,
		Work:            inquiry.Work,
		Objective:       now.Add(inquiry.ObjectiveLeft),
		Deadline:        now.Add(inquiry.TimeoutLeft),
		Rank:            inquiry.Rank,
		Standing:        inquiry.Standing,
		MaxWaitFraction: inquiry.MaxWaitFraction,
		Trial:           inquiry.Trial,
	}
}

// WithTargets returns the inquiry about other targets.
func (inquiry TargetInquiry) WithTargets(targets []coltsfootlink.TargetName) TargetInquiry {
	inquiry.Targets = targets
	return inquiry
}

// Answer is what the owner of a target would answer to a request, with the figures behind it.
type Answer struct {
	Target coltsfootlink.TargetName
	// At is the time on the owner, to which RetryAt compares.
	At time.Time
	// Reason is why the request would be refused; empty if it would not.
	Reason  coltsfootlink.Reason
	RetryAt time.Time
	// State is what the target does, whatever the request: a Reason if it takes none, or one of the states below.
	State string
	// The figures are those of admission.Explanation; there are none if Known is not set.
	Known                                    bool
	Requests, MaxRequests, Slots             int
	UsedTokens, MaxTokens, CachedTokens      int
	Wait, MaxWait, ExpectedAnswer, Objective time.Duration
	Slowdown                                 float64
	Unanswered, Window                       int
	Granted, MaxGranted                      int
	Engine                                   bool
}

// The states of targets that take requests.
const (
	AtWork       = "at-work"
	Cold         = "cold"
	Unresponsive = "unresponsive"
	BreakerOpen  = "breaker-open"
)

// Answers are what one owner would answer for its targets.
type Answers struct {
	Answers []Answer
}

// Reasons to withhold a target that are no reasons of refusals.
const (
	// ZoneOut means that operators have taken the target's zone out of service.
	ZoneOut = "zone-out-of-service"
	// ZoneUnreachable means that the target's zone has no live instance and may be cut off.
	ZoneUnreachable = "zone-unreachable"
)
