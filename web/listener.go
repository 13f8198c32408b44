package web

import (
	"net"
	"sync"

	"coltsfootlink"
)

// liveListener is a listener that skips connections whose clients have left. After a flood, this is true of most
// connections that wait to be accepted.
type liveListener struct {
	net.Listener
	// probe measures how long connections wait to be accepted; nil for no measurement.
	probe *Probe
}

// Accept returns the next connection whose client has not left and that is not the probe's; it closes the others.
func (listener *liveListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !listener.isProbe(conn) && !connGone(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// isProbe reports whether a connection is the probe's.
func (listener *liveListener) isProbe(conn net.Conn) bool {
	return listener.probe != nil && listener.probe.owns(conn)
}

// filteredListener is a listener that passes each connection through a connection filter.
type filteredListener struct {
	net.Listener
	filter   coltsfootlink.ConnectionFilter
	returned *returnedListener
}

// Accept returns the next connection that the filter admits.
func (listener *filteredListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := listener.filter.Admit(conn, listener.returned.put); admitted != nil {
			return admitted, nil
		}
	}
}

// returnedListener is a listener for the connections that a filter gives back after it did not admit them at first.
type returnedListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	close   func()
}

func newReturnedListener(address net.Addr) *returnedListener {
	closed := make(chan struct{})
	return &returnedListener{address: address, conns: make(chan net.Conn), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

// put gives a connection back to be served; it is closed if the server has stopped.
func (listener *returnedListener) put(conn net.Conn) {
	select {
	case listener.conns <- conn:
	case <-listener.closed:
		_ = conn.Close()
	}
}

// Accept returns the next connection that was given back.
func (listener *returnedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *returnedListener) Close() error {
	listener.close()
	return nil
}

// Addr returns the address of the server's own listener.
func (listener *returnedListener) Addr() net.Addr { return listener.address }
