package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"coltsfootlink/standin"
)

func run(arguments []string) error {
	flags := ff.NewFlagSet("standin")
	file := flags.StringLong("settings", "", "settings file that describes the stand-in platform and targets")
	err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("STANDIN"))
	if errors.Is(err, ff.ErrHelp) {
		_, err = os.Stdout.WriteString(ffhelp.Flags(flags).String())
		return err
	}
	if err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return err
	}
	scene, err := standin.ParseScene(string(text))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return scene.Run(ctx, zerolog.New(os.Stderr).With().Timestamp().Logger().Level(zerolog.WarnLevel))
}
