package coltsfootlink

import (
	"slices"
	"time"
)

// PoolName identifies a pool.
type PoolName string

// PoolKind is the kind of targets in a pool.
type PoolKind string

// The kinds of pool.
const (
	// EnginePool contains model engines; service is measured in tokens.
	EnginePool PoolKind = "engine"
	// PlainPool contains plain services; service is measured in milliseconds.
	PlainPool PoolKind = "plain"
)

// Class is the scheduling class of a request among the requests of the same team.
type Class string

// The classes of request.
const (
	// Interactive requests are served before bulk requests of the same team.
	Interactive Class = "interactive"
	// Bulk requests wait until no interactive request of the team is waiting.
	Bulk Class = "bulk"
)

// Route is one path of a pool.
type Route struct {
	// Path is the part of the URL path after the pool's name.
	Path string
	// Class is the class of the route's requests.
	Class Class
	// Repeatable reports whether a request may be sent to targets more than once.
	Repeatable bool
}

// Pool is a set of targets that answer the same routes.
type Pool struct {
	Name   PoolName
	Kind   PoolKind
	Routes []Route
	// ColdLimit is the concurrency limit of a target that has just started.
	ColdLimit int
	// MaxLimit is the highest concurrency limit of a warm target.
	MaxLimit int
	// GrowthPerSecond is the maximum growth of a target's concurrency limit per second.
	GrowthPerSecond float64
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// QueuePerTeam is the maximum number of waiting requests of one team on one instance.
	QueuePerTeam int
	// ShardsPerZone is the number of shards into which the targets of one availability zone are divided.
	ShardsPerZone int
	// MaxCost is the maximum cost of one request in the pool's unit.
	MaxCost float64
	// EndMarker is the text that ends every complete answer of the pool; empty if answers have none.
	EndMarker string
}

// Route returns the route with the given path.
func (pool Pool) Route(path string) (Route, bool) {
	at := slices.IndexFunc(pool.Routes, func(route Route) bool { return route.Path == path })
	if at < 0 {
		return Route{}, false
	}
	return pool.Routes[at], true
}

// WithRoute returns the pool with one more route.
func (pool Pool) WithRoute(route Route) Pool {
	pool.Routes = append(slices.Clone(pool.Routes), route)
	return pool
}

// GrowthDeadline returns when a concurrency limit that last grew at the given time may grow again.
func (pool Pool) GrowthDeadline(last time.Time) time.Time {
	return last.Add(time.Duration(float64(time.Second) / pool.GrowthPerSecond))
}
