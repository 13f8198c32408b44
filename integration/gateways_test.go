package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	// With this import go test sees the gateway as a dependency, so that it does not reuse a cached result after the
	// gateway has changed.
	_ "coltsfootlink/gateway"
	"coltsfootlink/loopback"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

// testbed is a stand-in for the users' platform, with targets and with gateways as separate processes.
type testbed struct {
	store         *platform.Store
	storeAddress  string
	gateways      []*rig.Gateway
	targets       map[string]*recordingTarget
	configVersion int
	// copied is when a test had the copy made from which the store is restored; zero for the start of the load.
	copied time.Time
}

// recordingTarget is a target that records when it executed which request.
type recordingTarget struct {
	name, zone, version string
	server              *httptest.Server
	// fails indicates that all requests are answered with status 500.
	fails bool
	// born identifies the target's incarnation.
	born uint64
	// leaving indicates that the target says in all answers that it is shutting down; its record does not show it.
	leaving atomic.Bool
	// retryAfterSeconds is for how long the target asks for no requests in the refusals that it answers all requests with;
	// zero if it serves them.
	retryAfterSeconds atomic.Int64

	mutex sync.Mutex
	// arrivals are the times at which requests meant for the target arrived.
	arrivals []time.Time
	// executions are the times at which each request was executed, by the value of its header Attempt-Id.
	executions map[string][]time.Time
}

// defaultEvents is the number of events of a stream whose path does not name one.
const defaultEvents = 10

// ServeHTTP executes a request: on paths below /stream/ it streams the number of events in the path, and on others it
// echoes the body.
func (target *recordingTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	if target.leaving.Load() {
		writer.Header().Set("Server-Leaving", "1")
	}
	if request.Header.Get("Expect-Instance") != target.name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	target.mutex.Lock()
	target.arrivals = append(target.arrivals, time.Now())
	target.mutex.Unlock()
	if seconds := target.retryAfterSeconds.Load(); seconds > 0 {
		writer.Header().Set("Not-Run", "1")
		writer.Header().Set("Retry-After", fmt.Sprint(seconds))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	target.mutex.Lock()
	target.executions[id] = append(target.executions[id], time.Now())
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
	events, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/stream/"))
	if err != nil {
		events = defaultEvents
	}
	for event := range events {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// executions returns how often the targets have executed a request.
func (bed *testbed) executions(id string) int {
	count := 0
	for _, target := range bed.targets {
		target.mutex.Lock()
		count += len(target.executions[id])
		target.mutex.Unlock()
	}
	return count
}

// lastExecution returns the time of the last execution on the targets that match; zero if there was none.
func (bed *testbed) lastExecution(matches func(*recordingTarget) bool) time.Time {
	var newest time.Time
	for _, target := range bed.targets {
		target.mutex.Lock()
		for _, times := range target.executions {
			for _, at := range times {
				if matches(target) && at.After(newest) {
					newest = at
				}
			}
		}
		target.mutex.Unlock()
	}
	return newest
}

func inZone(zone string) func(*recordingTarget) bool {
	return func(target *recordingTarget) bool { return target.zone == zone }
}

func withVersion(version string) func(*recordingTarget) bool {
	return func(target *recordingTarget) bool { return target.version == version }
}

// newTestbed starts a stand-in platform that holds a configuration, without targets and gateways.
func newTestbed(t *testing.T) *testbed {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	store := standin.NewStore(0)
	ctx := t.Context()
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: address, Store: store}).Run(ctx) }()
	bed := &testbed{store: platform.NewStore("http://" + address), storeAddress: address, targets: make(map[string]*recordingTarget)}
	bed.configure(t, "key")
	return bed
}

// startTestbed starts a store, four targets in two zones and four gateways, and waits until the gateways serve.
func startTestbed(t *testing.T) *testbed {
	t.Helper()
	return startTestbedWith(t, rig.GatewayFleet{Zones: zones[:2]})
}

// startProxiedTestbed does what startTestbed does, with all gateways in one zone and with proxies.
func startProxiedTestbed(t *testing.T) *testbed {
	t.Helper()
	return startTestbedWith(t, rig.GatewayFleet{Zones: zones[:1], Proxied: true})
}

// startTestbedWith does what startTestbed does, with the zones and proxies of a fleet.
func startTestbedWith(t *testing.T, fleet rig.GatewayFleet) *testbed {
	t.Helper()
	bed := newTestbed(t)
	for index := range 4 {
		bed.add(t, &recordingTarget{name: fmt.Sprint("t-", index), zone: zones[index%2], version: "v1"})
	}
	var err error
	fleet.Daemon, fleet.Folder, fleet.Store, fleet.Count = programs.Daemon, t.TempDir(), bed.storeAddress, 4
	bed.gateways, err = fleet.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rig.KillGateways(bed.gateways) })
	eventually(t, "all gateways serve", func() bool {
		for index := range bed.gateways {
			if status, _, _ := bed.call(index, "/safe/a", fmt.Sprint("probe-", index), "key"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return bed
}

// add starts a target and registers it as ready.
func (bed *testbed) add(t *testing.T, target *recordingTarget) {
	t.Helper()
	target.executions = make(map[string][]time.Time)
	target.server = httptest.NewServer(target)
	t.Cleanup(target.server.Close)
	bed.targets[target.name] = target
	bed.register(t, target, platform.ReadyState)
}

// register writes the record in which a target registers itself.
func (bed *testbed) register(t *testing.T, target *recordingTarget, state string) {
	t.Helper()
	bed.put(t, platform.TargetTopic, target.name, platform.TargetDocument{
		Service: "p", Address: strings.TrimPrefix(target.server.URL, "http://"), Zone: target.zone, Version: target.version, Slots: 64, State: state, Born: target.born,
	})
}

// put writes a document into the store under a key; nil removes the key.
func (bed *testbed) put(t *testing.T, topic, key string, document any) {
	t.Helper()
	var value []byte
	if document != nil {
		encoded, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		value = encoded
	}
	bed.append(t, topic, key, value)
}

// append writes the bytes of a record into the store under a key.
func (bed *testbed) append(t *testing.T, topic, key string, value []byte) {
	t.Helper()
	eventually(t, "the store accepts a record", func() bool {
		_, err := bed.store.Append(context.Background(), platform.Partition{Topic: topic}, [][]byte{platform.EncodeKeyed(key, value)}, platform.Condition{})
		return err == nil
	})
}

// configure writes the next version of the configuration, with one team and one API key for it.
func (bed *testbed) configure(t *testing.T, key string) {
	t.Helper()
	bed.configureSplit(t, key, []string{"p"})
}

// configureSplit does what configure does, with the streams divided evenly among some pools.
func (bed *testbed) configureSplit(t *testing.T, key string, pools []string) {
	t.Helper()
	bed.configVersion++
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 15000, "target_latency_ms": 500,
			"service": "p", "max_attempts": 2,
		}
	}
	streams := route("stream", "streaming")
	var splits, services []any
	for _, pool := range pools {
		splits = append(splits, map[string]any{"service": pool, "weight": 1})
		services = append(services, map[string]any{"name": pool, "connection_limit": 100})
	}
	streams["traffic_split"] = splits
	bed.put(t, platform.OperatorTopic, "config", map[string]any{
		"version":  bed.configVersion,
		"routes":   []any{route("safe", "safe"), route("unsafe", "unsafe"), streams},
		"services": services,
		"limits":   map[string]any{"max_body_bytes": 10000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{key}}},
	})
}

// call sends one request to a gateway and returns the status, zero if there was no answer, and the body. It returns an
// error if the answer is not complete.
func (bed *testbed) call(gateway int, path, id, key string) (int, string, error) {
	response, body, err := bed.send(gateway, path, id, key)
	if response == nil {
		return 0, body, err
	}
	return response.StatusCode, body, err
}

// send does what call does, but returns the response instead of its status; nil if there was no answer.
func (bed *testbed) send(gateway int, path, id, key string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+bed.gateways[gateway].Callers+path, strings.NewReader("plan"))
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

// outcome is the result of one call of load; its status is zero if there was no answer.
type outcome struct {
	id     string
	status int
	err    error
}

// nextCallTime returns when a caller sends its next call: after the time in Retry-After, but at least 5 ms from now.
func nextCallTime(response *http.Response) time.Time {
	delay := 5 * time.Millisecond
	if response != nil {
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			delay = max(delay, time.Duration(seconds*float64(time.Second)))
		}
	}
	return time.Now().Add(delay)
}

// load starts eight callers, each of which calls the gateways in turn and honours Retry-After. The returned function
// stops them and returns all outcomes.
func (bed *testbed) load(path string, gateways ...int) (stop func() []outcome) {
	done := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	var outcomes []outcome
	for caller := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			nextCall := nextCallTime(nil)
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(time.Until(nextCall)):
				}
				id := fmt.Sprint(strings.Trim(path, "/"), "-", caller, "-", number)
				response, _, err := bed.send(gateways[(caller+number)%len(gateways)], path, id, "key")
				result := outcome{id: id, err: err}
				if response != nil {
					result.status = response.StatusCode
				}
				mutex.Lock()
				outcomes = append(outcomes, result)
				mutex.Unlock()
				nextCall = nextCallTime(response)
			}
		}()
	}
	return func() []outcome {
		close(done)
		group.Wait()
		return outcomes
	}
}

// TestGatewaysBelongToWhoeverStartedThem checks that the end of the context of their start does not end gateways: their
// owner may be restarting one of them at that moment.
func TestGatewaysBelongToWhoeverStartedThem(t *testing.T) {
	Convey("the end of the context leaves the processes alone", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		gateways, err := rig.GatewayFleet{Daemon: programs.Daemon, Folder: t.TempDir(), Store: newTestbed(t).storeAddress, Zones: zones[:1], Count: 1}.Start(ctx)
		So(err, ShouldBeNil)
		defer rig.KillGateways(gateways)
		cancel()
		time.Sleep(200 * time.Millisecond)
		So(gateways[0].Running(), ShouldBeTrue)
		rig.KillGateways(gateways)
		So(gateways[0].Running(), ShouldBeFalse)
	})
}

// TestGatewaysUnderFaults checks that no request is executed twice, that a request answered with 503 was not executed,
// that more than half of the calls succeed under load with a fault, and that all calls succeed again afterwards.
func TestGatewaysUnderFaults(t *testing.T) {
	cases := map[string]struct {
		path string
		// gateways are the indexes of the gateways that receive calls.
		gateways []int
		// fault injects a fault while the load is running.
		fault func(t *testing.T, bed *testbed)
		// allComplete indicates that every call must get a complete answer.
		allComplete bool
	}{
		"no fault": {"/unsafe/a", []int{0, 1, 2, 3}, func(*testing.T, *testbed) { time.Sleep(500 * time.Millisecond) }, true},
		"gateways that own targets are killed": {"/unsafe/a", []int{0, 1}, func(_ *testing.T, bed *testbed) {
			So(bed.gateways[2].Kill(), ShouldBeNil)
			So(bed.gateways[3].Kill(), ShouldBeNil)
			time.Sleep(2 * time.Second)
		}, false},
		"a gateway is shut down gracefully": {"/stream/a", []int{0, 1, 2}, func(_ *testing.T, bed *testbed) {
			So(bed.gateways[3].Stop(time.Now().Add(10*time.Second)), ShouldBeNil)
		}, true},
		"a gateway is suspended for longer than the heartbeat timeout": {"/unsafe/a", []int{0, 1}, func(_ *testing.T, bed *testbed) {
			So(bed.gateways[2].Suspend(), ShouldBeNil)
			time.Sleep(1500 * time.Millisecond)
			So(bed.gateways[2].Resume(), ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
		}, false},
		"the store is down for one second": {"/unsafe/a", []int{0, 1, 2, 3}, func(t *testing.T, bed *testbed) {
			setOutage(t, bed.storeAddress, standin.Outage{Down: true})
			time.Sleep(time.Second)
			setOutage(t, bed.storeAddress, standin.Outage{})
			time.Sleep(500 * time.Millisecond)
		}, true},
		"the configuration changes ten times": {"/unsafe/a", []int{0, 1, 2, 3}, func(t *testing.T, bed *testbed) {
			for range 10 {
				bed.configure(t, "key")
				time.Sleep(50 * time.Millisecond)
			}
		}, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			bed := startTestbed(t)
			stop := bed.load(test.path, test.gateways...)
			time.Sleep(300 * time.Millisecond)
			test.fault(t, bed)
			outcomes := stop()
			answered := 0
			for _, result := range outcomes {
				count := bed.executions(result.id)
				So(count, ShouldBeLessThanOrEqualTo, 1)
				if result.status == http.StatusServiceUnavailable {
					So(count, ShouldEqual, 0)
				}
				if test.allComplete {
					So(result.err, ShouldBeNil)
				}
				if result.status == http.StatusOK && result.err == nil {
					So(count, ShouldEqual, 1)
					answered++
				}
			}
			So(answered, ShouldBeGreaterThan, len(outcomes)/2)
			bed.expectRecovery(t, test.path, test.gateways)
		})
	}
}

// expectRecovery waits until the gateways answer ten calls each in succession without a failure.
func (bed *testbed) expectRecovery(t *testing.T, path string, gateways []int) {
	t.Helper()
	number := 0
	eventually(t, "all calls succeed again", func() bool {
		for _, gateway := range gateways {
			for range 10 {
				number++
				if status, _, err := bed.call(gateway, path, fmt.Sprint("after-", number), "key"); err != nil || status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

// setOutage sets the faults of the stand-in store.
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

func TestGatewaysFollowPlatformRecords(t *testing.T) {
	Convey("all gateways accept a new API key and refuse the one it replaces", t, func() {
		bed := startTestbed(t)
		bed.configure(t, "new-key")
		for index := range bed.gateways {
			eventually(t, "the new key is accepted", func() bool {
				status, _, err := bed.call(index, "/safe/a", fmt.Sprint("new-", index), "new-key")
				return err == nil && status == http.StatusOK
			})
			status, _, err := bed.call(index, "/safe/a", fmt.Sprint("old-", index), "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusUnauthorized)
		}
	})
	Convey("a zone that is out of service gets no requests until it returns to service", t, func() {
		bed := startTestbed(t)
		stop := bed.load("/safe/a", 0, 1, 2, 3)
		bed.put(t, platform.OperatorTopic, "evacuate/"+zones[0], struct{}{})
		time.Sleep(time.Second)
		cutoff := time.Now()
		time.Sleep(500 * time.Millisecond)
		So(bed.lastExecution(inZone(zones[0])), ShouldHappenBefore, cutoff)
		So(bed.lastExecution(inZone(zones[1])), ShouldHappenAfter, cutoff)
		bed.put(t, platform.OperatorTopic, "evacuate/"+zones[0], nil)
		eventually(t, "the zone gets requests again", func() bool { return bed.lastExecution(inZone(zones[0])).After(cutoff) })
		stop()
	})
	Convey("a target that registers as draining gets no more requests", t, func() {
		bed := startTestbed(t)
		stop := bed.load("/safe/a", 0, 1, 2, 3)
		for _, target := range bed.targets {
			if target.zone == zones[1] {
				bed.register(t, target, platform.DrainingState)
			}
		}
		time.Sleep(time.Second)
		cutoff := time.Now()
		time.Sleep(500 * time.Millisecond)
		So(bed.lastExecution(inZone(zones[1])), ShouldHappenBefore, cutoff)
		stop()
	})
}
