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
	// The processes are built by the tests; with this import a change of the daemon makes old results void.
	_ "coltsfootlink/node"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

const (
	// patience is how long a test waits for something that has to come.
	patience = 30 * time.Second
	// glance is the time between two looks.
	glance = 20 * time.Millisecond
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

// startFleet starts eight instances over three zones before fifteen targets, behind proxies.
func startFleet(t *testing.T, change ...func(*rig.Plan)) *rig.Fleet {
	t.Helper()
	plan := rig.Plan{
		Programs: programs, Folder: t.TempDir(), Zones: zones, Instances: 8, Proxied: true,
		Configuration: configuration(), Targets: targets(4, 1),
	}
	for _, adapt := range change {
		adapt(&plan)
	}
	fleet, err := rig.Start(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	settle(t, fleet)
	return fleet
}

// settle waits until all instances see each other.
func settle(t *testing.T, fleet *rig.Fleet) {
	t.Helper()
	eventually(t, "all instances see each other", func() bool {
		answer, err := fleet.RunStatement(t.Context(), fleet.Running()[0], "show instances where state = live")
		count := len(fleet.Running())
		return err == nil && len(answer.Missing) == 0 && len(answer.Rows) == count*count
	})
	eventually(t, "all targets are owned", func() bool {
		answer, err := fleet.RunStatement(t.Context(), fleet.Running()[0], "show targets where state = live")
		return err == nil && len(answer.Rows) == len(fleet.Plan.Targets)
	})
}

func targets(engines, plains int) []standin.SceneTarget {
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

func configuration() coltsfootlink.Configuration {
	fleet := coltsfootlink.Configuration{}
	for _, zone := range zones {
		fleet = fleet.WithZone(coltsfootlink.AvailabilityZone{Name: coltsfootlink.ZoneName(zone)})
	}
	for _, team := range []string{"carpenters", "sawmills"} {
		fleet = fleet.WithTeam(coltsfootlink.Team{Name: coltsfootlink.TeamName(team), Weight: 1}.WithToken(team))
	}
	pool := coltsfootlink.Pool{
		Name: "assistant", Kind: coltsfootlink.EnginePool, ColdLimit: 2, MaxLimit: 4, GrowthPerSecond: 3, MaxBodyBytes: 4096,
		QueuePerTeam: 64, ShardsPerZone: 1, MaxCost: 400, EndMarker: standin.EndMarker,
	}
	fleet = fleet.WithPool(pool.WithRoute(coltsfootlink.Route{Path: "layout", Class: coltsfootlink.Bulk, Repeatable: true}))
	pool = coltsfootlink.Pool{
		Name: "desk", Kind: coltsfootlink.PlainPool, ColdLimit: 8, MaxLimit: 8, GrowthPerSecond: 3, MaxBodyBytes: 4096,
		QueuePerTeam: 64, ShardsPerZone: 1, MaxCost: 400,
	}
	pool = pool.WithRoute(coltsfootlink.Route{Path: "lumber", Class: coltsfootlink.Interactive, Repeatable: true})
	return fleet.WithPool(pool.WithRoute(coltsfootlink.Route{Path: "pickup", Class: coltsfootlink.Interactive}))
}

// layout is a call to the engines.
func layout(instance *rig.Instance, serial string, cost float64) rig.Call {
	return rig.Call{
		Instance: instance, Token: "carpenters", Pool: "assistant", Route: "layout", Deadline: time.Now().Add(patience),
		Work: standin.Work{Serial: serial, Team: "carpenters", Cost: cost},
	}
}

// pickup is a call that may not be repeated.
func pickup(instance *rig.Instance, key string, millis float64) rig.Call {
	return rig.Call{
		Instance: instance, Token: "sawmills", Pool: "desk", Route: "pickup", Key: key, Deadline: time.Now().Add(patience),
		Work: standin.Work{Serial: key, Team: "sawmills", Cost: millis},
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runs returns how often targets have started a request.
func runs(ctx context.Context, fleet *rig.Fleet, key string) int {
	count := 0
	for _, target := range fleet.Stats(ctx) {
		count += target.Runs[key]
	}
	return count
}

// started returns the requests that the targets of a zone have started.
func started(ctx context.Context, fleet *rig.Fleet, zone string) int {
	count := 0
	for _, target := range fleet.Stats(ctx) {
		if zoneOf(target.Target) == zone {
			count += target.Started
		}
	}
	return count
}

// zoneOf returns the zone in a target's name.
func zoneOf(target string) string { return target[len(target)-3 : len(target)-2] }

// overAdmission returns the most requests on a target, over what it could bear.
func overAdmission(ctx context.Context, fleet *rig.Fleet) float64 {
	most := 0.0
	for _, target := range fleet.Stats(ctx) {
		most = max(most, target.OverAdmission)
	}
	return most
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for giveUpAt := time.Now().Add(patience); time.Now().Before(giveUpAt); time.Sleep(glance) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// inBackground makes calls from several callers until stop is called; stop returns the results.
func inBackground(t *testing.T, callers int, call func(caller, count int) rig.Result) func() []rig.Result {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan []rig.Result, callers)
	for caller := range callers {
		go func() {
			var mine []rig.Result
			for count := 0; ctx.Err() == nil; count++ {
				mine = append(mine, call(caller, count))
			}
			results <- mine
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
