package main

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// splitGateways is the number of gateways, of which the first maxSeeds are seeds and lost for good.
	splitGateways = 6
	// splitDown is how long the others are down, and seedLag how long the settings list lost machines as seeds.
	splitDown = 500 * time.Millisecond
	seedLag   = 3 * time.Second
	// splitGap is the time between two requests to each gateway that is left, and splitLength how long these are sent.
	splitGap    = 15 * time.Millisecond
	splitLength = 5 * time.Second
	// coldPerSecond, coldOverage and coldSlack are the bound of requests to a cold server in one second.
	coldPerSecond = 16.0
	coldOverage   = 1.5
	coldSlack     = 5.0
	coldStart     = 3 * time.Second
)

// playSplit loses all seeds of a fleet for good while the others are restarted, and counts the
// requests that a server which starts then, and is cold, gets in one second.
func playSplit(ctx context.Context, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	table := streamTable()
	table["services"] = []any{map[string]any{
		"name": "models", "health_path": "/health", "connection_limit": 620, "cold_start_s": coldStart.Seconds(), "cold_per_s": coldPerSecond,
	}}
	fleet, err := startFleet(ctx, slices.Repeat([]string{"a", "b", "c"}, splitGateways/3), table)
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return false, err
	}
	var mutex sync.Mutex
	var arrivals []time.Time
	fleet.onLine = func(_, line string) {
		if strings.HasPrefix(line, "runs ") {
			mutex.Lock()
			defer mutex.Unlock()
			arrivals = append(arrivals, time.Now())
		}
	}
	for _, gateway := range fleet.gateways {
		if err := gateway.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	left := fleet.gateways[maxSeeds:]
	if trouble {
		fleet.record.line("platform: all gateways are killed, the seeds for good")
		killedAt := time.Now()
		for _, gateway := range fleet.gateways {
			_ = gateway.command.Process.Signal(syscall.SIGKILL)
			<-gateway.exited
		}
		time.Sleep(splitDown)
		for _, gateway := range left {
			if err := fleet.start(gateway); err != nil {
				return false, err
			}
		}
		time.AfterFunc(time.Until(killedAt.Add(seedLag)), func() {
			fleet.record.line("platform: the settings list the machines that are left")
			for _, gateway := range left {
				_ = fleet.writeSettings(gateway, left)
			}
		})
	}
	for _, gateway := range left {
		if err := gateway.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	startedAt := time.Now()
	if _, err := fleet.startServer("i-0", "models", "a", "--framed", "--cold-ms", fmt.Sprint(coldStart.Milliseconds())); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for ends := time.Now().Add(splitLength); time.Now().Before(ends); time.Sleep(splitGap) {
		for number, gateway := range left {
			group.Go(func() { fleet.short(fmt.Sprintf("%d-%d", number, time.Now().UnixNano()), gateway) })
		}
	}
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	limit := int(math.Floor(coldPerSecond*coldOverage + coldSlack))
	most := 0
	for first, at := range arrivals {
		inside := first
		for inside < len(arrivals) && arrivals[inside].Sub(at) < time.Second && arrivals[inside].Before(startedAt.Add(coldStart)) {
			inside++
		}
		most = max(most, inside-first)
	}
	text := fmt.Sprintf("a cold server got %d requests in one second at most (%d are allowed)", most, limit)
	fleet.record.line("%s", text)
	fmt.Println(text)
	return most > limit, nil
}

// short sends a request for a stream of one event on a channel of its own.
func (fleet *fleet) short(id string, gateway *gateway) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/ask/1", gateway.callers()), strings.NewReader("a question"))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+key)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	fleet.record.line("client: %s to %s: status %d", id, gateway.name, response.StatusCode)
	_ = response.Body.Close()
}
