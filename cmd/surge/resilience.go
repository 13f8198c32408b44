package main

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

const (
	// phaseDuration is how long each phase is measured.
	phaseDuration = 6 * time.Second
	// starvationTimeout is how long a team may get no service at all before it counts as starved.
	starvationTimeout = 3 * time.Second
	// floodWorkers is the number of concurrent callers that the flooding team adds.
	floodWorkers = 300
)

// resilience measures the service of each team without faults, while one team floods, while a zone is partitioned from
// the others and after it is reachable again, and after an instance was killed.
func (bench *benchmark) resilience(ctx context.Context) ([]measure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := bench.fleetPlan(settings.Policy{}, fleetInstances)
	if err != nil {
		return nil, err
	}
	plan.Proxied = true
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return nil, err
	}
	coltsfootlink.Sleep(ctx, settleDuration)
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	load := startLoad(loadContext, fleet, bench.seed)
	coltsfootlink.Sleep(ctx, warmUpDuration)
	phases := []struct {
		name    string
		disturb func()
	}{
		{"undisturbed", func() {}},
		{"flood", func() { flood(ctx, fleet) }},
		{"zone-cut", func() { fleet.SetZone(zones[0], rig.Hold) }},
		{"zone-back", func() { fleet.SetZone(zones[0], rig.Pass) }},
		{"instance-dies", func() { _ = fleet.Instances[killedInstance].Kill() }},
	}
	var measures []measure
	for _, phase := range phases {
		phase.disturb()
		observed := &observation{}
		observed.sampleUntil(ctx, fleet, time.Now().Add(phaseDuration))
		lowest, starved := observed.shares()
		fmt.Fprintf(diagnostics, "surge: phase %s: the worst-served team got %.2f of its fair share\n", phase.name, lowest)
		measures = append(measures, atMost("starved-"+phase.name, float64(starved), 0))
	}
	stopLoad()
	records := load.wait()
	counts := countOutcomes(records, fleet.Stats(ctx), fleet.Instances[killedInstance].Name)
	return append(measures,
		atMost("over-admission", overAdmission(fleet.Stats(ctx)), 1),
		atMost("doubled", float64(counts.duplicated), 0),
		atMost("crossed", float64(counts.crossed), 0),
		atMost("truncated", float64(counts.truncated), 0),
		atMost("wrong-not-run", float64(counts.wrongNotRun), 0),
	), nil
}

// flood starts callers that send requests of one team to one instance for the duration of a phase, and returns at once.
func flood(ctx context.Context, fleet *rig.Fleet) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(phaseDuration))
	var callers sync.WaitGroup
	for worker := range floodWorkers {
		callers.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				fleet.Do(ctx, rig.Call{
					Instance: fleet.Instances[0],
					Token:    teamName(0),
					Pool:     enginePool,
					Route:    interactiveRoute,
					Deadline: time.Now().Add(callTimeout),
					Work:     standin.Work{Serial: fmt.Sprintf("f-%d-%d", worker, count), Team: teamName(0), Cost: maxCostTokens},
				})
			}
		})
	}
	go func() {
		callers.Wait()
		cancel()
	}()
}

// shares returns the lowest ratio of a team's service to its fair share, and the number of teams that were starved.
func (observed *observation) shares() (lowest float64, starved int) {
	first, last := observed.samples[0], observed.samples[len(observed.samples)-1]
	total := 0.0
	for team := range teams {
		total += last.service(team) - first.service(team)
	}
	lowest = math.Inf(1)
	for team := range teams {
		served := last.service(team) - first.service(team)
		lowest = min(lowest, served/(total*teamWeight(team)/totalWeight()))
		if observed.isStarved(team) {
			fmt.Fprintf(diagnostics, "surge: %s got no service for more than %s, counted as starved\n", teamName(team), starvationTimeout)
			starved++
		}
	}
	return lowest, starved
}

// isStarved reports whether a team got no service for longer than starvationTimeout.
func (observed *observation) isStarved(team int) bool {
	lastServed := observed.samples[0]
	for _, sample := range observed.samples {
		if sample.service(team) > lastServed.service(team) {
			lastServed = sample
		}
		if sample.at.Sub(lastServed.at) > starvationTimeout {
			return true
		}
	}
	return false
}
