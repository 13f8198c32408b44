package metrics

import "expvar"

// Metrics of the CPU load of an instance and of the load shedding that follows from it.
var (
	cpuWait         = expvar.NewInt("processor-wait-milliseconds")
	admittedPercent = expvar.NewInt("taken-percent")
)

// SetPressure publishes how long runnable goroutines waited for the CPU (the 90th percentile, in milliseconds), and the
// part of the requests that the instance admits, from 0 to 2: at 1 it admits all requests within their team's share and
// none that exceed it, at 2 all. The metric taken-percent has that part in percent, from 0 to 200.
func SetPressure(waitMillis int64, admitted float64) {
	cpuWait.Set(waitMillis)
	admittedPercent.Set(int64(100 * admitted))
}
