package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"coltsfootlink/rig"
)

// The values of --suite.
const (
	fairnessSuite   = "fairness"
	operationsSuite = "operations"
	slopesSuite     = "slopes"
	takeoverSuite   = "takeover"
	resilienceSuite = "resilience"
	overloadSuite   = "overload"
	gatewaysSuite   = "gateways"
)

// diagnostics receives progress and diagnostic lines; results go to standard output.
var diagnostics = os.Stderr

// benchmark holds the built programs and the options that all suites share.
type benchmark struct {
	programs   rig.Programs
	folder     string
	seed       uint64
	short      bool
	fleetCount int
	// chosenOnly skips the runs with the baseline policies.
	chosenOnly bool
}

func run(arguments []string) error {
	flags := ff.NewFlagSet("surge")
	short := flags.BoolLong("short", "shorten the runs of the fairness suite, and measure fewer fleet sizes in the slopes suite")
	asJSON := flags.BoolLong("json", "print the results as JSON on one line instead of a table: an object, or an array in the overload suite")
	suite := flags.StringEnumLong("suite", "the suite of measurements to run", fairnessSuite, operationsSuite, slopesSuite, takeoverSuite, resilienceSuite, overloadSuite, gatewaysSuite)
	chosenOnly := flags.BoolLong("chosen-only", "skip the baseline policies of the fairness suite")
	dayFile := flags.StringLong("day", "", "TOML file with the day that the overload suite replays; the built-in day if empty")
	plots := flags.StringLong("plots", "", "folder for the plot of the overload suite; no plot if empty")
	profiles := flags.StringLong("profiles", "", "folder for profiles of an instance in the gateways suite; none if empty")
	size := flags.IntLong("gateways", 0, "the only fleet size that the gateways suite measures; several if zero")
	seed := flags.Uint64Long("seed", 1, "seed of the random load")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("SURGE"))
	if errors.Is(err, ff.ErrHelp) {
		_, err = fmt.Print(ffhelp.Flags(flags))
		return err
	}
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	folder, err := os.MkdirTemp("", "surge-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs, err := rig.Build(ctx, folder)
	if err != nil {
		return err
	}
	bench := &benchmark{programs: programs, folder: folder, seed: *seed, short: *short, chosenOnly: *chosenOnly}
	if *suite == overloadSuite {
		return bench.printOverload(ctx, *dayFile, *plots, *asJSON)
	}
	if *suite == gatewaysSuite {
		return bench.gateways(ctx, *size, *profiles)
	}
	measures, err := bench.runSuite(ctx, *suite)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(os.Stdout).Encode(report{Measures: measures})
	}
	return printTable(measures)
}

// printOverload replays a day under each of its policies and prints the results side by side.
func (bench *benchmark) printOverload(ctx context.Context, file, plots string, asJSON bool) error {
	results, err := bench.overload(ctx, file, plots)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	return printPolicyResults(results)
}

func (bench *benchmark) runSuite(ctx context.Context, suite string) ([]measure, error) {
	switch suite {
	case operationsSuite:
		return bench.operations(ctx)
	case resilienceSuite:
		return bench.resilience(ctx)
	case takeoverSuite:
		return bench.takeover(ctx)
	case slopesSuite:
		return bench.slopes(ctx)
	default:
		return bench.fairness(ctx)
	}
}

// fleetFolder creates a folder for the settings and logs of one fleet.
func (bench *benchmark) fleetFolder() (string, error) {
	bench.fleetCount++
	folder := filepath.Join(bench.folder, fmt.Sprintf("fleet-%d", bench.fleetCount))
	return folder, os.Mkdir(folder, 0o700)
}

func printTable(measures []measure) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "measure\tvalue\ttarget\tmet")
	for _, result := range measures {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%s\t%t\n", result.Name, result.Value, result.targetText(), result.Met)
	}
	return table.Flush()
}
