package quarantine

import (
	"maps"
	"slices"
	"time"

	"coltsfootlink"
)

// recordsTimeout is how long an instance that starts waits for the crashes that are recorded before it sends prompts to targets. In
// that time it retries a store that rejects it or does not answer.
const recordsTimeout = 5 * time.Second

// heldCrashes returns the records of the crashes that bars rest on, by their keys.
func (pools Pools) heldCrashes() map[string]coltsfootlink.CrashRecord {
	held := make(map[string]coltsfootlink.CrashRecord)
	for name, state := range pools.states {
		if name == anyPool {
			continue
		}
		for _, crash := range state.Crashes() {
			bar := slices.IndexFunc(state.bars, func(bar Bar) bool { return bar.Holds(partsOf(crash)) })
			if bar < 0 || len(crash.Suspects) == 0 {
				continue
			}
			crash.Barred = state.bars[bar].Parts
			record := coltsfootlink.CrashRecord{Kind: coltsfootlink.PromptCrashes, Prompt: crash}
			held[record.Key()] = record
		}
	}
	return held
}

// recordHeld tells the crash log which crashes bars rest on.
func (task *Task) recordHeld() {
	if task.CrashLog == nil {
		return
	}
	task.held = task.pools.heldCrashes()
	maps.DeleteFunc(task.own, func(key string, at time.Time) bool {
		return task.held[key].Kind == "" && task.Clock.Now().Sub(at) > crashTTL
	})
	own := make(map[string]bool, len(task.own))
	for key := range task.own {
		own[key] = true
	}
	task.CrashLog.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesHeld{Kind: coltsfootlink.PromptCrashes, Records: task.held, Own: own}})
}

// noteOwn notes that this instance has seen a crash itself.
func (task *Task) noteOwn(crash coltsfootlink.PromptCrash) {
	if task.CrashLog != nil {
		task.own[coltsfootlink.CrashRecord{Kind: coltsfootlink.PromptCrashes, Prompt: crash}.Key()] = crash.CrashedAt
	}
}

// removeReleased has the crashes removed that bars rested on before, and no longer do: what was cleared must not hold prompts back after
// a restart.
func (task *Task) removeReleased(before map[string]coltsfootlink.CrashRecord) {
	if task.CrashLog == nil {
		return
	}
	var keys []string
	for key := range before {
		if _, held := task.held[key]; !held {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		task.CrashLog.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesVoid{Keys: keys}})
	}
}

// requestRecords asks the crash log for what is recorded.
func (task *Task) requestRecords() {
	task.recordsRead = task.CrashLog == nil
	task.recordsBy = task.Clock.Now().Add(recordsTimeout)
	if task.CrashLog != nil {
		task.CrashLog.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesWanted{}})
	}
}

// handleRecords adds the crashes that are recorded. The clocks of instances differ: if one of them lies ahead, all are taken to be
// earlier by as much, which keeps their order.
func (task *Task) handleRecords(read coltsfootlink.CrashesRead) {
	now := task.Clock.Now()
	var ahead time.Duration
	for _, record := range read.Records {
		ahead = max(ahead, record.Prompt.CrashedAt.Sub(now))
	}
	crashes := make(map[coltsfootlink.PoolName][]coltsfootlink.PromptCrash)
	for _, record := range read.Records {
		if record.Kind != coltsfootlink.PromptCrashes {
			continue
		}
		crash := record.Prompt
		crash.SentAt, crash.CrashedAt = crash.SentAt.Add(-ahead), crash.CrashedAt.Add(-ahead)
		crashes[crash.Pool] = append(crashes[crash.Pool], crash)
	}
	for pool, found := range crashes {
		task.update(pool, task.pools.State(pool).WithCrashes(now, found))
	}
	task.recordsRead = true
	task.updateSynced()
}

// updateSynced decides whether enough is known to send prompts to targets: what is recorded, and what other instances have told or
// would have told by now.
func (task *Task) updateSynced() {
	now := task.Clock.Now()
	told := task.told || !now.Before(task.syncBy)
	task.setSynced(task.view.Synced || told && (task.recordsRead || !now.Before(task.recordsBy)))
}
