package coltsfootlink

import (
	"net"
	"time"
)

// Doorman decides what becomes of a new connection before anything is read from it.
type Doorman interface {
	// Admit returns the connection as it is to be served here; nil if it is not. It is the doorman's then, which may
	// bring it back later, once, to be served here after all.
	Admit(conn net.Conn, back func(net.Conn)) net.Conn
}

// Late is a connection whose first bytes came later than they were sent.
type Late interface {
	net.Conn
	// TakeLateness returns how much later, once the first bytes have been read, and zero after that.
	TakeLateness() time.Duration
}
