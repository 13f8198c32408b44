package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashServers is the number of servers; each is back crashBack after it has crashed.
	crashServers = 12
	crashBack    = 3 * time.Second
	// crashClients is the number of clients of each gateway that send sound prompts, and crashGap the time between two requests
	// with the part that crashes servers.
	crashClients = 8
	crashGap     = 700 * time.Millisecond
	crashEvents  = 8
	crashLength  = 30 * time.Second
	// soundParts is the number of different parts that sound prompts share.
	soundParts = 16
	crashPart  = "5c1e07a2"
	// countedCrashes, contactTime and maxAfterCrashes are the rule: this many requests with the part may reach servers later than
	// contactTime after this many crashes.
	countedCrashes  = 5
	contactTime     = 3 * time.Second
	maxAfterCrashes = 3
)

// crashPlay is what is seen in playCrash.
type crashPlay struct {
	fleet *fleet
	// crashBytes is how much of an answer a server has sent when it crashes.
	crashBytes int

	mutex   sync.Mutex
	crashes []time.Time
	// untouched are the times from when the gateways were killed until they had run for contactTime again: they are not in touch.
	untouched []span
	// reached are the times at which requests with the part reached servers.
	reached []time.Time
	served  int
}

// span is a time from one moment until another.
type span struct{ from, until time.Time }

// playCrash sends requests with one part in common that crashes each server that begins to write an answer on it, beside sound ones,
// and counts those that reach servers when that is known.
func playCrash(ctx context.Context, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, []string{"a", "b", "c"}, streamTable())
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return false, err
	}
	play, err := newCrashPlay(ctx, fleet, 0)
	if err != nil {
		return false, err
	}
	traffic, stopTraffic := context.WithTimeout(ctx, crashLength)
	defer stopTraffic()
	var group sync.WaitGroup
	for _, gateway := range fleet.gateways {
		for client := range crashClients {
			group.Go(func() { play.sound(traffic, gateway, client) })
		}
	}
	if trouble {
		group.Go(func() { play.crashing(traffic, 1, 1, crashGap) })
	}
	group.Wait()
	return play.judge(), nil
}

// newCrashPlay starts the servers, which crash after the given number of bytes of an answer, and waits for the gateways.
func newCrashPlay(ctx context.Context, fleet *fleet, crashBytes int) (*crashPlay, error) {
	play := &crashPlay{fleet: fleet, crashBytes: crashBytes}
	fleet.onLine = play.line
	zones := []string{"a", "b", "c"}
	for index := range crashServers {
		started, err := play.serve(fmt.Sprintf("i-%d-0", index), zones[index%3], "")
		if err != nil {
			return nil, err
		}
		go play.restart(ctx, index, zones[index%3], started)
	}
	for _, gateway := range fleet.gateways {
		if err := gateway.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return play, nil
}

// serve starts a server; an empty address is a new one.
func (play *crashPlay) serve(name, zone, address string) (*server, error) {
	arguments := []string{"--framed", "--crash-part", crashPart, "--crash-bytes", strconv.Itoa(play.crashBytes)}
	if address == "" {
		return play.fleet.startServer(name, "models", zone, arguments...)
	}
	return play.fleet.startServerAt(address, name, "models", zone, arguments...)
}

// restart starts a server again, some seconds after it has ended, under another identifier.
func (play *crashPlay) restart(ctx context.Context, index int, zone string, running *server) {
	for lifetime := 1; ctx.Err() == nil; lifetime++ {
		select {
		case <-ctx.Done():
			return
		case <-running.ended:
		}
		time.Sleep(crashBack)
		next, err := play.serve(fmt.Sprintf("i-%d-%d", index, lifetime), zone, running.address)
		if err != nil {
			return
		}
		running = next
	}
}

// line counts the requests with the part that reach servers, and the crashes.
func (play *crashPlay) line(_, text string) {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	switch {
	case strings.HasPrefix(text, "runs bad-"):
		play.reached = append(play.reached, time.Now())
	case strings.HasPrefix(text, "crashes under"):
		play.crashes = append(play.crashes, time.Now())
	}
}

// sound sends sound requests, which share all parts but the one that crashes servers.
func (play *crashPlay) sound(ctx context.Context, gateway *gateway, client int) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for request := 0; ctx.Err() == nil; request++ {
		id := fmt.Sprintf("good-%s-%d-%d", gateway.name, client, request)
		if play.ask(transport, gateway, id, fmt.Sprintf("%x:410,%x:250,%x:40", 0x91bd3f00+client, 0xe4402b00+request%soundParts, client*1000+request)) == http.StatusOK {
			play.mutex.Lock()
			play.served++
			play.mutex.Unlock()
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// crashing sends requests with the part that crashes servers, no two alike, to the gateways in turn: some at once first, and
// then a number together after each gap.
func (play *crashPlay) crashing(ctx context.Context, first, together int, gap time.Duration) {
	time.Sleep(contactTime)
	var group sync.WaitGroup
	for request := 0; ctx.Err() == nil; request++ {
		group.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			gateway := play.fleet.gateways[request%len(play.fleet.gateways)]
			prompt := fmt.Sprintf("%x:410,%s:80,%x:250,%x:40", 0x91bd3f00+request%crashClients, crashPart, 0xe4402b00+request%soundParts, 500_000+request)
			play.ask(transport, gateway, fmt.Sprintf("bad-%d", request), prompt)
		})
		if sent := request + 1; sent >= first && (sent-first)%together == 0 {
			time.Sleep(gap)
		}
	}
	group.Wait()
}

// ask sends a request with a prompt and returns the status of its answer, zero without one.
func (play *crashPlay) ask(transport *http.Transport, gateway *gateway, id, prompt string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/ask/%d", gateway.callers(), crashEvents), strings.NewReader(id))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", strconv.Itoa(15000))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Counts", "700,60")
	request.Header.Set("Prompt-Prefix", prompt)
	response, err := transport.RoundTrip(request)
	if err != nil {
		play.fleet.record.line("client: %s to %s: no answer: %v", id, gateway.name, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	events, err := countEvents(response.Body)
	play.fleet.record.line("client: %s to %s: status %d, %d events, end %v", id, gateway.name, response.StatusCode, events, err)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// judge reports whether more requests with the part than allowed reached servers when it was known that it crashes them.
func (play *crashPlay) judge() bool {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	late := 0
	if len(play.crashes) >= countedCrashes {
		for _, at := range play.reached {
			untouched := slices.ContainsFunc(play.untouched, func(span span) bool { return !at.Before(span.from) && at.Before(span.until) })
			if !untouched && at.After(play.crashes[countedCrashes-1].Add(contactTime)) {
				late++
			}
		}
	}
	text := fmt.Sprintf("%d crashes under %d requests with the part; %d of these reached servers from machines in touch later than %v after crash number %d (%d are allowed); %d sound requests answered in full",
		len(play.crashes), len(play.reached), late, contactTime, countedCrashes, maxAfterCrashes, play.served)
	play.fleet.record.line("%s", text)
	fmt.Println(text)
	return late > maxAfterCrashes
}
