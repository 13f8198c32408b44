package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// maxNews is the number of words on other instances in one heartbeat.
	maxNews = 8
	// tellFactor is how often a word is passed on for each doubling of the fleet.
	tellFactor = 2
	// syncInterval is the least time between two messages with all that is known.
	syncInterval = time.Second
)

// WithHeartbeat learns from a heartbeat and returns what is to be answered.
func (state State) WithHeartbeat(now time.Time, from coltsfootlink.InstanceName, heartbeat coltsfootlink.Heartbeat) (State, []Outgoing) {
	before := state
	known, found := state.members.Get(from)
	newcomer := !found || !known.live()
	contradicts := false
	for _, beat := range heartbeat.Entries {
		if beat.Instance.Name == state.own.Instance.Name {
			state, contradicts = state.withWordOnSelf(beat)
			continue
		}
		state = state.withWord(now, beat)
	}
	if heartbeat.Full {
		// Others learn of it by their signatures.
		state.news = before.news
	}
	state = state.withAnswer(from).withTrust(now, from)
	var outgoing []Outgoing
	sender, found := state.members.Get(from)
	switch {
	case heartbeat.ReplyRequested:
		outgoing = append(outgoing, Outgoing{To: from, Heartbeat: coltsfootlink.Heartbeat{OnBehalfOf: heartbeat.OnBehalfOf}})
	case contradicts, found && !sender.live():
		// The sender believes something else of one of the two, and has to be told.
		outgoing = append(outgoing, Outgoing{To: from})
	}
	if heartbeat.OnBehalfOf != "" && !heartbeat.ReplyRequested {
		outgoing = append(outgoing, Outgoing{To: heartbeat.OnBehalfOf, Heartbeat: coltsfootlink.Heartbeat{Reachable: from}})
	}
	if heartbeat.Probe != "" {
		outgoing = append(outgoing, Outgoing{To: heartbeat.Probe, Heartbeat: coltsfootlink.Heartbeat{ReplyRequested: true, OnBehalfOf: from}})
	}
	if heartbeat.Reachable != "" {
		state = state.withAnswer(heartbeat.Reachable)
	}
	state, outgoing = state.withNews(outgoing)
	if heartbeat.Signature != state.signature && (newcomer || now.After(state.syncAt)) {
		state.syncAt = now.Add(syncInterval)
		outgoing = append(outgoing, Outgoing{To: from, Heartbeat: coltsfootlink.Heartbeat{Entries: state.all(), Full: true, Signature: state.signature}})
	}
	return state, outgoing
}

// withWord takes a word on another instance if it is newer than what is known and not mistaken; one that contradicts
// what is known makes that news again.
func (state State) withWord(now time.Time, beat coltsfootlink.HeartbeatEntry) State {
	known, found := state.members.Get(beat.Instance.Name)
	switch {
	case !found && beat.Unresponsive:
		return state
	case found && (!newer(beat, known.beat) || known.trusted(now, beat)):
		if beat.Unresponsive != known.beat.Unresponsive {
			state.news = state.news.Set(beat.Instance.Name, 0)
		}
		return state
	}
	address := known.beat.Instance.PeerAddress
	known.beat = beat
	if known.listed && address != "" {
		// The list knows by which address the instance is reached from here.
		known.beat.Instance.PeerAddress = address
	}
	state.news = state.news.Set(beat.Instance.Name, 0)
	if beat.Unresponsive {
		known.silentSince = now
		known = known.withoutProbe()
	}
	return state.withMember(known)
}

// withWordOnSelf contradicts what is wrong in a word on the instance itself, and says whether it did.
func (state State) withWordOnSelf(beat coltsfootlink.HeartbeatEntry) (State, bool) {
	own := state.own
	switch {
	case beat.Instance.Incarnation > own.Instance.Incarnation:
		// The clock has gone back before this start.
		own.Instance.Incarnation = beat.Instance.Incarnation + 1
	case beat.Instance.Incarnation == own.Instance.Incarnation && beat.Unresponsive && beat.Sequence >= own.Sequence:
		own.Sequence = beat.Sequence + 1
	default:
		return state, false
	}
	return state.withOwn(own), true
}

// withAnswer notes that an instance has answered.
func (state State) withAnswer(name coltsfootlink.InstanceName) State {
	known, found := state.members.Get(name)
	if !found || known.answerBy.IsZero() {
		return state
	}
	return state.withMember(known.withoutProbe())
}

// withTrust notes that an instance was heard of by itself. Its silence cannot be found out sooner than by two
// questions in a row that it leaves unanswered. Instances that were cut off took all on the other side for silent, and
// say so when they are back.
func (state State) withTrust(now time.Time, name coltsfootlink.InstanceName) State {
	known, found := state.members.Get(name)
	if !found {
		return state
	}
	known.trustedUntil = now.Add(2 * state.policy.AnswerLimit)
	return state.withMember(known)
}

// withNews fills heartbeats with the instance's own beat, what their receivers believe wrongly, and the news that
// was told least often.
func (state State) withNews(outgoing []Outgoing) (State, []Outgoing) {
	for place, heartbeat := range outgoing {
		beats := []coltsfootlink.HeartbeatEntry{state.own}
		if receiver, found := state.members.Get(heartbeat.To); found && !receiver.live() && receiver.beat.Instance.Incarnation > 0 {
			beats = append(beats, receiver.beat)
		}
		for _, name := range state.leastTold() {
			state = state.withTelling(name)
			if known, found := state.members.Get(name); found && name != heartbeat.To {
				beats = append(beats, known.beat)
			}
		}
		heartbeat.Heartbeat.Entries = beats
		heartbeat.Heartbeat.Signature = state.signature
		outgoing[place] = heartbeat
	}
	return state, outgoing
}

// leastTold returns the news for one heartbeat.
func (state State) leastTold() []coltsfootlink.InstanceName {
	type telling struct {
		name coltsfootlink.InstanceName
		told int
	}
	var news []telling
	for iterator := state.news.Iterator(); !iterator.Done(); {
		name, told, _ := iterator.Next()
		news = append(news, telling{name, told})
	}
	slices.SortStableFunc(news, func(left, right telling) int { return cmp.Compare(left.told, right.told) })
	var names []coltsfootlink.InstanceName
	for _, next := range news[:min(maxNews, len(news))] {
		names = append(names, next.name)
	}
	return names
}

// withTelling counts that a word was passed on; after a few times for each doubling of the fleet all have heard it.
func (state State) withTelling(name coltsfootlink.InstanceName) State {
	told, _ := state.news.Get(name)
	if told+1 >= tellFactor*bits.Len(uint(state.members.Len())) {
		state.news = state.news.Delete(name)
	} else {
		state.news = state.news.Set(name, told+1)
	}
	return state
}

// all returns the instance's own beat and those of all others that were heard of.
func (state State) all() []coltsfootlink.HeartbeatEntry {
	beats := []coltsfootlink.HeartbeatEntry{state.own}
	for _, name := range state.names(func(known member) bool { return known.beat.Instance.Incarnation > 0 }) {
		known, _ := state.members.Get(name)
		beats = append(beats, known.beat)
	}
	return beats
}
