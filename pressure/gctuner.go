package pressure

import (
	"context"
	"runtime/debug"

	"coltsfootlink/mailbox"
)

// GCTuner lets the heap grow further between garbage collections while CPU is short: otherwise memory is the scarcer
// resource.
type GCTuner struct {
	// NormalPercent and PressurePercent are the heap growth after which garbage is collected (GOGC), in percent.
	NormalPercent, PressurePercent int
	Inbox                          *mailbox.Deliveries
}

// Run adjusts the garbage collector to the published state until the context ends.
func (tuner *GCTuner) Run(ctx context.Context) error {
	debug.SetGCPercent(tuner.NormalPercent)
	underPressure := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tuner.Inbox.Ready():
		}
		for _, delivery := range tuner.Inbox.Drain() {
			message, is := delivery.Message.(Changed)
			if !is || message.State.Refusing() == underPressure {
				continue
			}
			underPressure = message.State.Refusing()
			debug.SetGCPercent(tuner.percent(underPressure))
		}
	}
}

func (tuner *GCTuner) percent(underPressure bool) int {
	if underPressure {
		return tuner.PressurePercent
	}
	return tuner.NormalPercent
}
