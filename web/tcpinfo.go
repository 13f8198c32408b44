package web

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPState returns the kernel's TCP state of a connection; zero if it is closed or the state cannot be read. The state tells of a
// reset even if its error was reported to another user of the connection.
func TCPState(conn net.Conn) uint8 {
	if raw := socketOf(conn); raw != nil {
		return RawTCPState(raw)
	}
	return 0
}

// RawTCPState does what TCPState does, for the raw form of a connection.
func RawTCPState(raw syscall.RawConn) uint8 { return tcpInfo(raw).State }

// SinceLastByte returns how long ago the kernel received the last byte of a connection that the other end has closed; zero if
// that is not known.
func SinceLastByte(conn net.Conn) time.Duration {
	raw := socketOf(conn)
	if raw == nil {
		return 0
	}
	info := tcpInfo(raw)
	if info.State != unix.BPF_TCP_CLOSE_WAIT {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Unacknowledged returns the number of written bytes that the other end has not acknowledged; zero if that cannot be read.
func Unacknowledged(conn net.Conn) int {
	raw := socketOf(conn)
	if raw == nil {
		return 0
	}
	count := 0
	err := raw.Control(func(descriptor uintptr) {
		if queued, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	if err != nil {
		return 0
	}
	return count
}

// tcpInfo returns what the kernel knows of a connection; empty if it is closed or that cannot be read.
func tcpInfo(raw syscall.RawConn) unix.TCPInfo {
	var known unix.TCPInfo
	err := raw.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			known = *info
		}
	})
	if err != nil {
		return unix.TCPInfo{}
	}
	return known
}
