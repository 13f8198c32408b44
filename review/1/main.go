// Command 1 shows a stale coordinator of a version move that replaces the recorded outcome of its successor: the daemon that
// coordinates a move is suspended, another one takes the move over, finds the new version bad and records rolled_back. When
// the suspended daemon runs again, it records completed.
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
	"coltsfootlink/review/bed"
)

// Times are counted from the acknowledgement of the order.
const (
	// budget is the duration_s of the order.
	budget = 12 * time.Second
	// freezeAt is when the coordinator is suspended, and freeze for how long.
	freezeAt = 7700 * time.Millisecond
	freeze   = 4 * time.Second
	// badAt is when the new version turns bad.
	badAt = 9200 * time.Millisecond
	// drainAfter is how long after the recorded state rolled_back the new servers drain.
	drainAfter = 4 * time.Second
	// watchUntil is when the case ends.
	watchUntil = 24 * time.Second
	// rollbackBound is rollback_ms, and badAnswers the number of bad answers from which it counts.
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	// exposureShare and exposureSlack bound the requests to a bad version within the budget.
	exposureShare = 0.1
	exposureSlack = 50
	// perSecond is the number of requests per second, and work how long a server works on one.
	perSecond = 150
	work      = 15 * time.Millisecond
)

func main() { bed.Main(serve, run) }

// serve is a server; after the line "bad", every second answer is a failure.
func serve(arguments []string) {
	var bad atomic.Bool
	var count atomic.Int64
	serving := bed.Serving{Name: arguments[0], Told: func(line string) { bad.Store(line == "bad") }}
	serving.Run = func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(work)
		if bad.Load() && count.Add(1)%2 == 0 {
			bed.Say("bad %s", request.Header.Get("Attempt-Id"))
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(writer, "booked\n")
	}
	serving.Serve(arguments)
}

// scene is the state of the case.
type scene struct {
	*bed.Bed

	old, renewed []*bed.Server
	ordered      time.Time
	// states are the states in the status record, in the order in which they were seen.
	mutex  sync.Mutex
	states []string
	// sentAt are the times at which the clients sent their requests.
	sentAt map[string]time.Time
}

func run(shared *bed.Bed) (bool, error) {
	scene := &scene{Bed: shared, sentAt: make(map[string]time.Time)}
	if err := scene.start(); err != nil {
		return false, err
	}
	stop := scene.load()
	defer stop()
	time.Sleep(3 * time.Second)
	if err := scene.order(); err != nil {
		return false, err
	}
	go scene.followStatus()
	coordinator, err := scene.coordinator()
	if err != nil {
		return false, err
	}
	scene.Note("%s coordinates the move", coordinator.Name)
	time.Sleep(time.Until(scene.ordered.Add(freezeAt)))
	if bed.Trouble() {
		scene.Note("disruption: %s stands still for %v", coordinator.Name, freeze)
		if err := coordinator.Suspend(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(scene.ordered.Add(badAt)))
	scene.Note("the new version turns bad: half of its answers are failures")
	for _, server := range scene.renewed {
		server.Tell("bad")
	}
	time.Sleep(time.Until(scene.ordered.Add(freezeAt + freeze)))
	if bed.Trouble() {
		if err := coordinator.Resume(); err != nil {
			return false, err
		}
		scene.Note("%s runs again", coordinator.Name)
	}
	time.Sleep(time.Until(scene.ordered.Add(watchUntil)))
	stop()
	return scene.judge(coordinator), nil
}

func (scene *scene) start() error {
	zones := []string{"piedmont", "lowcountry", "gulfside"}
	_, err := scene.PutOperator("config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-signoff", "host": "records.example", "path_prefix": "/signoff/", "kind": "unsafe", "timeout_ms": 1000,
			"target_latency_ms": 150, "priority": 2, "service": "records", "max_attempts": 1, "public": true, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "records", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 380000},
		"tenants":  []any{map[string]any{"name": "kitchen", "api_keys": []string{"key-of-kitchen"}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	for _, zone := range zones {
		server := &bed.Server{Name: "i-old-" + zone, Service: "records", Zone: zone, Version: "v1", Slots: 6}
		scene.old = append(scene.old, server)
		if err := scene.StartServer(server); err != nil {
			return err
		}
	}
	return scene.StartGateways([]string{zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}, nil)
}

// order orders the move, and starts the servers of the new version beside the old ones.
func (scene *scene) order() (err error) {
	scene.ordered, err = scene.PutOperator("rollout/records", map[string]any{"service": "records", "target": "v2", "duration_s": budget.Seconds()})
	if err != nil {
		return err
	}
	for _, old := range scene.old {
		server := &bed.Server{Name: strings.Replace(old.Name, "old", "new", 1), Service: "records", Zone: old.Zone, Version: "v2", Slots: 6}
		scene.renewed = append(scene.renewed, server)
		if err := scene.StartServer(server); err != nil {
			return err
		}
	}
	return nil
}

// coordinator returns the daemon that wrote to the store under a condition, as its log says.
func (scene *scene) coordinator() (*bed.Gateway, error) {
	var found *bed.Gateway
	err := scene.Wait("a daemon records the move", 5*time.Second, func() bool {
		for _, gateway := range scene.Gateways {
			if strings.Contains(gateway.Log(), "state of a version move recorded") {
				found = gateway
			}
		}
		return found != nil
	})
	return found, err
}

// load sends requests to all daemons until it is stopped.
func (scene *scene) load() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for index, gateway := range scene.Gateways {
		for lane := range 4 {
			group.Go(func() {
				client := scene.NewClient()
				ticker := time.NewTicker(time.Second * time.Duration(4*len(scene.Gateways)) / perSecond)
				defer ticker.Stop()
				for number := 0; ; number++ {
					select {
					case <-done:
						return
					case <-ticker.C:
					}
					id := fmt.Sprintf("%d-%d-%d", index, lane, number)
					scene.mutex.Lock()
					scene.sentAt[id] = time.Now()
					scene.mutex.Unlock()
					client.Send(gateway, bed.Request{Method: http.MethodPost, Path: "/signoff/" + id, ID: id, Key: "", Body: "signed", Patience: time.Second})
				}
			})
		}
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		group.Wait()
	}
}

// followStatus is the platform's side of the move: it reads the status record and treats the servers as the pages say.
func (scene *scene) followStatus() {
	for last := ""; ; time.Sleep(20 * time.Millisecond) {
		state := scene.status()
		if state == last || state == "" {
			continue
		}
		last = state
		scene.mutex.Lock()
		scene.states = append(scene.states, state)
		scene.mutex.Unlock()
		scene.Note("status/rollout/records is %s", state)
		switch state {
		case platform.CompletedStatus:
			for _, server := range scene.old {
				server.Crash()
				_ = server.Remove()
			}
			scene.Note("the platform stops the old servers")
		case platform.RolledBackStatus:
			go scene.drainNew()
		}
	}
}

// status returns the state in the status record; empty if there is none.
func (scene *scene) status() string {
	records, _, err := platform.MoveRecords{Store: scene.Store}.Moves(scene.Context())
	if err != nil {
		return ""
	}
	return map[string]string{"running": platform.RunningStatus, "done": platform.CompletedStatus, "rolled-back": platform.RolledBackStatus, "taken-back": platform.RolledBackStatus}[string(records["records"].State)]
}

// drainNew drains the new servers some seconds after rolled_back, if that is still the state.
func (scene *scene) drainNew() {
	time.Sleep(drainAfter)
	if scene.status() != platform.RolledBackStatus {
		return
	}
	scene.Note("the platform drains the new servers")
	for _, server := range scene.renewed {
		_ = server.SetState(platform.DrainingState)
	}
}

// judge checks the rule EXPOSURE, for requests from daemons that were not suspended.
func (scene *scene) judge(coordinator *bed.Gateway) bool {
	own := map[string]bool{}
	for index, gateway := range scene.Gateways {
		own[fmt.Sprint(index)] = gateway != coordinator || !bed.Trouble()
	}
	inTouch := func(id string) bool { return own[strings.SplitN(id, "-", 2)[0]] }
	bad := scene.Events("bad")
	within, toNew, late := 0, 0, 0
	for _, event := range scene.Events("run") {
		id := event.Words[1]
		sent := scene.sentAt[id]
		isNew := strings.HasPrefix(event.Server, "i-new")
		if sent.After(scene.ordered) && sent.Before(scene.ordered.Add(budget)) {
			within++
			if isNew && inTouch(id) {
				toNew++
			}
		}
		if isNew && inTouch(id) && len(bad) >= badAnswers && sent.After(bad[badAnswers-1].At.Add(rollbackBound)) {
			late++
		}
	}
	scene.Note("states recorded: %s", strings.Join(scene.states, ", "))
	scene.Note("bad answers: %d; requests to the service within the budget: %d, of these to the bad version: %d (bound %.0f)", len(bad), within, toNew, exposureShare*float64(within)+exposureSlack)
	scene.Note("requests to the bad version that were sent more than %v after its %dth bad answer, by daemons in touch: %d", rollbackBound, badAnswers, late)
	return late > 0 || float64(toNew) > exposureShare*float64(within)+exposureSlack
}
