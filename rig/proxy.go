package rig

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
)

const (
	// holdPause is the time between two looks at a held proxy's mode.
	holdPause = 10 * time.Millisecond
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

// startProxy starts a proxy before an address; it ends with the context.
func startProxy(ctx context.Context, target string) (*Proxy, error) {
	address, err := FreeAddress()
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

// Set changes the mode; a cut closes what is open.
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
				if message == Cut {
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
	if Mode(proxy.mode.Load()) == Cut {
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
		proxy.pump(near, far)
		close(back)
	}()
	proxy.pump(far, near)
	<-back
}

// pump moves bytes until one side closes.
func (proxy *Proxy) pump(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, proxyBytes)
	for {
		count, err := from.Read(buffer)
		for Mode(proxy.mode.Load()) == Hold {
			time.Sleep(holdPause)
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

func (proxy *Proxy) tell(ctx context.Context, message proxied) {
	select {
	case proxy.inbox <- message:
	case <-ctx.Done():
	}
}

func closeAll(open map[net.Conn]net.Conn) {
	for near, far := range open {
		_ = near.Close()
		_ = far.Close()
	}
}
