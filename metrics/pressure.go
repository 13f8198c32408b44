package metrics

import "expvar"

// Figures of the processor of an instance.
var (
	processorWait = expvar.NewInt("processor-wait-milliseconds")
	takenPercent  = expvar.NewInt("taken-percent")
)

// SetPressure publishes how long what is ready to run waits for the processor, in milliseconds, and how much of the
// requests the instance takes, in percent: 200 is all, 100 is all within shares and nothing beyond them.
func SetPressure(waitMillis int64, taken float64) {
	processorWait.Set(waitMillis)
	takenPercent.Set(int64(100 * taken))
}
