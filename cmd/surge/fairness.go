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
	// warmUpDuration is how long the load runs before anything is measured.
	warmUpDuration = 3 * time.Second
	// killedInstance is the index of the instance that is killed.
	killedInstance = 1
	// recoverySamples is the number of samples after the faults until the callers of the killed instance have a backlog
	// again, on other instances.
	recoverySamples = 2
	// settleDuration is how long a new fleet, or a load that has just been started, is given to settle. It is also the
	// timeout of non-repeatable requests.
	settleDuration = 2 * time.Second
	// sampleInterval is the time between two samples of the targets' statistics.
	sampleInterval = 250 * time.Millisecond
	// latencyCalls is the number of requests over which the added latency is measured.
	latencyCalls = 300
	// maxAddedMillis (added latency at the 99th percentile), minUtilisation (of the engines) and maxControlBytes (sent
	// per second by each instance) are the users' performance goals.
	maxAddedMillis  = 2
	minUtilisation  = 0.95
	maxControlBytes = 3000
	// targetRequestsPerSecond is the rate of each instance in the users' performance goal of 6,200 requests per second on
	// 320 instances.
	targetRequestsPerSecond = 6200.0 / 320
	// idleDuration is how long the fleet is measured without load.
	idleDuration = time.Second
	// maxAborted is the maximum number of answers that the killed instance and the crashed target can have been
	// streaming.
	maxAborted = engineSlots + largeWorkers
)

// statsSample holds the statistics of all targets that answered at one time.
type statsSample struct {
	at    time.Time
	stats []standin.Stats
}

// observation holds what was measured in one run of the load.
type observation struct {
	samples []statsSample
	// faultIndex is the number of samples taken before the faults.
	faultIndex int
	counts     callCounts
	// controlBytesPerSecond is the mean rate at which an instance sends control messages under load.
	controlBytesPerSecond float64
	// idleBytesPerSecond is the same rate without load, and requestsPerSecond the mean rate of requests that targets
	// start, per instance.
	idleBytesPerSecond float64
	requestsPerSecond  float64
	addedMillis        float64
}

// fairness measures the load with faults under the chosen policy, and without faults under two baselines: first come,
// first served, and a fixed split of each target among the instances.
func (bench *benchmark) fairness(ctx context.Context) ([]measure, error) {
	duration := 9 * time.Second
	baselineDuration := 4 * time.Second
	if !bench.short {
		duration, baselineDuration = 40*time.Second, 15*time.Second
	}
	chosen, err := bench.runLoad(ctx, settings.Policy{Order: settings.LeastService, Placement: settings.OwnerGrants}, duration, true)
	if err != nil {
		return nil, err
	}
	if bench.chosenOnly {
		return chosen.measures(), nil
	}
	firstCome, err := bench.runLoad(ctx, settings.Policy{Order: settings.FirstCome, Placement: settings.OwnerGrants}, baselineDuration, false)
	if err != nil {
		return nil, err
	}
	fixedSplit, err := bench.runLoad(ctx, settings.Policy{Order: settings.LeastService, Placement: settings.FixedSplit}, baselineDuration, false)
	if err != nil {
		return nil, err
	}
	return append(chosen.measures(),
		atMost("fairness-gap-first-come", firstCome.gapBeforeFaults(), maxFairnessGap()),
		atLeast("utilisation-fixed-split", fixedSplit.utilisation(), minUtilisation),
	), nil
}

// measures returns the measures of one run with their targets.
func (observed *observation) measures() []measure {
	return []measure{
		atMost("fairness-gap", observed.gap(), maxFairnessGap()+ownerFailureGap()),
		atMost("fairness-gap-before-faults", observed.gapBeforeFaults(), maxFairnessGap()),
		atLeast("utilisation", observed.utilisation(), minUtilisation),
		atMost("over-admission", observed.overAdmission(), 1),
		atMost("doubled", float64(observed.counts.duplicated), 0),
		atMost("lost", float64(observed.counts.lost), 0),
		atMost("cut", float64(observed.counts.aborted), maxAborted),
		atMost("crossed", float64(observed.counts.crossed), 0),
		atMost("truncated", float64(observed.counts.truncated), 0),
		atMost("wrong-not-run", float64(observed.counts.wrongNotRun), 0),
		atMost("control-bytes-per-second", observed.controlBytesAt(targetRequestsPerSecond), maxControlBytes),
		atMost("control-bytes-per-second-at-peak", observed.controlBytesPerSecond, maxControlBytes),
		atMost("added-latency-p99-ms", observed.addedMillis, maxAddedMillis),
	}
}

// maxFairnessGap returns the bound on the fairness gap, in multiples of the largest cost. It is the sum of one request
// by which the counters of two teams may differ, the requests of both teams in flight, whose costs are not known yet,
// and the service that the owners of the other zones have not yet reported.
func maxFairnessGap() float64 {
	slots := float64(len(zones) * enginesPerZone * engineSlots)
	share := slots / totalWeight()
	return 1 + 2*share + unreportedRequests*float64(len(zones)-1)
}

// ownerFailureGap returns what the failure of an owner adds to the bound, for both teams: the costs of the requests in
// flight on its shard, which are never counted, and the service that it had not yet reported.
func ownerFailureGap() float64 {
	slots := float64(enginesPerZone * engineSlots)
	return 2*slots/totalWeight() + 2*unreportedRequests
}

// runLoad runs the load on a new fleet for a duration. With faults, it first measures the added latency and the idle
// fleet; after two thirds of the duration it kills an instance and crashes a target, which starts again cold. Control
// traffic is measured before the faults.
func (bench *benchmark) runLoad(ctx context.Context, policy settings.Policy, duration time.Duration, withFaults bool) (observation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan, err := bench.fleetPlan(policy, fleetInstances)
	if err != nil {
		return observation{}, err
	}
	fleet, err := rig.Start(ctx, plan)
	if err != nil {
		return observation{}, err
	}
	var observed observation
	if withFaults {
		coltsfootlink.Sleep(ctx, settleDuration)
		observed.addedMillis = addedLatency(ctx, fleet)
		observed.idleBytesPerSecond = bench.controlBytesPerSecond(ctx, fleet, idleDuration)
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	load := startLoad(loadContext, fleet, bench.seed)
	coltsfootlink.Sleep(ctx, warmUpDuration)
	started := time.Now()
	before := bench.controlBytesSent(ctx, fleet)
	observed.sampleUntil(ctx, fleet, started.Add(duration*2/3))
	instanceSeconds := time.Since(started).Seconds() * float64(len(fleet.Instances))
	observed.controlBytesPerSecond = (bench.controlBytesSent(ctx, fleet) - before) / instanceSeconds
	observed.requestsPerSecond = float64(observed.started()) / instanceSeconds
	observed.faultIndex = len(observed.samples)
	killed := ""
	if withFaults {
		killed = fleet.Instances[killedInstance].Name
		if err := bench.injectFaults(ctx, fleet); err != nil {
			return observed, err
		}
		observed.sampleUntil(ctx, fleet, started.Add(duration))
	}
	stopLoad()
	records := load.wait()
	observed.counts = countOutcomes(records, fleet.Stats(ctx), killed)
	kinds := make(map[string]int64)
	for _, instance := range fleet.Running() {
		if instanceMetrics, err := fleet.Metrics(ctx, instance); err == nil {
			for kind, size := range instanceMetrics.KindBytes {
				kinds[kind] += size
			}
		}
	}
	fmt.Fprintf(diagnostics, "surge: control bytes sent by kind of message: %v\n", kinds)
	fmt.Fprintf(diagnostics, "surge: order %s, placement %s: %d complete answers, %d refusals\n", policy.Order, policy.Placement, observed.counts.answers, observed.counts.refusals)
	return observed, nil
}

// injectFaults kills an instance, and crashes a target that starts again after 300 ms.
func (bench *benchmark) injectFaults(ctx context.Context, fleet *rig.Fleet) error {
	if err := fleet.Instances[killedInstance].Kill(); err != nil {
		return err
	}
	return fleet.SetFault(ctx, "engine-"+zones[0]+"-1", standin.Fault{Crash: true, DownMillis: 300})
}

// controlBytesSent returns the number of bytes of control messages that the running instances have sent, and NaN if one
// of them does not answer.
func (bench *benchmark) controlBytesSent(ctx context.Context, fleet *rig.Fleet) float64 {
	total := 0.0
	for _, instance := range fleet.Running() {
		instanceMetrics, err := fleet.Metrics(ctx, instance)
		if err != nil {
			return math.NaN()
		}
		total += float64(instanceMetrics.BytesSent)
	}
	return total
}

// controlBytesPerSecond returns the mean rate at which an instance sends control messages, measured over a duration.
func (bench *benchmark) controlBytesPerSecond(ctx context.Context, fleet *rig.Fleet, duration time.Duration) float64 {
	started := time.Now()
	before := bench.controlBytesSent(ctx, fleet)
	coltsfootlink.Sleep(ctx, duration)
	sent := bench.controlBytesSent(ctx, fleet) - before
	return sent / time.Since(started).Seconds() / float64(len(fleet.Instances))
}

// controlBytesAt interpolates the control bytes per second of an instance at a rate of requests per second, between the
// idle and the loaded fleet.
func (observed *observation) controlBytesAt(rate float64) float64 {
	return observed.idleBytesPerSecond + (observed.controlBytesPerSecond-observed.idleBytesPerSecond)/observed.requestsPerSecond*rate
}

// started returns the number of requests that the targets started between the first and the last sample.
func (observed *observation) started() int {
	count := 0
	for _, target := range observed.samples[len(observed.samples)-1].stats {
		count += target.Started
	}
	for _, target := range observed.samples[0].stats {
		count -= target.Started
	}
	return count
}

// sampleUntil samples the targets' statistics at intervals until a time.
func (observed *observation) sampleUntil(ctx context.Context, fleet *rig.Fleet, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		observed.samples = append(observed.samples, statsSample{at: time.Now(), stats: fleet.Stats(ctx)})
		coltsfootlink.Sleep(ctx, sampleInterval)
	}
}

// gap returns the largest difference of weighted service between two teams over any interval, in multiples of the
// largest cost. All teams are kept backlogged: their callers have more requests in flight than can run. The exception
// is a team whose only instance is killed: its requests are lost with the instance, and it has no backlog until its
// callers have retried on another one. Such teams are compared only before the faults, and after recoverySamples.
func (observed *observation) gap() float64 {
	recovered := min(len(observed.samples), observed.faultIndex+recoverySamples)
	allTeams := func(int) bool { return true }
	withoutKilled := func(team int) bool { return !usesOnlyKilledInstance(team) }
	return max(
		fairnessGap(observed.samples[:observed.faultIndex], allTeams),
		fairnessGap(observed.samples[recovered:], allTeams),
		fairnessGap(observed.samples, withoutKilled),
	)
}

// gapBeforeFaults returns the fairness gap between all teams before the faults.
func (observed *observation) gapBeforeFaults() float64 {
	return fairnessGap(observed.samples[:observed.faultIndex], func(int) bool { return true })
}

// fairnessGap returns the gap between the included teams over a series of samples.
func fairnessGap(samples []statsSample, included func(team int) bool) float64 {
	largest := 0.0
	for left := range teams {
		for right := range left {
			if !included(left) || !included(right) {
				continue
			}
			lowest, highest := math.Inf(1), math.Inf(-1)
			for _, sample := range samples {
				if len(sample.stats) < len(zones)*(enginesPerZone+plainTargetsPerZone) {
					// A target is down and its statistics are missing from this sample; a later one includes them.
					continue
				}
				difference := sample.service(left)/teamWeight(left) - sample.service(right)/teamWeight(right)
				lowest, highest = min(lowest, difference), max(highest, difference)
			}
			largest = max(largest, highest-lowest)
		}
	}
	return largest / maxCostTokens
}

// service returns the service that the engines have given to a team, as the sum of its requests' costs.
func (sample statsSample) service(team int) float64 {
	total := 0.0
	for _, target := range sample.stats {
		if isEngine(target.Target) {
			total += target.Service[teamName(team)]
		}
	}
	return total
}

// utilisation returns the fraction of the engines' capacity that was busy before the faults.
func (observed *observation) utilisation() float64 {
	if observed.faultIndex < 2 {
		return math.NaN()
	}
	first, last := observed.samples[0], observed.samples[observed.faultIndex-1]
	return (last.busy() - first.busy()) / (last.capacity() - first.capacity())
}

func (sample statsSample) busy() float64 {
	total := 0.0
	for _, target := range sample.stats {
		if isEngine(target.Target) {
			total += target.BusySeconds
		}
	}
	return total
}

func (sample statsSample) capacity() float64 {
	total := 0.0
	for _, target := range sample.stats {
		if isEngine(target.Target) {
			total += target.CapacitySeconds
		}
	}
	return total
}

// overAdmission returns the highest ratio of running requests to the capacity of a target.
func (observed *observation) overAdmission() float64 {
	highest := 0.0
	for _, sample := range observed.samples {
		highest = max(highest, overAdmission(sample.stats))
	}
	return highest
}

func isEngine(target string) bool { return len(target) > 6 && target[:6] == "engine" }

// addedLatency returns, in milliseconds, the difference between the 99th percentiles of requests through the fleet and
// of requests straight to a target, without other load.
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
	fmt.Fprintf(diagnostics, "surge: added latency %.2f ms at the median\n", quantile(routed, 0.5)-quantile(direct, 0.5))
	return quantile(routed, 0.99) - quantile(direct, 0.99)
}
