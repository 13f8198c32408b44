package relay

import (
	"encoding/binary"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"
)

// latenessBytes is the size of the lateness before the first bytes of a connection that is passed on, in milliseconds.
const latenessBytes = 2

// lateness encodes how late the first bytes of a connection are passed on.
func lateness(late time.Duration) [latenessBytes]byte {
	var encoded [latenessBytes]byte
	binary.BigEndian.PutUint16(encoded[:], uint16(min(math.MaxUint16, max(0, late.Milliseconds()))))
	return encoded
}

// Entrance is the doorman where other instances pass connections on: it takes them only while there is room, and says so.
type Entrance struct {
	// Full says that this instance has enough to do itself.
	Full func() bool
}

// Admit takes a connection or closes it.
func (entrance Entrance) Admit(conn net.Conn, _ func(net.Conn)) net.Conn {
	tcp, is := conn.(*net.TCPConn)
	if !is || entrance.Full() {
		_ = conn.Close()
		return nil
	}
	if _, err := conn.Write([]byte{welcome}); err != nil {
		_ = conn.Close()
		return nil
	}
	return &passed{TCPConn: tcp}
}

// passed is a connection that another instance passes on.
type passed struct {
	*net.TCPConn
	head [latenessBytes]byte
	// known is how much of the head has been read.
	known int
	late  atomic.Int64
}

// Read reads what the caller has sent.
func (passed *passed) Read(buffer []byte) (int, error) {
	if passed.known < latenessBytes {
		count, err := io.ReadFull(passed.TCPConn, passed.head[passed.known:])
		passed.known += count
		if err != nil {
			return 0, err
		}
		passed.late.Store(int64(binary.BigEndian.Uint16(passed.head[:])))
	}
	return passed.TCPConn.Read(buffer)
}

// TakeDelay returns how late the first bytes were forwarded; each later call returns zero.
func (passed *passed) TakeDelay() time.Duration {
	return time.Duration(passed.late.Swap(0)) * time.Millisecond
}
