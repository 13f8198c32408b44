package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of each stream; with eventPause between them it takes about six seconds.
	streamEvents = 40
	// leaveServers is the number of servers, of which leaveReplaced are replaced one after the other, leaveGap apart.
	leaveServers  = 12
	leaveReplaced = 6
	leaveGap      = time.Second
	// leaveClients is the number of clients of each gateway.
	leaveClients = 30
	// leaveWarmUp is how long traffic runs before the first server leaves, and leaveRest after the last one.
	leaveWarmUp = 7 * time.Second
	leaveRest   = 10 * time.Second
	// maxLost is how many requests a machine may lose by the rule.
	maxLost = 3
)

// streamTable is a configuration with one service and one route of streams that may not be resumed.
func streamTable() map[string]any {
	return map[string]any{
		"routes": []any{map[string]any{
			"name": "ask", "host": host, "path_prefix": "/ask/", "kind": "streaming", "service": "models", "timeout_ms": 15000,
			"target_latency_ms": 800, "target_gap_ms": 300, "max_attempts": 2, "priority": 1, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "models", "health_path": "/health", "connection_limit": 620}},
	}
}

// outcome is what a client saw of a request.
type outcome struct {
	id       string
	gateway  string
	kept     bool
	status   int
	events   int
	complete bool
	err      error
}

// playLeave has servers that end their streams with their channels replaced one after the other, and counts the streams whose
// channel was closed before a complete answer, although the server had answered in full.
func playLeave(ctx context.Context, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, []string{"a", "b"}, streamTable())
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return false, err
	}
	var leaving []*server
	zones := []string{"a", "b"}
	for index := range leaveServers {
		started, err := fleet.startServer(fmt.Sprint("i-old-", index), "models", zones[index%2])
		if err != nil {
			return false, err
		}
		leaving = append(leaving, started)
	}
	for _, gateway := range fleet.gateways {
		if err := gateway.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var outcomes []outcome
	for _, gateway := range fleet.gateways {
		for client := range leaveClients {
			group.Go(func() {
				time.Sleep(time.Duration(client) * 6 * time.Second / leaveClients)
				fleet.client(traffic, gateway, client, func(seen outcome) {
					mutex.Lock()
					defer mutex.Unlock()
					outcomes = append(outcomes, seen)
				})
			})
		}
	}
	time.Sleep(leaveWarmUp)
	for index := range leaveReplaced {
		if trouble {
			if _, err := fleet.startServer(fmt.Sprint("i-new-", index), "models", zones[index%2]); err != nil {
				stopTraffic()
				return false, err
			}
			fleet.record.line("platform: %s is asked to leave", leaving[index].name)
			_ = leaving[index].command.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(leaveGap)
	}
	time.Sleep(leaveRest)
	stopTraffic()
	group.Wait()
	return fleet.judgeLost(outcomes), nil
}

// judgeLost reports whether more than maxLost streams on kept channels of one gateway ended without a complete answer.
func (fleet *fleet) judgeLost(outcomes []outcome) bool {
	served, lost, most := 0, make(map[string]int), 0
	for _, seen := range outcomes {
		switch {
		case seen.status == http.StatusOK && seen.complete:
			served++
		case seen.kept && seen.status == http.StatusOK:
			lost[seen.gateway]++
			most = max(most, lost[seen.gateway])
			fleet.record.line("LOST: %s: the channel was closed after %d of %d events without the end of the answer: %v", seen.id, seen.events, streamEvents, seen.err)
		}
	}
	text := fmt.Sprintf("%d requests: %d answered in full; on kept channels closed without a complete answer: %v (%d are allowed of one machine)", len(outcomes), served, lost, maxLost)
	fleet.record.line("%s", text)
	fmt.Println(text)
	return most > maxLost
}

// client sends streams one after the other on a channel that it keeps.
func (fleet *fleet) client(ctx context.Context, gateway *gateway, number int, report func(outcome)) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for request := 0; ctx.Err() == nil; request++ {
		seen := fleet.stream(transport, gateway, fmt.Sprintf("%s-%d-%d", gateway.name, number, request))
		report(seen)
		if seen.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// stream sends one request and reads its events.
func (fleet *fleet) stream(transport *http.Transport, gateway *gateway, id string) outcome {
	seen := outcome{id: id, gateway: gateway.name}
	// A request that has begun is read to its end, as a client does.
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { seen.kept = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		fmt.Sprintf("http://%s/ask/%d", gateway.callers(), streamEvents), strings.NewReader("a question"))
	if err != nil {
		seen.err = err
		return seen
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "15000")
	request.Header.Set("Authorization", "Bearer "+key)
	fleet.record.line("client: sends %s to %s", id, gateway.name)
	response, err := transport.RoundTrip(request)
	if err != nil {
		seen.err = err
		fleet.record.line("client: %s: no answer: %v", id, err)
		return seen
	}
	defer func() { _ = response.Body.Close() }()
	seen.status = response.StatusCode
	seen.events, seen.err = countEvents(response.Body)
	seen.complete = seen.err == nil && seen.events == streamEvents
	fleet.record.line("client: %s: status %d, %d events, end %v", id, seen.status, seen.events, seen.err)
	return seen
}

// countEvents reads a stream to its end and counts its events.
func countEvents(body io.Reader) (int, error) {
	events := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	return events, lines.Err()
}
