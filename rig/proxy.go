package rig

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink/loopback"
)

// Mode is what a proxy does to its connections.
type Mode int32

// The modes of a proxy.
const (
	// Pass lets all bytes through.
	Pass Mode = iota
	// Cut closes all connections and each new one.
	Cut
	// Hold keeps connections open and lets no byte through.
	Hold
	// HoldRequests and HoldAnswers let no byte through in one direction.
	HoldRequests
	HoldAnswers
	// Slow passes bytes on late.
	Slow
	// Abort resets all connections and each new one.
	Abort
)

const (
	// holdPause is the time between two looks at a held proxy's mode.
	holdPause = 10 * time.Millisecond
	// slowPause is how late a slow proxy passes bytes on.
	slowPause = 150 * time.Millisecond
	// proxyBytes is the most that is moved at once.
	proxyBytes = 16 << 10
)

// Proxy passes TCP connections on to an address, with faults.
type Proxy struct {
	Address string
	Target  string

	mode  atomic.Int32
	inbox chan any
}

// proxied is a pair of connections that is opened or closed.
type proxied struct {
	near, far net.Conn
	open      bool
}

// StartProxy starts a proxy before an address; it ends with the context.
func StartProxy(ctx context.Context, target string) (*Proxy, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "rig: proxy")
	}
	proxy := &Proxy{Address: address, Target: target, inbox: make(chan any)}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go proxy.own(ctx)
	go proxy.accept(ctx, listener)
	return proxy, nil
}

// Set changes the mode; a cut closes what is open, and a reset resets it.
func (proxy *Proxy) Set(mode Mode) {
	proxy.mode.Store(int32(mode))
	proxy.inbox <- mode
}

// own keeps the open connections.
func (proxy *Proxy) own(ctx context.Context) {
	open := make(map[net.Conn]net.Conn)
	for {
		select {
		case <-ctx.Done():
			closeAll(open)
			return
		case message := <-proxy.inbox:
			switch message := message.(type) {
			case proxied:
				if message.open {
					open[message.near] = message.far
					continue
				}
				delete(open, message.near)
			case Mode:
				if message == Abort {
					resetAll(open)
				}
				if message == Cut || message == Abort {
					closeAll(open)
				}
			}
		}
	}
}

func (proxy *Proxy) accept(ctx context.Context, listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(ctx, near)
	}
}

func (proxy *Proxy) serve(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	switch Mode(proxy.mode.Load()) {
	case Abort:
		reset(near)
		return
	case Cut:
		return
	}
	far, err := net.Dial("tcp", proxy.Target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	proxy.tell(ctx, proxied{near: near, far: far, open: true})
	defer proxy.tell(ctx, proxied{near: near})
	back := make(chan struct{})
	go func() {
		proxy.pump(near, far, HoldAnswers)
		close(back)
	}()
	proxy.pump(far, near, HoldRequests)
	<-back
}

// pump moves bytes in one direction until one side closes; held is the mode that stops this direction alone.
func (proxy *Proxy) pump(to, from net.Conn, held Mode) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, proxyBytes)
	for {
		count, err := from.Read(buffer)
		if Mode(proxy.mode.Load()) == Slow {
			time.Sleep(slowPause)
		}
		for proxy.holds(held) {
			time.Sleep(holdPause)
		}
		if mode := Mode(proxy.mode.Load()); mode == Cut || mode == Abort {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// holds says whether bytes stand still in the direction that a mode stops alone.
func (proxy *Proxy) holds(direction Mode) bool {
	mode := Mode(proxy.mode.Load())
	return mode == Hold || mode == direction
}

func (proxy *Proxy) tell(ctx context.Context, message proxied) {
	select {
	case proxy.inbox <- message:
	case <-ctx.Done():
	}
}

func resetAll(open map[net.Conn]net.Conn) {
	for near, far := range open {
		reset(near)
		reset(far)
	}
}

// reset makes the close of a connection a reset.
func reset(connection net.Conn) {
	if link, is := connection.(*net.TCPConn); is {
		// A connection that is already closed needs no reset.
		_ = link.SetLinger(0)
	}
}

func closeAll(open map[net.Conn]net.Conn) {
	for near, far := range open {
		_ = near.Close()
		_ = far.Close()
	}
}
