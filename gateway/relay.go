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
	// passedPerMB bounds the connections that are passed on by the memory of the machine.
	passedPerMB = 4
	// passedLife is how old a connection that was passed on may become, so that it does not stay with two instances.
	passedLife = 2 * time.Second
)

func (gateway *Gateway) prepareRelay() {
	// The settings are checked; without an address there is no port, and nothing is passed on.
	_, port, _ := net.SplitHostPort(gateway.Settings.Listen.Relay)
	gateway.relay = &relay.Task{
		Self:    gateway.self,
		Port:    port,
		MaxOpen: int64(gateway.Settings.MemoryMB * passedPerMB),

		MaxOpening: gateway.mostChoosing(),
		Draw:       rand.Float64,
		Clock:      gateway.clock,
		Inbox:      gateway.boxes.relay,
	}
	if port != "" {
		gateway.gate.ZoneHasCapacity = gateway.relay.HasCapacity
	}
}

// addRelay adds what passes callers' connections on and what takes those of others.
func (gateway *Gateway) addRelay(front *supervisor.Branch, callers *web.Server) {
	if gateway.relay.Port == "" {
		return
	}
	callers.ConnectionFilter = gateway.relay
	front.Add("relay", gateway.relay)
	entrance := gateway.server("entrance", gateway.Settings.Listen.Relay, gateway.service)
	entrance.IdleTimeout = callers.IdleTimeout
	entrance.MaxConnAge = passedLife
	entrance.Open = callers.Open
	entrance.ConnectionFilter = relay.Receiver{Full: func() bool { return gateway.gate.Leaving() || gateway.gate.Pressure().Refusing() }}
	front.Add("entrance", entrance)
}
