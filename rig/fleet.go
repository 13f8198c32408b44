package rig

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

const (
	// OperatorToken and PeerToken are the tokens of operators and of instances in every fleet.
	OperatorToken = "operator-token"
	PeerToken     = "peer-token"
	// readyTimeout is the time within which a fleet must become ready.
	readyTimeout = 15 * time.Second
	// readyInterval is the interval at which an instance's readiness is polled.
	readyInterval = 20 * time.Millisecond
)

// Plan describes a fleet to start.
type Plan struct {
	Programs Programs
	// Folder is where settings and log files are written.
	Folder        string
	Zones         []string
	Instances     int
	Targets       []standin.SceneTarget
	Configuration coltsfootlink.Configuration
	Policy        settings.Policy
	// Proxied adds fault proxies between the zones, and before the targets and the platform.
	Proxied bool
	// Retention is the number of records that each partition of the log keeps; all if zero.
	Retention int
	// AppendsPerSecond limits the rate of appends to the log; unlimited if zero.
	AppendsPerSecond float64
	// Timing is further TOML lines for the timing table of each daemon's settings.
	Timing string
}

// Instance is one daemon process of a fleet, with the addresses on which it listens.
type Instance struct {
	*Process
	Zone      string
	Callers   string
	Operators string
	Peers     string
}

// Fleet is a running fleet of daemons and their stand-ins.
type Fleet struct {
	Plan      Plan
	Instances []*Instance
	Platform  string
	Standins  *Process
	scene     standin.Scene
	proxies   []zoneProxy
	http      *http.Client
}

// zoneProxy is a proxy on the way from the instances of a zone to an instance, a target or the platform.
type zoneProxy struct {
	from, to string
	proxy    *Proxy
}

// platformZone is the zone name that stands for the platform in zoneProxy.to.
const platformZone = "platform"

// Start starts a fleet and waits until it is ready. Its processes are killed when the context ends.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	fleet := &Fleet{Plan: plan, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	if err := fleet.prepareScene(ctx); err != nil {
		return nil, err
	}
	if err := fleet.startStandins(); err != nil {
		return nil, err
	}
	for _, instance := range fleet.Instances {
		if err := fleet.startInstance(ctx, instance); err != nil {
			return nil, err
		}
	}
	context.AfterFunc(ctx, fleet.kill)
	return fleet, fleet.WaitReady(ctx)
}

// WaitReady waits until every instance reports that it is ready; it fails after readyTimeout.
func (fleet *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readyTimeout))
	defer cancel()
	for _, instance := range fleet.Instances {
		for !fleet.ready(ctx, instance) {
			if ctx.Err() != nil {
				return errors.Newf("rig: instance %s did not become ready in time", instance.Name)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

// Instance returns the instance with the given name, or nil.
func (fleet *Fleet) Instance(name string) *Instance {
	for _, instance := range fleet.Instances {
		if instance.Name == name {
			return instance
		}
	}
	return nil
}

// Running returns the instances that have not been killed or asked to stop.
func (fleet *Fleet) Running() []*Instance {
	var running []*Instance
	for _, instance := range fleet.Instances {
		if !instance.stopRequested.Load() {
			running = append(running, instance)
		}
	}
	return running
}

// InZone returns the instances of a zone, running or not.
func (fleet *Fleet) InZone(zone string) []*Instance {
	var found []*Instance
	for _, instance := range fleet.Instances {
		if instance.Zone == zone {
			found = append(found, instance)
		}
	}
	return found
}

// SetZone sets the mode of every proxy between a zone and the other zones or the platform.
func (fleet *Fleet) SetZone(zone string, mode Mode) {
	for _, link := range fleet.proxies {
		if link.from != link.to && (link.from == zone || link.to == zone) {
			link.proxy.Set(mode)
		}
	}
}

// SetPlatform sets the mode of every proxy between an instance and the platform.
func (fleet *Fleet) SetPlatform(mode Mode) {
	for _, link := range fleet.proxies {
		if link.to == platformZone {
			link.proxy.Set(mode)
		}
	}
}

func (fleet *Fleet) ready(ctx context.Context, instance *Instance) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Callers+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := fleet.http.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// prepareScene assigns addresses, starts the proxies and fills in the scene of the stand-ins.
func (fleet *Fleet) prepareScene(ctx context.Context) error {
	document, err := settings.FormatFleet(fleet.Plan.Configuration)
	if err != nil {
		return err
	}
	fleet.scene = standin.Scene{Fleet: document, Retention: fleet.Plan.Retention, AppendsPerSecond: fleet.Plan.AppendsPerSecond}
	if err := assignAddresses(&fleet.scene.Platform); err != nil {
		return err
	}
	fleet.Platform = fleet.scene.Platform
	for index := range fleet.Plan.Instances {
		if err := fleet.addInstance(ctx, index); err != nil {
			return err
		}
	}
	for _, target := range fleet.Plan.Targets {
		if err := fleet.addTarget(ctx, target); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *Fleet) addInstance(ctx context.Context, index int) error {
	zone := fleet.Plan.Zones[index%len(fleet.Plan.Zones)]
	name := fmt.Sprintf("%s-%d", zone, index/len(fleet.Plan.Zones)+1)
	instance := &Instance{Process: &Process{Name: name}, Zone: zone}
	if err := assignAddresses(&instance.Callers, &instance.Operators, &instance.Peers); err != nil {
		return err
	}
	via, err := fleet.startProxies(ctx, zone, instance.Peers)
	if err != nil {
		return err
	}
	fleet.Instances = append(fleet.Instances, instance)
	fleet.scene.Instances = append(fleet.scene.Instances, standin.SceneInstance{
		Name: name, Zone: zone, PeerAddress: instance.Peers, Via: via,
	})
	return nil
}

func (fleet *Fleet) addTarget(ctx context.Context, target standin.SceneTarget) error {
	if err := assignAddresses(&target.Address); err != nil {
		return err
	}
	via, err := fleet.startProxies(ctx, target.Zone, target.Address)
	if err != nil {
		return err
	}
	target.Via = via
	fleet.scene.Targets = append(fleet.scene.Targets, target)
	return nil
}

// startProxies starts a proxy to the address for each zone and returns the proxies' addresses by zone; nil if the fleet
// has no proxies.
func (fleet *Fleet) startProxies(ctx context.Context, to, address string) (map[string]string, error) {
	if !fleet.Plan.Proxied {
		return nil, nil
	}
	via := make(map[string]string)
	for _, from := range fleet.Plan.Zones {
		proxy, err := StartProxy(ctx, address)
		if err != nil {
			return nil, err
		}
		fleet.proxies = append(fleet.proxies, zoneProxy{from: from, to: to, proxy: proxy})
		via[from] = proxy.Address
	}
	return via, nil
}

func (fleet *Fleet) startStandins() error {
	text, err := toml.Marshal(fleet.scene)
	if err != nil {
		return errors.Wrap(err, "rig: encode the scene")
	}
	file := filepath.Join(fleet.Plan.Folder, "scene.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return errors.Wrap(err, "rig: write the scene")
	}
	fleet.Standins, err = startProcess("standin", fleet.logFile("standin"), fleet.Plan.Programs.Standin, "--settings", file)
	return err
}

func (fleet *Fleet) startInstance(ctx context.Context, instance *Instance) error {
	platform := fleet.Platform
	via, err := fleet.startProxies(ctx, platformZone, platform)
	if err != nil {
		return err
	}
	if fleet.Plan.Proxied {
		platform = via[instance.Zone]
	}
	file := filepath.Join(fleet.Plan.Folder, instance.Name+".toml")
	if err := os.WriteFile(file, []byte(fleet.daemonSettings(instance, platform)), 0o600); err != nil {
		return errors.Wrap(err, "rig: write an instance's settings")
	}
	process, err := startProcess(instance.Name, fleet.logFile(instance.Name), fleet.Plan.Programs.Daemon, "--settings", file)
	instance.Process = process
	return err
}

func (fleet *Fleet) daemonSettings(instance *Instance, platform string) string {
	var text strings.Builder
	line := func(format string, arguments ...any) { fmt.Fprintf(&text, format+"\n", arguments...) }
	line("instance = %q\nzone = %q", instance.Name, instance.Zone)
	line("[callers]\naddress = %q", instance.Callers)
	line("[operators]\naddress = %q\ntoken = %q", instance.Operators, OperatorToken)
	line("[peers]\naddress = %q\ntoken = %q", instance.Peers, PeerToken)
	line("[platform]\naddress = %q", "http://"+platform+"/"+instance.Zone)
	line("[policy]")
	for key, choice := range map[string]string{
		"order": fleet.Plan.Policy.Order, "placement": fleet.Plan.Policy.Placement, "takeover": fleet.Plan.Policy.Takeover,
	} {
		if choice != "" {
			line("%s = %q", key, choice)
		}
	}
	line("[timing]\ndrain-delay = \"200ms\"\n%s", fleet.Plan.Timing)
	for _, other := range fleet.scene.Instances {
		if other.Name == instance.Name {
			continue
		}
		address := other.PeerAddress
		if other.Via != nil {
			address = other.Via[instance.Zone]
		}
		line("[[seed]]\ninstance = %q\nzone = %q\naddress = %q", other.Name, other.Zone, address)
	}
	return text.String()
}

func (fleet *Fleet) logFile(name string) string {
	return filepath.Join(fleet.Plan.Folder, name+".log")
}

// kill sends SIGKILL to every process of the fleet.
func (fleet *Fleet) kill() {
	for _, instance := range fleet.Instances {
		_ = instance.signal(9)
	}
	_ = fleet.Standins.signal(9)
}

// assignAddresses sets each field to an unused local address.
func assignAddresses(fields ...*string) error {
	for _, field := range fields {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		*field = address
	}
	return nil
}
