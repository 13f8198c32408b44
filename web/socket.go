package web

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketKey is the context key of the operating-system socket of a connection.
type socketKey struct{}

// withSocket stores the operating-system socket of a connection in the context, if the connection has one.
func withSocket(ctx context.Context, conn net.Conn) context.Context {
	if raw := socketOf(conn); raw != nil {
		return context.WithValue(ctx, socketKey{}, raw)
	}
	return ctx
}

// socketOf returns the operating-system socket of a connection; nil if it has none.
func socketOf(conn net.Conn) syscall.RawConn {
	if wrapped, is := conn.(interface{ NetConn() net.Conn }); is {
		conn = wrapped.NetConn()
	}
	backed, is := conn.(syscall.Conn)
	if !is {
		return nil
	}
	raw, err := backed.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// ClientGone reports whether the client of a request has closed its connection. It asks the kernel, because while the
// instance is short of CPU, net/http may not yet have noticed the close and cancelled the request's context.
func ClientGone(request *http.Request) bool {
	raw, is := request.Context().Value(socketKey{}).(syscall.RawConn)
	return is && peerGone(raw)
}

// connGone reports whether the client of a connection has closed it; false if the kernel cannot be asked.
func connGone(conn net.Conn) bool {
	raw := socketOf(conn)
	return raw != nil && peerGone(raw)
}

// ReadArrived reads the data that has already arrived on a connection, without waiting, and returns the number of
// bytes; zero if no data has arrived or the connection has no operating-system socket.
func ReadArrived(conn net.Conn, buffer []byte) int {
	raw := socketOf(conn)
	if raw == nil {
		return 0
	}
	arrived := 0
	// An error means that the socket is closed on this side, so there is nothing to read.
	_ = raw.Read(func(descriptor uintptr) bool {
		count, err := unix.Read(int(descriptor), buffer)
		if err == nil {
			arrived = count
		}
		return true
	})
	return arrived
}

// peerGone reports whether the other end of a socket has closed its sending direction or the connection broke.
func peerGone(raw syscall.RawConn) bool {
	gone := false
	// An error means that the socket is closed on this side, so its other end cannot be asked about.
	_ = raw.Control(func(descriptor uintptr) { gone = hasEvents(int(descriptor), unix.POLLRDHUP) })
	return gone
}

// connFailed reports whether a connection broke or could not be established.
func connFailed(descriptor int) bool { return hasEvents(descriptor, 0) }

// hasEvents reports whether any of the given poll events, a hang-up or an error is pending on a socket.
func hasEvents(descriptor int, events int16) bool {
	sockets := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
	count, err := unix.Poll(sockets, 0)
	return err == nil && count > 0 && sockets[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
}
