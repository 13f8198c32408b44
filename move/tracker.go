package move

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

const (
	// The new version gets initialShare instead of the schedule's first share for its first initialSamples requests;
	// otherwise pools with little traffic would send it too few requests to judge it.
	initialSamples = 30
	initialShare   = 0.1
	// growthSamples is the number of requests on the new version that have to end before its share grows.
	growthSamples = 8
	// The new version may have congestionMultiple times its share of the baseline of running requests, plus
	// congestionSlack. More of them are a sign that requests hang, which would otherwise show only when they end.
	// runningWeight is the weight of a new sample in the moving average of running requests.
	congestionMultiple = 2.5
	congestionSlack    = 10
	runningWeight      = 0.2
	// reportTTL is how long an instance's report of its running requests is valid.
	reportTTL = time.Second
	// settleDuration is the least time at the full share before a move is done, so that all instances have received the
	// announcement of it.
	settleDuration = time.Second
	// recordMargin is how long before its deadline the outcome of a move is decided, to leave time to record it.
	recordMargin = 800 * time.Millisecond
)

// phase is an entry of a move's schedule: a healthy new version gets the share of the traffic once the fraction from of the
// move's time has passed.
type phase struct {
	from, share float64
}

// schedule keeps the traffic of a version that turns bad late below a tenth of the move's total: the phases before the
// last one add up to 0.074 of it.
var schedule = []phase{{0, 0.04}, {0.6, 0.15}, {0.7, 0.35}, {0.8, 1}}

// oldVersion and newVersion stand in for the real versions in the tracker's rollout; all versions other than the new one
// count as old.
const (
	oldVersion coltsfootlink.Version = "old"
	newVersion coltsfootlink.Version = "new"
)

// report is an instance's newest report of the number of requests it has running on the new version and on old ones.
type report struct {
	runningNew, runningOld int
	validUntil             time.Time
}

// Tracker follows one pool's move on its coordinator: it decides the share of the new version and the outcome of the move
// from the requests that all instances report. It is immutable.
type Tracker struct {
	move    coltsfootlink.Move
	rollout coltsfootlink.Rollout
	reports *immutable.Map[coltsfootlink.InstanceName, report]
	// baselineRunning is the moving average of the number of requests running on all versions, taken during the first
	// phase.
	baselineRunning float64
	// ended is the number of requests on the new version that have ended.
	ended int
	// fullSince is when the share of the new version reached 1; zero while it is lower.
	fullSince time.Time
}

// NewTracker returns the tracker of a newly ordered move.
func NewTracker(order coltsfootlink.Move) Tracker {
	versions := coltsfootlink.Move{Pool: order.Pool, From: oldVersion, To: newVersion, State: coltsfootlink.MoveRunning}
	return Tracker{
		move:    order,
		rollout: NewRollout(versions),
		reports: immutable.NewMap[coltsfootlink.InstanceName, report](nil),
	}
}

// Move returns the move and its state.
func (tracker Tracker) Move() coltsfootlink.Move { return tracker.move }

// WithOrder returns the tracker of a move whose order was read again at another position after a restore of the store.
func (tracker Tracker) WithOrder(shown coltsfootlink.Move) Tracker {
	tracker.move = tracker.move.WithOrder(shown)
	return tracker
}

// WithMove takes over what another coordinator has announced or recorded: the earlier deadline, and the outcome if there
// is one.
func (tracker Tracker) WithMove(known coltsfootlink.Move) Tracker {
	if known.FinishBy.Before(tracker.move.FinishBy) && !known.FinishBy.IsZero() {
		tracker.move.OrderedAt, tracker.move.FinishBy = known.OrderedAt, known.FinishBy
	}
	if known.State != coltsfootlink.MoveRunning {
		tracker.move = tracker.move.WithState(known.State, known.Reason)
	}
	return tracker
}

// WithVersions returns the tracker of a move with what is known of the other versions.
func (tracker Tracker) WithVersions(known coltsfootlink.Move) Tracker {
	tracker.move = tracker.move.WithVersions(known.Serving, known.Rejected)
	return tracker
}

// WithUsages adds an instance's report: the results of ended requests and the number of running ones.
func (tracker Tracker) WithUsages(now time.Time, from coltsfootlink.InstanceName, usages coltsfootlink.MoveUsages) Tracker {
	for _, usage := range usages.Usages {
		version := oldVersion
		if usage.OnNewVersion {
			version = newVersion
			tracker.ended++
		}
		result := coltsfootlink.Succeeded
		if usage.Failed {
			result = coltsfootlink.Failed
		}
		tracker.rollout = tracker.rollout.WithUsage(version, coltsfootlink.Usage{
			Result: result, FirstByteMillis: usage.Millis, ExpectedMillis: usage.ExpectedMillis, Route: usage.Route,
		})
	}
	tracker.reports = tracker.reports.Set(from, report{runningNew: usages.RunningNew, runningOld: usages.RunningOld, validUntil: now.Add(reportTTL)})
	return tracker
}

// Share returns the share of the traffic that goes to the new version now.
func (tracker Tracker) Share(now time.Time) float64 {
	switch {
	case tracker.move.State == coltsfootlink.MoveDone:
		return 1
	case tracker.move.State == coltsfootlink.MoveRolledBack, tracker.rollout.Fault() != "":
		return 0
	}
	runningNew, _ := tracker.running(now)
	minShare := schedule[0].share
	if tracker.ended+runningNew < initialSamples {
		minShare = initialShare
	}
	reached := tracker.phaseAt(now).share
	if tracker.ended < growthSamples || tracker.congested(now, reached) {
		return minShare
	}
	return max(minShare, reached)
}

// congested reports whether the new version has far more requests running than the given share of the baseline.
func (tracker Tracker) congested(now time.Time, share float64) bool {
	runningNew, _ := tracker.running(now)
	return float64(runningNew) > congestionMultiple*share*tracker.baselineRunning+congestionSlack
}

// running returns the number of requests that run on the new version and on old ones, summed over the reports that are
// still valid.
func (tracker Tracker) running(now time.Time) (runningNew, runningOld int) {
	for iterator := tracker.reports.Iterator(); !iterator.Done(); {
		if _, report, _ := iterator.Next(); now.Before(report.validUntil) {
			runningNew += report.runningNew
			runningOld += report.runningOld
		}
	}
	return runningNew, runningOld
}

// phaseAt returns the phase of the schedule that the move is in.
func (tracker Tracker) phaseAt(now time.Time) phase {
	elapsed := float64(now.Sub(tracker.move.OrderedAt)) / float64(max(1, tracker.move.FinishBy.Sub(tracker.move.OrderedAt)))
	reached := schedule[0]
	for _, next := range schedule {
		if elapsed >= next.from {
			reached = next
		}
	}
	return reached
}

// WithTime updates the baseline and decides the outcome of the move once it is known: done if no fault has shown, rolled
// back otherwise. live are the instances that are live now.
func (tracker Tracker) WithTime(now time.Time, live []coltsfootlink.InstanceName) Tracker {
	if tracker.move.State != coltsfootlink.MoveRunning {
		return tracker
	}
	if tracker.phaseAt(now) == schedule[0] {
		// The new version gets little traffic in the first phase, so the running requests show the baseline.
		runningNew, runningOld := tracker.running(now)
		tracker.baselineRunning += runningWeight * (float64(runningNew+runningOld) - tracker.baselineRunning)
	}
	if tracker.Share(now) < 1 {
		tracker.fullSince = time.Time{}
	} else if tracker.fullSince.IsZero() {
		tracker.fullSince = now
	}
	settled := !tracker.fullSince.IsZero() && !now.Before(tracker.fullSince.Add(settleDuration)) && tracker.oldDrained(now, live) && !tracker.rollout.Doubtful()
	due := !now.Before(tracker.move.FinishBy.Add(-recordMargin))
	switch fault := tracker.rollout.Fault(); {
	case fault != "":
		tracker.move = tracker.move.WithState(coltsfootlink.MoveRolledBack, fault)
	case settled:
		tracker.move = tracker.move.WithState(coltsfootlink.MoveDone, "all requests have moved over")
	case due && tracker.rollout.Healthy() && !tracker.rollout.Doubtful() && !tracker.congested(now, 1):
		tracker.move = tracker.move.WithState(coltsfootlink.MoveDone, "no fault until its time")
	case due:
		tracker.move = tracker.move.WithState(coltsfootlink.MoveRolledBack, "not shown to be good by its time")
	}
	return tracker
}

// oldDrained reports whether all live instances have a valid report without requests running on an old version.
func (tracker Tracker) oldDrained(now time.Time, live []coltsfootlink.InstanceName) bool {
	for _, name := range live {
		report, found := tracker.reports.Get(name)
		if !found || report.runningOld > 0 || now.After(report.validUntil) {
			return false
		}
	}
	return true
}
