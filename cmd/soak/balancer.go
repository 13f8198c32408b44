package main

import (
	"context"
	"net/http"
	"time"

	"coltsfootlink/platform"
	"coltsfootlink/rig"
)

const (
	// readinessInterval is the time between two questions to an instance whether it is ready.
	readinessInterval = time.Second
	// mostMisses is the number of misses in a row that take an instance out.
	mostMisses = 2
)

// balancer names instances for new connections as the platform does: those that said that they are ready, and all if
// fewer than half are.
type balancer struct {
	gateways []*rig.Gateway
	picks    chan instanceAddress
}

// readiness is what an instance has answered.
type readiness struct {
	index int
	ready bool
}

// Run names instances until the context ends.
func (balancer *balancer) Run(ctx context.Context) error {
	answers := make(chan readiness)
	for index, gateway := range balancer.gateways {
		go ask(ctx, index, gateway.Ready, answers)
	}
	misses := make([]int, len(balancer.gateways))
	for turn := 0; ; turn++ {
		place := choose(misses, turn)
		select {
		case <-ctx.Done():
			return nil
		case answered := <-answers:
			misses[answered.index]++
			if answered.ready {
				misses[answered.index] = 0
			}
		case balancer.picks <- instanceAddress{index: place, address: balancer.gateways[place].CallersProxy.Address}:
		}
	}
}

// choose returns the instance for a turn.
func choose(misses []int, turn int) int {
	var ready []int
	for index, count := range misses {
		if count < mostMisses {
			ready = append(ready, index)
		}
	}
	if 2*len(ready) < len(misses) {
		return turn % len(misses)
	}
	return ready[turn%len(ready)]
}

// ask asks an instance again and again whether it is ready.
func ask(ctx context.Context, index int, address string, answers chan<- readiness) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticks := time.NewTicker(readinessInterval)
	defer ticks.Stop()
	for {
		response, err := client.Get("http://" + address + platform.ReadinessPath)
		answered := readiness{index: index, ready: err == nil && response.StatusCode == http.StatusOK}
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case answers <- answered:
		case <-ctx.Done():
			return
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}
