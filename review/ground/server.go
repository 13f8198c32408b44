package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/platform"
)

// heartbeat is how often a server writes its entry in the store.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in of a server of a plain service.
type server struct {
	ground                     *ground
	id, service, zone, version string
	address                    string
	slots                      int
	// work is how long a request runs; failing, if it is not nil, reports whether the answer of the next one is a failure.
	work    time.Duration
	failing func() bool

	born     int64
	sequence atomic.Int64
	// draining indicates that the entry says so.
	draining atomic.Bool
	http     *http.Server
	stop     context.CancelFunc
	stopped  sync.WaitGroup
	// ran is called for each request that begins to run.
	ran func(server *server, id string, status int)
}

// start serves requests and writes the entry.
func (server *server) start() error {
	var err error
	if server.address, err = loopback.FreeAddress(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", server.address)
	if err != nil {
		return err
	}
	server.born = time.Now().UnixMilli()
	server.http = &http.Server{Handler: server, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.http.Serve(listener) }()
	if err := server.beat(server.state()); err != nil {
		return err
	}
	server.ground.note("server %s (%s, %s) started at %s", server.id, server.service, server.version, server.address)
	ctx, cancel := context.WithCancel(context.Background())
	server.stop = cancel
	server.stopped.Add(1)
	go func() {
		defer server.stopped.Done()
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				// A beat that the store does not take is followed by the next one.
				_ = server.beat(server.state())
			}
		}
	}()
	return nil
}

func (server *server) beat(state string) error {
	return server.ground.put(platform.TargetTopic, server.id, map[string]any{
		"service": server.service, "address": server.address, "zone": server.zone, "version": server.version, "slots": server.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": server.sequence.Add(1), "born": server.born,
	})
}

// state returns the state in the entry.
func (server *server) state() string {
	if server.draining.Load() {
		return platform.DrainingState
	}
	return platform.ReadyState
}

// drain says that the server leaves, serves on for some time and ends.
func (server *server) drain(serving time.Duration) {
	server.draining.Store(true)
	err := server.beat(server.state())
	server.ground.note("server %s drains, acknowledged=%v", server.id, err == nil)
	time.AfterFunc(serving, server.end)
}

// end stops the server at once and removes its entry.
func (server *server) end() {
	server.stop()
	server.stopped.Wait()
	_ = server.http.Close()
	err := server.ground.put(platform.TargetTopic, server.id, nil)
	server.ground.note("server %s stopped, entry removed=%v", server.id, err == nil)
}

// ServeHTTP runs a request, or answers the status check.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		writer.Header().Set("Instance-Id", server.id)
		return
	}
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != server.id {
		writer.Header().Set("Instance-Id", server.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status := http.StatusOK
	if server.failing != nil && server.failing() {
		status = http.StatusInternalServerError
	}
	server.ran(server, id, status)
	time.Sleep(server.work)
	writer.Header().Set("Answer-Stamp", "stamp."+server.id+"."+id)
	writer.WriteHeader(status)
	_, _ = fmt.Fprintf(writer, "%s ran %s\n", server.id, id)
}
