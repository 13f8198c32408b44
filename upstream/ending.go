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
}

// verdict says why an answer is complete, or why it may have been cut.
type verdict string

const (
	processAlive    verdict = "process-alive"
	requestUnread   verdict = "request-unread"
	connectionReset verdict = "connection-reset"
	processGone     verdict = "process-gone"
)

// verdict judges the end of the answer. What accepts connections at the address belongs to the process that has sent the answer
// only if no other one can have started since.
func (known evidence) verdict() verdict {
	switch {
	case !known.requestReceived:
		return requestUnread
	case known.reset:
		return connectionReset
	case known.witnessOpen, known.reachable && known.quiet < restartTime:
		return processAlive
	default:
		return processGone
	}
}

// whole reports whether the answer is complete.
func (verdict verdict) whole() bool { return verdict == processAlive }

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
	// witness receives one value: the witness, or nil if there is none.
	witness chan *conn
}

// newEnding opens a witness in the background.
func (client *Client) newEnding(ctx context.Context, target coltsfootlink.Target, answering *conn, written <-chan error) *ending {
	ending := &ending{client: client, target: target, conn: answering, written: written, witness: make(chan *conn, 1)}
	go func() { ending.witness <- ending.openWitness(ctx) }()
	return ending
}

// openWitness returns a new connection to the target, or nil if the answer had ended before it was accepted.
func (ending *ending) openWitness(ctx context.Context) *conn {
	if web.TCPState(ending.conn.Conn) != unix.BPF_TCP_ESTABLISHED {
		return nil
	}
	witness, err := dial(ctx, ending.target)
	if err != nil {
		return nil
	}
	if web.TCPState(ending.conn.Conn) != unix.BPF_TCP_ESTABLISHED {
		ending.client.returnUnused(witness)
		return nil
	}
	return witness
}

// check returns an error unless the answer, whose connection has just ended without an error, is complete.
func (ending *ending) check(ctx context.Context) error {
	known := evidence{requestReceived: ending.awaitRequestReceived()}
	known.reset = web.TCPState(ending.conn.Conn) == unix.BPF_TCP_CLOSE
	known.quiet = web.SinceLastByte(ending.conn.Conn)
	if witness := <-ending.witness; witness != nil {
		known.witnessOpen = ending.client.staysOpen(witness)
	}
	if !known.witnessOpen && !known.reset && known.requestReceived {
		known.reachable = !ending.client.Unreachable(ctx, ending.target)
	}
	verdict := known.verdict()
	metrics.Count("unframed-answers-" + string(verdict))
	if !verdict.whole() {
		return &incompleteError{verdict: verdict, known: known}
	}
	return nil
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

// release gives the witness back if it was not needed.
func (ending *ending) release() {
	go func() {
		if witness := <-ending.witness; witness != nil {
			ending.client.returnUnused(witness)
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
