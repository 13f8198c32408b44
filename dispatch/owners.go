package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/ownership"
)

// strike notes that a target may have crashed while it ran a request, and tells all instances.
func (task *Task) strike(held running) {
	strike := coltsfootlink.Strike{
		Fingerprint: held.want.Fingerprint,
		Target:      held.target,
		Deadline:    task.Clock.Now().Add(strikeSpan),
	}
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{strike}})
	}
}

// place is what a target's owner depends on besides the view.
type place struct {
	target coltsfootlink.TargetName
	zone   coltsfootlink.ZoneName
}

// owner returns the instance that owns a target; false if there is none.
func (task *Task) owner(target coltsfootlink.Target) (coltsfootlink.InstanceName, bool) {
	at := place{target: target.Name, zone: target.Zone}
	owner, found := task.owners[at]
	if !found {
		if owner, found = ownership.TargetOwner(target, task.view); found {
			task.owners[at] = owner
		}
	}
	return owner, found
}

// followOwners tells new owners which requests the instance has on their targets.
func (task *Task) followOwners() {
	clear(task.owners)
	moved := make(map[coltsfootlink.TargetName]coltsfootlink.InstanceName)
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
		moved[request.target] = owner
		held[request.target] = append(held[request.target], coltsfootlink.HeldRequest{
			Serial:             serial,
			Team:               request.want.Team,
			Work:               request.want.Work,
			Deadline:           request.want.Deadline,
			FirstEventReceived: request.read,
		})
	}
	for target, owner := range moved {
		task.Sender.Send(owner, coltsfootlink.Held{Target: target, Requests: held[target]})
	}
}

// expire passes over owners that have not answered, and refuses requests whose own deadlines have passed.
func (task *Task) expire() {
	now := task.Clock.Now()
	for serial, waiting := range task.pending {
		if refusal := waiting.want.useless(now); refusal != nil {
			delete(task.pending, serial)
			task.giveBack(waiting.asked, serial, waiting.candidates[0].Name)
			waiting.refuse(refusal)
			continue
		}
		if now.Before(waiting.answerBy) {
			continue
		}
		if by := task.lateBy(waiting); now.Before(by) {
			waiting.answerBy = by
			task.pending[serial] = waiting
			continue
		}
		delete(task.pending, serial)
		task.passOver(now, serial, waiting)
	}
}

// lateBy returns until when an owner that is late is waited for: one that answers others is not silent, and while the
// processor of this instance is behind, answers wait here.
func (task *Task) lateBy(waiting pending) time.Time {
	answersBy := task.heard[waiting.asked].Add(askLimit)
	if task.pressure.Refusing() || waiting.slowBy.Before(answersBy) {
		return waiting.slowBy
	}
	return answersBy
}

// passOver asks the owner of another target.
func (task *Task) passOver(now time.Time, serial uint64, waiting pending) {
	if task.silent(now, waiting) {
		if now.After(task.distrusted[waiting.asked]) {
			task.Log.Warn().Str("owner", string(waiting.asked)).Msg("dispatch: owner does not answer")
		}
		task.distrusted[waiting.asked] = now.Add(distrustSpan)
	}
	// A late permit for a request that went elsewhere is not used.
	task.giveBack(waiting.asked, serial, waiting.candidates[0].Name)
	waiting.candidates = waiting.candidates[1:]
	waiting.refusal = coltsfootlink.Refuse(coltsfootlink.OwnerSilent, "the owner of the target does not answer").WithRetryAt(now.Add(busyPause))
	task.askNext(waiting)
}

// silent says whether the owner that has not answered a request in time answers nobody.
func (task *Task) silent(now time.Time, waiting pending) bool {
	if !now.After(task.heard[waiting.asked].Add(askLimit)) {
		return false
	}
	return !task.pressure.Refusing() || task.overtaken(waiting)
}

// overtaken says that others' verdicts to later questions were read, so that the one to this question does not wait here.
func (task *Task) overtaken(waiting pending) bool {
	for owner, serial := range task.answered {
		if owner != waiting.asked && serial > waiting.serial {
			return true
		}
	}
	return false
}

// giveBack tells an owner that a permit is not used.
func (task *Task) giveBack(owner coltsfootlink.InstanceName, serial uint64, target coltsfootlink.TargetName) {
	task.Sender.Send(owner, coltsfootlink.Progress{Serial: serial, Target: target, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused})
}
