package dispatch

import (
	"coltsfootlink"
)

// heldStrikes returns the records of the strikes that hold requests back, by their keys.
func (task *Task) heldStrikes() map[string]coltsfootlink.CrashRecord {
	held := make(map[string]coltsfootlink.CrashRecord)
	for _, strike := range task.strikes.HoldingBack(task.Clock.Now()) {
		record := coltsfootlink.CrashRecord{Kind: coltsfootlink.StrikeCrashes, Strike: strike}
		held[record.Key()] = record
	}
	return held
}

// recordStrikes tells the crash log which strikes hold requests back, and which that did before this instance has cleared.
func (task *Task) recordStrikes(cleared bool) {
	if task.CrashLog == nil {
		return
	}
	before := task.held
	task.held = task.heldStrikes()
	if len(before) == 0 && len(task.held) == 0 {
		return
	}
	own := make(map[string]bool)
	for _, strike := range task.announced.All(task.Clock.Now()) {
		own[coltsfootlink.CrashRecord{Kind: coltsfootlink.StrikeCrashes, Strike: strike}.Key()] = true
	}
	task.CrashLog.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesHeld{Kind: coltsfootlink.StrikeCrashes, Records: task.held, Own: own}})
	var void []string
	for key := range before {
		if _, held := task.held[key]; !held && cleared {
			void = append(void, key)
		}
	}
	if len(void) > 0 {
		task.CrashLog.Put(coltsfootlink.Delivery{Message: coltsfootlink.CrashesVoid{Keys: void}})
	}
}

// handleRecords adds the strikes that are recorded.
func (task *Task) handleRecords(read coltsfootlink.CrashesRead) {
	for _, record := range read.Records {
		if record.Kind == coltsfootlink.StrikeCrashes {
			task.strikes, _ = task.strikes.WithStrike(record.Strike)
		}
	}
	task.strikes = task.strikes.WithoutExpired(task.Clock.Now())
	task.recordStrikes(false)
}
