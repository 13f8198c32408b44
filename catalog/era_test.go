package catalog

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// lifetimeDecoder decodes what textDecoder does, and "ready ADDRESS INCARNATION" and "draining ADDRESS INCARNATION". A move
// order "move VERSION" is identified by its position.
type lifetimeDecoder struct{ textDecoder }

// Decode returns the fact in a record.
func (decoder lifetimeDecoder) Decode(record coltsfootlink.CatalogRecord) (coltsfootlink.Fact, error) {
	parts := strings.Fields(string(record.Value))
	switch {
	case len(parts) == 3 && (parts[0] == "ready" || parts[0] == "draining"):
		incarnation, err := strconv.ParseUint(parts[2], 10, 64)
		target := coltsfootlink.Target{Name: coltsfootlink.TargetName(record.Key), Pool: "p", Zone: "z", Address: parts[1], Incarnation: incarnation, Leaving: parts[0] == "draining"}
		return coltsfootlink.TargetFact{Target: target}, err
	case len(parts) == 2 && parts[0] == "move":
		started := coltsfootlink.Revision(record.Position.Era*1000 + record.Position.Offset)
		return coltsfootlink.MoveFact{Pool: "p", To: coltsfootlink.Version(parts[1]), Started: started, TimeLimit: time.Minute}, nil
	}
	return decoder.textDecoder.Decode(record)
}

// summary describes a catalog without deadlines.
func summary(catalog coltsfootlink.Catalog) string {
	lines := []string{"version " + strconv.FormatUint(catalog.Table.Version, 10)}
	for name, target := range catalog.Targets {
		lines = append(lines, fmt.Sprintf("%s %s/%d leaving=%t", name, target.Address, target.Incarnation, target.Leaving))
	}
	for zone := range catalog.ZonesOut {
		lines = append(lines, "out "+string(zone))
	}
	for _, move := range catalog.Moves {
		lines = append(lines, "move "+string(move.To)+" "+move.Started.String())
	}
	slices.Sort(lines[1:])
	return strings.Join(lines, ", ")
}

// TestWhatStaysInForceWhileAnEraSettles guards against changes that records of the copy undo, and against changes that are
// ignored because they were made shortly after a restore.
func TestWhatStaysInForceWhileAnEraSettles(t *testing.T) {
	type records = []coltsfootlink.CatalogRecord
	cases := map[string]struct {
		before, after records
		// settling and settled describe the catalog before and after the deadline.
		settling, settled string
	}{
		"the copy has the older routing table": {
			records{operatorRecord(1, "config", "version 3"), operatorRecord(2, "config", "version 5")}, records{operatorRecord(1, "config", "version 3")},
			"version 5", "version 5",
		},
		"the newer routing table is written again": {
			records{operatorRecord(2, "config", "version 5")}, records{operatorRecord(1, "config", "version 3"), operatorRecord(9, "config", "version 5")},
			"version 5", "version 5",
		},
		"a routing table is written after the restore": {
			records{operatorRecord(2, "config", "version 5")}, records{operatorRecord(1, "config", "version 3"), operatorRecord(9, "config", "version 7")},
			"version 7", "version 7",
		},
		"the copy has a target that has left": {
			records{targetRecord(1, "t", "ready h:1 1"), targetRecord(4, "t", "")}, records{targetRecord(1, "t", "ready h:1 1")},
			"version 0", "version 0, t h:1/1 leaving=false",
		},
		"the copy has a draining target as ready": {
			records{targetRecord(4, "t", "draining h:1 1")}, records{targetRecord(1, "t", "ready h:1 1")},
			"version 0, t h:1/1 leaving=true", "version 0, t h:1/1 leaving=false",
		},
		"the target that has left is written again from its start on": {
			records{targetRecord(4, "t", "ready h:1 1"), targetRecord(5, "t", "draining h:1 1"), targetRecord(6, "t", "")},
			records{targetRecord(9, "t", "ready h:1 1"), targetRecord(10, "t", "draining h:1 1")},
			"version 0", "version 0, t h:1/1 leaving=true",
		},
		"the copy has an earlier incarnation of a target": {
			records{targetRecord(4, "t", "ready h:2 2")}, records{targetRecord(1, "t", "ready h:1 1")},
			"version 0, t h:2/2 leaving=false", "version 0, t h:1/1 leaving=false",
		},
		"the copy has an earlier incarnation as draining": {
			records{targetRecord(4, "t", "ready h:2 2")}, records{targetRecord(1, "t", "draining h:1 1")},
			"version 0, t h:2/2 leaving=false", "version 0, t h:1/1 leaving=true",
		},
		"a target drains after the restore": {
			records{targetRecord(4, "t", "ready h:1 1")}, records{targetRecord(9, "t", "draining h:1 1")},
			"version 0, t h:1/1 leaving=true", "version 0, t h:1/1 leaving=true",
		},
		"a target starts again after the restore": {
			records{targetRecord(3, "t", "ready h:1 1"), targetRecord(4, "t", "")}, records{targetRecord(9, "t", "ready h:2 2")},
			"version 0, t h:2/2 leaving=false", "version 0, t h:2/2 leaving=false",
		},
		"a target is new": {
			nil, records{targetRecord(9, "t", "ready h:1 1")},
			"version 0, t h:1/1 leaving=false", "version 0, t h:1/1 leaving=false",
		},
		"an earlier incarnation is written again with its removal": {
			records{targetRecord(4, "t", "ready h:2 2")}, records{targetRecord(9, "t", "ready h:1 1"), targetRecord(10, "t", "")},
			"version 0, t h:2/2 leaving=false", "version 0",
		},
		"a target leaves after the restore": {
			records{targetRecord(4, "t", "ready h:1 1")}, records{targetRecord(9, "t", "")},
			"version 0", "version 0",
		},
		"the zone that is out is missing": {
			records{operatorRecord(4, "evacuate/a", "out a")}, nil,
			"version 0, out a", "version 0, out a",
		},
		"the copy has a zone out that was returned": {
			records{operatorRecord(4, "evacuate/a", "out a"), operatorRecord(5, "evacuate/a", "")}, records{operatorRecord(4, "evacuate/a", "out a")},
			"version 0", "version 0, out a",
		},
		"a zone is taken out after the restore": {
			records{operatorRecord(4, "evacuate/a", "out a"), operatorRecord(5, "evacuate/a", "")}, records{operatorRecord(9, "evacuate/a", "out a")},
			"version 0, out a", "version 0, out a",
		},
		"a zone is returned after the restore": {
			records{operatorRecord(4, "evacuate/a", "out a")}, records{operatorRecord(9, "evacuate/a", "")},
			"version 0", "version 0",
		},
		"the copy has an earlier order": {
			records{operatorRecord(2, "rollout/p", "move v2"), operatorRecord(4, "rollout/p", "move v3")}, records{operatorRecord(2, "rollout/p", "move v2")},
			"version 0, move v3 1004", "version 0, move v2 2002",
		},
		"orders are written again in turn": {
			records{operatorRecord(2, "rollout/p", "move v2"), operatorRecord(4, "rollout/p", "move v3")}, records{operatorRecord(9, "rollout/p", "move v2"), operatorRecord(10, "rollout/p", "move v3")},
			"version 0, move v3 1004", "version 0, move v3 1004",
		},
		"an order is removed after the restore": {
			records{operatorRecord(4, "rollout/p", "move v3")}, records{operatorRecord(9, "rollout/p", "")},
			"version 0", "version 0",
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(lifetimeDecoder{})
			for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
				state = state.WithPosition(baseTime, stream, coltsfootlink.Position{Era: 1})
			}
			for _, record := range test.before {
				state, _, _ = state.WithRecord(baseTime, inEra(1, record))
			}
			for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
				state = state.WithPosition(baseTime, stream, coltsfootlink.Position{Era: 2, Offset: 8})
				So(state.Settling(stream), ShouldBeTrue)
			}
			for _, record := range test.after {
				state, _, _ = state.WithRecord(baseTime, inEra(2, record))
			}
			So(summary(state.Catalog()), ShouldEqual, test.settling)
			early, settlements := state.WithSettled(baseTime.Add(2 * settleTime))
			So(settlements, ShouldBeEmpty)
			So(summary(early.Catalog()), ShouldEqual, test.settling)
			for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
				state = state.WithConfirmed(baseTime.Add(settleTime), stream)
			}
			settled, settlements := state.WithSettled(baseTime.Add(settleTime))
			So(settlements, ShouldHaveLength, 2)
			So(summary(settled.Catalog()), ShouldEqual, test.settled)
			_, again := settled.WithSettled(baseTime.Add(2 * settleTime))
			So(again, ShouldBeEmpty)
		})
	}
}

// TestSettlementCounts guards against a log line that does not tell what a restore has changed.
func TestSettlementCounts(t *testing.T) {
	cases := map[string]struct {
		before, after []coltsfootlink.CatalogRecord
		settlement    Settlement
	}{
		"kept at its offset":       {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "ready h:1 1")}, []coltsfootlink.CatalogRecord{targetRecord(1, "t", "ready h:1 1")}, Settlement{Kept: 1}},
		"written again":            {[]coltsfootlink.CatalogRecord{targetRecord(4, "t", "ready h:1 1")}, []coltsfootlink.CatalogRecord{targetRecord(9, "t", "ready h:1 1")}, Settlement{Rewritten: 1}},
		"replaced":                 {[]coltsfootlink.CatalogRecord{targetRecord(4, "t", "ready h:1 1")}, []coltsfootlink.CatalogRecord{targetRecord(9, "t", "draining h:1 1")}, Settlement{Replaced: 1}},
		"removed by the last read": {[]coltsfootlink.CatalogRecord{targetRecord(4, "t", "ready h:1 1")}, []coltsfootlink.CatalogRecord{targetRecord(9, "t", "")}, Settlement{Missing: 1}},
		"still missing":            {[]coltsfootlink.CatalogRecord{targetRecord(4, "t", "ready h:1 1")}, nil, Settlement{Missing: 1}},
		"new":                      {nil, []coltsfootlink.CatalogRecord{targetRecord(9, "t", "ready h:1 1")}, Settlement{}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(lifetimeDecoder{}).WithPosition(baseTime, coltsfootlink.TargetStream, coltsfootlink.Position{Era: 1})
			for _, record := range test.before {
				state, _, _ = state.WithRecord(baseTime, inEra(1, record))
			}
			state = state.WithPosition(baseTime, coltsfootlink.TargetStream, coltsfootlink.Position{Era: 2, Offset: 8})
			for _, record := range test.after {
				state, _, _ = state.WithRecord(baseTime, inEra(2, record))
			}
			_, settlements := state.WithConfirmed(baseTime, coltsfootlink.TargetStream).WithSettled(baseTime)
			So(settlements, ShouldHaveLength, 1)
			settlements[0].Changed, settlements[0].Written = nil, nil
			test.settlement.Stream, test.settlement.Era = coltsfootlink.TargetStream, 2
			So(settlements[0], ShouldResemble, test.settlement)
		})
	}
}

// TestErasThatAreNotRestores guards against records that are held although nothing was restored: with a store that reports one
// era or none, and while instances of builds without eras send theirs.
func TestErasThatAreNotRestores(t *testing.T) {
	type positions = []coltsfootlink.Position
	cases := map[string]struct {
		read     positions
		settling bool
	}{
		"no era":                     {positions{{Offset: 1}, {Offset: 9}}, false},
		"one era":                    {positions{{Era: 4, Offset: 1}, {Era: 4, Offset: 9}}, false},
		"the first era that is read": {positions{{Era: 4, Offset: 1}}, false},
		"a later era":                {positions{{Era: 4, Offset: 9}, {Era: 5, Offset: 1}}, true},
		"the first restore of a store that counts from zero": {positions{{Offset: 9}, {Era: 1, Offset: 1}}, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(textDecoder{})
			for _, position := range test.read {
				state = state.WithPosition(baseTime, coltsfootlink.TargetStream, position)
			}
			So(state.Settling(coltsfootlink.TargetStream), ShouldEqual, test.settling)
			So(len(state.Eras()) > 0, ShouldEqual, test.settling)
		})
	}
	Convey("updates of builds without eras don't keep an instance from reading, and do not begin an era", t, func() {
		view := viewOf("i-1", "i-2", "i-3", "i-4")
		task, _, clock := newTask("i-1", view)
		for name := range view.Live() {
			task.Self.Name = view.Live()[name].Name
			if !slices.Contains(task.readers("a"), task.Self.Name) {
				break
			}
		}
		read := readResult{stream: coltsfootlink.TargetStream, newest: true, complete: true, end: coltsfootlink.Position{Era: 3, Offset: 5}}
		task.handle(coltsfootlink.Delivery{Message: read})
		So(task.shouldRead(), ShouldBeFalse)
		clock.now = clock.now.Add(updateTimeout + time.Minute)
		fromReaders := func(news coltsfootlink.News) {
			for _, reader := range task.readers("a") {
				task.handle(coltsfootlink.Delivery{From: reader, Message: news})
			}
		}
		fromReaders(coltsfootlink.News{
			ReadAt: clock.now, Records: []coltsfootlink.CatalogRecord{targetRecord(9, "t", "target h:1")}, Ends: map[coltsfootlink.CatalogStream]coltsfootlink.Position{coltsfootlink.TargetStream: {Offset: 9}},
		})
		So(task.shouldRead(), ShouldBeTrue)
		So(task.state.Settling(coltsfootlink.TargetStream), ShouldBeFalse)
		fromReaders(coltsfootlink.News{ReadAt: clock.now, Era: 3})
		So(task.shouldRead(), ShouldBeFalse)
	})
}

// TestMergedEras guards against instances that do not agree on when an era has settled.
func TestMergedEras(t *testing.T) {
	era := func(number, offset uint64, settleBy time.Time) coltsfootlink.StreamEra {
		return coltsfootlink.StreamEra{Begun: coltsfootlink.Position{Era: number, Offset: offset}, SettleBy: settleBy}
	}
	later := baseTime.Add(time.Second)
	cases := map[string]struct{ left, right, merged coltsfootlink.StreamEra }{
		"a later era":                {era(2, 9, baseTime), era(3, 4, later), era(3, 4, later)},
		"a lower end":                {era(2, 9, baseTime), era(2, 4, baseTime), era(2, 4, baseTime)},
		"an earlier deadline":        {era(2, 9, later), era(2, 9, baseTime), era(2, 9, baseTime)},
		"one that has confirmed it":  {era(2, 9, baseTime), coltsfootlink.StreamEra{Begun: coltsfootlink.Position{Era: 2, Offset: 9}, SettleBy: baseTime, Confirmed: true}, coltsfootlink.StreamEra{Begun: coltsfootlink.Position{Era: 2, Offset: 9}, SettleBy: baseTime, Confirmed: true}},
		"a restore that wasn't seen": {era(2, 9, time.Time{}), era(2, 9, later), era(2, 9, later)},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(test.left.WithMerged(test.right), ShouldResemble, test.merged)
			So(test.right.WithMerged(test.left), ShouldResemble, test.merged)
		})
	}
}

// TestWhatWasWrittenComesWithTheConfirmation guards against instances that learn that an era has settled, but neither of the
// removals which the last read of all keys has found nor of records that have changed nothing for the reader.
func TestWhatWasWrittenComesWithTheConfirmation(t *testing.T) {
	Convey("a target that drains was written again", t, func() {
		reader, sender, clock := newTask("i-1", viewOf("i-1", "i-2"))
		other, _, _ := newTask("i-2", viewOf("i-1", "i-2"))
		reader.state, other.state = NewState(lifetimeDecoder{}), NewState(lifetimeDecoder{})
		read := func(result readResult) {
			result.stream = coltsfootlink.TargetStream
			reader.handle(coltsfootlink.Delivery{Message: result})
		}
		draining := inEra(2, targetRecord(4, "t", "draining h:1 1"))
		read(readResult{newest: true, complete: true, end: coltsfootlink.Position{Era: 1, Offset: 6}, records: []coltsfootlink.CatalogRecord{inEra(1, targetRecord(5, "t", "draining h:1 1"))}})
		read(readResult{newest: true, end: coltsfootlink.Position{Era: 2, Offset: 4}, records: []coltsfootlink.CatalogRecord{inEra(2, targetRecord(2, "t", "ready h:1 1"))}})
		other.handle(coltsfootlink.Delivery{From: "i-1", Message: reader.update(coltsfootlink.News{Records: reader.state.Records(), Ends: reader.state.Ends()})})
		So(summary(other.state.Catalog()), ShouldEqual, "version 0, t h:1/1 leaving=true")
		sender.sent = nil
		read(readResult{records: []coltsfootlink.CatalogRecord{draining}})
		clock.now = clock.now.Add(settleTime)
		read(readResult{newest: true, complete: true, end: coltsfootlink.Position{Era: 2, Offset: 5}, records: []coltsfootlink.CatalogRecord{draining}})
		for _, delivery := range sender.sent {
			other.handle(coltsfootlink.Delivery{From: "i-1", Message: delivery.Message})
			So(summary(other.state.Catalog()), ShouldEqual, "version 0, t h:1/1 leaving=true")
		}
		So(other.state.Settling(coltsfootlink.TargetStream), ShouldBeFalse)
	})
	Convey("the reader's first update with the confirmation also has the removal", t, func() {
		reader, sender, clock := newTask("i-1", viewOf("i-1", "i-2"))
		read := func(complete bool, era, end uint64, records ...coltsfootlink.CatalogRecord) {
			for index := range records {
				records[index].Position.Era = era
			}
			result := readResult{stream: coltsfootlink.TargetStream, newest: true, complete: complete, end: coltsfootlink.Position{Era: era, Offset: end}, records: records}
			reader.handle(coltsfootlink.Delivery{Message: result})
		}
		read(true, 1, 6, targetRecord(4, "t", "target h:1 1"), targetRecord(5, "u", "target h:2 2"))
		read(false, 2, 4, targetRecord(2, "t", "target h:1 1"), targetRecord(3, "u", "target h:2 1"))
		clock.now = clock.now.Add(settleTime)
		sender.sent = nil
		read(true, 2, 9, targetRecord(3, "u", "target h:2 1"))
		first := sender.sent[0].Message.(coltsfootlink.News)
		So(first.Eras[coltsfootlink.TargetStream].Confirmed, ShouldBeTrue)
		So(first.Records, ShouldHaveLength, 2)
		So(reader.state.Settling(coltsfootlink.TargetStream), ShouldBeFalse)
		So(reader.state.Catalog().Targets, ShouldHaveLength, 1)
		So(reader.state.Catalog().Targets["u"].Incarnation, ShouldEqual, 1)
	})
}

// TestStartWhileAnEraSettles guards against an instance that starts between a restore and the rewriting and goes by the copy,
// although its peers know what is newer.
func TestStartWhileAnEraSettles(t *testing.T) {
	copied := []coltsfootlink.CatalogRecord{targetRecord(0, "left", "ready h:1 1"), targetRecord(1, "drains", "ready h:2 1")}
	lost := []coltsfootlink.CatalogRecord{targetRecord(2, "left", ""), targetRecord(3, "drains", "draining h:2 1"), targetRecord(4, "new", "ready h:3 1")}
	const wanted = "version 0, drains h:2/1 leaving=true, new h:3/1 leaving=false"
	read := func(task *Task, era uint64, complete bool, records ...coltsfootlink.CatalogRecord) {
		for index := range records {
			records[index].Position.Era = era
		}
		result := readResult{stream: coltsfootlink.TargetStream, newest: true, complete: complete, end: coltsfootlink.Position{Era: era, Offset: 2}, records: records}
		task.handle(coltsfootlink.Delivery{Message: result})
	}
	cases := map[string]bool{"the peer is heard first": true, "the store is read first": false}
	for name, heardFirst := range cases {
		Convey(name, t, func() {
			known, _, _ := newTask("i-1", viewOf("i-1", "i-2"))
			fresh, _, _ := newTask("i-2", viewOf("i-1", "i-2"))
			known.state, fresh.state = NewState(lifetimeDecoder{}), NewState(lifetimeDecoder{})
			read(known, 1, true, slices.Clone(copied)...)
			for _, record := range lost {
				known.apply([]coltsfootlink.CatalogRecord{inEra(1, record)})
			}
			read(known, 2, false, slices.Clone(copied)...)
			So(summary(known.state.Catalog()), ShouldEqual, wanted)
			all := coltsfootlink.Delivery{From: "i-1", Message: known.update(coltsfootlink.News{Records: known.state.Records(), Ends: known.state.Ends()})}
			if heardFirst {
				fresh.handle(all)
			}
			read(fresh, 2, true, slices.Clone(copied)...)
			if !heardFirst {
				fresh.handle(all)
			}
			So(summary(fresh.state.Catalog()), ShouldEqual, wanted)
			So(fresh.signature, ShouldEqual, known.signature)
		})
	}
}

// TestKeysMissingAfterARestore guards against targets and orders that are removed before they have been written again, by a read
// of all keys or by the records of an instance that has started in between, and against such that are kept for ever.
func TestKeysMissingAfterARestore(t *testing.T) {
	begun := coltsfootlink.Position{Era: 2, Offset: 1}
	read := func(complete bool) coltsfootlink.Delivery {
		return coltsfootlink.Delivery{Message: readResult{stream: coltsfootlink.TargetStream, newest: true, complete: complete, end: begun}}
	}
	fromPeer := coltsfootlink.Delivery{From: "i-2", Message: coltsfootlink.News{Era: 2, Ends: map[coltsfootlink.CatalogStream]coltsfootlink.Position{coltsfootlink.TargetStream: begun}}}
	fromConfirmed := coltsfootlink.Delivery{From: "i-2", Message: coltsfootlink.News{
		Era: 2, Ends: map[coltsfootlink.CatalogStream]coltsfootlink.Position{coltsfootlink.TargetStream: begun},
		Eras: map[coltsfootlink.CatalogStream]coltsfootlink.StreamEra{coltsfootlink.TargetStream: {Begun: begun, SettleBy: baseTime, Confirmed: true}},
	}}
	cases := map[string]struct {
		messages []coltsfootlink.Delivery
		after    time.Duration
		kept     bool
	}{
		"the first read":                         {[]coltsfootlink.Delivery{read(false)}, 0, true},
		"a read by a reader that has just begun": {[]coltsfootlink.Delivery{read(true)}, 0, true},
		"records of an instance that started":    {[]coltsfootlink.Delivery{fromPeer}, 0, true},
		"a read shortly before the deadline":     {[]coltsfootlink.Delivery{read(false), read(true)}, settleTime - time.Millisecond, true},
		"a read after the deadline":              {[]coltsfootlink.Delivery{read(false), read(true)}, settleTime, false},
		"records of such one after the deadline": {[]coltsfootlink.Delivery{read(false), fromPeer}, settleTime, true},
		"records of a peer that has read again":  {[]coltsfootlink.Delivery{read(false), fromConfirmed}, settleTime, false},
		"no read at all":                         {[]coltsfootlink.Delivery{read(false), {Message: coltsfootlink.ViewChanged{}}}, time.Hour, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, _, clock := newTask("i-1", viewOf("i-1", "i-2"))
			task.handle(coltsfootlink.Delivery{Message: readResult{
				stream: coltsfootlink.TargetStream, newest: true, complete: true, end: coltsfootlink.Position{Era: 1, Offset: 9},
				records: []coltsfootlink.CatalogRecord{inEra(1, targetRecord(4, "t", "target h:1 1"))},
			}})
			for index, message := range test.messages {
				if index == len(test.messages)-1 {
					clock.now = clock.now.Add(test.after)
				}
				task.handle(message)
			}
			So(len(task.state.Catalog().Targets) == 1, ShouldEqual, test.kept)
		})
	}
}

// TestStartAfterARestore guards against an instance that starts between a restore and the rewriting and uses what the copy has:
// a routing table with a key that was withdrawn since.
func TestStartAfterARestore(t *testing.T) {
	cases := map[string]struct {
		era uint64
		// replies indicates that a peer replies, wait is the time after which the catalog is published.
		replies bool
		wait    time.Duration
		version uint64
	}{
		"in the first era":            {1, false, 0, 3},
		"without eras":                {0, false, 0, 3},
		"in a later era, with peers":  {2, true, 0, 5},
		"in a later era, without any": {2, false, bootstrapWait, 3},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			task, sender, clock := newTask("i-1", viewOf("i-1", "i-2"))
			subscriber := newSubscriber(task)
			task.awaitUntil = clock.now.Add(bootstrapWait)
			end := coltsfootlink.Position{Era: test.era, Offset: 4}
			task.handle(coltsfootlink.Delivery{Message: readResult{
				stream: coltsfootlink.OperatorStream, newest: true, complete: true, end: end, records: []coltsfootlink.CatalogRecord{inEra(test.era, operatorRecord(2, "config", "version 3"))},
			}})
			if test.replies {
				So(subscriber(), ShouldBeEmpty)
				task.bootstrap()
				So(sender.sent[len(sender.sent)-1].Message, ShouldResemble, coltsfootlink.NewsRequest{})
				task.handle(coltsfootlink.Delivery{From: "i-2", Message: coltsfootlink.News{
					Records: []coltsfootlink.CatalogRecord{inEra(1, operatorRecord(7, "config", "version 5"))}, Ends: map[coltsfootlink.CatalogStream]coltsfootlink.Position{coltsfootlink.OperatorStream: {Era: 1, Offset: 8}},
				}})
			}
			if test.wait > 0 {
				So(subscriber(), ShouldBeEmpty)
				clock.now = clock.now.Add(test.wait)
				task.publishAwaited()
			}
			versions := subscriber()
			So(versions, ShouldNotBeEmpty)
			So(versions[0], ShouldEqual, test.version)
		})
	}
}

// newSubscriber returns a function that returns the versions of the routing tables that the task has published since.
func newSubscriber(task *Task) func() []uint64 {
	deliveries := mailbox.NewDeliveries()
	task.Subscribers = append(task.Subscribers, deliveries)
	return func() []uint64 {
		var versions []uint64
		for _, delivery := range deliveries.Drain() {
			versions = append(versions, delivery.Message.(coltsfootlink.CatalogChanged).Catalog.Table.Version)
		}
		return versions
	}
}

// restoredStore is a source that holds the records of two streams in one era.
type restoredStore struct {
	era     uint64
	streams map[coltsfootlink.CatalogStream][]coltsfootlink.CatalogRecord
}

// put appends a record.
func (store *restoredStore) put(record coltsfootlink.CatalogRecord) {
	record.Position = coltsfootlink.Position{Era: store.era, Offset: uint64(len(store.streams[record.Stream]))}
	store.streams[record.Stream] = append(store.streams[record.Stream], record)
}

// Newest returns the newest record of each key.
func (store *restoredStore) Newest(_ context.Context, stream coltsfootlink.CatalogStream) (coltsfootlink.CatalogBatch, error) {
	records := store.streams[stream]
	batch := coltsfootlink.CatalogBatch{End: coltsfootlink.Position{Era: store.era, Offset: uint64(len(records))}}
	for index, record := range records {
		newest := !slices.ContainsFunc(records[index+1:], func(later coltsfootlink.CatalogRecord) bool { return later.Key == record.Key })
		if newest && !record.Removed {
			batch.Records = append(batch.Records, inEra(store.era, record))
		}
	}
	return batch, nil
}

// Follow returns the records from a position on.
func (store *restoredStore) Follow(_ context.Context, stream coltsfootlink.CatalogStream, from coltsfootlink.Position, _ time.Duration) (coltsfootlink.CatalogBatch, error) {
	records := store.streams[stream]
	if from.Era != store.era || from.Offset > uint64(len(records)) {
		return coltsfootlink.CatalogBatch{}, coltsfootlink.ErrRecordsGone
	}
	batch := coltsfootlink.CatalogBatch{End: coltsfootlink.Position{Era: store.era, Offset: uint64(len(records))}}
	for _, record := range records[from.Offset:] {
		batch.Records = append(batch.Records, inEra(store.era, record))
	}
	return batch, nil
}

// simulated is an instance that reads a restoredStore.
type simulated struct {
	*Task

	sender  *recordingSender
	readers map[coltsfootlink.CatalogStream]*reader
	// left has the highest incarnation with which each target is known to have left or to drain.
	left map[coltsfootlink.TargetName]uint64
	// gone has the highest incarnation with which each target had left or drained before the restore.
	gone map[coltsfootlink.TargetName]uint64
	// version is the highest version of the routing table that was in force.
	version uint64
}

// newSimulated returns an instance of a zone that has read nothing.
func newSimulated(store *restoredStore, clock coltsfootlink.Clock, self coltsfootlink.Instance, view coltsfootlink.View, gone map[coltsfootlink.TargetName]uint64) *simulated {
	task, sender, _ := newTask(self.Name, view)
	task.Self, task.Clock, task.Decoder, task.state = self, clock, lifetimeDecoder{}, NewState(lifetimeDecoder{})
	instance := &simulated{Task: task, sender: sender, left: make(map[coltsfootlink.TargetName]uint64), gone: gone}
	instance.start(store)
	return instance
}

// start starts the readers as the task does, also when it has stopped them.
func (instance *simulated) start(store *restoredStore) {
	instance.readers = make(map[coltsfootlink.CatalogStream]*reader)
	for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
		era, known := instance.state.StreamEra(stream)
		instance.readers[stream] = &reader{
			stream: stream, source: store, clock: instance.Clock, log: zerolog.Nop(), inbox: instance.Inbox, next: era.Begun, eraKnown: known, settleBy: era.SettleBy,
		}
	}
	instance.stopFuncs = []func(){func() { instance.start(store) }}
}

// read reads each stream once.
func (instance *simulated) read(ctx context.Context) {
	for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
		reader := instance.readers[stream]
		if _, err := reader.read(ctx); err != nil {
			reader.nextKnown = false
			_, _ = reader.read(ctx)
		}
		reader.releasePostponed()
	}
	for _, delivery := range instance.Inbox.Drain() {
		instance.handle(delivery)
		if instance.stopFuncs == nil {
			instance.stopFuncs = []func(){func() {}}
		}
	}
}

// check returns what the instance has in force although it was withdrawn; empty if nothing is.
func (instance *simulated) check() string {
	catalog := instance.state.Catalog()
	if catalog.Table.Version < instance.version {
		return fmt.Sprintf("routing table %d after %d", catalog.Table.Version, instance.version)
	}
	instance.version = catalog.Table.Version
	for name, target := range catalog.Targets {
		if !target.Leaving && target.Incarnation <= instance.left[name] {
			return fmt.Sprintf("target %s of incarnation %d is in use, known to have left as %d", name, target.Incarnation, instance.left[name])
		}
		if target.Leaving {
			instance.left[name] = max(instance.left[name], target.Incarnation)
		}
	}
	for iterator := instance.state.entries.Iterator(); !iterator.Done(); {
		key, stored, _ := iterator.Next()
		standing := stored.inForce()
		if key.stream == coltsfootlink.TargetStream && standing.record.Removed && standing.record.Position.Era < 2 {
			// Which incarnation a removal that is written again concerns is not known.
			name := coltsfootlink.TargetName(key.key)
			instance.left[name] = max(instance.left[name], min(standing.incarnation, instance.gone[name]))
		}
	}
	return ""
}

// drawRecords returns records as the operator and targets write them: versions rise, and a target that has left or drains only
// comes back as another incarnation.
func drawRecords(t *rapid.T, label string, version *int, targets map[string]int) []coltsfootlink.CatalogRecord {
	var records []coltsfootlink.CatalogRecord
	for range rapid.IntRange(0, 12).Draw(t, label) {
		switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); kind {
		case 0:
			*version++
			records = append(records, operatorRecord(0, "config", "version "+strconv.Itoa(*version)))
		case 1:
			records = append(records, operatorRecord(0, "evacuate/a", rapid.SampledFrom([]string{"", "out a"}).Draw(t, "zone")))
		case 2:
			records = append(records, operatorRecord(0, "rollout/p", rapid.SampledFrom([]string{"", "move v2", "move v3"}).Draw(t, "order")))
		default:
			// The state of a target counts its lifetimes in tens: of each, 1 is ready, 2 draining and 3 removed.
			name := rapid.SampledFrom([]string{"t", "u"}).Draw(t, "target")
			state := targets[name]
			if stage := state % 10; stage == 0 || stage == 3 {
				state = state/10*10 + 11
			} else {
				state = state/10*10 + rapid.IntRange(stage+1, 3).Draw(t, "stage")
			}
			targets[name] = state
			value := map[int]string{1: "ready", 2: "draining", 3: ""}[state%10]
			if value != "" {
				value += fmt.Sprintf(" h:%d %d", state/10, state/10)
			}
			records = append(records, targetRecord(0, name, value))
		}
	}
	return records
}

// TestInstancesAgreeAfterARestore guards against instances that differ in their catalogs after records were lost in a restore
// and written again, and against withdrawn configurations and targets that are in use in between.
func TestInstancesAgreeAfterARestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		clock := &manualClock{now: baseTime}
		store := &restoredStore{era: 1, streams: make(map[coltsfootlink.CatalogStream][]coltsfootlink.CatalogRecord)}
		version, targets := 0, make(map[string]int)
		copied, lost := drawRecords(t, "copied", &version, targets), drawRecords(t, "lost", &version, targets)
		gone := make(map[coltsfootlink.TargetName]uint64)
		for name, state := range targets {
			gone[coltsfootlink.TargetName(name)] = uint64(state / 10)
			if state%10 == 1 {
				gone[coltsfootlink.TargetName(name)]--
			}
		}

		view := viewOf("i-1", "i-2", "i-3")
		if rapid.Bool().Draw(t, "two zones") {
			view.Members[1].Zone = "b"
		}
		view = view.WithIndex()
		instances := make(map[coltsfootlink.InstanceName]*simulated)
		for _, member := range view.Members[:2] {
			instances[member.Name] = newSimulated(store, clock, member.Instance, view, gone)
		}
		exchange := func() {
			for _, name := range slices.Sorted(maps.Keys(instances)) {
				instance := instances[name]
				outgoing := instance.sender.sent
				instance.sender.sent = nil
				for _, delivery := range outgoing {
					if recipient := instances[delivery.From]; recipient != nil {
						recipient.handle(coltsfootlink.Delivery{From: name, Message: delivery.Message})
					}
				}
			}
		}
		check := func() {
			for name, instance := range instances {
				if fault := instance.check(); fault != "" {
					t.Fatalf("%s: %s", name, fault)
				}
			}
		}

		// Each instance reads up to some record and then hears of nothing until it notices the restore.
		knownUntil := map[coltsfootlink.InstanceName]int{
			"i-1": rapid.IntRange(0, len(copied)+len(lost)).Draw(t, "i-1 knows"), "i-2": rapid.IntRange(0, len(copied)+len(lost)).Draw(t, "i-2 knows"),
		}
		for index, record := range append(slices.Clone(copied), lost...) {
			for name, instance := range instances {
				if index < knownUntil[name] || index == 0 {
					instance.read(t.Context())
				}
			}
			store.put(record)
		}
		for name, instance := range instances {
			if knownUntil[name] == len(copied)+len(lost) {
				instance.read(t.Context())
			}
		}
		check()
		// Of what was sent before the restore nothing arrives after it.
		order, ordered := instances["i-1"].state.Catalog().Moves["p"]
		for _, instance := range instances {
			instance.sender.sent = nil
		}

		restored := &restoredStore{era: 2, streams: make(map[coltsfootlink.CatalogStream][]coltsfootlink.CatalogRecord)}
		for _, record := range copied {
			restored.put(record)
		}
		*store = *restored
		added := drawRecords(t, "new", &version, targets)
		written := append(drawRewritten(t, lost), added...)
		isOrder := func(record coltsfootlink.CatalogRecord) bool { return record.Key == "rollout/p" }
		unchanged := ordered && knownUntil["i-1"] == len(copied)+len(lost) && !slices.ContainsFunc(added, isOrder)
		noticed := map[coltsfootlink.InstanceName]int{
			"i-1": rapid.IntRange(0, 10).Draw(t, "i-1 notices"), "i-2": rapid.IntRange(0, 10).Draw(t, "i-2 notices"), "i-3": rapid.IntRange(0, 60).Draw(t, "i-3 starts"),
		}
		for index := range 100 {
			clock.now = clock.now.Add(step)
			for range 2 {
				if len(written) > 0 {
					store.put(written[0])
					written = written[1:]
				}
			}
			if index == noticed["i-3"] {
				instances["i-3"] = newSimulated(store, clock, view.Members[2].Instance, view, gone)
			}
			for _, name := range slices.Sorted(maps.Keys(instances)) {
				instance := instances[name]
				if index >= noticed[name] && rapid.IntRange(0, 2).Draw(t, "reads") > 0 {
					instance.read(t.Context())
				}
			}
			exchange()
			check()
		}

		expected := NewState(lifetimeDecoder{})
		for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
			batch, _ := store.Newest(t.Context(), stream)
			for _, record := range batch.Records {
				expected, _, _ = expected.WithRecord(baseTime, record)
			}
		}
		if after := instances["i-1"].state.Catalog().Moves["p"]; unchanged && (after.Started != order.Started || after.FinishBy != order.FinishBy) {
			t.Fatalf("order %s is %s after the restore, its deadline %s is %s", order.Started, after.Started, order.FinishBy, after.FinishBy)
		}
		for name, instance := range instances {
			found, wanted := summary(instance.state.Catalog()), summary(expected.Catalog())
			if withoutOrders(found) != withoutOrders(wanted) {
				t.Fatalf("%s has %s, but %s was written", name, found, wanted)
			}
			if first := summary(instances["i-1"].state.Catalog()); found != first {
				t.Fatalf("%s has %s, i-1 has %s", name, found, first)
			}
		}
	})
}

// withoutOrders returns a summary without what identifies move orders.
func withoutOrders(summary string) string {
	lines := strings.Split(summary, ", ")
	for index, line := range lines {
		if strings.HasPrefix(line, "move ") {
			lines[index] = strings.Join(strings.Fields(line)[:2], " ")
		}
	}
	return strings.Join(lines, ", ")
}

// drawRewritten returns lost records in the order in which they are written again: any order that keeps that of each key.
func drawRewritten(t *rapid.T, lost []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	order := make(map[string][]coltsfootlink.CatalogRecord)
	var keys []string
	for _, record := range lost {
		order[record.Key] = append(order[record.Key], record)
		keys = append(keys, record.Key)
	}
	var written []coltsfootlink.CatalogRecord
	for _, key := range rapid.Permutation(keys).Draw(t, "rewritten") {
		written = append(written, order[key][0])
		order[key] = order[key][1:]
	}
	return written
}
