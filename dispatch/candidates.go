// Package dispatch finds a target for each request of an instance and asks the target's owner for it.
package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

const (
	// maxAffine is the most targets that a request with shared parts is offered to: beyond these its parts
	// would be read once more at the cost of others.
	maxAffine = 3
	// maxPlain is the most targets that a request without shared parts is offered to.
	maxPlain = 3
)

// Candidates returns the targets of a pool that a request is offered to, the best first. Zones without live
// instances may be cut off, so their targets are offered only if there are no others.
func Candidates(catalog coltsfootlink.Catalog, live map[coltsfootlink.ZoneName]bool, pool coltsfootlink.PoolName, work coltsfootlink.Work, zone coltsfootlink.ZoneName, draw uint64, avoid map[coltsfootlink.TargetName]bool) []coltsfootlink.Target {
	affinity := work.Affinity()
	key, most := affinity, maxAffine
	if affinity == 0 {
		key, most = draw, maxPlain
	}
	var usable, doubtful ranking
	for _, target := range catalog.Targets {
		if target.Pool != pool || !catalog.Usable(target) || avoid[target.Name] {
			continue
		}
		offered := ranked{target: target, weight: weight(target.Name, key)}
		if affinity == 0 && target.Zone != zone {
			offered.distance = 1
		}
		if live[target.Zone] {
			usable = usable.with(offered, most)
		} else {
			doubtful = doubtful.with(offered, most)
		}
	}
	if len(usable) == 0 {
		usable = doubtful
	}
	return usable.targets()
}

// ranked is a target with its place among others: nearer ones go first, and then those of higher weight.
type ranked struct {
	target   coltsfootlink.Target
	distance int
	weight   uint64
}

// compare returns a negative number if the target goes before another one.
func (one ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(one.distance, other.distance), cmp.Compare(other.weight, one.weight))
}

// ranking is the best targets of those that were offered, the best first.
type ranking []ranked

// with returns the ranking after a further target was offered, cut to the given length.
func (ranking ranking) with(offered ranked, most int) ranking {
	if len(ranking) == most && ranking[most-1].compare(offered) <= 0 {
		return ranking
	}
	place, _ := slices.BinarySearchFunc(ranking, offered, ranked.compare)
	grown := slices.Insert(ranking, place, offered)
	return grown[:min(most, len(grown))]
}

func (ranking ranking) targets() []coltsfootlink.Target {
	targets := make([]coltsfootlink.Target, 0, len(ranking))
	for _, held := range ranking {
		targets = append(targets, held.target)
	}
	return targets
}

// weight is the weight of a target for a key.
func weight(name coltsfootlink.TargetName, key uint64) uint64 {
	var buffer [64]byte
	text := binary.LittleEndian.AppendUint64(buffer[:0], key)
	return xxhash.Sum64(append(text, name...))
}
