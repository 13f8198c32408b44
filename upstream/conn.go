// Package upstream sends requests to targets over connections that it keeps.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"coltsfootlink"
)

const (
	// dialLimit is how long a target may take to answer a new connection.
	dialLimit = 400 * time.Millisecond
	// unackedLimit is how long a target may take to acknowledge bytes before the connection counts as broken.
	unackedLimit = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that went silent.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// readBytes is the size of the read buffer of a connection.
	readBytes = 4 << 10
	// maxHeadBytes is the largest head of an answer.
	maxHeadBytes = 64 << 10
	// maxInterim is the most interim answers that are passed over before an answer.
	maxInterim = 5
)

// conn is a connection to a target. It belongs to the keeper while it is idle, and otherwise to the exchange
// that uses it.
type conn struct {
	net.Conn

	target coltsfootlink.TargetName
	reader *bufio.Reader
	// allowance is the most bytes that may be read before the head of the answer has ended; negative if there is no bound.
	allowance int64
	// reused says that the connection has carried a request before.
	reused bool
	// idleSince is when the last answer ended, and idleUntil when the connection is too old to be used.
	idleSince, idleUntil time.Time
}

// errNotAccepted tells that a target has not answered a connection within the limit.
var errNotAccepted = errors.New("the target did not accept the connection in time")

// dial opens a connection to a target.
func dial(ctx context.Context, target coltsfootlink.Target) (*conn, error) {
	// The dialer is to see the end of the context, not its deadline: it times out at that a moment before the context
	// ends, which looks like a target that does not answer.
	dialing, giveUp := context.WithCancelCause(context.WithoutCancel(ctx))
	defer giveUp(nil)
	defer context.AfterFunc(ctx, func() { giveUp(ctx.Err()) })()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			limitDial(dialing, raw, giveUp)
			return limitUnacked(raw)
		},
	}
	socket, err := dialer.DialContext(dialing, "tcp4", target.Address)
	if err != nil {
		return nil, dialError(dialing, err)
	}
	opened := &conn{Conn: socket, target: target.Name, allowance: -1}
	opened.reader = bufio.NewReaderSize(opened, readBytes)
	return opened, nil
}

// limitDial gives a dial up whose target has not answered within the limit. The kernel is asked, for an answer may have
// come and wait for the processor of this instance.
func limitDial(dialing context.Context, raw syscall.RawConn, giveUp context.CancelCauseFunc) {
	time.AfterFunc(dialLimit, func() {
		if dialing.Err() != nil {
			return
		}
		switch stateOf(raw) {
		case unix.BPF_TCP_ESTABLISHED:
		case unix.BPF_TCP_CLOSE:
			// The dial has not begun, or its failure has not been seen yet.
			time.AfterFunc(dialLimit, func() {
				if stateOf(raw) != unix.BPF_TCP_ESTABLISHED {
					giveUp(errNotAccepted)
				}
			})
		default:
			giveUp(errNotAccepted)
		}
	})
}

// stateOf returns the kernel's state of a socket; zero if it is gone or the kernel does not say.
func stateOf(raw syscall.RawConn) uint8 {
	var state uint8
	err := raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state = info.State
		}
	})
	if err != nil {
		return 0
	}
	return state
}

// dialError says why there is no connection: the library calls it canceled when the dial was given up here.
func dialError(dialing context.Context, err error) error {
	if errors.Is(context.Cause(dialing), errNotAccepted) {
		return errNotAccepted
	}
	return err
}

// errHeadTooLong tells that the head of an answer does not end where heads do.
var errHeadTooLong = errors.New("the head of the answer is too long")

// Read reads from the target, in the head of an answer up to the allowance.
func (conn *conn) Read(buffer []byte) (int, error) {
	if conn.allowance == 0 {
		return 0, errHeadTooLong
	}
	if conn.allowance > 0 {
		buffer = buffer[:min(int64(len(buffer)), conn.allowance)]
	}
	count, err := conn.Conn.Read(buffer)
	if conn.allowance > 0 {
		conn.allowance -= int64(count)
	}
	return count, err
}

// readHead reads the head of an answer.
func (conn *conn) readHead(method string) (*http.Response, error) {
	conn.allowance = maxHeadBytes
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	conn.allowance = -1
	return response, err
}

// readFinal reads the head of the next answer that is no interim one.
func (conn *conn) readFinal(method string) (*http.Response, error) {
	for range maxInterim + 1 {
		response, err := conn.readHead(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// abort closes a connection whose exchange has not ended. Bytes that wait to be sent are dropped, so that the
// target does not get them after a partition.
func (conn *conn) abort() {
	if socket, is := conn.Conn.(*net.TCPConn); is {
		// An error means that the connection is closed already.
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// limitUnacked makes the kernel break a connection whose bytes are not acknowledged.
func limitUnacked(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// quiet says that nothing has come on an idle connection: neither its end nor bytes that nobody asked for.
func (conn *conn) quiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	control, is := conn.Conn.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
