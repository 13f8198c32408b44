// Package bed runs a small fleet for the cases of the review: the daemons as separate processes with the command and the
// settings of the deploy file, servers as separate processes, and a stand-in of the platform's store. All addresses are
// loopback addresses.
package bed

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	mutex   sync.Mutex
	record  *os.File
	servers []*Server
	events  []Event
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

// Main runs a case and exits with its result. The record goes to record.txt in the folder that the first argument names.
// With "server" as the first argument the program is a server of the case instead.
func Main(server func(arguments []string), run func(bed *Bed) (broken bool, err error)) {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		server(os.Args[2:])
		return
	}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(Failed)
	}
	os.Exit(runCase(os.Args[1], run))
}

func runCase(folder string, run func(bed *Bed) (bool, error)) int {
	bed, err := open(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer bed.close()
	bed.Note("trouble: %v", Trouble())
	broken, err := run(bed)
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
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
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
	return bed, bed.Wait("the store answers", 5*time.Second, func() bool {
		_, err := bed.Store.Newest(ctx, platform.Partition{Topic: platform.OperatorTopic}, "")
		return err == nil
	})
}

// close ends all processes of the case.
func (bed *Bed) close() {
	bed.cancel()
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
	_ = bed.record.Close()
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

// freeHost returns a random loopback host and whether the given ports are free on it.
func freeHost(ports ...string) (string, bool) {
	address, err := freeAddress()
	if err != nil {
		return "", false
	}
	host, _, _ := net.SplitHostPort(address)
	for _, port := range ports {
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, port))
		if err != nil {
			return "", false
		}
		_ = listener.Close()
	}
	return host, true
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
