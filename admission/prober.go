package admission

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Prober asks engines for their reports when the owner wants to know of work that is not its own.
type Prober struct {
	Reporter coltsfootlink.EngineReporter
	Log      zerolog.Logger
	Inbox    *mailbox.Deliveries
	// Owner receives the reports.
	Owner *mailbox.Deliveries
}

// probe asks for a target's report.
type probe struct {
	coltsfootlink.Local
	target coltsfootlink.Target
}

// reported brings a target's report.
type reported struct {
	coltsfootlink.Local
	target coltsfootlink.TargetName
	report coltsfootlink.EngineReport
	asked  time.Time
}

// Run asks until the context ends.
func (prober *Prober) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-prober.Inbox.Ready():
		}
		for _, delivery := range prober.Inbox.Drain() {
			if message, is := delivery.Message.(probe); is {
				go prober.ask(ctx, message.target)
			}
		}
	}
}

func (prober *Prober) ask(ctx context.Context, target coltsfootlink.Target) {
	asked := time.Now()
	report, err := prober.Reporter.Report(ctx, target)
	if err != nil {
		prober.Log.Debug().Err(err).Str("target", string(target.Name)).Msg("admission: no report")
		return
	}
	prober.Owner.Put(coltsfootlink.Delivery{Message: reported{target: target.Name, report: report, asked: asked}})
}
