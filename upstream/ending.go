package upstream

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/web"
)

const (
	// restartTime is the least time from the end of a target's process until the next one accepts connections at its address.
	restartTime = 500 * time.Millisecond
	// receiveTimeout is how long the target's kernel may take to acknowledge the end of the request after the end of the answer, and
	// this process to notice.
	receiveTimeout = 250 * time.Millisecond
	// settleInterval is the time between two looks at whether the target has received the whole request.
	settleInterval = 2 * time.Millisecond
)

// evidence is what is known of an answer whose end is not marked by a length or chunks, once its connection has ended without an
// error. The kernel reports the error of a connection to one of its users only, and a target that crashes closes its connections
// like one that has sent everything, so that end alone shows nothing.
type evidence struct {
	// requestReceived indicates that the target's kernel has acknowledged the whole request.
	requestReceived bool
	// reset indicates that the target has reset the connection.
	reset bool
	// witnessOpen indicates that another connection is still open that was opened while the answer was being received. It belongs
	// to the same process of the target.
	witnessOpen bool
	// reachable indicates that the target's address accepts connections now.
	reachable bool
	// quiet is the time since the last byte of the answer was received, as the kernel measures it, also while this process does
	// not run; zero if it is not known.
	quiet time.Duration
	// leaving indicates that the target has announced its shutdown.
	leaving bool
	// servedOn indicates that bytes of the answer came after the target had closed its listener, as it does when it shuts down.
	servedOn bool
	// othersOpen and othersEnded indicate that other answers of the same process are still being received, or ended together with
	// this one.
	othersOpen, othersEnded bool
}

// verdict says why an answer is complete, or why it may have been cut.
type verdict string

const (
	processAlive    verdict = "process-alive"
	orderlyShutdown verdict = "orderly-shutdown"
	requestUnread   verdict = "request-unread"
	connectionReset verdict = "connection-reset"
	endedWithOthers verdict = "ended-with-others"
	processGone     verdict = "process-gone"
)

// verdict judges the end of the answer. What accepts connections at the address belongs to the process that has sent the answer
// only if no other one can have started since. A process that is gone has cut its answers, unless it was shutting down: it had
// announced that and closed its listener, served on, and this answer did not end together with others.
func (known evidence) verdict() verdict {
	switch {
	case !known.requestReceived:
		return requestUnread
	case known.reset:
		return connectionReset
	case known.witnessOpen, known.othersOpen, known.reachable && known.quiet < restartTime:
		return processAlive
	case known.leaving && known.servedOn && known.othersEnded:
		return endedWithOthers
	case known.leaving && known.servedOn:
		return orderlyShutdown
	default:
		return processGone
	}
}

// whole reports whether the answer is complete.
func (verdict verdict) whole() bool { return verdict == processAlive || verdict == orderlyShutdown }

// incompleteError is the error of an answer without a length or chunks that may have been cut.
type incompleteError struct {
	verdict verdict
	known   evidence
}

// Error gives the verdict and the evidence.
func (incomplete *incompleteError) Error() string {
	return fmt.Sprintf("the answer has no length and may have been cut: %s (%+v)", incomplete.verdict, incomplete.known)
}

// Unwrap makes it an unexpected end.
func (incomplete *incompleteError) Unwrap() error { return io.ErrUnexpectedEOF }

// ending collects the evidence for one answer. It holds the witness.
type ending struct {
	client  *Client
	target  coltsfootlink.Target
	conn    *conn
	written <-chan error
	// leaving indicates that the head of the answer announces the target's shutdown.
	leaving bool
	// seen receives one value, once stopWatch was called.
	seen      chan observation
	stopWatch context.CancelFunc
}

// newEnding begins to watch the target's process in the background.
func (client *Client) newEnding(ctx context.Context, target coltsfootlink.Target, answering *conn, written <-chan error, leaving bool) *ending {
	ending := &ending{client: client, target: target, conn: answering, written: written, leaving: leaving, seen: make(chan observation, 1)}
	ctx, ending.stopWatch = context.WithCancel(ctx)
	client.tell(unframedBegun{conn: answering})
	go func() { ending.seen <- ending.watch(ctx) }()
	return ending
}

// check returns an error unless the answer, whose connection has just ended without an error, is complete.
func (ending *ending) check(ctx context.Context) error {
	endedAt := ending.client.Clock.Now()
	ending.client.tell(unframedEnded{conn: ending.conn, at: endedAt})
	ending.stopWatch()
	known := evidence{requestReceived: ending.awaitRequestReceived()}
	known.reset = web.TCPState(ending.conn.Conn) == unix.BPF_TCP_CLOSE
	known.quiet = web.SinceLastByte(ending.conn.Conn)
	lastByteAt := ending.client.Clock.Now().Add(-known.quiet)
	seen := <-ending.seen
	if seen.witness != nil {
		known.witnessOpen = ending.client.staysOpen(seen.witness)
	}
	if known.requestReceived && !known.reset && !known.witnessOpen {
		known.reachable = !ending.client.Unreachable(ctx, ending.target)
		known.servedOn = !seen.refusedAt.IsZero() && lastByteAt.Sub(seen.refusedAt) >= exitTimeout
	}
	if known.verdict() == processGone {
		known = ending.withProcess(ctx, known, endedAt, lastByteAt)
	}
	verdict := known.verdict()
	metrics.Count("unframed-answers-" + string(verdict))
	if !verdict.whole() {
		return &incompleteError{verdict: verdict, known: known}
	}
	return nil
}

// withProcess adds what the pool knows of the target and of its other answers. Answers that are cut by the same crash end within
// exitTimeout.
func (ending *ending) withProcess(ctx context.Context, known evidence, endedAt, lastByteAt time.Time) evidence {
	query := processQuery{conn: ending.conn, lastByteAt: lastByteAt}
	process := ending.client.askProcess(ctx, query)
	known.leaving = process.leaving || ending.leaving
	if process.open > 0 || known.leaving && known.servedOn {
		pause(ctx, endedAt.Add(exitTimeout).Sub(ending.client.Clock.Now()))
		process = ending.client.askProcess(ctx, query)
	}
	known.othersOpen, known.othersEnded = process.open > 0, process.ended > 0
	return known
}

// awaitRequestReceived reports whether the target's kernel has acknowledged the whole request, receiveTimeout after the end of the
// answer at the latest.
func (ending *ending) awaitRequestReceived() bool {
	deadline := ending.client.Clock.Now().Add(receiveTimeout)
	select {
	case err := <-ending.written:
		if err != nil {
			return false
		}
	case <-time.After(receiveTimeout):
		return false
	}
	for web.Unacknowledged(ending.conn.Conn) > 0 {
		if !ending.client.Clock.Now().Before(deadline) {
			return false
		}
		time.Sleep(settleInterval)
	}
	return true
}

// release ends the watch if its result is not needed.
func (ending *ending) release() {
	ending.client.tell(unframedDropped{conn: ending.conn})
	ending.stopWatch()
	go func() {
		if seen := <-ending.seen; seen.witness != nil {
			ending.client.returnUnused(seen.witness)
		}
	}()
}

// staysOpen reports whether a target keeps an unused connection open for exitTimeout, and gives it back if so.
func (client *Client) staysOpen(unused *conn) bool {
	if unused.endsBefore(client.Clock.Now().Add(exitTimeout)) != nil {
		_ = unused.Close()
		return false
	}
	client.returnUnused(unused)
	return true
}
