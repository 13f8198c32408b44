package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
)

// fragileTarget is a target that crashes whenever it begins to answer a request with one of some parts in its prompt. A
// crash breaks all of its connections, and it is down for a while.
type fragileTarget struct {
	name, pool, zone, address string
	// crashing are the parts that crash it.
	crashing []string
	crash    chan struct{}
	// slowExitFrom is the number of crashes from which on the listener of a target that crashes closes only slowExitTime after
	// its connections, as that of a process on a busy machine; zero if it never does.
	slowExitFrom int

	mutex sync.Mutex
	// arrivals are the times at which requests with each crashing part arrived, and crashes the times of crashes.
	arrivals map[string][]time.Time
	crashes  []time.Time
	// connections are those that were accepted and have not been closed.
	connections map[net.Conn]bool
}

const (
	fragileDownTime   = 1500 * time.Millisecond
	fragileFirstEvent = 40 * time.Millisecond
	fragileEvents     = 5
	slowExitTime      = 150 * time.Millisecond
)

// Run serves until the context ends; it registers each incarnation of the target.
func (target *fragileTarget) Run(ctx context.Context, t *testing.T, bed *testbed) {
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			t.Error(err)
			return
		}
		bed.put(t, platform.TargetTopic, target.name, platform.TargetDocument{
			Service: target.pool, Address: target.address, Zone: target.zone, Version: "v1", Slots: 64, State: platform.ReadyState, Born: uint64(time.Now().UnixMilli()),
		})
		server := &http.Server{Handler: target, ReadHeaderTimeout: time.Second, ConnState: target.track}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(listener)
		}()
		select {
		case <-target.crash:
		case <-ctx.Done():
		}
		if target.exitsSlowly() {
			target.breakConnections()
			coltsfootlink.Sleep(ctx, slowExitTime)
		}
		_ = server.Close()
		<-served
		coltsfootlink.Sleep(ctx, fragileDownTime)
	}
}

// track keeps connections up to date.
func (target *fragileTarget) track(connection net.Conn, state http.ConnState) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	switch state {
	case http.StateNew:
		target.connections[connection] = true
	case http.StateClosed, http.StateHijacked:
		delete(target.connections, connection)
	}
}

// exitsSlowly reports whether the listener outlives the connections in the newest crash.
func (target *fragileTarget) exitsSlowly() bool {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.slowExitFrom > 0 && len(target.crashes) >= target.slowExitFrom
}

// breakConnections closes all connections that are open.
func (target *fragileTarget) breakConnections() {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	for connection := range target.connections {
		_ = connection.Close()
	}
}

// ServeHTTP sends the head of an answer, and then either crashes the target or streams events.
func (target *fragileTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Attempt-Id")
	writer.Header().Set("Attempt-Id", id)
	writer.Header().Set("Answer-Stamp", "stamp-"+id)
	writer.Header().Set("Content-Type", platform.EventStream)
	parts := strings.Split(request.Header.Get("Prompt-Prefix"), ",")
	crashing := ""
	for _, part := range target.crashing {
		if slices.Contains(parts, part+":10") {
			crashing = part
			target.mutex.Lock()
			target.arrivals[part] = append(target.arrivals[part], time.Now())
			target.mutex.Unlock()
		}
	}
	control := http.NewResponseController(writer)
	_ = control.Flush()
	time.Sleep(fragileFirstEvent)
	if crashing != "" {
		target.mutex.Lock()
		target.crashes = append(target.crashes, time.Now())
		target.mutex.Unlock()
		select {
		case target.crash <- struct{}{}:
		default:
		}
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for event := range fragileEvents {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", event)
		_ = control.Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// startFragileTestbed starts four gateways in two zones before six fragile targets, which the pools take in turn. Streams are
// divided among the pools.
func startFragileTestbed(t *testing.T, crashing []string, slowExitFrom int, pools ...string) (*testbed, []*fragileTarget) {
	t.Helper()
	bed := newTestbed(t)
	bed.configureSplit(t, "key", pools)
	var targets []*fragileTarget
	for index := range 6 {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		target := &fragileTarget{name: fmt.Sprint("t-", index), pool: pools[index/2%len(pools)], zone: zones[index%2], address: address, crashing: crashing, slowExitFrom: slowExitFrom, crash: make(chan struct{}, 1), arrivals: make(map[string][]time.Time), connections: make(map[net.Conn]bool)}
		ctx := t.Context()
		go target.Run(ctx, t, bed)
		targets = append(targets, target)
	}
	fleet := rig.GatewayFleet{Zones: zones[:2], Daemon: programs.Daemon, Folder: t.TempDir(), Store: bed.storeAddress, Count: 4}
	gateways, err := fleet.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	bed.gateways = gateways
	t.Cleanup(func() { rig.KillGateways(gateways) })
	eventually(t, "all gateways serve", func() bool {
		for index := range gateways {
			if status, _, err := bed.callWithPrompt(index, fmt.Sprint("first-", index), "c:10,x:10,o:10"); status != http.StatusOK || err != nil {
				return false
			}
		}
		return true
	})
	return bed, targets
}

// callWithPrompt sends a request for a stream with the given parts in its prompt.
func (bed *testbed) callWithPrompt(gateway int, id, parts string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+bed.gateways[gateway].Callers+"/stream/a", strings.NewReader("plan "+id))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "4000")
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Counts", "40,20")
	request.Header.Set("Prompt-Prefix", parts)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// bars returns the bars of a gateway as an operator sees them; nil if it does not answer.
func bars(gateway *rig.Gateway) [][]string {
	output, err := exec.Command(programs.Client, "--peer", gateway.Peers, "--json", "show bars").Output()
	var answer struct {
		Rows [][]string `json:"rows"`
	}
	if err != nil || json.Unmarshal(output, &answer) != nil {
		return nil
	}
	return answer.Rows
}

const (
	// lateAfter, countedCrashes and mostLate are the bound that the users state: at most mostLate requests with a part that crashes targets
	// reach targets later than lateAfter after the fifth crash.
	lateAfter      = 3 * time.Second
	countedCrashes = 5
	mostLate       = 3
)

// lateArrivals returns the number of requests with a part that reached targets too late, and of all with the part.
func lateArrivals(targets []*fragileTarget, part string) (late, all int) {
	var arrivals []time.Time
	for _, target := range targets {
		target.mutex.Lock()
		arrivals = append(arrivals, target.arrivals[part]...)
		target.mutex.Unlock()
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	for _, at := range arrivals {
		if len(arrivals) > countedCrashes && at.After(arrivals[countedCrashes-1].Add(lateAfter)) {
			late++
		}
	}
	return late, len(arrivals)
}

func TestPromptPartsThatCrashTargetsStopReachingThem(t *testing.T) {
	const (
		duration = 12 * time.Second
		interval = 60 * time.Millisecond
	)
	cases := map[string]struct {
		crashing []string
		// prompts returns the parts of the crashing request of a number.
		prompts func(number int) string
	}{
		"one part":             {[]string{"d"}, func(number int) string { return fmt.Sprintf("c:10,d:10,own%d:10", number) }},
		"behind another start": {[]string{"d"}, func(number int) string { return fmt.Sprintf("c%d:10,d:10,own%d:10", number%7, number) }},
		"behind two starts":    {[]string{"d"}, func(number int) string { return fmt.Sprintf("c%d:10,d:10,own%d:10", number%2, number) }},
		"two parts at once":    {[]string{"d", "e"}, func(number int) string { return fmt.Sprintf("c:10,%c:10,own%d:10", 'd'+rune(number%2), number) }},
	}
	for name, test := range cases {
		Convey("requests whose prompts crash targets are held back, and sound ones beside them served: "+name, t, func() {
			bed, targets := startFragileTestbed(t, test.crashing, 0, "p")
			var served, asked int
			var mutex sync.Mutex
			var group sync.WaitGroup
			begun := time.Now()
			for number := 0; time.Since(begun) < duration; number++ {
				if number%4 == 0 {
					group.Go(func() {
						_, _, _ = bed.callWithPrompt(number/4%4, fmt.Sprint("crashing-", number), test.prompts(number/4))
					})
				}
				group.Go(func() {
					status, _, err := bed.callWithPrompt(number%4, fmt.Sprint("sound-", number), fmt.Sprintf("c:10,x%d:10,own-%d:10", number%20, number))
					mutex.Lock()
					defer mutex.Unlock()
					if time.Since(begun) > duration-2*time.Second {
						asked++
						if status == http.StatusOK && err == nil {
							served++
						}
					}
				})
				time.Sleep(interval)
			}
			group.Wait()
			for _, part := range test.crashing {
				late, _ := lateArrivals(targets, part)
				So(late, ShouldBeLessThanOrEqualTo, mostLate)
			}
			So(asked, ShouldBeGreaterThan, 20)
			So(served, ShouldBeGreaterThan, asked*3/4)
			for _, gateway := range bed.gateways {
				So(bars(gateway), ShouldHaveLength, len(test.crashing))
			}
			for _, bar := range bars(bed.gateways[0]) {
				So(exec.Command(programs.Client, "--peer", bed.gateways[0].Peers, `lift bar "`+bar[1]+`" in pool `+bar[0]).Run(), ShouldBeNil)
			}
			eventually(t, "all gateways let the prompts through again", func() bool {
				return !slices.ContainsFunc(bed.gateways, func(gateway *rig.Gateway) bool { return len(bars(gateway)) > 0 })
			})
		})
	}
}

// Guards against trials of a barred part that go on every five seconds as long as their crashes are not noticed.
func TestProbesOfCrashingPartsAreBoundedOverALongRun(t *testing.T) {
	const (
		duration = 45 * time.Second
		interval = 100 * time.Millisecond
		// learnTime is the time from the first request on after which at least half of the sound requests have to be answered.
		learnTime = 2 * lateAfter
	)
	cases := map[string]struct {
		// slowExitFrom is the crash of a target from which on it exits slowly.
		slowExitFrom int
		// soundGateways is the number of gateways that get sound requests.
		soundGateways int
		// atOnce is the number of gateways that get a crashing request at the same moment.
		atOnce int
		// pools are those among which the requests are divided.
		pools []string
		// prompts returns the parts of the crashing request of a number.
		prompts func(number int) string
		// kills is how often all gateways are killed at once, at even intervals.
		kills int
	}{
		"processes that exit slowly after a while": {2, 4, 1, []string{"p"}, func(number int) string { return fmt.Sprintf("c:10,d:10,own%d:10", number) }, 0},
		"gateways that have seen different answers": {0, 1, 4, []string{"p"}, func(number int) string {
			return fmt.Sprintf("c:10,d:10,x%d:10,own%d:10", number%3, number)
		}, 0},
		"a route that is divided among pools": {0, 4, 1, []string{"p", "q", "r"}, func(number int) string { return fmt.Sprintf("c:10,d:10,own%d:10", number) }, 0},
		"all gateways are killed four times":  {0, 4, 1, []string{"p"}, func(number int) string { return fmt.Sprintf("c:10,d:10,own%d:10", number) }, 4},
	}
	Convey("few requests whose prompts crash targets reach them late", t, func() {
		plays := make(map[string]*probePlay)
		for name, test := range cases {
			bed, targets := startFragileTestbed(t, []string{"d"}, test.slowExitFrom, test.pools...)
			plays[name] = &probePlay{bed: bed, targets: targets, soundGateways: test.soundGateways, atOnce: test.atOnce, prompts: test.prompts, kills: test.kills}
		}
		var group sync.WaitGroup
		for _, play := range plays {
			group.Go(func() { play.run(duration, interval, learnTime) })
			group.Go(func() { play.killAll(t, duration/time.Duration(play.kills+1)) })
		}
		group.Wait()
		for name, play := range plays {
			late, all := lateArrivals(play.targets, "d")
			asked, served := play.asked.Load(), play.served.Load()
			t.Logf("%s: %d requests with the part reached targets, %d of them late; %d of %d sound ones answered", name, all, late, served, asked)
			So(late, ShouldBeLessThanOrEqualTo, mostLate)
			So(asked, ShouldBeGreaterThan, 20)
			So(2*served, ShouldBeGreaterThan, asked)
		}
	})
}

// probePlay sends crashing and sound requests to a testbed of its own, beside other plays.
type probePlay struct {
	bed     *testbed
	targets []*fragileTarget
	// soundGateways and atOnce are the numbers of gateways that get sound requests, and crashing ones at the same moment.
	soundGateways, atOnce int
	// prompts returns the parts of the crashing request of a number.
	prompts func(number int) string
	// kills is how often all gateways are killed at once.
	kills int
	// asked counts the sound requests after the learning time, and served those among them that were answered.
	asked, served atomic.Int64
}

// killAll kills all gateways at once and starts them again, after each interval.
func (play *probePlay) killAll(t *testing.T, interval time.Duration) {
	for range play.kills {
		time.Sleep(interval)
		rig.KillGateways(play.bed.gateways)
		for _, gateway := range play.bed.gateways {
			if err := gateway.Start(); err != nil {
				t.Error(err)
			}
		}
	}
}

// run sends requests for the duration and waits for their answers.
func (play *probePlay) run(duration, interval, learnTime time.Duration) {
	var group sync.WaitGroup
	begun := time.Now()
	for number := 0; time.Since(begun) < duration; number++ {
		for other := range play.atOnce {
			group.Go(func() {
				_, _, _ = play.bed.callWithPrompt((number+other)%4, fmt.Sprint("crashing-", number, "-", other), play.prompts(number))
			})
		}
		group.Go(func() {
			status, _, err := play.bed.callWithPrompt(number%play.soundGateways, fmt.Sprint("sound-", number), fmt.Sprintf("c:10,x%d:10,own-%d:10", number%20, number))
			if time.Since(begun) <= learnTime {
				return
			}
			play.asked.Add(1)
			if status == http.StatusOK && err == nil {
				play.served.Add(1)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
}
