// Command 2 shows that the fleet serves anybody once the last API key of a configuration is withdrawn: a configuration with
// tenants that have no key left is taken for one without tenants.
package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"coltsfootlink/review/bed"
)

// gap is the time between two withdrawals; two keys are withdrawn, as in the site file.
const gap = 1500 * time.Millisecond

// settle is the time from the acknowledgement to the first request that is judged. It exceeds configuration_apply_ms, and
// also revocation_ms.
const settle = 6 * time.Second

func main() { bed.Main(serve, run) }

func serve(arguments []string) {
	bed.Serving{Name: arguments[0], Run: func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(writer, "signed off\n")
	}}.Serve(arguments)
}

// configuration returns a version of the configuration with the keys of its two tenants.
func configuration(version int, kitchen, school []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-signoff", "host": "records.example", "path_prefix": "/signoff/", "kind": "unsafe", "timeout_ms": 1000,
			"target_latency_ms": 150, "priority": 2, "service": "records", "max_attempts": 1, "public": false, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "records", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 380000},
		"tenants": []any{
			map[string]any{"name": "kitchen", "api_keys": kitchen, "priority": 1},
			map[string]any{"name": "school", "api_keys": school, "priority": 1},
		},
	}
}

// scene is the state of the case.
type scene struct {
	*bed.Bed

	client *bed.Client
	sent   int
}

func run(shared *bed.Bed) (bool, error) {
	scene := &scene{Bed: shared, client: shared.NewClient()}
	if _, err := scene.PutOperator("config", configuration(3, []string{"key-of-kitchen"}, []string{"key-of-school"})); err != nil {
		return false, err
	}
	for _, zone := range []string{"piedmont", "lowcountry", "gulfside"} {
		if err := scene.StartServer(&bed.Server{Name: "i-" + zone, Service: "records", Zone: zone, Version: "v1", Slots: 6}); err != nil {
			return false, err
		}
	}
	if err := scene.StartGateways([]string{"piedmont", "lowcountry", "gulfside"}, nil); err != nil {
		return false, err
	}
	if err := scene.Wait("both keys are served", 10*time.Second, func() bool { return scene.ask("key-of-kitchen") && scene.ask("key-of-school") }); err != nil {
		return false, err
	}
	time.Sleep(bed.Contact)
	kitchen, school := []string{"key-of-kitchen"}, []string{"key-of-school"}
	allowed := map[string]bool{"key-of-kitchen": true, "key-of-school": true}
	if bed.Trouble() {
		scene.Note("disruption: the keys of both tenants are withdrawn, one after the other")
		kitchen, school, allowed = []string{}, []string{}, nil
	}
	if _, err := scene.PutOperator("config", configuration(5, kitchen, []string{"key-of-school"})); err != nil {
		return false, err
	}
	time.Sleep(gap)
	acknowledged, err := scene.PutOperator("config", configuration(8, kitchen, school))
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(settle)))
	before := len(scene.Events("run"))
	asked, wrong := 0, 0
	for range 10 {
		for _, key := range []string{"key-of-kitchen", "key-of-school", "key-that-never-was", ""} {
			for _, gateway := range scene.Gateways {
				asked++
				if answer := scene.send(gateway, key); (answer.Status == http.StatusOK) != allowed[key] {
					wrong++
				}
			}
		}
	}
	scene.Note("requests later than %v after the acknowledgement: %d, answered against the configuration: %d, run by servers: %d", settle, asked, wrong, len(scene.Events("run"))-before)
	return wrong > 0, nil
}

// ask reports whether all daemons serve a key.
func (scene *scene) ask(key string) bool {
	for _, gateway := range scene.Gateways {
		if scene.send(gateway, key).Status != http.StatusOK {
			return false
		}
	}
	return true
}

func (scene *scene) send(gateway *bed.Gateway, key string) bed.Answer {
	scene.sent++
	id := fmt.Sprint("signoff-", scene.sent)
	return scene.client.Send(gateway, bed.Request{Method: http.MethodPost, Path: "/signoff/" + id, ID: id, Key: key, Body: "signed", Patience: time.Second})
}
