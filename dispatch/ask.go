package dispatch

import (
	"time"

	"coltsfootlink"
)

// askNext asks the owner of the next candidate, or refuses the request if none is left.
func (task *Task) askNext(waiting pending) {
	now := task.Clock.Now()
	if refusal := waiting.want.useless(now); refusal != nil {
		waiting.refuse(refusal)
		return
	}
	for {
		if len(waiting.candidates) == 0 {
			waiting = task.spill(now, waiting)
		}
		if len(waiting.candidates) == 0 {
			break
		}
		target := waiting.candidates[0]
		waiting.tried[target.Name] = true
		owner, found := task.owner(target)
		if !found || now.Before(task.distrusted[owner]) {
			waiting.candidates = waiting.candidates[1:]
			waiting.refusal = coltsfootlink.Refuse(coltsfootlink.OwnerSilent, "the owner of the target does not answer").WithRetryAt(now.Add(busyPause))
			continue
		}
		task.serial++
		waiting.serial = task.serial
		waiting.asked = owner
		waiting.answerBy, waiting.slowBy = now.Add(askLimit), now.Add(slowLimit)
		waiting.pacedBy = now.Add(coltsfootlink.PacedPermitTTL)
		task.pending[task.serial] = waiting
		task.Sender.Send(owner, coltsfootlink.Ask{
			Serial:          task.serial,
			Target:          target.Name,
			Team:            waiting.want.Team,
			Work:            waiting.want.Work,
			Objective:       waiting.want.Objective,
			Deadline:        waiting.want.Deadline,
			Rank:            waiting.want.Rank,
			Standing:        waiting.want.Standing,
			MaxWaitFraction: waiting.want.Patience,
		})
		return
	}
	task.offers.try(waiting.want, waiting.refusal)
	waiting.refuse(waiting.refusal)
}

// spill adds the target that waits least, as far as is known, for a request within its team's share: what
// operators promise can be borne somewhere, even if the shared parts have to be read again.
func (task *Task) spill(now time.Time, waiting pending) pending {
	if waiting.spilled || waiting.want.Standing != coltsfootlink.Entitled || waiting.want.Work.Affinity() == 0 {
		return waiting
	}
	waiting.spilled = true
	if target, found := task.waits.least(now, task.movable(waiting.want), waiting.want.Pool, waiting.tried); found {
		waiting.candidates = []coltsfootlink.Target{target}
	}
	return waiting
}

// verdict gives the request its target, or asks for the next one.
func (task *Task) verdict(from coltsfootlink.InstanceName, verdict coltsfootlink.Verdict) {
	task.heard[from] = task.Clock.Now()
	waiting, found := task.pending[verdict.Serial]
	if !found {
		return
	}
	delete(task.pending, verdict.Serial)
	task.answered[from] = max(task.answered[from], verdict.Serial)
	target := waiting.candidates[0]
	if verdict.Paced && task.Clock.Now().After(waiting.pacedBy) {
		// Permits that are used late would reach a cold target together with later ones.
		task.giveBack(from, verdict.Serial, target.Name)
		verdict = coltsfootlink.Verdict{Serial: verdict.Serial, Reason: coltsfootlink.TargetCold, WaitMillis: verdict.WaitMillis}
	}
	task.waits.note(task.Clock.Now(), target.Name, verdict)
	if verdict.Reason == "" {
		if refusal := waiting.want.useless(task.Clock.Now()); refusal != nil {
			task.giveBack(from, verdict.Serial, target.Name)
			waiting.refuse(refusal)
			return
		}
		task.offers.try(waiting.want, nil)
		task.offers.count(waiting.want.Pool, waiting.want.Team, 0, tokensOf(waiting.want.Work))
		task.running[verdict.Serial] = running{want: waiting.want, target: target.Name, version: target.Version, owner: from}
		waiting.want.Reply <- Choice{Serial: verdict.Serial, Owner: from, Target: target, ExpectedMillis: verdict.ExpectedMillis}
		return
	}
	task.Log.Debug().Str("request", string(waiting.want.ID)).Str("target", string(target.Name)).Str("owner", string(from)).
		Str("reason", string(verdict.Reason)).Msg("dispatch: target refused")
	retryAt := verdict.RetryAt
	if retryAt.IsZero() {
		retryAt = task.Clock.Now().Add(busyPause)
	}
	waiting.refusal = coltsfootlink.Refuse(verdict.Reason, "target "+string(target.Name)+" takes no more").WithRetryAt(retryAt)
	waiting.candidates = waiting.candidates[1:]
	if verdict.Reason == coltsfootlink.TargetFull && waiting.want.Standing != coltsfootlink.Entitled {
		// What lies beyond the share is not worth reading its shared parts elsewhere.
		waiting.candidates = nil
	}
	task.askNext(waiting)
}
