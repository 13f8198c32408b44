package main

import (
	"context"
	"fmt"
	"math"
	"time"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

const (
	// warmSpan is how long the load runs before figures are taken.
	warmSpan = 3 * time.Second
	// killedInstance is the place of the instance that dies.
	killedInstance = 1
	// returnSamples is the samples until the callers of a killed instance have come again.
	returnSamples = 2
	// settleSpan is how long a new fleet is left alone.
	settleSpan = 2 * time.Second
	// samplePause is the time between two looks at the targets.
	samplePause = 250 * time.Millisecond
	// latencyCalls is the number of calls that the added latency is taken from.
	latencyCalls = 300
	// maxAddedMillis, minUtilisation and maxControlBytes are the users' targets.
	maxAddedMillis  = 2
	minUtilisation  = 0.95
	maxControlBytes = 3000
	// targetRate is the requests that a node answers in a second at the users' target: 6,200 on 320 nodes.
	targetRate = 6200.0 / 320
	// idleSpan is how long an idle fleet is measured.
	idleSpan = time.Second
	// cutBound is the most answers that the killed instance and the crashed target can have been streaming.
	cutBound = engineSlots + largeWorkers
)

// sample is what the targets had seen at a time.
type sample struct {
	at    time.Time
	stats []standin.Stats
}

// outcome is what one run of the surge has shown.
type outcome struct {
	samples []sample
	// faultAt is the number of samples before the faults.
	faultAt int
	faults  faults
	// controlBytes is what an instance sends for control in a second, and controlCores the processor time of all.
	controlBytes float64
	// idleBytes is the same without load, and rate the requests that an instance answers in a second.
	idleBytes float64
	rate      float64
	added     float64
}

// fairness measures the surge under the policy and under both baselines.
func (measuring *bench) fairness(ctx context.Context) ([]measure, error) {
	span := 9 * time.Second
	baseline := 4 * time.Second
	if !measuring.short {
		span, baseline = 40*time.Second, 15*time.Second
	}
	chosen, err := measuring.surge(ctx, settings.Policy{Order: settings.LeastService, Placement: settings.OwnerGrants}, span, true)
	if err != nil {
		return nil, err
	}
	if measuring.chosenOnly {
		return chosen.measures(), nil
	}
	firstCome, err := measuring.surge(ctx, settings.Policy{Order: settings.FirstCome, Placement: settings.OwnerGrants}, baseline, false)
	if err != nil {
		return nil, err
	}
	fixedSplit, err := measuring.surge(ctx, settings.Policy{Order: settings.LeastService, Placement: settings.FixedSplit}, baseline, false)
	if err != nil {
		return nil, err
	}
	return append(chosen.measures(),
		atMost("fairness-gap-first-come", firstCome.gapBeforeFaults(), gapBound()),
		atLeast("utilisation-fixed-split", fixedSplit.utilisation(), minUtilisation),
	), nil
}

// measures returns the figures of one run.
func (seen *outcome) measures() []measure {
	return []measure{
		atMost("fairness-gap", seen.gap(), gapBound()+ownerLoss()),
		atMost("fairness-gap-before-faults", seen.gapBeforeFaults(), gapBound()),
		atLeast("utilisation", seen.utilisation(), minUtilisation),
		atMost("over-admission", seen.overAdmission(), 1),
		atMost("doubled", float64(seen.faults.doubled), 0),
		atMost("lost", float64(seen.faults.lost), 0),
		atMost("cut", float64(seen.faults.cut), cutBound),
		atMost("crossed", float64(seen.faults.crossed), 0),
		atMost("truncated", float64(seen.faults.truncated), 0),
		atMost("wrong-not-run", float64(seen.faults.wrongNotRun), 0),
		atMost("control-bytes-per-second", seen.controlBytesAt(targetRate), maxControlBytes),
		atMost("control-bytes-per-second-at-peak", seen.controlBytes, maxControlBytes),
		atMost("added-latency-p99-ms", seen.added, maxAddedMillis),
	}
}

// gapBound returns the largest fairness gap, in multiples of the largest cost: one request between the
// counters, the requests of both teams in flight whose costs are not known, and what the owners of the
// other zones have not yet said of their counters.
func gapBound() float64 {
	slots := float64(len(zones) * enginesPerZone * engineSlots)
	share := slots / totalWeight()
	return 1 + 2*share + unsentRequests*float64(len(zones)-1)
}

// ownerLoss returns what the death of an owner adds to the gap: the costs of the requests in flight on its
// shard that nobody learns, and what it had not yet said of its counters, for both teams.
func ownerLoss() float64 {
	slots := float64(enginesPerZone * engineSlots)
	return 2*slots/totalWeight() + 2*unsentRequests
}

// surge runs the load against one fleet; with faults, an instance dies and a target turns cold.
func (measuring *bench) surge(ctx context.Context, policy settings.Policy, span time.Duration, withFaults bool) (outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := measuring.plan(policy, fleetInstances)
	if err != nil {
		return outcome{}, err
	}
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return outcome{}, err
	}
	var seen outcome
	if withFaults {
		coltsfootlink.Sleep(ctx, settleSpan)
		seen.added = addedLatency(ctx, fleet)
		seen.idleBytes = measuring.controlRate(ctx, fleet, idleSpan)
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	running := startLoad(loadContext, fleet, measuring.seed)
	coltsfootlink.Sleep(ctx, warmSpan)
	started := time.Now()
	before := measuring.controlBytes(ctx, fleet)
	seen.watch(ctx, fleet, started.Add(span*2/3))
	perInstance := time.Since(started).Seconds() * float64(len(fleet.Instances))
	seen.controlBytes = (measuring.controlBytes(ctx, fleet) - before) / perInstance
	seen.rate = float64(seen.started()) / perInstance
	seen.faultAt = len(seen.samples)
	killed := ""
	if withFaults {
		killed = fleet.Instances[killedInstance].Name
		if err := measuring.breakFleet(ctx, fleet); err != nil {
			return seen, err
		}
		seen.watch(ctx, fleet, started.Add(span))
	}
	stopLoad()
	records := running.wait()
	seen.faults = countFaults(records, fleet.Stats(ctx), killed)
	kinds := make(map[string]int64)
	for _, instance := range fleet.Running() {
		if figures, err := fleet.Metrics(ctx, instance); err == nil {
			for kind, size := range figures.KindBytes {
				kinds[kind] += size
			}
		}
	}
	fmt.Fprintf(messages, "surge: bytes by kind: %v\n", kinds)
	fmt.Fprintf(messages, "surge: %s, %s: %d answers, %d refusals\n", policy.Order, policy.Placement, seen.faults.answers, seen.faults.refusals)
	return seen, nil
}

// breakFleet kills an instance and restarts a target without warning.
func (measuring *bench) breakFleet(ctx context.Context, fleet *rig.Fleet) error {
	if err := fleet.Instances[killedInstance].Kill(); err != nil {
		return err
	}
	return fleet.SetFault(ctx, "engine-"+zones[0]+"-1", standin.Fault{Crash: true, DownMillis: 300})
}

// controlBytes returns the bytes that the running instances have sent for control.
func (measuring *bench) controlBytes(ctx context.Context, fleet *rig.Fleet) float64 {
	total := 0.0
	for _, instance := range fleet.Running() {
		figures, err := fleet.Metrics(ctx, instance)
		if err != nil {
			return math.NaN()
		}
		total += float64(figures.BytesSent)
	}
	return total
}

// controlRate returns what an instance sends for control in a second, over a span.
func (measuring *bench) controlRate(ctx context.Context, fleet *rig.Fleet, span time.Duration) float64 {
	started := time.Now()
	before := measuring.controlBytes(ctx, fleet)
	coltsfootlink.Sleep(ctx, span)
	sent := measuring.controlBytes(ctx, fleet) - before
	return sent / time.Since(started).Seconds() / float64(len(fleet.Instances))
}

// controlBytesAt returns what an instance sends for control when it answers that many requests a second.
func (seen *outcome) controlBytesAt(rate float64) float64 {
	return seen.idleBytes + (seen.controlBytes-seen.idleBytes)/seen.rate*rate
}

// started returns the requests that targets have begun between the first and the last sample.
func (seen *outcome) started() int {
	count := 0
	for _, target := range seen.samples[len(seen.samples)-1].stats {
		count += target.Started
	}
	for _, target := range seen.samples[0].stats {
		count -= target.Started
	}
	return count
}

// watch samples the targets until a time.
func (seen *outcome) watch(ctx context.Context, fleet *rig.Fleet, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		seen.samples = append(seen.samples, sample{at: time.Now(), stats: fleet.Stats(ctx)})
		coltsfootlink.Sleep(ctx, samplePause)
	}
}

// gap returns the largest difference of weighted service between two teams over any part of the time, in
// multiples of the largest cost. All teams keep more requests outstanding than they can have running.
// The requests of a team whose only instance is killed die with it, so it is not backlogged until its
// callers have come again: for such teams the time is parted there.
func (seen *outcome) gap() float64 {
	back := min(len(seen.samples), seen.faultAt+returnSamples)
	everyone := func(int) bool { return true }
	spared := func(team int) bool { return !onKilled(team) }
	return max(
		gapOf(seen.samples[:seen.faultAt], everyone),
		gapOf(seen.samples[back:], everyone),
		gapOf(seen.samples, spared),
	)
}

// gapBeforeFaults returns the gap between all teams before the faults.
func (seen *outcome) gapBeforeFaults() float64 {
	return gapOf(seen.samples[:seen.faultAt], func(int) bool { return true })
}

// gapOf returns the gap between some teams over some samples.
func gapOf(samples []sample, counts func(team int) bool) float64 {
	largest := 0.0
	for left := range teams {
		for right := range left {
			if !counts(left) || !counts(right) {
				continue
			}
			lowest, highest := math.Inf(1), math.Inf(-1)
			for _, taken := range samples {
				if len(taken.stats) < len(zones)*(enginesPerZone+plainsPerZone) {
					// A target that is down does not answer; its counts come with a later sample.
					continue
				}
				difference := taken.service(left)/teamWeight(left) - taken.service(right)/teamWeight(right)
				lowest, highest = min(lowest, difference), max(highest, difference)
			}
			largest = max(largest, highest-lowest)
		}
	}
	return largest / maxCostTokens
}

// service returns what the engines have served to a team.
func (taken sample) service(team int) float64 {
	total := 0.0
	for _, target := range taken.stats {
		if isEngine(target.Target) {
			total += target.Service[teamName(team)]
		}
	}
	return total
}

// utilisation returns the busy share of the engines' capacity before the faults.
func (seen *outcome) utilisation() float64 {
	if seen.faultAt < 2 {
		return math.NaN()
	}
	first, last := seen.samples[0], seen.samples[seen.faultAt-1]
	return (last.busy() - first.busy()) / (last.capacity() - first.capacity())
}

func (taken sample) busy() float64 {
	total := 0.0
	for _, target := range taken.stats {
		if isEngine(target.Target) {
			total += target.BusySeconds
		}
	}
	return total
}

func (taken sample) capacity() float64 {
	total := 0.0
	for _, target := range taken.stats {
		if isEngine(target.Target) {
			total += target.CapacitySeconds
		}
	}
	return total
}

// overAdmission returns the most requests on a target, over what it could bear.
func (seen *outcome) overAdmission() float64 {
	most := 0.0
	for _, taken := range seen.samples {
		most = max(most, overAdmission(taken.stats))
	}
	return most
}

func isEngine(target string) bool { return len(target) > 6 && target[:6] == "engine" }

// addedLatency returns the difference of the 99th percentiles of calls over the fleet and past it, unloaded.
func addedLatency(ctx context.Context, fleet *rig.Fleet) float64 {
	var direct, routed []time.Duration
	instance := fleet.InZone(zones[0])[0]
	for count := range latencyCalls {
		call := rig.Call{
			Instance: instance,
			Token:    teamName(0),
			Pool:     plainPool,
			Route:    repeatableRoute,
			Work:     standin.Work{Serial: fmt.Sprintf("l-%d", count), Team: teamName(0)},
		}
		direct = append(direct, fleet.DoDirect(ctx, fleet.Target("plain-"+zones[0]+"-1"), call).Took)
		routed = append(routed, fleet.Do(ctx, call).Took)
	}
	fmt.Fprintf(messages, "surge: added latency p50 %.2f ms\n", quantile(routed, 0.5)-quantile(direct, 0.5))
	return quantile(routed, 0.99) - quantile(direct, 0.99)
}
