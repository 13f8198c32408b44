// Command 3 shows a part of prompts that crashes servers and is never held back: the servers crash when they have begun to write
// the head of their answer, and the quarantine counts only crashes after a whole head.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"coltsfootlink/review/bed"
)

const (
	// down is how long a crashed server stays away.
	down = 3 * time.Second
	// interval is the time between two requests with the crashing part, and copies how many there are.
	interval = 500 * time.Millisecond
	copies   = 70
	// soundInterval is the time between two sound requests at each daemon.
	soundInterval = 150 * time.Millisecond
	// reading is how long a server reads a prompt, and events the number of events in its answer.
	reading = 40 * time.Millisecond
	events  = 10
	// countedCrashes and bound are the figures of the rule: so many requests may reach servers later than contact_ms after
	// that crash.
	countedCrashes = 5
	bound          = 3
	// crashingPart is the part of prompts that crashes servers.
	crashingPart = "5dead0"
)

func main() { bed.Main(serve, run) }

func serve(arguments []string) {
	bed.Serving{Name: arguments[0], Run: func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(reading)
		id := request.Header.Get("Attempt-Id")
		if strings.Contains(request.Header.Get("Prompt-Prefix"), crashingPart) {
			crash(writer, id)
		}
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := range events {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: a line of the summary\n\n", event+1)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}}.Serve(arguments)
}

// crash begins to write an answer and ends the process.
func crash(writer http.ResponseWriter, id string) {
	if connection, _, err := http.NewResponseController(writer).Hijack(); err == nil {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: "+id+"\r\n")
	}
	bed.Say("crash %s", id)
	os.Exit(1)
}

// scene is the state of the case.
type scene struct {
	*bed.Bed

	servers []*bed.Server
	mutex   sync.Mutex
	// sound counts the sound requests by how they ended.
	sound map[string]int
}

func run(shared *bed.Bed) (bool, error) {
	scene := &scene{Bed: shared, sound: make(map[string]int)}
	_, err := scene.PutOperator("config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-summary", "host": "records.example", "path_prefix": "/summary/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 800, "priority": 1, "service": "models", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 300}},
		"services": []any{map[string]any{"name": "models", "health_path": "/health", "connection_limit": 620, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 16.0,
			"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 476534, "kv_token_bytes": 18432, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 380000},
		"tenants": []any{map[string]any{"name": "kitchen", "api_keys": []string{"key-of-kitchen"}, "priority": 1}},
	})
	if err != nil {
		return false, err
	}
	zones := []string{"piedmont", "lowcountry", "gulfside"}
	for index := range 6 {
		server := &bed.Server{Name: fmt.Sprint("i-", index), Service: "models", Zone: zones[index%len(zones)], Version: "v1", Slots: 128, ColdStart: 3 * time.Second}
		scene.servers = append(scene.servers, server)
		if err := scene.StartServer(server); err != nil {
			return false, err
		}
		go scene.restart(server)
	}
	if err := scene.StartGateways([]string{zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}, nil); err != nil {
		return false, err
	}
	stop := scene.load()
	defer stop()
	time.Sleep(2 * bed.Contact)
	scene.sendCrashing()
	stop()
	return scene.judge(), nil
}

// restart starts a server that has crashed again.
func (scene *scene) restart(server *bed.Server) {
	for ; scene.Context().Err() == nil; time.Sleep(20 * time.Millisecond) {
		if !server.Exited() {
			continue
		}
		time.Sleep(down)
		if err := server.Start(); err != nil {
			scene.Note("%s did not start: %v", server.Name, err)
		}
	}
}

// sendCrashing sends requests with the crashing part to all daemons in turn, no two alike; without trouble they have another
// part instead.
func (scene *scene) sendCrashing() {
	part := crashingPart
	if !bed.Trouble() {
		part = "50a2d0"
	}
	for number := range copies {
		go scene.send(scene.NewClient(), number%len(scene.Gateways), fmt.Sprint("crashing-", number), fmt.Sprintf("aa01:100,%s:100,cc%x:80", part, number))
		time.Sleep(interval)
	}
}

func (scene *scene) send(client *bed.Client, gateway int, id, prompt string) bed.Answer {
	return client.Send(scene.Gateways[gateway], bed.Request{
		Method: http.MethodPost, Path: "/summary/" + id, ID: id, Key: "key-of-kitchen", Body: "prompt of " + id, Patience: 15 * time.Second,
		Headers: map[string]string{"Model": "m", "Token-Counts": "280,60", "Prompt-Prefix": prompt},
	})
}

// load has clients at all daemons send sound requests with the same first part until it is stopped.
func (scene *scene) load() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for index := range scene.Gateways {
		group.Go(func() {
			client := scene.NewClient()
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(soundInterval):
				}
				answer := scene.send(client, index, fmt.Sprintf("sound-%d-%d", index, number), fmt.Sprintf("aa01:100,bb%x:100,dd%x%x:80", number%12, index, number))
				scene.count(answer)
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		group.Wait()
	}
}

// count counts how a sound request ended.
func (scene *scene) count(answer bed.Answer) {
	scene.mutex.Lock()
	defer scene.mutex.Unlock()
	switch {
	case answer.Err != nil:
		scene.sound["closed without a whole answer"]++
	default:
		scene.sound[fmt.Sprint("status ", answer.Status)]++
	}
}

// judge counts the requests with the crashing part that reached servers later than contact_ms after the fifth crash.
func (scene *scene) judge() bool {
	crashes := scene.Events("crash")
	late := 0
	for _, event := range scene.Events("run") {
		crashing := bed.Trouble() && strings.HasPrefix(event.Words[1], "crashing-")
		if crashing && len(crashes) >= countedCrashes && event.At.After(crashes[countedCrashes-1].At.Add(bed.Contact)) {
			late++
		}
	}
	scene.Note("crashes: %d; requests with the part that reached servers later than %v after the fifth crash: %d (bound %d); sound requests: %v", len(crashes), bed.Contact, late, bound, scene.sound)
	return late > bound
}
