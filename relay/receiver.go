package relay

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// frameBufferBytes is the size of the buffer in which headers of frames arrive, with the beginning of their data.
const frameBufferBytes = 1 << 10

// errUnknownFrame means that another instance sent a frame that this one does not know. It is a net.OpError of a read, because
// net/http answers other errors with 400, which the caller would take for an answer to its request.
var errUnknownFrame error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("relay: unknown frame on a forwarded connection")}

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
	return &forwardedConn{TCPConn: tcp, reader: bufio.NewReaderSize(tcp, frameBufferBytes)}
}

// forwardedConn is a connection that another instance forwards to this one.
type forwardedConn struct {
	*net.TCPConn
	reader *bufio.Reader
	// unread is how many bytes of the current data frame have not been read.
	unread      int
	delayMillis atomic.Int64
	stopping    atomic.Pointer[coltsfootlink.Stopping]
}

// Read reads what the caller has sent. An error that leaves the connection usable, such as a timeout, loses no part of a frame.
func (conn *forwardedConn) Read(buffer []byte) (int, error) {
	for conn.unread == 0 {
		if err := conn.readHeader(); err != nil {
			return 0, err
		}
	}
	count, err := conn.reader.Read(buffer[:min(len(buffer), conn.unread)])
	conn.unread -= count
	return count, err
}

// readHeader reads the header of the next frame, and what a stop frame announces.
func (conn *forwardedConn) readHeader() error {
	header, err := conn.reader.Peek(frameBytes)
	if err != nil {
		return err
	}
	frame := decodeFrame(header)
	switch frame.kind {
	case dataFrame:
		conn.unread = int(frame.first)
		conn.delayMillis.Add(int64(frame.second))
	case stopFrame:
		stopping := frame.stopping(time.Now())
		conn.stopping.Store(&stopping)
	default:
		return errUnknownFrame
	}
	_, err = conn.reader.Discard(frameBytes)
	return err
}

// Close closes the connection so that what was written still arrives. A stop frame that has arrived and was not read would make
// the kernel reset it, and the answer before could be lost.
func (conn *forwardedConn) Close() error {
	go closeAfterDrain(conn.TCPConn)
	return nil
}

// TakeDelay returns the delay of the first bytes; each later call returns zero.
func (conn *forwardedConn) TakeDelay() time.Duration {
	return time.Duration(conn.delayMillis.Swap(0)) * time.Millisecond
}

// Stopping returns when the forwarding instance ends; the zero value while it is not known to shut down.
func (conn *forwardedConn) Stopping() coltsfootlink.Stopping {
	if stopping := conn.stopping.Load(); stopping != nil {
		return *stopping
	}
	return coltsfootlink.Stopping{}
}
