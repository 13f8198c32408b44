package rig

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink/platform"
)

// defaultDrainDelay is how long a gateway that shuts down still accepts new requests.
const defaultDrainDelay = 500 * time.Millisecond

// relayPort is the port on which gateways accept forwarded connections from each other. It is the same for all, since
// each gateway has its own loopback address.
const relayPort = "7414"

// Gateway is one daemon process that runs against a stand-in of the users' platform.
type Gateway struct {
	*Process

	Zone string
	// Callers, Ready, Peers and Metrics are the addresses on which the gateway listens.
	Callers, Ready, Peers, Metrics string
	// CallersProxy forwards to the gateway's callers address, StoreProxy from the gateway to the store, and ControlProxy to the
	// control address; nil if the fleet has no proxies, or no control address.
	CallersProxy, StoreProxy, ControlProxy *Proxy
}

// gatewaySettings is the template of a gateway's settings file.
var gatewaySettings = template.Must(template.New("gateway").Parse(`instance = "{{.Name}}"
zone = "{{.Zone}}"
memory-mb = 256
profiling = {{.Profiling}}
seeds = [{{range .Seeds}}"{{.}}", {{end}}]

[listen]
callers = "{{.Callers}}"
ready = "{{.Ready}}"
peers = "{{.Peers}}"
metrics = "{{.Metrics}}"
relay = "{{.Relay}}"

[store]
address = "{{.Store}}"

[retry]
share = 0.2
slack = 50

[cold]
overage = 1.5
slack = 5

[timing]
stop-seconds = 6
drain-delay = "{{.DrainDelay}}"
{{if .Control}}
[duties]
address = "{{.Control}}"
{{.DutySettings}}
{{end}}
{{.Extra}}`))

// GatewayFleet describes a fleet of gateways that use one store.
type GatewayFleet struct {
	// Daemon is the path of the program, and Folder where settings and log files are written.
	Daemon, Folder string
	// Store is the address of the store.
	Store string
	// Zones are the zones to which the gateways are assigned in turn.
	Zones []string
	Count int
	// Profiling has the gateways serve profiles at their metrics addresses.
	Profiling bool
	// Control is the control address for the singleton duties, and DutySettings the other settings of these as TOML; without
	// an address there are none.
	Control, DutySettings string
	// ExtraSettings is TOML that is appended to the settings of each gateway.
	ExtraSettings string
	// Proxied adds fault proxies before the callers' address of each gateway, and between each gateway and the store and the
	// control address.
	Proxied bool
	// DrainDelay is how long a gateway that shuts down still accepts new requests; half a second if zero.
	DrainDelay time.Duration
}

// Start starts the gateways and waits until all are ready; if that fails or the context ends before, it kills those
// that it has started. Afterwards they belong to the caller, who has to kill them.
func (fleet GatewayFleet) Start(ctx context.Context) (gateways []*Gateway, err error) {
	var started []*Gateway
	defer func() {
		if err != nil {
			KillGateways(started)
		}
	}()
	for index := range fleet.Count {
		gateway := &Gateway{Process: &Process{Name: fmt.Sprint("gateway-", index)}, Zone: fleet.Zones[index%len(fleet.Zones)]}
		if err := assignAddresses(&gateway.Callers, &gateway.Ready, &gateway.Peers, &gateway.Metrics); err != nil {
			return nil, err
		}
		gateways = append(gateways, gateway)
	}
	for _, gateway := range gateways {
		if err := gateway.startProxies(ctx, fleet); err != nil {
			return nil, err
		}
		if err := gateway.start(fleet, gateways[0].Peers); err != nil {
			return nil, err
		}
		started = append(started, gateway)
	}
	for _, gateway := range gateways {
		if err := gateway.WaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// KillGateways kills the gateways that are still running and waits for them to end.
func KillGateways(gateways []*Gateway) {
	for _, gateway := range gateways {
		if gateway.Running() {
			// A gateway that has ended in the meantime cannot be killed, which is what was asked for.
			_ = gateway.Kill()
		}
	}
}

// startProxies starts the gateway's proxies if the fleet has any.
func (gateway *Gateway) startProxies(ctx context.Context, fleet GatewayFleet) error {
	if !fleet.Proxied {
		return nil
	}
	var err error
	if gateway.CallersProxy, err = StartProxy(ctx, gateway.Callers); err != nil {
		return err
	}
	if gateway.StoreProxy, err = StartProxy(ctx, fleet.Store); err != nil || fleet.Control == "" {
		return err
	}
	gateway.ControlProxy, err = StartProxy(ctx, fleet.Control)
	return err
}

func (gateway *Gateway) start(fleet GatewayFleet, seed string) error {
	var text bytes.Buffer
	host, _, err := net.SplitHostPort(gateway.Peers)
	if err != nil {
		return errors.Wrap(err, "rig: gateway's peers address")
	}
	store := fleet.Store
	if gateway.StoreProxy != nil {
		store = gateway.StoreProxy.Address
	}
	control := fleet.Control
	if gateway.ControlProxy != nil {
		control = gateway.ControlProxy.Address
	}
	err = gatewaySettings.Execute(&text, map[string]any{
		"Name": gateway.Name, "Zone": gateway.Zone, "Seeds": []string{seed}, "Callers": gateway.Callers, "Ready": gateway.Ready,
		"Peers": gateway.Peers, "Metrics": gateway.Metrics, "Relay": net.JoinHostPort(host, relayPort), "Store": store, "Extra": fleet.ExtraSettings, "Profiling": fleet.Profiling, "Control": control, "DutySettings": fleet.DutySettings,
		"DrainDelay": cmp.Or(fleet.DrainDelay, defaultDrainDelay),
	})
	if err != nil {
		return errors.Wrap(err, "rig: fill in a gateway's settings")
	}
	file := filepath.Join(fleet.Folder, gateway.Name+".toml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return errors.Wrap(err, "rig: write a gateway's settings")
	}
	gateway.program = fleet.Daemon
	gateway.arguments = []string{"--gateway", "--settings", file}
	gateway.logFile = filepath.Join(fleet.Folder, gateway.Name+".log")
	return gateway.Start()
}

// WaitReady waits until the gateway reports that it is ready, or the context ends.
func (gateway *Gateway) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + gateway.Ready + platform.ReadinessPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Wrap(ctx.Err(), "rig: not ready in time: "+gateway.Name)
}
