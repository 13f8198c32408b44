package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"coltsfootlink/node"
	"coltsfootlink/platform"
	"coltsfootlink/settings"
)

func run(arguments []string) error {
	flags := ff.NewFlagSet("coltsfootd")
	file := flags.StringLong("settings", "", "settings file of the daemon")
	embedded := flags.BoolLong("embedded", "also run a stand-in platform and stand-in targets in this process")
	asGateway := flags.BoolLong("gateway", "run as a gateway on the users' platform; without --settings, COLTSFOOTLINK_CONFIG names the settings file")
	level := flags.StringEnumLong("log-level", "minimum level of log messages", "info", "debug", "warn", "error")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("COLTSFOOTD"))
	if errors.Is(err, ff.ErrHelp) {
		_, err = os.Stdout.WriteString(ffhelp.Flags(flags).String())
		return err
	}
	if err != nil {
		return err
	}
	minLevel, err := zerolog.ParseLevel(*level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *asGateway {
		return runGateway(ctx, cmp.Or(*file, os.Getenv(platform.SettingsVariable)), minLevel)
	}
	daemon, err := readSettings(*file, *embedded)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("instance", daemon.Instance).Logger().Level(minLevel)
	return runNode(ctx, &node.Node{Settings: daemon, Log: log})
}

func readSettings(file string, embedded bool) (settings.Daemon, error) {
	if embedded && file == "" {
		return embeddedSettings()
	}
	if file == "" {
		return settings.Daemon{}, errors.New("--settings is required unless --embedded or --gateway is given")
	}
	return settings.ReadDaemon(file)
}
