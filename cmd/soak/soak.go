package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/rig"
	"coltsfootlink/supervisor"
)

const (
	// readyLimit is how long a site may take to be ready.
	readyLimit = 30 * time.Second
	// warmSpan is how long callers call before the first fault, and provenSpan how long after recovery.
	warmSpan   = 2 * time.Second
	provenSpan = 5 * time.Second
	// lateFlood and lateFloodSpan are when a flood begins after the last fault, and how long it lasts.
	lateFlood     = 5 * time.Second
	lateFloodSpan = 8 * time.Second
	// readyPause is the time between two looks whether instances are ready.
	readyPause = 50 * time.Millisecond
)

// soak plays one seed.
type soak struct {
	seed     uint64
	size     size
	span     time.Duration
	daemon   string
	folder   string
	progress func(string)
}

// outcome is how a seed went.
type outcome struct {
	Seed     uint64            `json:"seed"`
	Steps    int               `json:"faults"`
	Attempts int               `json:"attempts"`
	Served   int               `json:"served"`
	Runs     int               `json:"runs"`
	Stalls   int               `json:"stalls"`
	Statuses map[int]int       `json:"statuses"`
	Breaches []breach          `json:"breaches"`
	Folder   string            `json:"folder"`
	Faults   map[faultKind]int `json:"faults-by-kind"`
}

// play runs the seed's plan; logs, the plan and a report are in the folder.
func (soak soak) play(parent context.Context) (outcome, error) {
	if err := os.MkdirAll(soak.folder, 0o700); err != nil {
		return outcome{}, err
	}
	plan := newPlan(soak.seed, soak.size, soak.span)
	ctx, cancel := context.WithDeadline(parent, time.Now().Add(readyLimit+warmSpan+soak.span+2*recoveryLimit+provenSpan+patience))
	defer cancel()
	inbox := mailbox.New[any]()
	judge := &judge{inbox: inbox, broken: func(found []breach) {
		if len(found) > 0 {
			soak.progress(fmt.Sprintf("seed %d: %s: %s", soak.seed, found[0].Rule, found[0].Text))
		}
	}}
	branch := supervisor.New("soak", zerolog.Nop())
	branch.Add("judge", judge)
	branch.Add("stalls", stalls{note: inbox.Put})
	played := &site{size: soak.size, folder: soak.folder, daemon: soak.daemon, note: inbox.Put, branch: branch}
	defer func() {
		cancel()
		played.end()
	}()
	if err := played.start(ctx); err != nil {
		return outcome{}, err
	}
	played.run()
	soak.conduct(ctx, played, plan, inbox.Put)
	inquired := inquiry{reply: make(chan history, 1)}
	inbox.Put(inquired)
	select {
	case seen := <-inquired.reply:
		return soak.report(plan, seen)
	case <-ctx.Done():
		return outcome{}, ctx.Err()
	}
}

// conduct begins and ends the faults of a plan, lets the site recover, and sees whether it has.
func (soak soak) conduct(ctx context.Context, played *site, plan []step, note func(any)) {
	coltsfootlink.Sleep(ctx, warmSpan)
	soak.steps(ctx, played, plan)
	for !played.settled() && coltsfootlink.Sleep(ctx, readyPause) {
	}
	note(calm{from: time.Now()})
	recovered := time.Now().Add(recoveryLimit + provenSpan)
	soak.steps(ctx, played, soak.planned())
	coltsfootlink.Sleep(ctx, time.Until(recovered))
	note(closed{at: time.Now()})
	// What is under way ends before the last look.
	coltsfootlink.Sleep(ctx, time.Second)
}

// planned returns what operators do while the site recovers, when all instances are in touch: a flood that has to be
// shared, stops in which nothing may be lost, or orders that have to be in force in time.
func (soak soak) planned() []step {
	switch soak.seed % 3 {
	case 1:
		return []step{
			{Kind: stoppedKind, Subject: onInstance, Starts: 4500, Ends: 10000},
			{Kind: stoppedKind, Subject: onInstance, Index: soak.size.Instances - 1, Starts: 5500, Ends: 11000},
		}
	case 2:
		return []step{{Kind: floodKind, Subject: onTable, Starts: lateFlood.Milliseconds(), Ends: (lateFlood + lateFloodSpan).Milliseconds()}}
	}
	target := int(soak.seed / 3 % uint64(soak.size.Targets))
	// The target that drains is in another zone than the one that gets nothing anyway.
	zone := (zoneOf(target, soak.size) + 1) % soak.size.Zones
	return []step{
		{Kind: revokeKind, Subject: onTable, Starts: 1000, Ends: 6000},
		{Kind: newTableKind, Subject: onTable, Starts: 4000, Ends: 4500},
		{Kind: evacuateKind, Subject: onZone, Index: zone, Starts: 4500, Ends: 11500},
		{Kind: targetDrainKind, Subject: onTarget, Index: target, Starts: 5000, Ends: 11000},
	}
}

// steps begins and ends faults at their times.
func (soak soak) steps(ctx context.Context, played *site, plan []step) {
	var phases []phase
	for _, planned := range plan {
		phases = append(phases, phase{step: planned, begin: true}, phase{step: planned})
	}
	slices.SortStableFunc(phases, func(one, other phase) int { return int(one.at() - other.at()) })
	start := time.Now()
	for _, next := range phases {
		if !coltsfootlink.Sleep(ctx, time.Until(start.Add(time.Duration(next.at())*time.Millisecond))) {
			return
		}
		soak.progress(fmt.Sprintf("seed %d: %v, begins: %t", soak.seed, next.step, next.begin))
		played.apply(next)
	}
}

// at returns when a fault begins or ends, in milliseconds after the start of the plan.
func (message phase) at() int64 {
	if message.begin {
		return message.step.Starts
	}
	return message.step.Ends
}

// report judges a run and writes the report and the plan beside the logs.
func (soak soak) report(plan []step, seen history) (outcome, error) {
	reported := outcome{
		Seed: soak.seed, Steps: len(plan), Attempts: len(seen.attempts), Folder: soak.folder,
		Statuses: make(map[int]int), Faults: make(map[faultKind]int), Breaches: breaches(seen),
	}
	for _, tried := range seen.attempts {
		reported.Statuses[tried.status]++
		if tried.served() {
			reported.Served++
		}
	}
	for _, arrived := range seen.arrivals {
		if arrived.ran {
			reported.Runs++
		}
	}
	for _, held := range seen.disruptions {
		if held.step.Kind == stallKind {
			reported.Stalls++
		}
	}
	for _, planned := range plan {
		reported.Faults[planned.Kind]++
	}
	return reported, reported.write(plan, seen)
}

// write puts the plan with its times, and the report, into the folder.
func (reported outcome) write(plan []step, seen history) error {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "seed %d: %d breaches\n", reported.Seed, len(reported.Breaches))
	for _, found := range reported.Breaches {
		_, _ = fmt.Fprintf(&text, "%s: %s\n", found.Rule, found.Text)
	}
	text.WriteString("\nThe plan, in milliseconds after the start of the faults:\n")
	for _, planned := range plan {
		_, _ = fmt.Fprintln(&text, planned)
	}
	text.WriteString("\nWhat happened:\n")
	for _, held := range seen.disruptions {
		_, _ = fmt.Fprintf(&text, "%s..%s  %s %s-%d\n", held.from.UTC().Format(time.RFC3339Nano), held.to.UTC().Format(time.RFC3339Nano), held.step.Kind, held.step.Subject, held.step.Index)
	}
	for _, given := range seen.orders {
		_, _ = fmt.Fprintf(&text, "%s  %s %s\n", given.acked.UTC().Format(time.RFC3339Nano), given.kind, given.name)
	}
	encoded, err := json.MarshalIndent(reported, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(reported.Folder, "outcome.json"), encoded, 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(reported.Folder, "report.txt"), []byte(text.String()), 0o600)
}

// build builds the daemon into a folder.
func build(ctx context.Context, folder string) (string, error) {
	programs, err := rig.Build(ctx, folder)
	return programs.Daemon, err
}
