package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/web"
)

const (
	// maxIdleNonRepeatable is how long a connection may have been idle if it is to carry a request that must not be
	// retried. The longer it was idle, the likelier the target closes it just as the request is sent, and such a
	// request can neither be retried nor be reported as not run.
	maxIdleNonRepeatable = time.Second
	// maxSyncWriteBytes is the size up to which a request is written before the answer is read. Larger requests are
	// written in a separate goroutine while the answer is read.
	maxSyncWriteBytes = 8 << 10
	// maxPooledBytes is the capacity up to which a request buffer is reused. Longer bodies are not copied into one.
	maxPooledBytes = 64 << 10
	// maxAnswersRead is how many answers are read from a connection to find the one to the request.
	maxAnswersRead = 3
	// maxSkippedBytes is the largest body of an answer to another request that is read and discarded.
	maxSkippedBytes = 1 << 20
	// defaultIdleTimeout is how long an idle connection is kept if the target sends no Keep-Alive timeout, and
	// maxIdleTimeout is the maximum if it sends one.
	defaultIdleTimeout = 4 * time.Second
	maxIdleTimeout     = 10 * time.Second
	// idleMargin is how much earlier than the target's own timeout an idle connection is closed.
	idleMargin = time.Second
)

// Client sends requests to targets over pooled connections.
type Client struct {
	Clock coltsfootlink.Clock
	// ConnPool is the inbox of the ConnPool task, which owns the idle connections.
	ConnPool *mailbox.Deliveries
}

// Answer is a target's answer after its head has been received.
type Answer struct {
	Head     platform.AnswerHead
	Response *http.Response
	// Body ends with io.EOF only if the answer is complete.
	Body io.ReadCloser
}

// Call sends a request and waits for the head of its answer. Its errors are of type *coltsfootlink.CallError.
func (client *Client) Call(ctx context.Context, id coltsfootlink.RequestID, request platform.TargetRequest, repeatable bool) (Answer, error) {
	conn, err := client.connect(ctx, request.Target, repeatable)
	if err != nil {
		return Answer{}, coltsfootlink.NewCallError(ctx, false, err)
	}
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	encode, rest := request.Encode, []byte(nil)
	if len(request.Body) > maxPooledBytes {
		encode, rest = request.EncodeHead, request.Body
	}
	if err := encode(buffer, client.Clock.Now()); err != nil {
		_ = conn.Close()
		return Answer{}, coltsfootlink.NewCallError(ctx, false, err)
	}
	if web.ClientGone(request.Incoming) {
		client.returnUnused(conn)
		return Answer{}, &coltsfootlink.CallError{Result: coltsfootlink.Unused, Reason: coltsfootlink.CallerGone, Cause: errCallerDisconnected}
	}
	// Aborting the connection when the context ends unblocks pending reads and writes.
	stopAbort := context.AfterFunc(ctx, conn.abort)
	written := write(conn, buffer, rest)
	answer, err := client.receive(conn, id, request.Incoming.Method, written)
	if err != nil {
		stopAbort()
		failure := callError(ctx, err)
		failure.Begun, failure.Received = conn.answerBegun, errors.Is(err, errAllWritten) && web.Unacknowledged(conn.Conn) == 0
		conn.abort()
		return Answer{}, failure
	}
	received := &body{ReadCloser: answer.Response.Body, ctx: ctx, answer: answer.Response, conn: conn, client: client, written: written, stopAbort: stopAbort}
	if request.Incoming.Method != http.MethodHead && !endsBeforeClose(answer.Response) {
		received.ending = client.newEnding(ctx, request.Target, conn, written, answer.Head.Leaving)
	}
	answer.Body = received
	return answer, nil
}

// callError classifies the failure of a call that had a connection. A head that is too long or has an invalid status counts as a
// failed answer, not as a crash of the target.
func callError(ctx context.Context, err error) *coltsfootlink.CallError {
	failure := coltsfootlink.NewCallError(ctx, !errors.Is(err, errNotWritten), err)
	switch {
	case errors.Is(err, errHeadTooLong):
		failure.Result, failure.Reason = coltsfootlink.Failed, coltsfootlink.AnswerTooLong
	case errors.Is(err, errInvalidStatus) && failure.Result == coltsfootlink.Crashed:
		failure.Result = coltsfootlink.Failed
	}
	return failure
}

// connect returns an idle connection from the pool, or a new one.
func (client *Client) connect(ctx context.Context, target coltsfootlink.Target, repeatable bool) (*conn, error) {
	reply := make(chan *conn, 1)
	message := getConn{target: target.Name, reply: reply}
	if !repeatable {
		message.idleNotBefore = client.Clock.Now().Add(-maxIdleNonRepeatable)
	}
	client.ConnPool.Put(coltsfootlink.Delivery{Message: message})
	select {
	case idle := <-reply:
		if idle != nil {
			idle.reused = true
			return idle, nil
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return dial(ctx, target)
}

// errCallerDisconnected is the cause of a call that was not sent because the caller had closed its connection.
var errCallerDisconnected = errors.New("the caller disconnected before its request was sent")

// errNotWritten marks write errors that occurred before any byte of the request was sent.
var errNotWritten = errors.New("no byte of the request was sent")

// buffers holds reusable buffers for encoded requests.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the encoded request in buffer and the rest of its body, if any, then returns the buffer to buffers. The
// channel receives the result, one value. A request larger than maxSyncWriteBytes is sent in the background, because a
// target may answer before it has read the whole body.
func write(conn *conn, buffer *bytes.Buffer, rest []byte) <-chan error {
	done := make(chan error, 1)
	send := func() {
		count, err := conn.Write(buffer.Bytes())
		if err == nil && len(rest) > 0 {
			_, err = conn.Write(rest)
		}
		if buffer.Cap() <= maxPooledBytes {
			buffers.Put(buffer)
		}
		if err != nil && count == 0 {
			err = errors.Mark(err, errNotWritten)
		}
		done <- err
	}
	if buffer.Len()+len(rest) > maxSyncWriteBytes {
		go send()
	} else {
		send()
	}
	return done
}

// receive reads the head of the answer to the request and skips late answers to other requests.
func (client *Client) receive(conn *conn, id coltsfootlink.RequestID, method string, written <-chan error) (Answer, error) {
	for range maxAnswersRead {
		response, err := conn.readFinal(method)
		if err != nil {
			return Answer{}, sendError(written, err)
		}
		head := platform.DecodeAnswer(response, client.Clock.Now())
		if head.ID == id || head.ID == "" && acceptsUnidentified(head, conn.reused) {
			return Answer{Head: head, Response: response}, nil
		}
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return Answer{}, errors.Newf("got the answer to another request, %q, and the connection ends with it", head.ID)
		}
		switch skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1)); {
		case err != nil:
			return Answer{}, err
		case skipped > maxSkippedBytes:
			return Answer{}, errors.Newf("the answer to another request, %q, is too long to be skipped", head.ID)
		}
	}
	return Answer{}, errors.New("too many answers to other requests on the connection")
}

// acceptsUnidentified reports whether an answer without a request ID is accepted as the answer to the request. On a
// reused connection it may be a late answer to the previous request, so none is accepted. On a new connection, answers
// that are signed or report that the request was not run must have an ID, because a target that knows the request sets
// it. Exempt is 421 Misdirected Request, which another target at the address sends.
func acceptsUnidentified(head platform.AnswerHead, reused bool) bool {
	return !reused && !head.Stamped && (head.Misdirected || !head.NotRun)
}

// errAllWritten marks errors that occurred after the whole request had been written.
var errAllWritten = errors.New("the whole request was written")

// sendError returns the write error if writing has already failed, and otherwise err, with a mark if the request has been
// written. The write error is preferred because it shows whether any byte was sent.
func sendError(written <-chan error, err error) error {
	select {
	case failure := <-written:
		if failure != nil {
			return failure
		}
		return errors.Mark(err, errAllWritten)
	default:
	}
	return err
}

// body is the body of an answer. When it has been read to the end, its connection returns to the pool.
type body struct {
	io.ReadCloser

	// ctx is that of the call.
	ctx     context.Context
	answer  *http.Response
	conn    *conn
	client  *Client
	written <-chan error
	// stopAbort cancels the abort of the connection at the end of the context; false if that has already started.
	stopAbort func() bool
	// ending tells whether an answer that ends with its connection is complete; nil for others.
	ending *ending
	ended  bool
	// cut is the error of an answer that has ended and may not be complete.
	cut error
}

// Read returns io.EOF only at the end of a complete answer.
func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if body.ending != nil && !body.ended {
		body.cut = body.ending.check(body.ctx)
		body.ending = nil
	}
	if body.cut != nil {
		return count, body.cut
	}
	body.finish()
	return count, err
}

// Close aborts the connection unless the answer was read to its end, so that the target notices.
func (body *body) Close() error {
	if body.ended {
		return nil
	}
	body.ended = true
	body.stopAbort()
	if body.ending != nil {
		body.ending.release()
	}
	body.conn.abort()
	return nil
}

// finish returns the connection to the pool if another request can use it, and closes it otherwise.
func (body *body) finish() {
	if body.ended {
		return
	}
	body.ended = true
	if !body.stopAbort() || !body.sent() || body.answer.Close || body.conn.reader.Buffered() > 0 || !endsBeforeClose(body.answer) {
		_ = body.conn.Close()
		return
	}
	body.client.returnIdle(body.conn, body.answer.Header.Get("Keep-Alive"))
}

// returnUnused returns a connection on which nothing was sent to the pool. A connection that came from the pool keeps
// its idle times.
func (client *Client) returnUnused(conn *conn) {
	if !conn.reused {
		client.returnIdle(conn, "")
		return
	}
	client.ConnPool.Put(coltsfootlink.Delivery{Message: putConn{conn: conn}})
}

// returnIdle returns a connection to the pool. keepAlive is the Keep-Alive header of the last answer; it determines how
// long the connection stays there.
func (client *Client) returnIdle(conn *conn, keepAlive string) {
	conn.idleSince = client.Clock.Now()
	conn.idleUntil = conn.idleSince.Add(idleTimeout(keepAlive))
	client.ConnPool.Put(coltsfootlink.Delivery{Message: putConn{conn: conn}})
}

// sent reports whether the whole request was sent. Otherwise the target would read the rest of it as the start of the
// next request.
func (body *body) sent() bool {
	select {
	case err := <-body.written:
		return err == nil
	default:
		return false
	}
}

// endsBeforeClose reports whether the answer ends by its length or last chunk, and not by the close of the connection.
func endsBeforeClose(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// Framed reports whether the end of the answer is marked by its length or last chunk. The end of any other answer looks like
// that of one that its target broke off.
func (answer Answer) Framed() bool { return endsBeforeClose(answer.Response) }

// Unreachable reports whether a target accepts no new connection, or resets one that it has not accepted yet: the connections
// of a process that ends may break before its listener. It is false if the context ends before that is known.
func (client *Client) Unreachable(ctx context.Context, target coltsfootlink.Target) bool {
	conn, err := dial(ctx, target)
	if err != nil {
		return ctx.Err() == nil
	}
	if errors.Is(conn.endsBefore(client.Clock.Now().Add(exitTimeout)), unix.ECONNRESET) {
		_ = conn.Close()
		return true
	}
	client.returnUnused(conn)
	return false
}

// idleTimeout returns how long a connection may stay idle according to the target's Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return min(maxIdleTimeout, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
