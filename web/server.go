// Package web has what the HTTP servers of a daemon share.
package web

import (
	"cmp"
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// headerLimit is how long a client may take to send its headers.
	headerLimit = 10 * time.Second
	// idleDefault is how long a connection without requests stays open where nothing else is said.
	idleDefault = 2 * time.Minute
)

// Server owns the listener for one kind of client.
type Server struct {
	// Part names the part of the system in logs and errors.
	Part string
	// Address is the host and port to listen on.
	Address string
	// Certificate and Key are the files for TLS; both empty for none.
	Certificate string
	Key         string
	// StopLimit is how long a stopping server waits for its requests.
	StopLimit time.Duration
	// IdleLimit is how long a connection without requests stays open; the default if zero.
	IdleLimit time.Duration
	Handler   http.Handler
	// Open counts the connections that are open; nil if nobody wants to know.
	Open *atomic.Int64
	Log  zerolog.Logger
}

// Run answers clients until the context ends, and then lets running requests finish.
func (server *Server) Run(ctx context.Context) error {
	// Idle connections are closed by the server's own limit, so that probes would only cost system calls.
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", server.Address)
	if err != nil {
		return errors.Wrap(err, server.Part)
	}
	web := &http.Server{
		Handler:           server.Handler,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       cmp.Or(server.IdleLimit, idleDefault),
		ConnState:         server.count,
		ErrorLog:          log.New(server.Log.With().Str("part", server.Part).Logger(), "", 0),
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		server.shutdown(web)
		close(stopped)
	})
	defer stop()
	server.Log.Info().Str("address", listener.Addr().String()).Msg(server.Part + ": listens")
	if server.Certificate != "" {
		err = web.ServeTLS(listener, server.Certificate, server.Key)
	} else {
		err = web.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.Wrap(err, server.Part)
}

// count counts open connections.
func (server *Server) count(_ net.Conn, state http.ConnState) {
	if server.Open == nil {
		return
	}
	switch state {
	case http.StateNew:
		server.Open.Add(1)
	case http.StateClosed, http.StateHijacked:
		server.Open.Add(-1)
	}
}

func (server *Server) shutdown(web *http.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(server.StopLimit))
	defer cancel()
	if err := web.Shutdown(ctx); err != nil {
		server.Log.Warn().Err(err).Msg(server.Part + ": requests were cut at the stop limit")
		_ = web.Close()
	}
}
