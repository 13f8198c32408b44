package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

const (
	// slopeWorkers is the calls that are kept outstanding for each instance.
	slopeWorkers = 8
	// slopeTokens is the cost of each call.
	slopeTokens = 40
	// slopeSpan is how long each figure is taken.
	slopeSpan = 4 * time.Second
	// maxCorePercent and maxMegabytes are the users' targets for control on a node.
	maxCorePercent = 3.3
	maxMegabytes   = 32
	megabyte       = 1 << 20
)

// point is one size of fleet and what an instance of it spends.
type point struct {
	instances, teams, shards int
	// idle and loaded are what an instance spends without and with load.
	idle, loaded spending
	// rate is the requests that an instance answers in a second.
	rate float64
}

// spending is what an instance spends in a second, and the memory that it holds.
type spending struct {
	bytes, cores, megabytes float64
}

// slopes measures what instances spend by the number of instances, teams and shards.
func (measuring *bench) slopes(ctx context.Context) ([]measure, error) {
	sizes := []point{
		{instances: 2, teams: 16, shards: 1},
		{instances: 4, teams: 16, shards: 1},
		{instances: 8, teams: 16, shards: 1},
		{instances: 16, teams: 16, shards: 1},
		{instances: 32, teams: 16, shards: 1},
		{instances: 64, teams: 16, shards: 1},
		{instances: 8, teams: 280, shards: 1},
		{instances: 8, teams: 2800, shards: 1},
		{instances: 8, teams: 16, shards: 4},
		{instances: 8, teams: 16, shards: 16},
	}
	if measuring.short {
		sizes = []point{sizes[1], sizes[2], sizes[3], sizes[7]}
	}
	fmt.Fprintln(messages, "instances teams shards idle-B/s idle-core-% idle-MB rate load-B/s load-core-% load-MB B/request ms/request")
	var taken []point
	for _, size := range sizes {
		measured, err := measuring.point(ctx, size)
		if err != nil {
			return nil, err
		}
		taken = append(taken, measured)
		fmt.Fprintln(messages, measured)
	}
	return atTarget(taken), nil
}

// String returns the point as a row.
func (size point) String() string {
	return fmt.Sprintf("%9d %5d %6d %8.0f %11.2f %7.1f %5.1f %8.0f %11.2f %7.1f %9.1f %10.3f",
		size.instances, size.teams, size.shards, size.idle.bytes, 100*size.idle.cores, size.idle.megabytes, size.rate,
		size.loaded.bytes, 100*size.loaded.cores, size.loaded.megabytes, size.bytesPerRequest(), 1000*size.coresPerRequest())
}

func (size point) bytesPerRequest() float64 { return (size.loaded.bytes - size.idle.bytes) / size.rate }

func (size point) coresPerRequest() float64 { return (size.loaded.cores - size.idle.cores) / size.rate }

// atTarget works out what a node spends at the users' target: the largest idle figure, and the largest
// figure for a request at the target's rate. Processor time includes passing the answers on.
func atTarget(points []point) []measure {
	var idle, each spending
	for _, size := range points {
		idle.bytes = max(idle.bytes, size.idle.bytes)
		idle.cores = max(idle.cores, size.idle.cores)
		idle.megabytes = max(idle.megabytes, size.loaded.megabytes)
		each.bytes = max(each.bytes, size.bytesPerRequest())
		each.cores = max(each.cores, size.coresPerRequest())
	}
	return []measure{
		atMost("control-bytes-per-second-at-target", idle.bytes+each.bytes*targetRate, maxControlBytes),
		atMost("core-percent-at-target", 100*(idle.cores+each.cores*targetRate), maxCorePercent),
		atMost("megabytes-at-target", idle.megabytes, maxMegabytes),
	}
}

// point measures one size of fleet.
func (measuring *bench) point(ctx context.Context, size point) (point, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := measuring.plan(settings.Policy{}, size.instances)
	if err != nil {
		return size, err
	}
	plan.Configuration = fleetConfiguration(size.teams)
	for _, pool := range plan.Configuration.Pools {
		pool.ShardsPerZone = size.shards
		plan.Configuration = plan.Configuration.WithPool(pool)
	}
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return size, err
	}
	coltsfootlink.Sleep(ctx, 2*settleSpan)
	if size.idle, err = measuring.spending(ctx, fleet); err != nil {
		return size, err
	}
	stop := slopeLoad(ctx, fleet, size.teams)
	defer stop()
	coltsfootlink.Sleep(ctx, settleSpan)
	before := startedBy(ctx, fleet, isEngine)
	started := time.Now()
	if size.loaded, err = measuring.spending(ctx, fleet); err != nil {
		return size, err
	}
	size.rate = float64(startedBy(ctx, fleet, isEngine)-before) / time.Since(started).Seconds() / float64(size.instances)
	return size, nil
}

// spending returns what an instance spends, as the mean over the fleet.
func (measuring *bench) spending(ctx context.Context, fleet *rig.Fleet) (spending, error) {
	cores, _, err := usage(fleet)
	if err != nil {
		return spending{}, err
	}
	started := time.Now()
	bytes := measuring.controlRate(ctx, fleet, slopeSpan)
	seconds := time.Since(started).Seconds()
	coresAfter, resident, err := usage(fleet)
	count := float64(len(fleet.Instances))
	return spending{bytes: bytes, cores: (coresAfter - cores) / seconds / count, megabytes: resident / count}, err
}

// usage returns the processor time and the memory that all instances have used.
func usage(fleet *rig.Fleet) (seconds, megabytes float64, err error) {
	for _, instance := range fleet.Instances {
		cpu, err := instance.CPUSeconds()
		if err != nil {
			return 0, 0, err
		}
		resident, err := instance.ResidentBytes()
		if err != nil {
			return 0, 0, err
		}
		seconds += cpu
		megabytes += float64(resident) / megabyte
	}
	return seconds, megabytes, nil
}

// slopeLoad keeps calls of a tenth of the teams outstanding until the returned function is called.
func slopeLoad(ctx context.Context, fleet *rig.Fleet, teamCount int) func() {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	active := max(16, teamCount/10)
	for worker := range min(slopeWorkers*len(fleet.Instances), 256) {
		callers.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				team := (worker + count) % active
				fleet.Do(context.WithoutCancel(ctx), rig.Call{
					Instance: fleet.Instances[worker%len(fleet.Instances)],
					Token:    teamName(team),
					Pool:     enginePool,
					Route:    bulkRoute,
					Deadline: time.Now().Add(callLimit),
					Work:     standin.Work{Serial: fmt.Sprintf("s-%d-%d", worker, count), Team: teamName(team), Cost: slopeTokens},
				})
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}
