package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// Figures of the rollout case; the bounds are those of the sheet.
const (
	rolloutSeconds  = 12
	requestsPerTick = 4
	requestTick     = 25 * time.Millisecond
	exposureShare   = 0.1
	exposureSlack   = 50
	rollbackAfter   = 5 * time.Second
	badAnswers      = 50
)

// rollout is the state of the case.
type rollout struct {
	*ground
	mutex sync.Mutex
	// counting is set from the order on until its time is over; arrivals and bad count what reached the service, and its bad
	// version; failures are the bad answers, late the requests sent more than rollback_ms after the 50th.
	counting            bool
	arrivals, bad       int
	failures, late      int
	fiftieth            time.Time
	answered, unserved  int
	names, draws, count atomic.Int64
	// badShare is how many answers of a bad version have one failure.
	badShare int64
	sent     sync.Map
}

// playRollout orders a service to a good version, back, and after a restore of the store once more to the version of the first
// order, which is bad now.
func playRollout(current *ground) (bool, error) {
	test := &rollout{ground: current, badShare: 2}
	first, err := test.servers("v1", false)
	if err != nil {
		return false, err
	}
	if err := current.order("config", deskConfig()); err != nil {
		return false, err
	}
	if err := current.startGateways("piedmont", "lowcountry", "gulfside"); err != nil {
		return false, err
	}
	stop := test.load()
	defer stop()
	time.Sleep(4 * time.Second)
	second, state, err := test.move("v2", false, first)
	if err != nil || state != platform.CompletedStatus {
		return false, fmt.Errorf("first rollout: %s %v", state, err)
	}
	time.Sleep(2 * time.Second)
	third, state, err := test.move("v1", false, second)
	if err != nil || state != platform.CompletedStatus {
		return false, fmt.Errorf("second rollout: %s %v", state, err)
	}
	time.Sleep(4 * time.Second)
	if current.trouble {
		if err := current.restore(standin.Restore{AgeMillis: 2000, AwayMillis: 1000, RewriteMillis: 500}); err != nil {
			return false, err
		}
	}
	// The third order comes long after the store is stable again (contact_ms is 3,000).
	time.Sleep(9 * time.Second)
	_, state, err = test.move("v2", true, third)
	if err != nil {
		return false, err
	}
	return test.judge(state), nil
}

// servers starts three servers of a version, one in each zone.
func (test *rollout) servers(version string, bad bool) ([]*server, error) {
	var started []*server
	for _, zone := range []string{"piedmont", "lowcountry", "gulfside"} {
		next := &server{
			ground: test.ground, id: fmt.Sprintf("i-%s-%d", version, test.names.Add(1)), service: "desk", zone: zone, version: version,
			slots: 6, work: 15 * time.Millisecond, ran: func(server *server, id string, status int) { test.ran(server, id, status, bad) },
		}
		if bad {
			next.failing = func() bool { return test.draws.Add(1)%test.badShare == 0 }
		}
		if err := next.start(); err != nil {
			return nil, err
		}
		started = append(started, next)
	}
	return started, nil
}

// move starts servers of a version beside the others, orders the service to it, and does with the servers what the platform
// does at the outcome. It returns the servers that stay and the outcome; for a bad version it waits for the whole time of the
// order.
func (test *rollout) move(version string, bad bool, before []*server) ([]*server, string, error) {
	after, err := test.servers(version, bad)
	if err != nil {
		return nil, "", err
	}
	time.Sleep(2 * time.Second)
	test.mutex.Lock()
	test.counting = bad
	test.mutex.Unlock()
	ordered := time.Now()
	if err := test.order("rollout/desk", map[string]any{"service": "desk", "target": version, "duration_s": rolloutSeconds}); err != nil {
		return nil, "", err
	}
	state := ""
	for time.Since(ordered) < (rolloutSeconds+1)*time.Second {
		records, err := test.newest(platform.StatusTopic)
		var status struct{ State, Target string }
		if err == nil && json.Unmarshal(records["rollout/desk"], &status) == nil && status.Target == version && status.State != state {
			state = status.State
			test.note("status/rollout/desk: %s, %.1f s after the order", records["rollout/desk"], time.Since(ordered).Seconds())
			if state == platform.CompletedStatus {
				// The platform stops the old servers at once, without draining.
				for _, server := range before {
					server.end()
				}
			}
		}
		if state != "" && state != platform.RunningStatus && !bad {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	test.mutex.Lock()
	test.counting = false
	test.mutex.Unlock()
	return after, state, nil
}

// ran notes a request that begins to run on a server.
func (test *rollout) ran(server *server, id string, status int, bad bool) {
	test.note("run %s on %s %s status %d", id, server.id, server.version, status)
	test.mutex.Lock()
	defer test.mutex.Unlock()
	if !test.counting {
		return
	}
	test.arrivals++
	if !bad {
		return
	}
	test.bad++
	if status >= http.StatusInternalServerError {
		if test.failures++; test.failures == badAnswers {
			test.fiftieth = time.Now()
		}
	}
	if sent, found := test.sent.Load(id); found && !test.fiftieth.IsZero() && sent.(time.Time).After(test.fiftieth.Add(rollbackAfter)) {
		test.late++
	}
}

// load sends requests to all gateways until the function that it returns is called.
func (test *rollout) load() (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(requestTick)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				for range requestsPerTick {
					number := test.count.Add(1)
					go test.send(number)
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

func (test *rollout) send(number int64) {
	id := fmt.Sprintf("a%06d", number)
	machine := test.gateways[number%int64(len(test.gateways))]
	method, path := http.MethodGet, "/read/1"
	if number%4 == 0 {
		method, path = http.MethodPost, "/book/1"
	}
	request, err := http.NewRequest(method, "http://"+machine.front+path, nil)
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Time-Left-Ms", "1000")
	test.sent.Store(id, time.Now())
	response, err := oneChannel.RoundTrip(request)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	test.note("answer %s %s %s at %s: status %d %v", id, method, path, machine.name, status, err)
	test.mutex.Lock()
	defer test.mutex.Unlock()
	if test.counting {
		test.answered++
		if err != nil || status != http.StatusOK {
			test.unserved++
		}
	}
}

// oneChannel opens a new channel for each request.
var oneChannel = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// judge reports whether EXPOSURE held for the bad version.
func (test *rollout) judge(state string) bool {
	test.mutex.Lock()
	defer test.mutex.Unlock()
	allowed := exposureShare*float64(test.arrivals) + exposureSlack
	test.note("EXPOSURE: %d of %d requests that reached the service between the order and its time budget reached the bad version, allowed %.0f", test.bad, test.arrivals, allowed)
	test.note("EXPOSURE: %d bad answers; %d requests sent later than rollback_ms after the 50th reached the bad version", test.failures, test.late)
	test.note("last state of the order: %s; answered %d, not with success %d", state, test.answered, test.unserved)
	fmt.Printf("bad version: %d of %d, allowed %.0f; after the rollback time: %d; state %s\n", test.bad, test.arrivals, allowed, test.late, state)
	return float64(test.bad) <= allowed && test.late == 0
}

// deskConfig is the config of a small deployment with one plain service.
func deskConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-read", "host": "desk.example", "path_prefix": "/read/", "kind": "safe", "service": "desk", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "max_attempts": 2, "public": false},
			map[string]any{"name": "r-book", "host": "desk.example", "path_prefix": "/book/", "kind": "unsafe", "service": "desk", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "max_attempts": 1, "public": false},
		},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "joiners", "api_keys": []string{"key-1"}}},
	}
}
