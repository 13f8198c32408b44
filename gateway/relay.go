package gateway

import (
	"math/rand/v2"
	"net"
	"time"

	"coltsfootlink/relay"
	"coltsfootlink/supervisor"
	"coltsfootlink/web"
)

const (
	// forwardedPerMB limits the connections that are forwarded at a time, per megabyte of the configured memory.
	forwardedPerMB = 4
	// maxForwardedConnAge is the age at which a connection that another instance forwarded is closed, so that it does
	// not occupy two instances for long.
	maxForwardedConnAge = 2 * time.Second
)

func (gateway *Gateway) prepareRelay() {
	// The settings have been validated, so an error means that no relay address is set. The port is then empty and no
	// connections are forwarded.
	_, port, _ := net.SplitHostPort(gateway.Settings.Listen.Relay)
	gateway.relay = &relay.Task{
		Self:    gateway.self,
		Port:    port,
		MaxOpen: int64(gateway.Settings.MemoryMB * forwardedPerMB),

		MaxOpening: gateway.maxWaiting(),
		Draw:       rand.Float64,
		Clock:      gateway.clock,
		Log:        gateway.Log,
		Inbox:      gateway.mailboxes.relay,
	}
	if port != "" {
		gateway.gate.ZoneHasCapacity = gateway.relay.HasCapacity
	}
}

// addRelay adds the task that forwards callers' connections, and the server for those that other instances forward here.
func (gateway *Gateway) addRelay(front *supervisor.Branch, callers *web.Server) {
	if gateway.relay.Port == "" {
		return
	}
	callers.ConnectionFilter = gateway.relay
	front.Add("relay", gateway.relay)
	receiver := gateway.server("entrance", gateway.Settings.Listen.Relay, gateway.service)
	receiver.IdleTimeout = callers.IdleTimeout
	receiver.MaxConnAge = maxForwardedConnAge
	receiver.Open = callers.Open
	receiver.ConnectionFilter = relay.Receiver{Full: func() bool { return gateway.gate.Leaving() || gateway.gate.Pressure().Refusing() }}
	front.Add("entrance", receiver)
}
