// Package upstream sends requests to targets over HTTP/1.1 and pools the idle connections to them.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/web"
)

const (
	// dialTimeout is how long a target may take to accept a new connection.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long a target may take to acknowledge bytes before the connection counts as broken.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive settings: probes start after
	// keepAliveIdle without traffic, and the connection is broken after keepAliveCount unanswered ones.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// exitTimeout is how long the listener of a process that ends may stay open after its connections have broken.
	exitTimeout = 30 * time.Millisecond
	// readBytes is the size of the read buffer of a connection.
	readBytes = 4 << 10
	// maxHeadBytes is the largest head of an answer, and maxHeadLines the number of its lines after which no more is read; a
	// decoded header takes many times the bytes of a short line.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// maxStatus is the highest status of RFC 9110, section 15.
	maxStatus = 599
	// maxInterimAnswers is the largest number of interim (1xx) answers that are skipped before a final one.
	maxInterimAnswers = 5
)

// conn is a connection to a target. While it is idle it belongs to the ConnPool, otherwise to the call that uses it.
type conn struct {
	net.Conn

	target coltsfootlink.TargetName
	reader *bufio.Reader
	// headBytesLeft is how many bytes may still be read while the head of an answer is read; negative for no limit.
	headBytesLeft int64
	// headLines is how many lines were read of the head.
	headLines int
	// answerBegun indicates that a byte of the newest head was received.
	answerBegun bool
	// reused indicates that the connection was taken from the pool, so it has usually carried a request before.
	reused bool
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is when the connection became idle, and idleUntil when it may no longer be reused.
	idleSince, idleUntil time.Time
}

// errNotAccepted is the error of a dial that was cancelled because the target did not accept within dialTimeout.
var errNotAccepted = errors.New("the target did not accept the connection in time")

// dial opens a connection to a target.
func dial(ctx context.Context, target coltsfootlink.Target) (*conn, error) {
	// The dialer gets a context that is cancelled with ctx but has no deadline. With a deadline it would time out just
	// before ctx ends, and this would look like a target that does not accept.
	dialContext, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() { cancel(ctx.Err()) })()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			cancelSlowDial(dialContext, raw, cancel)
			return setUnackedTimeout(raw)
		},
	}
	socket, err := dialer.DialContext(dialContext, "tcp4", target.Address)
	if err != nil {
		return nil, dialError(dialContext, err)
	}
	opened := &conn{Conn: socket, target: target.Name, headBytesLeft: -1, openedAt: time.Now()}
	opened.reader = bufio.NewReaderSize(opened, readBytes)
	return opened, nil
}

// cancelSlowDial cancels a dial that the target has not accepted within dialTimeout. It checks the state of the socket in
// the kernel: if this instance is short of CPU, the target may have accepted though the dialer has not run yet.
func cancelSlowDial(dialContext context.Context, raw syscall.RawConn, cancel context.CancelCauseFunc) {
	time.AfterFunc(dialTimeout, func() {
		if dialContext.Err() != nil {
			return
		}
		switch web.RawTCPState(raw) {
		case unix.BPF_TCP_ESTABLISHED:
		case unix.BPF_TCP_CLOSE:
			// The dial has not started, or its failure has not been processed yet. It gets one more timeout.
			time.AfterFunc(dialTimeout, func() {
				if web.RawTCPState(raw) != unix.BPF_TCP_ESTABLISHED {
					cancel(errNotAccepted)
				}
			})
		default:
			cancel(errNotAccepted)
		}
	})
}

// dialError returns errNotAccepted if cancelSlowDial cancelled the dial, where the dialer reports only a cancellation,
// and otherwise err.
func dialError(dialContext context.Context, err error) error {
	if errors.Is(context.Cause(dialContext), errNotAccepted) {
		return errNotAccepted
	}
	return err
}

// errHeadTooLong is the error of an answer whose head is longer than maxHeadBytes or has more than maxHeadLines.
var errHeadTooLong = errors.New("the head of the answer is too long")

// Read reads from the target. While the head of an answer is read, it fails with errHeadTooLong after maxHeadBytes or
// maxHeadLines.
func (conn *conn) Read(buffer []byte) (int, error) {
	if conn.headBytesLeft == 0 || conn.headBytesLeft > 0 && conn.headLines > maxHeadLines {
		return 0, errHeadTooLong
	}
	if conn.headBytesLeft > 0 {
		buffer = buffer[:min(int64(len(buffer)), conn.headBytesLeft)]
	}
	count, err := conn.Conn.Read(buffer)
	if conn.headBytesLeft > 0 {
		conn.headBytesLeft -= int64(count)
		conn.headLines += bytes.Count(buffer[:count], []byte("\n"))
	}
	return count, err
}

// readHead reads the head of the next answer, which may be an interim one.
func (conn *conn) readHead(method string) (*http.Response, error) {
	conn.headBytesLeft, conn.headLines = maxHeadBytes, 0
	// The error of Peek is that of the read that follows.
	begun, _ := conn.reader.Peek(1)
	conn.answerBegun = len(begun) > 0
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	conn.headBytesLeft = -1
	return response, err
}

// errInvalidStatus marks answers whose status is none of HTTP, or 101 without a request to switch protocols. What follows such a
// head on the connection can't be told.
var errInvalidStatus = errors.New("the status of the answer is invalid")

// readFinal reads the head of the next final answer and skips up to maxInterimAnswers interim ones.
func (conn *conn) readFinal(method string) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		response, err := conn.readHead(method)
		if err != nil {
			return nil, err
		}
		switch status := response.StatusCode; {
		case status < http.StatusContinue, status > maxStatus, status == http.StatusSwitchingProtocols:
			return nil, errors.Wrapf(errInvalidStatus, "status %q", response.Status)
		case status >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errors.New("too many interim (1xx) answers before the final one")
}

// abort resets a connection before its call is complete. Unsent bytes are dropped, so that the target does not receive
// them after a network partition has healed.
func (conn *conn) abort() {
	if socket, is := conn.Conn.(*net.TCPConn); is {
		// An error means that the connection is already closed.
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// endsBefore returns the error with which an unused connection ends before a deadline, io.EOF if the target closes it; nil if it
// stays open.
func (conn *conn) endsBefore(deadline time.Time) error {
	// The calls fail only for a connection that is closed already, and then Peek fails, too.
	_ = conn.SetReadDeadline(deadline)
	_, err := conn.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// awaitEnd returns the error with which an unused connection ends; nil if the context ends first.
func (conn *conn) awaitEnd(ctx context.Context) error {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetReadDeadline(time.Now())
		close(interrupted)
	})
	_, err := conn.reader.Peek(1)
	if err == nil {
		// Bytes that nobody has asked for; the end behind them is not seen.
		<-ctx.Done()
	}
	if !stop() {
		<-interrupted
	}
	_ = conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// setUnackedTimeout makes the kernel break the connection if sent bytes are not acknowledged within unackedTimeout.
func setUnackedTimeout(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// reusable reports whether nothing was received on an idle connection: neither its end nor unrequested bytes.
func (conn *conn) reusable() bool {
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
	nothingReceived := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingReceived = err == unix.EAGAIN
		return true
	})
	return err == nil && nothingReceived
}
