package dispatch

import "coltsfootlink"

// announceStrike announces to all live instances that a target may have crashed while it ran a request.
func (task *Task) announceStrike(request running) {
	strike := coltsfootlink.Strike{
		Fingerprint: request.want.Fingerprint,
		Target:      request.target,
		Deadline:    task.Clock.Now().Add(strikeTTL),
	}
	for _, member := range task.view.Live() {
		task.Sender.Send(member.Name, coltsfootlink.Strikes{Strikes: []coltsfootlink.Strike{strike}})
	}
}

// handleStrikes records strikes that an instance, which may be this one, has announced.
func (task *Task) handleStrikes(from coltsfootlink.InstanceName, strikes coltsfootlink.Strikes) {
	now := task.Clock.Now()
	for _, strike := range strikes.Strikes {
		task.strikes, _ = task.strikes.WithStrike(strike)
		if from == task.Self.Name {
			task.announced, _ = task.announced.WithStrike(strike)
		}
	}
	task.strikes, task.announced = task.strikes.WithoutExpired(now), task.announced.WithoutExpired(now)
}
