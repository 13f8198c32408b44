package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	// With this import a change of the gateway makes old results void.
	_ "coltsfootlink/gateway"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

// site is a stand-in of the users' platform with its targets and gateways.
type site struct {
	store    *platform.Store
	address  string
	gateways []*rig.Gateway
	targets  map[string]*siteTarget
	version  int
}

// siteTarget is a target that notes what it runs.
type siteTarget struct {
	name, zone, version string
	server              *httptest.Server
	// fails says that requests are answered with an error.
	fails bool

	mutex sync.Mutex
	// runs are the times at which requests were run.
	runs map[string][]time.Time
}

// ServeHTTP runs a request: a stream of ten events, or an echo.
func (target *siteTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	if request.Header.Get("Expect-Instance") != target.name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	target.mutex.Lock()
	target.runs[id] = append(target.runs[id], time.Now())
	target.mutex.Unlock()
	writer.Header().Set("Answer-Stamp", "stamp-"+id)
	if target.fails {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		_, _ = writer.Write(append([]byte(target.name+" "), body...))
		return
	}
	for event := range 10 {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// ran returns how often a request was run, and whether any was run after a time.
func (staged *site) ran(id string) int {
	count := 0
	for _, target := range staged.targets {
		target.mutex.Lock()
		count += len(target.runs[id])
		target.mutex.Unlock()
	}
	return count
}

// newestRun returns when targets that a condition holds for last ran anything.
func (staged *site) newestRun(holds func(*siteTarget) bool) time.Time {
	var newest time.Time
	for _, target := range staged.targets {
		target.mutex.Lock()
		for _, times := range target.runs {
			for _, at := range times {
				if holds(target) && at.After(newest) {
					newest = at
				}
			}
		}
		target.mutex.Unlock()
	}
	return newest
}

func inZone(zone string) func(*siteTarget) bool {
	return func(target *siteTarget) bool { return target.zone == zone }
}

func withVersion(version string) func(*siteTarget) bool {
	return func(target *siteTarget) bool { return target.version == version }
}

// startSite starts a store, targets in two zones and four gateways.
func startSite(t *testing.T) *site {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	store := standin.NewStore(0)
	ctx := t.Context()
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: address, Store: store}).Run(ctx) }()
	staged := &site{store: platform.NewStore("http://" + address), address: address, targets: make(map[string]*siteTarget)}
	for index := range 4 {
		staged.add(t, &siteTarget{name: fmt.Sprint("t-", index), zone: zones[index%2], version: "v1"})
	}
	staged.configure(t, "key")
	staged.gateways, err = rig.GatewayFleet{Daemon: programs.Daemon, Folder: t.TempDir(), Store: address, Zones: zones[:2], Count: 4}.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "all gateways serve", func() bool {
		for index := range staged.gateways {
			if status, _, _ := staged.call(index, "/safe/a", fmt.Sprint("probe-", index), "key"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return staged
}

// add starts a target that is ready.
func (staged *site) add(t *testing.T, target *siteTarget) {
	t.Helper()
	target.runs = make(map[string][]time.Time)
	target.server = httptest.NewServer(target)
	t.Cleanup(target.server.Close)
	staged.targets[target.name] = target
	staged.enter(t, target, platform.ReadyState)
}

// enter writes a target's entry.
func (staged *site) enter(t *testing.T, target *siteTarget, state string) {
	t.Helper()
	staged.put(t, platform.TargetTopic, target.name, platform.TargetDocument{
		Service: "p", Address: strings.TrimPrefix(target.server.URL, "http://"), Zone: target.zone, Version: target.version, Slots: 8, State: state,
	})
}

// put writes a document into the store; nil removes the key.
func (staged *site) put(t *testing.T, topic, key string, document any) {
	t.Helper()
	var value []byte
	if document != nil {
		encoded, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		value = encoded
	}
	eventually(t, "the store takes a record", func() bool {
		_, err := staged.store.Append(context.Background(), platform.Partition{Topic: topic}, [][]byte{platform.EncodeKeyed(key, value)}, platform.Condition{})
		return err == nil
	})
}

// configure writes the next version of the configuration, with one key.
func (staged *site) configure(t *testing.T, key string) {
	t.Helper()
	staged.version++
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 5000, "target_latency_ms": 500,
			"service": "p", "max_attempts": 2,
		}
	}
	staged.put(t, platform.OperatorTopic, "config", map[string]any{
		"version":  staged.version,
		"routes":   []any{route("safe", "safe"), route("unsafe", "unsafe"), route("stream", "streaming")},
		"services": []any{map[string]any{"name": "p", "connection_limit": 100}},
		"limits":   map[string]any{"max_body_bytes": 10000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{key}}},
	})
}

// call sends one request to a gateway and returns the status and the body; an error if the answer is not whole.
func (staged *site) call(gateway int, path, id, key string) (int, string, error) {
	answered, body, err := staged.ask(gateway, path, id, key)
	if answered == nil {
		return 0, body, err
	}
	return answered.StatusCode, body, err
}

// ask is call with the whole head of the answer, nil if there was none.
func (staged *site) ask(gateway int, path, id, key string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+staged.gateways[gateway].Callers+path, strings.NewReader("plan"))
	if err != nil {
		return nil, "", err
	}
	request.Host = "h"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "4000")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// outcome is how one call of a load ended.
type outcome struct {
	id     string
	status int
	err    error
}

// comeAgainAt returns when a caller is to call next: soon, or when the answer says.
func comeAgainAt(answered *http.Response) time.Time {
	pause := 5 * time.Millisecond
	if answered != nil {
		if seconds, err := strconv.ParseFloat(answered.Header.Get("Retry-After"), 64); err == nil {
			pause = max(pause, time.Duration(seconds*float64(time.Second)))
		}
	}
	return time.Now().Add(pause)
}

// load calls gateways in turn until it is stopped, and returns all outcomes. Callers stay away as they are told.
func (staged *site) load(path string, gateways ...int) (stop func() []outcome) {
	done := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	var outcomes []outcome
	for caller := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			callAt := comeAgainAt(nil)
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(time.Until(callAt)):
				}
				id := fmt.Sprint(strings.Trim(path, "/"), "-", caller, "-", number)
				answered, _, err := staged.ask(gateways[(caller+number)%len(gateways)], path, id, "key")
				ended := outcome{id: id, err: err}
				if answered != nil {
					ended.status = answered.StatusCode
				}
				mutex.Lock()
				outcomes = append(outcomes, ended)
				mutex.Unlock()
				callAt = comeAgainAt(answered)
			}
		}()
	}
	return func() []outcome {
		close(done)
		group.Wait()
		return outcomes
	}
}

// TestGateways holds for real gateways before a stand-in of the users' platform, whatever happens to them.
func TestGateways(t *testing.T) {
	cases := map[string]struct {
		path string
		// callers are the gateways that are called.
		callers []int
		// trouble happens under load.
		trouble func(t *testing.T, staged *site)
		// whole says that every call has to be answered whole.
		whole bool
	}{
		"nothing happens": {"/unsafe/a", []int{0, 1, 2, 3}, func(*testing.T, *site) { time.Sleep(500 * time.Millisecond) }, true},
		"an owner is killed": {"/unsafe/a", []int{0, 1}, func(_ *testing.T, staged *site) {
			So(staged.gateways[2].Kill(), ShouldBeNil)
			So(staged.gateways[3].Kill(), ShouldBeNil)
			time.Sleep(2 * time.Second)
		}, false},
		"a gateway is stopped": {"/stream/a", []int{0, 1, 2}, func(_ *testing.T, staged *site) {
			So(staged.gateways[3].Stop(time.Now().Add(10*time.Second)), ShouldBeNil)
		}, true},
		"a gateway stands still": {"/unsafe/a", []int{0, 1}, func(_ *testing.T, staged *site) {
			So(staged.gateways[2].Suspend(), ShouldBeNil)
			time.Sleep(1500 * time.Millisecond)
			So(staged.gateways[2].Resume(), ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
		}, false},
		"the store is down": {"/unsafe/a", []int{0, 1, 2, 3}, func(t *testing.T, staged *site) {
			setOutage(t, staged.address, standin.Outage{Down: true})
			time.Sleep(time.Second)
			setOutage(t, staged.address, standin.Outage{})
			time.Sleep(500 * time.Millisecond)
		}, true},
		"the configuration changes again and again": {"/unsafe/a", []int{0, 1, 2, 3}, func(t *testing.T, staged *site) {
			for range 10 {
				staged.configure(t, "key")
				time.Sleep(50 * time.Millisecond)
			}
		}, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			staged := startSite(t)
			stop := staged.load(test.path, test.callers...)
			time.Sleep(300 * time.Millisecond)
			test.trouble(t, staged)
			outcomes := stop()
			answered := 0
			for _, ended := range outcomes {
				ran := staged.ran(ended.id)
				So(ran, ShouldBeLessThanOrEqualTo, 1)
				if ended.status == http.StatusServiceUnavailable {
					So(ran, ShouldEqual, 0)
				}
				if test.whole {
					So(ended.err, ShouldBeNil)
				}
				if ended.status == http.StatusOK && ended.err == nil {
					So(ran, ShouldEqual, 1)
					answered++
				}
			}
			So(answered, ShouldBeGreaterThan, len(outcomes)/2)
			staged.recovers(t, test.path, test.callers)
		})
	}
}

// recovers expects gateways to answer every one of a row of calls again.
func (staged *site) recovers(t *testing.T, path string, gateways []int) {
	t.Helper()
	row := 0
	eventually(t, "all calls are answered again", func() bool {
		for _, gateway := range gateways {
			for range 10 {
				row++
				if status, _, err := staged.call(gateway, path, fmt.Sprint("after-", row), "key"); err != nil || status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

// setOutage makes a stand-in store misbehave.
func setOutage(t *testing.T, address string, outage standin.Outage) {
	t.Helper()
	body, err := json.Marshal(outage)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+address+standin.OutagePath, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

func TestGatewaysFollowTheOperator(t *testing.T) {
	Convey("a new key is in force on all gateways, an old one on none", t, func() {
		staged := startSite(t)
		staged.configure(t, "new-key")
		for index := range staged.gateways {
			eventually(t, "the new key is in force", func() bool {
				status, _, err := staged.call(index, "/safe/a", fmt.Sprint("new-", index), "new-key")
				return err == nil && status == http.StatusOK
			})
			status, _, err := staged.call(index, "/safe/a", fmt.Sprint("old-", index), "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusUnauthorized)
		}
	})
	Convey("a zone that is out gets nothing until it is back", t, func() {
		staged := startSite(t)
		stop := staged.load("/safe/a", 0, 1, 2, 3)
		staged.put(t, platform.OperatorTopic, "evacuate/"+zones[0], struct{}{})
		time.Sleep(time.Second)
		quiet := time.Now()
		time.Sleep(500 * time.Millisecond)
		So(staged.newestRun(inZone(zones[0])), ShouldHappenBefore, quiet)
		So(staged.newestRun(inZone(zones[1])), ShouldHappenAfter, quiet)
		staged.put(t, platform.OperatorTopic, "evacuate/"+zones[0], nil)
		eventually(t, "the zone gets work again", func() bool { return staged.newestRun(inZone(zones[0])).After(quiet) })
		stop()
	})
	Convey("a target that drains gets nothing more", t, func() {
		staged := startSite(t)
		stop := staged.load("/safe/a", 0, 1, 2, 3)
		for _, target := range staged.targets {
			if target.zone == zones[1] {
				staged.enter(t, target, platform.DrainingState)
			}
		}
		time.Sleep(time.Second)
		quiet := time.Now()
		time.Sleep(500 * time.Millisecond)
		So(staged.newestRun(inZone(zones[1])), ShouldHappenBefore, quiet)
		stop()
	})
}
