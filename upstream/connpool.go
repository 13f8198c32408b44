package upstream

import (
	"context"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

const (
	// sweepInterval is the time between two sweeps for expired idle connections.
	sweepInterval = time.Second
	// maxIdlePerTarget is the maximum number of idle connections to one target.
	maxIdlePerTarget = 24
	// idleFraction is the fraction of a target's connection limit that all instances together may keep idle.
	idleFraction = 0.5
)

// getConn is sent by a Client to take an idle connection to a target out of the pool.
type getConn struct {
	coltsfootlink.Local
	target coltsfootlink.TargetName
	// idleNotBefore excludes connections that became idle earlier; zero for no restriction.
	idleNotBefore time.Time
	// reply receives one connection, or nil if there is none. It must be buffered, so that the pool never blocks on it.
	reply chan<- *conn
}

// putConn is sent by a Client to return a connection that no call uses.
type putConn struct {
	coltsfootlink.Local
	conn *conn
}

// ConnPool is the task that owns the idle connections to targets.
type ConnPool struct {
	Clock coltsfootlink.Clock
	Inbox *mailbox.Deliveries

	// idle holds the idle connections, the most recently used last.
	idle map[coltsfootlink.TargetName][]*conn
	// unframed holds the answers without a length or chunks that are being received.
	unframed map[coltsfootlink.TargetName]unframedAnswers
	catalog  coltsfootlink.Catalog
	// instances is the number of live instances. They share the connection limits of the targets.
	instances int
}

// Run hands out and takes back idle connections until the context ends, and then closes them.
func (pool *ConnPool) Run(ctx context.Context) error {
	pool.idle = make(map[coltsfootlink.TargetName][]*conn)
	pool.unframed = make(map[coltsfootlink.TargetName]unframedAnswers)
	defer pool.closeAll()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			pool.sweep()
		case <-pool.Inbox.Ready():
		}
		for _, delivery := range pool.Inbox.Drain() {
			pool.handle(delivery.Message)
		}
	}
}

func (pool *ConnPool) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case getConn:
		message.reply <- pool.get(message)
	case putConn:
		pool.put(message.conn)
	case unframedBegun:
		pool.setUnframed(message.conn.target, pool.unframed[message.conn.target].WithBegun(message.conn))
	case unframedEnded:
		pool.setUnframed(message.conn.target, pool.unframed[message.conn.target].WithEnded(message.conn, message.at))
	case unframedDropped:
		pool.setUnframed(message.conn.target, pool.unframed[message.conn.target].Without(message.conn))
	case processQuery:
		message.reply <- pool.process(message)
	case coltsfootlink.CatalogChanged:
		pool.catalog = message.Catalog
		pool.closeRemoved()
	case coltsfootlink.ViewChanged:
		pool.instances = len(message.View.Live())
	}
}

// get returns the most recently used connection that is still usable, or nil. It closes unusable ones on the way.
func (pool *ConnPool) get(message getConn) *conn {
	now := pool.Clock.Now()
	for {
		conns := pool.idle[message.target]
		if len(conns) == 0 {
			return nil
		}
		newest := conns[len(conns)-1]
		if newest.idleSince.Before(message.idleNotBefore) {
			return nil
		}
		pool.idle[message.target] = conns[:len(conns)-1]
		if now.Before(newest.idleUntil) && newest.reusable() {
			return newest
		}
		_ = newest.Close()
	}
}

// put adds a connection and closes the longest idle one if there are too many.
func (pool *ConnPool) put(conn *conn) {
	conns := pool.idle[conn.target]
	pool.idle[conn.target] = append(conns, conn)
	if len(conns) >= pool.idleLimit(conn.target) {
		_ = conns[0].Close()
		pool.idle[conn.target] = pool.idle[conn.target][1:]
	}
}

// idleLimit returns the maximum number of idle connections from this instance to a target. It is at least one.
func (pool *ConnPool) idleLimit(name coltsfootlink.TargetName) int {
	targetPool, known := pool.catalog.Table.Pool(pool.catalog.Targets[name].Pool)
	if !known || targetPool.ConnectionLimit <= 0 {
		return maxIdlePerTarget
	}
	limit := idleFraction * float64(targetPool.ConnectionLimit) / float64(max(1, pool.instances))
	return max(1, min(maxIdlePerTarget, int(limit)))
}

// sweep closes the connections whose idle timeout has passed.
func (pool *ConnPool) sweep() {
	now := pool.Clock.Now()
	for name, conns := range pool.idle {
		var remaining []*conn
		for _, conn := range conns {
			if now.Before(conn.idleUntil) {
				remaining = append(remaining, conn)
				continue
			}
			_ = conn.Close()
		}
		pool.idle[name] = remaining
		if len(remaining) == 0 {
			delete(pool.idle, name)
		}
	}
	for name, answers := range pool.unframed {
		pool.setUnframed(name, answers.After(now))
	}
}

// closeRemoved closes the connections to targets that are no longer in the catalog.
func (pool *ConnPool) closeRemoved() {
	for name, conns := range pool.idle {
		if _, exists := pool.catalog.Targets[name]; exists {
			continue
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(pool.idle, name)
	}
}

func (pool *ConnPool) closeAll() {
	for _, conns := range pool.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	pool.idle = nil
}
