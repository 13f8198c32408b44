package coltsfootlink

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TargetName identifies a target across restarts.
type TargetName string

// Version names the version of the model or service that a target serves.
type Version string

// Target is one model engine or plain service.
type Target struct {
	Name TargetName
	Pool PoolName
	Zone ZoneName
	// Address is the host and port on which the target accepts requests.
	Address string
	Version Version
	// Incarnation grows with each restart of the target.
	Incarnation uint64
	// Leaving indicates that the target is shutting down and takes no new work.
	Leaving bool
	// Slots is the number of requests that the target runs at the same time; zero if the target did not report it.
	Slots int
	// ColdUntil is when the target's cold start ends, by its own reports.
	ColdUntil time.Time
}

// WithColdUntil returns the target with another end of its cold start.
func (target Target) WithColdUntil(until time.Time) Target {
	target.ColdUntil = until
	return target
}

// signature returns a hash of everything that the target has reported except the end of its cold start.
func (target Target) signature() uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		string(target.Name), string(target.Pool), string(target.Zone), target.Address, string(target.Version),
		strconv.FormatUint(target.Incarnation, 10), strconv.FormatBool(target.Leaving), strconv.Itoa(target.Slots),
	}, "|"))
}

// WithIncarnation returns the target after a restart.
func (target Target) WithIncarnation(incarnation uint64) Target {
	target.Incarnation = incarnation
	return target
}

// WithLeaving returns the target with its Leaving mark set or cleared.
func (target Target) WithLeaving(leaving bool) Target {
	target.Leaving = leaving
	return target
}

// Load is a target's load report.
type Load struct {
	Target      TargetName
	Incarnation uint64
	// Running is the number of requests that the target runs.
	Running int
}
