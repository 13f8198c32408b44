package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"coltsfootlink/mailbox"
)

const (
	// judgeInterval is the time between two looks at the promises.
	judgeInterval = 5 * time.Second
	// mostBreaches is the number of breaches of one rule that are told.
	mostBreaches = 5
	// stallInterval is the time between two ticks by which the soak sees whether it stands still itself.
	stallInterval = 20 * time.Millisecond
	// stallLimit is how late a tick may be.
	stallLimit = 250 * time.Millisecond
	// stallKind is the kind of the disruptions in which the soak itself stood still.
	stallKind faultKind = "stall"
)

// judge owns the history of a run and looks whether promises were kept.
type judge struct {
	inbox *mailbox.Mailbox[any]
	// broken is told of the breaches whenever it looks.
	broken func([]breach)

	seen history
}

// inquiry asks for the history.
type inquiry struct{ reply chan history }

// calm says that all faults are over, and closed that callers stop.
type (
	calm   struct{ from time.Time }
	closed struct{ at time.Time }
)

// Run notes what happens until the context ends.
func (judge *judge) Run(ctx context.Context) error {
	looks := time.NewTicker(judgeInterval)
	defer looks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-judge.inbox.Ready():
			for _, message := range judge.inbox.Drain() {
				judge.handle(message)
			}
		case <-looks.C:
			judge.broken(breaches(judge.seen))
		}
	}
}

func (judge *judge) handle(message any) {
	switch message := message.(type) {
	case attempt:
		judge.seen = judge.seen.WithAttempt(message)
	case call:
		judge.seen = judge.seen.WithCall(message)
	case arrival:
		judge.seen = judge.seen.WithArrival(message)
	case order:
		judge.seen = judge.seen.WithOrder(message)
	case disruption:
		judge.seen = judge.seen.WithDisruption(message)
	case ownEnding:
		judge.seen = judge.seen.WithEnding(message.text)
	case calm:
		judge.seen = judge.seen.WithCalm(message.from)
	case closed:
		judge.seen = judge.seen.WithClosed(message.at)
	case inquiry:
		message.reply <- judge.seen
	}
}

// breaches returns what has broken the promises, in the order of the rules' names.
func breaches(seen history) []breach {
	promised := rules()
	var found []breach
	for _, name := range slices.Sorted(maps.Keys(promised)) {
		texts := promised[name](seen)
		for _, text := range texts[:min(len(texts), mostBreaches)] {
			found = append(found, breach{Rule: name, Text: text})
		}
	}
	return found
}

// stalls notes when the soak itself stands still, for then it cannot tell who was late.
type stalls struct{ note func(any) }

// Run looks until the context ends.
func (stalls stalls) Run(ctx context.Context) error {
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
		if now.Sub(last) > stallLimit {
			stalled := step{Kind: stallKind, Starts: last.UnixMilli()}
			stalls.note(disruption{step: stalled, from: last})
			stalls.note(disruption{step: stalled, from: last, to: now})
		}
		last = now
	}
}
