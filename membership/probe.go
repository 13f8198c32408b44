package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// indirectProbers is the number of other instances that are asked to probe one that has not replied.
	indirectProbers = 3
	// maxLateTicks is how many intervals a tick may be late before the process is taken to have been suspended.
	maxLateTicks = 2
	// forgetAfter is how long an unresponsive instance is remembered if it is neither listed nor a seed.
	forgetAfter = time.Minute
)

// Outgoing is a heartbeat to send to another instance.
type Outgoing struct {
	To        coltsfootlink.InstanceName
	Heartbeat coltsfootlink.Heartbeat
}

// WithTick probes the next instances of the round, and requests indirect probes of those that have not replied in time.
func (state State) WithTick(now time.Time) (State, []Outgoing) {
	if !state.tickDeadline.IsZero() && now.After(state.tickDeadline) {
		// The process was suspended: replies may still be in the mailbox, and no probes were sent meanwhile, so replies that
		// look overdue mean nothing.
		state = state.withoutProbes()
	}
	state.tickDeadline = now.Add((1 + maxLateTicks) * state.policy.Interval)
	state, outgoing := state.withTimeouts(now)
	state, receivers := state.nextReceivers()
	for _, name := range receivers {
		known, _ := state.member(name)
		if known.live() && known.replyDeadline.IsZero() {
			known.replyDeadline = now.Add(state.policy.ReplyTimeout)
			state = state.withMember(known)
		}
		outgoing = append(outgoing, Outgoing{To: name, Heartbeat: coltsfootlink.Heartbeat{ReplyRequested: true}})
	}
	return state.withUpdates(outgoing)
}

// WithAnnouncement sends heartbeats at once to as many instances as a tick does, without asking for replies.
func (state State) WithAnnouncement() (State, []Outgoing) {
	state, receivers := state.nextReceivers()
	var outgoing []Outgoing
	for _, name := range receivers {
		outgoing = append(outgoing, Outgoing{To: name})
	}
	return state.withUpdates(outgoing)
}

func (state State) withoutProbes() State {
	for _, name := range state.names(func(known member) bool { return !known.replyDeadline.IsZero() }) {
		known, _ := state.member(name)
		state = state.withMember(known.withoutProbe())
	}
	return state
}

// withTimeouts handles the instances that have not replied in time: after a direct probe it requests indirect ones, and
// after these, or if no other instance is live, it marks the instance unresponsive. It also forgets instances that have
// been unresponsive for long.
func (state State) withTimeouts(now time.Time) (State, []Outgoing) {
	var outgoing []Outgoing
	overdue := func(known member) bool { return !known.replyDeadline.IsZero() && now.After(known.replyDeadline) }
	for _, name := range state.names(overdue) {
		known, _ := state.member(name)
		probers := state.probersFor(name)
		if known.indirect || len(probers) == 0 {
			entry := known.entry
			entry.Unresponsive = true
			state = state.withEntry(now, entry)
			continue
		}
		known.indirect = true
		known.replyDeadline = now.Add(state.policy.ReplyTimeout)
		state = state.withMember(known)
		for _, prober := range probers {
			outgoing = append(outgoing, Outgoing{To: prober, Heartbeat: coltsfootlink.Heartbeat{Probe: name}})
		}
	}
	expired := func(known member) bool {
		return !known.live() && !known.listed && !known.seed && now.After(known.unresponsiveSince.Add(forgetAfter))
	}
	for _, name := range state.names(expired) {
		state = state.withoutMember(name)
	}
	return state, outgoing
}

// probersFor returns up to indirectProbers random live instances other than the given one.
func (state State) probersFor(name coltsfootlink.InstanceName) []coltsfootlink.InstanceName {
	live := state.names(func(known member) bool { return known.live() && known.entry.Instance.Name != name })
	rand.Shuffle(len(live), func(left, right int) { live[left], live[right] = live[right], live[left] })
	return live[:min(indirectProbers, len(live))]
}

// nextReceivers returns the next neighbours of the round, at most the fan-out, and one random unresponsive instance,
// so that its return is noticed. If fewer instances are live than the fan-out, unresponsive ones make up for them.
func (state State) nextReceivers() (State, []coltsfootlink.InstanceName) {
	var receivers []coltsfootlink.InstanceName
	isLive := func(name coltsfootlink.InstanceName) bool {
		known, found := state.member(name)
		return found && known.live()
	}
	for reshuffled := false; len(receivers) < state.policy.Fanout; {
		if len(state.round) == 0 {
			if reshuffled {
				break
			}
			reshuffled = true
			state.round = state.neighbours()
			rand.Shuffle(len(state.round), func(left, right int) { state.round[left], state.round[right] = state.round[right], state.round[left] })
			continue
		}
		next := state.round[0]
		state.round = state.round[1:]
		if isLive(next) && !slices.Contains(receivers, next) {
			receivers = append(receivers, next)
		}
	}
	unresponsive := state.names(func(known member) bool { return !known.live() })
	rand.Shuffle(len(unresponsive), func(left, right int) {
		unresponsive[left], unresponsive[right] = unresponsive[right], unresponsive[left]
	})
	limit := max(1, state.policy.Fanout-len(receivers))
	return state, append(receivers, unresponsive[:min(limit, len(unresponsive))]...)
}
