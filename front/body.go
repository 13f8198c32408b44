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

// unreadSpan is how long the body of a refused request is waited for.
const unreadSpan = 250 * time.Millisecond

// limitedBody is a body that is waited for until a time.
type limitedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// withBodyLimit bounds how long bodies are waited for that the service does not read; the server reads on in them
// before it answers.
func withBodyLimit(clock coltsfootlink.Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// Behind a request without body the server reads already to see whether the caller is still there.
		if request.Body != http.NoBody {
			// The server's own request keeps its body, by which the server tells whether the connection can be kept.
			request = request.WithContext(request.Context())
			request.Body = &limitedBody{ReadCloser: request.Body, control: http.NewResponseController(writer)}
			waitUntil(request.Body, clock.Now().Add(unreadSpan))
		}
		next.ServeHTTP(writer, request)
	})
}

// waitUntil sets until when a body is waited for; the zero time takes the limit back.
func waitUntil(body io.Reader, by time.Time) {
	if limited, is := body.(*limitedBody); is {
		// Writers without time limits are not those of connections.
		_ = limited.control.SetReadDeadline(by)
	}
}

// readBody holds a request's body, for a retry may need it again; it has to come before the request's deadline.
func (service *Service) readBody(body io.Reader, limit int64, deadline time.Time) ([]byte, *coltsfootlink.Refusal) {
	waitUntil(body, deadline)
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	var tooLarge *http.MaxBytesError
	switch {
	case int64(len(content)) > limit, errors.As(err, &tooLarge):
		waitUntil(body, service.Clock.Now().Add(unreadSpan))
		return nil, coltsfootlink.Refuse(coltsfootlink.BodyTooLarge, "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the body did not come before the deadline")
	case err != nil:
		return nil, coltsfootlink.Refuse(coltsfootlink.BodyIncomplete, "the body did not arrive whole")
	}
	waitUntil(body, time.Time{})
	return content, nil
}
