package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
)

const (
	// daySettle is the time from the gateways' start to the day's: owners ask engines for their reports first.
	daySettle = 2 * time.Second
	// dayHost is the host that callers name, dayPool the pool of all engines, dayConnections what each accepts, and
	// dayBodyBytes the largest body of a request.
	dayHost        = "day"
	dayPool        = "models"
	dayConnections = 1000
	dayBodyBytes   = 1 << 20
	// plotWidth and plotHeight are the size of a plot.
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// admitAll lets owners refuse nothing but what engines have no slot or memory for.
const admitAll = `
[admission]
objective-share = 1000
large-share = 1000
`

// overload plays a day with each of its policies and says how they compare.
func (measuring *bench) overload(ctx context.Context, file, plots string) ([]outcomes, error) {
	played, err := readDay(file)
	if err != nil {
		return nil, err
	}
	arrivals := played.arrivals(measuring.seed)
	var compared []outcomes
	for _, policy := range played.Policies {
		_, _ = fmt.Fprintf(messages, "surge: %s, %s: %d requests\n", played.Name, policy, len(arrivals))
		sum, err := measuring.playPolicy(ctx, played, policy, arrivals)
		if err != nil {
			return nil, err
		}
		compared = append(compared, sum)
	}
	if plots != "" {
		return compared, plotDay(played, compared, plots)
	}
	return compared, nil
}

// playPolicy plays a day on engines, and gateways if the policy has them, of its own.
func (measuring *bench) playPolicy(ctx context.Context, played day, policy string, arrivals []arrival) (outcomes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engines, err := startEngines(ctx, played)
	if err != nil {
		return outcomes{}, err
	}
	aimed, err := measuring.aimAt(ctx, played, policy, engines)
	if err != nil {
		return outcomes{}, err
	}
	sum := played.add(policy, played.play(ctx, arrivals, aimed))
	for _, served := range engines {
		reading := served.Stats(ctx)
		sum.ReadTokens += reading.ReadTokens
		sum.FoundTokens += reading.CachedTokens
	}
	return sum, ctx.Err()
}

func startEngines(ctx context.Context, played day) ([]*standin.Engine, error) {
	var engines []*standin.Engine
	for number := range played.Engines {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		served := standin.NewEngine(fmt.Sprint("e-", number), address, played.traits(), played.Engine.Queue)
		go func() {
			if err := served.Run(ctx); err != nil {
				_, _ = fmt.Fprintln(messages, "surge:", err)
			}
		}()
		engines = append(engines, served)
	}
	return engines, nil
}

// aimAt starts what a policy needs before the engines.
func (measuring *bench) aimAt(ctx context.Context, played day, policy string, engines []*standin.Engine) (aim, error) {
	if policy == leastLoaded {
		return &leastLoadedAim{engines: engines, running: make([]atomic.Int64, len(engines))}, nil
	}
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	store := standin.NewStore(0)
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: address, Store: store}).Run(ctx) }()
	if err := played.publish(ctx, platform.NewStore("http://"+address), policy, engines); err != nil {
		return nil, err
	}
	folder, err := measuring.fleetFolder()
	if err != nil {
		return nil, err
	}
	fleet := rig.GatewayFleet{Daemon: measuring.programs.Daemon, Folder: folder, Store: address, Zones: zones[:1], Count: played.Gateways}
	if policy == affinityOnly {
		fleet.ExtraSettings = admitAll
	}
	gateways, err := fleet.Start(ctx)
	if err != nil {
		return nil, err
	}
	var aimed gatewayAim
	for _, gateway := range gateways {
		aimed = append(aimed, gateway.Callers)
	}
	coltsfootlink.Sleep(ctx, daySettle)
	return aimed, nil
}

// publish writes the configuration and the engines' entries into the store.
func (read day) publish(ctx context.Context, store *platform.Store, policy string, engines []*standin.Engine) error {
	var routes []standin.TableRoute
	for _, one := range read.Classes {
		routes = append(routes, standin.TableRoute{
			Name: one.Name, Kind: "streaming", Service: dayPool, Attempts: 1,
			TimeoutMillis: int64(one.TimeoutMillis), ObjectiveMillis: int64(one.ObjectiveMillis),
		})
	}
	keys := make(map[string][]string)
	for team := range read.Teams {
		keys[dayTeam(team)] = []string{dayTeam(team)}
	}
	promised := 0.0
	if policy == inForce {
		promised = read.TokensPerSecond
	}
	table := standin.Table{
		Version: 1, Host: dayHost, Routes: routes, Keys: keys, MaxBodyBytes: dayBodyBytes, TokensPerSecond: promised,
		Services: []standin.TableService{{Name: dayPool, ConnectionLimit: dayConnections, MemoryTokens: read.Engine.MemoryTokens}},
	}
	documents := map[string]any{"config": table.Document()}
	if err := write(ctx, store, platform.OperatorTopic, documents); err != nil {
		return err
	}
	entries := make(map[string]any)
	for _, served := range engines {
		entries[served.Name] = platform.TargetDocument{
			Service: dayPool, Address: served.Address, Zone: zones[0], Version: "v1", Slots: read.Engine.Slots, State: platform.ReadyState,
		}
	}
	return write(ctx, store, platform.TargetTopic, entries)
}

// write appends documents to a topic, once the store answers.
func write(ctx context.Context, store *platform.Store, topic string, documents map[string]any) error {
	for key, document := range documents {
		value, err := json.Marshal(document)
		if err != nil {
			return errors.Wrap(err, "surge")
		}
		record := [][]byte{platform.EncodeKeyed(key, value)}
		for {
			_, err := store.Append(ctx, platform.Partition{Topic: topic}, record, platform.Condition{})
			if err == nil {
				break
			}
			if !coltsfootlink.Sleep(ctx, 20*time.Millisecond) {
				return err
			}
		}
	}
	return nil
}

// printOutcomes prints a row for each policy.
func printOutcomes(compared []outcomes) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "policy\tasked\tin time\tlate\trefused\tfailed\tworth\tleast team\tfirst p50 ms\tp95 ms\tread tokens\tfound kept")
	for _, sum := range compared {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%d\n", sum.Policy, sum.Asked, sum.InTime, sum.Late, sum.Refused, sum.Failed,
			sum.Worth, sum.LeastTeam, sum.FirstMedian, sum.FirstLate, sum.ReadTokens, sum.FoundTokens)
	}
	return table.Flush()
}

// plotDay writes a plot of the worth by second for all policies.
func plotDay(played day, compared []outcomes, folder string) error {
	drawn := plot.New()
	drawn.Title.Text = played.Name
	drawn.X.Label.Text = "second"
	drawn.Y.Label.Text = "worth earned / owed"
	drawn.Y.Min, drawn.Y.Max = 0, 1.05
	drawn.Legend.Left = true
	var lines []any
	for _, sum := range compared {
		points := make(plotter.XYs, len(sum.BySecond))
		for second, worth := range sum.BySecond {
			points[second] = plotter.XY{X: float64(second), Y: worth}
		}
		lines = append(lines, sum.Policy, points)
	}
	if err := plotutil.AddLinePoints(drawn, lines...); err != nil {
		return errors.Wrap(err, "surge: plot")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "surge: plot")
	}
	return errors.Wrap(drawn.Save(plotWidth, plotHeight, filepath.Join(folder, played.Name+".png")), "surge: plot")
}
