package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// maxUpdates is the maximum number of updates in one heartbeat. The sender's own entry and a correction of the
	// receiver's entry come in addition; full heartbeats hold all entries.
	maxUpdates = 32
	// retransmitFactor is how often an entry is sent for each doubling of the fleet size.
	retransmitFactor = 2
	// minSyncInterval is the least time between two full heartbeats, except to instances that were not live before.
	minSyncInterval = time.Second
)

// WithHeartbeat merges a received heartbeat into the state and returns the heartbeats to send in response.
func (state State) WithHeartbeat(now time.Time, from coltsfootlink.InstanceName, heartbeat coltsfootlink.Heartbeat) (State, []Outgoing) {
	before := state
	known, found := state.member(from)
	newcomer := !found || !known.live()
	refuted := false
	for _, entry := range heartbeat.Entries {
		if entry.Instance.Name == state.own.Instance.Name {
			state, refuted = state.withEntryOnSelf(entry)
			continue
		}
		state = state.withEntry(now, entry)
	}
	if heartbeat.Full {
		// Entries of a full heartbeat are not spread further: instances that lack them have another signature, and get a
		// full heartbeat themselves.
		state.updates = before.updates
	}
	state = state.withReply(from).withDirectContact(now, from)
	var outgoing []Outgoing
	sender, found := state.member(from)
	switch {
	case heartbeat.ReplyRequested:
		outgoing = append(outgoing, Outgoing{To: from, Heartbeat: coltsfootlink.Heartbeat{OnBehalfOf: heartbeat.OnBehalfOf}})
	case refuted, found && !sender.live():
		// The sender has a wrong entry on this instance, or does not know that it is taken for unresponsive itself. The
		// entries that withUpdates adds correct it.
		outgoing = append(outgoing, Outgoing{To: from})
	}
	if heartbeat.OnBehalfOf != "" && !heartbeat.ReplyRequested {
		outgoing = append(outgoing, Outgoing{To: heartbeat.OnBehalfOf, Heartbeat: coltsfootlink.Heartbeat{Reachable: from}})
	}
	if heartbeat.Probe != "" {
		outgoing = append(outgoing, Outgoing{To: heartbeat.Probe, Heartbeat: coltsfootlink.Heartbeat{ReplyRequested: true, OnBehalfOf: from}})
	}
	if heartbeat.Reachable != "" {
		state = state.withReply(heartbeat.Reachable)
	}
	state, outgoing = state.withUpdates(outgoing)
	if heartbeat.Signature != state.signature && (newcomer || now.After(state.nextSyncAt)) {
		state.nextSyncAt = now.Add(minSyncInterval)
		outgoing = append(outgoing, Outgoing{To: from, Heartbeat: coltsfootlink.Heartbeat{Entries: state.allEntries(), Full: true, Signature: state.signature}})
	}
	return state, outgoing
}

// withEntry replaces the known entry on another instance if the received one is newer and not certainly wrong. If a
// received entry is discarded and contradicts the known one, the known one is spread again.
func (state State) withEntry(now time.Time, entry coltsfootlink.HeartbeatEntry) State {
	known, found := state.member(entry.Instance.Name)
	switch {
	case !found && entry.Unresponsive:
		return state
	case found && (!newer(entry, known.entry) || known.confirmedLive(now, entry)):
		if entry.Unresponsive != known.entry.Unresponsive {
			state.updates = state.updates.Set(entry.Instance.Name, 0)
		}
		return state
	}
	address := known.entry.Instance.PeerAddress
	known.entry = entry
	if known.listed && address != "" {
		// The instance list has the address at which the instance can be reached from here.
		known.entry.Instance.PeerAddress = address
	}
	state.updates = state.updates.Set(entry.Instance.Name, 0)
	if entry.Unresponsive {
		known.unresponsiveSince = now
		known = known.withoutProbe()
	}
	return state.withMember(known)
}

// withEntryOnSelf refutes a wrong entry on the instance itself by raising its own incarnation or sequence, and reports
// whether it did.
func (state State) withEntryOnSelf(entry coltsfootlink.HeartbeatEntry) (State, bool) {
	own := state.own
	switch {
	case entry.Instance.Incarnation > own.Instance.Incarnation:
		// The clock went back before this start, and the incarnation is taken from the clock.
		own.Instance.Incarnation = entry.Instance.Incarnation + 1
	case entry.Instance.Incarnation == own.Instance.Incarnation && entry.Unresponsive && entry.Sequence >= own.Sequence:
		own.Sequence = entry.Sequence + 1
	default:
		return state, false
	}
	return state.withOwn(own), true
}

// withReply clears the outstanding probe of an instance that has replied.
func (state State) withReply(name coltsfootlink.InstanceName) State {
	known, found := state.member(name)
	if !found || known.replyDeadline.IsZero() {
		return state
	}
	return state.withMember(known.withoutProbe())
}

// withDirectContact notes a heartbeat from an instance itself. Entries from others that call it unresponsive are ignored
// for two reply timeouts, since a direct and an indirect probe have to time out in a row before it can be found
// unresponsive. Such wrong entries come up after a network partition, when instances still report all those on the other
// side as unresponsive.
func (state State) withDirectContact(now time.Time, name coltsfootlink.InstanceName) State {
	known, found := state.member(name)
	if !found {
		return state
	}
	known.confirmedUntil = now.Add(2 * state.policy.ReplyTimeout)
	return state.withMember(known)
}

// withUpdates fills heartbeats with the instance's own entry, the receiver's entry if the receiver is taken for
// unresponsive, so that it can refute it, and the updates that were sent least often.
func (state State) withUpdates(outgoing []Outgoing) (State, []Outgoing) {
	for index, heartbeat := range outgoing {
		entries := []coltsfootlink.HeartbeatEntry{state.own}
		if receiver, found := state.member(heartbeat.To); found && !receiver.live() && receiver.entry.Instance.Incarnation > 0 {
			entries = append(entries, receiver.entry)
		}
		for _, name := range state.leastSentUpdates() {
			state = state.withUpdateSent(name)
			if known, found := state.member(name); found && name != heartbeat.To {
				entries = append(entries, known.entry)
			}
		}
		heartbeat.Heartbeat.Entries = entries
		heartbeat.Heartbeat.Signature = state.signature
		outgoing[index] = heartbeat
	}
	return state, outgoing
}

// leastSentUpdates returns the names of the instances whose entries go into the next heartbeat, at most maxUpdates.
func (state State) leastSentUpdates() []coltsfootlink.InstanceName {
	type update struct {
		name coltsfootlink.InstanceName
		sent int
	}
	var updates []update
	for iterator := state.updates.Iterator(); !iterator.Done(); {
		name, sent, _ := iterator.Next()
		updates = append(updates, update{name, sent})
	}
	slices.SortStableFunc(updates, func(left, right update) int { return cmp.Compare(left.sent, right.sent) })
	var names []coltsfootlink.InstanceName
	for _, next := range updates[:min(maxUpdates, len(updates))] {
		names = append(names, next.name)
	}
	return names
}

// withUpdateSent counts that an update was sent. It is dropped after retransmitFactor sends for each doubling of the fleet
// size, by when it is expected to have reached all instances.
func (state State) withUpdateSent(name coltsfootlink.InstanceName) State {
	sent, _ := state.updates.Get(name)
	if sent+1 >= retransmitFactor*bits.Len(uint(state.members.Len())) {
		state.updates = state.updates.Delete(name)
	} else {
		state.updates = state.updates.Set(name, sent+1)
	}
	return state
}

// allEntries returns the instance's own entry and those of all other instances that have been seen.
func (state State) allEntries() []coltsfootlink.HeartbeatEntry {
	entries := []coltsfootlink.HeartbeatEntry{state.own}
	for _, name := range state.names(func(known member) bool { return known.entry.Instance.Incarnation > 0 }) {
		known, _ := state.member(name)
		entries = append(entries, known.entry)
	}
	return entries
}
