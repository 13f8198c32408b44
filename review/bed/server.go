package bed

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootlink/platform"
)

// Server is a server of a service, a process of its own. It is registered in the store while it runs.
type Server struct {
	Name, Service, Zone, Version string
	Slots                        int
	// ColdStart is how long the server is cold after it has started again.
	ColdStart time.Duration

	bed     *Bed
	mutex   sync.Mutex
	address string
	command *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}
	born    int64
	// coldUntil is when its cold start ends, and silentAt when it wrote its last record.
	coldUntil, silentAt time.Time
	beats               int
	state               string
}

// StartServer starts a server and registers it as ready.
func (bed *Bed) StartServer(server *Server) error {
	server.bed = bed
	address, err := freeAddress()
	if err != nil {
		return err
	}
	server.address = address
	bed.mutex.Lock()
	bed.servers = append(bed.servers, server)
	bed.mutex.Unlock()
	return server.Start()
}

// Start starts the process, also again after it has ended, and registers it as ready.
func (server *Server) Start() error {
	if err := server.launch(); err != nil {
		return err
	}
	return server.register()
}

func (server *Server) launch() error {
	server.bed.starting.Lock()
	defer server.bed.starting.Unlock()
	if err := server.bed.ctx.Err(); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	started := command("", program, "server", server.Name, server.address, strconv.Itoa(server.Slots))
	started.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started.Stderr = os.Stderr
	output, err := started.StdoutPipe()
	if err != nil {
		return err
	}
	input, err := started.StdinPipe()
	if err != nil {
		return err
	}
	if err := started.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(output)
	listens := lines.Scan()
	exited := make(chan struct{})
	go func() {
		for lines.Scan() {
			server.bed.addEvent(server.Name, lines.Text())
		}
		_ = started.Wait()
		close(exited)
	}()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.command != nil {
		server.coldUntil = time.Now().Add(server.ColdStart)
	}
	server.command, server.input, server.exited = started, input, exited
	server.born, server.state = time.Now().UnixMilli(), platform.ReadyState
	if !listens {
		return fmt.Errorf("server %s did not start", server.Name)
	}
	return nil
}

func (bed *Bed) addEvent(name, line string) {
	bed.Note("server %s: %s", name, line)
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	bed.events = append(bed.events, Event{At: time.Now(), Server: name, Words: strings.Fields(line)})
}

// Tell writes a line to the server.
func (server *Server) Tell(line string) {
	// Writing fails only if the process has ended.
	_, _ = fmt.Fprintln(server.input, line)
}

// Crash ends the process at once; its record stays, as a server that crashes sends nothing.
func (server *Server) Crash() {
	server.mutex.Lock()
	server.state = ""
	started, exited := server.command, server.exited
	server.mutex.Unlock()
	if started == nil {
		return
	}
	_ = started.Process.Kill()
	<-exited
}

// Exited reports whether the process has ended, or has not been started yet.
func (server *Server) Exited() bool {
	server.mutex.Lock()
	exited := server.exited
	server.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// SetState writes another state of the server.
func (server *Server) SetState(state string) error {
	server.mutex.Lock()
	server.state = state
	server.mutex.Unlock()
	return server.register()
}

// Remove removes the server's record.
func (server *Server) Remove() error {
	server.mutex.Lock()
	server.state = ""
	server.mutex.Unlock()
	return server.bed.Put(platform.TargetTopic, server.Name, nil)
}

func (server *Server) register() error {
	server.mutex.Lock()
	server.beats++
	server.silentAt = time.Now()
	state := server.state
	document := map[string]any{
		"service": server.Service, "address": server.address, "zone": server.Zone, "version": server.Version, "slots": server.Slots,
		"state": state, "cold_remaining_ms": max(0, time.Until(server.coldUntil).Milliseconds()), "born": server.born, "sequence": server.beats,
	}
	server.mutex.Unlock()
	if state == "" {
		return nil
	}
	return server.bed.Put(platform.TargetTopic, server.Name, document)
}

// sendHeartbeats writes the records of the servers that run, in the interval of the pages, and removes those of servers that
// have been silent for three intervals, as the platform does.
func (bed *Bed) sendHeartbeats() {
	for bed.ctx.Err() == nil {
		time.Sleep(heartbeat)
		bed.mutex.Lock()
		servers := append([]*Server(nil), bed.servers...)
		bed.mutex.Unlock()
		for _, server := range servers {
			if !server.Exited() {
				_ = server.register()
				continue
			}
			server.mutex.Lock()
			expired := !server.silentAt.IsZero() && time.Since(server.silentAt) > 3*heartbeat
			if expired {
				server.silentAt = time.Time{}
			}
			server.mutex.Unlock()
			if expired {
				bed.Note("platform: the record of %s expires", server.Name)
				_ = bed.Put(platform.TargetTopic, server.Name, nil)
			}
		}
	}
}

// Put writes a document into a topic of the store and returns when it is acknowledged; nil removes the key.
func (bed *Bed) Put(topic, key string, document any) error {
	var value []byte
	if document != nil {
		encoded, err := json.Marshal(document)
		if err != nil {
			return err
		}
		value = encoded
	}
	record := platform.EncodeKeyed(key, value)
	_, err := bed.Store.Append(context.Background(), platform.Partition{Topic: topic}, [][]byte{record}, platform.Condition{})
	return err
}

// PutOperator writes a record of the operator, and notes its acknowledgement.
func (bed *Bed) PutOperator(key string, document any) (time.Time, error) {
	err := bed.Put(platform.OperatorTopic, key, document)
	acknowledged := time.Now()
	if err == nil {
		bed.Note("operator: op/%s acknowledged", key)
	}
	return acknowledged, err
}
