package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

const (
	// gatewayZones is the number of availability zones of a measured fleet of gateways.
	gatewayZones = 5
	// targetsPerGateway is the number of engines for each gateway.
	targetsPerGateway = 0.6
	// gatewayTeams is the number of teams that call, and gatewayRequestsPerSecond the load for each gateway.
	gatewayTeams             = 60
	gatewayRequestsPerSecond = 8
	// keepaliveInterval is the time in which each engine writes its record once.
	keepaliveInterval = 1200 * time.Millisecond
	// startFleetDuration is how long the start of a fleet is measured, and idleFleetDuration and busyFleetDuration how long it is
	// measured without and with load.
	startFleetDuration = 8 * time.Second
	idleFleetDuration  = 10 * time.Second
	busyFleetDuration  = 15 * time.Second
	// fleetEngineSlots is the number of requests that an engine runs at a time.
	fleetEngineSlots = 64
)

// gatewaySizes are the numbers of gateways that are measured.
var gatewaySizes = []int{8, 31, 71, 195}

// gatewayPoint is the resource use of a fleet of gateways, as means of its instances.
type gatewayPoint struct {
	gateways, targets int
	// startSeconds is the processor time that an instance uses for its start.
	startSeconds float64
	// idleCores and busyCores are the cores that an instance uses without and with load, and megabytes its resident memory
	// with load.
	idleCores, busyCores, megabytes float64
	// served is the share of the requests that were answered with success.
	served float64
}

// String formats the point as a row of the table.
func (point gatewayPoint) String() string {
	return fmt.Sprintf("%8d %7d %8.3f %10.2f %10.2f %6.1f %6.3f", point.gateways, point.targets, point.startSeconds, 100*point.idleCores, 100*point.busyCores, point.megabytes, point.served)
}

// gateways measures what an instance uses at one size of the fleet, or at several if that is zero. If a folder is given, it
// writes profiles of the first instance there.
func (bench *benchmark) gateways(ctx context.Context, only int, profiles string) error {
	sizes := gatewaySizes
	switch {
	case only > 0:
		sizes = []int{only}
	case bench.short:
		sizes = sizes[:2]
	}
	fmt.Println("gateways targets start-s idle-core-% busy-core-% busy-MB served")
	for _, size := range sizes {
		point, err := bench.measureGateways(ctx, size, profiles)
		if err != nil {
			return err
		}
		fmt.Println(point)
	}
	return nil
}

// gatewayDay returns a day of steady load on a fleet of gateways.
func gatewayDay(gateways int) (dayPlan, error) {
	day, err := readDay("")
	if err != nil {
		return day, err
	}
	day.Name, day.Gateways, day.Teams = "gateways", gateways, gatewayTeams
	day.Engines = max(2, int(targetsPerGateway*float64(gateways)))
	day.Engine.Slots = fleetEngineSlots
	day.TokensPerSecond = float64(gateways) * gatewayRequestsPerSecond * 20_000
	return day, nil
}

// measureGateways starts a fleet and measures its start, then without load, then with load.
func (bench *benchmark) measureGateways(ctx context.Context, size int, profiles string) (gatewayPoint, error) {
	point := gatewayPoint{gateways: size}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	day, err := gatewayDay(size)
	if err != nil {
		return point, err
	}
	engines, err := startEngines(ctx, day)
	if err != nil {
		return point, err
	}
	point.targets = len(engines)
	address, err := loopback.FreeAddress()
	if err != nil {
		return point, err
	}
	store := standin.NewStore(0)
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: address, Store: store}).Run(ctx) }()
	client := platform.NewStore("http://" + address)
	if err := day.publish(ctx, client, inForce, nil); err != nil {
		return point, err
	}
	go day.keepRegistered(ctx, store, engines)
	folder, err := bench.fleetFolder()
	if err != nil {
		return point, err
	}
	fleet := rig.GatewayFleet{Daemon: bench.programs.Daemon, Folder: folder, Store: address, Zones: zoneNames(gatewayZones), Count: size, Profiling: true}
	gateways, err := fleet.Start(ctx)
	if err != nil {
		return point, err
	}
	defer rig.KillGateways(gateways)
	coltsfootlink.Sleep(ctx, startFleetDuration)
	if point.startSeconds, point.megabytes, err = meanGatewayUse(gateways); err != nil {
		return point, err
	}
	if point.idleCores, err = coresUsed(ctx, gateways, idleFleetDuration, profilePath(profiles, "idle", size)); err != nil {
		return point, err
	}
	results := make(chan []callResult, 1)
	go func() {
		var balancer roundRobinGateways
		for _, gateway := range gateways {
			balancer = append(balancer, gateway.Callers)
		}
		results <- day.replay(ctx, day.steadyArrivals(bench.seed, float64(size)*gatewayRequestsPerSecond, busyFleetDuration+2*time.Second), balancer)
	}()
	coltsfootlink.Sleep(ctx, time.Second)
	if point.busyCores, err = coresUsed(ctx, gateways, busyFleetDuration, profilePath(profiles, "busy", size)); err != nil {
		return point, err
	}
	_, point.megabytes, err = meanGatewayUse(gateways)
	point.served = servedShare(<-results)
	return point, err
}

// keepRegistered writes the record of each engine once in every keepaliveInterval until the context ends.
func (day dayPlan) keepRegistered(ctx context.Context, store *standin.Store, engines []*standin.Engine) {
	for {
		for index, engine := range engines {
			document := platform.TargetDocument{
				Service: dayPool, Address: engine.Address, Zone: zoneNames(gatewayZones)[index%gatewayZones], Version: "v1", Slots: day.Engine.Slots, State: platform.ReadyState,
			}
			// Encoding a document of this program cannot fail.
			value, _ := json.Marshal(document)
			_, err := store.Append(ctx, platform.TargetTopic, platform.EncodeKeyed(engine.Name, value))
			if err != nil || !coltsfootlink.Sleep(ctx, keepaliveInterval/time.Duration(len(engines))) {
				return
			}
		}
	}
}

// zoneNames returns the names of the first availability zones.
func zoneNames(count int) []string {
	var names []string
	for index := range count {
		names = append(names, fmt.Sprint("zone-", index))
	}
	return names
}

// steadyArrivals returns requests at a constant rate.
func (day dayPlan) steadyArrivals(seed uint64, perSecond float64, duration time.Duration) []arrival {
	drawn := day.arrivals(seed)
	var arrivals []arrival
	for number := range int(perSecond * duration.Seconds()) {
		next := drawn[number%len(drawn)]
		next.at = time.Duration(float64(number) / perSecond * float64(time.Second))
		arrivals = append(arrivals, next)
	}
	return arrivals
}

func servedShare(results []callResult) float64 {
	served := 0
	for _, result := range results {
		if result.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, len(results)))
}

// meanGatewayUse returns the processor time in seconds that an instance has used since its start, and its resident memory.
func meanGatewayUse(gateways []*rig.Gateway) (seconds, megabytes float64, err error) {
	for _, gateway := range gateways {
		cpu, err := gateway.CPUSeconds()
		if err != nil {
			return 0, 0, err
		}
		resident, err := gateway.ResidentBytes()
		if err != nil {
			return 0, 0, err
		}
		seconds += cpu
		megabytes += float64(resident) / megabyte
	}
	count := float64(len(gateways))
	return seconds / count, megabytes / count, nil
}

// coresUsed returns the cores that an instance uses during a time span. It writes a profile of the first instance to a file
// unless the path is empty.
func coresUsed(ctx context.Context, gateways []*rig.Gateway, duration time.Duration, profile string) (float64, error) {
	before, _, err := meanGatewayUse(gateways)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if profile != "" {
		if err := writeProfile(ctx, gateways[0].Metrics, duration, profile); err != nil {
			return 0, err
		}
	}
	coltsfootlink.Sleep(ctx, time.Until(started.Add(duration)))
	after, _, err := meanGatewayUse(gateways)
	return (after - before) / time.Since(started).Seconds(), err
}

// profilePath returns the path of a profile in a folder; empty if there is no folder.
func profilePath(folder, name string, size int) string {
	if folder == "" {
		return ""
	}
	return filepath.Join(folder, fmt.Sprintf("%s-%d.pprof", name, size))
}

// writeProfile writes a profile of the processor time of an instance to a file.
func writeProfile(ctx context.Context, metrics string, duration time.Duration, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", metrics, int(duration.Seconds())), nil)
	if err != nil {
		return errors.Wrap(err, "surge: profile")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "surge: profile")
	}
	defer func() { _ = response.Body.Close() }()
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "surge: profile")
	}
	if _, err := io.Copy(file, response.Body); err != nil {
		return errors.Wrap(err, "surge: profile")
	}
	return errors.Wrap(file.Close(), "surge: profile")
}
