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
	// takeoverSpan is how long the fleet is watched after the death of an owner.
	takeoverSpan = 8 * time.Second
	// takeoverWorkers is the calls that are kept outstanding, and takeoverTokens the cost of each: they run for
	// longer than the silence of an instance stays unnoticed.
	takeoverWorkers = 160
	takeoverTokens  = 1600
	// maxGrantless is the longest time without grants: the silence limit, and the wait for announcements.
	maxGrantless = 4000
)

// takeover measures what the death of an owner does, with announcements of the held permits and without.
func (measuring *bench) takeover(ctx context.Context) ([]measure, error) {
	var measures []measure
	for _, variant := range []string{settings.Announce, settings.Blind} {
		_, grantless, err := measuring.ownerDies(ctx, variant, false)
		if err != nil {
			return nil, err
		}
		over, _, err := measuring.ownerDies(ctx, variant, true)
		if err != nil {
			return nil, err
		}
		measures = append(measures,
			atMost("over-admission-"+variant, over, 1),
			atMost("without-grants-ms-"+variant, grantless, maxGrantless),
		)
	}
	return measures, nil
}

// ownerDies kills the owner of a zone's engines under load, and returns the over-admission and the longest
// time in milliseconds in which none of the zone's engines started a request. With long requests, which are
// still in flight at the takeover, the targets give no reports.
func (measuring *bench) ownerDies(ctx context.Context, variant string, long bool) (over, grantless float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := measuring.plan(settings.Policy{Takeover: variant}, fleetInstances)
	if err != nil {
		return 0, 0, err
	}
	for index := range plan.Targets {
		plan.Targets[index].Unreported = long
	}
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return 0, 0, err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	tokens := float64(slopeTokens)
	if long {
		tokens = takeoverTokens
	}
	var callers sync.WaitGroup
	for worker := range takeoverWorkers {
		callers.Go(func() { equalCalls(loadContext, fleet, worker, tokens) })
	}
	coltsfootlink.Sleep(ctx, 9*warmSpan)
	victim, err := ownerOf(ctx, fleet, "engine-"+zones[1]+"-1")
	if err != nil {
		return 0, 0, err
	}
	if err := victim.Kill(); err != nil {
		return 0, 0, err
	}
	inZone := func(target string) bool { return isEngine(target) && target[:len(target)-2] == "engine-"+zones[1] }
	grantless = longestPause(ctx, fleet, inZone, time.Now().Add(takeoverSpan))
	stopLoad()
	callers.Wait()
	return overAdmission(fleet.Stats(ctx)), grantless, nil
}

func equalCalls(ctx context.Context, fleet *rig.Fleet, worker int, tokens float64) {
	for count := 0; ctx.Err() == nil; count++ {
		instances := fleet.Running()
		fleet.Do(ctx, rig.Call{
			Instance: instances[worker%len(instances)],
			Token:    teamName(worker % teams),
			Pool:     enginePool,
			Route:    bulkRoute,
			Deadline: time.Now().Add(callLimit),
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
		return nil, errors.Newf("surge: %d owners of %s", len(answer.Rows), target)
	}
	return fleet.Instance(answer.Rows[0][7]), nil
}

// longestPause returns the longest time in milliseconds in which some targets started nothing.
func longestPause(ctx context.Context, fleet *rig.Fleet, counts func(target string) bool, until time.Time) float64 {
	longest := time.Duration(0)
	last := time.Now()
	before := startedBy(ctx, fleet, counts)
	for time.Now().Before(until) && ctx.Err() == nil {
		coltsfootlink.Sleep(ctx, watchPause)
		now := startedBy(ctx, fleet, counts)
		if now > before {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		before = now
	}
	return float64(max(longest, time.Since(last))) / float64(time.Millisecond)
}

func overAdmission(stats []standin.Stats) float64 {
	most := 0.0
	for _, target := range stats {
		most = max(most, target.OverAdmission)
	}
	return most
}
