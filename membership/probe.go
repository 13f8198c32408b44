package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// helpers is the number of instances that are asked to find out whether a silent one answers them.
	helpers = 3
	// lateTicks is how many intervals a tick may be late before the instance counts as having stood still.
	lateTicks = 2
	// forgetSpan is how long an instance that is neither listed nor a seed is remembered while it is silent.
	forgetSpan = time.Minute
)

// Outgoing is a heartbeat for another instance.
type Outgoing struct {
	To        coltsfootlink.InstanceName
	Heartbeat coltsfootlink.Heartbeat
}

// WithTick asks the next instances for a sign of life, and others about those that have not answered.
func (state State) WithTick(now time.Time) (State, []Outgoing) {
	if !state.tickBy.IsZero() && now.After(state.tickBy) {
		// Answers may wait in the mailbox, and nobody was asked meanwhile.
		state = state.withoutProbes()
	}
	state.tickBy = now.Add((1 + lateTicks) * state.policy.Interval)
	state, outgoing := state.withAnswersMissing(now)
	state, receivers := state.nextReceivers()
	for _, name := range receivers {
		known, _ := state.members.Get(name)
		if known.live() && known.answerBy.IsZero() {
			known.answerBy = now.Add(state.policy.AnswerLimit)
			state = state.withMember(known)
		}
		outgoing = append(outgoing, Outgoing{To: name, Heartbeat: coltsfootlink.Heartbeat{ReplyRequested: true}})
	}
	return state.withNews(outgoing)
}

// WithAnnouncement tells as many others at once as one interval would.
func (state State) WithAnnouncement() (State, []Outgoing) {
	state, receivers := state.nextReceivers()
	var outgoing []Outgoing
	for _, name := range receivers {
		outgoing = append(outgoing, Outgoing{To: name})
	}
	return state.withNews(outgoing)
}

func (state State) withoutProbes() State {
	for _, name := range state.names(func(known member) bool { return !known.answerBy.IsZero() }) {
		known, _ := state.members.Get(name)
		state = state.withMember(known.withoutProbe())
	}
	return state
}

// withAnswersMissing looks at the instances that have not answered in time: first others are asked about them, then
// they count as silent. Those that have long been silent are forgotten.
func (state State) withAnswersMissing(now time.Time) (State, []Outgoing) {
	var outgoing []Outgoing
	late := func(known member) bool { return !known.answerBy.IsZero() && now.After(known.answerBy) }
	for _, name := range state.names(late) {
		known, _ := state.members.Get(name)
		asked := state.helpersFor(name)
		if known.indirect || len(asked) == 0 {
			silent := known.beat
			silent.Unresponsive = true
			state = state.withWord(now, silent)
			continue
		}
		known.indirect = true
		known.answerBy = now.Add(state.policy.AnswerLimit)
		state = state.withMember(known)
		for _, helper := range asked {
			outgoing = append(outgoing, Outgoing{To: helper, Heartbeat: coltsfootlink.Heartbeat{Probe: name}})
		}
	}
	gone := func(known member) bool {
		return !known.live() && !known.listed && !known.seed && now.After(known.silentSince.Add(forgetSpan))
	}
	for _, name := range state.names(gone) {
		state.members = state.members.Delete(name)
	}
	return state, outgoing
}

// helpersFor returns some live instances other than the given one.
func (state State) helpersFor(name coltsfootlink.InstanceName) []coltsfootlink.InstanceName {
	live := state.names(func(known member) bool { return known.live() && known.beat.Instance.Name != name })
	rand.Shuffle(len(live), func(left, right int) { live[left], live[right] = live[right], live[left] })
	return live[:min(helpers, len(live))]
}

// nextReceivers returns the next live instances of the round, and one that is silent; more of these if few are live.
func (state State) nextReceivers() (State, []coltsfootlink.InstanceName) {
	var receivers []coltsfootlink.InstanceName
	isLive := func(name coltsfootlink.InstanceName) bool {
		known, found := state.members.Get(name)
		return found && known.live()
	}
	for begun := false; len(receivers) < state.policy.Fanout; {
		if len(state.round) == 0 {
			if begun {
				break
			}
			begun = true
			state.round = state.names(member.live)
			rand.Shuffle(len(state.round), func(left, right int) { state.round[left], state.round[right] = state.round[right], state.round[left] })
			continue
		}
		next := state.round[0]
		state.round = state.round[1:]
		if isLive(next) && !slices.Contains(receivers, next) {
			receivers = append(receivers, next)
		}
	}
	silent := state.names(func(known member) bool { return !known.live() })
	rand.Shuffle(len(silent), func(left, right int) { silent[left], silent[right] = silent[right], silent[left] })
	most := max(1, state.policy.Fanout-len(receivers))
	return state, append(receivers, silent[:min(most, len(silent))]...)
}
