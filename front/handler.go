package front

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"
	goahttp "goa.design/goa/v3/http"

	"coltsfootlink/gen/callers"
	"coltsfootlink/gen/http/callers/server"
)

// Handler returns the HTTP handler of the service.
func Handler(service *Service, log zerolog.Logger) http.Handler {
	logError := func(_ context.Context, _ http.ResponseWriter, err error) {
		log.Debug().Err(err).Msg("front: writing the response failed")
	}
	mux := goahttp.NewMuxer()
	server.Mount(mux, server.New(callers.NewEndpoints(service), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logError, nil))
	return withBodyTimeout(service.Clock, withStatus(mux))
}
