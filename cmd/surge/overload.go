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
	// gatewaySettleDelay is the time between the start of the gateways and the first request, in which owners get the
	// first reports of the engines.
	gatewaySettleDelay = 2 * time.Second
	// dayHost is the Host header of requests, dayPool the pool of all engines, dayConnections the connection limit of
	// each engine, and dayBodyBytes the maximum size of a request body.
	dayHost        = "day"
	dayPool        = "models"
	dayConnections = 1000
	dayBodyBytes   = 1 << 20
	// plotWidth and plotHeight are the size of the plot.
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// admitAllSettings sets the limits on expected waits so high that owners refuse requests only for lack of an engine's
// slots or memory.
const admitAllSettings = `
[admission]
objective-share = 1000
large-share = 1000
`

// overload replays a day under each of its policies and returns their results.
func (bench *benchmark) overload(ctx context.Context, file, plots string) ([]policyResult, error) {
	day, err := readDay(file)
	if err != nil {
		return nil, err
	}
	arrivals := day.arrivals(bench.seed)
	var results []policyResult
	for _, policy := range day.Policies {
		_, _ = fmt.Fprintf(diagnostics, "surge: day %s, policy %s: sending %d requests\n", day.Name, policy, len(arrivals))
		result, err := bench.replayPolicy(ctx, day, policy, arrivals)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	if plots != "" {
		return results, plotDay(day, results, plots)
	}
	return results, nil
}

// replayPolicy replays a day under one policy, on engines and gateways that are started for this run alone.
func (bench *benchmark) replayPolicy(ctx context.Context, day dayPlan, policy string, arrivals []arrival) (policyResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engines, err := startEngines(ctx, day)
	if err != nil {
		return policyResult{}, err
	}
	balancer, err := bench.startBalancer(ctx, day, policy, engines)
	if err != nil {
		return policyResult{}, err
	}
	result := day.score(policy, day.replay(ctx, arrivals, balancer))
	for _, engine := range engines {
		stats := engine.Stats(ctx)
		result.PromptTokens += stats.ReadTokens
		result.CachedTokens += stats.CachedTokens
	}
	return result, ctx.Err()
}

func startEngines(ctx context.Context, day dayPlan) ([]*standin.Engine, error) {
	var engines []*standin.Engine
	for number := range day.Engines {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		engine := standin.NewEngine(fmt.Sprint("e-", number), address, day.engineTraits(), day.Engine.Queue)
		go func() {
			if err := engine.Run(ctx); err != nil {
				_, _ = fmt.Fprintln(diagnostics, "surge:", err)
			}
		}()
		engines = append(engines, engine)
	}
	return engines, nil
}

// startBalancer returns the balancer of a policy. For all policies but leastLoaded it first starts a platform and the
// gateways.
func (bench *benchmark) startBalancer(ctx context.Context, day dayPlan, policy string, engines []*standin.Engine) (balancer, error) {
	if policy == leastLoaded {
		return &leastLoadedEngines{engines: engines, running: make([]atomic.Int64, len(engines))}, nil
	}
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	store := standin.NewStore(0)
	go func() { _ = store.Run(ctx) }()
	go func() { _ = (&standin.Platform{Address: address, Store: store}).Run(ctx) }()
	if err := day.publish(ctx, platform.NewStore("http://"+address), policy, engines); err != nil {
		return nil, err
	}
	folder, err := bench.fleetFolder()
	if err != nil {
		return nil, err
	}
	fleet := rig.GatewayFleet{Daemon: bench.programs.Daemon, Folder: folder, Store: address, Zones: zones[:1], Count: day.Gateways}
	if policy == affinityOnly {
		fleet.ExtraSettings = admitAllSettings
	}
	gateways, err := fleet.Start(ctx)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { rig.KillGateways(gateways) })
	var balancer roundRobinGateways
	for _, gateway := range gateways {
		balancer = append(balancer, gateway.Callers)
	}
	coltsfootlink.Sleep(ctx, gatewaySettleDelay)
	return balancer, nil
}

// publish writes the configuration and the registrations of the engines to the store. Only the inForce policy gets a
// guaranteed rate, from which team shares follow.
func (day dayPlan) publish(ctx context.Context, store *platform.Store, policy string, engines []*standin.Engine) error {
	var routes []standin.TableRoute
	for _, class := range day.Classes {
		routes = append(routes, standin.TableRoute{
			Name: class.Name, Kind: "streaming", Service: dayPool, Attempts: 1,
			TimeoutMillis: int64(class.TimeoutMillis), ObjectiveMillis: int64(class.ObjectiveMillis),
		})
	}
	keys := make(map[string][]string)
	for team := range day.Teams {
		keys[dayTeamName(team)] = []string{dayTeamName(team)}
	}
	guaranteed := 0.0
	if policy == inForce {
		guaranteed = day.TokensPerSecond
	}
	table := standin.Table{
		Version: 1, Host: dayHost, Routes: routes, Keys: keys, MaxBodyBytes: dayBodyBytes, TokensPerSecond: guaranteed,
		Services: []standin.TableService{{Name: dayPool, ConnectionLimit: dayConnections, MemoryTokens: day.Engine.MemoryTokens}},
	}
	documents := map[string]any{"config": table.Document()}
	if err := appendDocuments(ctx, store, platform.OperatorTopic, documents); err != nil {
		return err
	}
	registrations := make(map[string]any)
	for _, engine := range engines {
		registrations[engine.Name] = platform.TargetDocument{
			Service: dayPool, Address: engine.Address, Zone: zones[0], Version: "v1", Slots: day.Engine.Slots, State: platform.ReadyState,
		}
	}
	return appendDocuments(ctx, store, platform.TargetTopic, registrations)
}

// appendDocuments appends documents to a topic. It retries each every 20 ms until the store accepts it or the context
// ends.
func appendDocuments(ctx context.Context, store *platform.Store, topic string, documents map[string]any) error {
	for key, document := range documents {
		value, err := json.Marshal(document)
		if err != nil {
			return errors.Wrap(err, "surge: encoding a document for the store")
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

// printPolicyResults prints one row per policy.
func printPolicyResults(results []policyResult) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "policy\tasked\tin time\tlate\trefused\tfailed\tworth\tleast team\tfirst p50 ms\tp95 ms\tread tokens\tfound tokens")
	for _, result := range results {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%d\n", result.Policy, result.Requests, result.InTime, result.Late, result.Refused, result.Failed,
			result.EarnedShare, result.WorstTeamShare, result.FirstEventP50, result.FirstEventP95, result.PromptTokens, result.CachedTokens)
	}
	return table.Flush()
}

// plotDay writes a PNG file that plots the earned share by second for all policies.
func plotDay(day dayPlan, results []policyResult, folder string) error {
	chart := plot.New()
	chart.Title.Text = day.Name
	chart.X.Label.Text = "second"
	chart.Y.Label.Text = "value earned / possible"
	chart.Y.Min, chart.Y.Max = 0, 1.05
	chart.Legend.Left = true
	var lines []any
	for _, result := range results {
		points := make(plotter.XYs, len(result.EarnedShareBySecond))
		for second, share := range result.EarnedShareBySecond {
			points[second] = plotter.XY{X: float64(second), Y: share}
		}
		lines = append(lines, result.Policy, points)
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return errors.Wrap(err, "surge: adding the lines to the plot")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "surge: writing the plot")
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, filepath.Join(folder, day.Name+".png")), "surge: writing the plot")
}
