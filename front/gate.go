package front

import (
	"context"
	"sync/atomic"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Gate is a task that follows the configuration and reports whether the instance accepts requests. Its methods may be
// called by any task.
type Gate struct {
	Inbox *mailbox.Deliveries

	configuration atomic.Pointer[coltsfootlink.Configuration]
	leaving       atomic.Bool
}

// Run stores configuration changes and the instance's shutdown until the context ends.
func (gate *Gate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gate.Inbox.Ready():
		}
		for _, delivery := range gate.Inbox.Drain() {
			switch message := delivery.Message.(type) {
			case coltsfootlink.ConfigurationChanged:
				gate.configuration.Store(&message.Configuration)
			case coltsfootlink.Leave:
				gate.leaving.Store(true)
			}
		}
	}
}

// Configuration returns the current configuration, and false if there is none yet.
func (gate *Gate) Configuration() (coltsfootlink.Configuration, bool) {
	configuration := gate.configuration.Load()
	if configuration == nil {
		return coltsfootlink.Configuration{}, false
	}
	return *configuration, true
}

// Ready reports whether the load balancer should send new requests: there is a configuration and the instance is not
// shutting down.
func (gate *Gate) Ready() bool {
	_, configured := gate.Configuration()
	return configured && !gate.leaving.Load()
}
