package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"coltsfootlink/gateway"
	"coltsfootlink/settings"
)

// runGateway runs a daemon as a gateway on the users' platform. The log is flushed after the gateway has stopped.
func runGateway(ctx context.Context, file string, level zerolog.Level) error {
	loaded, err := settings.ReadGateway(file)
	if err != nil {
		return err
	}
	buffer := &logBuffer{out: os.Stdout}
	logContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		buffer.Run(logContext)
		close(done)
	}()
	defer func() {
		stop()
		<-done
	}()
	log := zerolog.New(buffer).Level(level).With().Timestamp().Str("instance", loaded.Instance).Logger()
	return (&gateway.Gateway{File: file, Settings: loaded, Log: log}).Run(ctx)
}
