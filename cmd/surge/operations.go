package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

const (
	// configurationChanges is the number of configuration changes that are timed.
	configurationChanges = 5
	// operationWorkers is the number of concurrent callers during the operators' commands and the outages.
	operationWorkers = 64
	// moveTimeout is the time in which a move to a working version has to be done.
	moveTimeout = 20 * time.Second
	// watchDuration is how long the targets of a zone or of a version are watched for new requests after a command.
	watchDuration = 4 * time.Second
	// pollInterval is the time between two polls of the targets.
	pollInterval = 20 * time.Millisecond
	// maxInForceMillis, maxZoneOutMillis and maxBadStopMillis are the users' performance goals: the time until a
	// configuration change is in force, a zone is out of service, and a failing version gets no more requests.
	maxInForceMillis = 2000
	maxZoneOutMillis = 3000
	maxBadStopMillis = 2000
	// maxFirstStageShare is the maximum share of requests that a new version may get in the first stage of a move, before
	// it has proved to work.
	maxFirstStageShare = 0.05
	// logAppendsPerSecond is the maximum rate of appends to the platform's log. minClaimsPerSecond is one in twenty of
	// the 6,200 requests per second of the users' performance goal.
	logAppendsPerSecond = 300
	minClaimsPerSecond  = 6200 / 20
	// claimWorkers is the number of concurrent callers while claims are counted, for claimDuration.
	claimWorkers  = 192
	claimDuration = 4 * time.Second
	// nonRepeatableDuration is how long non-repeatable requests are sent during the outages.
	nonRepeatableDuration = 12 * time.Second
)

// operations measures operators' commands, version moves, and requests on the non-repeatable route, which targets must
// not run twice.
func (bench *benchmark) operations(ctx context.Context) ([]measure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := bench.operationsFleet(ctx)
	if err != nil {
		return nil, err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers sync.WaitGroup
	for worker := range operationWorkers {
		callers.Go(func() { callDuringOperations(loadContext, fleet, bench.seed, worker) })
	}
	coltsfootlink.Sleep(ctx, settleDuration)
	inForce, err := inForceMillis(ctx, fleet)
	if err != nil {
		return nil, err
	}
	zoneOut, err := zoneOutMillis(ctx, fleet)
	if err != nil {
		return nil, err
	}
	good := goodMoves(ctx, fleet)
	share, stop, err := badMove(ctx, fleet)
	if err != nil {
		return nil, err
	}
	stopLoad()
	callers.Wait()
	claims := claimsPerSecond(ctx, fleet)
	counts := bench.callWithOutages(ctx, fleet)
	return []measure{
		atMost("in-force-ms", inForce, maxInForceMillis),
		atMost("zone-out-ms", zoneOut, maxZoneOutMillis),
		atLeast("claims-per-second", claims, minClaimsPerSecond),
		atMost("once-doubled", float64(counts.duplicated), 0),
		atMost("once-false-not-run", float64(counts.wrongNotRun), 0),
		atLeast("move-good-in-time", good, 1),
		atMost("move-bad-share", share, maxFirstStageShare),
		atMost("move-bad-stop-ms", stop, maxBadStopMillis),
	}, nil
}

// operationsFleet starts a fleet in which half of the engines serve a second version, and appends to the platform's log
// are limited to logAppendsPerSecond.
func (bench *benchmark) operationsFleet(ctx context.Context) (*rig.Fleet, error) {
	plan, err := bench.fleetPlan(settings.Policy{}, fleetInstances)
	if err != nil {
		return nil, err
	}
	for index := range plan.Targets {
		if isEngine(plan.Targets[index].Name) && index%2 == 0 {
			plan.Targets[index].Version = "v2"
		}
	}
	plan.AppendsPerSecond = logAppendsPerSecond
	return rig.Start(ctx, plan)
}

func callDuringOperations(ctx context.Context, fleet *rig.Fleet, seed uint64, worker int) {
	random := rand.New(rand.NewPCG(seed, uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		instances := fleet.Running()
		fleet.Do(context.WithoutCancel(ctx), rig.Call{
			Instance: instances[worker%len(instances)],
			Token:    teamName(worker % teams),
			Pool:     enginePool,
			Route:    bulkRoute,
			Deadline: time.Now().Add(callTimeout),
			Work:     standin.Work{Serial: fmt.Sprintf("o-%d-%d", worker, count), Team: teamName(worker % teams), Cost: 8 + 24*random.Float64()},
		})
	}
}

// inForceMillis returns the longest time in milliseconds from a command until its revision is in force on all
// instances, and infinity if an instance did not report it. The commands take a zone without targets out of service and
// return it to service.
func inForceMillis(ctx context.Context, fleet *rig.Fleet) (float64, error) {
	longest := 0.0
	for count := range configurationChanges {
		started := time.Now()
		statement := "take zone " + spareZone + " out"
		if count%2 == 1 {
			statement = "bring zone " + spareZone + " back"
		}
		answer, err := fleet.RunStatement(ctx, fleet.Instances[count], statement)
		if err != nil {
			return 0, err
		}
		if len(answer.Missing) > 0 {
			return math.Inf(1), nil
		}
		longest = max(longest, float64(time.Since(started))/float64(time.Millisecond))
	}
	return longest, nil
}

// zoneOutMillis returns the time in milliseconds from the command that takes a zone out of service until the last start
// of a request there. It returns the zone to service afterwards.
func zoneOutMillis(ctx context.Context, fleet *rig.Fleet) (float64, error) {
	inZone := func(target string) bool { return isEngine(target) && target[len(target)-3:len(target)-2] == "c" }
	started := time.Now()
	last := make(chan time.Time, 1)
	go func() { last <- lastStart(ctx, fleet, inZone, started.Add(watchDuration)) }()
	if _, err := fleet.RunStatement(ctx, fleet.Instances[0], "take zone "+zones[2]+" out"); err != nil {
		return 0, err
	}
	took := float64((<-last).Sub(started)) / float64(time.Millisecond)
	_, err := fleet.RunStatement(ctx, fleet.Instances[1], "bring zone "+zones[2]+" back")
	return max(0, took), err
}

// lastStart polls the selected targets until a time and returns when they were last seen to have started a request, or
// the time of the first poll if they started none.
func lastStart(ctx context.Context, fleet *rig.Fleet, selected func(target string) bool, until time.Time) time.Time {
	before := startedOn(ctx, fleet, selected)
	last := time.Now()
	for time.Now().Before(until) && ctx.Err() == nil {
		coltsfootlink.Sleep(ctx, pollInterval)
		now := startedOn(ctx, fleet, selected)
		if now > before {
			last = time.Now()
		}
		before = now
	}
	return last
}

// startedOn returns the number of requests that the selected targets have started so far.
func startedOn(ctx context.Context, fleet *rig.Fleet, selected func(target string) bool) int {
	total := 0
	for _, target := range fleet.Stats(ctx) {
		if selected(target.Target) {
			total += target.Started
		}
	}
	return total
}

// goodMoves moves the pool to the second version and back, and returns the fraction of the moves that were done by
// their deadline.
func goodMoves(ctx context.Context, fleet *rig.Fleet) float64 {
	done := 0.0
	directions := []string{"from v1 to v2", "from v2 to v1"}
	for _, direction := range directions {
		finishBy := time.Now().Add(moveTimeout)
		statement := "start move " + enginePool + " " + direction + " by " + finishBy.UTC().Format(time.RFC3339)
		if _, err := fleet.RunStatement(ctx, fleet.Instances[0], statement); err != nil {
			return 0
		}
		if awaitMove(ctx, fleet, finishBy) == string(coltsfootlink.MoveDone) {
			done++
		}
	}
	return done / float64(len(directions))
}

// awaitMove polls the move until it has ended, or until a time, and returns its last known state.
func awaitMove(ctx context.Context, fleet *rig.Fleet, until time.Time) string {
	state := ""
	for time.Now().Before(until) && ctx.Err() == nil {
		answer, err := fleet.RunStatement(ctx, fleet.Instances[1], "show moves")
		if err == nil && len(answer.Rows) > 0 {
			state = answer.Rows[0][3]
		}
		if state != string(coltsfootlink.MoveRunning) && state != "" {
			return state
		}
		coltsfootlink.Sleep(ctx, 5*pollInterval)
	}
	return state
}

// badMove starts a move to a version that fails all requests, and watches it for watchDuration, in which the fleet should
// roll it back. It returns the share of all requests that the version got until then, and the milliseconds from its
// first request to its last.
func badMove(ctx context.Context, fleet *rig.Fleet) (share, stopMillis float64, err error) {
	onNewVersion := func(target string) bool { return versionOf(fleet, target) == "v2" }
	for _, target := range fleet.Plan.Targets {
		if onNewVersion(target.Name) {
			if err := fleet.SetFault(ctx, target.Name, standin.Fault{Fail: math.MaxInt32}); err != nil {
				return 0, 0, err
			}
		}
	}
	newVersionBefore, allBefore := startedOn(ctx, fleet, onNewVersion), startedOn(ctx, fleet, isEngine)
	statement := "start move " + enginePool + " from v1 to v2 by " + time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	if _, err := fleet.RunStatement(ctx, fleet.Instances[2], statement); err != nil {
		return 0, 0, err
	}
	var first, last time.Time
	seen := newVersionBefore
	for until := time.Now().Add(watchDuration); time.Now().Before(until) && ctx.Err() == nil; coltsfootlink.Sleep(ctx, pollInterval) {
		now := startedOn(ctx, fleet, onNewVersion)
		if now > seen && first.IsZero() {
			first = time.Now()
		}
		if now > seen {
			last = time.Now()
		}
		seen = now
	}
	all := startedOn(ctx, fleet, isEngine) - allBefore
	return float64(seen-newVersionBefore) / float64(all), float64(last.Sub(first)) / float64(time.Millisecond), nil
}

func versionOf(fleet *rig.Fleet, name string) string {
	for _, target := range fleet.Plan.Targets {
		if target.Name == name && isEngine(name) {
			return target.Version
		}
	}
	return ""
}

// claimsPerSecond returns the rate at which targets start non-repeatable requests, each of which needs a claim, without
// faults.
func claimsPerSecond(ctx context.Context, fleet *rig.Fleet) float64 {
	loadContext, stop := context.WithCancel(ctx)
	records := make(chan callRecord, 4096)
	go func() {
		for range records {
			continue
		}
	}()
	var callers sync.WaitGroup
	for worker := range claimWorkers {
		callers.Go(func() { callNonRepeatable(loadContext, fleet, worker, records) })
	}
	isPlain := func(target string) bool { return !isEngine(target) }
	coltsfootlink.Sleep(ctx, time.Second)
	started := time.Now()
	before := startedOn(ctx, fleet, isPlain)
	coltsfootlink.Sleep(ctx, claimDuration)
	rate := float64(startedOn(ctx, fleet, isPlain)-before) / time.Since(started).Seconds()
	stop()
	callers.Wait()
	close(records)
	return rate
}

// callWithOutages sends non-repeatable requests while the platform, targets and instances fail. A caller that does not
// learn that its request ran sends it again with the same idempotency key to another instance, and gives up after the
// third attempt.
func (bench *benchmark) callWithOutages(ctx context.Context, fleet *rig.Fleet) callCounts {
	loadContext, stop := context.WithCancel(ctx)
	defer stop()
	records := make(chan callRecord, 4096)
	var callers sync.WaitGroup
	for worker := range operationWorkers {
		callers.Go(func() { callNonRepeatable(loadContext, fleet, worker, records) })
	}
	go bench.injectOutages(ctx, fleet)
	var all []callRecord
	collected := make(chan struct{})
	go func() {
		for record := range records {
			all = append(all, record)
		}
		close(collected)
	}()
	coltsfootlink.Sleep(ctx, nonRepeatableDuration)
	stop()
	callers.Wait()
	close(records)
	<-collected
	counts := countOutcomes(all, fleet.Stats(ctx), fleet.Instances[killedInstance].Name)
	fmt.Fprintf(diagnostics, "surge: %d non-repeatable requests: %d complete answers, %d refusals\n", len(all), counts.answers, counts.refusals)
	return counts
}

// injectOutages makes the platform, targets and instances fail at equal intervals. Some faults overlap: the platform is
// still down when an instance is killed.
func (bench *benchmark) injectOutages(ctx context.Context, fleet *rig.Fleet) {
	steps := []func() error{
		func() error { return fleet.SetOutage(ctx, standin.Outage{LoseReplies: true}) },
		func() error { return fleet.SetOutage(ctx, standin.Outage{Down: true}) },
		func() error { return fleet.Instances[killedInstance].Kill() },
		func() error { return fleet.SetOutage(ctx, standin.Outage{}) },
		func() error {
			return fleet.SetFault(ctx, "plain-"+zones[0]+"-1", standin.Fault{Crash: true, DownMillis: 200})
		},
		func() error { return fleet.Instances[2].Suspend() },
		func() error { return fleet.Instances[2].Resume() },
		func() error { return fleet.SetFault(ctx, "plain-"+zones[1]+"-1", standin.Fault{Cut: 5, Fail: 5}) },
	}
	for _, step := range steps {
		coltsfootlink.Sleep(ctx, nonRepeatableDuration/time.Duration(len(steps)+1))
		if err := step(); err != nil {
			fmt.Fprintln(diagnostics, "surge: injecting a fault failed, the run goes on without it:", err)
		}
	}
}

func callNonRepeatable(ctx context.Context, fleet *rig.Fleet, worker int, records chan<- callRecord) {
	for count := 0; ctx.Err() == nil; count++ {
		key := uuid.Must(uuid.NewV7()).String()
		for attempt := range 3 {
			instances := fleet.Running()
			call := rig.Call{
				Instance: instances[(worker+attempt)%len(instances)],
				Token:    teamName(worker % teams),
				Pool:     plainPool,
				Route:    nonRepeatableRoute,
				Key:      key,
				Deadline: time.Now().Add(settleDuration),
				Work:     standin.Work{Serial: key, Team: teamName(worker % teams), Cost: 20},
			}
			result := fleet.Do(context.WithoutCancel(ctx), call)
			records <- callRecord{serial: key, key: key, team: worker % teams, instance: call.Instance.Name, result: result}
			if result.Outcome == coltsfootlink.Ran {
				break
			}
		}
	}
}
