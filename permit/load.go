package permit

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/health"
)

// WithLoad applies a target's load report; asked is when the target was asked for it. A new incarnation confirms that
// the target has crashed: the strikes against the requests that it was running are sent to all live instances.
// If the target responds and has not restarted, only connections broke and nobody gets a strike.
func (state State) WithLoad(now time.Time, load coltsfootlink.Load, asked time.Time) (State, []Envelope) {
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
	return state, state.strikeEnvelopes(strikes)
}

// WithMissingLoad records that a target did not report its load and stops grants for it. A target that refuses
// connections has stopped and will start cold.
func (state State) WithMissingLoad(now time.Time, missing coltsfootlink.LoadMissing) (State, []Envelope) {
	var strikes []coltsfootlink.Strike
	state = state.withSlot(missing.Target, func(_ shard, slot Slot) Slot {
		if missing.Refused {
			slot.limiter = slot.limiter.WithCold(now)
			slot, strikes = slot.withoutSuspects(now.Add(health.StrikeTTL))
		}
		return slot.withDown(now)
	})
	return state, state.strikeEnvelopes(strikes)
}

// strikeEnvelopes addresses strikes to all live instances.
func (state State) strikeEnvelopes(strikes []coltsfootlink.Strike) []Envelope {
	if len(strikes) == 0 {
		return nil
	}
	var envelopes []Envelope
	for _, member := range state.view.Live() {
		envelopes = append(envelopes, Envelope{To: member.Name, Message: coltsfootlink.Strikes{Strikes: strikes}})
	}
	return envelopes
}
