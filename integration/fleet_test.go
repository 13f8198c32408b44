package integration

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootlink"
	// The tests build the daemon and run it as separate processes. With this import go test sees the daemon as a
	// dependency, so that it does not reuse a cached result after the daemon has changed.
	_ "coltsfootlink/node"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

const (
	// waitTimeout limits how long a test waits for a condition, and is the deadline of its calls unless they set another.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

var (
	programs rig.Programs
	zones    = []string{"a", "b", "c"}
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs, err = rig.Build(context.Background(), folder, strings.Fields(os.Getenv("COLTSFOOT_BUILD_FLAGS"))...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet starts a fleet and waits until it has settled: eight instances in three zones and fifteen targets, with
// fault proxies on their connections. The changes adapt this plan.
func startFleet(t *testing.T, changes ...func(*rig.Plan)) *rig.Fleet {
	t.Helper()
	plan := rig.Plan{
		Programs: programs, Folder: t.TempDir(), Zones: zones, Instances: 8, Proxied: true,
		Configuration: configuration(), Targets: planTargets(4, 1),
	}
	for _, change := range changes {
		change(&plan)
	}
	fleet, err := rig.Start(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	waitSettled(t, fleet)
	return fleet
}

// waitSettled waits until every running instance sees all running instances as live, and every target has an owner.
func waitSettled(t *testing.T, fleet *rig.Fleet) {
	t.Helper()
	eventually(t, "all instances see each other as live", func() bool {
		answer, err := fleet.RunStatement(t.Context(), fleet.Running()[0], "show instances where state = live")
		count := len(fleet.Running())
		return err == nil && len(answer.Missing) == 0 && len(answer.Rows) == count*count
	})
	eventually(t, "all targets have an owner", func() bool {
		answer, err := fleet.RunStatement(t.Context(), fleet.Running()[0], "show targets where state = live")
		return err == nil && len(answer.Rows) == len(fleet.Plan.Targets)
	})
}

// planTargets returns the given numbers of engines and plain targets for each zone.
func planTargets(engines, plains int) []standin.SceneTarget {
	var all []standin.SceneTarget
	for _, zone := range zones {
		for number := range engines {
			all = append(all, standin.SceneTarget{
				Name: fmt.Sprintf("engine-%s-%d", zone, number+1), Pool: "assistant", Kind: string(coltsfootlink.EnginePool), Zone: zone,
				Version: "v1", Cold: 2, Warm: 4, WarmUpMillis: 500, TokensPerSecond: 1000, FirstTokenMillis: 5, ColdFirstTokenMillis: 20,
			})
		}
		for number := range plains {
			all = append(all, standin.SceneTarget{
				Name: fmt.Sprintf("plain-%s-%d", zone, number+1), Pool: "desk", Kind: string(coltsfootlink.PlainPool), Zone: zone,
				Version: "v1", Cold: 8, Warm: 8,
			})
		}
	}
	return all
}

// configuration returns a configuration with two teams, the engine pool "assistant" and the plain pool "desk".
func configuration() coltsfootlink.Configuration {
	config := coltsfootlink.Configuration{}
	for _, zone := range zones {
		config = config.WithZone(coltsfootlink.AvailabilityZone{Name: coltsfootlink.ZoneName(zone)})
	}
	for _, team := range []string{"carpenters", "sawmills"} {
		config = config.WithTeam(coltsfootlink.Team{Name: coltsfootlink.TeamName(team), Weight: 1}.WithToken(team))
	}
	pool := coltsfootlink.Pool{
		Name: "assistant", Kind: coltsfootlink.EnginePool, ColdLimit: 2, MaxLimit: 4, GrowthPerSecond: 3, MaxBodyBytes: 4096,
		QueuePerTeam: 64, ShardsPerZone: 1, MaxCost: 400, EndMarker: standin.EndMarker,
	}
	config = config.WithPool(pool.WithRoute(coltsfootlink.Route{Path: "layout", Class: coltsfootlink.Bulk, Repeatable: true}))
	pool = coltsfootlink.Pool{
		Name: "desk", Kind: coltsfootlink.PlainPool, ColdLimit: 8, MaxLimit: 8, GrowthPerSecond: 3, MaxBodyBytes: 4096,
		QueuePerTeam: 64, ShardsPerZone: 1, MaxCost: 400,
	}
	pool = pool.WithRoute(coltsfootlink.Route{Path: "lumber", Class: coltsfootlink.Interactive, Repeatable: true})
	return config.WithPool(pool.WithRoute(coltsfootlink.Route{Path: "pickup", Class: coltsfootlink.Interactive}))
}

// layoutCall returns a repeatable request to the engines, with a cost in tokens.
func layoutCall(instance *rig.Instance, serial string, cost float64) rig.Call {
	return rig.Call{
		Instance: instance, Token: "carpenters", Pool: "assistant", Route: "layout", Deadline: time.Now().Add(waitTimeout),
		Work: standin.Work{Serial: serial, Team: "carpenters", Cost: cost},
	}
}

// pickupCall returns a non-repeatable request with an idempotency key, which
// runs on its target for the given number of milliseconds.
func pickupCall(instance *rig.Instance, key string, millis float64) rig.Call {
	return rig.Call{
		Instance: instance, Token: "sawmills", Pool: "desk", Route: "pickup", Key: key, Deadline: time.Now().Add(waitTimeout),
		Work: standin.Work{Serial: key, Team: "sawmills", Cost: millis},
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// executions returns how often the targets have started the request with this key.
func executions(ctx context.Context, fleet *rig.Fleet, key string) int {
	count := 0
	for _, target := range fleet.Stats(ctx) {
		count += target.Runs[key]
	}
	return count
}

// startedInZone returns the number of requests that the targets of a zone have started.
func startedInZone(ctx context.Context, fleet *rig.Fleet, zone string) int {
	count := 0
	for _, target := range fleet.Stats(ctx) {
		if zoneOf(target.Target) == zone {
			count += target.Started
		}
	}
	return count
}

// zoneOf returns the zone in a target's name, which has the form KIND-ZONE-NUMBER with a number of one digit.
func zoneOf(target string) string { return target[len(target)-3 : len(target)-2] }

// overAdmission returns the highest ratio of running requests to capacity that any target has had.
func overAdmission(ctx context.Context, fleet *rig.Fleet) float64 {
	highest := 0.0
	for _, target := range fleet.Stats(ctx) {
		highest = max(highest, target.OverAdmission)
	}
	return highest
}

// eventually polls a condition until it holds, and fails the test after waitTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for this condition: %s", condition)
}

// runCallers starts a number of callers, each of which sends one call after the other. The returned function stops them
// and returns their results.
func runCallers(t *testing.T, callers int, call func(caller, count int) rig.Result) func() []rig.Result {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan []rig.Result, callers)
	for caller := range callers {
		go func() {
			var callerResults []rig.Result
			for count := 0; ctx.Err() == nil; count++ {
				callerResults = append(callerResults, call(caller, count))
			}
			results <- callerResults
		}()
	}
	return func() []rig.Result {
		cancel()
		var all []rig.Result
		for range callers {
			all = append(all, <-results...)
		}
		return all
	}
}
