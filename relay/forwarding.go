package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/web"
)

const (
	// acceptTimeout limits how long connecting to another instance and its confirmation may take together.
	acceptTimeout = 150 * time.Millisecond
	// maxAttempts is how many instances are tried before the connection is given back.
	maxAttempts = 2
	// writeTimeout limits how long a chunk may wait for its receiver to read.
	writeTimeout = 10 * time.Second
	// endTimeout limits how long the callers of forwarded connections may take to read their last answers when this instance ends.
	endTimeout = 200 * time.Millisecond
	// lingerTimeout limits how long data that the caller still sends is read and discarded after the end of the
	// response.
	lingerTimeout = 500 * time.Millisecond
	// acceptByte is sent by an instance to confirm that it accepts a forwarded connection with frames. Versions that sent no
	// frames used another byte; they and this one do not forward to each other.
	acceptByte = 'f'
	// chunkBytes is the size of the copy buffer.
	chunkBytes = 8 << 10
	// maxMethodBytes is the maximum length of a request's method.
	maxMethodBytes = 16
)

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// forwarding is a caller's connection that is forwarded to another instance; it owns both sockets.
type forwarding struct {
	task     *Task
	caller   net.Conn
	giveBack func(net.Conn)
	// sentAt is the estimated time at which the caller sent its first request; zero once that has been forwarded.
	sentAt time.Time
	// awaitsResponse indicates that a request has begun and no byte of its response has arrived.
	awaitsResponse atomic.Bool
	// lastResponseAt is when the last bytes of a response arrived, as Unix milliseconds; zero if none has.
	lastResponseAt atomic.Int64
}

// badGateway is the response to a forwarded request that may have run, but whose response will not come.
const badGateway = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// run forwards the connection, or gives it back to the server if no other instance accepts it.
func (forwarding *forwarding) run(ctx context.Context) {
	other := forwarding.connect(ctx)
	forwarding.task.opening.Add(-1)
	if other == nil {
		metrics.Count("connections-brought-back")
		forwarding.giveBack(forwarding.caller)
		return
	}
	metrics.Count("connections-passed-on")
	forwarding.copyBoth(ctx, other)
}

// copyBoth copies data in both directions between the caller and the other instance until one of them closes its
// connection. Once this instance shuts down, it tells the other one.
func (forwarding *forwarding) copyBoth(ctx context.Context, other net.Conn) {
	stop := context.AfterFunc(ctx, func() {
		forwarding.logReset()
		// The copy of the response ends with an error then, and the caller gets an answer if none has begun. A caller that does
		// not read keeps nothing waiting.
		reset(other)
		_ = forwarding.caller.SetWriteDeadline(time.Now().Add(endTimeout))
	})
	defer stop()
	defer forwarding.task.shutdown.subscribe(func(stopping coltsfootlink.Stopping) { forwarding.announce(other, stopping) })()
	var requestBroken atomic.Bool
	go func() {
		// A caller that has closed its direction waits for no further response.
		if err := copyStream(other, forwarding.caller, frameBytes, forwarding.frameRequest); err != nil {
			requestBroken.Store(true)
			reset(other)
		} else {
			_ = other.Close()
		}
	}()
	err := copyStream(forwarding.caller, other, 0, forwarding.markResponse)
	// The kernel reports a reset once, here to the copy of the request, which then closes the connection.
	if wasReset := web.TCPState(other) == unix.BPF_TCP_CLOSE; err == nil && (wasReset || requestBroken.Load()) {
		err = unix.ECONNRESET
	}
	switch {
	case forwarding.awaitsResponse.Load():
		metrics.Count("passed-on-unanswered")
		// Writing fails only if the caller has disconnected.
		_, _ = io.WriteString(forwarding.caller, badGateway)
	case err != nil:
		// Closing normally would make the truncated response look complete.
		reset(forwarding.caller)
		reset(other)
		return
	}
	closeAfterDrain(forwarding.caller)
	_ = other.Close()
}

// announce tells the other instance that this one shuts down, so that it accepts no request that would outlast this one. The
// frame is one write, so it cannot come between the bytes of another frame.
func (forwarding *forwarding) announce(other net.Conn, stopping coltsfootlink.Stopping) {
	var header [frameBytes]byte
	newStopFrame(forwarding.task.Clock.Now(), stopping).put(header[:])
	_ = other.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := other.Write(header[:]); err != nil {
		metrics.Count("stop-not-announced")
	}
}

// frameRequest puts the header before bytes that the caller has sent. Only the first bytes of a connection have been delayed.
func (forwarding *forwarding) frameRequest(header, chunk []byte) {
	forwarding.markRequest(chunk)
	var delay time.Duration
	if !forwarding.sentAt.IsZero() {
		delay = forwarding.task.Clock.Now().Sub(forwarding.sentAt)
		forwarding.sentAt = time.Time{}
	}
	newDataFrame(len(chunk), delay).put(header)
}

// markRequest records that a request has begun if the chunk looks like the start of one. Later chunks of a request
// must not count, because they may follow the first bytes of its response.
func (forwarding *forwarding) markRequest(chunk []byte) {
	if beginsRequest(chunk) {
		forwarding.awaitsResponse.Store(true)
	}
}

// markResponse records that bytes of a response have arrived.
func (forwarding *forwarding) markResponse(_, _ []byte) {
	forwarding.awaitsResponse.Store(false)
	forwarding.lastResponseAt.Store(forwarding.task.Clock.Now().UnixMilli())
}

// logReset logs that the connection is reset because this instance ends, and what the caller may lose with it.
func (forwarding *forwarding) logReset() {
	awaits := forwarding.awaitsResponse.Load()
	if awaits {
		metrics.Count("forwarded-reset-unanswered")
	}
	line := forwarding.task.Log.Info().Stringer("caller", forwarding.caller.RemoteAddr()).Bool("awaits-response", awaits)
	if last := forwarding.lastResponseAt.Load(); last > 0 {
		line = line.Int64("last-response-ms", forwarding.task.Clock.Now().UnixMilli()-last)
	}
	line.Msg("relay: forwarded connection reset, the instance ends")
}

// beginsRequest reports whether a chunk begins with an HTTP method and a space.
func beginsRequest(chunk []byte) bool {
	method, _, found := bytes.Cut(chunk[:min(len(chunk), maxMethodBytes+1)], []byte(" "))
	return found && len(method) > 0 && len(bytes.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")) == 0
}

// connect returns a connection to an instance that accepts the caller's connection; nil if none does.
func (forwarding *forwarding) connect(ctx context.Context) net.Conn {
	var attempted []string
	for range maxAttempts {
		address, found := forwarding.task.Plan().Address(forwarding.task.Clock.Now(), attempted)
		if !found {
			return nil
		}
		attempted = append(attempted, address)
		if other := forwarding.dial(ctx, address); other != nil {
			return other
		}
		forwarding.task.reportRefusal(address)
	}
	return nil
}

// dial connects to an instance and waits for its confirmation; it returns nil if none comes in time.
func (forwarding *forwarding) dial(ctx context.Context, address string) net.Conn {
	deadline := time.Now().Add(acceptTimeout)
	other, err := (&net.Dialer{Deadline: deadline, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	var reply [1]byte
	_ = other.SetReadDeadline(deadline)
	if _, err := io.ReadFull(other, reply[:]); err != nil || reply[0] != acceptByte {
		_ = other.Close()
		return nil
	}
	_ = other.SetReadDeadline(time.Time{})
	return other
}

// copyStream copies from the source until it ends. Before it writes a chunk, it calls prepare with the chunk and with room for a
// header that is written before it. The error is that of a connection that broke.
func copyStream(destination, source net.Conn, headerBytes int, prepare func(header, chunk []byte)) error {
	buffer := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buffer)
	for {
		count, err := source.Read(buffer[headerBytes:])
		if count > 0 {
			prepare(buffer[:headerBytes], buffer[headerBytes:headerBytes+count])
			// Setting it fails only on a closed connection, on which writing fails, too.
			_ = destination.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, writeErr := destination.Write(buffer[:headerBytes+count]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// closeAfterDrain closes a connection so that data already written still reaches the caller. Data that the caller is
// still sending is read first, because unread data would make the kernel reset the connection.
func closeAfterDrain(conn net.Conn) {
	if half, is := conn.(interface{ CloseWrite() error }); is && half.CloseWrite() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, chunkBytes))
	}
	_ = conn.Close()
}

// reset closes a connection with a TCP reset, so that the other end sees an error instead of a normal end.
func reset(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
