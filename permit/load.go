package permit

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/health"
)

// WithLoad notes a target's report that was asked for at the given time. A new incarnation confirms
// that the target died, and the strikes against the requests that it ran are posted.
func (state State) WithLoad(now time.Time, load coltsfootlink.Load, asked time.Time) (State, []Post) {
	var strikes []coltsfootlink.Strike
	state = state.withSlot(load.Target, func(owned shard, slot Slot) Slot {
		died := len(slot.suspects) > 0 && load.Incarnation > slot.suspectIncarnation
		slot = slot.withLoad(now, load, asked, state.portion(owned, slot.Limit()))
		if died || asked.After(slot.downSince) {
			slot, strikes = slot.withoutSuspects(now.Add(health.StrikeTTL))
		}
		if !died {
			strikes = nil
		}
		return slot
	})
	return state, state.strikePosts(strikes)
}

// WithMissingLoad notes that a target does not answer; one that refuses connections has stopped and will start cold.
func (state State) WithMissingLoad(now time.Time, missing coltsfootlink.LoadMissing) (State, []Post) {
	var strikes []coltsfootlink.Strike
	state = state.withSlot(missing.Target, func(_ shard, slot Slot) Slot {
		if missing.Refused {
			slot.limiter = slot.limiter.WithCold(now)
			slot, strikes = slot.withoutSuspects(now.Add(health.StrikeTTL))
		}
		return slot.withDown(now)
	})
	return state, state.strikePosts(strikes)
}

// strikePosts tells all live instances of strikes.
func (state State) strikePosts(strikes []coltsfootlink.Strike) []Post {
	if len(strikes) == 0 {
		return nil
	}
	var posts []Post
	for _, member := range state.view.Live() {
		posts = append(posts, Post{To: member.Name, Message: coltsfootlink.Strikes{Strikes: strikes}})
	}
	return posts
}
