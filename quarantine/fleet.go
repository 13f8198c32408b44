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
	// maxGossip is the number of crashes in a message to a random instance.
	maxGossip = 16
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
		if len(news.Crashes) > 0 && task.tells(before, member.Name) {
			task.Sender.Send(member.Name, news)
		}
	}
	if joined > 0 && 2*joined >= len(fleet.Live()) {
		task.syncBy = task.Clock.Now().Add(syncTimeout)
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

// news returns the newest crashes of each pool, up to a number, those that bars rest on first.
func (task *Task) news(limit int) coltsfootlink.QuarantineNews {
	var news coltsfootlink.QuarantineNews
	for _, state := range task.pools.states {
		crashes := state.Crashes()
		slices.SortStableFunc(crashes, func(one, other coltsfootlink.PromptCrash) int {
			return cmp.Or(cmp.Compare(state.rank(one), state.rank(other)), other.CrashedAt.Compare(one.CrashedAt))
		})
		news.Crashes = append(news.Crashes, crashes[:min(limit, len(crashes))]...)
	}
	return news
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
