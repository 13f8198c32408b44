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
	// instanceBytes is the memory that an instance may have, and memoryDivisor the part of the machine's for all.
	instanceBytes = 256 << 20
	memoryDivisor = 2
	// targetsEach is the number of targets for each instance, and leastTargets the least of a site.
	leastTargets = 8
	zonesOfSite  = 2
	// leastSpan is the shortest time in which faults can happen.
	leastSpan = 5 * time.Second
)

var (
	// errMistake marks what is wrong with the command line.
	errMistake = errors.New("mistake")
	// errBroken says that a seed has failed.
	errBroken = errors.New("promises were broken")
)

// options are the command line.
type options struct {
	seed, seeds uint64
	span        time.Duration
	instances   int
	asJSON      bool
	skip        bool
	daemon      string
	folder      string
}

// parse reads the command line; help says that it only asks for help.
func parse(arguments []string) (options, string, error) {
	flags := ff.NewFlagSet("soak")
	seed := flags.Uint64Long("seed", 1, "first seed; it settles the plan of faults, but not the timing of processes")
	seeds := flags.Uint64Long("seeds", 1, "number of seeds, one after another")
	span := flags.DurationLong("for", 30*time.Second, "how long faults happen in each run; recovery comes after")
	instances := flags.IntLong("instances", 5, "number of instances")
	asJSON := flags.BoolLong("json", "print one JSON object for each seed")
	skip := flags.BoolLong("no-regressions", "do not play the seeds that failed before first")
	daemon := flags.StringLong("daemon", "", "the daemon's program; built from this module if empty")
	folder := flags.StringLong("folder", "soak-failures", "where failed seeds leave their logs")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("SOAK"))
	if errors.Is(err, ff.ErrHelp) {
		return options{}, fmt.Sprint(ffhelp.Flags(flags)), nil
	}
	chosen := options{*seed, *seeds, *span, *instances, *asJSON, *skip, *daemon, *folder}
	switch {
	case err != nil:
	case len(flags.GetArgs()) > 0:
		err = errors.Newf("unexpected argument %q", flags.GetArgs()[0])
	case *seeds == 0:
		err = errors.New("--seeds must be at least 1")
	case *span < leastSpan:
		err = errors.Newf("--for must be at least %v", leastSpan)
	case *instances < 1 || *instances > mostInstances():
		err = errors.Newf("--instances must be between 1 and %d, for which half of the memory is enough", mostInstances())
	}
	if err != nil {
		return options{}, "", errors.Mark(err, errMistake)
	}
	return chosen, "", nil
}

// mostInstances returns how many instances fit into their part of the machine's memory.
func mostInstances() int {
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
	plays, err := chosen.plays(scratch)
	if err != nil {
		return err
	}
	failed := 0
	for _, next := range plays {
		ended, err := next.play(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d", next.seed)
		}
		if len(ended.Breaches) > 0 {
			failed++
			if ended.Folder, err = keep(ended, chosen.folder); err != nil {
				return err
			}
		}
		if err := ended.print(out, chosen.asJSON); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Wrapf(errBroken, "%d of %d seeds", failed, len(plays))
	}
	return nil
}

// plays returns the runs: first the seeds that have failed before, then those that were asked for.
func (chosen options) plays(scratch string) ([]soak, error) {
	known, err := readRegressions(regressionsText)
	if err != nil {
		return nil, err
	}
	var plays []soak
	add := func(seed uint64, instances int, span time.Duration) {
		plays = append(plays, soak{
			seed: seed, span: span, daemon: chosen.daemon, progress: progress(),
			size:   size{Instances: instances, Targets: max(leastTargets, instances), Zones: zonesOfSite},
			folder: filepath.Join(scratch, fmt.Sprintf("%d-seed-%d", len(plays), seed)),
		})
	}
	for _, failed := range known {
		if !chosen.skip {
			add(failed.Seed, failed.Instances, time.Duration(failed.Seconds)*time.Second)
		}
	}
	for count := range chosen.seeds {
		add(chosen.seed+count, chosen.instances, chosen.span)
	}
	return plays, nil
}

// progress returns what tells a person at a terminal how far a run is.
func progress() func(string) {
	state, err := os.Stderr.Stat()
	if err != nil || state.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	return func(text string) { fmt.Fprintln(os.Stderr, text) }
}

// keep copies the folder of a failed run to where it stays.
func keep(ended outcome, folder string) (string, error) {
	kept := filepath.Join(folder, fmt.Sprintf("%s-seed-%d", time.Now().UTC().Format("20060102-150405"), ended.Seed))
	return kept, os.CopyFS(kept, os.DirFS(ended.Folder))
}

// print tells how a seed went.
func (reported outcome) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(reported)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "seed %d\t%d faults\t%d of %d attempts served\t%d runs\t%d stalls\t%d breaches\n",
		reported.Seed, reported.Steps, reported.Served, reported.Attempts, reported.Runs, reported.Stalls, len(reported.Breaches))
	for _, found := range reported.Breaches {
		_, _ = fmt.Fprintf(table, "  %s: %s\n", found.Rule, found.Text)
	}
	if len(reported.Breaches) > 0 {
		_, _ = fmt.Fprintln(table, "  logs, plan and report:", reported.Folder)
	}
	return table.Flush()
}
