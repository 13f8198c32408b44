// Package ingress is the HTTP front end for the platform's callers. It routes each request, sends it to a target and
// forwards the answer.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/quarantine"
	"coltsfootlink/share"
)

// Gate publishes the current catalog, team shares and CPU pressure to the request handlers. As an HTTP handler it
// answers readiness checks.
type Gate struct {
	Inbox *mailbox.Deliveries
	Clock coltsfootlink.Clock
	Log   zerolog.Logger
	// ZoneHasCapacity reports whether another instance in the zone may have capacity. If it is nil, capacity is assumed.
	ZoneHasCapacity func() bool

	catalog   atomic.Pointer[coltsfootlink.Catalog]
	standings atomic.Pointer[share.Standings]
	pressure  atomic.Pointer[pressure.State]
	barred    atomic.Pointer[quarantine.View]
	leaving   atomic.Bool
	// stopping is nil while no shutdown is planned.
	stopping atomic.Pointer[coltsfootlink.Stopping]
}

// Run applies the messages in the inbox until the context is cancelled.
func (gate *Gate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gate.Inbox.Ready():
		}
		for _, delivery := range gate.Inbox.Drain() {
			switch message := delivery.Message.(type) {
			case coltsfootlink.CatalogChanged:
				gate.setCatalog(message.Catalog)
			case coltsfootlink.Shares:
				standings := gate.Standings().WithShares(gate.Clock.Now(), message)
				gate.standings.Store(&standings)
			case pressure.Changed:
				gate.pressure.Store(&message.State)
			case quarantine.Changed:
				gate.barred.Store(&message.View)
			case coltsfootlink.Leave:
				gate.leaving.Store(true)
			case coltsfootlink.Stopping:
				gate.stopping.Store(&message)
			}
		}
	}
}

func (gate *Gate) setCatalog(catalog coltsfootlink.Catalog) {
	before := gate.Catalog()
	gate.catalog.Store(&catalog)
	if catalog.TableLoaded && !before.TableLoaded {
		gate.Log.Info().Uint64("revision", catalog.Table.Version).Msg("ingress: ready, first configuration loaded")
	}
	if catalog.Table.Version != before.Table.Version {
		gate.Log.Info().Uint64("revision", catalog.Table.Version).Uint64("before", before.Table.Version).Msg("ingress: configuration changed")
	}
}

// Catalog returns the current catalog; it is empty before the first update.
func (gate *Gate) Catalog() coltsfootlink.Catalog {
	if catalog := gate.catalog.Load(); catalog != nil {
		return *catalog
	}
	return coltsfootlink.Catalog{}
}

// Standings returns the team shares announced so far.
func (gate *Gate) Standings() share.Standings {
	if standings := gate.standings.Load(); standings != nil {
		return *standings
	}
	return share.Standings{}
}

// Pressure returns the current CPU pressure, which determines how many requests the instance admits.
func (gate *Gate) Pressure() pressure.State {
	if state := gate.pressure.Load(); state != nil {
		return *state
	}
	return pressure.State{}
}

// Barred returns which prompts are held back because targets crash under them.
func (gate *Gate) Barred() quarantine.View {
	if view := gate.barred.Load(); view != nil {
		return *view
	}
	return quarantine.View{}
}

// Stopping returns when the instance ends; the zero value while no shutdown is planned.
func (gate *Gate) Stopping() coltsfootlink.Stopping {
	if stopping := gate.stopping.Load(); stopping != nil {
		return *stopping
	}
	return coltsfootlink.Stopping{}
}

// Leaving reports whether the instance is shutting down.
func (gate *Gate) Leaving() bool { return gate.leaving.Load() }

// overloaded reports whether new callers should go to other instances. It is false while the whole zone is overloaded,
// because the load balancer would otherwise move all callers to other zones.
func (gate *Gate) overloaded() bool {
	return gate.Pressure().Overloaded() && (gate.ZoneHasCapacity == nil || gate.ZoneHasCapacity())
}

// ServeHTTP answers a readiness check: 503 while shutting down, without a configuration, or overloaded; otherwise 200.
func (gate *Gate) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	if gate.Leaving() || !gate.Catalog().TableLoaded || gate.overloaded() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
