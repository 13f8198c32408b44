package front

import (
	"context"
	"net/http"
)

// statusKey is the context key of the HTTP status of the target's answer.
type statusKey struct{}

// statusWriter replaces the fixed status 200 of a successful call with the target's status.
type statusWriter struct {
	http.ResponseWriter
	status *int
}

// WriteHeader writes the target's status instead of 200.
func (writer *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && *writer.status != 0 {
		status = *writer.status
	}
	writer.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (writer *statusWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// withStatus lets the service set the status of a successful call through the request's context: the design, and so the
// generated code, knows only 200.
func withStatus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		status := new(int)
		ctx := context.WithValue(request.Context(), statusKey{}, status)
		next.ServeHTTP(&statusWriter{ResponseWriter: writer, status: status}, request.WithContext(ctx))
	})
}

// setStatus sets the status of the response to the request with this context.
func setStatus(ctx context.Context, status int) {
	if set, is := ctx.Value(statusKey{}).(*int); is {
		*set = status
	}
}
