package rig

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink/loopback"
)

// Mode is the fault that a proxy injects into its connections.
type Mode int32

// The modes of a proxy.
const (
	// Pass forwards all bytes; it is no fault.
	Pass Mode = iota
	// Close closes all connections and each new one.
	Close
	// Hold keeps connections open but forwards no bytes until the mode changes.
	Hold
	// HoldRequests and HoldAnswers do the same in one direction only: from the client, or to the client.
	HoldRequests
	HoldAnswers
	// Slow forwards bytes with a delay.
	Slow
	// Abort closes all connections and each new one with a TCP reset.
	Abort
)

const (
	// holdPollInterval is the interval at which a connection that holds bytes back polls the proxy's mode.
	holdPollInterval = 10 * time.Millisecond
	// slowDelay is the delay of each read in mode Slow.
	slowDelay = 150 * time.Millisecond
	// bufferBytes is the size of the buffer of each direction of a connection.
	bufferBytes = 16 << 10
)

// Proxy forwards TCP connections to the target's address and injects faults.
type Proxy struct {
	Address string
	Target  string

	mode  atomic.Int32
	inbox chan any
	// opened is the number of connections so far. Those up to the number silenced forward no more bytes.
	opened, silenced atomic.Int64
	// done is closed when the proxy ends.
	done <-chan struct{}
}

// connectionPair reports that a client's connection and the one to the target were opened, or are closed.
type connectionPair struct {
	client, server net.Conn
	open           bool
}

// StartProxy starts a proxy that forwards to the target's address until the context ends.
func StartProxy(ctx context.Context, target string) (*Proxy, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "rig: proxy")
	}
	proxy := &Proxy{Address: address, Target: target, inbox: make(chan any), done: ctx.Done()}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go proxy.run(ctx)
	go proxy.accept(listener)
	return proxy, nil
}

// Set changes the mode. Close and Abort also close the connections that are open. It has no effect on a proxy that has ended.
func (proxy *Proxy) Set(mode Mode) {
	proxy.mode.Store(int32(mode))
	proxy.send(mode)
}

// SilenceOpen makes the connections that are open now forward no more bytes for good, without closing them. Later ones work.
func (proxy *Proxy) SilenceOpen() { proxy.silenced.Store(proxy.opened.Load()) }

// run is the task that owns the set of open connections.
func (proxy *Proxy) run(ctx context.Context) {
	open := make(map[net.Conn]net.Conn)
	for {
		select {
		case <-ctx.Done():
			closeAll(open)
			return
		case message := <-proxy.inbox:
			switch message := message.(type) {
			case connectionPair:
				if message.open {
					open[message.client] = message.server
					continue
				}
				delete(open, message.client)
			case Mode:
				if message == Abort {
					resetAllOnClose(open)
				}
				if message == Close || message == Abort {
					closeAll(open)
				}
			}
		}
	}
}

func (proxy *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(client)
	}
}

func (proxy *Proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	switch Mode(proxy.mode.Load()) {
	case Abort:
		resetOnClose(client)
		return
	case Close:
		return
	}
	server, err := net.Dial("tcp", proxy.Target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	number := proxy.opened.Add(1)
	proxy.send(connectionPair{client: client, server: server, open: true})
	defer proxy.send(connectionPair{client: client})
	answersDone := make(chan struct{})
	go func() {
		proxy.forward(client, server, number, HoldAnswers)
		close(answersDone)
	}()
	proxy.forward(server, client, number, HoldRequests)
	<-answersDone
}

// forward copies bytes of the connection with a number in one direction until one side closes; blocking is the mode that holds
// this direction only.
func (proxy *Proxy) forward(to, from net.Conn, number int64, blocking Mode) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if Mode(proxy.mode.Load()) == Slow {
			time.Sleep(slowDelay)
		}
		for proxy.blocked(blocking) {
			time.Sleep(holdPollInterval)
		}
		if mode := Mode(proxy.mode.Load()); mode == Close || mode == Abort {
			return
		}
		if count > 0 && number > proxy.silenced.Load() {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// blocked reports whether bytes are held in the direction that the given mode holds.
func (proxy *Proxy) blocked(direction Mode) bool {
	mode := Mode(proxy.mode.Load())
	return mode == Hold || mode == direction
}

// send sends a message to the proxy's task unless it has ended.
func (proxy *Proxy) send(message any) {
	select {
	case proxy.inbox <- message:
	case <-proxy.done:
	}
}

func resetAllOnClose(open map[net.Conn]net.Conn) {
	for client, server := range open {
		resetOnClose(client)
		resetOnClose(server)
	}
}

// resetOnClose makes the later close of a connection send a TCP reset.
func resetOnClose(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		// SetLinger fails if the connection is already closed, which needs no reset.
		_ = tcp.SetLinger(0)
	}
}

func closeAll(open map[net.Conn]net.Conn) {
	for client, server := range open {
		_ = client.Close()
		_ = server.Close()
	}
}
