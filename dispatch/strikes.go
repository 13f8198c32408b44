package dispatch

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/health"
)

// announceStrike announces to all live instances that a target may have crashed while it ran a request.
func (task *Task) announceStrike(request running) {
	task.sendStrike(coltsfootlink.Strike{
		Fingerprint: request.want.Fingerprint,
		Target:      request.target,
		Incarnation: request.incarnation,
		Deadline:    task.Clock.Now().Add(health.StrikeTTL),
	})
}

// clearStrikes announces that a target has answered a request against which there are strikes: it does not crash targets.
func (task *Task) clearStrikes(request running) {
	fingerprint := request.want.Fingerprint
	if !task.strikes.Struck(fingerprint) {
		return
	}
	task.Log.Info().Str("request", string(request.want.ID)).Str("target", string(request.target)).
		Msg("dispatch: target answered a request that was suspected of crashing targets; strikes against it are cleared")
	task.sendStrike(coltsfootlink.Strike{Fingerprint: fingerprint, Cleared: true})
}

func (task *Task) sendStrike(strike coltsfootlink.Strike) {
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{strike}})
	}
}

// handleStrikes records strikes that an instance, which may be this one, has announced.
func (task *Task) handleStrikes(from coltsfootlink.InstanceName, strikes coltsfootlink.Strikes) {
	now := task.Clock.Now()
	task.strikes = task.strikes.WithStrikes(strikes.Strikes).WithoutExpired(now)
	if from == task.Self.Name {
		task.announced = task.announced.WithStrikes(strikes.Strikes).WithoutExpired(now)
	}
	for _, strike := range strikes.Strikes {
		if strike.Cleared {
			task.announced, _ = task.announced.WithStrike(strike)
		}
	}
	task.recordStrikes(from == task.Self.Name)
}

// withProbe refuses a request that crashes targets until it may be probed. From then on it is sent as a trial, of which the
// target's owner permits one at a time in the whole fleet.
func (task *Task) withProbe(now time.Time, want Want) (Want, *coltsfootlink.Refusal) {
	if !task.strikes.Barred(now, want.Fingerprint) {
		return want, nil
	}
	if probeAt := task.strikes.ProbeAt(now, want.Fingerprint); now.Before(probeAt) {
		refusal := coltsfootlink.Refuse(coltsfootlink.CrashingRequest, "targets crashed while they ran requests like this one")
		return want, refusal.WithRetryAt(probeAt)
	}
	want.Trial = max(1, want.Fingerprint)
	return want, nil
}
