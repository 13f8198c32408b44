package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootlink/platform"
)

// Figures of the case of entries of another writer.
const (
	oddEntries = 4
	oddPause   = 3 * time.Second
	entryTick  = 20 * time.Millisecond
)

// playEntry has another writer put entries with missing fields under the id of a server of another service.
func playEntry(current *ground) (bool, error) {
	var foreign, booked atomic.Int64
	ran := func(server *server, id string, status int) {
		current.note("run %s on %s of %s status %d", id, server.id, server.service, status)
		if strings.HasPrefix(id, "book") {
			booked.Add(1)
			if server.service != "desk" {
				foreign.Add(1)
			}
		}
	}
	var servers []*server
	for index, zone := range []string{"piedmont", "lowcountry", "gulfside", "piedmont"} {
		service := "desk"
		if index == 3 {
			service = "records"
		}
		next := &server{ground: current, id: fmt.Sprintf("i-%s-%d", service, index), service: service, zone: zone, version: "v1", slots: 6, work: 15 * time.Millisecond, ran: ran}
		if err := next.start(); err != nil {
			return false, err
		}
		servers = append(servers, next)
	}
	config := map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-book", "host": "desk.example", "path_prefix": "/book/", "kind": "unsafe", "service": "desk", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "max_attempts": 1, "public": true},
			map[string]any{"name": "r-read", "host": "desk.example", "path_prefix": "/read/", "kind": "safe", "service": "records", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "max_attempts": 2, "public": true},
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
			map[string]any{"name": "records", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if err := current.order("config", config); err != nil {
		return false, err
	}
	if err := current.startGateways("piedmont", "lowcountry", "gulfside"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(entryTick)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				group.Add(1)
				go func() {
					defer group.Done()
					current.book(number)
				}()
			}
		}
	}()
	odd := servers[3]
	for range oddEntries {
		time.Sleep(oddPause)
		if !current.trouble {
			continue
		}
		// version, cold_remaining_ms, sequence and born are missing.
		entry := map[string]any{"service": "desk", "address": odd.address, "zone": odd.zone, "slots": 6, "state": platform.ReadyState}
		err := current.put(platform.TargetTopic, odd.id, entry)
		current.note("another writer: servers/%s %v acknowledged=%v", odd.id, entry, err == nil)
	}
	time.Sleep(oddPause)
	close(done)
	group.Wait()
	current.note("ROUTE: %d of %d bookings were run by a server of the service records, to which no config lets them go", foreign.Load(), booked.Load())
	fmt.Printf("%d of %d bookings ran at the wrong service\n", foreign.Load(), booked.Load())
	return foreign.Load() == 0, nil
}

// book sends a request that must not be repeated.
func (current *ground) book(number int) {
	machine := current.gateways[number%len(current.gateways)]
	id := fmt.Sprintf("book%05d", number)
	request, err := http.NewRequest(http.MethodPost, "http://"+machine.front+"/book/1", strings.NewReader("pickup"))
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "1000")
	response, err := oneChannel.RoundTrip(request)
	if err != nil {
		current.note("answer %s at %s: %v", id, machine.name, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	current.note("answer %s at %s: status %d stamp %q body %q %v", id, machine.name, response.StatusCode, response.Header.Get("Answer-Stamp"), body, err)
}
