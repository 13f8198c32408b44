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

// Request is what the placement of a request depends on.
type Request struct {
	Pool coltsfootlink.PoolName
	Work coltsfootlink.Work
	// Draw is a random number that spreads requests without a shared prefix.
	Draw uint64
	// Avoid is the set of targets that the request must not be offered to.
	Avoid map[coltsfootlink.TargetName]bool
}

// Candidates returns the targets of a pool that a request is offered to, best first. Requests with the same shared
// prefix prefer the same targets; those without one prefer targets in the instance's own zone and are spread by the
// random draw. A target of a higher weight is preferred by more prefixes. Zones without live instances may be cut off by
// a network partition, so their targets are offered only if there are no others.
func (state State) Candidates(catalog coltsfootlink.Catalog, live map[coltsfootlink.ZoneName]bool, request Request) []coltsfootlink.Target {
	affinity := request.Work.Affinity()
	key, limit := affinity, maxAffine
	if affinity == 0 {
		key, limit = request.Draw, maxPlain
	}
	var weights Weights
	if len(request.Work.Prompt) > 0 {
		weights = state.weights[request.Pool]
	}
	var usable, fallback ranking
	for _, target := range catalog.Targets {
		if target.Pool != request.Pool || !catalog.Usable(target) || request.Avoid[target.Name] {
			continue
		}
		candidate := ranked{target: target, score: weights.score(target.Name, key)}
		if affinity == 0 && target.Zone != state.zone {
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

// TrialTarget returns the one target to which all instances send trials of the same barred parts, so that its owner can
// limit them; none if the pool has no usable target. It ignores weights, which may differ between instances.
func TrialTarget(catalog coltsfootlink.Catalog, pool coltsfootlink.PoolName, trial uint64) []coltsfootlink.Target {
	var best ranking
	for _, target := range catalog.Targets {
		if target.Pool == pool && catalog.Usable(target) {
			best = best.with(ranked{target: target, score: hash(target.Name, trial)}, 1)
		}
	}
	return best.targets()
}

// ranked is a target with its sort keys: a shorter distance comes first, then a higher score. The distance is 1 for
// targets in another zone, unless the request has a shared prefix; otherwise it is 0.
type ranked struct {
	target   coltsfootlink.Target
	distance int
	score    uint64
}

// compare returns a negative number if the target ranks before the other one.
func (one ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(one.distance, other.distance), cmp.Compare(other.score, one.score))
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

// score returns the rendezvous hashing score of a target for a key.
func (weights Weights) score(name coltsfootlink.TargetName, key uint64) uint64 {
	score := hash(name, key)
	if weight, found := weights[name]; found {
		return weighted(score, weight)
	}
	return score
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
