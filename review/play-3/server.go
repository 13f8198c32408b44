package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"coltsfootlink/platform"
)

const (
	serverPlay = "server"
	// servingLine is what a server prints once it serves.
	servingLine = "serves"
	// eventPause is the time between two events of a stream.
	eventPause = 150 * time.Millisecond
	// lingerTime is how much longer than drainTime a server that leaves accepts requests.
	lingerTime = 500 * time.Millisecond
	// prefillTime is how long a server reads a prompt that crashes it, crashTime how long after the first bytes of its answer it
	// crashes, and crashStatus the status of its process then.
	prefillTime = 100 * time.Millisecond
	crashTime   = 20 * time.Millisecond
	crashStatus = 3
)

// serverProcess is a sound server: it answers each request in full, and leaves when it gets SIGTERM. Then its entry says
// draining; it serves on for a while, accepts no more channels and closes those that carry no request, finishes what it has begun, and
// exits.
type serverProcess struct {
	name, service, zone, address string
	slots                        int
	framed                       bool
	// crashPart is the part of a prompt that crashes the server when it begins to write an answer on it; crashBytes is how much
	// of that answer it has sent by then.
	crashPart  string
	coldMillis int
	crashBytes int
	store      *platform.Store
	born       int64

	// running counts the requests that have not been answered in full.
	running sync.WaitGroup
	mutex   sync.Mutex
	leaving bool
	// unused are the channels that carry no request.
	unused map[net.Conn]bool
}

// runServer runs a server until it has left.
func runServer(ctx context.Context, arguments []string) error {
	server := &serverProcess{born: time.Now().UnixMilli(), unused: make(map[net.Conn]bool)}
	var store string
	flags := flag.NewFlagSet(serverPlay, flag.ContinueOnError)
	flags.StringVar(&server.name, "name", "", "identifier")
	flags.StringVar(&server.service, "service", "", "service")
	flags.StringVar(&server.zone, "zone", "", "zone")
	flags.StringVar(&server.address, "address", "", "address to listen on")
	flags.StringVar(&store, "store", "", "address of the store")
	flags.StringVar(&server.crashPart, "crash-part", "", "part of a prompt that crashes the server; none if empty")
	flags.IntVar(&server.crashBytes, "crash-bytes", 0, "bytes of the answer that are sent before such a crash")
	flags.IntVar(&server.coldMillis, "cold-ms", 0, "cold start that the entry reports")
	flags.BoolVar(&server.framed, "framed", false, "answers are sent in chunks")
	flags.IntVar(&server.slots, "slots", 128, "number of requests at a time")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	server.store = platform.NewStore("http://" + store)
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, ConnState: server.noteState}
	go func() { _ = httpServer.Serve(listener) }()
	pings, stopPings := context.WithCancel(context.Background())
	defer stopPings()
	if err := server.ping(pings); err != nil {
		return err
	}
	fmt.Println(servingLine)
	<-ctx.Done()
	server.mutex.Lock()
	server.leaving = true
	server.mutex.Unlock()
	if err := server.ping(pings); err != nil {
		return err
	}
	fmt.Println("leaves: the store has accepted the entry with state draining")
	time.Sleep(drainTime + lingerTime)
	_ = listener.Close()
	server.closeUnused()
	server.running.Wait()
	fmt.Println("has answered all requests in full and exits")
	return nil
}

// noteState notes which channels carry no request.
func (server *serverProcess) noteState(channel net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		server.unused[channel] = true
	} else {
		delete(server.unused, channel)
	}
}

// closeUnused closes the channels that carry no request, as a server does that shuts down.
func (server *serverProcess) closeUnused() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for channel := range server.unused {
		_ = channel.Close()
	}
}

// ping writes the entry of the server. The store keeps an entry as it is as long as only its sequence changes, so that this is done only
// when the state changes.
func (server *serverProcess) ping(ctx context.Context) error {
	server.mutex.Lock()
	state := platform.ReadyState
	if server.leaving {
		state = platform.DrainingState
	}
	server.mutex.Unlock()
	return put(ctx, server.store, platform.TargetTopic, server.name, platform.TargetDocument{
		Service: server.service, Address: server.address, Zone: server.zone, Version: "v1", Slots: server.slots, State: state,
		Born: uint64(server.born), Sequence: 1, ColdMillis: float64(server.coldMillis),
	})
}

// ServeHTTP answers status checks, reports and requests.
func (server *serverProcess) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case platform.ReportPath:
		_, _ = fmt.Fprintf(writer, `{"stage":"combined","models":[],"busy":false,"sequence":1,"waiting_requests":0,"running_requests":0,"kv_used":0,"kv_total":700000,"handles":0,"born":%d}`, server.born)
		return
	case "/health":
		writer.Header().Set("Instance-Id", server.name)
		return
	}
	server.running.Add(1)
	defer server.running.Done()
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != server.name {
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	fmt.Println("runs", id)
	if server.crashPart != "" && hasPart(request.Header.Get("Prompt-Prefix"), server.crashPart) {
		server.crash(writer, id)
	}
	server.stream(writer, request, id)
}

// hasPart reports whether a part is in a prompt before the last one, which is the request's own.
func hasPart(list, part string) bool {
	parts := strings.Split(list, ",")
	for _, listed := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(strings.TrimSpace(listed), ":"); name == part {
			return true
		}
	}
	return false
}

// crash ends the process when it begins to write an answer.
func (server *serverProcess) crash(writer http.ResponseWriter, id string) {
	time.Sleep(prefillTime)
	if server.crashBytes > 0 {
		if connection, _, err := http.NewResponseController(writer).Hijack(); err == nil {
			_, _ = io.WriteString(connection, answerHead(id)[:server.crashBytes])
			time.Sleep(crashTime)
		}
	}
	fmt.Println("crashes under", id)
	os.Exit(crashStatus)
}

// answerHead is the head of a stream that ends with its channel.
func answerHead(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nAnswer-Stamp: stamp-" + id + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
}

// stream answers with the number of events in the last part of the path. The answer has neither a length nor chunks and ends with its
// channel.
func (server *serverProcess) stream(writer http.ResponseWriter, request *http.Request, id string) {
	parts := strings.Split(request.URL.Path, "/")
	events, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if server.framed {
		writer.Header().Set("Answer-Stamp", "stamp-"+id)
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= events; event++ {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, id)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(eventPause)
		}
		return
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	head := answerHead(id)
	if _, err := io.WriteString(connection, head); err != nil {
		fmt.Println("broke off", id)
		return
	}
	for event := 1; event <= events; event++ {
		if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s\n\n", event, id); err != nil {
			fmt.Println("broke off", id)
			return
		}
		if event < events {
			time.Sleep(eventPause)
		}
	}
	if connection.Close() == nil {
		fmt.Println("answered in full", id)
	}
}
