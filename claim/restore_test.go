package claim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

// eraStream is the log stream of one partition in a store that may be restored.
type eraStream struct {
	era    uint64
	bodies [][]byte
}

func (log *eraStream) append(record Record) {
	body, _ := record.Encode()
	log.bodies = append(log.bodies, body)
}

// restore begins the next era with the first records of the stream.
func (log *eraStream) restore(kept int) {
	log.era++
	log.bodies = log.bodies[:kept:kept]
}

// batch returns the whole stream.
func (log *eraStream) batch() coltsfootlink.Batch {
	batch := coltsfootlink.Batch{First: coltsfootlink.Position{Era: log.era}, Next: coltsfootlink.Position{Era: log.era, Offset: uint64(len(log.bodies))}}
	for offset, body := range log.bodies {
		batch.Records = append(batch.Records, coltsfootlink.Record{Position: coltsfootlink.Position{Era: log.era, Offset: uint64(offset)}, Body: body})
	}
	return batch
}

// flush appends and reads until the partition has nothing more to append.
func (log *eraStream) flush(now time.Time, partition Partition) (Partition, []Answer) {
	partition, answers := partition.WithBatch(now, log.batch())
	for partition.Pending() {
		var entries []Entry
		var more []Answer
		partition, entries = partition.WithOutboxDrained()
		log.append(partition.Record(entries))
		partition, more = partition.WithBatch(now, log.batch())
		answers = append(answers, more...)
	}
	return partition, answers
}

// TestClaimsLostInARestore guards against a request that runs again because the store has lost its claim, and against requests
// that are refused although no claim of theirs can have been lost.
func TestClaimsLostInARestore(t *testing.T) {
	restoredAt := start.Add(time.Second)
	old, fresh, ahead := keyAt(start), keyAt(restoredAt.Add(time.Millisecond)), keyAt(restoredAt.Add(MaxClockSkew+time.Millisecond))
	claimed := []Entry{{Key: old, Attempt: "first"}}
	ran := append(claimed[:1:1], Entry{Key: old, Attempt: "first", Outcome: coltsfootlink.Ran})
	notRun := append(claimed[:1:1], Entry{Key: old, Attempt: "first", Outcome: coltsfootlink.NotRun})
	cases := map[string]struct {
		// entries are appended before the restore, each in a record; kept is the number of records that it keeps.
		entries []Entry
		kept    int
		// remembers indicates that the owner has read them before.
		remembers bool
		key       string
		won       bool
		outcome   coltsfootlink.Outcome
		// written are the entries that the owner appends again.
		written []Entry
	}{
		"a claim is lost, the owner knows it":                    {claimed, 0, true, old, false, coltsfootlink.MayHaveRun, claimed},
		"a claim and its outcome are lost, the owner knows them": {ran, 0, true, old, false, coltsfootlink.Ran, ran},
		"an outcome is lost, the owner knows it":                 {ran, 1, true, old, false, coltsfootlink.Ran, ran[1:]},
		"an attempt that did not run, others may be lost":        {notRun, 2, true, old, false, coltsfootlink.MayHaveRun, nil},
		"all are kept":                                       {ran, 2, true, old, false, coltsfootlink.Ran, nil},
		"a claim is lost, the owner is new":                  {claimed, 0, false, old, false, coltsfootlink.MayHaveRun, nil},
		"an outcome is lost, the owner is new":               {ran, 1, false, old, false, coltsfootlink.MayHaveRun, nil},
		"a key from after the restore":                       {claimed, 0, true, fresh, true, coltsfootlink.MayHaveRun, claimed},
		"a key that may be older, the owner is new":          {claimed, 0, false, fresh, false, coltsfootlink.MayHaveRun, nil},
		"a key that is newer by any clock, the owner is new": {claimed, 0, false, ahead, true, coltsfootlink.MayHaveRun, nil},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			log := &eraStream{era: 1}
			for _, entry := range test.entries {
				log.append(Record{Entries: []Entry{entry}})
			}
			partition := NewPartition()
			if test.remembers {
				partition, _ = partition.WithBatch(start, log.batch())
			}
			log.restore(test.kept)
			partition = partition.WithEra(restoredAt, 2)
			later := restoredAt.Add(100 * time.Millisecond)
			partition, _ = log.flush(later, partition)
			var written []Entry
			for _, body := range log.bodies[test.kept:] {
				record, _ := decodeRecord(body)
				So(record.Era, ShouldEqual, 2)
				So(record.Since.Equal(restoredAt), ShouldBeTrue)
				written = append(written, record.Entries...)
			}
			So(written, ShouldResemble, test.written)
			partition = partition.WithRequest(Request{Key: test.key, Attempt: "second", Arrived: later, Deadline: later.Add(time.Minute)})
			_, answers := log.flush(later.Add(time.Millisecond), partition)
			So(answers, ShouldHaveLength, 1)
			So(answers[0].Won, ShouldEqual, test.won)
			So(answers[0].Outcome, ShouldEqual, test.outcome)
			So(answers[0].Unknown, ShouldEqual, test.key != ahead && (test.key == old || !test.remembers))
		})
	}
	Convey("an owner that starts later learns from the log when the era began", t, func() {
		log := &eraStream{era: 1}
		log.restore(0)
		log.append(Record{Era: 2, Since: restoredAt})
		later := restoredAt.Add(MaxClockSkew + time.Minute)
		partition, _ := NewPartition().WithEra(later, 2).WithBatch(later, log.batch())
		partition = partition.WithRequest(Request{Key: keyAt(later.Add(-time.Second)), Attempt: "a", Arrived: later, Deadline: later.Add(time.Minute)})
		_, answers := log.flush(later, partition)
		So(answers, ShouldHaveLength, 1)
		So(answers[0].Won, ShouldBeTrue)
	})
	Convey("in the first era no record has an era, and none is appended without entries", t, func() {
		log := &eraStream{era: 1}
		partition, _ := NewPartition().WithEra(start, 1).WithBatch(start, log.batch())
		So(partition.Pending(), ShouldBeFalse)
		So(partition.Record(claimed), ShouldResemble, Record{Entries: claimed})
	})
	Convey("an append that fails is repeated, also without entries", t, func() {
		log := &eraStream{era: 1}
		log.append(Record{Entries: claimed})
		partition, _ := NewPartition().WithBatch(start, log.batch())
		log.restore(0)
		partition, _ = partition.WithBatch(restoredAt, log.batch())
		partition, entries := partition.WithOutboxDrained()
		So(entries, ShouldBeEmpty)
		So(partition.Pending(), ShouldBeFalse)
		partition = partition.WithEntriesRequeued(entries)
		So(partition.Pending(), ShouldBeTrue)
		log.append(partition.Record(nil))
		partition, _ = partition.WithBatch(restoredAt, log.batch())
		partition, entries = partition.WithOutboxDrained()
		So(entries, ShouldResemble, claimed)
		So(partition.WithEntriesRequeued(entries).Lost(), ShouldResemble, claimed)
	})
}

// TestAtMostOnceAcrossRestores checks that at most one attempt of a key runs, and that no attempt is reported not-run after another
// has run, whatever the store loses, whichever owner is replaced by a new one, and however late appends are carried out.
func TestAtMostOnceAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &eraStream{era: 1}
		owners := []Partition{NewPartition(), NewPartition(), NewPartition()}
		now := start
		keys := []string{keyAt(start)}
		won := map[string]map[string]time.Time{}
		refused := map[string]bool{}
		var late []Record
		for step := range rapid.IntRange(50, 300).Draw(t, "steps") {
			owner := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond)
			var answers []Answer
			var entries []Entry
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				if rapid.Bool().Draw(t, "new key") {
					keys = append(keys, keyAt(now))
				}
				key := keys[len(keys)-1-rapid.IntRange(0, min(2, len(keys)-1)).Draw(t, "key")]
				owners[owner] = owners[owner].WithRequest(Request{Key: key, Attempt: fmt.Sprint("attempt-", step), Arrived: now, Deadline: now.Add(time.Second)})
			case 2, 3:
				if !owners[owner].Pending() {
					continue
				}
				owners[owner], entries = owners[owner].WithOutboxDrained()
				record := owners[owner].Record(entries)
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0:
					late = append(late, record)
					owners[owner] = owners[owner].WithEntriesRequeued(entries)
				case 1:
					owners[owner] = owners[owner].WithEntriesRequeued(entries)
				default:
					log.append(record)
				}
			case 4, 5, 6:
				owners[owner], answers = owners[owner].WithBatch(now, log.batch())
			case 7:
				owners[owner], answers = owners[owner].WithExpired(now)
			case 8:
				switch rapid.IntRange(0, 3).Draw(t, "fault") {
				case 0:
					log.restore(rapid.IntRange(0, len(log.bodies)).Draw(t, "kept"))
				case 1:
					owners[owner] = NewPartition().WithEra(now, log.era)
				case 2:
					owners[owner] = owners[owner].WithEra(now, log.era)
				}
			case 9:
				if len(late) > 0 {
					log.append(late[0])
					late = late[1:]
				}
			}
			for _, answer := range answers {
				key, attempt := answer.Request.Key, answer.Request.Attempt
				for other, at := range won[key] {
					if answer.Outcome == coltsfootlink.NotRun && !answer.Won && !at.After(answer.Request.Arrived) {
						t.Fatalf("attempt %s got the outcome not-run, but attempt %s ran before", attempt, other)
					}
				}
				switch {
				case !answer.Won:
					refused[attempt] = true
				case refused[attempt]:
					// The instance has refused the attempt, so it frees the key.
					owners[0] = owners[0].WithOutcome(key, attempt, coltsfootlink.NotRun)
				default:
					if won[key] == nil {
						won[key] = map[string]time.Time{}
					}
					won[key][attempt] = now
				}
				if len(won[key]) > 1 {
					t.Fatalf("%d attempts of key %s ran, want at most 1", len(won[key]), key)
				}
			}
		}
	})
}
