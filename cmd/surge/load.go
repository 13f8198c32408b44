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
	// largeWorkers and smallWorkers are the numbers of concurrent callers of a large and of a small team on the engine
	// pool. Each caller has one request in flight.
	largeWorkers = 48
	smallWorkers = 16
	// plainWorkers is the number of concurrent callers of each team on the plain pool.
	plainWorkers = 1
	// callTimeout is how long a caller waits for its answer.
	callTimeout = 30 * time.Second
	// failureBackoff is how long a caller waits before its next request if the answer was not a 200, or no answer came.
	failureBackoff = 50 * time.Millisecond
)

// callRecord is a caller's record of one request.
type callRecord struct {
	serial   string
	key      string
	team     int
	instance string
	result   rig.Result
}

// loadGenerator runs the callers of a fleet as a closed loop: each caller sends its next request when the previous one
// has ended.
type loadGenerator struct {
	fleet   *rig.Fleet
	seed    uint64
	records chan callRecord
	workers sync.WaitGroup
	// collected holds all records; it may be read once done is closed.
	collected []callRecord
	// done is closed when all records have been collected.
	done chan struct{}
}

// startLoad starts the callers. They send requests until the context ends.
func startLoad(ctx context.Context, fleet *rig.Fleet, seed uint64) *loadGenerator {
	load := &loadGenerator{fleet: fleet, seed: seed, records: make(chan callRecord, 1024), done: make(chan struct{})}
	for team := range teams {
		for worker := range teamWorkers(team) {
			load.workers.Go(func() { load.callEngines(ctx, team, worker) })
		}
		for worker := range plainWorkers {
			load.workers.Go(func() { load.callPlainTargets(ctx, team, worker) })
		}
	}
	go load.collect()
	return load
}

func teamWorkers(team int) int {
	if team < largeTeams {
		return largeWorkers
	}
	return smallWorkers
}

// wait waits until all callers have stopped, and returns their records.
func (load *loadGenerator) wait() []callRecord {
	load.workers.Wait()
	close(load.records)
	<-load.done
	return load.collected
}

func (load *loadGenerator) collect() {
	for record := range load.records {
		load.collected = append(load.collected, record)
	}
	close(load.done)
}

func (load *loadGenerator) callEngines(ctx context.Context, team, worker int) {
	random := rand.New(rand.NewPCG(load.seed, uint64(team)<<16|uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		tokens := cost(random, team)
		route := bulkRoute
		if random.IntN(3) == 0 {
			route = interactiveRoute
		}
		load.call(ctx, team, worker, rig.Call{
			Pool:  enginePool,
			Route: route,
			Work:  standin.Work{Serial: fmt.Sprintf("e-%d-%d-%d", team, worker, count), Team: teamName(team), Cost: tokens},
			Hint:  hint(random, tokens),
		})
	}
}

func (load *loadGenerator) callPlainTargets(ctx context.Context, team, worker int) {
	random := rand.New(rand.NewPCG(load.seed+1, uint64(team)<<16|uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		call := rig.Call{
			Pool:  plainPool,
			Route: repeatableRoute,
			Work:  standin.Work{Serial: fmt.Sprintf("p-%d-%d-%d", team, worker, count), Team: teamName(team), Cost: 20 + 60*random.Float64()},
		}
		if count%2 == 0 {
			call.Route = nonRepeatableRoute
			call.Key = uuid.Must(uuid.NewV7()).String()
		}
		load.call(ctx, team, worker, call)
	}
}

// call sends one request to the caller's instance and records the result.
func (load *loadGenerator) call(ctx context.Context, team, worker int, call rig.Call) {
	call.Instance = load.instance(team, worker)
	call.Token = teamName(team)
	// A request in flight is finished even if the load has been stopped, so that its outcome is known.
	callContext, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(callTimeout))
	defer cancel()
	result := load.fleet.Do(callContext, call)
	load.records <- callRecord{serial: call.Work.Serial, key: call.Key, team: team, instance: call.Instance.Name, result: result}
	if result.Status != 200 {
		coltsfootlink.Sleep(ctx, failureBackoff)
	}
}

// instance returns the instance that a caller uses. The load is uneven: a small team uses one instance, a large team
// three.
func (load *loadGenerator) instance(team, worker int) *rig.Instance {
	instances := load.fleet.Running()
	if team < largeTeams {
		return instances[(team*2+worker%3)%len(instances)]
	}
	return instances[homeInstance(team)%len(instances)]
}

// homeInstance returns the index of the only instance that a small team uses.
func homeInstance(team int) int { return team * team % fleetInstances }

// usesOnlyKilledInstance reports whether the only instance that a team uses is the one that is killed.
func usesOnlyKilledInstance(team int) bool {
	return team >= largeTeams && homeInstance(team) == killedInstance
}

// callCounts counts the outcomes of requests and the violations of what callers may rely on.
//   - lost: neither an answer nor a refusal came, from an instance that was not killed.
//   - aborted: the connection was closed after the first byte of a 200 answer, so the caller can tell that the answer
//     is incomplete (measure "cut").
//   - crossed: the answer held a line of another request.
//   - truncated: the answer ended as if it were complete, but was not, or it was a failure without an outcome.
//   - duplicated: targets ran a request with an idempotency key more than once.
//   - wrongNotRun: the outcome was "not-run", but a target had run the request.
//   - answers: complete 200 answers.
//   - refusals: other answers with an outcome.
type callCounts struct {
	lost, aborted, crossed, truncated, duplicated, wrongNotRun int
	answers, refusals                                          int
}

// countOutcomes compares the callers' records with the executions that the targets have counted. A request to the
// killed instance that got no answer isn't counted as lost: its caller knows that it may have run.
func countOutcomes(records []callRecord, stats []standin.Stats, killed string) callCounts {
	executions := make(map[string]int)
	for _, target := range stats {
		for key, count := range target.Runs {
			executions[key] += count
		}
	}
	var counts callCounts
	for _, record := range records {
		result := record.result
		switch {
		case result.Status == 200 && result.Complete:
			counts.answers++
		case result.Status != 200 && result.Outcome != "":
			counts.refusals++
		case result.Ended:
			counts.truncated++
		case result.Status == 200:
			// The connection was closed after the first byte, so the caller knows that the answer is incomplete.
			counts.aborted++
		case record.instance != killed:
			counts.lost++
		}
		if result.Crossed {
			counts.crossed++
		}
		id := record.serial
		if record.key != "" {
			id = record.key
			if executions[id] > 1 {
				counts.duplicated++
			}
		}
		if result.Outcome == coltsfootlink.NotRun && executions[id] > 0 {
			counts.wrongNotRun++
		}
	}
	return counts
}
