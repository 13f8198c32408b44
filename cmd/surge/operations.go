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
	// applies is the number of configuration changes that are timed.
	applies = 5
	// operationWorkers is the calls that are kept outstanding while operators work.
	operationWorkers = 64
	// moveSpan is the time in which a good move has to be done.
	moveSpan = 20 * time.Second
	// watchSpan is how long a zone or a version is watched for late work.
	watchSpan = 4 * time.Second
	// watchPause is the time between two looks at the targets.
	watchPause = 20 * time.Millisecond
	// maxInForceMillis, maxZoneOutMillis and maxBadStopMillis are the stated targets.
	maxInForceMillis = 2000
	maxZoneOutMillis = 3000
	maxBadStopMillis = 2000
	// firstStage is the share that a version may get before it has shown itself.
	firstStage = 0.05
	// logAppends is what the log takes in a second, and leastClaims one call in twenty of the users' target.
	logAppends  = 300
	leastClaims = 6200 / 20
	// claimWorkers is the calls that are kept outstanding while claims are counted, over claimSpan.
	claimWorkers = 192
	claimSpan    = 4 * time.Second
	// onceSpan is how long calls that may not be repeated run under faults.
	onceSpan = 12 * time.Second
)

// operations measures operators' commands, moves and calls that may not be repeated.
func (measuring *bench) operations(ctx context.Context) ([]measure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := measuring.operationsFleet(ctx)
	if err != nil {
		return nil, err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers sync.WaitGroup
	for worker := range operationWorkers {
		callers.Go(func() { operationCalls(loadContext, fleet, measuring.seed, worker) })
	}
	coltsfootlink.Sleep(ctx, settleSpan)
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
	once := measuring.once(ctx, fleet)
	return []measure{
		atMost("in-force-ms", inForce, maxInForceMillis),
		atMost("zone-out-ms", zoneOut, maxZoneOutMillis),
		atLeast("claims-per-second", claims, leastClaims),
		atMost("once-doubled", float64(once.doubled), 0),
		atMost("once-false-not-run", float64(once.wrongNotRun), 0),
		atLeast("move-good-in-time", good, 1),
		atMost("move-bad-share", share, firstStage),
		atMost("move-bad-stop-ms", stop, maxBadStopMillis),
	}, nil
}

// operationsFleet starts a fleet in which half of the engines serve a second version.
func (measuring *bench) operationsFleet(ctx context.Context) (*rig.Fleet, error) {
	plan, err := measuring.plan(settings.Policy{}, fleetInstances)
	if err != nil {
		return nil, err
	}
	for index := range plan.Targets {
		if isEngine(plan.Targets[index].Name) && index%2 == 0 {
			plan.Targets[index].Version = "v2"
		}
	}
	plan.AppendsPerSecond = logAppends
	return rig.Start(ctx, plan)
}

func operationCalls(ctx context.Context, fleet *rig.Fleet, seed uint64, worker int) {
	random := rand.New(rand.NewPCG(seed, uint64(worker)))
	for count := 0; ctx.Err() == nil; count++ {
		instances := fleet.Running()
		fleet.Do(context.WithoutCancel(ctx), rig.Call{
			Instance: instances[worker%len(instances)],
			Token:    teamName(worker % teams),
			Pool:     enginePool,
			Route:    bulkRoute,
			Deadline: time.Now().Add(callLimit),
			Work:     standin.Work{Serial: fmt.Sprintf("o-%d-%d", worker, count), Team: teamName(worker % teams), Cost: 8 + 24*random.Float64()},
		})
	}
}

// inForceMillis returns the longest time from a command to its revision being in force on all instances.
// The commands take a zone out that has no targets, and bring it back.
func inForceMillis(ctx context.Context, fleet *rig.Fleet) (float64, error) {
	longest := 0.0
	for count := range applies {
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

// zoneOutMillis returns the time from the command to the last new work in a zone that is taken out.
func zoneOutMillis(ctx context.Context, fleet *rig.Fleet) (float64, error) {
	inZone := func(target string) bool { return isEngine(target) && target[len(target)-3:len(target)-2] == "c" }
	started := time.Now()
	last := make(chan time.Time, 1)
	go func() { last <- lastStart(ctx, fleet, inZone, started.Add(watchSpan)) }()
	if _, err := fleet.RunStatement(ctx, fleet.Instances[0], "take zone "+zones[2]+" out"); err != nil {
		return 0, err
	}
	took := float64((<-last).Sub(started)) / float64(time.Millisecond)
	_, err := fleet.RunStatement(ctx, fleet.Instances[1], "bring zone "+zones[2]+" back")
	return max(0, took), err
}

// lastStart returns when some targets were last seen to start a request, up to a time; at the earliest the
// time of the first look.
func lastStart(ctx context.Context, fleet *rig.Fleet, counts func(target string) bool, until time.Time) time.Time {
	before := startedBy(ctx, fleet, counts)
	last := time.Now()
	for time.Now().Before(until) && ctx.Err() == nil {
		coltsfootlink.Sleep(ctx, watchPause)
		now := startedBy(ctx, fleet, counts)
		if now > before {
			last = time.Now()
		}
		before = now
	}
	return last
}

func startedBy(ctx context.Context, fleet *rig.Fleet, counts func(target string) bool) int {
	total := 0
	for _, target := range fleet.Stats(ctx) {
		if counts(target.Target) {
			total += target.Started
		}
	}
	return total
}

// goodMoves moves to the second version and back, and returns the share of moves done by their time.
func goodMoves(ctx context.Context, fleet *rig.Fleet) float64 {
	done := 0.0
	directions := []string{"from v1 to v2", "from v2 to v1"}
	for _, direction := range directions {
		finishBy := time.Now().Add(moveSpan)
		statement := "start move " + enginePool + " " + direction + " by " + finishBy.UTC().Format(time.RFC3339)
		if _, err := fleet.RunStatement(ctx, fleet.Instances[0], statement); err != nil {
			return 0
		}
		if waitMove(ctx, fleet, finishBy) == string(coltsfootlink.MoveDone) {
			done++
		}
	}
	return done / float64(len(directions))
}

// waitMove waits until the move has ended and returns its state.
func waitMove(ctx context.Context, fleet *rig.Fleet, until time.Time) string {
	state := ""
	for time.Now().Before(until) && ctx.Err() == nil {
		answer, err := fleet.RunStatement(ctx, fleet.Instances[1], "show moves")
		if err == nil && len(answer.Rows) > 0 {
			state = answer.Rows[0][3]
		}
		if state != string(coltsfootlink.MoveRunning) && state != "" {
			return state
		}
		coltsfootlink.Sleep(ctx, 5*watchPause)
	}
	return state
}

// badMove starts a move to a version that fails, and returns its share of the requests until it is taken
// back, and the milliseconds from its first request to its last.
func badMove(ctx context.Context, fleet *rig.Fleet) (share, stopMillis float64, err error) {
	fresh := func(target string) bool { return versionOf(fleet, target) == "v2" }
	for _, target := range fleet.Plan.Targets {
		if fresh(target.Name) {
			if err := fleet.SetFault(ctx, target.Name, standin.Fault{Fail: math.MaxInt32}); err != nil {
				return 0, 0, err
			}
		}
	}
	freshBefore, allBefore := startedBy(ctx, fleet, fresh), startedBy(ctx, fleet, isEngine)
	statement := "start move " + enginePool + " from v1 to v2 by " + time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	if _, err := fleet.RunStatement(ctx, fleet.Instances[2], statement); err != nil {
		return 0, 0, err
	}
	var first, last time.Time
	seen := freshBefore
	for until := time.Now().Add(watchSpan); time.Now().Before(until) && ctx.Err() == nil; coltsfootlink.Sleep(ctx, watchPause) {
		now := startedBy(ctx, fleet, fresh)
		if now > seen && first.IsZero() {
			first = time.Now()
		}
		if now > seen {
			last = time.Now()
		}
		seen = now
	}
	all := startedBy(ctx, fleet, isEngine) - allBefore
	return float64(seen-freshBefore) / float64(all), float64(last.Sub(first)) / float64(time.Millisecond), nil
}

func versionOf(fleet *rig.Fleet, name string) string {
	for _, target := range fleet.Plan.Targets {
		if target.Name == name && isEngine(name) {
			return target.Version
		}
	}
	return ""
}

// claimsPerSecond returns how many calls that may not be repeated are started in a second without faults.
func claimsPerSecond(ctx context.Context, fleet *rig.Fleet) float64 {
	loadContext, stop := context.WithCancel(ctx)
	records := make(chan record, 4096)
	go func() {
		for range records {
			continue
		}
	}()
	var callers sync.WaitGroup
	for worker := range claimWorkers {
		callers.Go(func() { onceCalls(loadContext, fleet, worker, records) })
	}
	isPlain := func(target string) bool { return !isEngine(target) }
	coltsfootlink.Sleep(ctx, time.Second)
	started := time.Now()
	before := startedBy(ctx, fleet, isPlain)
	coltsfootlink.Sleep(ctx, claimSpan)
	rate := float64(startedBy(ctx, fleet, isPlain)-before) / time.Since(started).Seconds()
	stop()
	callers.Wait()
	close(records)
	return rate
}

// once makes calls that may not be repeated while the log, the targets and an instance fail; callers that
// do not know the fate of a call repeat it elsewhere.
func (measuring *bench) once(ctx context.Context, fleet *rig.Fleet) faults {
	loadContext, stop := context.WithCancel(ctx)
	defer stop()
	records := make(chan record, 4096)
	var callers sync.WaitGroup
	for worker := range operationWorkers {
		callers.Go(func() { onceCalls(loadContext, fleet, worker, records) })
	}
	go measuring.onceFaults(ctx, fleet)
	var all []record
	collected := make(chan struct{})
	go func() {
		for noted := range records {
			all = append(all, noted)
		}
		close(collected)
	}()
	coltsfootlink.Sleep(ctx, onceSpan)
	stop()
	callers.Wait()
	close(records)
	<-collected
	found := countFaults(all, fleet.Stats(ctx), fleet.Instances[killedInstance].Name)
	fmt.Fprintf(messages, "surge: %d calls that may not be repeated, %d answers, %d refusals\n", len(all), found.answers, found.refusals)
	return found
}

// onceFaults makes the platform, a target and an instance fail, one after the other and together.
func (measuring *bench) onceFaults(ctx context.Context, fleet *rig.Fleet) {
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
		coltsfootlink.Sleep(ctx, onceSpan/time.Duration(len(steps)+1))
		if err := step(); err != nil {
			fmt.Fprintln(messages, "surge: fault:", err)
		}
	}
}

func onceCalls(ctx context.Context, fleet *rig.Fleet, worker int, records chan<- record) {
	for count := 0; ctx.Err() == nil; count++ {
		key := uuid.Must(uuid.NewV7()).String()
		for attempt := range 3 {
			instances := fleet.Running()
			call := rig.Call{
				Instance: instances[(worker+attempt)%len(instances)],
				Token:    teamName(worker % teams),
				Pool:     plainPool,
				Route:    onceRoute,
				Key:      key,
				Deadline: time.Now().Add(settleSpan),
				Work:     standin.Work{Serial: key, Team: teamName(worker % teams), Cost: 20},
			}
			result := fleet.Do(context.WithoutCancel(ctx), call)
			records <- record{serial: key, key: key, team: worker % teams, instance: call.Instance.Name, result: result}
			if result.Outcome == coltsfootlink.Ran {
				break
			}
		}
	}
}
