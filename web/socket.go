package web

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketKey is the key of the kernel's socket of a connection.
type socketKey struct{}

// withSocket notes the kernel's socket of a connection, if there is one.
func withSocket(ctx context.Context, conn net.Conn) context.Context {
	if raw := socketOf(conn); raw != nil {
		return context.WithValue(ctx, socketKey{}, raw)
	}
	return ctx
}

// socketOf returns the kernel's socket of a connection; nil if there is none.
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

// Left says that the client of a request has closed its connection. The kernel is asked, for the library may not have had
// the processor to see it and end the request's context.
func Left(request *http.Request) bool {
	raw, is := request.Context().Value(socketKey{}).(syscall.RawConn)
	return is && left(raw)
}

// leftConn says that the client of a connection has closed it, as far as the kernel can be asked.
func leftConn(conn net.Conn) bool {
	raw := socketOf(conn)
	return raw != nil && left(raw)
}

// ReadArrived reads what has come on a connection and returns the number of bytes; zero if none has, or if the kernel cannot
// be asked.
func ReadArrived(conn net.Conn, buffer []byte) int {
	raw := socketOf(conn)
	if raw == nil {
		return 0
	}
	arrived := 0
	// A socket that is closed here has nothing to read.
	_ = raw.Read(func(descriptor uintptr) bool {
		count, err := unix.Read(int(descriptor), buffer)
		if err == nil {
			arrived = count
		}
		return true
	})
	return arrived
}

// left says that the other end of a socket has closed its direction, or that the connection broke.
func left(raw syscall.RawConn) bool {
	gone := false
	// A socket that is closed here has no other end to ask about.
	_ = raw.Control(func(descriptor uintptr) { gone = polled(int(descriptor), unix.POLLRDHUP) })
	return gone
}

// broke says that a connection broke, or could not be made.
func broke(descriptor int) bool { return polled(descriptor, 0) }

// polled says that one of some events, or the end of the connection, has come to a socket.
func polled(descriptor int, events int16) bool {
	sockets := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
	count, err := unix.Poll(sockets, 0)
	return err == nil && count > 0 && sockets[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
}
