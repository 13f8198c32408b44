package standin

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootlink/platform"
)

// maxCopyAge is the maximum age of the copy from which the store can be restored.
const maxCopyAge = 30 * time.Second

// change is a change of the store's state that a restore can revert.
type change struct {
	at   time.Time
	undo func(*storeState)
	// name and appended are the partition and the records of an append; empty for other changes.
	name     partitionName
	appended [][]byte
}

// lostRecord is a record that a restore has removed.
type lostRecord struct {
	name    partitionName
	content []byte
}

// key returns the partition and the key of the record, or the partition alone if the record has no key.
func (lost lostRecord) key() string {
	key, _, _ := platform.DecodeKeyed(lost.content)
	return lost.name.topic + "/" + key
}

// addChange records a change, and drops those that are too old to be reverted.
func (state *storeState) addChange(made change) {
	made.at = time.Now()
	outdated := made.at.Add(-maxCopyAge)
	// The oldest changes are dropped in bulk, because each time the others are copied.
	if len(state.changes) == cap(state.changes) {
		state.changes = slices.DeleteFunc(state.changes, func(earlier change) bool { return earlier.at.Before(outdated) })
	}
	state.changes = append(state.changes, made)
}

// append adds records to a partition.
func (state *storeState) append(name partitionName, records [][]byte, required condition, retention int) appendResult {
	part := state.partition(name)
	before := *part
	result := part.append(records, required, retention)
	if result.status == 0 {
		state.addChange(change{undo: undoPartition(name, before), name: name, appended: records})
	}
	return result
}

// changePartition changes a partition other than by an append.
func (state *storeState) changePartition(name partitionName, apply func(*partition)) {
	part := state.partition(name)
	state.addChange(change{undo: undoPartition(name, *part)})
	apply(part)
}

// undoPartition returns a function that puts an earlier content of a partition back.
func undoPartition(name partitionName, before partition) func(*storeState) {
	// Later appends must not overwrite the records that reads still hold.
	before.records = slices.Clip(before.records)
	return func(state *storeState) {
		part := state.partition(name)
		before.appended = part.appended
		*part = before
	}
}

// changedGroup returns a group that the caller is about to change.
func (state *storeState) changedGroup(name string) *group {
	before := state.group(name).clone()
	state.addChange(change{undo: func(state *storeState) { state.groups[name] = before }})
	return state.group(name)
}

// restore reverts the changes after a time and begins the next era. Waiting reads look at their partitions again. It returns
// the lost records of the topics whose writers write them again, in the order in which they were appended.
func (state *storeState) restore(to time.Time) []lostRecord {
	kept := len(state.changes)
	for kept > 0 && state.changes[kept-1].at.After(to) {
		kept--
		state.changes[kept].undo(state)
	}
	var lost []lostRecord
	for _, reverted := range state.changes[kept:] {
		if reverted.name.topic != platform.OperatorTopic && reverted.name.topic != platform.TargetTopic {
			continue
		}
		for _, content := range reverted.appended {
			lost = append(lost, lostRecord{name: reverted.name, content: content})
		}
	}
	clear(state.changes[kept:])
	state.changes = state.changes[:kept]
	state.era++
	for _, part := range state.partitions {
		close(part.appended)
		part.appended = make(chan struct{})
	}
	return lost
}

// rewriteOrder returns lost records in an order drawn by a seed; zero keeps the order. Records of one key keep theirs, since
// they have one writer, whose newest record has to be the last.
func rewriteOrder(lost []lostRecord, seed uint64) []lostRecord {
	if seed == 0 {
		return lost
	}
	keys := make([]string, 0, len(lost))
	byKey := make(map[string][]lostRecord)
	for _, record := range lost {
		keys = append(keys, record.key())
		byKey[record.key()] = append(byKey[record.key()], record)
	}
	rand.New(rand.NewPCG(seed, seed)).Shuffle(len(keys), func(left, right int) { keys[left], keys[right] = keys[right], keys[left] })
	ordered := make([]lostRecord, 0, len(lost))
	for _, key := range keys {
		ordered = append(ordered, byKey[key][0])
		byKey[key] = byKey[key][1:]
	}
	return ordered
}
