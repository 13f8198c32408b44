package upstream

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/web"
)

// unframedKept is how long the pool remembers that an answer without a length or chunks has ended.
const unframedKept = time.Second

// unframedBegun is sent when an answer without a length or chunks has begun, unframedEnded when its connection has ended without an
// error, and unframedDropped when it has ended in any other way.
type (
	unframedBegun struct {
		coltsfootlink.Local
		conn *conn
	}
	unframedEnded struct {
		coltsfootlink.Local
		conn *conn
		at   time.Time
	}
	unframedDropped struct {
		coltsfootlink.Local
		conn *conn
	}
)

// processQuery asks what is known of the process that sends, or has sent, an answer.
type processQuery struct {
	coltsfootlink.Local
	conn *conn
	// lastByteAt is when the last byte of the answer came: connections that were opened before belong to the same process.
	lastByteAt time.Time
	reply      chan<- processState
}

// processState is what the pool knows of the process behind a connection.
type processState struct {
	// leaving indicates that the target has announced its shutdown, or is no longer registered.
	leaving bool
	// open and ended are the numbers of other connections of the process with an answer without a length or chunks: those that are
	// still open, and those that have ended with the answer.
	open, ended int
}

// unframedAnswer is an answer without a length or chunks.
type unframedAnswer struct {
	conn *conn
	// endedAt is when its connection ended; zero before.
	endedAt time.Time
}

// unframedAnswers are the answers of one target that are being received, or have just ended. It is immutable.
type unframedAnswers []unframedAnswer

// WithBegun returns the answers with one more.
func (answers unframedAnswers) WithBegun(conn *conn) unframedAnswers {
	return append(answers.Without(conn), unframedAnswer{conn: conn})
}

// WithEnded returns the answers with one of them ended.
func (answers unframedAnswers) WithEnded(conn *conn, at time.Time) unframedAnswers {
	ended := slices.Clone(answers)
	for index := range ended {
		if ended[index].conn == conn {
			ended[index].endedAt = at
		}
	}
	return ended
}

// After returns the answers without those that ended unframedKept before a time.
func (answers unframedAnswers) After(now time.Time) unframedAnswers {
	return slices.DeleteFunc(slices.Clone(answers), func(answer unframedAnswer) bool {
		return !answer.endedAt.IsZero() && now.Sub(answer.endedAt) >= unframedKept
	})
}

// Without returns the answers without one.
func (answers unframedAnswers) Without(conn *conn) unframedAnswers {
	return slices.DeleteFunc(slices.Clone(answers), func(answer unframedAnswer) bool { return answer.conn == conn })
}

// Beside counts the other answers of the process of an answer: those that are open, and those that ended at the same time, by
// themselves or by what isOpen says of their connections.
func (answers unframedAnswers) Beside(conn *conn, lastByteAt time.Time, isOpen func(*conn) bool) (open, ended int) {
	var endedAt time.Time
	for _, answer := range answers {
		if answer.conn == conn {
			endedAt = answer.endedAt
		}
	}
	for _, answer := range answers {
		switch {
		case answer.conn == conn, answer.conn.openedAt.After(lastByteAt):
		case answer.endedAt.IsZero() && isOpen(answer.conn):
			open++
		case answer.endedAt.IsZero(), endedAt.Sub(answer.endedAt).Abs() <= exitTimeout:
			ended++
		}
	}
	return open, ended
}

// setUnframed keeps the answers of a target.
func (pool *ConnPool) setUnframed(name coltsfootlink.TargetName, answers unframedAnswers) {
	if len(answers) == 0 {
		delete(pool.unframed, name)
		return
	}
	pool.unframed[name] = answers
}

// process returns what is known of the process behind a connection.
func (pool *ConnPool) process(query processQuery) processState {
	registered, found := pool.catalog.Targets[query.conn.target]
	isOpen := func(other *conn) bool { return web.TCPState(other.Conn) == unix.BPF_TCP_ESTABLISHED }
	open, ended := pool.unframed[query.conn.target].Beside(query.conn, query.lastByteAt, isOpen)
	return processState{leaving: !found || registered.Leaving, open: open, ended: ended}
}

// tell sends a message to the pool.
func (client *Client) tell(message coltsfootlink.Message) {
	client.ConnPool.Put(coltsfootlink.Delivery{Message: message})
}

// askProcess asks the pool what it knows of a process; nothing if the instance ends first.
func (client *Client) askProcess(ctx context.Context, query processQuery) processState {
	reply := make(chan processState, 1)
	query.reply = reply
	client.tell(query)
	select {
	case state := <-reply:
		return state
	case <-ctx.Done():
		return processState{}
	}
}
