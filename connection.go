package coltsfootlink

import (
	"net"
	"time"
)

// ConnectionFilter decides whether this instance serves a new connection, before anything is read from it.
type ConnectionFilter interface {
	// Admit returns the connection to serve here, possibly wrapped. It returns nil if the connection is not to be
	// served here; the filter then owns the connection and may pass it to giveBack once, later, so that it is served
	// here after all.
	Admit(conn net.Conn, giveBack func(net.Conn)) net.Conn
}

// DelayedConn is a connection that another instance forwarded, so that its first bytes arrived later than the
// caller sent them.
type DelayedConn interface {
	net.Conn
	// TakeDelay returns the delay of the first bytes. It is known once these have been read; each later call returns zero.
	TakeDelay() time.Duration
}
