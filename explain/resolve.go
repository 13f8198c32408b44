package explain

import (
	"slices"
	"time"

	"coltsfootlink"
)

// Verdict is what would come of one candidate.
type Verdict string

// The verdicts on candidates.
const (
	Takes      Verdict = "takes"
	Refuses    Verdict = "refuses"
	NoAnswer   Verdict = "no-answer"
	Skipped    Verdict = "skipped"
	NotOffered Verdict = "not-offered"
)

// Row is one candidate with what would come of it.
type Row struct {
	Candidate Candidate
	// Answer is what the owner would answer; nil if it was not asked or did not reply.
	Answer  *Answer
	Verdict Verdict
	// Reason is why the candidate does not take the request, RetryIn when it may.
	Reason  string
	RetryIn time.Duration
}

// Result is where a request would go, and why.
type Result struct {
	Plan Plan
	Rows []Row
	// Target takes the request; empty if it would be refused.
	Target coltsfootlink.TargetName
	// Reason, Detail and RetryIn are those of the refusal; RetryIn is zero if a retry would not help.
	Reason  coltsfootlink.Reason
	Detail  string
	RetryIn time.Duration
	// Missing are the owners that did not reply.
	Missing []coltsfootlink.InstanceName
}

// Asked returns the candidates whose owners are to be asked, each target once.
func (plan Plan) Asked() []Candidate {
	var asked []Candidate
	seen := make(map[coltsfootlink.TargetName]bool)
	for _, candidate := range slices.Concat(plan.Skipped, plan.Candidates, plan.Spillover) {
		if candidate.Owner != "" && !seen[candidate.Target] {
			asked = append(asked, candidate)
		}
		seen[candidate.Target] = true
	}
	return asked
}

// walk is the state of the attempts to find a target.
type walk struct {
	plan    Plan
	answers map[coltsfootlink.TargetName]Answer
	// left are the candidates that were not offered the request yet, and spills how many targets by wait may follow them.
	left   []Candidate
	spills int
	tried  map[coltsfootlink.TargetName]bool
	result Result
}

// Resolve returns what comes of the plan if the owners answer like this; those of other targets do not answer. It goes through
// the candidates as dispatch does.
func (plan Plan) Resolve(answers map[coltsfootlink.TargetName]Answer) Result {
	walk := &walk{plan: plan, answers: answers, left: plan.Candidates, spills: plan.Spills, tried: make(map[coltsfootlink.TargetName]bool)}
	walk.result = Result{Plan: plan}
	for _, candidate := range plan.Skipped {
		walk.tried[candidate.Target] = true
		walk.addRow(candidate, Skipped, candidate.Withheld, untilRetry(candidate.RetryAt, plan.At))
	}
	walk.refuse(plan.Fallback)
	if plan.Refusal != nil {
		walk.refuse(*plan.Refusal)
	} else {
		walk.offer()
	}
	for _, candidate := range plan.Candidates {
		if !walk.tried[candidate.Target] {
			walk.addRow(candidate, NotOffered, "", 0)
		}
	}
	for _, candidate := range plan.Asked() {
		_, answered := answers[candidate.Target]
		if !answered && !slices.Contains(walk.result.Missing, candidate.Owner) {
			walk.result.Missing = append(walk.result.Missing, candidate.Owner)
		}
	}
	slices.Sort(walk.result.Missing)
	return walk.result
}

// offer offers the request to one candidate after the other until one takes it.
func (walk *walk) offer() {
	for {
		candidate, found := walk.next()
		if !found {
			return
		}
		walk.tried[candidate.Target] = true
		answer, answered := walk.answers[candidate.Target]
		switch {
		case candidate.Owner == "" || candidate.OwnerBackoff || !answered:
			retryAt := walk.plan.DefaultRetryAt
			walk.refuse(Refusal{Reason: coltsfootlink.OwnerSilent, Detail: "the owner of the target does not answer", RetryAt: retryAt})
			walk.addRow(candidate, NoAnswer, string(coltsfootlink.OwnerSilent), untilRetry(retryAt, walk.plan.At))
		case answer.Reason == "":
			walk.result.Target, walk.result.Reason, walk.result.Detail, walk.result.RetryIn = candidate.Target, "", "", 0
			walk.addRow(candidate, Takes, "", 0)
			return
		default:
			retryIn := untilRetry(answer.RetryAt, answer.At)
			if answer.RetryAt.IsZero() {
				retryIn = untilRetry(walk.plan.DefaultRetryAt, walk.plan.At)
			}
			walk.result.Reason, walk.result.Detail, walk.result.RetryIn = answer.Reason, "target "+string(candidate.Target)+" takes no more", retryIn
			walk.addRow(candidate, Refuses, string(answer.Reason), retryIn)
			if answer.Reason == coltsfootlink.TargetFull {
				walk.full()
			}
		}
	}
}

// next returns the next target that is offered the request; false if none is left.
func (walk *walk) next() (Candidate, bool) {
	if len(walk.left) > 0 {
		candidate := walk.left[0]
		walk.left = walk.left[1:]
		return candidate, true
	}
	if walk.spills == 0 {
		return Candidate{}, false
	}
	walk.spills--
	for _, candidate := range walk.plan.Spillover {
		if !walk.tried[candidate.Target] {
			return candidate, true
		}
	}
	return Candidate{}, false
}

// full changes the targets that are left after one was full.
func (walk *walk) full() {
	switch {
	case !walk.plan.Entitled:
		walk.left, walk.spills = nil, 0
	case walk.plan.ByWait:
		walk.spills += len(walk.left)
		walk.left = nil
	}
}

func (walk *walk) refuse(refusal Refusal) {
	walk.result.Reason, walk.result.Detail, walk.result.RetryIn = refusal.Reason, refusal.Detail, untilRetry(refusal.RetryAt, walk.plan.At)
}

func (walk *walk) addRow(candidate Candidate, verdict Verdict, reason string, retryIn time.Duration) {
	row := Row{Candidate: candidate, Verdict: verdict, Reason: reason, RetryIn: retryIn}
	if answer, answered := walk.answers[candidate.Target]; answered {
		row.Answer = &answer
	}
	walk.result.Rows = append(walk.result.Rows, row)
}

// untilRetry returns the time until a retry by the clock that gave both times; zero if there is none.
func untilRetry(retryAt, now time.Time) time.Duration {
	if retryAt.IsZero() {
		return 0
	}
	return max(0, retryAt.Sub(now))
}
