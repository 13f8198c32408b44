package metrics

import "expvar"

// Metrics of the CPU load of an instance and of the load shedding that follows from it.
var (
	cpuWait         = expvar.NewInt("processor-wait-milliseconds")
	admittedPercent = expvar.NewInt("taken-percent")
)

// SetPressure publishes the CPU wait in milliseconds (of runnable goroutines, or of connections to be accepted,
// whichever is longer) and the admission level, from 0 to 2: at 1 the instance admits all requests within their team's
// share and none that exceed it, at 2 all. The metric taken-percent has the level in percent, from 0 to 200.
func SetPressure(waitMillis int64, admissionLevel float64) {
	cpuWait.Set(waitMillis)
	admittedPercent.Set(int64(100 * admissionLevel))
}
