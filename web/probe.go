package web

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

const (
	// probeInterval is the time between two connections of a probe. While connections are accepted within
	// fastAcceptThreshold, it is fastAcceptInterval.
	probeInterval       = 50 * time.Millisecond
	fastAcceptInterval  = 200 * time.Millisecond
	fastAcceptThreshold = 10 * time.Millisecond
	// probeTimeout is how long a probe waits for its connection to be accepted before it opens the next one.
	probeTimeout = 5 * time.Second
	// replyTimeout is how long a server waits for the probe's reply whether a connection is the probe's.
	replyTimeout = 50 * time.Millisecond
)

// acceptedConn is sent by a server to its probe and asks whether a connection that it has accepted is the probe's.
type acceptedConn struct {
	coltsfootlink.Local
	// port is the client's port of the connection.
	port int
	// acceptedAt is when the server accepted the connection.
	acceptedAt time.Time
	// reply receives the answer; it is buffered so that the probe does not block.
	reply chan<- bool
}

// Probe measures how long new connections wait until the server accepts them, by opening connections to it. It runs
// beside the server.
type Probe struct {
	// Address is the address on which the server listens.
	Address string
	Clock   coltsfootlink.Clock
	Inbox   *mailbox.Deliveries

	newest probeConn
	// published is a copy of newest for readers outside the probe's goroutine.
	published atomic.Pointer[probeConn]
}

// probeConn is one connection of a probe. The zero value stands for no connection.
type probeConn struct {
	// descriptor is the connection's socket; it is used until the connection is accepted.
	descriptor int
	sentAt     time.Time
	// acceptedAt is when the server accepted the connection; zero before.
	acceptedAt time.Time
	// previousWait is how long the previous connection waited.
	previousWait time.Duration
}

// pending reports whether the connection was opened and the server has not accepted it yet.
func (conn probeConn) pending() bool { return !conn.sentAt.IsZero() && conn.acceptedAt.IsZero() }

// wait returns how long the connection waited to be accepted. While it is pending, it returns the longer of the
// previous connection's wait and the time that this one has waited.
func (conn probeConn) wait(now time.Time) time.Duration {
	if conn.pending() {
		return max(conn.previousWait, now.Sub(conn.sentAt))
	}
	return conn.acceptedAt.Sub(conn.sentAt)
}

// Wait returns how long new connections wait to be accepted; zero if there is no measurement.
func (probe *Probe) Wait() time.Duration {
	if newest := probe.published.Load(); newest != nil {
		return newest.wait(probe.Clock.Now())
	}
	return 0
}

// Run opens connections, one after the other, until the context ends.
func (probe *Probe) Run(ctx context.Context) error {
	resolved, err := net.ResolveTCPAddr("tcp4", probe.Address)
	if err != nil {
		return errors.Wrap(err, "web: probe")
	}
	address := &unix.SockaddrInet4{Port: resolved.Port}
	copy(address.Addr[:], resolved.IP.To4())
	defer probe.setNewest(probeConn{})
	for {
		if !probe.handleMessages(ctx, probe.interval()) {
			return nil
		}
		probe.probeOnce(ctx, address)
	}
}

// interval returns the time until the next connection is opened.
func (probe *Probe) interval() time.Duration {
	if probe.newest.wait(probe.Clock.Now()) < fastAcceptThreshold {
		return fastAcceptInterval
	}
	return probeInterval
}

// setNewest stores the newest connection and publishes it.
func (probe *Probe) setNewest(newest probeConn) {
	probe.newest = newest
	probe.published.Store(&newest)
}

// handleMessages answers the server's messages for the given duration; false if the context has ended.
func (probe *Probe) handleMessages(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-probe.Inbox.Ready():
		}
		for _, delivery := range probe.Inbox.Drain() {
			if accepted, is := delivery.Message.(acceptedConn); is {
				accepted.reply <- probe.recordAccepted(accepted)
			}
		}
	}
}

// recordAccepted reports whether an accepted connection is the newest one of the probe, and records when it was
// accepted.
func (probe *Probe) recordAccepted(conn acceptedConn) bool {
	if !probe.newest.pending() || conn.port != portOf(probe.newest.descriptor) {
		return false
	}
	accepted := probe.newest
	accepted.acceptedAt = conn.acceptedAt
	probe.setNewest(accepted)
	return true
}

// probeOnce opens a connection and waits until it is accepted. If the connection cannot be made, the measurement is
// cleared, since the server may not listen yet.
func (probe *Probe) probeOnce(ctx context.Context, address unix.Sockaddr) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	defer func() { _ = unix.Close(descriptor) }()
	sentAt := probe.Clock.Now()
	if err := unix.Connect(descriptor, address); err != nil && err != unix.EINPROGRESS {
		probe.setNewest(probeConn{})
		return
	}
	probe.setNewest(probeConn{descriptor: descriptor, sentAt: sentAt, previousWait: probe.newest.wait(sentAt)})
	for deadline := sentAt.Add(probeTimeout); probe.newest.pending() && probe.Clock.Now().Before(deadline); {
		if !probe.handleMessages(ctx, probeInterval) {
			return
		}
		if probe.newest.pending() && connFailed(descriptor) {
			probe.setNewest(probeConn{})
		}
	}
}

// portOf returns a socket's local port; zero if it has none.
func portOf(descriptor int) int {
	address, err := unix.Getsockname(descriptor)
	if inet, is := address.(*unix.SockaddrInet4); is && err == nil {
		return inet.Port
	}
	return 0
}

// owns asks the probe whether an accepted connection is its own. Only connections from the same host can be, so others
// are not asked about.
func (probe *Probe) owns(conn net.Conn) bool {
	remote, remoteIsTCP := conn.RemoteAddr().(*net.TCPAddr)
	local, localIsTCP := conn.LocalAddr().(*net.TCPAddr)
	if !remoteIsTCP || !localIsTCP || !sameHost(remote.IP, local.IP) {
		return false
	}
	reply := make(chan bool, 1)
	probe.Inbox.Put(coltsfootlink.Delivery{Message: acceptedConn{port: remote.Port, acceptedAt: probe.Clock.Now(), reply: reply}})
	select {
	case mine := <-reply:
		return mine
	case <-time.After(replyTimeout):
		return false
	}
}

// sameHost reports whether two addresses are of the same host. All loopback addresses are, because the kernel may
// choose another loopback address for the client's end than the server listens on.
func sameHost(left, right net.IP) bool {
	return left.Equal(right) || left.IsLoopback() && right.IsLoopback()
}
