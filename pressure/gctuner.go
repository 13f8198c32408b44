package pressure

import (
	"context"
	"runtime/debug"

	"coltsfootlink/mailbox"
)

// Collector lets garbage grow further before it is collected while the processor is behind: memory is dear in quiet
// times, and the processor in others.
type Collector struct {
	// Calm and Behind are the growth of the heap after which garbage is collected, in percent.
	Calm, Behind int
	Inbox        *mailbox.Deliveries
}

// Run follows the processor until the context ends.
func (collector *Collector) Run(ctx context.Context) error {
	debug.SetGCPercent(collector.Calm)
	behind := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-collector.Inbox.Ready():
		}
		for _, delivery := range collector.Inbox.Drain() {
			message, is := delivery.Message.(Changed)
			if !is || message.State.Refuses() == behind {
				continue
			}
			behind = message.State.Refuses()
			debug.SetGCPercent(collector.percent(behind))
		}
	}
}

func (collector *Collector) percent(behind bool) int {
	if behind {
		return collector.Behind
	}
	return collector.Calm
}
