package upstream

import (
	"context"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

const (
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
	// maxIdle is the most idle connections that are kept to one target.
	maxIdle = 24
	// idlePart is the part of a target's connections that all instances together may keep idle.
	idlePart = 0.5
)

// take asks for an idle connection to a target.
type take struct {
	coltsfootlink.Local
	target coltsfootlink.TargetName
	// since is the earliest time at which the connection may have become idle; zero for any.
	since time.Time
	// reply receives one connection, or nil; it has room for it.
	reply chan<- *conn
}

// give brings a connection whose last answer has ended.
type give struct {
	coltsfootlink.Local
	conn *conn
}

// Keeper owns the idle connections to targets.
type Keeper struct {
	Clock coltsfootlink.Clock
	Inbox *mailbox.Deliveries

	idle    map[coltsfootlink.TargetName][]*conn
	catalog coltsfootlink.Catalog
	// instances is the number of live instances.
	instances int
}

// Run keeps connections until the context ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	keeper.idle = make(map[coltsfootlink.TargetName][]*conn)
	defer keeper.closeAll()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			keeper.sweep()
		case <-keeper.Inbox.Ready():
		}
		for _, delivery := range keeper.Inbox.Drain() {
			keeper.handle(delivery.Message)
		}
	}
}

func (keeper *Keeper) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case take:
		message.reply <- keeper.take(message)
	case give:
		keeper.give(message.conn)
	case coltsfootlink.CatalogChanged:
		keeper.catalog = message.Catalog
		keeper.closeGone()
	case coltsfootlink.ViewChanged:
		keeper.instances = len(message.View.Live())
	}
}

// take returns the connection that was used last, if it can still be used.
func (keeper *Keeper) take(message take) *conn {
	now := keeper.Clock.Now()
	for {
		held := keeper.idle[message.target]
		if len(held) == 0 {
			return nil
		}
		newest := held[len(held)-1]
		if newest.idleSince.Before(message.since) {
			return nil
		}
		keeper.idle[message.target] = held[:len(held)-1]
		if now.Before(newest.idleUntil) && newest.quiet() {
			return newest
		}
		_ = newest.Close()
	}
}

func (keeper *Keeper) give(conn *conn) {
	held := keeper.idle[conn.target]
	keeper.idle[conn.target] = append(held, conn)
	if len(held) >= keeper.most(conn.target) {
		_ = held[0].Close()
		keeper.idle[conn.target] = keeper.idle[conn.target][1:]
	}
}

// most returns how many idle connections this instance may keep to a target; at least one.
func (keeper *Keeper) most(name coltsfootlink.TargetName) int {
	traits, known := keeper.catalog.Table.Pool(keeper.catalog.Targets[name].Pool)
	if !known || traits.ConnectionLimit <= 0 {
		return maxIdle
	}
	part := idlePart * float64(traits.ConnectionLimit) / float64(max(1, keeper.instances))
	return max(1, min(maxIdle, int(part)))
}

// sweep closes connections that are too old to be used.
func (keeper *Keeper) sweep() {
	now := keeper.Clock.Now()
	for name, held := range keeper.idle {
		var kept []*conn
		for _, conn := range held {
			if now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		keeper.idle[name] = kept
		if len(kept) == 0 {
			delete(keeper.idle, name)
		}
	}
}

func (keeper *Keeper) closeGone() {
	for name, held := range keeper.idle {
		if _, exists := keeper.catalog.Targets[name]; exists {
			continue
		}
		for _, conn := range held {
			_ = conn.Close()
		}
		delete(keeper.idle, name)
	}
}

func (keeper *Keeper) closeAll() {
	for _, held := range keeper.idle {
		for _, conn := range held {
			_ = conn.Close()
		}
	}
	keeper.idle = nil
}
