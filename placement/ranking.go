// Package placement decides which targets of a pool a request is offered to, and in which order.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
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

// Request is what the ranking of the targets for a request depends on.
type Request struct {
	Pool coltsfootlink.PoolName
	Work coltsfootlink.Work
	// Draw is a random number that spreads requests without a shared prefix.
	Draw uint64
	// Avoid is the set of targets that the request must not be offered to.
	Avoid map[coltsfootlink.TargetName]bool
	// OwnZone indicates that the best target of the own zone comes first, see Preference.
	OwnZone bool
}

// Candidates returns the targets of a pool that a request is offered to, best first. Requests with the same shared
// prefix prefer the same targets; those without one prefer targets in the instance's own zone and are spread by the
// random draw. A target of a higher weight is preferred by more prefixes. Zones without live instances may be cut off by
// a network partition, so their targets are offered only if there are no others.
func (state State) Candidates(catalog coltsfootlink.Catalog, request Request) []coltsfootlink.Target {
	affinity := request.Work.Affinity()
	key, limit := affinity, maxAffine
	if affinity == 0 {
		key, limit = request.Draw, maxPlain
	}
	var weights Weights
	if len(request.Work.Prompt) > 0 {
		weights = state.pools[request.Pool].weights
	}
	var usable, fallback, own ranking
	for _, target := range catalog.Targets {
		if target.Pool != request.Pool {
			continue
		}
		order := position{score: hash(target.Name, key)}
		if affinity == 0 && target.Zone != state.zone {
			order.distance = 1
		}
		local := request.OwnZone && target.Zone == state.zone
		if weights.highest <= 1 && !usable.accepts(order, limit) && !(local && own.accepts(order, 1)) {
			// No weight raises the score, so the lookups below would not change the result.
			continue
		}
		if !catalog.Usable(target) || request.Avoid[target.Name] {
			continue
		}
		order.score = weights.adjust(target.Name, order.score)
		candidate := ranked{target: target, position: order}
		if !state.live[target.Zone] {
			fallback = fallback.with(candidate, limit)
			continue
		}
		usable = usable.with(candidate, limit)
		if local {
			own = own.with(candidate, 1)
		}
	}
	if len(usable) == 0 {
		usable = fallback
	}
	return usable.withFirst(own, limit).targets()
}

// TrialTarget returns the one target to which all instances send trials of the same barred parts, so that its owner can
// limit them; none if the pool has no usable target. It ignores weights, which may differ between instances.
func TrialTarget(catalog coltsfootlink.Catalog, pool coltsfootlink.PoolName, trial uint64) []coltsfootlink.Target {
	var best ranking
	for _, target := range catalog.Targets {
		if target.Pool == pool && catalog.Usable(target) {
			best = best.with(ranked{target: target, position: position{score: hash(target.Name, trial)}}, 1)
		}
	}
	return best.targets()
}

// position holds the sort keys of a target: a shorter distance comes first, then a higher score. The distance is 1 for
// targets in another zone, unless the request has a shared prefix; otherwise it is 0.
type position struct {
	distance int
	score    uint64
}

// compare returns a negative number if the position is before the other one.
func (one position) compare(other position) int {
	return cmp.Or(cmp.Compare(one.distance, other.distance), cmp.Compare(other.score, one.score))
}

// ranked is a target with its position.
type ranked struct {
	position
	target coltsfootlink.Target
}

// ranking lists the best candidates, best first.
type ranking []ranked

// accepts reports whether a target with this position is among the best up to the limit.
func (ranking ranking) accepts(order position, limit int) bool {
	return len(ranking) < limit || ranking[limit-1].compare(order) > 0
}

// with returns the ranking with a candidate inserted, truncated to the limit.
func (ranking ranking) with(candidate ranked, limit int) ranking {
	if !ranking.accepts(candidate.position, limit) {
		return ranking
	}
	index, _ := slices.BinarySearchFunc(ranking, candidate.position, func(entry ranked, order position) int { return entry.compare(order) })
	grown := slices.Insert(ranking, index, candidate)
	return grown[:min(limit, len(grown))]
}

// withFirst returns the ranking with the first of others moved or added to its beginning, truncated to the limit.
func (ranking ranking) withFirst(others ranking, limit int) ranking {
	if len(others) == 0 {
		return ranking
	}
	first := others[0]
	rest := slices.DeleteFunc(slices.Clone(ranking), func(entry ranked) bool { return entry.target.Name == first.target.Name })
	moved := slices.Insert(rest, 0, first)
	return moved[:min(limit, len(moved))]
}

func (ranking ranking) targets() []coltsfootlink.Target {
	targets := make([]coltsfootlink.Target, 0, len(ranking))
	for _, entry := range ranking {
		targets = append(targets, entry.target)
	}
	return targets
}

// adjust returns the score of a target for the rendezvous hash of its name.
func (weights Weights) adjust(name coltsfootlink.TargetName, hash uint64) uint64 {
	if weight, found := weights.byTarget[name]; found {
		return weighted(hash, weight)
	}
	return hash
}

// weighted raises a hash, taken as a fraction of 2^64, to the power 1/weight. The order is that of weighted rendezvous
// hashing, whose score is -weight/ln(hash); but for weight 1 the result is the hash itself, so that only targets of other
// weights need logarithms.
func weighted(hash uint64, weight float64) uint64 {
	const bits = 52
	fraction := (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
	power := math.Exp(math.Log(fraction) / weight)
	// A power that was rounded to 1 would overflow.
	return uint64(min(power, 1-0x1p-53) * (1 << 64))
}

// hash returns the rendezvous hash of a target for a key.
func hash(name coltsfootlink.TargetName, key uint64) uint64 {
	var buffer [64]byte
	text := binary.LittleEndian.AppendUint64(buffer[:0], key)
	return xxhash.Sum64(append(text, name...))
}
