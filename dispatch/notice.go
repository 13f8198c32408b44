package dispatch

import (
	"maps"
	"time"

	"coltsfootlink"
)

// handleNotice stores what a target has announced. An announcement that this instance itself has received, which has no
// sender, is passed on to the target's owner.
func (task *Task) handleNotice(from coltsfootlink.InstanceName, announced coltsfootlink.TargetNotice) {
	notices, news := task.notices.WithNotice(task.Clock.Now(), announced)
	if !news {
		return
	}
	task.notices = notices
	task.Log.Info().Str("target", string(announced.Target)).Bool("leaving", announced.Leaving).Time("retry-at", announced.RetryAt).
		Str("from", string(from)).Msg("dispatch: target announced that it takes no requests")
	if target, known := task.catalog.Targets[announced.Target]; known && from == "" {
		task.sendNotice(target, announced)
	}
}

// sendNotice sends the announcement of a target to its owner, unless this owner already has it.
func (task *Task) sendNotice(target coltsfootlink.Target, announced coltsfootlink.TargetNotice) {
	if owner, found := task.owner(target); found {
		task.noticeOwners[target.Name] = owner
		task.Sender.Send(owner, announced)
	}
}

// resendNotices sends the announcements that are still in force to owners that do not have them.
func (task *Task) resendNotices() {
	now := task.Clock.Now()
	for _, announced := range task.notices.Notices() {
		target, known := task.catalog.Targets[announced.Target]
		if !known {
			continue
		}
		reason, _ := task.notices.Refusal(now, target)
		owner, found := task.owner(target)
		if reason != "" && found && owner != task.noticeOwners[target.Name] {
			task.sendNotice(target, announced)
		}
	}
}

// withheld returns why a target takes no requests according to its announcements or its owner, and when it may take some
// again; the time is zero if it is leaving. The reason is empty if it takes requests as far as is known.
func (task *Task) withheld(now time.Time, target coltsfootlink.Target) (coltsfootlink.Reason, time.Time) {
	if reason, retryAt := task.notices.Refusal(now, target); reason != "" {
		return reason, retryAt
	}
	if until := task.withheldUntil[target.Name]; now.Before(until) {
		return coltsfootlink.TargetBackoff, until
	}
	return "", time.Time{}
}

// withheldTargets returns the names of the targets that may be withheld.
func (task *Task) withheldTargets(now time.Time) []coltsfootlink.TargetName {
	var names []coltsfootlink.TargetName
	for _, announced := range task.notices.Notices() {
		names = append(names, announced.Target)
	}
	for name, until := range task.withheldUntil {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	return names
}

// avoidWithheld adds the withheld targets to those that a request has tried. It returns the refusal of the request if there
// is no other target.
func (task *Task) avoidWithheld(now time.Time, catalog coltsfootlink.Catalog, waiting pending) *coltsfootlink.Refusal {
	refusal := coltsfootlink.Refuse(coltsfootlink.NoTarget, "the pool has no target in service").WithRetryAt(now.Add(defaultRetryDelay))
	for _, name := range task.withheldTargets(now) {
		target, known := catalog.Targets[name]
		reason, retryAt := task.withheld(now, target)
		if !known || target.Pool != waiting.want.Pool || reason == "" {
			continue
		}
		waiting.tried[name] = true
		earlier := refusal.Reason == coltsfootlink.NoTarget || retryAt.Before(refusal.RetryAt)
		if reason == coltsfootlink.TargetBackoff && catalog.Usable(target) && earlier {
			refusal = coltsfootlink.Refuse(reason, "all targets of the pool want no requests for now").WithRetryAt(retryAt)
		}
	}
	return refusal
}

// recordWithheld notes that an owner refuses all requests for a target for a while, so that it is not asked for each.
func (task *Task) recordWithheld(target coltsfootlink.TargetName, verdict coltsfootlink.Verdict) {
	now := task.Clock.Now()
	switch verdict.Reason {
	case coltsfootlink.TargetBackoff:
		task.withheldUntil[target] = verdict.RetryAt
	case coltsfootlink.TargetLeaving:
		task.withheldUntil[target] = now.Add(defaultRetryDelay)
	default:
		return
	}
	maps.DeleteFunc(task.withheldUntil, func(_ coltsfootlink.TargetName, until time.Time) bool { return !now.Before(until) })
}
