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
	// slopeWorkers is the number of concurrent callers per instance.
	slopeWorkers = 8
	// slopeTokens is the cost of each request in tokens.
	slopeTokens = 40
	// slopeDuration is how long the resource use is measured, without load and again with load.
	slopeDuration = 4 * time.Second
	// maxCorePercent and maxMegabytes are the users' performance goals for what control may use on each instance.
	maxCorePercent = 3.3
	maxMegabytes   = 32
	megabyte       = 1 << 20
)

// scalePoint is one size of the fleet, and the mean resource use of its instances.
type scalePoint struct {
	instances, teams, shards int
	// idle and loaded are the resource use of an instance without and with load.
	idle, loaded resourceUse
	// requestsPerSecond is the rate of requests that targets start, per instance.
	requestsPerSecond float64
}

// resourceUse holds control bytes sent per second, processor cores in use, and resident memory in megabytes.
type resourceUse struct {
	bytes, cores, megabytes float64
}

// slopes measures how the resource use of an instance grows with the number of instances, teams and shards.
func (bench *benchmark) slopes(ctx context.Context) ([]measure, error) {
	sizes := []scalePoint{
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
	if bench.short {
		sizes = []scalePoint{sizes[1], sizes[2], sizes[3], sizes[7]}
	}
	fmt.Fprintln(diagnostics, "instances teams shards idle-B/s idle-core-% idle-MB rate load-B/s load-core-% load-MB B/request ms/request")
	var points []scalePoint
	for _, size := range sizes {
		measured, err := bench.measurePoint(ctx, size)
		if err != nil {
			return nil, err
		}
		points = append(points, measured)
		fmt.Fprintln(diagnostics, measured)
	}
	return extrapolate(points), nil
}

// String formats the point as a row of the table that slopes prints.
func (point scalePoint) String() string {
	return fmt.Sprintf("%9d %5d %6d %8.0f %11.2f %7.1f %5.1f %8.0f %11.2f %7.1f %9.1f %10.3f",
		point.instances, point.teams, point.shards, point.idle.bytes, 100*point.idle.cores, point.idle.megabytes, point.requestsPerSecond,
		point.loaded.bytes, 100*point.loaded.cores, point.loaded.megabytes, point.bytesPerRequest(), 1000*point.coresPerRequest())
}

func (point scalePoint) bytesPerRequest() float64 {
	return (point.loaded.bytes - point.idle.bytes) / point.requestsPerSecond
}

func (point scalePoint) coresPerRequest() float64 {
	return (point.loaded.cores - point.idle.cores) / point.requestsPerSecond
}

// extrapolate estimates the resource use of an instance at targetRequestsPerSecond: the highest idle use of any size,
// plus that rate times the highest use per request of any size. For memory it takes the highest use under load. The
// measured processor time includes the forwarding of answers, which is not part of control.
func extrapolate(points []scalePoint) []measure {
	var idle, perRequest resourceUse
	for _, point := range points {
		idle.bytes = max(idle.bytes, point.idle.bytes)
		idle.cores = max(idle.cores, point.idle.cores)
		idle.megabytes = max(idle.megabytes, point.loaded.megabytes)
		perRequest.bytes = max(perRequest.bytes, point.bytesPerRequest())
		perRequest.cores = max(perRequest.cores, point.coresPerRequest())
	}
	return []measure{
		atMost("control-bytes-per-second-at-target", idle.bytes+perRequest.bytes*targetRequestsPerSecond, maxControlBytes),
		atMost("core-percent-at-target", 100*(idle.cores+perRequest.cores*targetRequestsPerSecond), maxCorePercent),
		atMost("megabytes-at-target", idle.megabytes, maxMegabytes),
	}
}

// measurePoint measures the resource use of a fleet of one size.
func (bench *benchmark) measurePoint(ctx context.Context, point scalePoint) (scalePoint, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := bench.fleetPlan(settings.Policy{}, point.instances)
	if err != nil {
		return point, err
	}
	plan.Configuration = fleetConfiguration(point.teams)
	for _, pool := range plan.Configuration.Pools {
		pool.ShardsPerZone = point.shards
		plan.Configuration = plan.Configuration.WithPool(pool)
	}
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return point, err
	}
	coltsfootlink.Sleep(ctx, 2*settleDuration)
	if point.idle, err = bench.meanResourceUse(ctx, fleet); err != nil {
		return point, err
	}
	stop := startSlopeLoad(ctx, fleet, point.teams)
	defer stop()
	coltsfootlink.Sleep(ctx, settleDuration)
	before := startedOn(ctx, fleet, isEngine)
	started := time.Now()
	if point.loaded, err = bench.meanResourceUse(ctx, fleet); err != nil {
		return point, err
	}
	point.requestsPerSecond = float64(startedOn(ctx, fleet, isEngine)-before) / time.Since(started).Seconds() / float64(point.instances)
	return point, nil
}

// meanResourceUse measures the resource use of the fleet for slopeDuration and returns the mean per instance.
func (bench *benchmark) meanResourceUse(ctx context.Context, fleet *rig.Fleet) (resourceUse, error) {
	cores, _, err := totalUsage(fleet)
	if err != nil {
		return resourceUse{}, err
	}
	started := time.Now()
	bytes := bench.controlBytesPerSecond(ctx, fleet, slopeDuration)
	seconds := time.Since(started).Seconds()
	coresAfter, resident, err := totalUsage(fleet)
	count := float64(len(fleet.Instances))
	return resourceUse{bytes: bytes, cores: (coresAfter - cores) / seconds / count, megabytes: resident / count}, err
}

// totalUsage returns the processor time that all instances have used since their start, and their resident memory.
func totalUsage(fleet *rig.Fleet) (seconds, megabytes float64, err error) {
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

// startSlopeLoad starts at most 256 callers, which send requests for a tenth of the teams, but for at least 16 teams.
// The returned function stops them and waits until they have ended.
func startSlopeLoad(ctx context.Context, fleet *rig.Fleet, teamCount int) func() {
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
					Deadline: time.Now().Add(callTimeout),
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
