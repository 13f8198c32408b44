package upstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"coltsfootlink/web"
)

const (
	// maxWitnesses is the largest number of connections that are opened as witnesses of one answer.
	maxWitnesses = 16
	// shutdownProbeInterval is the interval at which the listener of a target that is shutting down is probed.
	shutdownProbeInterval = time.Second
)

// observation is what was seen of a target's process while it sent an answer.
type observation struct {
	// witness is a connection that was opened while the answer was being received; nil if there is none. It belongs to the
	// process that sends the answer.
	witness *conn
	// refusedAt is when the target refused connections while the answer was being received; zero if it did not.
	refusedAt time.Time
}

// watch keeps a witness of the answer until the context ends. A target that shuts down closes its listener and its unused
// connections before its last answers have ended, one that crashes closes all at the same time. So a witness that ends is replaced,
// and that of a target that is shutting down at intervals, until the target refuses connections.
func (ending *ending) watch(ctx context.Context) observation {
	var seen observation
	for range maxWitnesses {
		next, err := ending.openWitness(ctx)
		switch {
		case next != nil:
			if seen.witness != nil {
				_ = seen.witness.Close()
			}
			seen.witness = next
		case errors.Is(err, unix.ECONNREFUSED) && ending.answering():
			seen.refusedAt = ending.client.Clock.Now()
			return seen
		default:
			return seen
		}
		if !ending.awaitReplacement(ctx, next) {
			return seen
		}
	}
	return seen
}

// openWitness returns a new connection to the target; nil if it was not accepted, or the answer had ended before.
func (ending *ending) openWitness(ctx context.Context) (*conn, error) {
	if !ending.answering() {
		return nil, nil
	}
	witness, err := dial(ctx, ending.target)
	if err != nil {
		return nil, err
	}
	if !ending.answering() {
		ending.client.returnUnused(witness)
		return nil, nil
	}
	return witness, nil
}

// answering reports whether the target has not closed the connection of the answer, as far as the kernel knows.
func (ending *ending) answering() bool {
	return web.TCPState(ending.conn.Conn) == unix.BPF_TCP_ESTABLISHED
}

// awaitReplacement waits until the witness has ended or the target is shutting down; it returns false if the context ends first.
func (ending *ending) awaitReplacement(ctx context.Context, witness *conn) bool {
	for {
		interval, stop := context.WithTimeout(ctx, shutdownProbeInterval)
		err := witness.awaitEnd(interval)
		stop()
		switch {
		case ctx.Err() != nil:
			return false
		case err != nil:
			// The listener may be closed after the connections.
			return pause(ctx, exitTimeout)
		case ending.leaving || ending.client.askProcess(ctx, processQuery{conn: ending.conn}).leaving:
			return true
		}
	}
}

// pause waits; it returns false if the context ends first.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}
