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
	// readyTimeout is how long a site may take to become ready.
	readyTimeout = 30 * time.Second
	// warmUpDuration is how long callers send requests before the first fault.
	warmUpDuration = 2 * time.Second
	// verifyDuration is how long callers send requests after the recovery timeout, when every call has to be served.
	verifyDuration = 5 * time.Second
	// lateFloodDelay is the time between the end of the faults and the flood during recovery.
	lateFloodDelay = 5 * time.Second
	// lateFloodDuration is how long this flood lasts.
	lateFloodDuration = 8 * time.Second
	// readyPollInterval is the time between two checks whether all instances are ready.
	readyPollInterval = 50 * time.Millisecond
)

// soak is the run of one seed.
type soak struct {
	seed     uint64
	size     size
	duration time.Duration
	daemon   string
	folder   string
	progress func(string)
}

// outcome is the result of one seed.
type outcome struct {
	Seed         uint64            `json:"seed"`
	FaultCount   int               `json:"faults"`
	Attempts     int               `json:"attempts"`
	Served       int               `json:"served"`
	Runs         int               `json:"runs"`
	Stalls       int               `json:"stalls"`
	DutyCalls    int               `json:"duty-calls"`
	Statuses     map[int]int       `json:"statuses"`
	Breaches     []breach          `json:"breaches"`
	Folder       string            `json:"folder"`
	FaultsByKind map[faultKind]int `json:"faults-by-kind"`
}

// run starts a site, runs the seed's plan on it and checks the rules. It leaves logs, plan and report in the folder.
func (soak soak) run(parent context.Context) (outcome, error) {
	if err := os.MkdirAll(soak.folder, 0o700); err != nil {
		return outcome{}, err
	}
	plan := newPlan(soak.seed, soak.size, soak.duration)
	ctx, cancel := context.WithDeadline(parent, time.Now().Add(readyTimeout+warmUpDuration+soak.duration+2*recoveryTimeout+verifyDuration+callTimeout))
	defer cancel()
	inbox := mailbox.New[any]()
	checker := &checker{inbox: inbox, onBreaches: func(found []breach) {
		if len(found) > 0 {
			soak.progress(fmt.Sprintf("seed %d: %s: %s", soak.seed, found[0].Rule, found[0].Text))
		}
	}}
	branch := supervisor.New("soak", zerolog.Nop())
	branch.Add("judge", checker)
	branch.Add("stalls", stallDetector{record: inbox.Put})
	site := &site{seed: soak.seed, size: soak.size, folder: soak.folder, daemon: soak.daemon, record: inbox.Put, branch: branch}
	defer func() {
		cancel()
		site.stop()
	}()
	if err := site.start(ctx); err != nil {
		return outcome{}, err
	}
	site.startTraffic()
	soak.runPlan(ctx, site, plan, inbox.Put)
	request := historyRequest{reply: make(chan history, 1)}
	inbox.Put(request)
	select {
	case seen := <-request.reply:
		return soak.report(plan, seen)
	case <-ctx.Done():
		return outcome{}, ctx.Err()
	}
}

// runPlan injects the faults of a plan, waits until all instances are ready, performs the recovery steps and keeps the
// callers running until recovery has been verified.
func (soak soak) runPlan(ctx context.Context, site *site, plan []step, record func(any)) {
	coltsfootlink.Sleep(ctx, warmUpDuration)
	soak.inject(ctx, site, plan)
	site.faultsOver.Store(true)
	for !site.ready() && coltsfootlink.Sleep(ctx, readyPollInterval) {
	}
	record(faultsOver{at: time.Now()})
	recovered := time.Now().Add(recoveryTimeout + verifyDuration)
	soak.inject(ctx, site, soak.recoverySteps())
	coltsfootlink.Sleep(ctx, time.Until(recovered))
	record(verificationOver{at: time.Now()})
	// Requests in flight finish before the history is evaluated.
	coltsfootlink.Sleep(ctx, time.Second)
}

// recoverySteps returns the operations during recovery, when all instances can reach each other. Depending on the seed
// they are graceful shutdowns that may lose no request, a flood that has to be shared fairly, or operator changes that
// have to take effect in time.
func (soak soak) recoverySteps() []step {
	switch soak.seed % 3 {
	case 1:
		return []step{
			{Kind: stoppedKind, Subject: onInstance, Starts: 4500, Ends: 10000},
			{Kind: stoppedKind, Subject: onInstance, Index: soak.size.Instances - 1, Starts: 5500, Ends: 11000},
		}
	case 2:
		return []step{{Kind: floodKind, Subject: onTable, Starts: lateFloodDelay.Milliseconds(), Ends: (lateFloodDelay + lateFloodDuration).Milliseconds()}}
	}
	target := int(soak.seed / 3 % uint64(soak.size.Targets))
	// The draining target is in another zone than the evacuated one, which gets no requests anyway.
	zone := (zoneOf(target, soak.size) + 1) % soak.size.Zones
	return []step{
		{Kind: revokeKind, Subject: onTable, Starts: 1000, Ends: 6000},
		{Kind: newTableKind, Subject: onTable, Starts: 4000, Ends: 4500},
		{Kind: evacuateKind, Subject: onZone, Index: zone, Starts: 4500, Ends: 11500},
		{Kind: targetDrainKind, Subject: onTarget, Index: target, Starts: 5000, Ends: 11000},
	}
}

// inject begins and ends the faults of a plan at their times.
func (soak soak) inject(ctx context.Context, site *site, plan []step) {
	var transitions []transition
	for _, step := range plan {
		transitions = append(transitions, transition{step: step, begin: true}, transition{step: step})
	}
	slices.SortStableFunc(transitions, func(one, other transition) int { return int(one.at() - other.at()) })
	start := time.Now()
	for _, transition := range transitions {
		if !coltsfootlink.Sleep(ctx, time.Until(start.Add(time.Duration(transition.at())*time.Millisecond))) {
			return
		}
		soak.progress(fmt.Sprintf("seed %d: %v, begins: %t", soak.seed, transition.step, transition.begin))
		site.apply(transition)
	}
}

// at returns when a fault begins or ends, in milliseconds after the start of the plan.
func (transition transition) at() int64 {
	if transition.begin {
		return transition.step.Starts
	}
	return transition.step.Ends
}

// report evaluates the history of a run and writes outcome and report next to the logs.
func (soak soak) report(plan []step, seen history) (outcome, error) {
	result := outcome{
		Seed: soak.seed, FaultCount: len(plan), Attempts: len(seen.attempts), DutyCalls: len(seen.dutyCalls), Folder: soak.folder,
		Statuses: make(map[int]int), FaultsByKind: make(map[faultKind]int), Breaches: breaches(seen),
	}
	for _, attempt := range seen.attempts {
		result.Statuses[attempt.status]++
		if attempt.served() {
			result.Served++
		}
	}
	for _, arrival := range seen.arrivals {
		if arrival.ran {
			result.Runs++
		}
	}
	for _, disruption := range seen.disruptions {
		if disruption.step.Kind == stallKind {
			result.Stalls++
		}
	}
	for _, step := range plan {
		result.FaultsByKind[step.Kind]++
	}
	return result, result.write(plan, seen)
}

// write writes outcome.json, and report.txt with breaches, plan, observed faults and acknowledged orders, to the run's
// folder.
func (result outcome) write(plan []step, seen history) error {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "seed %d: %d breaches\n", result.Seed, len(result.Breaches))
	for _, breach := range result.Breaches {
		_, _ = fmt.Fprintf(&text, "%s: %s\n", breach.Rule, breach.Text)
	}
	text.WriteString("\nThe plan, in milliseconds after its start:\n")
	for _, step := range plan {
		_, _ = fmt.Fprintln(&text, step)
	}
	text.WriteString("\nObserved faults and acknowledged orders:\n")
	for _, disruption := range seen.disruptions {
		_, _ = fmt.Fprintf(&text, "%s..%s  %s %s-%d\n", disruption.from.UTC().Format(time.RFC3339Nano), disruption.to.UTC().Format(time.RFC3339Nano), disruption.step.Kind, disruption.step.Subject, disruption.step.Index)
	}
	for _, order := range seen.orders {
		_, _ = fmt.Fprintf(&text, "%s  %s %s\n", order.acked.UTC().Format(time.RFC3339Nano), order.kind, order.name)
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(result.Folder, "outcome.json"), encoded, 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(result.Folder, "report.txt"), []byte(text.String()), 0o600)
}

// build compiles the daemon into a folder and returns its path.
func build(ctx context.Context, folder string) (string, error) {
	programs, err := rig.Build(ctx, folder)
	return programs.Daemon, err
}
