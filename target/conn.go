package target

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"coltsfootlink/web"
)

// conn is a connection to a target that counts received bytes.
type conn struct {
	net.Conn
	// echoesIDs indicates that the target has set a request ID in an answer on this connection; it then sets it in all.
	echoesIDs atomic.Bool
	// receivedBytes is the number of bytes received since the current request obtained the connection.
	receivedBytes atomic.Int64
	// closed indicates that net/http has closed the connection, as it does when the write of the request fails.
	closed atomic.Bool
}

// Read reads from the connection and counts the bytes. A connection that was reset does not end with io.EOF: the kernel reports the
// reset once, and possibly to the write of the request.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.receivedBytes.Add(int64(count))
	// The state is not known once the connection is closed.
	if wasReset := err == io.EOF && web.TCPState(conn.Conn) == unix.BPF_TCP_CLOSE; wasReset || err == io.EOF && conn.closed.Load() {
		err = unix.ECONNRESET
	}
	return count, err
}

// Close closes the connection.
func (conn *conn) Close() error {
	conn.closed.Store(true)
	return conn.Conn.Close()
}

// dial opens a connection to a target.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened}, nil
}

// connTracker records the connection on which net/http sends a request. The field is atomic because net/http may set it
// from another goroutine.
type connTracker struct{ current atomic.Pointer[conn] }

// trace returns the hooks that record the connection.
func (tracker *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if opened, is := info.Conn.(*conn); is {
			opened.receivedBytes.Store(0)
			tracker.current.Store(opened)
		}
	}}
}

// mayHaveSent reports whether the request obtained a connection, so that it may have been sent.
func (tracker *connTracker) mayHaveSent() bool { return tracker.current.Load() != nil }

// headTooLong reports whether at least maxHeadBytes were received for the request.
func (tracker *connTracker) headTooLong() bool {
	opened := tracker.current.Load()
	return opened != nil && opened.receivedBytes.Load() >= maxHeadBytes
}
