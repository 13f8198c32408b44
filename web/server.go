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

	"coltsfootlink"
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
	// LifeLimit is how old a connection may be on which a further request is answered; any age if zero.
	LifeLimit time.Duration
	Handler   http.Handler
	// ConnectionFilter decides which connections are served; all if nil.
	ConnectionFilter coltsfootlink.ConnectionFilter
	// Probe measures how long new connections wait; nil if nobody wants to know.
	Probe *Probe
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
		Handler:           server.handler(),
		ConnContext:       server.connContext,
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
	serve := web.Serve
	if server.Certificate != "" {
		serve = func(listener net.Listener) error { return web.ServeTLS(listener, server.Certificate, server.Key) }
	}
	listener = &attended{Listener: listener, probe: server.Probe}
	if server.ConnectionFilter != nil {
		returned := newReturned(listener.Addr())
		listener = &doorway{Listener: listener, doorman: server.ConnectionFilter, returned: returned}
		go func() { _ = serve(returned) }()
	}
	err = serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.Wrap(err, server.Part)
}

// endKey is the key of the time at which a connection is too old, and lateKey that of a connection that came late.
type (
	endKey  struct{}
	lateKey struct{}
)

// Lateness is how much later than it was sent a request was read, as far as its connection knows.
func Lateness(request *http.Request) time.Duration {
	if late, is := request.Context().Value(lateKey{}).(coltsfootlink.DelayedConn); is {
		return late.TakeDelay()
	}
	return 0
}

func (server *Server) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = withSocket(ctx, conn)
	if late, is := conn.(coltsfootlink.DelayedConn); is {
		ctx = context.WithValue(ctx, lateKey{}, late)
	}
	if server.LifeLimit == 0 {
		return ctx
	}
	return context.WithValue(ctx, endKey{}, time.Now().Add(server.LifeLimit))
}

// handler returns the handler, which closes connections that are too old after their answers.
func (server *Server) handler() http.Handler {
	if server.LifeLimit == 0 {
		return server.Handler
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if end, known := request.Context().Value(endKey{}).(time.Time); known && time.Now().After(end) {
			writer.Header().Set("Connection", "close")
		}
		server.Handler.ServeHTTP(writer, request)
	})
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
