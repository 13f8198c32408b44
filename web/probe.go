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
	// probeInterval is the time between two connections of a probe, calmInterval that while they are accepted within calmWait.
	probeInterval = 50 * time.Millisecond
	calmInterval  = 200 * time.Millisecond
	calmWait      = 10 * time.Millisecond
	// probeLimit is how long a connection of a probe may wait before the next one is opened.
	probeLimit = 5 * time.Second
	// replyLimit is how long a server waits for the word whether a connection is the probe's.
	replyLimit = 50 * time.Millisecond
)

// arrival asks whether a connection that a server has accepted is the probe's.
type arrival struct {
	coltsfootlink.Local
	// port is the connection's at its other end.
	port       int
	acceptedAt time.Time
	// reply receives the answer; it has room for it.
	reply chan<- bool
}

// Probe measures how long new connections wait until the server accepts them, by connections of its own. It runs beside
// the server.
type Probe struct {
	// Address is where the server listens.
	Address string
	Clock   coltsfootlink.Clock
	Inbox   *mailbox.Deliveries

	newest probing
	// published is the newest connection, for those who ask how long connections wait.
	published atomic.Pointer[probing]
}

// probing is one connection of a probe. Its zero value is none.
type probing struct {
	// descriptor is the connection's socket, until it is accepted.
	descriptor int
	sentAt     time.Time
	// acceptedAt is when the server got it; zero before.
	acceptedAt time.Time
	// before is how long the connection before it waited.
	before time.Duration
}

// waits says that the server has not got the connection yet.
func (probing probing) waits() bool { return !probing.sentAt.IsZero() && probing.acceptedAt.IsZero() }

// wait is how long the newest connection that was accepted waited; longer if the one after it has waited longer.
func (probing probing) wait(now time.Time) time.Duration {
	if probing.waits() {
		return max(probing.before, now.Sub(probing.sentAt))
	}
	return probing.acceptedAt.Sub(probing.sentAt)
}

// Wait returns how long new connections wait; zero if nothing is known.
func (probe *Probe) Wait() time.Duration {
	if newest := probe.published.Load(); newest != nil {
		return newest.wait(probe.Clock.Now())
	}
	return 0
}

// Run opens connections until the context ends.
func (probe *Probe) Run(ctx context.Context) error {
	resolved, err := net.ResolveTCPAddr("tcp4", probe.Address)
	if err != nil {
		return errors.Wrap(err, "web: probe")
	}
	address := &unix.SockaddrInet4{Port: resolved.Port}
	copy(address.Addr[:], resolved.IP.To4())
	defer probe.note(probing{})
	for {
		if !probe.pause(ctx, probe.interval()) {
			return nil
		}
		probe.once(ctx, address)
	}
}

// interval is the time until the next connection.
func (probe *Probe) interval() time.Duration {
	if probe.newest.wait(probe.Clock.Now()) < calmWait {
		return calmInterval
	}
	return probeInterval
}

// note keeps what is known of a connection, and publishes it.
func (probe *Probe) note(newest probing) {
	probe.newest = newest
	probe.published.Store(&newest)
}

// pause answers the server for some time; false if the context has ended.
func (probe *Probe) pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
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
			if asked, is := delivery.Message.(arrival); is {
				asked.reply <- probe.takes(asked)
			}
		}
	}
}

// takes says whether a connection is the newest one, and notes when it was accepted.
func (probe *Probe) takes(asked arrival) bool {
	if !probe.newest.waits() || asked.port != portOf(probe.newest.descriptor) {
		return false
	}
	accepted := probe.newest
	accepted.acceptedAt = asked.acceptedAt
	probe.note(accepted)
	return true
}

// once opens a connection and waits until it is accepted. One that cannot be made says nothing, for the server may not
// listen yet.
func (probe *Probe) once(ctx context.Context, address unix.Sockaddr) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	defer func() { _ = unix.Close(descriptor) }()
	sentAt := probe.Clock.Now()
	if err := unix.Connect(descriptor, address); err != nil && err != unix.EINPROGRESS {
		probe.note(probing{})
		return
	}
	probe.note(probing{descriptor: descriptor, sentAt: sentAt, before: probe.newest.wait(sentAt)})
	for giveUpAt := sentAt.Add(probeLimit); probe.newest.waits() && probe.Clock.Now().Before(giveUpAt); {
		if !probe.pause(ctx, probeInterval) {
			return
		}
		if probe.newest.waits() && broke(descriptor) {
			probe.note(probing{})
		}
	}
}

// portOf returns a socket's own port; zero if it has none.
func portOf(descriptor int) int {
	address, err := unix.Getsockname(descriptor)
	if inet, is := address.(*unix.SockaddrInet4); is && err == nil {
		return inet.Port
	}
	return 0
}

// asks asks whether an accepted connection is the probe's; only one from the same host can be.
func (probe *Probe) asks(conn net.Conn) bool {
	from, fromTCP := conn.RemoteAddr().(*net.TCPAddr)
	here, hereTCP := conn.LocalAddr().(*net.TCPAddr)
	if !fromTCP || !hereTCP || !sameHost(from.IP, here.IP) {
		return false
	}
	reply := make(chan bool, 1)
	probe.Inbox.Put(coltsfootlink.Delivery{Message: arrival{port: from.Port, acceptedAt: probe.Clock.Now(), reply: reply}})
	select {
	case mine := <-reply:
		return mine
	case <-time.After(replyLimit):
		return false
	}
}

// sameHost says whether two addresses are of one host, as all of the loopback are: the kernel calls from another one than it is
// called at.
func sameHost(one, other net.IP) bool {
	return one.Equal(other) || one.IsLoopback() && other.IsLoopback()
}
