package standin

import (
	"context"
	"time"
)

// Stats holds the counts of a target since its start, crashes included.
type Stats struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Started     int    `json:"started"`
	// OverAdmission is the maximum ratio of running requests to the target's concurrency limit at that time.
	OverAdmission float64 `json:"over-admission"`
	// BusySeconds and CapacitySeconds are the integrals over time of the running requests, capped at the concurrency
	// limit, and of the concurrency limit.
	BusySeconds     float64 `json:"busy-seconds"`
	CapacitySeconds float64 `json:"capacity-seconds"`
	// Runs counts the started requests by idempotency key, or by serial where there is no key.
	Runs map[string]int `json:"runs"`
	// Service is the total cost of the answers to each team.
	Service map[string]float64 `json:"service"`
}

// statsCollector is the task that owns the counts of one target.
type statsCollector struct {
	inbox chan any
	// capacity returns the target's concurrency limit at a time after its start.
	capacity func(age time.Duration) float64

	stats     Stats
	startedAt time.Time
	updatedAt time.Time
}

type beginCall struct {
	key   string
	reply chan float64
}

type endCall struct{ incarnation uint64 }

type costCall struct {
	team string
	cost float64
}

type restartCall struct{ incarnation uint64 }

type statsCall struct{ reply chan Stats }

// Run handles messages until the context ends.
func (collector *statsCollector) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-collector.inbox:
			collector.advance(time.Now())
			collector.handle(call)
		}
	}
}

func (collector *statsCollector) handle(call any) {
	switch call := call.(type) {
	case beginCall:
		collector.stats.Running++
		collector.stats.Started++
		if call.key != "" {
			collector.stats.Runs[call.key]++
		}
		load := float64(collector.stats.Running) / collector.capacity(collector.updatedAt.Sub(collector.startedAt))
		collector.stats.OverAdmission = max(collector.stats.OverAdmission, load)
		call.reply <- load
	case endCall:
		if call.incarnation == collector.stats.Incarnation {
			collector.stats.Running--
		}
	case costCall:
		collector.stats.Service[call.team] += call.cost
	case restartCall:
		collector.stats.Incarnation = call.incarnation
		collector.stats.Running = 0
		collector.startedAt = collector.updatedAt
	case statsCall:
		call.reply <- collector.snapshot()
	}
}

// advance adds the time since the previous message to the integrals.
func (collector *statsCollector) advance(now time.Time) {
	if !collector.updatedAt.IsZero() {
		seconds := now.Sub(collector.updatedAt).Seconds()
		capacity := collector.capacity(collector.updatedAt.Sub(collector.startedAt))
		collector.stats.BusySeconds += min(float64(collector.stats.Running), capacity) * seconds
		collector.stats.CapacitySeconds += capacity * seconds
	}
	collector.updatedAt = now
}

func (collector *statsCollector) snapshot() Stats {
	stats := collector.stats
	stats.Runs = make(map[string]int, len(collector.stats.Runs))
	for key, runs := range collector.stats.Runs {
		stats.Runs[key] = runs
	}
	stats.Service = make(map[string]float64, len(collector.stats.Service))
	for team, service := range collector.stats.Service {
		stats.Service[team] = service
	}
	return stats
}
