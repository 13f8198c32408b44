package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"coltsfootlink/gateway"
	"coltsfootlink/settings"
)

// runGateway runs a daemon on the users' platform.
func runGateway(ctx context.Context, file string, level zerolog.Level) error {
	read, err := settings.ReadGateway(file)
	if err != nil {
		return err
	}
	written := &lines{to: os.Stdout}
	logContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		written.Run(logContext)
		close(done)
	}()
	defer func() {
		stop()
		<-done
	}()
	log := zerolog.New(written).Level(level).With().Timestamp().Str("instance", read.Instance).Logger()
	return (&gateway.Gateway{File: file, Settings: read, Log: log}).Run(ctx)
}
