package metrics

import "expvar"

// Metrics of the requests of an instance. The variable counts holds all other counters by name.
var (
	outcomes = expvar.NewMap("request-outcomes")
	reasons  = expvar.NewMap("refusal-reasons")
	counts   = expvar.NewMap("counts")
	// targetWeights is the number of targets whose weight differs from 1.
	targetWeights = expvar.NewInt("target-weights")
)

// CountOutcome counts a finished request by its outcome.
func CountOutcome(outcome string) { outcomes.Add(outcome, 1) }

// CountRefusal counts a refused request by the reason of the refusal.
func CountRefusal(reason string) { reasons.Add(reason, 1) }

// Count adds one to the counter with the given name.
func Count(name string) { counts.Add(name, 1) }

// CountDroppedLines counts log lines that were dropped because the log could not be written fast enough.
func CountDroppedLines(lines int) { counts.Add("log-lines-left-out", int64(lines)) }

// SetTargetWeights publishes the number of targets whose weight in the ranking of candidates differs from 1.
func SetTargetWeights(weights int) { targetWeights.Set(int64(weights)) }
