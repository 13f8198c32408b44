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
}

// Live returns the live members, leaving ones included.
func (view View) Live() []Member {
	return view.filter(func(member Member) bool { return member.Live })
}

// Candidates returns the live members of a zone that may take new roles.
func (view View) Candidates(zone ZoneName) []Member {
	return view.filter(func(member Member) bool {
		return member.Zone == zone && member.Live && !member.Leaving
	})
}

// Expected returns the members of a zone that may hold roles: those that are listed or live, and not leaving.
func (view View) Expected(zone ZoneName) []Member {
	return view.filter(func(member Member) bool {
		return member.Zone == zone && (member.Listed || member.Live) && !member.Leaving
	})
}

// Member returns the member with the given name.
func (view View) Member(name InstanceName) (Member, bool) {
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
