package bed

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/platform"
)

// Gateway is one daemon process.
type Gateway struct {
	Name, Zone, Callers string

	ready, peers, metrics, relay, settings, logFile string
	command                                         *exec.Cmd
	exited                                          chan struct{}
}

func freeAddress() (string, error) { return loopback.FreeAddress() }

// StartGateways starts one daemon for each zone named and waits until all are ready. storeOf returns the address at which a
// daemon finds the store; nil for the store's own.
func (bed *Bed) StartGateways(zones []string, storeOf func(gateway int) string) error {
	for index, zone := range zones {
		gateway, err := bed.newGateway(index, zone)
		if err != nil {
			return err
		}
		bed.Gateways = append(bed.Gateways, gateway)
	}
	for index, gateway := range bed.Gateways {
		store := bed.StoreAddress
		if storeOf != nil {
			store = storeOf(index)
		}
		if err := bed.writeSettings(gateway, store); err != nil {
			return err
		}
		if err := bed.startGateway(gateway); err != nil {
			return err
		}
	}
	for _, gateway := range bed.Gateways {
		if err := bed.Wait(gateway.Name+" is ready", 20*time.Second, gateway.Ready); err != nil {
			return err
		}
	}
	return nil
}

func (bed *Bed) newGateway(index int, zone string) (*Gateway, error) {
	host, ports, err := freePorts(bed.relayPort, 5)
	if err != nil {
		return nil, err
	}
	bed.relayPort = ports[0]
	name := "front-" + zone + "-" + string(rune('1'+index))
	return &Gateway{
		Name: name, Zone: zone, Callers: net.JoinHostPort(host, ports[1]), ready: net.JoinHostPort(host, ports[2]),
		peers: net.JoinHostPort(host, ports[3]), metrics: net.JoinHostPort(host, ports[4]), relay: net.JoinHostPort(host, ports[0]),
		settings: filepath.Join(bed.Folder, name+".toml"), logFile: filepath.Join(bed.Folder, name+".log"),
	}, nil
}

// seedsSection is the list of seeds in the template of the settings.
var seedsSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)

// writeSettings fills in the template of the deploy file, with the figures of the small site skasa-ops.
func (bed *Bed) writeSettings(gateway *Gateway, store string) error {
	template, err := os.ReadFile("deploy/coltsfootd.toml")
	if err != nil {
		return err
	}
	var seeds []string
	for _, seed := range bed.Gateways[:min(3, len(bed.Gateways))] {
		seeds = append(seeds, `"`+seed.peers+`"`)
	}
	text := seedsSection.ReplaceAllString(string(template), strings.Join(seeds, ","))
	text = strings.NewReplacer(
		"{{node}}", gateway.Name, "{{zone}}", gateway.Zone, "{{limits.memory_mb}}", "134", "{{limits.cpu_share}}", "0.4", "{{limits.cores}}", "1",
		"{{listen.front}}", gateway.Callers, "{{listen.ready}}", gateway.ready, "{{listen.control}}", gateway.peers,
		// Where the template has a fixed port, a free one is taken.
		"{{ip_address}}:7415", gateway.metrics, "{{ip_address}}:7414", gateway.relay,
		"{{platform.address}}", store, "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "56",
		"{{bounds.cold_overage}}", "1.5", "{{bounds.cold_slack}}", "5", "{{bounds.grace_s}}", "8",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return errors.New("the template of the settings has a placeholder that is not known: " + text)
	}
	return os.WriteFile(gateway.settings, []byte(text), 0o600)
}

// startGateway starts the daemon with the command of deploy/system.toml.
func (bed *Bed) startGateway(gateway *Gateway) error {
	bed.starting.Lock()
	defer bed.starting.Unlock()
	if err := bed.ctx.Err(); err != nil {
		return err
	}
	log, err := os.OpenFile(gateway.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	gateway.command = command(platform.SettingsVariable+"="+gateway.settings, "target/coltsfootd", "--gateway")
	gateway.command.Stdout, gateway.command.Stderr = log, log
	gateway.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := gateway.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	started := gateway.command
	go func() {
		_ = started.Wait()
		close(exited)
	}()
	gateway.exited = exited
	return nil
}

// Ready reports whether the daemon says that it is ready.
func (gateway *Gateway) Ready() bool {
	response, err := http.Get("http://" + gateway.ready + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Suspend stops the process, and Resume continues it.
func (gateway *Gateway) Suspend() error { return gateway.command.Process.Signal(syscall.SIGSTOP) }

// Resume continues the process after Suspend.
func (gateway *Gateway) Resume() error { return gateway.command.Process.Signal(syscall.SIGCONT) }

// Log returns what the daemon has written.
func (gateway *Gateway) Log() string {
	text, _ := os.ReadFile(gateway.logFile)
	return string(text)
}

func (gateway *Gateway) end() {
	if gateway.exited != nil {
		_ = gateway.command.Process.Kill()
		<-gateway.exited
	}
}
