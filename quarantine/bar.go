package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

const (
	// minCrashes is the number of successive crashes from which a part is barred that no target has ever answered, and
	// minCrashesAnswered the number for a part that targets have answered before. Until minAnswered parts have been answered,
	// too little is known to call a part unanswered, and all need minCrashesAnswered.
	minCrashes         = 2
	minCrashesAnswered = 3
	minAnswered        = 8
	// unbegunCrashes is the number of further crashes that a part needs if no byte of an answer was received in any of them: a crash
	// takes all requests along that wait on the target.
	unbegunCrashes = 1
	// firstTrialDelay is the time from the last crash until a request is let through as a trial; it is short because parts may
	// be blamed wrongly. It grows by trialBackoff with each further crash.
	firstTrialDelay = 2 * time.Second
	trialBackoff    = 4
	// trialPatience is how long a trial that is due waits for a request without other suspects.
	trialPatience = 2 * time.Second
	// Users accept three requests with a part that reach targets later than lateAfter after crash number countedCrashes, however long
	// such requests come. So trials come after lateTrialDelay at the earliest once one such request has crashed a target, then
	// by lateTrialBackoff later with each further one, up to maxTrialDelay.
	countedCrashes   = 5
	lateAfter        = 3 * time.Second
	lateTrialDelay   = 512 * time.Second
	lateTrialBackoff = 16
	maxTrialDelay    = 24 * time.Hour
)

// Bar holds back the requests whose prompts contain all of some parts.
type Bar struct {
	// Parts are what the prompts have in common under which targets crashed, in ascending order.
	Parts []coltsfootlink.PartID
	// Crashes is the number of crashes that the bar rests on, FirstAt and LastAt when the first and the last of them were.
	Crashes         int
	FirstAt, LastAt time.Time
	// TrialAt is from when on a request may be let through as a trial.
	TrialAt time.Time
	// Suspects are the other parts of the prompts under which targets crashed, in ascending order. Until AnyTrialAt, no request
	// with one of them is a trial: if its target crashes, that may have nothing to do with the parts of the bar.
	Suspects   []coltsfootlink.PartID
	AnyTrialAt time.Time
}

// MayTry reports whether a request with the given parts, which the bar holds back, may now be sent as a trial.
func (bar Bar) MayTry(now time.Time, parts []coltsfootlink.PartID) bool {
	if now.Before(bar.TrialAt) {
		return false
	}
	return !shareAny(bar.Suspects, ascending(parts)) || !now.Before(bar.AnyTrialAt)
}

// Holds reports whether the bar holds back requests with the given parts.
func (bar Bar) Holds(parts []coltsfootlink.PartID) bool {
	parts = ascending(parts)
	return !slices.ContainsFunc(bar.Parts, func(part coltsfootlink.PartID) bool { return !has(parts, part) })
}

// ascending returns the parts in ascending order.
func ascending(parts []coltsfootlink.PartID) []coltsfootlink.PartID {
	if slices.IsSorted(parts) {
		return parts
	}
	return slices.Sorted(slices.Values(parts))
}

// has reports whether a part is among others, which are in ascending order.
func has(parts []coltsfootlink.PartID, part coltsfootlink.PartID) bool {
	_, found := slices.BinarySearch(parts, part)
	return found
}

// shareAny reports whether one of the parts is among others, which are in ascending order.
func shareAny(parts, others []coltsfootlink.PartID) bool {
	return slices.ContainsFunc(parts, func(part coltsfootlink.PartID) bool { return has(others, part) })
}

// Key identifies the parts of the bar.
func (bar Bar) Key() uint64 {
	var text []byte
	for _, part := range bar.Parts {
		text = binary.LittleEndian.AppendUint64(text, uint64(part))
	}
	return xxhash.Sum64(text)
}

// evidence is a crash with the suspects that were not answered after it, in ascending order.
type evidence struct {
	crash coltsfootlink.PromptCrash
	parts []coltsfootlink.PartID
}

// shares reports whether one of the parts is left as a suspect.
func (found evidence) shares(parts []coltsfootlink.PartID) bool {
	return shareAny(parts, found.parts)
}

// compare orders evidence by the time of the crash.
func (found evidence) compare(other evidence) int {
	return cmp.Or(found.crash.CrashedAt.Compare(other.crash.CrashedAt), cmp.Compare(found.crash.Request, other.crash.Request), cmp.Compare(found.crash.Target, other.crash.Target))
}

// sameEvidence reports whether two pieces of evidence are of the same crash and leave the same suspects.
func sameEvidence(one, other evidence) bool {
	return sameCrash(one.crash, other.crash) && slices.Equal(one.parts, other.parts)
}

// left returns the suspects of a crash that were not answered after it.
func (state State) left(crash coltsfootlink.PromptCrash, parts []coltsfootlink.PartID) []coltsfootlink.PartID {
	return slices.DeleteFunc(slices.Clone(parts), func(part coltsfootlink.PartID) bool { return state.answered.At(part).After(crash.CrashedAt) })
}

// withBars derives the bars from the crashes and answers. The part that explains most crashes is barred first, together with
// the parts that all prompts with it have in common; the crashes that this explains count against no other part.
func (state State) withBars() State {
	state.suspected, state.crashes = nil, slices.Clone(state.crashes)
	for index, crash := range state.crashes {
		parts := state.left(crash, partsOf(crash))
		if len(parts) < len(crash.Suspects) {
			// An answered part stays cleared even when it is forgotten that it was answered.
			state.crashes[index].Suspects = slices.DeleteFunc(slices.Clone(crash.Suspects), func(suspect coltsfootlink.Suspect) bool { return !has(parts, suspect.Part) })
		}
		if len(parts) > 0 {
			state.suspected = append(state.suspected, evidence{crash: crash, parts: parts})
		}
	}
	state.unexplained = slices.Clone(state.suspected)
	for _, found := range state.elsewhere {
		if parts := state.left(found.crash, found.parts); len(parts) > 0 {
			state.unexplained = append(state.unexplained, evidence{crash: found.crash, parts: parts})
		}
	}
	if len(state.elsewhere) > 0 {
		slices.SortStableFunc(state.unexplained, evidence.compare)
	}
	state.suspectedSince = make(map[coltsfootlink.PartID]time.Time)
	for _, found := range state.unexplained {
		for _, part := range found.parts {
			if since, known := state.suspectedSince[part]; !known || found.crash.CrashedAt.Before(since) {
				state.suspectedSince[part] = found.crash.CrashedAt
			}
		}
	}
	state.bars = nil
	for {
		bar, found := state.nextBar()
		if !found {
			return state
		}
		state.bars = append(state.bars, bar)
		state.unexplained = slices.DeleteFunc(state.unexplained, func(explained evidence) bool { return bar.Holds(explained.parts) })
	}
}

// partsToLift returns the parts that are cleared when an operator lifts the bar on some: these, and all parts of the crashes
// that the bar explains, but for those of other bars.
func (state State) partsToLift(parts []coltsfootlink.PartID) []coltsfootlink.PartID {
	found := slices.Clone(parts)
	for _, bar := range state.bars {
		if !bar.Holds(parts) {
			continue
		}
		for _, crash := range state.allCrashes() {
			if bar.Holds(partsOf(crash)) {
				found = append(found, state.partsWithoutBar(crash)...)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// partsWithoutBar returns the suspects of a crash that no bar rests on.
func (state State) partsWithoutBar(crash coltsfootlink.PromptCrash) []coltsfootlink.PartID {
	return slices.DeleteFunc(partsOf(crash), func(part coltsfootlink.PartID) bool {
		return slices.ContainsFunc(state.bars, func(bar Bar) bool { return has(bar.Parts, part) })
	})
}

// candidate is a part that may have caused crashes.
type candidate struct {
	part coltsfootlink.PartID
	// answered indicates that a request with the part was answered before, or that too little is known to tell.
	answered bool
	// unbegun indicates that no byte of an answer was received in any of the crashes.
	unbegun bool
	// successive is the number of crashes one after the other, and all are all crashes with the part.
	successive int
	all        []evidence
}

// compare ranks parts that no target has answered before others, and then those with more crashes.
func (one candidate) compare(other candidate) int {
	switch {
	case one.answered != other.answered && one.answered:
		return 1
	case one.answered != other.answered:
		return -1
	default:
		return cmp.Or(cmp.Compare(other.successive, one.successive), cmp.Compare(len(other.all), len(one.all)), cmp.Compare(one.part, other.part))
	}
}

// excess returns the number of successive crashes beyond those from which the part is barred; negative if there are too few.
func (one candidate) excess() int {
	needed := minCrashes
	if one.answered {
		needed = minCrashesAnswered
	}
	if one.unbegun {
		needed += unbegunCrashes
	}
	return one.successive - needed
}

// nextBar returns the bar for the part that is most likely to have caused the unexplained crashes; false if none is likely.
func (state State) nextBar() (Bar, bool) {
	crashes := make(map[coltsfootlink.PartID][]int)
	for index, found := range state.unexplained {
		for _, part := range found.parts {
			crashes[part] = append(crashes[part], index)
		}
	}
	var best candidate
	for part, indices := range crashes {
		if len(indices) < minCrashes {
			continue
		}
		next := state.candidateOf(part, indices)
		if next.excess() >= 0 && (best.successive == 0 || next.compare(best) < 0) {
			best = next
		}
	}
	if best.successive == 0 {
		return Bar{}, false
	}
	first, last := best.all[0].crash.CrashedAt, best.all[len(best.all)-1].crash.CrashedAt
	parts := commonParts(best.all)
	trialAt := last.Add(best.trialDelay())
	return Bar{
		Parts:      parts,
		Crashes:    len(best.all),
		FirstAt:    first,
		LastAt:     last,
		TrialAt:    trialAt,
		Suspects:   partsBeside(parts, best.all),
		AnyTrialAt: trialAt.Add(trialPatience),
	}, true
}

// partsBeside returns the suspects of crashes that are not among the given parts.
func partsBeside(parts []coltsfootlink.PartID, all []evidence) []coltsfootlink.PartID {
	var beside []coltsfootlink.PartID
	for _, found := range all {
		beside = append(beside, found.parts...)
	}
	slices.Sort(beside)
	beside = slices.Compact(beside)
	return slices.DeleteFunc(beside, func(part coltsfootlink.PartID) bool { return has(parts, part) })
}

// candidateOf collects the unexplained crashes with a part, which have the given indices. Only crashes of requests that were sent after the one before was
// known count as successive: crashes at the same moment have one cause, which may be none of the prompts.
func (state State) candidateOf(part coltsfootlink.PartID, indices []int) candidate {
	found := candidate{part: part, unbegun: true, answered: !state.answered.At(part).IsZero() || state.answered.Len() < minAnswered}
	var counted coltsfootlink.PromptCrash
	for _, index := range indices {
		next := state.unexplained[index]
		if slices.Contains(next.crash.Barred, part) && state.answered.At(part).IsZero() {
			// It was known to be unanswered when the crash was recorded.
			found.answered = false
		}
		found.all = append(found.all, next)
		found.unbegun = found.unbegun && next.crash.Unbegun
		if found.successive == 0 || next.crash.Request != counted.Request && !next.crash.SentAt.Before(counted.CrashedAt) {
			found.successive++
			counted = next.crash
		}
	}
	return found
}

// commonParts returns the parts that all crashes have in common, in ascending order.
func commonParts(all []evidence) []coltsfootlink.PartID {
	common := slices.Clone(all[0].parts)
	for _, found := range all[1:] {
		common = slices.DeleteFunc(common, func(part coltsfootlink.PartID) bool { return !has(found.parts, part) })
	}
	return slices.Compact(common)
}

// trialDelay returns the time from the last crash to the next trial. The first trial comes soon in any case.
func (one candidate) trialDelay() time.Duration {
	if one.excess() == 0 {
		return firstTrialDelay
	}
	delay := firstTrialDelay
	for range one.excess() {
		delay = min(trialBackoff*delay, maxTrialDelay)
	}
	late := one.late()
	if late == 0 {
		return delay
	}
	least := lateTrialDelay
	for range late - 1 {
		least = min(lateTrialBackoff*least, maxTrialDelay)
	}
	return max(delay, least)
}

// late returns the number of requests that were sent later than lateAfter after crash number countedCrashes.
func (one candidate) late() int {
	count := 0
	for _, found := range one.all[min(countedCrashes, len(one.all)):] {
		if found.crash.SentAt.After(one.all[countedCrashes-1].crash.CrashedAt.Add(lateAfter)) {
			count++
		}
	}
	return count
}
