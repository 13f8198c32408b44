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

// ForwardedConn is a connection that another instance forwarded. Its first bytes arrived later than the caller sent them, and
// it ends with that instance.
type ForwardedConn interface {
	net.Conn
	// TakeDelay returns the delay of the first bytes. It is known once these have been read; each later call returns zero.
	TakeDelay() time.Duration
	// Stopping returns when the forwarding instance ends; the zero value while it is not known to shut down.
	Stopping() Stopping
}
