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

	"coltsfootlink/metrics"
)

const (
	// welcomeLimit is how long another instance may take to take a connection.
	welcomeLimit = 150 * time.Millisecond
	// tries is how many instances are asked to take a connection.
	tries = 2
	// lingerLimit is how long what a caller still sends is read after the end of the answer.
	lingerLimit = 500 * time.Millisecond
	// welcome is the byte with which an instance takes a connection.
	welcome = 'w'
	// chunkBytes is the most that is copied at a time.
	chunkBytes = 8 << 10
	// maxMethodBytes is the longest method of a request.
	maxMethodBytes = 16
)

var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// passing is a caller's connection that is passed on; it owns both sockets.
type passing struct {
	task   *Task
	caller net.Conn
	back   func(net.Conn)
	// sentAt is when the caller is taken to have sent its first request.
	sentAt time.Time
	// unanswered says that a request has begun behind which no byte of an answer has come.
	unanswered atomic.Bool
}

// failure is the answer to a request that was passed on and may have run, but will not be answered.
const failure = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// run passes the connection on, or brings it back if no instance takes it.
func (passing *passing) run(ctx context.Context) {
	other := passing.find(ctx)
	passing.task.opening.Add(-1)
	if other == nil {
		metrics.Count("connections-brought-back")
		passing.back(passing.caller)
		return
	}
	metrics.Count("connections-passed-on")
	passing.between(ctx, other)
}

// between copies between the caller and the other instance until one of them ends.
func (passing *passing) between(ctx context.Context, other net.Conn) {
	stop := context.AfterFunc(ctx, func() {
		cut(passing.caller)
		cut(other)
	})
	defer stop()
	late := lateness(passing.task.Clock.Now().Sub(passing.sentAt))
	go func() {
		// A caller that has ended waits for nothing more.
		if err := carry(other, passing.caller, late[:], passing.noteRequest); err != nil {
			cut(other)
		} else {
			_ = other.Close()
		}
	}()
	err := carry(passing.caller, other, nil, func([]byte) { passing.unanswered.Store(false) })
	switch {
	case passing.unanswered.Load():
		metrics.Count("passed-on-unanswered")
		// An error means that the caller has left.
		_, _ = io.WriteString(passing.caller, failure)
	case err != nil:
		// An end would make what came look like a whole answer.
		cut(passing.caller)
		cut(other)
		return
	}
	linger(passing.caller)
	_ = other.Close()
}

// noteRequest notes that a request begins, if it begins with these bytes: what goes on with one may come behind a part of
// its answer.
func (passing *passing) noteRequest(fresh []byte) {
	if beginsRequest(fresh) {
		passing.unanswered.Store(true)
	}
}

// beginsRequest says whether bytes begin with a method and a blank.
func beginsRequest(fresh []byte) bool {
	method, _, found := bytes.Cut(fresh[:min(len(fresh), maxMethodBytes+1)], []byte(" "))
	return found && len(method) > 0 && len(bytes.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")) == 0
}

// find returns a connection to an instance that takes the caller; nil if none does.
func (passing *passing) find(ctx context.Context) net.Conn {
	var tried []string
	for range tries {
		address, found := passing.task.Plan().Address(passing.task.Clock.Now(), tried)
		if !found {
			return nil
		}
		tried = append(tried, address)
		if other := passing.ask(ctx, address); other != nil {
			return other
		}
		passing.task.tell(address)
	}
	return nil
}

func (passing *passing) ask(ctx context.Context, address string) net.Conn {
	by := time.Now().Add(welcomeLimit)
	other, err := (&net.Dialer{Deadline: by, KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	var answer [1]byte
	_ = other.SetReadDeadline(by)
	if _, err := io.ReadFull(other, answer[:]); err != nil || answer[0] != welcome {
		_ = other.Close()
		return nil
	}
	_ = other.SetReadDeadline(time.Time{})
	return other
}

// carry copies until the source ends, the head before the first bytes, and notes what it copies before it does; the error is
// that of a connection that broke.
func carry(to, from net.Conn, head []byte, note func(fresh []byte)) error {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	filled := copy(chunk[:], head)
	for {
		count, err := from.Read(chunk[filled:])
		if count > 0 {
			note(chunk[filled : filled+count])
			if _, writeErr := to.Write(chunk[:filled+count]); writeErr != nil {
				return writeErr
			}
			filled = 0
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// linger ends a connection so that what was written to it arrives: what the caller still sends would reset it.
func linger(conn net.Conn) {
	if half, is := conn.(interface{ CloseWrite() error }); is && half.CloseWrite() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(lingerLimit))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, chunkBytes))
	}
	_ = conn.Close()
}

// cut ends a connection so that its other end sees that it broke.
func cut(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
