package target

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	// echoes says that the target has named a request in an answer on it; it then names each.
	echoes atomic.Bool
	// received is the number of bytes that came since it was given to its newest request.
	received atomic.Int64
}

// Read reads what the target has sent.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.received.Add(int64(count))
	return count, err
}

// dial opens a connection to a target.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened}, nil
}

// carrier notes the newest connection that carries a request; the library may call it from another goroutine.
type carrier struct{ newest atomic.Pointer[conn] }

// trace returns what notes the connection.
func (carrier *carrier) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if opened, is := info.Conn.(*conn); is {
			opened.received.Store(0)
			carrier.newest.Store(opened)
		}
	}}
}

// sent says that the request may have been sent.
func (carrier *carrier) sent() bool { return carrier.newest.Load() != nil }

// tooLong says that as much has come as the head of an answer may have.
func (carrier *carrier) tooLong() bool {
	opened := carrier.newest.Load()
	return opened != nil && opened.received.Load() >= maxHeadBytes
}
