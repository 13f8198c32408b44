package main

import (
	"context"
	"net/http"
	"time"

	"coltsfootlink/platform"
	"coltsfootlink/rig"
)

const (
	// readinessInterval is the time between two readiness probes of an instance, and the timeout of each.
	readinessInterval = time.Second
	// maxMisses is the number of consecutive failed probes after which an instance counts as not ready.
	maxMisses = 2
)

// balancer assigns new connections to instances as the platform's load balancer does: in turn to those that are ready,
// or to all if fewer than half are ready.
type balancer struct {
	gateways []*rig.Gateway
	picks    chan instanceAddress
}

// readiness is the result of a readiness probe.
type readiness struct {
	index int
	ready bool
}

// Run offers instances for new connections until the context ends.
func (balancer *balancer) Run(ctx context.Context) error {
	answers := make(chan readiness)
	for index, gateway := range balancer.gateways {
		go probe(ctx, index, gateway.Ready, answers)
	}
	misses := make([]int, len(balancer.gateways))
	for turn := 0; ; turn++ {
		index := choose(misses, turn)
		select {
		case <-ctx.Done():
			return nil
		case answer := <-answers:
			misses[answer.index]++
			if answer.ready {
				misses[answer.index] = 0
			}
		case balancer.picks <- instanceAddress{index: index, address: balancer.gateways[index].CallersProxy.Address}:
		}
	}
}

// choose returns the index of the instance for a turn, given the number of consecutive failed probes of each.
func choose(misses []int, turn int) int {
	var ready []int
	for index, count := range misses {
		if count < maxMisses {
			ready = append(ready, index)
		}
	}
	if 2*len(ready) < len(misses) {
		return turn % len(misses)
	}
	return ready[turn%len(ready)]
}

// probe sends readiness probes to an instance until the context ends.
func probe(ctx context.Context, index int, address string, answers chan<- readiness) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticks := time.NewTicker(readinessInterval)
	defer ticks.Stop()
	for {
		response, err := client.Get("http://" + address + platform.ReadinessPath)
		answer := readiness{index: index, ready: err == nil && response.StatusCode == http.StatusOK}
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case answers <- answer:
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
