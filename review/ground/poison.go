package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/platform"
)

// Figures of the case of a part of a prompt that crashes servers.
const (
	engines      = 8
	sharedParts  = 69
	subjects     = 16
	poisonPart   = "dead0001"
	poisonPlace  = 66
	poisonPause  = time.Second
	poisonRounds = 30
	engineDown   = 3 * time.Second
	contact      = 3 * time.Second
	soundTick    = 50 * time.Millisecond
	soundEvents  = 10
	soundPause   = 100 * time.Millisecond
	countedCrash = 5
	allowedLate  = 3
)

// engine is a stand-in of a model server, which a part of a prompt crashes.
type engine struct {
	test     *poison
	id, zone string
	address  string
	born     int64
	sequence int64
	mutex    sync.Mutex
	http     *http.Server
}

// poison is the state of the case.
type poison struct {
	*ground
	engines []*engine
	place   int

	mutex         sync.Mutex
	crashes       []time.Time
	sent          map[string]time.Time
	arrived       []string
	sound, served int
}

// playPoison has clients send, beside sound requests, some with a part that crashes every server that begins to answer it.
func playPoison(current *ground) (bool, error) {
	test := &poison{ground: current, place: poisonPlace, sent: make(map[string]time.Time)}
	if place, err := strconv.Atoi(os.Getenv("POISON_PLACE")); err == nil {
		test.place = place
	}
	for index := range engines {
		next := &engine{test: test, id: fmt.Sprintf("i-%d", index), zone: []string{"piedmont", "lowcountry", "gulfside"}[index%3]}
		var err error
		if next.address, err = loopback.FreeAddress(); err != nil {
			return false, err
		}
		if err := next.start(); err != nil {
			return false, err
		}
		test.engines = append(test.engines, next)
		go next.beats()
	}
	config := map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-ask", "host": "desk.example", "path_prefix": "/ask/", "kind": "streaming", "service": "models", "timeout_ms": 12000, "target_latency_ms": 800, "priority": 1, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 300},
		},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/health", "connection_limit": 620, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
			"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 476534, "stride": 6, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 380000},
		"tenants": []any{map[string]any{"name": "joiners", "api_keys": []string{"key-1"}}},
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
		ticker := time.NewTicker(soundTick)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				group.Add(1)
				go func() {
					defer group.Done()
					test.ask(fmt.Sprintf("sound%05d", number), number, false)
				}()
			}
		}
	}()
	time.Sleep(5 * time.Second)
	for round := range poisonRounds {
		if current.trouble {
			group.Add(1)
			go func() {
				defer group.Done()
				test.ask(fmt.Sprintf("bad%05d", round), round, true)
			}()
		}
		time.Sleep(poisonPause)
	}
	close(done)
	group.Wait()
	return test.judge(), nil
}

// prompt returns the parts of a prompt: all share the same parts but the last two, the subject and the request's own, and the
// one that crashes servers, which takes the place of another.
func (test *poison) prompt(id string, number int, bad bool) string {
	var parts []string
	for index := range sharedParts {
		part := fmt.Sprintf("c0de%04x", index)
		if bad && index == test.place {
			part = poisonPart
		}
		parts = append(parts, part+":20")
	}
	parts = append(parts, fmt.Sprintf("5b1ec7%02x:20", number%subjects))
	return strings.Join(append(parts, fmt.Sprintf("%x:30", id)), ",")
}

// ask sends a request and reads its answer.
func (test *poison) ask(id string, number int, bad bool) {
	machine := test.gateways[number%len(test.gateways)]
	request, err := http.NewRequest(http.MethodPost, "http://"+machine.front+"/ask/1", strings.NewReader("prompt of "+id))
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Time-Left-Ms", "12000")
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Counts", "1430,60")
	request.Header.Set("Prompt-Prefix", test.prompt(id, number, bad))
	test.mutex.Lock()
	test.sent[id] = time.Now()
	test.mutex.Unlock()
	test.note("sent %s to %s", id, machine.name)
	response, err := oneChannel.RoundTrip(request)
	status, body := 0, []byte(nil)
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	test.note("answer %s: status %d, %d bytes, error %v", id, status, len(body), err)
	test.mutex.Lock()
	defer test.mutex.Unlock()
	if !bad {
		test.sound++
		if status == http.StatusOK && err == nil {
			test.served++
		}
	}
}

// judge reports whether BUDGET held for the part that crashes servers.
func (test *poison) judge() bool {
	test.mutex.Lock()
	defer test.mutex.Unlock()
	late := 0
	if len(test.crashes) >= countedCrash {
		for _, id := range test.arrived {
			if test.sent[id].After(test.crashes[countedCrash-1].Add(contact)) {
				late++
			}
		}
	}
	test.note("BUDGET: %d crashes; %d requests with the part, sent later than contact_ms after crash %d, reached servers (allowed %d); sound requests served: %d of %d",
		len(test.crashes), late, countedCrash, allowedLate, test.served, test.sound)
	fmt.Printf("%d crashes, %d late arrivals, sound served %d of %d\n", len(test.crashes), late, test.served, test.sound)
	return late <= allowedLate
}

// start begins a lifetime of the engine.
func (engine *engine) start() error {
	listener, err := net.Listen("tcp4", engine.address)
	if err != nil {
		return err
	}
	engine.mutex.Lock()
	engine.born = time.Now().UnixMilli()
	engine.http = &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	running := engine.http
	engine.mutex.Unlock()
	go func() { _ = running.Serve(listener) }()
	engine.test.note("server %s started at %s", engine.id, engine.address)
	return engine.beat()
}

// beats writes the entry of the engine while it runs.
func (engine *engine) beats() {
	for range time.Tick(heartbeat) {
		// A beat that the store does not take is followed by the next one.
		_ = engine.beat()
	}
}

func (engine *engine) beat() error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.http == nil {
		return nil
	}
	engine.sequence++
	return engine.test.put(platform.TargetTopic, engine.id, map[string]any{
		"service": "models", "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 128, "state": platform.ReadyState,
		"cold_remaining_ms": 0, "sequence": engine.sequence, "born": engine.born, "stage": "combined",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// crash closes the listener and all connections; the engine is back after some seconds.
func (engine *engine) crash(conn net.Conn, id string) {
	engine.mutex.Lock()
	running := engine.http
	engine.http = nil
	engine.mutex.Unlock()
	if running != nil {
		_ = running.Close()
		engine.test.note("server %s crashed under %s", engine.id, id)
		engine.test.mutex.Lock()
		engine.test.crashes = append(engine.test.crashes, time.Now())
		engine.test.mutex.Unlock()
		time.AfterFunc(engineDown, func() {
			if err := engine.start(); err != nil {
				engine.test.note("server %s: %v", engine.id, err)
			}
		})
	}
	_ = conn.Close()
}

// ServeHTTP runs a request.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/health":
		writer.Header().Set("Instance-Id", engine.id)
		return
	case platform.ReportPath:
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"waiting_requests":0,"running_requests":1,"kv_used":41000,"kv_total":476534,"handles":0}`)
		return
	}
	id := request.Header.Get("Attempt-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != engine.id {
		writer.Header().Set("Instance-Id", engine.id)
		writer.Header().Set("Attempt-Id", id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	engine.test.note("run %s on %s", id, engine.id)
	if strings.Contains(request.Header.Get("Prompt-Prefix"), poisonPart) {
		engine.test.mutex.Lock()
		engine.test.arrived = append(engine.test.arrived, id)
		engine.test.mutex.Unlock()
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		time.Sleep(soundPause)
		// The server begins to write its answer, and crashes.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nAnswer-Stamp: stamp."+engine.id+"."+id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1")
		time.Sleep(soundPause)
		engine.crash(conn, id)
		return
	}
	header := writer.Header()
	header.Set("Attempt-Id", id)
	header.Set("Answer-Stamp", "stamp."+engine.id+"."+id)
	header.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= soundEvents; number++ {
		time.Sleep(soundPause)
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, id); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}
