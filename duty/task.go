// Package duty makes the calls to the platform that are the duty of one instance at a time: usage reports and orders of
// targets. Who may make them is decided by package lease, what they say by packages usage and scaling.
package duty

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"coltsfootlink"
	"coltsfootlink/lease"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/ownership"
	"coltsfootlink/usage"
)

const (
	// tickInterval is the time between two runs of the task. Messages wait for it, so that the task does not run for each
	// request of a caller.
	tickInterval = 100 * time.Millisecond
	// sendInterval is the time between two announcements of the holder, and between two reports to it.
	sendInterval = time.Second
	// holderTimeout is how long reports are sent to a holder that announces nothing.
	holderTimeout = 5 * time.Second
	// silenceTimeout is how long no holder announces itself before the second-ranked instance becomes a candidate, too; it is
	// over two announcements. Each further one follows rankDelay later, and maxRank is the rank of the last one.
	silenceTimeout = 2500 * time.Millisecond
	rankDelay      = time.Second
	maxRank        = 2
	// unreachableTimeout is how long a holder has had no answer from the platform when it stops renewing its lease, and
	// yieldTime how long it does so: others then acquire the lease about six seconds later. It is shorter than the time within
	// which reports are due, and long enough for a platform that is away for all instances for a moment.
	unreachableTimeout = 8 * time.Second
	yieldTime          = 10 * time.Second
	// settleDelay is how long after the end of a window a request that began in it may still be counted. A report does not say
	// earlier that the window's counts are final.
	settleDelay = 500 * time.Millisecond
	// maxReportWindows is the largest number of windows in one report, and maxPassedWindows that of recorded windows that the
	// holder passes over at once.
	maxReportWindows = 24
	maxPassedWindows = 720
	// maxSampledLoads is the largest number of load samples that are kept while no holder is known.
	maxSampledLoads = 64
	// maxClockDrift is by how much the wall clock may differ from the steady clock before windows are counted anew. Steps of the
	// wall clock are smaller; a machine that was suspended for longer lags behind the others for good.
	maxClockDrift = 10 * time.Second
	// rateFraction and burstFraction are the fractions of the calls that the platform accepts in a second that are made in the
	// long run and at once. Together they are less than one, so that no second has too many.
	rateFraction  = 0.8
	burstFraction = 0.1
	// storeCallTimeout limits a call of the store. The client's own timeout is shorter, but for a read of several pages.
	storeCallTimeout = 2 * time.Second
	// callTimeout limits a call to the platform; the lease may limit it further.
	callTimeout = 3 * time.Second
	// successors is the number of instances that keep the holder's own counts, in case it dies.
	successors = 2
	// singletonName is the name under which the candidate for the lease is chosen.
	singletonName = "duties"
)

// Task owns the instance's counts of requests, its knowledge of the lease and, while it is the holder, the usage ledger and
// the planner of the number of targets.
type Task struct {
	Self coltsfootlink.InstanceName
	// Holder is the name of this instance in calls to the platform.
	Holder string
	// Usage and Scaling indicate which duties there are.
	Usage, Scaling bool
	// Lease is the time for which a holder may act after a renewal.
	Lease time.Duration
	// Window is the length of a usage window, and Lateness how long after its end its report is due.
	Window, Lateness time.Duration
	// CallsPerSecond is the number of calls that the platform accepts from all instances.
	CallsPerSecond float64
	Store          coltsfootlink.LeaseStore
	Caller         coltsfootlink.DutyCaller
	Clock          coltsfootlink.Clock
	Sender         coltsfootlink.Sender
	Log            zerolog.Logger
	Inbox          *mailbox.Deliveries

	view    coltsfootlink.View
	catalog coltsfootlink.Catalog
	// rank is the position of this instance among those that may hold the lease; negative if it may not.
	rank int
	// incarnation identifies this run of the task: its counts and its leases begin anew.
	incarnation uint64
	// anchor is when this run began. Windows are counted from its wall time with the steady clock, so that a step of the wall
	// clock shifts none.
	anchor  time.Time
	counter usage.Counter
	loads   []coltsfootlink.TargetsLoad
	// announced is the newest announcement of a holder, from whom it came, and when.
	announced   coltsfootlink.DutyHolder
	announcer   coltsfootlink.InstanceName
	announcedAt time.Time
	// reportAt is when the next report is due.
	reportAt time.Time
	// holderReport is the newest report of the announced holder itself, empty if it has sent none to this instance.
	holderReport coltsfootlink.DutyReport
	lease        lease.State
	// records are the records that were read last.
	records coltsfootlink.DutyRecords
	// recordedWindows is what this instance knows of recorded windows, and lost are those that have to be written again with the next
	// lease record.
	recordedWindows usage.Recorded
	lost            []coltsfootlink.UsageWindow
	// storeFailures is the number of calls of the store that have failed since the last one that succeeded.
	storeFailures int
	limiter       *rate.Limiter
	// held is the state of the holder; nil while another instance holds the lease, or none.
	held *holding
}

// Run handles messages and makes the calls that are due until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.recordedWindows = usage.NewRecorded()
	task.reset()
	defer task.drop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		task.run(ctx)
	}
}

func (task *Task) reset() {
	if len(task.view.Members) == 0 {
		task.rank = -1
	}
	now := task.Clock.Now()
	task.anchor, task.incarnation = now, uint64(now.UnixNano())
	task.lease = lease.New(task.Holder, task.incarnation, task.Lease)
	task.counter = usage.NewCounter(task.Window)
	task.limiter = rate.NewLimiter(rate.Limit(task.CallsPerSecond*rateFraction), max(1, int(task.CallsPerSecond*burstFraction)))
	task.announced, task.announcer, task.announcedAt, task.reportAt = coltsfootlink.DutyHolder{}, "", time.Time{}, time.Time{}
	task.records, task.loads, task.held, task.holderReport = coltsfootlink.DutyRecords{}, nil, nil, coltsfootlink.DutyReport{}
	task.lost = nil
}

// run handles the messages that have arrived and does what is due.
func (task *Task) run(ctx context.Context) {
	for _, delivery := range task.Inbox.Drain() {
		task.handle(delivery)
	}
	now := task.Clock.Now()
	task.checkClock(now)
	if task.held != nil {
		task.checkValidity(now)
	}
	task.useStore(ctx, now)
	if task.held != nil && task.held.valid {
		task.yield(now)
		task.announce(now)
		task.plan(now)
		task.call(ctx, now)
	}
	task.report(now)
}

// checkClock begins anew if the wall clock and the steady clock have drifted apart: usage windows are those of true time, which the
// wall clock of a machine that was suspended shows again.
func (task *Task) checkClock(now time.Time) {
	drift := now.Round(0).Sub(task.anchor.Round(0)) - now.Sub(task.anchor)
	if drift.Abs() < maxClockDrift {
		return
	}
	metrics.Count("duty-clock-restarts")
	task.Log.Warn().Int64("drift-ms", drift.Milliseconds()).Msg("duty: wall clock and steady clock differ, as after a suspension; counting usage windows anew")
	task.drop()
	task.reset()
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case coltsfootlink.ViewChanged:
		task.view = message.View
		task.rank = slices.Index(ownership.Ranked(singletonName, task.view.AllCapable()), task.Self)
		task.updatePlanner()
	case coltsfootlink.CatalogChanged:
		task.catalog = message.Catalog
		task.updatePlanner()
	case coltsfootlink.UsageBegun:
		task.counter = task.counter.WithBegun(task.steady(message.At), message.Team)
	case coltsfootlink.LoadsSampled:
		task.loads = append(task.loads, message.Loads...)
		task.loads = task.loads[max(0, len(task.loads)-maxSampledLoads):]
	case coltsfootlink.DutyHolder:
		task.handleAnnouncement(delivery.From, message)
	case coltsfootlink.DutyReport:
		task.handleReport(delivery.From, message)
	case storeResult:
		task.handleStoreResult(message)
	case callResult:
		task.handleCallResult(message)
	case coltsfootlink.Inquiry:
		message.Reply <- task.table()
	}
}

// candidate reports whether this instance should hold the lease: the first-ranked one of the view or, if no holder is heard of,
// the next ones. The first one may be cut off from the store, but not from the other instances.
func (task *Task) candidate(now time.Time) bool {
	if task.rank <= 0 || task.rank > maxRank {
		return task.rank == 0
	}
	silentSince := task.anchor
	if task.announcedAt.After(silentSince) {
		silentSince = task.announcedAt
	}
	return now.Sub(silentSince) >= silenceTimeout+time.Duration(task.rank-1)*rankDelay
}

// steady returns the wall time of a point in time as counted from the anchor with the steady clock.
func (task *Task) steady(at time.Time) time.Time { return task.anchor.Add(at.Sub(task.anchor)) }

// handleAnnouncement takes an announcement unless a later holder is known. The recorded windows are counted no more. A new
// holder gets a report at once.
func (task *Task) handleAnnouncement(from coltsfootlink.InstanceName, message coltsfootlink.DutyHolder) {
	if message.Token < task.announced.Token {
		return
	}
	if message.Token > task.announced.Token {
		task.reportAt = time.Time{}
	}
	if from != task.announcer {
		task.holderReport = coltsfootlink.DutyReport{}
	}
	task.announced, task.announcer, task.announcedAt = message, from, task.Clock.Now()
	task.counter = task.counter.WithoutBefore(message.NextWindow)
}

// report sends this instance's counts and loads to the holder.
func (task *Task) report(now time.Time) {
	if now.Before(task.reportAt) || task.announcer == "" || now.Sub(task.announcedAt) >= holderTimeout {
		return
	}
	task.reportAt = now.Add(sendInterval)
	report := coltsfootlink.DutyReport{Incarnation: task.incarnation}
	if task.Usage {
		report.Windows, report.Reached = task.countedWindows(now)
	}
	if task.Scaling {
		report.Loads, task.loads = task.loads, nil
	}
	task.Sender.Send(task.announcer, report)
	if task.announcer == task.Self {
		task.sendToSuccessors(report)
	}
}

// sendToSuccessors sends the holder's own counts to the instances that would follow it. All others still have theirs if the
// holder dies, but its own would be lost with it.
func (task *Task) sendToSuccessors(report coltsfootlink.DutyReport) {
	report.Loads = nil
	ranked := ownership.Ranked(singletonName, task.view.AllCapable())
	ranked = slices.DeleteFunc(ranked, func(name coltsfootlink.InstanceName) bool { return name == task.Self })
	for _, name := range ranked[:min(successors, len(ranked))] {
		task.Sender.Send(name, report)
	}
}

// countedWindows returns the oldest windows that are not recorded, and the first one whose counts are not final or that is
// left out.
func (task *Task) countedWindows(now time.Time) ([]coltsfootlink.UsageWindow, uint64) {
	now = task.steady(now)
	windows, reached := task.counter.Windows(), task.counter.Index(now.Add(-settleDelay))
	if len(windows) > maxReportWindows {
		reached = min(reached, windows[maxReportWindows].Index)
		windows = windows[:maxReportWindows]
	}
	return windows, reached
}
