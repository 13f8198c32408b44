// Package bed runs a small fleet for the cases of the review: the daemons as separate processes with the command and the
// settings of the deploy file, servers as separate processes, and a stand-in of the platform's store. All addresses are
// loopback addresses.
package bed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// Exit codes of a case.
const (
	// Held means that the rule held, Broken that it was broken, and Failed that the case could not run.
	Held   = 0
	Broken = 1
	Failed = 2
)

// Limits of the pages that several cases use.
const (
	// Contact is the time without disruption after which an instance counts as in touch (contact_ms).
	Contact = 3 * time.Second
	// ApplyBound is the time after its acknowledgement in which a configuration has to be in force
	// (configuration_apply_ms).
	ApplyBound = 2 * time.Second
	// heartbeat is the interval at which servers write their records (heartbeat_interval_ms).
	heartbeat = 1200 * time.Millisecond
)

// Bed is the fleet of one case, and the record of what was sent, answered and run.
type Bed struct {
	// Folder is a temporary folder, removed at the end.
	Folder string
	// Store is a client of the store, as the operator uses it.
	Store *platform.Store
	// StoreAddress is where the store listens.
	StoreAddress string
	Gateways     []*Gateway

	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	// starting is held while a process starts, and at the end for good.
	starting sync.Mutex
	// relayPort is the port at which daemons accept connections from each other, the same for all.
	relayPort string
	mutex     sync.Mutex
	record    *os.File
	servers   []*Server
	events    []Event
}

// Event is a line that a server wrote about a request.
type Event struct {
	At     time.Time
	Server string
	// Words are the words of the line: what happened, the ID of the request, and more.
	Words []string
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// timeLimit is how long a case may run.
const timeLimit = 115 * time.Second

// Main runs a case and exits with its result. The record goes to record.txt in the folder that the first argument names.
// With "server" as the first argument the program is a server of the case instead. A case that is interrupted, or runs too
// long, ends its processes and could not run.
func Main(server func(arguments []string), run func(bed *Bed) (broken bool, err error)) {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		server(os.Args[2:])
		return
	}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(Failed)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	bed, err := open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	ended := make(chan int, 1)
	go func() { ended <- bed.run(run) }()
	result := Failed
	select {
	case result = <-ended:
	case <-interrupted:
		bed.Note("the case could not run: it was interrupted")
	case <-bed.ctx.Done():
		bed.Note("the case could not run: it took too long")
	}
	bed.close()
	os.Exit(result)
}

// run runs the case and returns its exit code.
func (bed *Bed) run(run func(bed *Bed) (bool, error)) int {
	err := bed.Wait("the store answers", 5*time.Second, func() bool {
		_, err := bed.Store.Newest(bed.ctx, platform.Partition{Topic: platform.OperatorTopic}, "")
		return err == nil
	})
	broken := false
	if err == nil {
		bed.Note("trouble: %v", Trouble())
		broken, err = run(bed)
	}
	switch {
	case err != nil:
		bed.Note("the case could not run: %v", err)
		return Failed
	case broken:
		bed.Note("result: the rule was broken")
		return Broken
	default:
		bed.Note("result: the rule held")
		return Held
	}
}

func open(folder string) (*Bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	bed := &Bed{Folder: temporary, ctx: ctx, cancel: cancel, started: time.Now(), record: record}
	bed.StoreAddress, err = freeAddress()
	if err != nil {
		return nil, err
	}
	store := standin.NewStore(0)
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: bed.StoreAddress, Store: store}).Run(ctx) }()
	bed.Store = platform.NewStore("http://" + bed.StoreAddress)
	go bed.sendHeartbeats()
	return bed, nil
}

// close ends all processes of the case; none starts afterwards.
func (bed *Bed) close() {
	bed.cancel()
	bed.starting.Lock()
	defer bed.starting.Unlock()
	for _, gateway := range bed.Gateways {
		gateway.end()
	}
	bed.mutex.Lock()
	servers := bed.servers
	bed.mutex.Unlock()
	for _, server := range servers {
		server.Crash()
	}
	_ = os.RemoveAll(bed.Folder)
}

// Note adds a line to the record, with the time since the start of the case in seconds.
func (bed *Bed) Note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(bed.started).Seconds()) + fmt.Sprintf(format, values...)
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	_, _ = fmt.Fprintln(bed.record, line)
	if !strings.Contains(line, " sent ") && !strings.Contains(line, " answered ") && !strings.Contains(line, " server ") {
		fmt.Println(line)
	}
}

// Wait waits until a condition holds; it returns an error if it does not hold in time.
func (bed *Bed) Wait(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && bed.ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not in time: %s", what)
}

// Events returns the events of servers so far whose first word is the given one.
func (bed *Bed) Events(word string) []Event {
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	var found []Event
	for _, event := range bed.events {
		if event.Words[0] == word {
			found = append(found, event)
		}
	}
	return found
}

// freePorts returns a random loopback host and free ports on it. The first port is the wanted one unless that is empty.
func freePorts(wanted string, count int) (string, []string, error) {
	for range 20 {
		address, err := freeAddress()
		if err != nil {
			return "", nil, err
		}
		host, _, _ := net.SplitHostPort(address)
		if ports, free := portsOn(host, wanted, count); free {
			return host, ports, nil
		}
	}
	return "", nil, errors.New("no loopback host with free ports")
}

// portsOn returns free ports on a host; false if the wanted one is taken.
func portsOn(host, wanted string, count int) ([]string, bool) {
	var ports []string
	for number := range count {
		port := "0"
		if number == 0 && wanted != "" {
			port = wanted
		}
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, port))
		if err != nil {
			return nil, false
		}
		// All stay open until the last one is found, so that they differ.
		defer func() { _ = listener.Close() }()
		_, port, _ = net.SplitHostPort(listener.Addr().String())
		ports = append(ports, port)
	}
	return ports, true
}

// command returns a command with the environment that the pages name, and one more variable.
func command(variable string, words ...string) *exec.Cmd {
	started := exec.Command(words[0], words[1:]...)
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		started.Env = append(started.Env, name+"="+os.Getenv(name))
	}
	if variable != "" {
		started.Env = append(started.Env, variable)
	}
	return started
}

// Context ends with the case.
func (bed *Bed) Context() context.Context { return bed.ctx }
