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
	// phaseSpan is how long each phase is watched.
	phaseSpan = 6 * time.Second
	// starveSpan is how long a team may go without any service before it counts as starved.
	starveSpan = 3 * time.Second
	// floodWorkers is the calls that the flooding team adds.
	floodWorkers = 300
)

// resilience measures the service of each team while an instance dies, while a zone is cut off and comes
// back, and while one team floods.
func (measuring *bench) resilience(ctx context.Context) ([]measure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := measuring.plan(settings.Policy{}, fleetInstances)
	if err != nil {
		return nil, err
	}
	plan.Proxied = true
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return nil, err
	}
	coltsfootlink.Sleep(ctx, settleSpan)
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	running := startLoad(loadContext, fleet, measuring.seed)
	coltsfootlink.Sleep(ctx, warmSpan)
	phases := []struct {
		name   string
		change func()
	}{
		{"undisturbed", func() {}},
		{"flood", func() { flood(ctx, fleet) }},
		{"zone-cut", func() { fleet.SetZone(zones[0], rig.Hold) }},
		{"zone-back", func() { fleet.SetZone(zones[0], rig.Pass) }},
		{"instance-dies", func() { _ = fleet.Instances[killedInstance].Kill() }},
	}
	var measures []measure
	for _, phase := range phases {
		phase.change()
		seen := &outcome{}
		seen.watch(ctx, fleet, time.Now().Add(phaseSpan))
		least, starved := seen.service()
		fmt.Fprintf(messages, "surge: %s: least share of a team %.2f\n", phase.name, least)
		measures = append(measures, atMost("starved-"+phase.name, float64(starved), 0))
	}
	stopLoad()
	records := running.wait()
	found := countFaults(records, fleet.Stats(ctx), fleet.Instances[killedInstance].Name)
	return append(measures,
		atMost("over-admission", overAdmission(fleet.Stats(ctx)), 1),
		atMost("doubled", float64(found.doubled), 0),
		atMost("crossed", float64(found.crossed), 0),
		atMost("truncated", float64(found.truncated), 0),
		atMost("wrong-not-run", float64(found.wrongNotRun), 0),
	), nil
}

// flood adds calls of one team on one instance for the length of a phase.
func flood(ctx context.Context, fleet *rig.Fleet) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(phaseSpan))
	var callers sync.WaitGroup
	for worker := range floodWorkers {
		callers.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				fleet.Do(ctx, rig.Call{
					Instance: fleet.Instances[0],
					Token:    teamName(0),
					Pool:     enginePool,
					Route:    interactiveRoute,
					Deadline: time.Now().Add(callLimit),
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

// service returns the smallest share of a team, over its fair share, and the number of teams that got
// nothing for as long as a team may go without service.
func (seen *outcome) service() (least float64, starved int) {
	first, last := seen.samples[0], seen.samples[len(seen.samples)-1]
	total := 0.0
	for team := range teams {
		total += last.service(team) - first.service(team)
	}
	least = math.Inf(1)
	for team := range teams {
		served := last.service(team) - first.service(team)
		least = min(least, served/(total*teamWeight(team)/totalWeight()))
		if seen.starves(team) {
			fmt.Fprintf(messages, "surge: %s got nothing for %s\n", teamName(team), starveSpan)
			starved++
		}
	}
	return least, starved
}

// starves says whether a team got nothing for too long.
func (seen *outcome) starves(team int) bool {
	since := seen.samples[0]
	for _, taken := range seen.samples {
		if taken.service(team) > since.service(team) {
			since = taken
		}
		if taken.at.Sub(since.at) > starveSpan {
			return true
		}
	}
	return false
}
