package coltsfootlink

import (
	"context"
	"time"
)

// InstanceDirectory lists instances that know no others, so that they find each other when all seeds in their settings are down.
type InstanceDirectory interface {
	// Announce adds an instance to the directory, at a time.
	Announce(ctx context.Context, instance Instance, at time.Time) error
	// Announced returns the instances that were announced since a time.
	Announced(ctx context.Context, since time.Time) ([]Instance, error)
}
