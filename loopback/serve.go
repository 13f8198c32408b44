package loopback

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

// Serve starts a TCP server on a free port and returns its address. The server calls serve for each connection in a
// goroutine of its own, closes the connection when serve returns, and accepts none after the context has ended.
func Serve(ctx context.Context, serve func(net.Conn)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "loopback: listening")
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String(), nil
}
