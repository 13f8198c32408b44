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

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/web"
)

const (
	// freshSpan is how long a connection may have been idle for a request that may run only once: what the
	// target closes meanwhile could neither be repeated nor be refused.
	freshSpan = time.Second
	// directBytes is the size up to which a request is written before its answer is read.
	directBytes = 8 << 10
	// maxTextBytes is the largest buffer that is kept for further requests.
	maxTextBytes = 64 << 10
	// maxStrays is the most answers of other requests that are passed over on a connection.
	maxStrays = 3
	// maxStrayBytes is the largest body of such an answer.
	maxStrayBytes = 1 << 20
	// idleDefault is how long an idle connection is kept if the target names no time, and idleMost in any case.
	idleDefault = 4 * time.Second
	idleMost    = 10 * time.Second
	// idleMargin is how much earlier than the target a connection is given up.
	idleMargin = time.Second
)

// Client sends requests to targets.
type Client struct {
	Clock coltsfootlink.Clock
	// Keeper is the mailbox of the task that owns the idle connections.
	Keeper *mailbox.Deliveries
}

// Answer is a target's answer whose head has come.
type Answer struct {
	Head     platform.AnswerHead
	Response *http.Response
	// Body ends with io.EOF only if the answer is whole.
	Body io.ReadCloser
}

// Call sends a request and waits for the head of its answer. A *coltsfootlink.CallError tells how it failed.
func (client *Client) Call(ctx context.Context, id coltsfootlink.RequestID, forward platform.TargetRequest, repeatable bool) (Answer, error) {
	conn, err := client.connect(ctx, forward.Target, repeatable)
	if err != nil {
		return Answer{}, coltsfootlink.NewCallError(ctx, false, err)
	}
	text := texts.Get().(*bytes.Buffer)
	text.Reset()
	if err := forward.Encode(text, client.Clock.Now()); err != nil {
		_ = conn.Close()
		return Answer{}, coltsfootlink.NewCallError(ctx, false, err)
	}
	if web.ClientGone(forward.Incoming) {
		client.giveBack(conn)
		return Answer{}, &coltsfootlink.CallError{Result: coltsfootlink.Unused, Reason: coltsfootlink.CallerGone, Cause: errCallerLeft}
	}
	// The end of the context ends whatever waits on the socket.
	stop := context.AfterFunc(ctx, conn.abort)
	written := write(conn, text)
	answer, err := client.receive(conn, id, forward.Incoming.Method, written)
	if err != nil {
		stop()
		conn.abort()
		return Answer{}, callError(ctx, err)
	}
	answer.Body = &body{ReadCloser: answer.Response.Body, answer: answer.Response, conn: conn, client: client, written: written, release: stop}
	return answer, nil
}

// callError tells how a call failed that has a connection; a target whose head is too long has not crashed.
func callError(ctx context.Context, err error) *coltsfootlink.CallError {
	failure := coltsfootlink.NewCallError(ctx, !errors.Is(err, errNotWritten), err)
	if errors.Is(err, errHeadTooLong) {
		failure.Result, failure.Reason = coltsfootlink.Failed, coltsfootlink.AnswerTooLong
	}
	return failure
}

// connect returns a kept connection or a new one.
func (client *Client) connect(ctx context.Context, target coltsfootlink.Target, repeatable bool) (*conn, error) {
	reply := make(chan *conn, 1)
	message := take{target: target.Name, reply: reply}
	if !repeatable {
		message.since = client.Clock.Now().Add(-freshSpan)
	}
	client.Keeper.Put(coltsfootlink.Delivery{Message: message})
	select {
	case kept := <-reply:
		if kept != nil {
			kept.reused = true
			return kept, nil
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return dial(ctx, target)
}

// errCallerLeft tells that nobody waits for the answer any more.
var errCallerLeft = errors.New("the caller has left")

// errNotWritten tells that no byte of a request has left.
var errNotWritten = errors.New("no byte was sent")

// texts are buffers for requests on their way out.
var texts = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends a request and then gives its text away; the channel has one value when it is done. A long one is sent
// while its answer is awaited, for a target may answer before it has read the whole body.
func write(conn *conn, text *bytes.Buffer) <-chan error {
	done := make(chan error, 1)
	send := func() {
		count, err := conn.Write(text.Bytes())
		if text.Cap() <= maxTextBytes {
			texts.Put(text)
		}
		if err != nil && count == 0 {
			err = errors.Mark(err, errNotWritten)
		}
		done <- err
	}
	if text.Len() > directBytes {
		go send()
	} else {
		send()
	}
	return done
}

// receive reads the head of the answer and passes over late answers of other requests.
func (client *Client) receive(conn *conn, id coltsfootlink.RequestID, method string, written <-chan error) (Answer, error) {
	for range maxStrays {
		response, err := conn.readFinal(method)
		if err != nil {
			return Answer{}, sendError(written, err)
		}
		head := platform.DecodeAnswer(response)
		if head.ID == id || head.ID == "" && mayBeNameless(head, conn.reused) {
			return Answer{Head: head, Response: response}, nil
		}
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return Answer{}, errors.Newf("answer of request %s", head.ID)
		}
		switch skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1)); {
		case err != nil:
			return Answer{}, err
		case skipped > maxStrayBytes:
			return Answer{}, errors.Newf("the answer of request %s is too long", head.ID)
		}
	}
	return Answer{}, errors.New("too many answers of other requests")
}

// mayBeNameless says whether an answer is taken for ours though it does not say whose it is: what a target says of a
// request that it knows bears the identifier, and on a connection that was used before it may be of the one before.
func mayBeNameless(head platform.AnswerHead, reused bool) bool {
	return !reused && !head.Stamped && (head.Misdirected || !head.NotRun)
}

// sendError returns the error of sending where that came first, for it says whether anything was sent.
func sendError(written <-chan error, err error) error {
	select {
	case failure := <-written:
		if failure != nil {
			return failure
		}
	default:
	}
	return err
}

// body is the body of an answer; it gives its connection back when the answer has ended.
type body struct {
	io.ReadCloser

	answer  *http.Response
	conn    *conn
	client  *Client
	written <-chan error
	release func() bool
	ended   bool
}

// Read returns the next bytes; io.EOF only at the end of a whole answer.
func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF {
		body.end()
	}
	return count, err
}

// Close ends the answer; if it is not whole, the target sees the connection go.
func (body *body) Close() error {
	if body.ended {
		return nil
	}
	body.ended = true
	body.release()
	body.conn.abort()
	return nil
}

// end gives the connection back if another request can use it.
func (body *body) end() {
	if body.ended {
		return
	}
	body.ended = true
	if !body.release() || !body.sent() || body.answer.Close || body.conn.reader.Buffered() > 0 || !framed(body.answer) {
		_ = body.conn.Close()
		return
	}
	body.client.keep(body.conn, body.answer.Header.Get("Keep-Alive"))
}

// giveBack gives a connection to the keeper that was taken in vain; one that was kept is as old as before.
func (client *Client) giveBack(conn *conn) {
	if !conn.reused {
		client.keep(conn, "")
		return
	}
	client.Keeper.Put(coltsfootlink.Delivery{Message: give{conn: conn}})
}

// keep gives a connection to the keeper, for as long as the target says it keeps it.
func (client *Client) keep(conn *conn, keepAlive string) {
	conn.idleSince = client.Clock.Now()
	conn.idleUntil = conn.idleSince.Add(idleSpan(keepAlive))
	client.Keeper.Put(coltsfootlink.Delivery{Message: give{conn: conn}})
}

// sent says that the whole request was sent; a rest of it would be taken for the next one.
func (body *body) sent() bool {
	select {
	case err := <-body.written:
		return err == nil
	default:
		return false
	}
}

// framed says that the answer's end was not the connection's.
func framed(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// idleSpan returns how long a connection may be kept by what the target says of it.
func idleSpan(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return min(idleMost, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleDefault
}
