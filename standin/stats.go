package standin

import (
	"context"
	"time"
)

// Stats is what a target has seen.
type Stats struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Started     int    `json:"started"`
	// OverAdmission is the largest number of running requests over what the target could bear.
	OverAdmission float64 `json:"over-admission"`
	// BusySeconds and CapacitySeconds add up running requests and bearable requests over time.
	BusySeconds     float64 `json:"busy-seconds"`
	CapacitySeconds float64 `json:"capacity-seconds"`
	// Runs counts how often each request's key was started.
	Runs map[string]int `json:"runs"`
	// Service adds up the cost of the answers of each team.
	Service map[string]float64 `json:"service"`
}

// ledger owns the counts of one target.
type ledger struct {
	inbox chan any
	// capacity returns what the target bears after it has run for so many seconds.
	capacity func(age time.Duration) float64

	stats   Stats
	started time.Time
	counted time.Time
}

type beginCall struct {
	key   string
	reply chan float64
}

type endCall struct{ incarnation uint64 }

type serveCall struct {
	team string
	cost float64
}

type restartCall struct{ incarnation uint64 }

type statsCall struct{ reply chan Stats }

// Run keeps the counts until the context ends.
func (ledger *ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-ledger.inbox:
			ledger.advance(time.Now())
			ledger.handle(call)
		}
	}
}

func (ledger *ledger) handle(call any) {
	switch call := call.(type) {
	case beginCall:
		ledger.stats.Running++
		ledger.stats.Started++
		if call.key != "" {
			ledger.stats.Runs[call.key]++
		}
		load := float64(ledger.stats.Running) / ledger.capacity(ledger.counted.Sub(ledger.started))
		ledger.stats.OverAdmission = max(ledger.stats.OverAdmission, load)
		call.reply <- load
	case endCall:
		if call.incarnation == ledger.stats.Incarnation {
			ledger.stats.Running--
		}
	case serveCall:
		ledger.stats.Service[call.team] += call.cost
	case restartCall:
		ledger.stats.Incarnation = call.incarnation
		ledger.stats.Running = 0
		ledger.started = ledger.counted
	case statsCall:
		call.reply <- ledger.copy()
	}
}

// advance adds up the time since the last event.
func (ledger *ledger) advance(now time.Time) {
	if !ledger.counted.IsZero() {
		seconds := now.Sub(ledger.counted).Seconds()
		bearable := ledger.capacity(ledger.counted.Sub(ledger.started))
		ledger.stats.BusySeconds += min(float64(ledger.stats.Running), bearable) * seconds
		ledger.stats.CapacitySeconds += bearable * seconds
	}
	ledger.counted = now
}

func (ledger *ledger) copy() Stats {
	stats := ledger.stats
	stats.Runs = make(map[string]int, len(ledger.stats.Runs))
	for key, runs := range ledger.stats.Runs {
		stats.Runs[key] = runs
	}
	stats.Service = make(map[string]float64, len(ledger.stats.Service))
	for team, service := range ledger.stats.Service {
		stats.Service[team] = service
	}
	return stats
}
