// Package membership determines which instances of the fleet are live. In each interval an instance probes a few others,
// whatever the size of the fleet, and changes spread as gossip on its heartbeats.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Policy holds the settings of failure detection.
type Policy struct {
	// Fanout is the number of live instances that are probed in each interval.
	Fanout int
	// Interval is the time between two ticks.
	Interval time.Duration
	// ReplyTimeout is the timeout of a direct probe, and again of the indirect probes that follow it.
	ReplyTimeout time.Duration
}

// State is what one instance knows about the fleet; it is immutable.
type State struct {
	policy Policy
	own    coltsfootlink.HeartbeatEntry
	// members holds pointers, since the map copies its values; what they point to does not change.
	members *immutable.SortedMap[coltsfootlink.InstanceName, *member]
	// viewChanges counts the changes of what View returns.
	viewChanges uint64
	// updates holds the instances whose newest entry may not have reached all others yet, and how often it was sent.
	updates *immutable.SortedMap[coltsfootlink.InstanceName, int]
	// signature is the XOR of the signatures of all live members and the instance itself. Instances compare it to find out
	// whether they know the same.
	signature uint64
	// round holds the neighbours that are still to be probed in this round, in random order.
	round []coltsfootlink.InstanceName
	// tickDeadline is the time after which a late tick means that the process is taken to have been suspended.
	tickDeadline time.Time
	// nextSyncAt is the earliest time of the next full heartbeat to an instance with another signature.
	nextSyncAt time.Time
}

// NewState returns the state of an instance that knows only itself and its seeds.
func NewState(self coltsfootlink.Instance, seeds []coltsfootlink.Instance, policy Policy) State {
	own := coltsfootlink.HeartbeatEntry{Instance: self}
	state := State{
		policy:    policy,
		own:       own,
		members:   immutable.NewSortedMap[coltsfootlink.InstanceName, *member](nil),
		updates:   immutable.NewSortedMap[coltsfootlink.InstanceName, int](nil),
		signature: signature(own),
	}
	return state.WithSeeds(seeds)
}

// WithSeeds adds the instances that the settings name, as unresponsive if they are not known yet.
func (state State) WithSeeds(seeds []coltsfootlink.Instance) State {
	for _, seed := range seeds {
		if seed.Name == state.own.Instance.Name {
			continue
		}
		known, found := state.member(seed.Name)
		if !found {
			known = member{entry: coltsfootlink.HeartbeatEntry{Instance: seed, Unresponsive: true}}
		}
		known.seed = true
		state = state.withMember(known)
	}
	return state
}

// WithLeaving marks the instance itself as leaving.
func (state State) WithLeaving() State {
	own := state.own
	own.Instance = own.Instance.WithLeaving(true)
	own.Sequence++
	return state.withOwn(own)
}

// WithListing applies a new instance list: listed instances are added, and unlisted ones that are neither live nor seeds
// are removed.
func (state State) WithListing(listing coltsfootlink.Listing) State {
	listed := make(map[coltsfootlink.InstanceName]coltsfootlink.Instance, len(listing.Instances))
	for _, instance := range listing.Instances {
		listed[instance.Name] = instance
	}
	for iterator := state.members.Iterator(); !iterator.Done(); {
		name, stored, _ := iterator.Next()
		known := *stored
		if _, known.listed = listed[name]; !known.listed && !known.live() && !known.seed {
			state = state.withoutMember(name)
			continue
		}
		state = state.withMember(known)
	}
	for name, instance := range listed {
		if name != state.own.Instance.Name {
			state = state.withListed(instance)
		}
	}
	return state
}

func (state State) withListed(instance coltsfootlink.Instance) State {
	known, found := state.member(instance.Name)
	if !found || instance.Incarnation > known.entry.Instance.Incarnation {
		// With incarnation 0, any entry from the instance itself supersedes the one from the list.
		instance.Incarnation = 0
		known.entry = coltsfootlink.HeartbeatEntry{Instance: instance, Unresponsive: true}
	}
	known.entry.Instance.PeerAddress = instance.PeerAddress
	known.listed = true
	return state.withMember(known)
}

// View returns the instance itself and all members, ordered by name.
func (state State) View() coltsfootlink.View {
	view := coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: state.own.Instance, Listed: true, Live: true}}}
	for iterator := state.members.Iterator(); !iterator.Done(); {
		_, known, _ := iterator.Next()
		view.Members = append(view.Members, coltsfootlink.Member{
			Instance: known.entry.Instance,
			Listed:   known.listed,
			Live:     known.live(),
		})
	}
	slices.SortFunc(view.Members, func(left, right coltsfootlink.Member) int { return cmp.Compare(left.Name, right.Name) })
	return view
}

// withOwn replaces the instance's own entry.
func (state State) withOwn(own coltsfootlink.HeartbeatEntry) State {
	state.signature ^= signature(state.own) ^ signature(own)
	state.viewChanges++
	state.own = own
	return state
}

// member returns a member; false if it is not known.
func (state State) member(name coltsfootlink.InstanceName) (member, bool) {
	if known, found := state.members.Get(name); found {
		return *known, true
	}
	return member{}, false
}

// withMember adds or replaces a member and updates the signature.
func (state State) withMember(known member) State {
	name := known.entry.Instance.Name
	before, found := state.member(name)
	if !found || before.entry != known.entry {
		state.signature ^= known.signature()
		if found {
			state.signature ^= before.signature()
		}
	}
	if !found || before.entry != known.entry || before.listed != known.listed {
		state.viewChanges++
	}
	state.members = state.members.Set(name, &known)
	return state
}

// withoutMember removes a member that is not live, which the signature does not include.
func (state State) withoutMember(name coltsfootlink.InstanceName) State {
	state.viewChanges++
	state.members = state.members.Delete(name)
	return state
}

// names returns the names of the members that meet the condition, in alphabetical order.
func (state State) names(holds func(member) bool) []coltsfootlink.InstanceName {
	var names []coltsfootlink.InstanceName
	for iterator := state.members.Iterator(); !iterator.Done(); {
		if name, known, _ := iterator.Next(); holds(*known) {
			names = append(names, name)
		}
	}
	return names
}
