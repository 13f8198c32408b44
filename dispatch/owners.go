package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/ownership"
)

// ownerKey is the key of the owner cache: what a target's owner depends on besides the view.
type ownerKey struct {
	target coltsfootlink.TargetName
	zone   coltsfootlink.ZoneName
}

// owner returns the instance that owns a target; false if there is none.
func (task *Task) owner(target coltsfootlink.Target) (coltsfootlink.InstanceName, bool) {
	key := ownerKey{target: target.Name, zone: target.Zone}
	owner, found := task.owners[key]
	if !found {
		if owner, found = ownership.TargetOwner(target, task.view); found {
			task.owners[key] = owner
		}
	}
	return owner, found
}

// updateOwners clears the owner cache, and reports to each new owner of a target the requests in progress there and what
// the target has announced.
func (task *Task) updateOwners() {
	clear(task.owners)
	task.reportHeldRequests()
	task.resendNotices()
}

// reportHeldRequests reports to each new owner of a target the requests in progress there.
func (task *Task) reportHeldRequests() {
	newOwners := make(map[coltsfootlink.TargetName]coltsfootlink.InstanceName)
	held := make(map[coltsfootlink.TargetName][]coltsfootlink.HeldRequest)
	for serial, request := range task.running {
		target, known := task.catalog.Targets[request.target]
		if !known {
			continue
		}
		owner, found := task.owner(target)
		if !found || owner == request.owner {
			continue
		}
		request.owner = owner
		task.running[serial] = request
		newOwners[request.target] = owner
		held[request.target] = append(held[request.target], coltsfootlink.HeldRequest{
			Serial:             serial,
			Team:               request.want.Team,
			Work:               request.want.Work,
			Deadline:           request.want.Deadline,
			FirstEventReceived: request.firstEventReceived,
		})
	}
	for target, owner := range newOwners {
		task.Sender.Send(owner, coltsfootlink.Held{Target: target, Requests: held[target]})
	}
}

// expire skips owners that have not replied in time, and refuses requests that no longer need a target.
func (task *Task) expire() {
	now := task.Clock.Now()
	for serial, waiting := range task.pending {
		if refusal := waiting.want.abandoned(now); refusal != nil {
			delete(task.pending, serial)
			task.releasePermit(waiting.owner, serial, waiting.candidates[0].Name)
			waiting.refuse(refusal)
			continue
		}
		if now.Before(waiting.answerDeadline) {
			continue
		}
		if deadline := task.extendedDeadline(waiting); now.Before(deadline) {
			waiting.answerDeadline = deadline
			task.pending[serial] = waiting
			continue
		}
		delete(task.pending, serial)
		task.skipOwner(now, serial, waiting)
	}
}

// extendedDeadline returns until when to wait for the reply of an owner that is late. An owner that replies to other
// asks is not unresponsive, and while this instance is short of CPU, replies may be waiting in its inbox.
func (task *Task) extendedDeadline(waiting pending) time.Time {
	responsiveUntil := task.lastVerdictAt[waiting.owner].Add(askTimeout)
	if task.pressure.Refusing() || waiting.slowAnswerDeadline.Before(responsiveUntil) {
		return waiting.slowAnswerDeadline
	}
	return responsiveUntil
}

// skipOwner gives up on an owner that has not replied in time and asks the owner of the next candidate. If the late
// owner is unresponsive, its targets are skipped for ownerBackoff.
func (task *Task) skipOwner(now time.Time, serial uint64, waiting pending) {
	if task.unresponsive(now, waiting) {
		if now.After(task.backoffUntil[waiting.owner]) {
			task.Log.Warn().Str("owner", string(waiting.owner)).Msg("dispatch: target owner did not reply in time; skipping its targets until the backoff ends")
		}
		task.backoffUntil[waiting.owner] = now.Add(ownerBackoff)
	}
	// The request goes elsewhere, so a permit that this owner has granted or still grants is not used.
	task.releasePermit(waiting.owner, serial, waiting.candidates[0].Name)
	waiting.candidates = waiting.candidates[1:]
	waiting.refusal = coltsfootlink.Refuse(coltsfootlink.OwnerSilent, "the owner of the target does not answer").WithRetryAt(now.Add(defaultRetryDelay))
	task.askNext(waiting)
}

// unresponsive reports whether the owner that has not replied in time replies to nobody: none of its verdicts was
// handled within askTimeout, and none can be waiting in this instance's inbox.
func (task *Task) unresponsive(now time.Time, waiting pending) bool {
	if !now.After(task.lastVerdictAt[waiting.owner].Add(askTimeout)) {
		return false
	}
	return !task.pressure.Refusing() || task.overtaken(waiting)
}

// overtaken reports whether verdicts of other owners on later asks were handled, so that a verdict on this ask would
// have been handled too if it had arrived.
func (task *Task) overtaken(waiting pending) bool {
	for owner, serial := range task.newestAnswered {
		if owner != waiting.owner && serial > waiting.serial {
			return true
		}
	}
	return false
}

// releasePermit reports to an owner that a permit is not used.
func (task *Task) releasePermit(owner coltsfootlink.InstanceName, serial uint64, target coltsfootlink.TargetName) {
	task.Sender.Send(owner, coltsfootlink.Progress{Serial: serial, Target: target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
}
