package move

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// firstSamples is the number of first requests of the new version for which its share may be firstShare, for pools
	// with few requests would show nothing of it otherwise.
	firstSamples = 30
	firstShare   = 0.1
	// enoughSamples have to end before the share grows.
	enoughSamples = 8
	// crowdTimes and crowdSlack tell how many more requests than its share the new version may hold; more of them mean
	// that they hang, which shows before they end. runningWeight is the weight of a new sample of what is usual.
	crowdTimes    = 2.5
	crowdSlack    = 10
	runningWeight = 0.2
	// reportSpan is how long an instance's word on its running requests counts.
	reportSpan = time.Second
	// settleSpan is the least time at the whole share before a move is done, so that all instances have heard of it.
	settleSpan = time.Second
	// recordMargin is how long before its time a move's end is recorded.
	recordMargin = 800 * time.Millisecond
)

// leg is the share of the traffic that a healthy new version gets from a part of the move's time on.
type leg struct {
	from, share float64
}

// legs keep what a version gets that turns bad late below a tenth of all: up to the last one they add up to 0.074.
var legs = []leg{{0, 0.04}, {0.6, 0.15}, {0.7, 0.35}, {0.8, 1}}

// oldVersion and newVersion stand for the versions of a move in its rollout: all others are old.
const (
	oldVersion coltsfootlink.Version = "old"
	newVersion coltsfootlink.Version = "new"
)

// report is how many requests of the new version and of old ones an instance has.
type report struct {
	runningNew, runningOld int
	until                  time.Time
}

// Course is what the coordinator of one pool's move knows; it is immutable.
type Course struct {
	move    coltsfootlink.Move
	rollout coltsfootlink.Rollout
	reports *immutable.Map[coltsfootlink.InstanceName, report]
	// usualRunning is the number of requests that the instances usually have, on targets of any version.
	usualRunning float64
	// ended is the number of requests of the new version that have ended.
	ended int
	// wholeAt is when the new version got all requests; zero before.
	wholeAt time.Time
}

// NewCourse returns the course of a move of which nothing is known but the order.
func NewCourse(order coltsfootlink.Move) Course {
	versions := coltsfootlink.Move{Pool: order.Pool, From: oldVersion, To: newVersion, State: coltsfootlink.MoveRunning}
	return Course{
		move:    order,
		rollout: NewRollout(versions),
		reports: immutable.NewMap[coltsfootlink.InstanceName, report](nil),
	}
}

// Move returns the move and its state.
func (course Course) Move() coltsfootlink.Move { return course.move }

// WithMove goes on from what another coordinator has said or recorded.
func (course Course) WithMove(known coltsfootlink.Move) Course {
	if known.FinishBy.Before(course.move.FinishBy) && !known.FinishBy.IsZero() {
		course.move.OrderedAt, course.move.FinishBy = known.OrderedAt, known.FinishBy
	}
	if known.State != coltsfootlink.MoveRunning {
		course.move = course.move.WithState(known.State, known.Reason)
	}
	return course
}

// WithUsages learns how requests have ended.
func (course Course) WithUsages(now time.Time, from coltsfootlink.InstanceName, usages coltsfootlink.MoveUsages) Course {
	for _, usage := range usages.Usages {
		version := oldVersion
		if usage.OnNewVersion {
			version = newVersion
			course.ended++
		}
		result := coltsfootlink.Succeeded
		if usage.Failed {
			result = coltsfootlink.Failed
		}
		course.rollout = course.rollout.WithUsage(version, coltsfootlink.Usage{Result: result, FirstByteMillis: usage.Millis, Route: usage.Route})
	}
	course.reports = course.reports.Set(from, report{runningNew: usages.RunningNew, runningOld: usages.RunningOld, until: now.Add(reportSpan)})
	return course
}

// Share returns the share of the requests that go to the new version now.
func (course Course) Share(now time.Time) float64 {
	switch {
	case course.move.State == coltsfootlink.MoveDone:
		return 1
	case course.move.State == coltsfootlink.MoveRolledBack, course.rollout.Fault() != "":
		return 0
	}
	runningNew, _ := course.running(now)
	first := legs[0].share
	if course.ended+runningNew < firstSamples {
		first = firstShare
	}
	reached := course.legAt(now).share
	if course.ended < enoughSamples || course.crowded(now, reached) {
		return first
	}
	return max(first, reached)
}

// crowded says that the new version holds many more requests than a share of them.
func (course Course) crowded(now time.Time, share float64) bool {
	runningNew, _ := course.running(now)
	return float64(runningNew) > crowdTimes*share*course.usualRunning+crowdSlack
}

// running is the number of requests that run on targets of the new version and of old ones, as far as instances have
// said.
func (course Course) running(now time.Time) (runningNew, runningOld int) {
	for iterator := course.reports.Iterator(); !iterator.Done(); {
		if _, report, _ := iterator.Next(); now.Before(report.until) {
			runningNew += report.runningNew
			runningOld += report.runningOld
		}
	}
	return runningNew, runningOld
}

// legAt returns the leg that the time has come to.
func (course Course) legAt(now time.Time) leg {
	part := float64(now.Sub(course.move.OrderedAt)) / float64(max(1, course.move.FinishBy.Sub(course.move.OrderedAt)))
	reached := legs[0]
	for _, next := range legs {
		if part >= next.from {
			reached = next
		}
	}
	return reached
}

// WithTime ends the move when it is time, given the live instances.
func (course Course) WithTime(now time.Time, live []coltsfootlink.InstanceName) Course {
	if course.move.State != coltsfootlink.MoveRunning {
		return course
	}
	if course.legAt(now) == legs[0] {
		// While the new version gets little, it is seen what is usual.
		runningNew, runningOld := course.running(now)
		course.usualRunning += runningWeight * (float64(runningNew+runningOld) - course.usualRunning)
	}
	if course.Share(now) < 1 {
		course.wholeAt = time.Time{}
	} else if course.wholeAt.IsZero() {
		course.wholeAt = now
	}
	settled := !course.wholeAt.IsZero() && !now.Before(course.wholeAt.Add(settleSpan)) && course.oldEnded(now, live) && !course.rollout.Doubtful()
	late := !now.Before(course.move.FinishBy.Add(-recordMargin))
	switch fault := course.rollout.Fault(); {
	case fault != "":
		course.move = course.move.WithState(coltsfootlink.MoveRolledBack, fault)
	case settled:
		course.move = course.move.WithState(coltsfootlink.MoveDone, "all requests have moved over")
	case late && course.rollout.Healthy() && !course.rollout.Doubtful() && !course.crowded(now, 1):
		course.move = course.move.WithState(coltsfootlink.MoveDone, "no fault until its time")
	case late:
		course.move = course.move.WithState(coltsfootlink.MoveRolledBack, "not shown to be good by its time")
	}
	return course
}

// oldEnded says that all live instances have said that no request of an old version is left.
func (course Course) oldEnded(now time.Time, live []coltsfootlink.InstanceName) bool {
	for _, name := range live {
		report, found := course.reports.Get(name)
		if !found || report.runningOld > 0 || now.After(report.until) {
			return false
		}
	}
	return true
}
