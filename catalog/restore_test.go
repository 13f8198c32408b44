package catalog

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// inEra returns a record with the era in which it was read.
func inEra(era uint64, record coltsfootlink.CatalogRecord) coltsfootlink.CatalogRecord {
	record.Position.Era = era
	return record
}

// TestRecordsOfALaterEraReplaceThoseOfAnEarlierOne guards against records that count as outdated because the store has assigned
// their offsets again.
func TestRecordsOfALaterEraReplaceThoseOfAnEarlierOne(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		address string
	}{
		"a lower offset of the next era":                {[]coltsfootlink.CatalogRecord{inEra(1, targetRecord(9, "t", "target h:1")), inEra(2, targetRecord(3, "t", "target h:2"))}, "h:2"},
		"the same offset of the next era":               {[]coltsfootlink.CatalogRecord{inEra(1, targetRecord(9, "t", "target h:1")), inEra(2, targetRecord(9, "t", "target h:2"))}, "h:2"},
		"a record of the earlier era that comes late":   {[]coltsfootlink.CatalogRecord{inEra(2, targetRecord(3, "t", "target h:2")), inEra(1, targetRecord(9, "t", "target h:1"))}, "h:2"},
		"a removal in the earlier era that comes late":  {[]coltsfootlink.CatalogRecord{inEra(2, targetRecord(3, "t", "target h:2")), inEra(1, targetRecord(9, "t", ""))}, "h:2"},
		"a registration after a removal in the era one": {[]coltsfootlink.CatalogRecord{inEra(1, targetRecord(9, "t", "")), inEra(2, targetRecord(0, "t", "target h:2"))}, "h:2"},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(textDecoder{})
			for _, record := range test.records {
				state, _, _ = state.WithRecord(baseTime, record)
			}
			So(state.Catalog().Targets["t"].Address, ShouldEqual, test.address)
		})
	}
	Convey("a key that is not among the newest records of an empty stream of the next era is removed", t, func() {
		state, _, _ := NewState(textDecoder{}).WithRecord(baseTime, inEra(1, targetRecord(9, "t", "target h:1")))
		end := coltsfootlink.Position{Era: 2}
		missing := state.Missing(coltsfootlink.TargetStream, nil, end)
		So(missing, ShouldHaveLength, 1)
		state, _, _ = state.WithRecord(baseTime, missing[0])
		state = state.WithEnd(coltsfootlink.TargetStream, end)
		So(state.Catalog().Targets, ShouldBeEmpty)
		state, _, _ = state.WithRecord(baseTime, inEra(2, targetRecord(0, "t", "target h:2")))
		So(state.Catalog().Targets["t"].Address, ShouldEqual, "h:2")
	})
}

// restoredSource is a source whose store was restored since the reader's position.
type restoredSource struct{ newestSource }

// Follow says that the position is of an earlier era.
func (*restoredSource) Follow(context.Context, coltsfootlink.CatalogStream, coltsfootlink.Position, time.Duration) (coltsfootlink.CatalogBatch, error) {
	return coltsfootlink.CatalogBatch{}, coltsfootlink.ErrRecordsGone
}

// TestRecordsLostInARestoreMayBeWrittenAgain guards against a restore of the store that goes by unnoticed between two reads and
// removes the targets and the operators' orders that it has lost, until their writers have written them again.
func TestRecordsLostInARestoreMayBeWrittenAgain(t *testing.T) {
	for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.TargetStream, coltsfootlink.OperatorStream} {
		Convey(string(stream), t, func() {
			source, inbox := new(restoredSource), mailbox.NewDeliveries()
			source.batch = coltsfootlink.CatalogBatch{End: coltsfootlink.Position{Era: 2, Offset: 3}}
			reader := &reader{
				stream: stream, source: source, clock: &manualClock{now: baseTime}, log: zerolog.Nop(), inbox: inbox,
				next: coltsfootlink.Position{Era: 1, Offset: 5}, eraKnown: true,
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- reader.Run(ctx) }()
			<-inbox.Ready()
			deliveries := inbox.Drain()
			cancel()
			<-done
			So(deliveries[0].Message.(readResult).complete, ShouldBeFalse)
		})
	}
}

// TestMoveOrderWrittenAgainKeepsItsDeadline guards against a move that begins anew because its order was lost in a restore and
// written again at another offset.
func TestMoveOrderWrittenAgainKeepsItsDeadline(t *testing.T) {
	Convey("the order has the offset 3 in era 1 and the offset 7 in era 2", t, func() {
		state, _, _ := NewState(textDecoder{}).WithRecord(baseTime, inEra(1, operatorRecord(3, "rollout/p", "move v2 3")))
		before := state.Catalog().Moves["p"]
		state, _, _ = state.WithRecord(baseTime.Add(10*time.Second), inEra(2, operatorRecord(7, "rollout/p", "move v2 7")))
		So(state.Catalog().Moves["p"].FinishBy, ShouldEqual, before.FinishBy)
		So(state.Catalog().Moves["p"].Started, ShouldEqual, before.Started)
	})
}
