package revision

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// inEra returns a batch as it is read in an era.
func inEra(era uint64, batch coltsfootlink.Batch) coltsfootlink.Batch {
	batch.First.Era, batch.Next.Era = era, era
	for index := range batch.Records {
		batch.Records[index].Position.Era = era
	}
	return batch
}

// TestRevisionsConvergeAfterARestore guards against two instances with the same revision but other configurations: one has read
// a change that the store has lost since, the other has not.
func TestRevisionsConvergeAfterARestore(t *testing.T) {
	Convey("another change is accepted in the place of the lost one", t, func() {
		before := inEra(1, log(0, apply("1", 0, 1), apply("lost", 1, 2)))
		after := inEra(2, log(0, apply("1", 0, 1), apply("new", 1, 3)))
		old, _ := State{}.WithBatch(before)
		old, _ = old.WithBatch(after)
		fresh, _ := State{}.WithBatch(after)
		So(old.Configuration.Revision, ShouldEqual, fresh.Configuration.Revision)
		So(old.Configuration.Teams["x"], ShouldResemble, fresh.Configuration.Teams["x"])
	})
}

// TestConfigurationsLostInARestore guards against a configuration that is no longer in force because the store has lost it, against
// one that is written again over a change that was accepted since, and against instances that disagree after that.
func TestConfigurationsLostInARestore(t *testing.T) {
	one, lost, third := apply("1", 0, 1), apply("lost", 1, 2), apply("lost-2", 2, 4)
	before := []Record{one, lost, third}
	cases := map[string]struct {
		// copied are the records of the copy, and accepted those that come before the snapshot of what was lost.
		copied, accepted []Record
		// first is the first retained offset of the restored log.
		first uint64
		// kept is the revision in force on an instance that knows what was lost, before the snapshot is read, and weight that of
		// team x in the end.
		kept     coltsfootlink.Revision
		weight   float64
		revision coltsfootlink.Revision
	}{
		"nothing is lost":                          {before, nil, 0, 3, 4, 3},
		"two changes are lost":                     {[]Record{one}, nil, 0, 3, 4, 3},
		"all changes are lost":                     {nil, nil, 0, 3, 4, 3},
		"another change comes first":               {[]Record{one}, []Record{apply("new", 1, 7)}, 0, 3, 7, 2},
		"as many changes come first as were lost":  {[]Record{one}, []Record{apply("new", 1, 7), apply("new-2", 2, 8)}, 0, 3, 8, 3},
		"the log has dropped the first records":    {[]Record{third}, nil, 2, 3, 4, 3},
		"a change that was lost is appended again": {[]Record{one}, []Record{lost}, 0, 3, 2, 2},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			old, _ := State{}.WithBatch(inEra(1, log(0, before...)))
			copied := inEra(2, log(test.first, test.copied...))
			restored, _ := old.WithBatch(copied)
			So(restored.Configuration.Revision, ShouldEqual, test.kept)
			So(restored.Configuration.Teams["x"].Weight, ShouldEqual, 4)
			snapshot, err := restored.Snapshot("a")
			So(err, ShouldBeNil)
			after := inEra(2, log(test.first, append(append(append([]Record(nil), test.copied...), test.accepted...), snapshot, snapshot)...))
			restored, _ = restored.WithBatch(after)
			fresh, _ := State{}.WithBatch(after)
			peer, _, err := State{}.WithPeer(coltsfootlink.RevisionReply{Revision: 3, Position: coltsfootlink.Position{Era: 1, Offset: 2}, Document: document(4)})
			So(err, ShouldBeNil)
			peer, _ = peer.WithBatch(after)
			for _, state := range []State{restored, fresh, peer} {
				So(state.Configuration.Revision, ShouldEqual, test.revision)
				So(state.Configuration.Teams["x"].Weight, ShouldEqual, test.weight)
				So(state.Kept().Revision, ShouldEqual, 0)
				So(state.Check(apply("next", test.revision, 9)), ShouldBeNil)
			}
		})
	}
}

// TestPeersOfAnEarlierEra guards against a lost configuration that an instance adopts from a peer after the log has another one.
func TestPeersOfAnEarlierEra(t *testing.T) {
	reply := coltsfootlink.RevisionReply{Revision: 3, Position: coltsfootlink.Position{Era: 1, Offset: 2}, Document: document(4)}
	cases := map[string]struct {
		logged   []Record
		revision coltsfootlink.Revision
	}{
		"the log has a configuration":       {[]Record{apply("1", 0, 1), apply("new", 1, 7)}, 2},
		"the store has lost all of its log": {nil, 3},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, _ := State{}.WithBatch(inEra(2, log(0, test.logged...)))
			if len(test.logged) == 0 {
				state.next.Era = 2
			}
			state, _, err := state.WithPeer(reply)
			So(err, ShouldBeNil)
			So(state.Configuration.Revision, ShouldEqual, test.revision)
		})
	}
}

// appendLog keeps what is appended to it.
type appendLog struct {
	coltsfootlink.Log

	mutex   sync.Mutex
	records []Record
}

// Append keeps a record.
func (log *appendLog) Append(_ context.Context, _ coltsfootlink.Stream, body []byte) (coltsfootlink.Position, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	record, err := decodeRecord(body)
	log.records = append(log.records, record)
	return coltsfootlink.Position{}, err
}

// noRecorder records nothing.
type noRecorder struct{ coltsfootlink.Recorder }

// Record drops an event.
func (noRecorder) Record(string, string) {}

// TestLostConfigurationIsWrittenAgain guards against a lost configuration that no instance writes again, against one that is written
// although another instance has done so, and against appends after a restore that has lost nothing.
func TestLostConfigurationIsWrittenAgain(t *testing.T) {
	one, lost := apply("1", 0, 1), apply("lost", 1, 2)
	other := Record{ID: "s", Base: 2, Author: "b", Kind: Snapshot, Document: document(2), Restored: true, Over: 1}
	cases := map[string]struct {
		// reads are what is read at once after the restore.
		reads   []coltsfootlink.Batch
		written int
	}{
		"a change is lost":                       {[]coltsfootlink.Batch{log(0, one)}, 1},
		"another instance has written it":        {[]coltsfootlink.Batch{log(0, one), log(0, one, other)}, 0},
		"nothing is lost":                        {[]coltsfootlink.Batch{log(0, one, lost)}, 0},
		"nothing is lost, read in several reads": {[]coltsfootlink.Batch{log(0, one), log(0, one, lost)}, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				written := new(appendLog)
				task := &Task{Self: "a", Log: written, Clock: coltsfootlink.SystemClock{}, Recorder: noRecorder{}, Logger: zerolog.Nop(), Inbox: mailbox.NewDeliveries()}
				tell := func(batch coltsfootlink.Batch) {
					task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.RecordsRead{Stream: coltsfootlink.ConfigurationStream, Batch: batch}})
				}
				done := make(chan error, 1)
				go func() { done <- task.Run(ctx) }()
				tell(inEra(1, log(0, one, lost)))
				for _, batch := range test.reads {
					tell(inEra(2, batch))
				}
				time.Sleep(restoreDelay + restoreJitter + 2*tickInterval)
				cancel()
				<-done
				if len(written.records) != test.written {
					t.Fatalf("%d records were appended, expected %d", len(written.records), test.written)
				}
				for _, record := range written.records {
					if record.Base != 2 || !record.Restored || record.Over != 1 {
						t.Fatalf("appended %+v, expected a snapshot of revision 2 over revision 1", record)
					}
				}
			})
		})
	}
}
