package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

const (
	// largeWorkers and smallWorkers are the requests that a team keeps outstanding.
	largeWorkers = 48
	smallWorkers = 16
	// plainWorkers is the requests of a team to the plain pool that are outstanding.
	plainWorkers = 1
	// callLimit is how long a caller waits.
	callLimit = 30 * time.Second
	// failurePause is how long a caller waits after a refusal.
	failurePause = 50 * time.Millisecond
)

// record is what a caller notes of one request.
type record struct {
	serial   string
	key      string
	team     int
	instance string
	result   rig.Result
}

// load is the callers of a fleet.
type load struct {
	fleet   *rig.Fleet
	seed    uint64
	records chan record
	workers sync.WaitGroup
	// all holds the records once the load has stopped.
	all []record
	// gone receives the instances that callers are to avoid.
	done chan struct{}
}

// startLoad starts the callers; they make calls until the context ends.
func startLoad(ctx context.Context, fleet *rig.Fleet, seed uint64) *load {
	running := &load{fleet: fleet, seed: seed, records: make(chan record, 1024), done: make(chan struct{})}
	for team := range teams {
		for worker := range teamWorkers(team) {
			running.workers.Go(func() { running.engineCalls(ctx, team, worker) })
		}
		for worker := range plainWorkers {
			running.workers.Go(func() { running.plainCalls(ctx, team, worker) })
		}
	}
	go running.collect()
	return running
}

func teamWorkers(team int) int {
	if team < largeTeams {
		return largeWorkers
	}
	return smallWorkers
}

// wait waits until the callers have stopped and returns what they noted.
func (running *load) wait() []record {
	running.workers.Wait()
	close(running.records)
	<-running.done
	return running.all
}

func (running *load) collect() {
	for noted := range running.records {
		running.all = append(running.all, noted)
	}
	close(running.done)
}

func (running *load) engineCalls(ctx context.Context, team, worker int) {
	random := rand.New(rand.NewPCG(running.seed, uint64(team)<<16|uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		tokens := cost(random, team)
		route := bulkRoute
		if random.IntN(3) == 0 {
			route = interactiveRoute
		}
		running.call(ctx, team, worker, rig.Call{
			Pool:  enginePool,
			Route: route,
			Work:  standin.Work{Serial: fmt.Sprintf("e-%d-%d-%d", team, worker, count), Team: teamName(team), Cost: tokens},
			Hint:  hint(random, tokens),
		})
	}
}

func (running *load) plainCalls(ctx context.Context, team, worker int) {
	random := rand.New(rand.NewPCG(running.seed+1, uint64(team)<<16|uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		call := rig.Call{
			Pool:  plainPool,
			Route: repeatableRoute,
			Work:  standin.Work{Serial: fmt.Sprintf("p-%d-%d-%d", team, worker, count), Team: teamName(team), Cost: 20 + 60*random.Float64()},
		}
		if count%2 == 0 {
			call.Route = onceRoute
			call.Key = uuid.Must(uuid.NewV7()).String()
		}
		running.call(ctx, team, worker, call)
	}
}

// call makes one call on the team's next instance and notes its result.
func (running *load) call(ctx context.Context, team, worker int, call rig.Call) {
	call.Instance = running.instance(team, worker)
	call.Token = teamName(team)
	// A call that was begun is finished, so that its fate is known.
	callContext, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(callLimit))
	defer cancel()
	result := running.fleet.Do(callContext, call)
	running.records <- record{serial: call.Work.Serial, key: call.Key, team: team, instance: call.Instance.Name, result: result}
	if result.Status != 200 {
		coltsfootlink.Sleep(ctx, failurePause)
	}
}

// instance spreads the teams unevenly: small teams call one instance, large teams three.
func (running *load) instance(team, worker int) *rig.Instance {
	instances := running.fleet.Running()
	if team < largeTeams {
		return instances[(team*2+worker%3)%len(instances)]
	}
	return instances[homeInstance(team)%len(instances)]
}

// homeInstance is the place of the only instance that a small team calls.
func homeInstance(team int) int { return team * team % fleetInstances }

// onKilled says whether a team calls only the instance that dies.
func onKilled(team int) bool { return team >= largeTeams && homeInstance(team) == killedInstance }

// faults counts what went wrong in the callers' record and at the targets.
type faults struct {
	lost, cut, crossed, truncated, doubled, wrongNotRun int
	answers, refusals                                   int
}

// countFaults compares the callers' records with the runs that the targets have seen; the callers of a
// killed instance know that their requests may have run.
func countFaults(records []record, stats []standin.Stats, killed string) faults {
	runs := make(map[string]int)
	for _, target := range stats {
		for key, count := range target.Runs {
			runs[key] += count
		}
	}
	var found faults
	for _, noted := range records {
		result := noted.result
		switch {
		case result.Status == 200 && result.Complete:
			found.answers++
		case result.Status != 200 && result.Outcome != "":
			found.refusals++
		case result.Ended:
			found.truncated++
		case result.Status == 200:
			// The connection was aborted after the first byte, so the caller knows that the answer is not whole.
			found.cut++
		case noted.instance != killed:
			found.lost++
		}
		if result.Crossed {
			found.crossed++
		}
		id := noted.serial
		if noted.key != "" {
			id = noted.key
			if runs[id] > 1 {
				found.doubled++
			}
		}
		if result.Outcome == coltsfootlink.NotRun && runs[id] > 0 {
			found.wrongNotRun++
		}
	}
	return found
}
