package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

const (
	// dutyCallsPerSecond is the number of duty calls that the control address accepts in a second.
	dutyCallsPerSecond = 50
	dutyLease          = 3 * time.Second
	// usageWindow is the length of a usage window, and usageLateness how long after its end its report is due.
	usageWindow   = time.Second
	usageLateness = 10 * time.Second
	// excuseTimeout is how long after its sender was resumed, or a link was repaired, a call is excused.
	excuseTimeout = 300 * time.Millisecond
	// minControlPhase and maxControlPhase bound how long the control address behaves in one way.
	minControlPhase = time.Second
	maxControlPhase = 5 * time.Second
	// maxControlSlowMillis is the longest delay of an answer.
	maxControlSlowMillis = 4000
)

// dutySettings returns the gateways' settings for the singleton duties.
func dutySettings() string {
	return fmt.Sprintf("names = [%q]\ncalls-per-second = %d\nlease-ms = %d\nwindow-seconds = %g\nlateness-seconds = %g\n",
		platform.UsageReportingDuty, dutyCallsPerSecond, dutyLease.Milliseconds(), usageWindow.Seconds(), usageLateness.Seconds())
}

// controlRepaired reports that the link of an instance to the control address was repaired.
type controlRepaired struct {
	holder string
	at     time.Time
}

// controlFaults is the task that lets the control address lose answers, answer slowly or throttle all calls, and cuts the link of
// an instance to it, for a part of the time each. The plan of faults does not name these, so that the plans of earlier seeds stay the same.
type controlFaults struct {
	control  *standin.Control
	gateways []*rig.Gateway
	random   *rand.Rand
	over     *atomic.Bool
	record   func(any)
}

// Run changes the behaviour until the faults are over or the context ends.
func (faults *controlFaults) Run(ctx context.Context) error {
	for !faults.over.Load() {
		var outage standin.Outage
		switch faults.random.IntN(6) {
		case 0:
			outage.LoseReplies = true
		case 1:
			outage.SlowMillis = faults.random.IntN(maxControlSlowMillis)
		case 2:
			outage.Down = true
		}
		faults.control.SetOutage(outage)
		gateway := faults.gateways[faults.random.IntN(len(faults.gateways))]
		// In most phases no link is cut.
		modes := []rig.Mode{rig.Hold, rig.HoldRequests, rig.HoldAnswers, rig.Abort, rig.Pass, rig.Pass, rig.Pass, rig.Pass, rig.Pass, rig.Pass}
		gateway.ControlProxy.Set(modes[faults.random.IntN(len(modes))])
		if !coltsfootlink.Sleep(ctx, minControlPhase+time.Duration(faults.random.Int64N(int64(maxControlPhase-minControlPhase)))) {
			return nil
		}
		faults.record(controlRepaired{holder: gateway.Name, at: time.Now()})
		gateway.ControlProxy.Set(rig.Pass)
	}
	faults.control.SetOutage(standin.Outage{})
	<-ctx.Done()
	return nil
}

// dutyCalls checks that no usage window is sent with two counts, and that fencing tokens neither fall nor are shared.
func dutyCalls(seen history) []string {
	rules := standin.DutyRules{Lease: dutyLease}
	var found []string
	for _, call := range seen.dutyCalls {
		if call.Answered {
			continue
		}
		var violations []string
		rules, violations = rules.WithCall(call, seen.excused(call))
		found = append(found, violations...)
	}
	return found
}

// excused reports whether a call came right after its sender was resumed or its link was repaired.
func (seen history) excused(call standin.DutyCall) bool {
	for _, repaired := range seen.controlRepairs {
		if since := call.At.Sub(repaired.at); repaired.holder == call.Holder && since >= 0 && since < excuseTimeout {
			return true
		}
	}
	for _, disruption := range seen.disruptions {
		ofSender := disruption.step.Subject == onInstance && fmt.Sprint("gateway-", disruption.step.Index) == call.Holder
		if disruption.step.Kind == frozenKind && ofSender && !disruption.to.IsZero() && call.At.After(disruption.from) && call.At.Sub(disruption.to) < excuseTimeout {
			return true
		}
	}
	return false
}

// usageWindows checks that the usage of each window that ends after the instances have found each other again is reported in
// time.
func usageWindows(seen history) []string {
	if seen.verificationOverAt.IsZero() {
		return nil
	}
	reported := make(map[uint64]bool)
	for _, call := range seen.dutyCalls {
		if call.Answered && call.Usage != nil {
			reported[call.Usage.WindowIndex] = true
		}
	}
	var found []string
	first := seen.faultsOverAt.Add(contactTimeout)
	for end := first.Truncate(usageWindow).Add(usageWindow); end.Add(usageLateness).Before(seen.verificationOverAt); end = end.Add(usageWindow) {
		index := uint64(end.UnixNano())/uint64(usageWindow) - 1
		if !reported[index] && !seen.disrupted(end, end.Add(usageLateness), func(step step) bool { return step.Kind == stallKind }) {
			found = append(found, fmt.Sprintf("window %d, which ended %v after the last fault, was not reported in time", index, end.Sub(seen.faultsOverAt)))
		}
	}
	return found
}
