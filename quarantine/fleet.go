package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

const (
	// syncPeers is the number of instances that tell an instance that joins what they know.
	syncPeers = 3
	// maxGossip is the number of crashes that a random instance is told of.
	maxGossip = 16
	// messageSuspects is the number of suspects after which a message ends and the next one begins.
	messageSuspects = 4096
)

// handleFleet tells instances that have joined what this one knows. If most of the fleet is new to this instance, it has
// started or was cut off, and asks what others know.
func (task *Task) handleFleet(fleet coltsfootlink.View) {
	before := task.fleet
	task.fleet = fleet
	joined, news := 0, task.news(maxCrashes)
	for _, member := range fleet.JoinedSince(before) {
		if member.Name == task.Self {
			continue
		}
		joined++
		if !task.tells(before, member.Name) {
			continue
		}
		for _, message := range news {
			if len(message.Crashes) > 0 {
				task.Sender.Send(member.Name, message)
			}
		}
	}
	if joined > 0 && 2*joined >= len(fleet.Live()) {
		task.syncBy, task.told = task.Clock.Now().Add(syncTimeout), false
		task.setSynced(false)
		task.requestNews()
	}
}

// tells reports whether this instance is one of those that tell an instance that has joined what they know. One that has just
// started leaves that to others.
func (task *Task) tells(before coltsfootlink.View, joined coltsfootlink.InstanceName) bool {
	if len(before.Members) == 0 {
		return false
	}
	weight := func(name coltsfootlink.InstanceName) uint64 {
		return xxhash.Sum64String(string(joined) + "/" + string(name))
	}
	ahead := 0
	for _, member := range before.Live() {
		if member.Name != joined && weight(member.Name) > weight(task.Self) {
			ahead++
		}
	}
	return ahead < syncPeers
}

// requestNews asks some live instances for what they know.
func (task *Task) requestNews() {
	others := task.others()
	rand.Shuffle(len(others), func(one, other int) { others[one], others[other] = others[other], others[one] })
	for _, name := range others[:min(syncPeers, len(others))] {
		task.Sender.Send(name, coltsfootlink.QuarantineRequest{})
	}
}

// news returns messages with the newest crashes of each pool, up to a number, those that bars rest on first; at least one
// message, which may be empty.
func (task *Task) news(limit int) []coltsfootlink.QuarantineNews {
	messages, suspects := make([]coltsfootlink.QuarantineNews, 1), 0
	for _, state := range task.pools.states {
		crashes := slices.DeleteFunc(state.Crashes(), func(crash coltsfootlink.PromptCrash) bool { return len(crash.Suspects) == 0 })
		slices.SortStableFunc(crashes, func(one, other coltsfootlink.PromptCrash) int {
			return cmp.Or(cmp.Compare(state.rank(one), state.rank(other)), other.CrashedAt.Compare(one.CrashedAt))
		})
		for _, crash := range crashes[:min(limit, len(crashes))] {
			if suspects > messageSuspects {
				messages, suspects = append(messages, coltsfootlink.QuarantineNews{}), 0
			}
			last := &messages[len(messages)-1]
			last.Crashes, suspects = append(last.Crashes, crash), suspects+len(crash.Suspects)
		}
	}
	return messages
}

// others returns the names of the other live instances.
func (task *Task) others() []coltsfootlink.InstanceName {
	var names []coltsfootlink.InstanceName
	for _, member := range task.fleet.Live() {
		if member.Name != task.Self {
			names = append(names, member.Name)
		}
	}
	return names
}

func (task *Task) broadcast(news coltsfootlink.QuarantineNews) {
	for _, name := range task.others() {
		task.Sender.Send(name, news)
	}
}
