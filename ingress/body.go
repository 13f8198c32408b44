package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

const (
	// defaultBodyBytes limits the size of a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// smallBytes is the size up to which bodies of requests, answers and events are held without a reservation. Buffers up to
	// maxPooledBytes are pooled.
	smallBytes     = 64 << 10
	maxPooledBytes = 2 * smallBytes
	// memoryTimeout is how long a large body waits for memory, with reading paused, before its request is refused.
	memoryTimeout = 500 * time.Millisecond
	// discardTimeout limits how long the body of a refused request is read.
	discardTimeout = 250 * time.Millisecond
)

// receive calls read with the request body, which must be received completely before the deadline.
func (current *exchange) receive(deadline time.Time, read func(body io.Reader) error) error {
	current.bodyReadStarted = true
	if current.incoming.Body == http.NoBody {
		// The server is already reading ahead on the connection. It would take an expired read deadline for a
		// disconnect.
		return read(http.NoBody)
	}
	// SetReadDeadline fails only for writers that have no connection, such as those in tests.
	control := http.NewResponseController(current.writer)
	_ = control.SetReadDeadline(deadline)
	if err := read(http.MaxBytesReader(current.writer, current.incoming.Body, current.maxBodyBytes)); err != nil {
		// The deadline stays in place, because the server drains the rest of the body before it answers.
		return err
	}
	// The server now reads ahead to detect a disconnect, which the deadline must not interrupt.
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// errNoMemory indicates that a large body got no memory in time.
var errNoMemory = errors.New("other large requests and answers use the memory")

// readBody reads the body before the request's deadline; it returns false if the request was refused.
func (current *exchange) readBody() bool {
	current.bodyBuffer = bodyBuffers.Get().(*bytes.Buffer)
	length := current.incoming.ContentLength
	var err error
	switch {
	case length > current.maxBodyBytes:
		err = &http.MaxBytesError{Limit: current.maxBodyBytes}
	case length > smallBytes:
		err = current.reserveBody(length)
	}
	if err == nil {
		err = current.receive(current.deadline, current.bufferBody)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		// The rest of the body is read and dropped, so that its caller does not miss the refusal.
		current.bodyReadStarted = false
		current.shedAndRefuse(coltsfootlink.Refuse(coltsfootlink.InstanceBusy, err.Error()).WithRetryAt(current.service.Clock.Now().Add(memoryTimeout)))
		return false
	case errors.As(err, &tooLarge):
		current.refuse(http.StatusRequestEntityTooLarge, coltsfootlink.Refuse(coltsfootlink.BodyTooLarge, "the body is too large"))
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		current.refuse(http.StatusRequestTimeout, coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the body did not come before the deadline"))
		return false
	case err != nil:
		current.refuse(http.StatusBadRequest, coltsfootlink.Refuse(coltsfootlink.BodyIncomplete, "the body was truncated"))
		return false
	}
	digest := xxhash.New()
	// Writing to this hash cannot fail.
	_, _ = digest.WriteString(current.incoming.Method + " " + current.incoming.RequestURI + " " + string(current.team) + " ")
	_, _ = digest.Write(current.body)
	current.fingerprint = digest.Sum64()
	return true
}

// bufferBody reads the body. A length that was not declared is known only once it is too much for a small buffer.
func (current *exchange) bufferBody(body io.Reader) error {
	length := current.incoming.ContentLength
	if length < 0 {
		if _, err := readAll(current.bodyBuffer, io.LimitReader(body, smallBytes), 0); err != nil || current.bodyBuffer.Len() < smallBytes {
			current.body = current.bodyBuffer.Bytes()
			return err
		}
		if err := current.reserveBody(current.maxBodyBytes); err != nil {
			return err
		}
		length = current.maxBodyBytes - smallBytes
	}
	text, err := readAll(current.bodyBuffer, body, length)
	current.body = text
	return err
}

// reserveBody waits a short time for the memory of a large body. Meanwhile nothing is read from its caller.
func (current *exchange) reserveBody(bytes int64) error {
	ctx, cancel := context.WithDeadline(current.incoming.Context(), current.service.Clock.Now().Add(memoryTimeout))
	defer cancel()
	reserved, found := current.service.Memory.Reserve(ctx, bytes)
	if !found {
		return errNoMemory
	}
	current.bodyMemory = reserved
	return nil
}

// discardBody reads and drops a body that is not needed, so that the caller does not receive the answer while it is
// still sending.
func (current *exchange) discardBody() {
	if current.bodyReadStarted {
		return
	}
	// A caller that has not sent the whole body by then gets the answer anyway.
	_ = current.receive(current.service.Clock.Now().Add(discardTimeout), func(body io.Reader) error {
		_, err := io.Copy(io.Discard, body)
		return err
	})
}

// bodyBuffers pools the buffers for request bodies.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBody returns the body's buffer to the pool and its memory to the budget. It may be called only when the request will
// not be sent to a target again.
func (current *exchange) releaseBody() {
	current.bodyMemory.Release()
	if current.bodyBuffer != nil && current.bodyBuffer.Cap() <= maxPooledBytes {
		current.bodyBuffer.Reset()
		bodyBuffers.Put(current.bodyBuffer)
	}
}

// readAll reads until EOF; length is the expected number of bytes, negative if unknown.
func readAll(buffer *bytes.Buffer, reader io.Reader, length int64) ([]byte, error) {
	// ReadFrom needs MinRead spare bytes to detect EOF without growing the buffer.
	buffer.Grow(int(max(0, length)) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}
