// Package membership decides which instances of the fleet are live. Each instance asks a few others for a sign of
// life in each interval, whatever the size of the fleet, and what it learns spreads with its heartbeats.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Policy is how an instance watches the others.
type Policy struct {
	// Fanout is the number of live instances that are asked for a sign of life in each interval.
	Fanout int
	// Interval is the time between two ticks.
	Interval time.Duration
	// AnswerLimit is how long an instance, and then others on its behalf, may take to answer.
	AnswerLimit time.Duration
}

// State is what one instance knows of the fleet; it is immutable.
type State struct {
	policy  Policy
	own     coltsfootlink.HeartbeatEntry
	members *immutable.SortedMap[coltsfootlink.InstanceName, member]
	// news is how often the newest words were passed on that not all may have heard.
	news *immutable.SortedMap[coltsfootlink.InstanceName, int]
	// signature is that of the live members, the instance itself among them.
	signature uint64
	// round holds the members that are still to be asked in this round.
	round []coltsfootlink.InstanceName
	// tickBy is when the next tick is late: the instance itself may have stood still.
	tickBy time.Time
	// syncAt is when all that is known may next be sent to an instance that knows something else.
	syncAt time.Time
}

// NewState returns the state of an instance that knows only itself and its seeds.
func NewState(self coltsfootlink.Instance, seeds []coltsfootlink.Instance, policy Policy) State {
	own := coltsfootlink.HeartbeatEntry{Instance: self}
	state := State{
		policy:    policy,
		own:       own,
		members:   immutable.NewSortedMap[coltsfootlink.InstanceName, member](nil),
		news:      immutable.NewSortedMap[coltsfootlink.InstanceName, int](nil),
		signature: signature(own),
	}
	return state.WithSeeds(seeds)
}

// WithSeeds adds instances that may exist and are not known yet.
func (state State) WithSeeds(seeds []coltsfootlink.Instance) State {
	for _, seed := range seeds {
		if seed.Name == state.own.Instance.Name {
			continue
		}
		known, found := state.members.Get(seed.Name)
		if !found {
			known = member{beat: coltsfootlink.HeartbeatEntry{Instance: seed, Unresponsive: true}}
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

// WithListing follows the instance list: it says who may exist.
func (state State) WithListing(listing coltsfootlink.Listing) State {
	listed := make(map[coltsfootlink.InstanceName]coltsfootlink.Instance, len(listing.Instances))
	for _, instance := range listing.Instances {
		listed[instance.Name] = instance
	}
	for iterator := state.members.Iterator(); !iterator.Done(); {
		name, known, _ := iterator.Next()
		if _, known.listed = listed[name]; !known.listed && !known.live() && !known.seed {
			state.members = state.members.Delete(name)
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
	known, found := state.members.Get(instance.Name)
	if !found || instance.Incarnation > known.beat.Instance.Incarnation {
		// Any word of the instance itself is newer than the list's.
		instance.Incarnation = 0
		known.beat = coltsfootlink.HeartbeatEntry{Instance: instance, Unresponsive: true}
	}
	known.beat.Instance.PeerAddress = instance.PeerAddress
	known.listed = true
	return state.withMember(known)
}

// View returns what the instance sees.
func (state State) View() coltsfootlink.View {
	view := coltsfootlink.View{Members: []coltsfootlink.Member{{Instance: state.own.Instance, Listed: true, Live: true}}}
	for iterator := state.members.Iterator(); !iterator.Done(); {
		_, known, _ := iterator.Next()
		view.Members = append(view.Members, coltsfootlink.Member{
			Instance: known.beat.Instance,
			Listed:   known.listed,
			Live:     known.live(),
		})
	}
	slices.SortFunc(view.Members, func(left, right coltsfootlink.Member) int { return cmp.Compare(left.Name, right.Name) })
	return view
}

// withOwn replaces the instance's own beat.
func (state State) withOwn(own coltsfootlink.HeartbeatEntry) State {
	state.signature ^= signature(state.own) ^ signature(own)
	state.own = own
	return state
}

// withMember replaces what is known of an instance.
func (state State) withMember(known member) State {
	name := known.beat.Instance.Name
	if before, found := state.members.Get(name); found {
		state.signature ^= before.signature()
	}
	state.signature ^= known.signature()
	state.members = state.members.Set(name, known)
	return state
}

// names returns the members that a condition holds for, in order.
func (state State) names(holds func(member) bool) []coltsfootlink.InstanceName {
	var names []coltsfootlink.InstanceName
	for iterator := state.members.Iterator(); !iterator.Done(); {
		if name, known, _ := iterator.Next(); holds(known) {
			names = append(names, name)
		}
	}
	return names
}
