package quarantine

import (
	"slices"

	"coltsfootlink"
)

// maxUnbegunReports is the number of requests without a byte of an answer that an instance reports of each crash. An engine
// answers in the order in which requests came, so the one that crashed it is among the oldest; a crash takes dozens along.
const maxUnbegunReports = 2

// deferUnbegun keeps a crash before a byte of the answer until the next tick, when all of the same crash are known.
func (task *Task) deferUnbegun(message Crashed) {
	task.unbegun = append(task.unbegun, message.Crash)
	message.Reply <- task.pools.State(message.Crash.Pool).MayRepeatUnbegun(message.Crash.Request, partsOf(message.Crash), message.Crash.SentAt)
}

// announceUnbegun announces the oldest requests of each crash that was kept.
func (task *Task) announceUnbegun() {
	kept := task.unbegun
	task.unbegun = nil
	slices.SortStableFunc(kept, func(one, other coltsfootlink.PromptCrash) int { return one.SentAt.Compare(other.SentAt) })
	type process struct {
		target      coltsfootlink.TargetName
		incarnation uint64
	}
	reported := make(map[process]int)
	for _, crash := range kept {
		crashed := process{crash.Target, crash.Incarnation}
		if reported[crashed]++; reported[crashed] <= maxUnbegunReports {
			task.recordCrash(crash)
		}
	}
}
