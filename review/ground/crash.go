package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/platform"
)

// Figures of the crash case.
const (
	pieces        = 24
	pieceInterval = 100 * time.Millisecond
	// frozen is how long the machine stands still, downTime how long the server is away; it crashes a moment after the machine
	// has stopped.
	frozen     = 3500 * time.Millisecond
	downTime   = 2500 * time.Millisecond
	crashRound = 4
)

// wholeAnswer is the body that a server sends for a request.
func wholeAnswer(id string, stream bool) string {
	var text strings.Builder
	for number := range pieces {
		text.WriteString(piece(id, number+1, stream))
	}
	return text.String()
}

func piece(id string, number int, stream bool) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
	}
	return fmt.Sprintf("%s piece %d\n", id, number)
}

// serveUnframed is the process of a server whose answers have neither a length nor chunks and end with their channel.
func serveUnframed(name, address string) error {
	return http.ListenAndServe(address, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Attempt-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != name {
			writer.Header().Set("Instance-Id", name)
			writer.Header().Set("Attempt-Id", id)
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		stream := strings.HasPrefix(request.URL.Path, "/talk/")
		media := "text/plain"
		if stream {
			media = "text/event-stream"
		}
		fmt.Println("run", id, "on", name, "from piece", first+1)
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nAnswer-Stamp: stamp." + name + "." + id + "\r\nContent-Type: " + media + "\r\nConnection: close\r\n\r\n"
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		for number := first + 1; number <= pieces; number++ {
			if _, err := io.WriteString(conn, piece(id, number, stream)); err != nil {
				return
			}
			time.Sleep(pieceInterval)
		}
		fmt.Println("end", id, "on", name)
	}))
}

// process is a server in a process of its own.
type process struct {
	ground        *ground
	name, address string
	command       *exec.Cmd
	born          int64
	sequence      atomic.Int64
	alive         atomic.Bool
}

// start starts the process; it has a new time of birth each time.
func (server *process) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	server.command = exec.Command(program, "serve-unframed", server.name, server.address)
	output, err := server.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := server.command.Start(); err != nil {
		return err
	}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			server.ground.note("%s", lines.Text())
		}
	}()
	for range 200 {
		response, err := http.Get("http://" + server.address + "/health")
		if err == nil {
			_ = response.Body.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	server.born = time.Now().UnixMilli()
	server.alive.Store(true)
	server.ground.note("server %s started at %s, born %d", server.name, server.address, server.born)
	return server.beat()
}

func (server *process) beat() error {
	return server.ground.put(platform.TargetTopic, server.name, map[string]any{
		"service": "desk", "address": server.address, "zone": "piedmont", "version": "v1", "slots": 24, "state": platform.ReadyState,
		"cold_remaining_ms": 0, "sequence": server.sequence.Add(1), "born": server.born,
	})
}

// crash kills the process.
func (server *process) crash() {
	if server.alive.CompareAndSwap(true, false) {
		_ = server.command.Process.Kill()
		_ = server.command.Wait()
		server.ground.note("server %s killed", server.name)
	}
}

// playCrash kills a server in the middle of answers without a length, while the machine that passes them on stands still, and
// has the server back before the machine wakes. ONLY=crash and ONLY=freeze leave one of the two out.
func playCrash(current *ground) (bool, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return false, err
	}
	server := &process{ground: current, name: "i-1", address: address}
	current.atEnd = server.crash
	if err := server.start(); err != nil {
		return false, err
	}
	go func() {
		for range time.Tick(heartbeat) {
			if server.alive.Load() {
				_ = server.beat()
			}
		}
	}()
	config := map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-read", "host": "desk.example", "path_prefix": "/read/", "kind": "safe", "service": "desk", "timeout_ms": 15000, "target_latency_ms": 1200, "priority": 1, "max_attempts": 2, "public": true},
			map[string]any{"name": "r-talk", "host": "desk.example", "path_prefix": "/talk/", "kind": "streaming", "service": "desk", "timeout_ms": 15000, "target_latency_ms": 1200, "priority": 1, "max_attempts": 2, "public": true, "resumable": true, "target_gap_ms": 300},
		},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if err := current.order("config", config); err != nil {
		return false, err
	}
	if err := current.startGateways("piedmont", "lowcountry", "gulfside"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	wrong, good, other := 0, 0, 0
	for round := range crashRound {
		machine := current.gateways[round%len(current.gateways)]
		var group sync.WaitGroup
		var mutex sync.Mutex
		for number := range 6 {
			group.Add(1)
			go func() {
				defer group.Done()
				verdict := current.ask(machine, fmt.Sprintf("a%d%d", round, number), number%2 == 1)
				mutex.Lock()
				defer mutex.Unlock()
				switch verdict {
				case "whole":
					good++
				case "truncated":
					wrong++
				default:
					other++
				}
			}()
		}
		time.Sleep(pieces / 2 * pieceInterval)
		if current.trouble {
			current.note("machine %s stands still", machine.name)
			if os.Getenv("ONLY") != "crash" {
				if err := machine.signal(syscall.SIGSTOP); err != nil {
					return false, err
				}
			}
			time.Sleep(100 * time.Millisecond)
			if os.Getenv("ONLY") != "freeze" {
				server.crash()
				time.Sleep(downTime)
				if err := server.start(); err != nil {
					return false, err
				}
			} else {
				time.Sleep(downTime)
			}
			time.Sleep(frozen - downTime - 100*time.Millisecond)
			if err := machine.signal(syscall.SIGCONT); err != nil {
				return false, err
			}
			current.note("machine %s goes on", machine.name)
		}
		group.Wait()
		time.Sleep(4 * time.Second)
	}
	current.note("MIXED: of the answers with status 200 that looked complete, %d held the server's whole body, %d did not; others: %d", good, wrong, other)
	fmt.Printf("whole %d, truncated and complete %d, others %d\n", good, wrong, other)
	return wrong == 0, nil
}

// ask sends a request and compares the answer with the server's whole body.
func (current *ground) ask(machine *gateway, id string, stream bool) string {
	path := "/read/1"
	if stream {
		path = "/talk/1"
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+machine.front+path, nil)
	if err != nil {
		return "not sent"
	}
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "15000")
	current.note("sent %s %s to %s", id, path, machine.name)
	response, err := oneChannel.RoundTrip(request)
	if err != nil {
		current.note("answer %s: %v", id, err)
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	verdict := "failed"
	switch {
	case response.StatusCode != http.StatusOK || err != nil:
	case string(body) == wholeAnswer(id, stream):
		verdict = "whole"
	default:
		verdict = "truncated"
	}
	separator := []byte(" piece ")
	current.note("answer %s: status %d, length %d, stamp %q, %d of %d pieces, error %v: %s", id, response.StatusCode, response.ContentLength,
		response.Header.Get("Answer-Stamp"), bytes.Count(body, separator), pieces, err, verdict)
	return verdict
}
