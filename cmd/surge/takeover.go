package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

const (
	// takeoverDuration is how long the fleet is watched after an owner was killed.
	takeoverDuration = 8 * time.Second
	// takeoverWorkers is the number of concurrent callers. takeoverTokens is the cost of a long request, which runs for
	// longer than it takes to detect that an instance is unresponsive.
	takeoverWorkers = 160
	takeoverTokens  = 1600
	// maxMillisWithoutGrants is the longest allowed time without grants: the timeout after which an instance counts as
	// unresponsive, plus the new owner's wait for announcements of the permits held.
	maxMillisWithoutGrants = 4000
)

// takeover measures the failure of an owner under both takeover policies: instances announce the permits that they hold
// to the new owner, or they do not.
func (bench *benchmark) takeover(ctx context.Context) ([]measure, error) {
	var measures []measure
	for _, variant := range []string{settings.Announce, settings.Blind} {
		_, withoutGrants, err := bench.killOwner(ctx, variant, false)
		if err != nil {
			return nil, err
		}
		over, _, err := bench.killOwner(ctx, variant, true)
		if err != nil {
			return nil, err
		}
		measures = append(measures,
			atMost("over-admission-"+variant, over, 1),
			atMost("without-grants-ms-"+variant, withoutGrants, maxMillisWithoutGrants),
		)
	}
	return measures, nil
}

// killOwner kills the owner of a zone's engines under load, and returns the over-admission and the longest time in
// milliseconds in which none of the zone's engines started a request. With long requests, which are still in flight at
// the takeover, the targets don't report their running requests, so that the new owner can learn of them from
// announcements only.
func (bench *benchmark) killOwner(ctx context.Context, variant string, longRequests bool) (over, withoutGrants float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := bench.fleetPlan(settings.Policy{Takeover: variant}, fleetInstances)
	if err != nil {
		return 0, 0, err
	}
	for index := range plan.Targets {
		plan.Targets[index].Unreported = longRequests
	}
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return 0, 0, err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	tokens := float64(slopeTokens)
	if longRequests {
		tokens = takeoverTokens
	}
	var callers sync.WaitGroup
	for worker := range takeoverWorkers {
		callers.Go(func() { callAtConstantCost(loadContext, fleet, worker, tokens) })
	}
	coltsfootlink.Sleep(ctx, 9*warmUpDuration)
	victim, err := ownerOf(ctx, fleet, "engine-"+zones[1]+"-1")
	if err != nil {
		return 0, 0, err
	}
	if err := victim.Kill(); err != nil {
		return 0, 0, err
	}
	inZone := func(target string) bool { return isEngine(target) && target[:len(target)-2] == "engine-"+zones[1] }
	withoutGrants = longestIdleMillis(ctx, fleet, inZone, time.Now().Add(takeoverDuration))
	stopLoad()
	callers.Wait()
	return overAdmission(fleet.Stats(ctx)), withoutGrants, nil
}

func callAtConstantCost(ctx context.Context, fleet *rig.Fleet, worker int, tokens float64) {
	for count := 0; ctx.Err() == nil; count++ {
		instances := fleet.Running()
		fleet.Do(ctx, rig.Call{
			Instance: instances[worker%len(instances)],
			Token:    teamName(worker % teams),
			Pool:     enginePool,
			Route:    bulkRoute,
			Deadline: time.Now().Add(callTimeout),
			Work:     standin.Work{Serial: fmt.Sprintf("t-%d-%d", worker, count), Team: teamName(worker % teams), Cost: tokens},
		})
	}
}

func ownerOf(ctx context.Context, fleet *rig.Fleet, target string) (*rig.Instance, error) {
	answer, err := fleet.RunStatement(ctx, fleet.Instances[0], "show targets where target = "+target)
	if err != nil {
		return nil, err
	}
	if len(answer.Rows) != 1 {
		return nil, errors.Newf("surge: expected one owner, got %d rows for target %s", len(answer.Rows), target)
	}
	return fleet.Instance(answer.Rows[0][7]), nil
}

// longestIdleMillis returns the longest time in milliseconds, up to a time, in which the selected targets started no
// request.
func longestIdleMillis(ctx context.Context, fleet *rig.Fleet, selected func(target string) bool, until time.Time) float64 {
	longest := time.Duration(0)
	last := time.Now()
	before := startedOn(ctx, fleet, selected)
	for time.Now().Before(until) && ctx.Err() == nil {
		coltsfootlink.Sleep(ctx, pollInterval)
		now := startedOn(ctx, fleet, selected)
		if now > before {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		before = now
	}
	return float64(max(longest, time.Since(last))) / float64(time.Millisecond)
}

func overAdmission(stats []standin.Stats) float64 {
	highest := 0.0
	for _, target := range stats {
		highest = max(highest, target.OverAdmission)
	}
	return highest
}
