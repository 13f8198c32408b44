package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// ground is what a case is played on: a store, and gateways as separate processes. What is sent, answered and run is written
// to record.txt.
type ground struct {
	trouble  bool
	began    time.Time
	folder   string
	store    string
	gateways []*gateway
	cancel   context.CancelFunc
	// atEnd ends what else the case has started; it may be called more than once. It is set before anything is started.
	atEnd func()

	mutex  sync.Mutex
	record *bufio.Writer
	file   *os.File
	ended  bool
}

func newGround() (*ground, error) {
	file, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "ground")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	current := &ground{
		trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), folder: folder, cancel: cancel, file: file, record: bufio.NewWriter(file),
	}
	if current.store, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
	store := standin.NewStore(0)
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: current.store, Store: store}).Run(ctx) }()
	current.note("trouble: %v", current.trouble)
	return current, current.awaitStore()
}

func (current *ground) awaitStore() error {
	for range 100 {
		if _, err := current.newest(platform.OperatorTopic); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the store does not answer")
}

// note writes a line to the record, with the seconds since the start.
func (current *ground) note(format string, values ...any) {
	current.mutex.Lock()
	defer current.mutex.Unlock()
	if !current.ended {
		_, _ = fmt.Fprintf(current.record, "%8.3f "+format+"\n", append([]any{time.Since(current.began).Seconds()}, values...)...)
	}
}

// end ends all processes that were started and closes the record.
func (current *ground) end() {
	for _, gateway := range current.gateways {
		gateway.kill()
	}
	if current.atEnd != nil {
		current.atEnd()
	}
	current.cancel()
	current.mutex.Lock()
	defer current.mutex.Unlock()
	if !current.ended {
		current.ended = true
		_ = current.record.Flush()
		_ = current.file.Close()
		_ = os.RemoveAll(current.folder)
	}
}

// put writes a value under a key; an empty value removes the key.
func (current *ground) put(topic, key string, value any) error {
	var text []byte
	if value != nil {
		var err error
		if text, err = json.Marshal(value); err != nil {
			return err
		}
	}
	body := platform.EncodeRecords([][]byte{platform.EncodeKeyed(key, text)})
	response, err := http.Post("http://"+current.store+platform.AppendPath+"?topic="+topic+"&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}

// order writes a value of the operator and notes when the store has acknowledged it.
func (current *ground) order(key string, value any) error {
	err := current.put(platform.OperatorTopic, key, value)
	text, _ := json.Marshal(value)
	current.note("operator: op/%s %.200s acknowledged=%v", key, text, err == nil)
	return err
}

// newest returns the newest record of each key of a topic.
func (current *ground) newest(topic string) (map[string][]byte, error) {
	response, err := http.Get("http://" + current.store + platform.NewestPath + "?topic=" + topic + "&part=0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the store answered %d", response.StatusCode)
	}
	var page platform.NewestPage
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, err
	}
	records := make(map[string][]byte)
	for _, item := range page.Items {
		records[item.Key] = item.Value
	}
	return records, nil
}

// restore takes the store away for a moment and brings it back from a copy, after which the operator and the servers write
// again what was lost.
func (current *ground) restore(restore standin.Restore) error {
	text, err := json.Marshal(restore)
	if err != nil {
		return err
	}
	current.note("store: restore %s", text)
	response, err := http.Post("http://"+current.store+standin.RestorePath, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	current.note("store: restored, status %d %s, Store-Era %s", response.StatusCode, answer, response.Header.Get(platform.EraHeader))
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("restore: status %d", response.StatusCode)
	}
	return nil
}

// gateway is one machine's process.
type gateway struct {
	name, zone           string
	front, ready, peers  string
	metrics, relay, file string
	command              *exec.Cmd
	log                  *os.File
	once                 sync.Once
}

// settings has the lines of deploy/coltsfootd.toml, filled in with the figures of a small deployment.
var settings = template.Must(template.New("settings").Parse(`instance = "{{.Name}}"
zone = "{{.Zone}}"
memory-mb = 134
processor-share = 0.4
cores = 1
seeds = [{{range .Seeds}}"{{.}}",{{end}}]

[listen]
callers = "{{.Front}}"
ready = "{{.Ready}}"
peers = "{{.Peers}}"
metrics = "{{.Metrics}}"
relay = "{{.Relay}}"

[store]
address = "{{.Store}}"

[retry]
share = 0.2
slack = 56

[cold]
overage = 1.5
slack = 5

[timing]
stop-seconds = 8
`))

// startGateways starts one gateway in each of the zones and waits until all are ready.
func (current *ground) startGateways(zones ...string) error {
	var seeds []string
	for index, zone := range zones {
		machine := &gateway{name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone}
		for _, address := range []*string{&machine.front, &machine.ready, &machine.peers, &machine.metrics, &machine.relay} {
			var err error
			if *address, err = loopback.FreeAddress(); err != nil {
				return err
			}
		}
		seeds = append(seeds, machine.peers)
		current.gateways = append(current.gateways, machine)
	}
	for _, machine := range current.gateways {
		if err := current.start(machine, seeds[:min(3, len(seeds))]); err != nil {
			return err
		}
	}
	for _, machine := range current.gateways {
		if err := machine.awaitReady(); err != nil {
			return err
		}
		current.note("gateway %s ready, front %s", machine.name, machine.front)
	}
	return nil
}

func (current *ground) start(machine *gateway, seeds []string) error {
	var text bytes.Buffer
	err := settings.Execute(&text, map[string]any{
		"Name": machine.name, "Zone": machine.zone, "Seeds": seeds, "Front": machine.front, "Ready": machine.ready, "Peers": machine.peers,
		"Metrics": machine.metrics, "Relay": machine.relay, "Store": current.store,
	})
	if err != nil {
		return err
	}
	machine.file = filepath.Join(current.folder, machine.name+".toml")
	if err := os.WriteFile(machine.file, text.Bytes(), 0o600); err != nil {
		return err
	}
	logs := current.folder
	if kept := os.Getenv("GROUND_LOGS"); kept != "" {
		logs = kept
	}
	if machine.log, err = os.Create(filepath.Join(logs, machine.name+".log")); err != nil {
		return err
	}
	machine.command = exec.Command(daemon(), "--gateway")
	machine.command.Env = []string{"PATH=" + os.Getenv("PATH"), platform.SettingsVariable + "=" + machine.file, "COLTSFOOTD_MORE_SETTINGS="}
	machine.command.Stdout, machine.command.Stderr = machine.log, machine.log
	return machine.command.Start()
}

// daemon returns the path of the program that the deploy file builds.
func daemon() string {
	path, _ := filepath.Abs("../../target/coltsfootd")
	return path
}

func (machine *gateway) awaitReady() error {
	for range 500 {
		response, err := http.Get("http://" + machine.ready + platform.ReadinessPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("gateway %s is not ready", machine.name)
}

// signal sends a signal to the process.
func (machine *gateway) signal(signal syscall.Signal) error {
	return machine.command.Process.Signal(signal)
}

// kill ends the process if it was started.
func (machine *gateway) kill() {
	machine.once.Do(func() {
		if machine.command != nil && machine.command.Process != nil {
			_ = machine.command.Process.Kill()
			_ = machine.command.Wait()
			_ = machine.log.Close()
		}
	})
}
