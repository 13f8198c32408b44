package operator

import (
	"context"
	"expvar"
	"net/http"

	"github.com/rs/zerolog"
	goahttp "goa.design/goa/v3/http"

	"coltsfootlink/gen/http/operators/server"
	"coltsfootlink/gen/operators"
	"coltsfootlink/web"
)

const (
	// maxBodyBytes is the maximum size of a request body: a statement and the document to apply.
	maxBodyBytes = 4 << 20
	// metricsPath is the path of the instance's metrics.
	metricsPath = "/debug/vars"
)

// Handler returns the HTTP handler of the service and of the instance's metrics.
func Handler(service *Service, log zerolog.Logger) http.Handler {
	logError := func(_ context.Context, _ http.ResponseWriter, err error) {
		log.Debug().Err(err).Msg("operator: writing the response failed")
	}
	mux := goahttp.NewMuxer()
	server.Mount(mux, server.New(operators.NewEndpoints(service), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logError, nil))
	root := http.NewServeMux()
	root.Handle("GET "+metricsPath, requireToken(service.Token, expvar.Handler()))
	root.Handle("/", mux)
	return http.MaxBytesHandler(root, maxBodyBytes)
}

// requireToken rejects requests without the operators' token.
func requireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !web.SameToken(web.BearerToken(request.Header.Get("Authorization")), token) {
			http.Error(writer, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}
