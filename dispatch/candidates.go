// Package dispatch chooses candidate targets for each request of an instance and asks the targets' owners for
// permits.
package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

const (
	// maxAffine is the maximum number of targets that a request with a shared prompt prefix is offered to. Each further
	// target would have to read the prefix once more, at the expense of other requests.
	maxAffine = 3
	// maxPlain is the maximum number of targets that a request without a shared prefix is offered to.
	maxPlain = 3
)

// Candidates returns the targets of a pool that a request is offered to, best first. Requests with the same shared
// prefix prefer the same targets; those without one prefer targets in their own zone and are spread by the random
// draw. Zones without live instances may be cut off by a network partition, so their targets are offered only if
// there are no others.
func Candidates(catalog coltsfootlink.Catalog, live map[coltsfootlink.ZoneName]bool, pool coltsfootlink.PoolName, work coltsfootlink.Work, zone coltsfootlink.ZoneName, draw uint64, avoid map[coltsfootlink.TargetName]bool) []coltsfootlink.Target {
	affinity := work.Affinity()
	key, limit := affinity, maxAffine
	if affinity == 0 {
		key, limit = draw, maxPlain
	}
	var usable, fallback ranking
	for _, target := range catalog.Targets {
		if target.Pool != pool || !catalog.Usable(target) || avoid[target.Name] {
			continue
		}
		candidate := ranked{target: target, weight: weight(target.Name, key)}
		if affinity == 0 && target.Zone != zone {
			candidate.distance = 1
		}
		if live[target.Zone] {
			usable = usable.with(candidate, limit)
		} else {
			fallback = fallback.with(candidate, limit)
		}
	}
	if len(usable) == 0 {
		usable = fallback
	}
	return usable.targets()
}

// trialTarget returns the one target to which all instances send trials of the same barred parts, so that its owner can limit
// them; none if the pool has no usable target.
func trialTarget(catalog coltsfootlink.Catalog, want Want) []coltsfootlink.Target {
	var best ranking
	for _, target := range catalog.Targets {
		if target.Pool == want.Pool && catalog.Usable(target) {
			best = best.with(ranked{target: target, weight: weight(target.Name, want.Trial)}, 1)
		}
	}
	return best.targets()
}

// ranked is a target with its sort keys: a shorter distance comes first, then a higher weight. The distance is 1 for
// targets in another zone, unless the request has a shared prefix; otherwise it is 0.
type ranked struct {
	target   coltsfootlink.Target
	distance int
	weight   uint64
}

// compare returns a negative number if the target ranks before the other one.
func (one ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(one.distance, other.distance), cmp.Compare(other.weight, one.weight))
}

// ranking lists the best candidates, best first.
type ranking []ranked

// with returns the ranking with a candidate inserted, truncated to the limit.
func (ranking ranking) with(candidate ranked, limit int) ranking {
	if len(ranking) == limit && ranking[limit-1].compare(candidate) <= 0 {
		return ranking
	}
	index, _ := slices.BinarySearchFunc(ranking, candidate, ranked.compare)
	grown := slices.Insert(ranking, index, candidate)
	return grown[:min(limit, len(grown))]
}

func (ranking ranking) targets() []coltsfootlink.Target {
	targets := make([]coltsfootlink.Target, 0, len(ranking))
	for _, entry := range ranking {
		targets = append(targets, entry.target)
	}
	return targets
}

// weight returns the rendezvous hashing weight of a target for a key.
func weight(name coltsfootlink.TargetName, key uint64) uint64 {
	var buffer [64]byte
	text := binary.LittleEndian.AppendUint64(buffer[:0], key)
	return xxhash.Sum64(append(text, name...))
}
