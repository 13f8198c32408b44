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
	// defaultBodyBytes bounds a request's body where the configuration does not.
	defaultBodyBytes = 4 << 20
	// preparedBytes is the most memory that is taken for a body before it has come.
	preparedBytes = 64 << 10
	// unreadSpan is how long the body of a refused request is waited for.
	unreadSpan = 250 * time.Millisecond
)

// receive reads the body to its end, which has to come by the given time.
func (current *exchange) receive(by time.Time, read func(body io.Reader) error) error {
	current.received = true
	if current.incoming.Body == http.NoBody {
		// The server reads behind it already, and would take the end of the time for a caller that leaves.
		return read(http.NoBody)
	}
	// Writers without time limits are not those of connections.
	control := http.NewResponseController(current.writer)
	_ = control.SetReadDeadline(by)
	if err := read(http.MaxBytesReader(current.writer, current.incoming.Body, current.mostBytes)); err != nil {
		// The limit stays, for the server reads on before it answers.
		return err
	}
	// The server reads behind the body to see whether the caller is still there.
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// readBody reads the body before the deadline; false if the request was refused.
func (current *exchange) readBody() bool {
	current.held = bodies.Get().(*bytes.Buffer)
	err := current.receive(current.deadline, func(body io.Reader) (err error) {
		current.body, err = readWhole(current.held, body, min(preparedBytes, current.incoming.ContentLength))
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
		current.refuse(http.StatusBadRequest, coltsfootlink.Refuse(coltsfootlink.BodyIncomplete, "the body did not come whole"))
		return false
	}
	digest := xxhash.New()
	// Writing to this hash cannot fail.
	_, _ = digest.WriteString(current.incoming.Method + " " + current.incoming.RequestURI + " " + string(current.team) + " ")
	_, _ = digest.Write(current.body)
	current.fingerprint = digest.Sum64()
	return true
}

// skipBody passes over a body that is not needed: an answer before its end would reach a caller that still sends.
func (current *exchange) skipBody() {
	if current.received {
		return
	}
	// A caller that has not sent all by then gets the answer all the same.
	_ = current.receive(current.service.Clock.Now().Add(unreadSpan), func(body io.Reader) error {
		_, err := io.Copy(io.Discard, body)
		return err
	})
}

// bodies are buffers for the bodies of requests.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBody gives the buffer of the body away; no target gets the request any more.
func (current *exchange) releaseBody() {
	if current.held != nil && current.held.Cap() <= preparedBytes {
		current.held.Reset()
		bodies.Put(current.held)
	}
}

// readWhole reads to the end; length is the expected number of bytes, negative if unknown.
func readWhole(buffer *bytes.Buffer, reader io.Reader, length int64) ([]byte, error) {
	// ReadFrom wants this much room to find the end without growing.
	buffer.Grow(int(max(0, length)) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}
