package coltsfootlink

import "net"

// Doorman decides what becomes of a new connection before anything is read from it.
type Doorman interface {
	// Admit says whether the connection is to be served here. If not, it is the doorman's, which may bring it back
	// later, once, to be served here after all.
	Admit(conn net.Conn, back func(net.Conn)) bool
}
