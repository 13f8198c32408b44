package dispatch

import (
	"time"

	"coltsfootlink"
)

// askNext asks the owner of the next candidate for a permit, or refuses the request if no candidate is left.
func (task *Task) askNext(waiting pending) {
	now := task.Clock.Now()
	if refusal := waiting.want.abandoned(now); refusal != nil {
		waiting.refuse(refusal)
		return
	}
	for {
		if len(waiting.candidates) == 0 {
			waiting = task.addSpillover(now, waiting)
		}
		if len(waiting.candidates) == 0 {
			break
		}
		target := waiting.candidates[0]
		waiting.tried[target.Name] = true
		owner, found := task.owner(target)
		if !found || now.Before(task.backoffUntil[owner]) {
			waiting.candidates = waiting.candidates[1:]
			waiting.refusal = coltsfootlink.Refuse(coltsfootlink.OwnerSilent, "the owner of the target does not answer").WithRetryAt(now.Add(defaultRetryDelay))
			continue
		}
		task.serial++
		waiting.serial = task.serial
		waiting.owner = owner
		waiting.answerDeadline, waiting.slowAnswerDeadline = now.Add(askTimeout), now.Add(slowAskTimeout)
		waiting.pacedDeadline = now.Add(coltsfootlink.PacedPermitTTL)
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
			MaxWaitFraction: waiting.want.MaxWaitFraction,
			Trial:           waiting.want.Trial,
		})
		return
	}
	task.loads.countAttempt(waiting.want, waiting.refusal)
	waiting.refuse(waiting.refusal)
}

// addSpillover adds the target with the shortest estimated wait to the candidates of a request within its team's share.
// Some target can sustain the rate that operators guarantee, even if it has to read the shared prefix again.
func (task *Task) addSpillover(now time.Time, waiting pending) pending {
	if waiting.spills == 0 || waiting.want.Standing != coltsfootlink.Entitled || waiting.want.Work.Affinity() == 0 {
		return waiting
	}
	waiting.spills--
	if target, found := task.waits.shortest(now, task.eligibleCatalog(waiting.want), waiting.want.Pool, waiting.tried); found {
		waiting.candidates = []coltsfootlink.Target{target}
	}
	return waiting
}

// handleVerdict gives the request its target, or asks the owner of the next candidate.
func (task *Task) handleVerdict(from coltsfootlink.InstanceName, verdict coltsfootlink.Verdict) {
	task.lastVerdictAt[from] = task.Clock.Now()
	waiting, found := task.pending[verdict.Serial]
	if !found {
		return
	}
	delete(task.pending, verdict.Serial)
	task.newestAnswered[from] = max(task.newestAnswered[from], verdict.Serial)
	target := waiting.candidates[0]
	if verdict.Paced && task.Clock.Now().After(waiting.pacedDeadline) {
		// The paced permit has expired: used now, it would reach the cold target together with later permits.
		task.releasePermit(from, verdict.Serial, target.Name)
		verdict = coltsfootlink.Verdict{Serial: verdict.Serial, Reason: coltsfootlink.TargetCold, WaitMillis: verdict.WaitMillis}
	}
	task.waits.record(task.Clock.Now(), target.Name, verdict)
	task.recordWithheld(target.Name, verdict)
	if reason, retryAt := task.withheld(task.Clock.Now(), target); reason != "" && verdict.Reason == "" {
		// The target announced this after its owner had been asked.
		task.releasePermit(from, verdict.Serial, target.Name)
		verdict = coltsfootlink.Verdict{Serial: verdict.Serial, Reason: reason, RetryAt: retryAt}
	}
	if verdict.Reason == "" {
		if refusal := waiting.want.abandoned(task.Clock.Now()); refusal != nil {
			task.releasePermit(from, verdict.Serial, target.Name)
			waiting.refuse(refusal)
			return
		}
		task.countPlacement(target)
		task.loads.countAttempt(waiting.want, nil)
		task.loads.countTeam(waiting.want.Pool, waiting.want.Team, 0, waiting.want.Work.WeightedTokens())
		task.running[verdict.Serial] = running{
			want: waiting.want, target: target.Name, version: target.Version, incarnation: target.Incarnation, owner: from, expectedMillis: verdict.ExpectedMillis,
		}
		waiting.want.Reply <- Choice{Serial: verdict.Serial, Owner: from, Target: target, ExpectedMillis: verdict.ExpectedMillis}
		return
	}
	task.Log.Debug().Str("request", string(waiting.want.ID)).Str("target", string(target.Name)).Str("owner", string(from)).
		Str("reason", string(verdict.Reason)).Msg("dispatch: owner refused a permit for the target")
	retryAt := verdict.RetryAt
	if retryAt.IsZero() {
		retryAt = task.Clock.Now().Add(defaultRetryDelay)
	}
	waiting.refusal = coltsfootlink.Refuse(verdict.Reason, "target "+string(target.Name)+" takes no more").WithRetryAt(retryAt)
	if verdict.Reason == coltsfootlink.TargetFull {
		waiting = task.withoutFull(task.Clock.Now(), waiting)
	} else {
		waiting.candidates = waiting.candidates[1:]
	}
	task.askNext(waiting)
}
