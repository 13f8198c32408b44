package web

import (
	"net"
	"sync"

	"coltsfootlink"
)

// attended is a listener of connections whose clients are still there: behind a flood, most of those that wait to be
// accepted are not.
type attended struct {
	net.Listener
	// probe measures how long they wait; nil if nobody wants to know.
	probe *Probe
}

// Accept returns the next connection whose client has not left, and closes the others.
func (attended *attended) Accept() (net.Conn, error) {
	for {
		conn, err := attended.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !attended.probes(conn) && !leftConn(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// probes says whether a connection is the probe's.
func (attended *attended) probes(conn net.Conn) bool {
	return attended.probe != nil && attended.probe.asks(conn)
}

// doorway is a listener whose connections a doorman sees first.
type doorway struct {
	net.Listener
	doorman  coltsfootlink.ConnectionFilter
	returned *returned
}

// Accept returns the next connection that is to be served.
func (doorway *doorway) Accept() (net.Conn, error) {
	for {
		conn, err := doorway.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := doorway.doorman.Admit(conn, doorway.returned.put); admitted != nil {
			return admitted, nil
		}
	}
}

// returned is a listener for the connections that a doorman brings back.
type returned struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	close   func()
}

func newReturned(address net.Addr) *returned {
	closed := make(chan struct{})
	return &returned{address: address, conns: make(chan net.Conn), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

// put brings a connection back; it is closed if the server has stopped.
func (returned *returned) put(conn net.Conn) {
	select {
	case returned.conns <- conn:
	case <-returned.closed:
		_ = conn.Close()
	}
}

// Accept returns the next connection that was brought back.
func (returned *returned) Accept() (net.Conn, error) {
	select {
	case conn := <-returned.conns:
		return conn, nil
	case <-returned.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (returned *returned) Close() error {
	returned.close()
	return nil
}

// Addr returns the address of the listener itself.
func (returned *returned) Addr() net.Addr { return returned.address }
