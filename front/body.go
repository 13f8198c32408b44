package front

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// unreadBodyTimeout is how long the server waits for the body of a request that was refused without reading it.
const unreadBodyTimeout = 250 * time.Millisecond

// deadlineBody is a request body whose reads can be given a deadline.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// withBodyTimeout limits how long the server waits for bodies that the service does not read: net/http reads the rest of
// such a body before it sends the response.
func withBodyTimeout(clock coltsfootlink.Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// During a request without a body net/http already reads from the connection, to detect that the caller
		// disconnects. A read deadline would end that read and look like a disconnect.
		if request.Body != http.NoBody {
			// Only a copy of the request gets the new body: net/http decides by the body of its own request whether
			// the connection can be reused.
			request = request.WithContext(request.Context())
			request.Body = &deadlineBody{ReadCloser: request.Body, control: http.NewResponseController(writer)}
			setReadDeadline(request.Body, clock.Now().Add(unreadBodyTimeout))
		}
		next.ServeHTTP(writer, request)
	})
}

// setReadDeadline sets the deadline of reads from a body; the zero time removes it.
func setReadDeadline(body io.Reader, deadline time.Time) {
	if timed, is := body.(*deadlineBody); is {
		// The error is ignored: writers that do not support deadlines do not write to a connection.
		_ = timed.control.SetReadDeadline(deadline)
	}
}

// readBody reads a request's body into memory, since a retry may have to send it again. The body has to arrive before
// the request's deadline.
func (service *Service) readBody(body io.Reader, limit int64, deadline time.Time) ([]byte, *coltsfootlink.Refusal) {
	setReadDeadline(body, deadline)
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	var tooLarge *http.MaxBytesError
	switch {
	case int64(len(content)) > limit, errors.As(err, &tooLarge):
		setReadDeadline(body, service.Clock.Now().Add(unreadBodyTimeout))
		return nil, coltsfootlink.Refuse(coltsfootlink.BodyTooLarge, "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the body did not come before the deadline")
	case err != nil:
		return nil, coltsfootlink.Refuse(coltsfootlink.BodyIncomplete, "the body was truncated")
	}
	setReadDeadline(body, time.Time{})
	return content, nil
}
