package main

import (
	"context"
	_ "embed"

	"coltsfootlink/node"
	"coltsfootlink/settings"
	"coltsfootlink/standin"
)

//go:embed scene.toml
var embeddedScene string

//go:embed embedded.toml
var embeddedDaemon string

//go:embed fleet.toml
var embeddedFleet string

func embeddedSettings() (settings.Daemon, error) {
	return settings.ParseDaemon("embedded.toml", embeddedDaemon)
}

// runNode runs a daemon, and in embedded mode a stand-in platform and stand-in targets in the same process. The
// stand-ins are stopped after the daemon, which needs them during its shutdown.
func runNode(ctx context.Context, daemon *node.Node) error {
	if daemon.Settings.Embedded == nil {
		return daemon.Run(ctx)
	}
	scene, err := standin.ParseScene(embeddedScene)
	if err != nil {
		return err
	}
	scene.Fleet = embeddedFleet
	standinContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = scene.Run(standinContext, daemon.Log) }()
	return daemon.Run(ctx)
}
