package ingress

import (
	"bytes"
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
	// maxPreallocBytes limits the memory that is allocated for a body before it is received, and the size of buffers
	// that are pooled.
	maxPreallocBytes = 64 << 10
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

// readBody reads the body before the request's deadline; it returns false if the request was refused.
func (current *exchange) readBody() bool {
	current.bodyBuffer = bodyBuffers.Get().(*bytes.Buffer)
	err := current.receive(current.deadline, func(body io.Reader) (err error) {
		current.body, err = readAll(current.bodyBuffer, body, min(maxPreallocBytes, current.incoming.ContentLength))
		return err
	})
	var tooLarge *http.MaxBytesError
	switch {
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

// releaseBody returns the body's buffer to the pool. It may be called only when the request will not be sent to a
// target again.
func (current *exchange) releaseBody() {
	if current.bodyBuffer != nil && current.bodyBuffer.Cap() <= maxPreallocBytes {
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
