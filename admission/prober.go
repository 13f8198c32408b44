package admission

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/supervisor"
)

// Prober requests load reports from engines on behalf of their owner, which finds orphaned requests by them.
type Prober struct {
	Reporter coltsfootlink.EngineReporter
	Log      zerolog.Logger
	Inbox    *mailbox.Deliveries
	// Owner is the inbox of the admission task, which receives the reports.
	Owner *mailbox.Deliveries
}

// probeRequest is sent by the admission task to the prober and requests a target's report.
type probeRequest struct {
	coltsfootlink.Local
	target coltsfootlink.Target
}

// probeResult is sent by the prober to the admission task and carries a target's report.
type probeResult struct {
	coltsfootlink.Local
	target coltsfootlink.TargetName
	// incarnation is the target's incarnation that was known when the report was requested.
	incarnation uint64
	report      coltsfootlink.EngineReport
	// askedAt is when the report was requested.
	askedAt time.Time
}

// notice returns what the target announced with the report.
func (result probeResult) notice() coltsfootlink.TargetNotice {
	return coltsfootlink.TargetNotice{Target: result.target, Incarnation: result.incarnation, Leaving: result.report.Leaving, RetryAt: result.report.RetryAt}
}

// Run serves probe requests, each in its own goroutine, until the context ends.
func (prober *Prober) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-prober.Inbox.Ready():
		}
		for _, delivery := range prober.Inbox.Drain() {
			if message, matches := delivery.Message.(probeRequest); matches {
				supervisor.Go(prober.Log, "load report of a target", func() { prober.ask(ctx, message.target) })
			}
		}
	}
}

func (prober *Prober) ask(ctx context.Context, target coltsfootlink.Target) {
	askedAt := time.Now()
	report, err := prober.Reporter.Report(ctx, target)
	if err != nil {
		prober.Log.Debug().Err(err).Str("target", string(target.Name)).
			Msg("admission: target did not return a load report; the count of its orphaned requests stays as it was")
		return
	}
	prober.Owner.Put(coltsfootlink.Delivery{Message: probeResult{target: target.Name, incarnation: target.Incarnation, report: report, askedAt: askedAt}})
}
