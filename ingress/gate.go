// Package ingress serves the platform's callers: it routes their requests, sends them to targets and passes
// the answers on.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/share"
)

// Gate publishes the catalog in force, the teams' shares and how much the instance takes to the requests, and whether
// the instance is ready for more callers.
type Gate struct {
	Inbox *mailbox.Deliveries
	Clock coltsfootlink.Clock
	Log   zerolog.Logger
	// Room says whether other instances of the zone may have room; nil if it is not known, and then they have.
	Room func() bool

	catalog   atomic.Pointer[coltsfootlink.Catalog]
	standings atomic.Pointer[share.Standings]
	pressure  atomic.Pointer[pressure.State]
	leaving   atomic.Bool
	// endsAt is when the instance ends; nil while it takes all requests.
	endsAt atomic.Pointer[time.Time]
}

// Close tells the gate to take only requests that are over before the instance ends.
type Close struct {
	coltsfootlink.Local
	EndsAt time.Time
}

// Run follows the catalog until the context ends.
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
				gate.follow(message.Catalog)
			case coltsfootlink.Shares:
				standings := gate.Standings().WithShares(gate.Clock.Now(), message)
				gate.standings.Store(&standings)
			case pressure.Changed:
				gate.pressure.Store(&message.State)
			case coltsfootlink.Leave:
				gate.leaving.Store(true)
			case Close:
				gate.endsAt.Store(&message.EndsAt)
			}
		}
	}
}

func (gate *Gate) follow(catalog coltsfootlink.Catalog) {
	before := gate.Catalog()
	gate.catalog.Store(&catalog)
	if catalog.TableLoaded && !before.TableLoaded {
		gate.Log.Info().Uint64("revision", catalog.Table.Version).Msg("ingress: ready")
	}
	if catalog.Table.Version != before.Table.Version {
		gate.Log.Info().Uint64("revision", catalog.Table.Version).Uint64("before", before.Table.Version).Msg("ingress: configuration in force")
	}
}

// Catalog returns the catalog in force.
func (gate *Gate) Catalog() coltsfootlink.Catalog {
	if catalog := gate.catalog.Load(); catalog != nil {
		return *catalog
	}
	return coltsfootlink.Catalog{}
}

// Standings returns what is known of the teams' shares.
func (gate *Gate) Standings() share.Standings {
	if standings := gate.standings.Load(); standings != nil {
		return *standings
	}
	return share.Standings{}
}

// Pressure returns how much the instance takes while its processor is behind.
func (gate *Gate) Pressure() pressure.State {
	if state := gate.pressure.Load(); state != nil {
		return *state
	}
	return pressure.State{}
}

// Takes says whether the instance takes a request that may last until the given time.
func (gate *Gate) Takes(until time.Time) bool {
	endsAt := gate.endsAt.Load()
	return endsAt == nil || until.Before(*endsAt)
}

// Leaving says that the instance stops.
func (gate *Gate) Leaving() bool { return gate.leaving.Load() }

// overloaded says that callers do better elsewhere. Where the whole zone is overloaded they do not: the balancer would
// send all of them to other zones.
func (gate *Gate) overloaded() bool {
	return gate.Pressure().Overloaded() && (gate.Room == nil || gate.Room())
}

// ServeHTTP answers whether the instance is ready for more callers.
func (gate *Gate) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	if gate.Leaving() || !gate.Catalog().TableLoaded || gate.overloaded() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
