package coltsfootlink

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// shardParts is the number of parts in the name of a shard without a slice.
const shardParts = 3

// Shard is the unit of ownership: some targets of a pool in one availability zone.
type Shard struct {
	Pool PoolName
	Zone ZoneName
	// Index is the number of the shard within the pool and zone, from zero.
	Index int
	// Slice is the instance for which a fixed part of every target's capacity is reserved; empty if the capacity is not
	// divided.
	Slice InstanceName
}

// String returns the shard's name: pool, zone, index and, if set, slice, separated by slashes.
func (shard Shard) String() string {
	name := string(shard.Pool) + "/" + string(shard.Zone) + "/" + strconv.Itoa(shard.Index)
	if shard.Slice == "" {
		return name
	}
	return name + "/" + string(shard.Slice)
}

// ParseShard parses a shard name as returned by String.
func ParseShard(name string) (Shard, error) {
	parts := strings.Split(name, "/")
	if len(parts) != shardParts && len(parts) != shardParts+1 {
		return Shard{}, errors.Newf("coltsfootlink: %q is not a shard", name)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil {
		return Shard{}, errors.Wrapf(err, "coltsfootlink: %q is not a shard", name)
	}
	shard := Shard{Pool: PoolName(parts[0]), Zone: ZoneName(parts[1]), Index: index}
	if len(parts) > shardParts {
		shard.Slice = InstanceName(parts[shardParts])
	}
	return shard, nil
}

// Epoch numbers the successive ownerships of a shard, for fencing: permits of an older epoch are recognizable. It is a
// time in nanoseconds.
type Epoch uint64

// PermitID identifies a permit within its shard.
type PermitID struct {
	Epoch  Epoch
	Serial uint64
}

// Permit allows its holder to send one request to one target.
type Permit struct {
	ID     PermitID
	Shard  Shard
	Target TargetName
	Team   TeamName
	Holder InstanceName
	// Charge is the service charged to the team for the permit, in the pool's unit.
	Charge float64
	// StartBy is the deadline by which the holder has to start using the permit.
	StartBy time.Time
}

// Result is how the use of a permit ended.
type Result string

// The results of a permit.
const (
	// Unused means that nothing was sent to the target.
	Unused Result = "unused"
	// Succeeded means that the target gave a complete answer.
	Succeeded Result = "succeeded"
	// Cancelled means that the caller disconnected or gave up and the call to the target was cancelled.
	Cancelled Result = "cancelled"
	// Failed means that the target answered with an error or not at all.
	Failed Result = "failed"
	// Crashed means that the connection broke while the target ran the request.
	Crashed Result = "crashed"
	// Refused means that no connection to the target could be made.
	Refused Result = "refused"
)

// Usage is what was measured during the use of a permit.
type Usage struct {
	Result Result
	// Cost is the measured service in the pool's unit.
	Cost float64
	// FirstByteMillis is the time to the target's first byte in milliseconds; zero if none was received.
	FirstByteMillis float64
	// ExpectedMillis is the time to the first byte that was expected when the permit was granted, in milliseconds; zero
	// if nothing was expected.
	ExpectedMillis float64
	// Incarnation is the target's incarnation; zero if the target did not report it.
	Incarnation uint64
	// Route is the path of the request's route.
	Route string
	// Fingerprint identifies the request if the result is Crashed.
	Fingerprint uint64
}
