package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

const (
	// host is the host of all routes, and key the API key of the one tenant.
	host = "h.example"
	key  = "key-1"
	// drainTime is how long a server that leaves goes on serving at least.
	drainTime = 2 * time.Second
	// silenceTime is three ping intervals, after which the store removes the entry of a server that is silent.
	silenceTime = 3600 * time.Millisecond
	// maxSeeds is the number of machines that the platform lists as seeds.
	maxSeeds = 3
	// startTimeout limits the start of the fleet.
	startTimeout = 15 * time.Second
)

// settingsText is the template of the deploy file with the values of a small deployment.
const settingsText = `instance = "%[1]s"
zone = "%[2]s"
memory-mb = 134
processor-share = 0.4
cores = 1
seeds = [%[3]s]

[listen]
callers = "%[4]s:%[6]s"
ready = "%[4]s:%[7]s"
peers = "%[4]s:%[8]s"
metrics = "%[4]s:%[9]s"
relay = "%[4]s:%[10]s"

[store]
address = "%[5]s"

[retry]
share = 0.2
slack = 56

[cold]
overage = 1.5
slack = 5

[timing]
stop-seconds = 8
`

// fleet is a store, gateways and servers.
type fleet struct {
	record *record
	folder string
	store  *platform.Store
	// address is that of the store.
	address  string
	gateways []*gateway
	servers  []*server
	version  int
	mutex    sync.Mutex
	// onLine is called with each line that a server prints; it may be nil.
	onLine func(server, line string)
}

// fleets are the fleets that were started, for an interrupted play to end them.
var fleets sync.Map

// stopFleets stops all fleets.
func stopFleets() {
	fleets.Range(func(started, _ any) bool {
		started.(*fleet).stop()
		return true
	})
}

// gateway is one process of the project.
type gateway struct {
	name, zone, ip string
	ports          ports
	settings       string
	command        *exec.Cmd
	exited         chan error
}

// ports are the ports of a gateway, which are the same on all machines.
type ports struct{ callers, ready, peers, metrics, relay string }

// freePorts returns ports that are free on a host.
func freePorts() (ports, error) {
	var found ports
	for _, port := range []*string{&found.callers, &found.ready, &found.peers, &found.metrics, &found.relay} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return found, err
		}
		if _, *port, err = net.SplitHostPort(address); err != nil {
			return found, err
		}
	}
	return found, nil
}

// callers is the address for clients.
func (gateway *gateway) callers() string { return net.JoinHostPort(gateway.ip, gateway.ports.callers) }

// startFleet starts a store with a configuration and gateways, and waits until they are ready.
func startFleet(ctx context.Context, zones []string, table map[string]any) (*fleet, error) {
	written, err := newRecord()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "play-3-")
	if err != nil {
		return nil, err
	}
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	store := standin.NewStore(0)
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: address, Store: store}).Run(ctx) }()
	fleet := &fleet{record: written, folder: folder, store: platform.NewStore("http://" + address), address: address}
	fleets.Store(fleet, true)
	if err := fleet.configure(ctx, table); err != nil {
		return fleet, err
	}
	shared, err := freePorts()
	if err != nil {
		return fleet, err
	}
	for index, zone := range zones {
		free, err := loopback.FreeAddress()
		if err != nil {
			return fleet, err
		}
		ip, _, err := net.SplitHostPort(free)
		if err != nil {
			return fleet, err
		}
		added := &gateway{name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone, ip: ip, ports: shared}
		added.settings = filepath.Join(folder, added.name+".toml")
		fleet.gateways = append(fleet.gateways, added)
	}
	for _, added := range fleet.gateways {
		if err := fleet.writeSettings(added, fleet.gateways[:min(maxSeeds, len(fleet.gateways))]); err != nil {
			return fleet, err
		}
		if err := fleet.start(added); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// writeSettings writes the settings of a gateway, with some gateways as seeds.
func (fleet *fleet) writeSettings(written *gateway, seeds []*gateway) error {
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, strconv.Quote(net.JoinHostPort(seed.ip, seed.ports.peers)))
	}
	text := fmt.Sprintf(settingsText, written.name, written.zone, strings.Join(addresses, ", "), written.ip, fleet.address,
		written.ports.callers, written.ports.ready, written.ports.peers, written.ports.metrics, written.ports.relay)
	return os.WriteFile(written.settings, []byte(text), 0o600)
}

// start starts a gateway as the deploy file does.
func (fleet *fleet) start(gateway *gateway) error {
	log, err := os.OpenFile(filepath.Join(fleet.folder, gateway.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/coltsfootd", "--gateway")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+gateway.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	gateway.command, gateway.exited = command, exited
	fleet.record.line("%s: started, process %d", gateway.name, command.Process.Pid)
	return nil
}

// awaitReady waits until a gateway says that it is ready.
func (gateway *gateway) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + net.JoinHostPort(gateway.ip, gateway.ports.ready) + platform.ReadinessPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", gateway.name)
}

// stop kills all processes.
func (fleet *fleet) stop() {
	for _, gateway := range fleet.gateways {
		if gateway.command != nil {
			_ = gateway.command.Process.Kill()
		}
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, server := range fleet.servers {
		_ = server.command.Process.Kill()
	}
	_ = os.RemoveAll(fleet.folder)
}

// put writes the newest record of a key; nil removes it.
func put(ctx context.Context, store *platform.Store, topic, name string, document any) error {
	var value []byte
	if document != nil {
		encoded, err := json.Marshal(document)
		if err != nil {
			return err
		}
		value = encoded
	}
	var err error
	for range 50 {
		if _, err = store.Append(ctx, platform.Partition{Topic: topic}, [][]byte{platform.EncodeKeyed(name, value)}, platform.Condition{}); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// configure writes the next version of the configuration.
func (fleet *fleet) configure(ctx context.Context, table map[string]any) error {
	fleet.version++
	table["version"] = fleet.version
	if _, given := table["tenants"]; !given {
		table["tenants"] = []any{map[string]any{"name": "tenant-1", "api_keys": []string{key}}}
	}
	table["limits"] = map[string]any{
		"max_body_bytes": 4 << 20, "max_header_bytes": 32 << 10, "header_timeout_ms": 5000, "idle_timeout_ms": 15000, "tokens_per_s": 380000,
	}
	err := put(ctx, fleet.store, platform.OperatorTopic, "config", table)
	fleet.record.line("operator: version %d is acknowledged", fleet.version)
	return err
}

// server is a process that stands in for a server.
type server struct {
	name, address string
	command       *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startServer starts a server and waits until it says that it serves. What it prints goes into the record.
func (fleet *fleet) startServer(name, service, zone string, arguments ...string) (*server, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	return fleet.startServerAt(address, name, service, zone, arguments...)
}

// startServerAt does what startServer does, at an address.
func (fleet *fleet) startServerAt(address, name, service, zone string, arguments ...string) (*server, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, append([]string{serverPlay, "--name", name, "--service", service, "--zone", zone, "--address", address, "--store", fleet.address}, arguments...)...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &server{name: name, address: address, command: command, ended: make(chan struct{})}
	fleet.mutex.Lock()
	fleet.servers = append(fleet.servers, started)
	fleet.mutex.Unlock()
	serving := make(chan struct{})
	go func() {
		var once sync.Once
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			fleet.record.line("%s: %s", name, lines.Text())
			if strings.HasPrefix(lines.Text(), servingLine) {
				once.Do(func() { close(serving) })
			}
			if fleet.onLine != nil {
				fleet.onLine(name, lines.Text())
			}
		}
		_, _ = io.Copy(io.Discard, output)
		crashed := command.Wait() != nil
		fleet.record.line("%s: process has ended", name)
		close(started.ended)
		if crashed {
			time.Sleep(silenceTime)
		}
		// It fails only if the play has ended.
		_ = put(context.Background(), fleet.store, platform.TargetTopic, name, nil)
	}()
	select {
	case <-serving:
		return started, nil
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("%s does not serve", name)
	}
}
