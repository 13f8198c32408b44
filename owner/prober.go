package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Prober periodically asks the targets of the owned shards for their load reports.
type Prober struct {
	Engine coltsfootlink.Engine
	Clock  coltsfootlink.Clock
	// Interval is the time between two probes of a target, and the timeout of each.
	Interval time.Duration
	Inbox    *mailbox.Deliveries
	// Owner receives the load reports, or that a report is missing.
	Owner *mailbox.Deliveries

	targets []coltsfootlink.Target
}

// probeTargets is sent by the owner task and replaces the list of targets to probe.
type probeTargets struct {
	coltsfootlink.Local
	targets []coltsfootlink.Target
}

// probeNow is sent by the owner task to probe one target at once.
type probeNow struct {
	coltsfootlink.Local
	target coltsfootlink.TargetName
}

// Run probes the targets until the context ends.
func (prober *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(prober.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			prober.probeAll(ctx)
		case <-prober.Inbox.Ready():
			for _, delivery := range prober.Inbox.Drain() {
				prober.handle(ctx, delivery.Message)
			}
		}
	}
}

func (prober *Prober) handle(ctx context.Context, message coltsfootlink.Message) {
	switch message := message.(type) {
	case probeTargets:
		more := len(message.targets) > len(prober.targets)
		prober.targets = message.targets
		if more {
			prober.probeAll(ctx)
		}
	case probeNow:
		for _, target := range prober.targets {
			if target.Name == message.target {
				go prober.probe(ctx, target)
			}
		}
	}
}

func (prober *Prober) probeAll(ctx context.Context) {
	for _, target := range prober.targets {
		go prober.probe(ctx, target)
	}
}

func (prober *Prober) probe(ctx context.Context, target coltsfootlink.Target) {
	asked := prober.Clock.Now()
	ctx, cancel := context.WithDeadline(ctx, asked.Add(prober.Interval))
	defer cancel()
	load, err := prober.Engine.Load(ctx, target)
	if err == nil {
		prober.Owner.Put(coltsfootlink.Delivery{Message: coltsfootlink.LoadReported{Load: load, Asked: asked}})
		return
	}
	var failure *coltsfootlink.CallError
	refused := errors.As(err, &failure) && failure.Result == coltsfootlink.Refused
	prober.Owner.Put(coltsfootlink.Delivery{Message: coltsfootlink.LoadMissing{Target: target.Name, Refused: refused}})
}
