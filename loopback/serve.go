package loopback

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

// Serve runs a server of a protocol of its own until the context ends and returns its address; each connection is closed
// once the function has returned.
func Serve(ctx context.Context, serve func(net.Conn)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "loopback: serve")
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
