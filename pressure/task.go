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
	// lookInterval is the time between two looks at the processor.
	lookInterval = 50 * time.Millisecond
	// tellStep is how much what is taken has changed when it is told.
	tellStep = 0.02
	// renewInterval is the longest time between two words on a state that stays about the same.
	renewInterval = time.Second
	// logInterval is the time between two lines of the log while the processor is behind.
	logInterval = time.Second
)

// Changed tells how much the instance takes.
type Changed struct {
	coltsfootlink.Local
	State State
}

// Task looks at the processor and tells what the instance takes.
type Task struct {
	// Meters measure what waits for the processor; the longest wait counts.
	Meters []coltsfootlink.CPUWaitMeter
	Clock  coltsfootlink.Clock
	Log    zerolog.Logger
	// Subscribers are told of each change, and again each second, for one that starts anew knows nothing.
	Subscribers []*mailbox.Deliveries

	state, told State
	// renewAt is when the subscribers are told again.
	renewAt time.Time
	// logAt is when the next line of the log is due while the processor is behind.
	logAt time.Time
}

// Run looks until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.start()
	for coltsfootlink.Sleep(ctx, lookInterval) {
		task.turn()
	}
	return nil
}

// start takes back what was told before.
func (task *Task) start() {
	task.state = State{}
	task.tell()
}

// turn looks, and tells again what a subscriber may have lost.
func (task *Task) turn() {
	task.look()
	if !task.Clock.Now().Before(task.renewAt) {
		task.tell()
	}
}

func (task *Task) look() {
	wait := task.wait()
	task.state = task.state.WithWait(wait)
	metrics.SetPressure(wait.Milliseconds(), task.state.Taken())
	if alike(task.state, task.told) {
		return
	}
	task.tell()
	if now := task.Clock.Now(); !now.Before(task.logAt) {
		task.logAt = now.Add(logInterval)
		task.Log.Info().Int64("wait-ms", wait.Milliseconds()).Float64("taken", task.state.Taken()).Bool("overloaded", task.state.Overloaded()).Msg("pressure: takes more or less")
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

// tell tells the subscribers how much the instance takes.
func (task *Task) tell() {
	task.told = task.state
	task.renewAt = task.Clock.Now().Add(renewInterval)
	for _, box := range task.Subscribers {
		box.Put(coltsfootlink.Delivery{Message: Changed{State: task.state}})
	}
}

// alike says whether two states let about the same in.
func alike(one, other State) bool {
	return one.Refuses() == other.Refuses() && one.overloaded == other.overloaded && math.Abs(one.refused-other.refused) < tellStep
}
