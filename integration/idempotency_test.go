package integration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

// pickupMillis is how long a non-repeatable request runs on its target.
const pickupMillis = 60

// faultScenario is the fleet and the idempotency key of one test case, with the attempts made so far.
type faultScenario struct {
	fleet *rig.Fleet
	ctx   context.Context
	key   string

	mutex    sync.Mutex
	attempts []attempt
}

// attempt is one call with the scenario's idempotency key.
type attempt struct {
	startedAt time.Time
	result    rig.Result
	// countedAt is when executions was counted: after the end of the call, and after the outcome not-run 3 *
	// pickupMillis later, to include a late execution. executions is how often the key had been executed by then.
	countedAt  time.Time
	executions int
}

// call sends the request to an instance with a timeout and records the attempt.
func (scenario *faultScenario) call(instance int, timeout time.Duration) rig.Result {
	sent := attempt{startedAt: time.Now()}
	call := pickupCall(scenario.fleet.Instances[instance], scenario.key, pickupMillis)
	call.Deadline = sent.startedAt.Add(timeout)
	sent.result = scenario.fleet.Do(scenario.ctx, call)
	if sent.result.Outcome == coltsfootlink.NotRun {
		// A request reported as not-run must not be executed later either: wait long enough to see a late execution.
		time.Sleep(3 * pickupMillis * time.Millisecond)
	}
	sent.executions, sent.countedAt = executions(scenario.ctx, scenario.fleet, scenario.key), time.Now()
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	scenario.attempts = append(scenario.attempts, sent)
	return sent.result
}

// retried reports whether the key was sent again after the executions of an attempt had been counted.
func (scenario *faultScenario) retried(sent attempt) bool {
	return slices.ContainsFunc(scenario.attempts, func(other attempt) bool { return other.startedAt.After(sent.countedAt) })
}

// callAsync does what call does in the background, and delivers the result on the returned channel.
func (scenario *faultScenario) callAsync(instance int, timeout time.Duration) chan rig.Result {
	done := make(chan rig.Result, 1)
	go func() { done <- scenario.call(instance, timeout) }()
	return done
}

func (scenario *faultScenario) setOutage(outage standin.Outage) {
	_ = scenario.fleet.SetOutage(scenario.ctx, outage)
}

// restore restores the store from a copy that was made at the given time.
func (scenario *faultScenario) restore(copied time.Time) {
	_ = scenario.fleet.Restore(scenario.ctx, standin.Restore{AgeMillis: ageSince(copied), AwayMillis: 200})
}

// setFault sets the fault of every plain target.
func (scenario *faultScenario) setFault(fault standin.Fault) {
	for _, zone := range zones {
		_ = scenario.fleet.SetFault(scenario.ctx, "plain-"+zone+"-1", fault)
	}
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 1500 * time.Millisecond
)

// idempotencyCases send a non-repeatable request under faults, once or more with the same key; in their names,
// a claim is the log record with which an instance reserves the key. Each returns the results of all its calls.
var idempotencyCases = map[string]func(*faultScenario) []rig.Result{
	"no fault": func(scenario *faultScenario) []rig.Result {
		return []rig.Result{scenario.call(0, longTimeout)}
	},
	"retried on the same instance after the first call has ended": func(scenario *faultScenario) []rig.Result {
		return []rig.Result{scenario.call(0, longTimeout), scenario.call(0, longTimeout)}
	},
	"retried on another instance after the first call has ended": func(scenario *faultScenario) []rig.Result {
		return []rig.Result{scenario.call(0, longTimeout), scenario.call(4, longTimeout)}
	},
	"sent to three instances concurrently": func(scenario *faultScenario) []rig.Result {
		first, second, third := scenario.callAsync(0, longTimeout), scenario.callAsync(1, longTimeout), scenario.callAsync(2, longTimeout)
		return []rig.Result{<-first, <-second, <-third}
	},
	"sent twice to one instance concurrently": func(scenario *faultScenario) []rig.Result {
		first, second := scenario.callAsync(3, longTimeout), scenario.callAsync(3, longTimeout)
		return []rig.Result{<-first, <-second}
	},
	"retried on another instance while the request runs": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(0, longTimeout)
		time.Sleep(pickupMillis / 2 * time.Millisecond)
		return []rig.Result{scenario.call(5, longTimeout), <-first}
	},
	"log replies are lost, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setOutage(standin.Outage{LoseReplies: true})
		return []rig.Result{scenario.call(0, longTimeout), scenario.call(1, longTimeout)}
	},
	"log replies are lost, and it is sent to two instances concurrently": func(scenario *faultScenario) []rig.Result {
		scenario.setOutage(standin.Outage{LoseReplies: true})
		first, second := scenario.callAsync(0, longTimeout), scenario.callAsync(1, longTimeout)
		return []rig.Result{<-first, <-second}
	},
	"the log is down throughout": func(scenario *faultScenario) []rig.Result {
		scenario.setOutage(standin.Outage{Down: true})
		return []rig.Result{scenario.call(0, shortTimeout), scenario.call(1, shortTimeout)}
	},
	"the log is down at first and comes back during the call": func(scenario *faultScenario) []rig.Result {
		scenario.setOutage(standin.Outage{Down: true})
		first := scenario.callAsync(0, longTimeout)
		time.Sleep(300 * time.Millisecond)
		scenario.setOutage(standin.Outage{})
		return []rig.Result{<-first, scenario.call(1, longTimeout)}
	},
	"the log goes down while the request runs, and it is retried": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(0, longTimeout)
		time.Sleep(pickupMillis * time.Millisecond)
		scenario.setOutage(standin.Outage{Down: true})
		return []rig.Result{<-first, scenario.call(1, shortTimeout)}
	},
	"the call times out while the log is down, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setOutage(standin.Outage{Down: true})
		first := scenario.call(0, shortTimeout)
		scenario.setOutage(standin.Outage{})
		return []rig.Result{first, scenario.call(1, longTimeout)}
	},
	"the call times out while log replies are lost, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setOutage(standin.Outage{LoseReplies: true})
		first := scenario.call(0, 300*time.Millisecond)
		scenario.setOutage(standin.Outage{})
		return []rig.Result{first, scenario.call(2, longTimeout)}
	},
	"the target answers with an error, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setFault(standin.Fault{Fail: 1})
		return []rig.Result{scenario.call(0, longTimeout), scenario.call(1, longTimeout)}
	},
	"the answer is truncated, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setFault(standin.Fault{Cut: 1})
		return []rig.Result{scenario.call(0, longTimeout), scenario.call(1, longTimeout)}
	},
	"the target sends the answer to another request, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setFault(standin.Fault{Cross: 1})
		return []rig.Result{scenario.call(0, longTimeout), scenario.call(1, longTimeout)}
	},
	"the target crashes while the request runs, and it is retried": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(0, longTimeout)
		time.Sleep(pickupMillis * time.Millisecond)
		scenario.setFault(standin.Fault{Crash: true, DownMillis: 50})
		return []rig.Result{<-first, scenario.call(1, longTimeout)}
	},
	"the call times out while all targets are down, and it is retried": func(scenario *faultScenario) []rig.Result {
		scenario.setFault(standin.Fault{Crash: true, DownMillis: 1500})
		return []rig.Result{scenario.call(0, 500*time.Millisecond), scenario.call(1, longTimeout)}
	},
	"the caller disconnects before the claim, and retries": func(scenario *faultScenario) []rig.Result {
		return []rig.Result{scenario.call(0, 5*time.Millisecond), scenario.call(1, longTimeout)}
	},
	"the caller disconnects while the request runs, and retries": func(scenario *faultScenario) []rig.Result {
		return []rig.Result{scenario.call(0, (pickupMillis+20)*time.Millisecond), scenario.call(1, longTimeout)}
	},
	"the instance is killed while the request runs, and it is retried on another": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(6, longTimeout)
		time.Sleep(pickupMillis * time.Millisecond)
		_ = scenario.fleet.Instances[6].Kill()
		results := []rig.Result{<-first, scenario.call(1, longTimeout)}
		_ = scenario.fleet.Instances[6].Start()
		return results
	},
	"the instance is killed after its claim and restarted, and it is retried there": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(7, longTimeout)
		time.Sleep(30 * time.Millisecond)
		_ = scenario.fleet.Instances[7].Kill()
		_ = scenario.fleet.Instances[7].Start()
		_ = scenario.fleet.WaitReady(scenario.ctx)
		return []rig.Result{<-first, scenario.call(7, longTimeout)}
	},
	"the instance is suspended after its claim, and it is retried on another": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(5, longTimeout)
		time.Sleep(20 * time.Millisecond)
		_ = scenario.fleet.Instances[5].Suspend()
		second := scenario.call(1, longTimeout)
		_ = scenario.fleet.Instances[5].Resume()
		return []rig.Result{<-first, second}
	},
	"the store loses the claim after the request has run, and it is retried on another": func(scenario *faultScenario) []rig.Result {
		copied := time.Now()
		first := scenario.call(0, longTimeout)
		scenario.restore(copied)
		return []rig.Result{first, scenario.call(4, longTimeout), scenario.call(0, longTimeout)}
	},
	"the store loses the claim while the request runs, and it is retried on another": func(scenario *faultScenario) []rig.Result {
		copied := time.Now()
		first := scenario.callAsync(0, longTimeout)
		time.Sleep(pickupMillis * time.Millisecond)
		scenario.restore(copied)
		return []rig.Result{scenario.call(1, longTimeout), <-first}
	},
	"the store loses the claim, all instances are killed and restarted, and it is retried": func(scenario *faultScenario) []rig.Result {
		copied := time.Now()
		first := scenario.call(0, longTimeout)
		for _, instance := range scenario.fleet.Instances {
			_ = instance.Kill()
		}
		scenario.restore(copied)
		for _, instance := range scenario.fleet.Instances {
			_ = instance.Start()
		}
		_ = scenario.fleet.WaitReady(scenario.ctx)
		return []rig.Result{first, scenario.call(1, longTimeout)}
	},
	"the zone is partitioned, and it is retried in another zone": func(scenario *faultScenario) []rig.Result {
		scenario.fleet.SetZone("a", rig.Close)
		first := scenario.call(0, shortTimeout)
		second := scenario.call(1, longTimeout)
		scenario.fleet.SetZone("a", rig.Pass)
		return []rig.Result{first, second}
	},
	"the zone is partitioned while the request runs, and it is retried in another zone": func(scenario *faultScenario) []rig.Result {
		first := scenario.callAsync(0, 2*time.Second)
		time.Sleep(pickupMillis / 2 * time.Millisecond)
		scenario.fleet.SetZone("a", rig.Hold)
		second := scenario.call(1, longTimeout)
		scenario.fleet.SetZone("a", rig.Pass)
		return []rig.Result{<-first, second}
	},
}

// TestAtMostOnce checks that a non-repeatable request is executed at most once in every case, and that the outcomes
// reported to its callers are true: not-run means no execution, ran means exactly one.
func TestAtMostOnce(t *testing.T) {
	fleet := startFleet(t)
	for name, run := range idempotencyCases {
		Convey(name, t, func() {
			scenario := &faultScenario{fleet: fleet, ctx: t.Context(), key: newKey()}
			results := run(scenario)
			scenario.setOutage(standin.Outage{})
			scenario.setFault(standin.Fault{})
			waitSettled(t, fleet)
			total := executions(scenario.ctx, fleet, scenario.key)
			So(total, ShouldBeLessThanOrEqualTo, 1)
			So(scenario.attempts, ShouldHaveLength, len(results))
			for _, sent := range scenario.attempts {
				note := fmt.Sprintf("%s: %+v of %+v", name, sent.result, results)
				switch {
				case sent.result.Outcome == coltsfootlink.NotRun && scenario.retried(sent):
					// A later retry may execute the request, so only the executions counted before it have to be zero.
					SoMsg(note, sent.executions, ShouldEqual, 0)
				case sent.result.Outcome == coltsfootlink.NotRun:
					SoMsg(note, total, ShouldEqual, 0)
				case sent.result.Outcome == coltsfootlink.Ran:
					SoMsg(note, total, ShouldEqual, 1)
				}
			}
		})
	}
}

func TestExpiredKeyIsRefused(t *testing.T) {
	Convey("a key older than the maximum key age is refused, and never with the outcome not-run", t, func() {
		fleet := startFleet(t, func(plan *rig.Plan) { plan.Instances, plan.Targets = 3, planTargets(1, 1) })
		key := uuid.MustParse("018bcfe5-6800-7000-8000-000000000000").String()
		result := fleet.Do(t.Context(), pickupCall(fleet.Instances[0], key, pickupMillis))
		So(result.Reason, ShouldEqual, coltsfootlink.ExpiredKey)
		So(result.Outcome, ShouldEqual, coltsfootlink.MayHaveRun)
		So(executions(t.Context(), fleet, key), ShouldEqual, 0)
	})
}

// TestCallsAfterARestore guards against calls that are still refused after a restore of the store, for fear that they have run.
func TestCallsAfterARestore(t *testing.T) {
	Convey("new calls are served by all instances", t, func() {
		fleet := startFleet(t)
		scenario := &faultScenario{fleet: fleet, ctx: t.Context(), key: newKey()}
		copied := time.Now()
		So(scenario.call(0, longTimeout).Outcome, ShouldEqual, coltsfootlink.Ran)
		scenario.restore(copied)
		restoredAt := time.Now()
		eventually(t, "a call is served", func() bool {
			scenario.key = newKey()
			return scenario.call(0, longTimeout).Outcome == coltsfootlink.Ran
		})
		t.Logf("a call was served %v after the restore", time.Since(restoredAt))
		So(time.Since(restoredAt), ShouldBeLessThan, maxConfigurationDelay)
		time.Sleep(time.Second)
		for index := range fleet.Instances {
			for range 4 {
				scenario.key = newKey()
				result := scenario.call(index, longTimeout)
				SoMsg(fmt.Sprintf("%+v", result), result.Outcome, ShouldEqual, coltsfootlink.Ran)
			}
		}
	})
}
