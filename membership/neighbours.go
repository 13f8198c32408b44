package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

// maxProbedByAll is the number of other live instances up to which an instance probes all of them.
const maxProbedByAll = 12

// neighbours returns the live instances that this one probes. In a large fleet these are few, so that an instance keeps
// connections to few: on a ring of all live instances, ordered by a hash, those at the distances 1, 2, 4 and so on, and the
// same on the ring of its zone. Each instance has as many neighbours that probe it, a change spreads to all in as many
// steps as the fleet has doublings, and a zone that is cut off is still connected.
func (state State) neighbours() []coltsfootlink.InstanceName {
	live := state.names(member.live)
	if len(live) <= maxProbedByAll {
		return live
	}
	self := state.own.Instance
	var zone []coltsfootlink.InstanceName
	for _, name := range live {
		if known, _ := state.member(name); known.entry.Instance.Zone == self.Zone {
			zone = append(zone, name)
		}
	}
	chosen := append(fingers(self.Name, live), fingers(self.Name, zone)...)
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

// fingers returns the others at the distances that are powers of two on a ring of an instance and others.
func fingers(self coltsfootlink.InstanceName, others []coltsfootlink.InstanceName) []coltsfootlink.InstanceName {
	hashes := make(map[coltsfootlink.InstanceName]uint64, len(others)+1)
	ring := append(slices.Clone(others), self)
	for _, name := range ring {
		hashes[name] = xxhash.Sum64String(string(name))
	}
	slices.SortFunc(ring, func(left, right coltsfootlink.InstanceName) int {
		return cmp.Or(cmp.Compare(hashes[left], hashes[right]), cmp.Compare(left, right))
	})
	own := slices.Index(ring, self)
	var chosen []coltsfootlink.InstanceName
	for distance := 1; distance < len(ring); distance *= 2 {
		chosen = append(chosen, ring[(own+distance)%len(ring)])
	}
	return chosen
}
