package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

const (
	// instanceBytes is the memory that one instance may use.
	instanceBytes = 256 << 20
	// memoryDivisor divides the machine's memory into the part that all instances together may use.
	memoryDivisor = 2
	// minTargets is the minimum number of targets of a site; larger sites have one target per instance.
	minTargets = 8
	zoneCount  = 2
	// minDuration is the shortest accepted duration of the faults.
	minDuration = 5 * time.Second
)

var (
	// errUsage marks errors of the command line.
	errUsage = errors.New("invalid command line")
	// errBreaches is returned if a rule was broken in any seed.
	errBreaches = errors.New("guarantees were violated")
)

// options are the parsed command line.
type options struct {
	seed, seeds     uint64
	duration        time.Duration
	instances       int
	asJSON          bool
	skipRegressions bool
	daemon          string
	folder          string
}

// parse parses the command line. The returned text is the help text if that was requested, and empty otherwise.
func parse(arguments []string) (options, string, error) {
	flags := ff.NewFlagSet("soak")
	seed := flags.Uint64Long("seed", 1, "first seed; it determines the plan of faults, but not the timing of processes")
	seeds := flags.Uint64Long("seeds", 1, "number of consecutive seeds to run, one after another")
	duration := flags.DurationLong("for", 30*time.Second, "how long faults are injected in each run; recovery follows")
	instances := flags.IntLong("instances", 5, "number of instances")
	asJSON := flags.BoolLong("json", "print one JSON object for each seed")
	skipRegressions := flags.BoolLong("no-regressions", "skip the regressions, the seeds that failed in the past and are run first")
	daemon := flags.StringLong("daemon", "", "path of the daemon's executable; built from this module if empty")
	folder := flags.StringLong("folder", "soak-failures", "folder for the logs of failed seeds")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("SOAK"))
	if errors.Is(err, ff.ErrHelp) {
		return options{}, fmt.Sprint(ffhelp.Flags(flags)), nil
	}
	chosen := options{*seed, *seeds, *duration, *instances, *asJSON, *skipRegressions, *daemon, *folder}
	switch {
	case err != nil:
	case len(flags.GetArgs()) > 0:
		err = errors.Newf("unexpected argument %q", flags.GetArgs()[0])
	case *seeds == 0:
		err = errors.New("--seeds must be at least 1")
	case *duration < minDuration:
		err = errors.Newf("--for must be at least %v", minDuration)
	case *instances < 1 || *instances > maxInstances():
		err = errors.Newf("--instances must be between 1 and %d, the number that fits into half of the memory", maxInstances())
	}
	if err != nil {
		return options{}, "", errors.Mark(err, errUsage)
	}
	return chosen, "", nil
}

// maxInstances returns how many instances fit into the part of the machine's memory that they may use.
func maxInstances() int {
	var machine syscall.Sysinfo_t
	if err := syscall.Sysinfo(&machine); err != nil {
		return 1
	}
	return int(machine.Totalram * uint64(machine.Unit) / memoryDivisor / instanceBytes)
}

func run(arguments []string, out io.Writer) error {
	chosen, help, err := parse(arguments)
	if err != nil || help != "" {
		_, _ = io.WriteString(out, help)
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	scratch, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	if chosen.daemon == "" {
		if chosen.daemon, err = build(ctx, scratch); err != nil {
			return err
		}
	}
	soaks, err := chosen.soaks(scratch)
	if err != nil {
		return err
	}
	failed := 0
	for _, next := range soaks {
		result, err := next.run(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d", next.seed)
		}
		if len(result.Breaches) > 0 {
			failed++
			if result.Folder, err = preserve(result, chosen.folder); err != nil {
				return err
			}
		}
		if err := result.print(out, chosen.asJSON); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Wrapf(errBreaches, "%d of %d seeds", failed, len(soaks))
	}
	return nil
}

// soaks returns the runs: first the regressions, unless they are skipped, then the requested seeds.
func (chosen options) soaks(scratch string) ([]soak, error) {
	known, err := readRegressions(regressionsText)
	if err != nil {
		return nil, err
	}
	var soaks []soak
	add := func(seed uint64, instances int, duration time.Duration) {
		soaks = append(soaks, soak{
			seed: seed, duration: duration, daemon: chosen.daemon, progress: progress(),
			size:   size{Instances: instances, Targets: max(minTargets, instances), Zones: zoneCount},
			folder: filepath.Join(scratch, fmt.Sprintf("%d-seed-%d", len(soaks), seed)),
		})
	}
	for _, failed := range known {
		if !chosen.skipRegressions {
			add(failed.Seed, failed.Instances, time.Duration(failed.Seconds)*time.Second)
		}
	}
	for count := range chosen.seeds {
		add(chosen.seed+count, chosen.instances, chosen.duration)
	}
	return soaks, nil
}

// progress returns a function that prints progress to standard error if that is a terminal, and discards it otherwise.
func progress() func(string) {
	state, err := os.Stderr.Stat()
	if err != nil || state.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	return func(text string) { fmt.Fprintln(os.Stderr, text) }
}

// preserve copies the folder of a failed run to the folder for failed seeds and returns the path of the copy.
func preserve(result outcome, folder string) (string, error) {
	kept := filepath.Join(folder, fmt.Sprintf("%s-seed-%d", time.Now().UTC().Format("20060102-150405"), result.Seed))
	return kept, os.CopyFS(kept, os.DirFS(result.Folder))
}

// print writes the result of a seed, as one line of JSON or as text.
func (result outcome) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(result)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "seed %d\t%d faults\t%d of %d attempts served\t%d runs\t%d stalls\t%d breaches\n",
		result.Seed, result.FaultCount, result.Served, result.Attempts, result.Runs, result.Stalls, len(result.Breaches))
	for _, found := range result.Breaches {
		_, _ = fmt.Fprintf(table, "  %s: %s\n", found.Rule, found.Text)
	}
	if len(result.Breaches) > 0 {
		_, _ = fmt.Fprintln(table, "  logs, plan and report:", result.Folder)
	}
	return table.Flush()
}
