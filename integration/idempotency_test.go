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

// pickupMillis is how long a call that may not be repeated runs.
const pickupMillis = 60

// scene is what a fault case works with.
type scene struct {
	fleet *rig.Fleet
	ctx   context.Context
	key   string

	mutex    sync.Mutex
	attempts []attempt
}

// attempt is one call with the scene's key.
type attempt struct {
	began  time.Time
	result rig.Result
	// counted is when it was counted how often the key had run by then, some time after an answer of not-run.
	counted time.Time
	runs    int
}

// call makes the call on an instance and waits for its end at most for a span.
func (staged *scene) call(instance int, wait time.Duration) rig.Result {
	made := attempt{began: time.Now()}
	call := pickup(staged.fleet.Instances[instance], staged.key, pickupMillis)
	call.Deadline = made.began.Add(wait)
	made.result = staged.fleet.Do(staged.ctx, call)
	if made.result.Outcome == coltsfootlink.NotRun {
		// What was not run must not run later either.
		time.Sleep(3 * pickupMillis * time.Millisecond)
	}
	made.runs, made.counted = runs(staged.ctx, staged.fleet, staged.key), time.Now()
	staged.mutex.Lock()
	defer staged.mutex.Unlock()
	staged.attempts = append(staged.attempts, made)
	return made.result
}

// repeated says whether the key was sent once more after an attempt had been counted.
func (staged *scene) repeated(made attempt) bool {
	return slices.ContainsFunc(staged.attempts, func(other attempt) bool { return other.began.After(made.counted) })
}

// start makes the call in the background.
func (staged *scene) start(instance int, wait time.Duration) chan rig.Result {
	done := make(chan rig.Result, 1)
	go func() { done <- staged.call(instance, wait) }()
	return done
}

func (staged *scene) outage(outage standin.Outage) { _ = staged.fleet.Outage(staged.ctx, outage) }

// fault makes every plain target misbehave.
func (staged *scene) fault(fault standin.Fault) {
	for _, zone := range zones {
		_ = staged.fleet.Fault(staged.ctx, "plain-"+zone+"-1", fault)
	}
}

const (
	long  = 10 * time.Second
	short = 1500 * time.Millisecond
)

// onceCases are ways in which a call that may not be repeated comes into trouble; each returns all results.
var onceCases = map[string]func(*scene) []rig.Result{
	"no fault": func(staged *scene) []rig.Result {
		return []rig.Result{staged.call(0, long)}
	},
	"repeated on the same instance after its end": func(staged *scene) []rig.Result {
		return []rig.Result{staged.call(0, long), staged.call(0, long)}
	},
	"repeated through another instance after its end": func(staged *scene) []rig.Result {
		return []rig.Result{staged.call(0, long), staged.call(4, long)}
	},
	"sent to three instances at once": func(staged *scene) []rig.Result {
		one, two, three := staged.start(0, long), staged.start(1, long), staged.start(2, long)
		return []rig.Result{<-one, <-two, <-three}
	},
	"sent to one instance twice at once": func(staged *scene) []rig.Result {
		one, two := staged.start(3, long), staged.start(3, long)
		return []rig.Result{<-one, <-two}
	},
	"repeated while it runs": func(staged *scene) []rig.Result {
		one := staged.start(0, long)
		time.Sleep(pickupMillis / 2 * time.Millisecond)
		return []rig.Result{staged.call(5, long), <-one}
	},
	"the answers to appends are lost": func(staged *scene) []rig.Result {
		staged.outage(standin.Outage{LoseReplies: true})
		return []rig.Result{staged.call(0, long), staged.call(1, long)}
	},
	"the answers are lost and it is repeated at once": func(staged *scene) []rig.Result {
		staged.outage(standin.Outage{LoseReplies: true})
		one, two := staged.start(0, long), staged.start(1, long)
		return []rig.Result{<-one, <-two}
	},
	"the log is down before and after": func(staged *scene) []rig.Result {
		staged.outage(standin.Outage{Down: true})
		return []rig.Result{staged.call(0, short), staged.call(1, short)}
	},
	"the log is down before and comes back": func(staged *scene) []rig.Result {
		staged.outage(standin.Outage{Down: true})
		one := staged.start(0, long)
		time.Sleep(300 * time.Millisecond)
		staged.outage(standin.Outage{})
		return []rig.Result{<-one, staged.call(1, long)}
	},
	"the log goes down while it runs": func(staged *scene) []rig.Result {
		one := staged.start(0, long)
		time.Sleep(pickupMillis * time.Millisecond)
		staged.outage(standin.Outage{Down: true})
		return []rig.Result{<-one, staged.call(1, short)}
	},
	"the log is down, it is given up, repeated when it is back": func(staged *scene) []rig.Result {
		staged.outage(standin.Outage{Down: true})
		one := staged.call(0, short)
		staged.outage(standin.Outage{})
		return []rig.Result{one, staged.call(1, long)}
	},
	"the replies are lost, it is given up, repeated when they come": func(staged *scene) []rig.Result {
		staged.outage(standin.Outage{LoseReplies: true})
		one := staged.call(0, 300*time.Millisecond)
		staged.outage(standin.Outage{})
		return []rig.Result{one, staged.call(2, long)}
	},
	"the target answers with an error": func(staged *scene) []rig.Result {
		staged.fault(standin.Fault{Fail: 1})
		return []rig.Result{staged.call(0, long), staged.call(1, long)}
	},
	"the answer is cut": func(staged *scene) []rig.Result {
		staged.fault(standin.Fault{Cut: 1})
		return []rig.Result{staged.call(0, long), staged.call(1, long)}
	},
	"another request's answer comes": func(staged *scene) []rig.Result {
		staged.fault(standin.Fault{Cross: 1})
		return []rig.Result{staged.call(0, long), staged.call(1, long)}
	},
	"the target crashes while it runs, and it is repeated": func(staged *scene) []rig.Result {
		one := staged.start(0, long)
		time.Sleep(pickupMillis * time.Millisecond)
		staged.fault(standin.Fault{Crash: true, DownMillis: 50})
		return []rig.Result{<-one, staged.call(1, long)}
	},
	"all targets are down, and it is repeated when they are back": func(staged *scene) []rig.Result {
		staged.fault(standin.Fault{Crash: true, DownMillis: 1500})
		return []rig.Result{staged.call(0, 500*time.Millisecond), staged.call(1, long)}
	},
	"the caller leaves before the claim, and repeats": func(staged *scene) []rig.Result {
		return []rig.Result{staged.call(0, 5*time.Millisecond), staged.call(1, long)}
	},
	"the caller leaves while it runs, and repeats": func(staged *scene) []rig.Result {
		return []rig.Result{staged.call(0, (pickupMillis+20)*time.Millisecond), staged.call(1, long)}
	},
	"the instance dies while it runs, and it is repeated": func(staged *scene) []rig.Result {
		one := staged.start(6, long)
		time.Sleep(pickupMillis * time.Millisecond)
		_ = staged.fleet.Instances[6].Kill()
		results := []rig.Result{<-one, staged.call(1, long)}
		_ = staged.fleet.Instances[6].Start()
		return results
	},
	"the instance dies after its claim, restarts, and it is repeated there": func(staged *scene) []rig.Result {
		one := staged.start(7, long)
		time.Sleep(30 * time.Millisecond)
		_ = staged.fleet.Instances[7].Kill()
		_ = staged.fleet.Instances[7].Start()
		_ = staged.fleet.WaitReady(staged.ctx)
		return []rig.Result{<-one, staged.call(7, long)}
	},
	"the instance stands still after its claim, and it is repeated": func(staged *scene) []rig.Result {
		one := staged.start(5, long)
		time.Sleep(20 * time.Millisecond)
		_ = staged.fleet.Instances[5].Freeze()
		two := staged.call(1, long)
		_ = staged.fleet.Instances[5].Thaw()
		return []rig.Result{<-one, two}
	},
	"its zone is cut off, and it is repeated in another": func(staged *scene) []rig.Result {
		staged.fleet.SetZone("a", rig.Cut)
		one := staged.call(0, short)
		two := staged.call(1, long)
		staged.fleet.SetZone("a", rig.Pass)
		return []rig.Result{one, two}
	},
	"its zone is cut off while it runs, and it is repeated in another": func(staged *scene) []rig.Result {
		one := staged.start(0, 2*time.Second)
		time.Sleep(pickupMillis / 2 * time.Millisecond)
		staged.fleet.SetZone("a", rig.Hold)
		two := staged.call(1, long)
		staged.fleet.SetZone("a", rig.Pass)
		return []rig.Result{<-one, two}
	},
}

func TestAtMostOnce(t *testing.T) {
	fleet := startFleet(t)
	for name, run := range onceCases {
		Convey(name, t, func() {
			staged := &scene{fleet: fleet, ctx: t.Context(), key: newKey()}
			results := run(staged)
			staged.outage(standin.Outage{})
			staged.fault(standin.Fault{})
			settle(t, fleet)
			count := runs(staged.ctx, fleet, staged.key)
			So(count, ShouldBeLessThanOrEqualTo, 1)
			So(staged.attempts, ShouldHaveLength, len(results))
			for _, made := range staged.attempts {
				note := fmt.Sprintf("%s: %+v of %+v", name, made.result, results)
				switch {
				case made.result.Outcome == coltsfootlink.NotRun && staged.repeated(made):
					// A repeat may run what was truly not run before.
					SoMsg(note, made.runs, ShouldEqual, 0)
				case made.result.Outcome == coltsfootlink.NotRun:
					SoMsg(note, count, ShouldEqual, 0)
				case made.result.Outcome == coltsfootlink.Ran:
					SoMsg(note, count, ShouldEqual, 1)
				}
			}
		})
	}
}

func TestOldKeys(t *testing.T) {
	Convey("a key older than is kept is refused, and never as not-run", t, func() {
		fleet := startFleet(t, func(plan *rig.Plan) { plan.Instances, plan.Targets = 3, targets(1, 1) })
		key := uuid.MustParse("018bcfe5-6800-7000-8000-000000000000").String()
		result := fleet.Do(t.Context(), pickup(fleet.Instances[0], key, pickupMillis))
		So(result.Reason, ShouldEqual, coltsfootlink.ExpiredKey)
		So(result.Outcome, ShouldEqual, coltsfootlink.MayHaveRun)
		So(runs(t.Context(), fleet, key), ShouldEqual, 0)
	})
}
