package relay

import (
	"encoding/binary"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"
)

// delayBytes is the size of the header that precedes a forwarded connection's first bytes. The header holds their
// delay in milliseconds.
const delayBytes = 2

// encodeDelay encodes the delay of a forwarded connection's first bytes, clamped to the range of an unsigned 16-bit
// number.
func encodeDelay(delay time.Duration) [delayBytes]byte {
	var encoded [delayBytes]byte
	binary.BigEndian.PutUint16(encoded[:], uint16(min(math.MaxUint16, max(0, delay.Milliseconds()))))
	return encoded
}

// Receiver is the connection filter of the listener on which other instances forward connections. It accepts a
// connection, and confirms this with a byte, only while this instance has capacity.
type Receiver struct {
	// Full reports whether this instance has no capacity left for forwarded connections.
	Full func() bool
}

// Admit confirms the connection and returns it, or closes it.
func (receiver Receiver) Admit(conn net.Conn, _ func(net.Conn)) net.Conn {
	tcp, is := conn.(*net.TCPConn)
	if !is || receiver.Full() {
		_ = conn.Close()
		return nil
	}
	if _, err := conn.Write([]byte{acceptByte}); err != nil {
		_ = conn.Close()
		return nil
	}
	return &forwardedConn{TCPConn: tcp}
}

// forwardedConn is a connection that another instance forwards to this one.
type forwardedConn struct {
	*net.TCPConn
	head [delayBytes]byte
	// headRead is the number of bytes of the header that have been read.
	headRead    int
	delayMillis atomic.Int64
}

// Read reads what the caller has sent. The first call also reads the header with the delay.
func (conn *forwardedConn) Read(buffer []byte) (int, error) {
	if conn.headRead < delayBytes {
		count, err := io.ReadFull(conn.TCPConn, conn.head[conn.headRead:])
		conn.headRead += count
		if err != nil {
			return 0, err
		}
		conn.delayMillis.Store(int64(binary.BigEndian.Uint16(conn.head[:])))
	}
	return conn.TCPConn.Read(buffer)
}

// TakeDelay returns the delay of the first bytes; each later call returns zero.
func (conn *forwardedConn) TakeDelay() time.Duration {
	return time.Duration(conn.delayMillis.Swap(0)) * time.Millisecond
}
