// Package quarantine finds the parts of prompts that crash targets, by what the crashes have in common, and holds back
// the requests whose prompts contain them.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"coltsfootlink"
)

const (
	// maxCrashes is the number of crashes that are kept for a pool, and maxSuspects that of their suspects. All parts of a
	// prompt are suspected, so that crashes with many parts are fewer; those that were answered since are not kept.
	maxCrashes  = 64
	maxSuspects = 64 << 10
	// maxUnbegun is the number of crashes that are kept with those before a byte of the answer, which come in dozens.
	maxUnbegun = 256
	// crashTTL is how long a crash is kept; one that a bar rests on is kept until the bar's trial has been due for as long.
	crashTTL = time.Hour
)

// State holds what is known of the prompts of one pool; it is immutable.
type State struct {
	// crashes are sorted by the time of the crash.
	crashes  []coltsfootlink.PromptCrash
	answered answered
	bars     []Bar
	// suspected are the crashes of the pool with the suspects that its answers leave, and elsewhere those of other pools.
	suspected, elsewhere []evidence
	// unexplained are the crashes, here and elsewhere, that no bar explains, with the suspects that are left.
	unexplained []evidence
	// suspectedSince is the time of the earliest crash, here and elsewhere, of which each part is a suspect.
	suspectedSince map[coltsfootlink.PartID]time.Time
}

// NewState returns a state without crashes.
func NewState() State { return State{answered: newAnswered()} }

// WithCrash adds a crash that is not known yet, and when its suspects were last answered. A crash without suspects changes
// nothing.
func (state State) WithCrash(now time.Time, crash coltsfootlink.PromptCrash) State {
	return state.WithCrashes(now, []coltsfootlink.PromptCrash{crash})
}

// WithCrashes does what WithCrash does, for several crashes. They are added together because old ones are kept only as long
// as a bar rests on them, which each of them alone does not show.
func (state State) WithCrashes(now time.Time, crashes []coltsfootlink.PromptCrash) State {
	before, barred := len(state.crashes), false
	for _, crash := range crashes {
		barred = barred || len(crash.Barred) > 0
		for _, suspect := range crash.Suspects {
			state = state.WithAnswered(suspect.AnsweredAt, []coltsfootlink.PartID{suspect.Part})
		}
		state = state.withNewCrash(crash)
	}
	if len(state.crashes) == before && !barred {
		return state
	}
	return state.withBars().WithTime(now).withoutExcess()
}

// withNewCrash inserts a crash with suspects unless it is known; the bars are not derived anew.
func (state State) withNewCrash(crash coltsfootlink.PromptCrash) State {
	if len(crash.Suspects) == 0 {
		return state
	}
	if index := slices.IndexFunc(state.crashes, func(known coltsfootlink.PromptCrash) bool { return sameCrash(known, crash) }); index >= 0 {
		if len(crash.Barred) > len(state.crashes[index].Barred) {
			state.crashes = slices.Clone(state.crashes)
			state.crashes[index].Barred = crash.Barred
		}
		return state
	}
	crash.Suspects = slices.SortedFunc(slices.Values(crash.Suspects), func(one, other coltsfootlink.Suspect) int { return cmp.Compare(one.Part, other.Part) })
	crash.Suspects = slices.CompactFunc(crash.Suspects, func(one, other coltsfootlink.Suspect) bool { return one.Part == other.Part })
	position, _ := slices.BinarySearchFunc(state.crashes, crash.CrashedAt, func(known coltsfootlink.PromptCrash, at time.Time) int {
		return known.CrashedAt.Compare(at)
	})
	state.crashes = slices.Insert(slices.Clone(state.crashes), position, crash)
	return state
}

// WithAnswered records that a target has answered a request with the given parts, which clears them of the crashes before.
func (state State) WithAnswered(at time.Time, parts []coltsfootlink.PartID) State {
	clears := slices.ContainsFunc(parts, func(part coltsfootlink.PartID) bool { return state.clears(part, at) })
	for _, part := range parts {
		state.answered = state.answered.With(part, at)
	}
	if !clears {
		return state
	}
	return state.withBars()
}

// clears reports whether an answer clears the part of a crash that it was not cleared of before.
func (state State) clears(part coltsfootlink.PartID, at time.Time) bool {
	since, suspected := state.suspectedSince[part]
	return suspected && at.After(since)
}

// withElsewhere replaces the evidence of the crashes in other pools.
func (state State) withElsewhere(found []evidence) State {
	state.elsewhere = found
	return state.withBars()
}

// allCrashes returns the crashes that count for the pool, here and elsewhere.
func (state State) allCrashes() []coltsfootlink.PromptCrash {
	all := slices.Clone(state.crashes)
	for _, found := range state.elsewhere {
		all = append(all, found.crash)
	}
	return all
}

// WithTime drops the crashes that are too old.
func (state State) WithTime(now time.Time) State {
	oldest := now.Add(-crashTTL)
	if len(state.crashes) == 0 || !state.crashes[0].CrashedAt.Before(oldest) {
		return state
	}
	kept := slices.DeleteFunc(slices.Clone(state.crashes), func(crash coltsfootlink.PromptCrash) bool { return state.expired(crash, oldest) })
	if len(kept) == len(state.crashes) {
		return state
	}
	state.crashes = kept
	return state.withBars()
}

// expired reports whether a crash happened before a time, and no trial has become due since then for a bar that rests on it.
// Without that, a bar would lose its crashes one by one, and its trials would come sooner again.
func (state State) expired(crash coltsfootlink.PromptCrash, oldest time.Time) bool {
	return crash.CrashedAt.Before(oldest) && !slices.ContainsFunc(state.bars, func(bar Bar) bool {
		return !bar.TrialAt.Before(oldest) && bar.Holds(partsOf(crash))
	})
}

// withoutExcess drops the oldest crashes beyond maxCrashes and maxSuspects, those that no bar rests on first.
func (state State) withoutExcess() State {
	for {
		tooManyBegun := state.countBegun() > maxCrashes
		tooMany := len(state.crashes) > maxUnbegun || state.countSuspects() > maxSuspects && len(state.crashes) > 1
		if !tooManyBegun && !tooMany {
			return state
		}
		index := state.oldest(!tooManyBegun)
		state.crashes = slices.Delete(state.crashes, index, index+1)
		state = state.withBars()
	}
}

// oldest returns the index of the crash to drop first, of those before a byte of the answer or of the others: one that no bar rests on,
// or the oldest. If there are none before a byte of the answer, it is one of the others.
func (state State) oldest(unbegun bool) int {
	unexplained := slices.IndexFunc(state.crashes, func(crash coltsfootlink.PromptCrash) bool {
		return crash.Unbegun == unbegun && !state.explains(crash)
	})
	if unexplained >= 0 {
		return unexplained
	}
	if unbegun {
		return state.oldest(false)
	}
	return max(0, slices.IndexFunc(state.crashes, func(crash coltsfootlink.PromptCrash) bool { return !crash.Unbegun }))
}

// countBegun returns the number of crashes in which a byte of the answer was received.
func (state State) countBegun() int {
	count := 0
	for _, crash := range state.crashes {
		if !crash.Unbegun {
			count++
		}
	}
	return count
}

func (state State) countSuspects() int {
	count := 0
	for _, crash := range state.crashes {
		count += len(crash.Suspects)
	}
	return count
}

// Bars returns the bars in force.
func (state State) Bars() []Bar { return state.bars }

// Crashes returns the crashes that are known, oldest first, with when their suspects were last answered.
func (state State) Crashes() []coltsfootlink.PromptCrash {
	crashes := slices.Clone(state.crashes)
	for index, crash := range crashes {
		suspects := slices.Clone(crash.Suspects)
		for number, suspect := range suspects {
			suspects[number].AnsweredAt = state.answered.At(suspect.Part)
		}
		crashes[index].Suspects = suspects
	}
	return crashes
}

// AnsweredAt returns when a request with the part was last answered; zero if that is not known.
func (state State) AnsweredAt(part coltsfootlink.PartID) time.Time { return state.answered.At(part) }

// rank is 0 for a crash that a bar rests on, 2 for one before a byte of the answer, and otherwise 1.
func (state State) rank(crash coltsfootlink.PromptCrash) int {
	switch {
	case state.explains(crash):
		return 0
	case crash.Unbegun:
		return 2
	default:
		return 1
	}
}

// explains reports whether a bar explains a crash.
func (state State) explains(crash coltsfootlink.PromptCrash) bool {
	return slices.ContainsFunc(state.bars, func(bar Bar) bool { return bar.Holds(partsOf(crash)) })
}

// MayRepeat reports whether a request that was sent at a time, and under which a target has crashed, may be sent to a second
// one: each of its parts has been answered before, and no earlier crash under another request is left unexplained that shares
// a part with it.
func (state State) MayRepeat(request coltsfootlink.RequestID, parts []coltsfootlink.PartID, sentAt time.Time) bool {
	if slices.ContainsFunc(parts, func(part coltsfootlink.PartID) bool { return state.answered.At(part).IsZero() }) {
		return false
	}
	return state.MayRepeatUnbegun(request, parts, sentAt)
}

// MayRepeatUnbegun does what MayRepeat does, for a request that the target had not begun to answer. Such a request mostly has nothing to
// do with the crash, so that its parts need not have been answered.
func (state State) MayRepeatUnbegun(request coltsfootlink.RequestID, parts []coltsfootlink.PartID, sentAt time.Time) bool {
	return !slices.ContainsFunc(state.unexplained, func(earlier evidence) bool {
		return earlier.crash.Request != request && !earlier.crash.CrashedAt.After(sentAt) && earlier.shares(parts)
	})
}

// sameCrash reports whether two reports are of the same crash under the same request.
func sameCrash(one, other coltsfootlink.PromptCrash) bool {
	return one.Request == other.Request && one.Target == other.Target && one.Incarnation == other.Incarnation
}

// partsOf returns the suspects of a crash, in ascending order.
func partsOf(crash coltsfootlink.PromptCrash) []coltsfootlink.PartID {
	parts := make([]coltsfootlink.PartID, 0, len(crash.Suspects))
	for _, suspect := range crash.Suspects {
		parts = append(parts, suspect.Part)
	}
	return parts
}
