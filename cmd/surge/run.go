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

// The suites of measurements.
const (
	fairnessSuite   = "fairness"
	operationsSuite = "operations"
	slopesSuite     = "slopes"
	takeoverSuite   = "takeover"
	resilienceSuite = "resilience"
	overloadSuite   = "overload"
)

// messages takes what is said while measuring.
var messages = os.Stderr

// bench is what all measurements share.
type bench struct {
	programs rig.Programs
	folder   string
	seed     uint64
	short    bool
	fleets   int
	// chosenOnly leaves the baselines out.
	chosenOnly bool
}

func run(arguments []string) error {
	flags := ff.NewFlagSet("surge")
	short := flags.BoolLong("short", "measure for a shorter time")
	asJSON := flags.BoolLong("json", "print one JSON object last")
	suite := flags.StringEnumLong("suite", "what to measure", fairnessSuite, operationsSuite, slopesSuite, takeoverSuite, resilienceSuite, overloadSuite)
	chosenOnly := flags.BoolLong("chosen-only", "leave the baselines out")
	dayFile := flags.StringLong("day", "", "the day of the overload suite, a TOML file; the one that comes with the program if empty")
	plots := flags.StringLong("plots", "", "a folder for the plot of the overload suite; none if empty")
	seed := flags.Uint64Long("seed", 1, "seed of the load")
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
	measuring := &bench{programs: programs, folder: folder, seed: *seed, short: *short, chosenOnly: *chosenOnly}
	if *suite == overloadSuite {
		return measuring.printOverload(ctx, *dayFile, *plots, *asJSON)
	}
	measures, err := measuring.suite(ctx, *suite)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(os.Stdout).Encode(report{Measures: measures})
	}
	return printTable(measures)
}

// printOverload plays a day with all of its policies and prints how they compare.
func (measuring *bench) printOverload(ctx context.Context, file, plots string, asJSON bool) error {
	compared, err := measuring.overload(ctx, file, plots)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(compared)
	}
	return printOutcomes(compared)
}

func (measuring *bench) suite(ctx context.Context, suite string) ([]measure, error) {
	switch suite {
	case operationsSuite:
		return measuring.operations(ctx)
	case resilienceSuite:
		return measuring.resilience(ctx)
	case takeoverSuite:
		return measuring.takeover(ctx)
	case slopesSuite:
		return measuring.slopes(ctx)
	default:
		return measuring.fairness(ctx)
	}
}

// fleetFolder returns a new folder for the settings and logs of a fleet.
func (measuring *bench) fleetFolder() (string, error) {
	measuring.fleets++
	folder := filepath.Join(measuring.folder, fmt.Sprintf("fleet-%d", measuring.fleets))
	return folder, os.Mkdir(folder, 0o700)
}

func printTable(measures []measure) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "measure\tvalue\ttarget\tmet")
	for _, taken := range measures {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%s\t%t\n", taken.Name, taken.Value, taken.bound(), taken.Met)
	}
	return table.Flush()
}
