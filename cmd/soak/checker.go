package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"coltsfootlink/mailbox"
	"coltsfootlink/standin"
)

const (
	// checkInterval is the time between two evaluations of the rules during a run.
	checkInterval = 5 * time.Second
	// maxReportedBreaches is the maximum number of breaches that are reported for one rule.
	maxReportedBreaches = 5
	// stallInterval is the time between two ticks of the stall detector.
	stallInterval = 20 * time.Millisecond
	// stallThreshold is the time between two ticks above which the soak counts as stalled.
	stallThreshold = 250 * time.Millisecond
	// stallKind is the kind of the disruptions in which the soak process itself was suspended or short of CPU.
	stallKind faultKind = "stall"
)

// checker owns the history of a run and evaluates the rules.
type checker struct {
	inbox *mailbox.Mailbox[any]
	// onBreaches is called with the breaches found, possibly none, after each evaluation.
	onBreaches func([]breach)

	seen history
}

// historyRequest asks for the history; the reply channel must be buffered, so that the checker never blocks on it.
type historyRequest struct{ reply chan history }

// faultsOver reports that the faults of the plan are over, and verificationOver that calls which end later are not
// checked for being served.
type (
	faultsOver       struct{ at time.Time }
	verificationOver struct{ at time.Time }
)

// Run records observations and evaluates the rules until the context ends.
func (checker *checker) Run(ctx context.Context) error {
	ticks := time.NewTicker(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-checker.inbox.Ready():
			for _, message := range checker.inbox.Drain() {
				checker.handle(message)
			}
		case <-ticks.C:
			checker.onBreaches(breaches(checker.seen))
		}
	}
}

func (checker *checker) handle(message any) {
	switch message := message.(type) {
	case attempt:
		checker.seen = checker.seen.WithAttempt(message)
	case call:
		checker.seen = checker.seen.WithCall(message)
	case arrival:
		checker.seen = checker.seen.WithArrival(message)
	case order:
		checker.seen = checker.seen.WithOrder(message)
	case disruption:
		checker.seen = checker.seen.WithDisruption(message)
	case standin.DutyCall:
		checker.seen = checker.seen.WithDutyCall(message)
	case controlRepaired:
		checker.seen = checker.seen.WithControlRepaired(message)
	case unexpectedExit:
		checker.seen = checker.seen.WithExit(message.text)
	case faultsOver:
		checker.seen = checker.seen.WithFaultsOver(message.at)
	case verificationOver:
		checker.seen = checker.seen.WithVerificationOver(message.at)
	case historyRequest:
		message.reply <- checker.seen
	}
}

// breaches evaluates all rules and returns the breaches, ordered by the names of the rules.
func breaches(seen history) []breach {
	checks := rules()
	var found []breach
	for _, name := range slices.Sorted(maps.Keys(checks)) {
		texts := checks[name](seen)
		for _, text := range texts[:min(len(texts), maxReportedBreaches)] {
			found = append(found, breach{Rule: name, Text: text})
		}
	}
	return found
}

// stallDetector records when the soak process itself was suspended or short of CPU: timings measured meanwhile do not
// show whether an instance or the soak was late.
type stallDetector struct{ record func(any) }

// Run measures the time between ticks until the context ends.
func (detector stallDetector) Run(ctx context.Context) error {
	ticks := time.NewTicker(stallInterval)
	defer ticks.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			stall := step{Kind: stallKind, Starts: last.UnixMilli()}
			detector.record(disruption{step: stall, from: last})
			detector.record(disruption{step: stall, from: last, to: now})
		}
		last = now
	}
}
