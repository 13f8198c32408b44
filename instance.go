package coltsfootlink

// InstanceName identifies an instance across restarts.
type InstanceName string

// Instance is one running router daemon.
type Instance struct {
	Name InstanceName
	Zone ZoneName
	// PeerAddress is the host and port on which the instance accepts messages from its peers.
	PeerAddress string
	// Incarnation grows with each restart of the instance.
	Incarnation uint64
	// Leaving indicates that the instance is shutting down and takes no new roles.
	Leaving bool
	// Capacity is the CPU capacity of the instance in thousandths of a core; zero if it is not known.
	Capacity int
}

// WithLeaving returns the instance with its Leaving mark set or cleared.
func (instance Instance) WithLeaving(leaving bool) Instance {
	instance.Leaving = leaving
	return instance
}

// Member is an instance as seen by another instance.
type Member struct {
	Instance
	// Listed reports whether the platform's instance list contains the instance.
	Listed bool
	// Live reports whether the instance answers heartbeats.
	Live bool
}

// View is one instance's view of the fleet's membership; members are sorted by name.
type View struct {
	Members []Member

	// index holds what the methods would otherwise look for among the members; nil if it was not built.
	index *viewIndex
}

// viewIndex holds the members of a view by their use.
type viewIndex struct {
	positions  map[InstanceName]int
	live       []Member
	candidates map[ZoneName][]Member
	capable    map[ZoneName][]Member
	// allCapable are the capable members of the whole fleet.
	allCapable []Member
}

// WithIndex returns the view with an index, which makes its methods fast.
func (view View) WithIndex() View {
	index := &viewIndex{positions: make(map[InstanceName]int, len(view.Members)), candidates: make(map[ZoneName][]Member), capable: make(map[ZoneName][]Member)}
	for position, member := range view.Members {
		index.positions[member.Name] = position
		if member.Live {
			index.live = append(index.live, member)
		}
		if member.Live && !member.Leaving {
			index.candidates[member.Zone] = append(index.candidates[member.Zone], member)
		}
	}
	for zone, candidates := range index.candidates {
		index.capable[zone] = capable(candidates)
	}
	index.allCapable = capable(view.available())
	view.index = index
	return view
}

// Live returns the live members, leaving ones included.
func (view View) Live() []Member {
	if view.index != nil {
		return view.index.live
	}
	return view.filter(func(member Member) bool { return member.Live })
}

// JoinedSince returns the live members that were not live in an earlier view, or have started again since.
func (view View) JoinedSince(before View) []Member {
	var joined []Member
	for _, member := range view.Live() {
		known, found := before.Member(member.Name)
		if !found || !known.Live || known.Incarnation != member.Incarnation {
			joined = append(joined, member)
		}
	}
	return joined
}

// Candidates returns the live members of a zone that may take new roles.
func (view View) Candidates(zone ZoneName) []Member {
	if view.index != nil {
		return view.index.candidates[zone]
	}
	return view.filter(func(member Member) bool {
		return member.Zone == zone && member.Live && !member.Leaving
	})
}

// Capable returns the candidates of a zone with the most CPU capacity, at least half of that of the strongest of them. They
// take the roles in which one instance works for many.
func (view View) Capable(zone ZoneName) []Member {
	if view.index != nil {
		return view.index.capable[zone]
	}
	return capable(view.Candidates(zone))
}

// AllCapable returns the capable ones among the candidates of all zones.
func (view View) AllCapable() []Member {
	if view.index != nil {
		return view.index.allCapable
	}
	return capable(view.available())
}

// available returns the candidates of all zones.
func (view View) available() []Member {
	return view.filter(func(member Member) bool { return member.Live && !member.Leaving })
}

// capable returns the members with at least half of the CPU capacity of the strongest one.
func capable(members []Member) []Member {
	strongest := 0
	for _, member := range members {
		strongest = max(strongest, member.Capacity)
	}
	var kept []Member
	for _, member := range members {
		if 2*member.Capacity >= strongest {
			kept = append(kept, member)
		}
	}
	return kept
}

// Expected returns the members of a zone that may hold roles: those that are listed or live, and not leaving.
func (view View) Expected(zone ZoneName) []Member {
	return view.filter(func(member Member) bool {
		return member.Zone == zone && (member.Listed || member.Live) && !member.Leaving
	})
}

// Member returns the member with the given name.
func (view View) Member(name InstanceName) (Member, bool) {
	if view.index != nil {
		position, found := view.index.positions[name]
		if !found {
			return Member{}, false
		}
		return view.Members[position], true
	}
	for _, member := range view.Members {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

func (view View) filter(keep func(Member) bool) []Member {
	var kept []Member
	for _, member := range view.Members {
		if keep(member) {
			kept = append(kept, member)
		}
	}
	return kept
}
