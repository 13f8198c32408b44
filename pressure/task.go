package pressure

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
)

const (
	// sampleInterval is the time between two samples of the CPU pressure.
	sampleInterval = 50 * time.Millisecond
	// publishStep is the change of the admission level from which the state is published.
	publishStep = 0.02
	// renewInterval is the maximum time between two publications of a state that stays similar.
	renewInterval = time.Second
	// logInterval is the minimum time between two log lines.
	logInterval = time.Second
)

// Changed is published by the task and announces the instance's admission level.
type Changed struct {
	coltsfootlink.Local
	State State
}

// Task samples the CPU pressure and publishes the admission level.
type Task struct {
	// Meters measure the CPU pressure; the longest wait counts.
	Meters []coltsfootlink.CPUWaitMeter
	Clock  coltsfootlink.Clock
	Log    zerolog.Logger
	// Subscribers receive each change, and the state again every second, since a restarted subscriber has lost it.
	Subscribers []*mailbox.Deliveries

	state, published State
	// renewAt is when the state is published again even if it has not changed.
	renewAt time.Time
	// logAt is when the next log line may be written.
	logAt time.Time
}

// Run samples and publishes until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.reset()
	for coltsfootlink.Sleep(ctx, sampleInterval) {
		task.step()
	}
	return nil
}

// reset publishes the zero state, which replaces any state published before a restart.
func (task *Task) reset() {
	task.state = State{}
	task.publish()
}

// step takes a sample, and publishes the state again if it is due for renewal.
func (task *Task) step() {
	task.sample()
	if !task.Clock.Now().Before(task.renewAt) {
		task.publish()
	}
}

func (task *Task) sample() {
	wait := task.wait()
	task.state = task.state.WithWait(wait)
	metrics.SetPressure(wait.Milliseconds(), task.state.Admitted())
	if similar(task.state, task.published) {
		return
	}
	task.publish()
	if now := task.Clock.Now(); !now.Before(task.logAt) {
		task.logAt = now.Add(logInterval)
		task.Log.Info().Int64("wait-ms", wait.Milliseconds()).Float64("taken", task.state.Admitted()).Bool("overloaded", task.state.Overloaded()).Msg("pressure: admission level changed")
	}
}

// wait returns the longest wait of all meters.
func (task *Task) wait() time.Duration {
	var longest time.Duration
	for _, meter := range task.Meters {
		longest = max(longest, meter.Wait())
	}
	return longest
}

// publish sends the state to all subscribers.
func (task *Task) publish() {
	task.published = task.state
	task.renewAt = task.Clock.Now().Add(renewInterval)
	for _, box := range task.Subscribers {
		box.Put(coltsfootlink.Delivery{Message: Changed{State: task.state}})
	}
}

// similar reports whether two states admit nearly the same requests.
func similar(one, other State) bool {
	return one.Refusing() == other.Refusing() && one.overloaded == other.overloaded && math.Abs(one.reduction-other.reduction) < publishStep
}
