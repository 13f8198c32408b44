// Package web provides the HTTP server of the daemon's listeners, with connection filters and a probe for the time
// that connections wait to be accepted, and helpers for sockets and bearer tokens.
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
	// headerTimeout is how long a client may take to send its request headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits the head of a request; net/http adds 4 KiB.
	maxHeaderBytes = 32 << 10
	// defaultIdleTimeout is how long a connection without requests stays open if the server sets no IdleTimeout.
	defaultIdleTimeout = 2 * time.Minute
)

// Server is an HTTP server that owns the listener for one kind of client.
type Server struct {
	// Part names the server in logs and errors.
	Part string
	// Address is the host and port to listen on.
	Address string
	// Certificate and Key are the paths of the TLS certificate and key files; without TLS both are empty.
	Certificate string
	Key         string
	// ShutdownTimeout is how long a graceful shutdown waits for running requests before they are aborted.
	ShutdownTimeout time.Duration
	// IdleTimeout is how long a connection without requests stays open; defaultIdleTimeout if zero.
	IdleTimeout time.Duration
	// MaxConnAge is the age after which a connection is closed with its next response; no limit if zero.
	MaxConnAge time.Duration
	Handler    http.Handler
	// ConnectionFilter decides which connections are served; all are if it is nil.
	ConnectionFilter coltsfootlink.ConnectionFilter
	// Probe measures how long new connections wait to be accepted; nil for no measurement.
	Probe *Probe
	// Open is updated with the number of open connections; it may be nil.
	Open *atomic.Int64
	Log  zerolog.Logger
}

// Run serves clients until the context ends, and then shuts down gracefully.
func (server *Server) Run(ctx context.Context) error {
	// The idle timeout closes unused connections anyway, so TCP keep-alive probes would only cost system calls.
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", server.Address)
	if err != nil {
		return errors.Wrap(err, server.Part)
	}
	httpServer := &http.Server{
		Handler:           server.handler(),
		ConnContext:       server.connContext,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       cmp.Or(server.IdleTimeout, defaultIdleTimeout),
		ConnState:         server.countOpen,
		ErrorLog:          log.New(server.Log.With().Str("part", server.Part).Logger(), "", 0),
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		server.shutdown(httpServer)
		close(stopped)
	})
	defer stop()
	server.Log.Info().Str("address", listener.Addr().String()).Msg(server.Part + ": listening")
	serve := httpServer.Serve
	if server.Certificate != "" {
		serve = func(listener net.Listener) error {
			return httpServer.ServeTLS(listener, server.Certificate, server.Key)
		}
	}
	listener = &liveListener{Listener: listener, probe: server.Probe}
	if server.ConnectionFilter != nil {
		returned := newReturnedListener(listener.Addr())
		listener = &filteredListener{Listener: listener, filter: server.ConnectionFilter, returned: returned}
		go func() { _ = serve(returned) }()
	}
	err = serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return errors.Wrap(err, server.Part)
}

// Keys of context values: expiryKey of the time after which a connection is closed, forwardedConnKey of a connection
// that another instance forwarded.
type (
	expiryKey        struct{}
	forwardedConnKey struct{}
)

// ForwardingDelay returns how much later than sent a request arrived because its connection was forwarded. It is zero
// for connections that were not forwarded and for all but the first request on a connection.
func ForwardingDelay(request *http.Request) time.Duration {
	if conn, is := forwardedConn(request); is {
		return conn.TakeDelay()
	}
	return 0
}

// Forwarded reports whether a request came on a connection that another instance forwarded.
func Forwarded(request *http.Request) bool {
	_, is := forwardedConn(request)
	return is
}

// ForwarderStopping returns when the instance ends that forwards a request's connection; the zero value if there is none, or it is
// not known to shut down.
func ForwarderStopping(request *http.Request) coltsfootlink.Stopping {
	if conn, is := forwardedConn(request); is {
		return conn.Stopping()
	}
	return coltsfootlink.Stopping{}
}

func forwardedConn(request *http.Request) (coltsfootlink.ForwardedConn, bool) {
	conn, is := request.Context().Value(forwardedConnKey{}).(coltsfootlink.ForwardedConn)
	return conn, is
}

func (server *Server) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = withSocket(ctx, conn)
	if forwarded, is := conn.(coltsfootlink.ForwardedConn); is {
		ctx = context.WithValue(ctx, forwardedConnKey{}, forwarded)
	}
	if server.MaxConnAge == 0 {
		return ctx
	}
	return context.WithValue(ctx, expiryKey{}, time.Now().Add(server.MaxConnAge))
}

// handler returns the server's handler. If MaxConnAge is set, it is wrapped so that connections beyond that age are
// closed after their next response.
func (server *Server) handler() http.Handler {
	if server.MaxConnAge == 0 {
		return server.Handler
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if expiry, known := request.Context().Value(expiryKey{}).(time.Time); known && time.Now().After(expiry) {
			writer.Header().Set("Connection", "close")
		}
		server.Handler.ServeHTTP(writer, request)
	})
}

// countOpen updates Open when a connection is opened or closed.
func (server *Server) countOpen(_ net.Conn, state http.ConnState) {
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

func (server *Server) shutdown(httpServer *http.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(server.ShutdownTimeout))
	defer cancel()
	if err := httpServer.Shutdown(ctx); err != nil {
		server.Log.Warn().Err(err).Msg(server.Part + ": graceful shutdown timed out; aborting running requests")
		_ = httpServer.Close()
	}
}
