package catalog

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

// textDecoder decodes test records of the forms "version VERSION" (a routing table), "out ZONE", "move VERSION REVISION"
// and "target ADDRESS INCARNATION".
type textDecoder struct{}

// Decode returns the fact in a record.
func (textDecoder) Decode(record coltsfootlink.CatalogRecord) (coltsfootlink.Fact, error) {
	parts := strings.Fields(string(record.Value))
	if len(parts) < 2 {
		return nil, errors.New("too short")
	}
	switch parts[0] {
	case "version":
		version, err := strconv.ParseUint(parts[1], 10, 64)
		table := coltsfootlink.RoutingTable{Version: version}
		return coltsfootlink.TableFact{Table: table.WithPool(coltsfootlink.PoolTraits{Name: "p", ColdStartDuration: time.Second})}, err
	case "move":
		started, err := strconv.ParseUint(parts[2], 10, 64)
		return coltsfootlink.MoveFact{Pool: "p", To: coltsfootlink.Version(parts[1]), Started: coltsfootlink.Revision(started), TimeLimit: time.Minute}, err
	case "out":
		return coltsfootlink.ZoneOutFact{Zone: coltsfootlink.ZoneName(parts[1])}, nil
	default:
		target := coltsfootlink.Target{Name: coltsfootlink.TargetName(record.Key), Pool: "p", Zone: "a", Address: parts[1]}
		if len(parts) > 2 {
			target.Incarnation, _ = strconv.ParseUint(parts[2], 10, 64)
		}
		return coltsfootlink.TargetFact{Target: target}, nil
	}
}

var baseTime = time.UnixMilli(1_700_000_000_000)

// record returns a record; an empty value makes it a removal.
func record(stream coltsfootlink.CatalogStream, offset uint64, key, value string) coltsfootlink.CatalogRecord {
	return coltsfootlink.CatalogRecord{Stream: stream, Position: coltsfootlink.Position{Offset: offset}, Key: key, Value: []byte(value), Removed: value == ""}
}

func operatorRecord(offset uint64, key, value string) coltsfootlink.CatalogRecord {
	return record(coltsfootlink.OperatorStream, offset, key, value)
}

func targetRecord(offset uint64, key, value string) coltsfootlink.CatalogRecord {
	return record(coltsfootlink.TargetStream, offset, key, value)
}

func TestWithRecord(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		changes []Change
		version uint64
		targets int
		zoneOut bool
	}{
		"table":                                              {[]coltsfootlink.CatalogRecord{operatorRecord(1, "config", "version 3")}, []Change{Changed}, 3, 0, false},
		"newer table":                                        {[]coltsfootlink.CatalogRecord{operatorRecord(1, "config", "version 3"), operatorRecord(2, "config", "version 5")}, []Change{Changed, Changed}, 5, 0, false},
		"older record arrives late":                          {[]coltsfootlink.CatalogRecord{operatorRecord(2, "config", "version 5"), operatorRecord(1, "config", "version 3")}, []Change{Changed, Ignored}, 5, 0, false},
		"newer record with an older version":                 {[]coltsfootlink.CatalogRecord{operatorRecord(1, "config", "version 5"), operatorRecord(2, "config", "version 3")}, []Change{Changed, Ignored}, 5, 0, false},
		"target":                                             {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1")}, []Change{Changed}, 0, 1, false},
		"unchanged target":                                   {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "target h:1")}, []Change{Changed, Refreshed}, 0, 1, false},
		"removed target":                                     {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "")}, []Change{Changed, Changed}, 0, 0, false},
		"target arrives after its removal":                   {[]coltsfootlink.CatalogRecord{targetRecord(2, "t", ""), targetRecord(1, "t", "target h:1")}, []Change{Refreshed, Ignored}, 0, 0, false},
		"target record that cannot be decoded":               {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "?")}, []Change{Changed, Changed}, 0, 0, false},
		"table that cannot be decoded after another":         {[]coltsfootlink.CatalogRecord{operatorRecord(1, "config", "version 3"), operatorRecord(2, "config", "?")}, []Change{Changed, Refreshed}, 3, 0, false},
		"table that cannot be decoded before another":        {[]coltsfootlink.CatalogRecord{operatorRecord(2, "config", "?"), operatorRecord(1, "config", "version 3")}, []Change{Refreshed, Changed}, 3, 0, false},
		"newer table, older than one that cannot be decoded": {[]coltsfootlink.CatalogRecord{operatorRecord(1, "config", "version 3"), operatorRecord(3, "config", "?"), operatorRecord(2, "config", "version 5")}, []Change{Changed, Refreshed, Changed}, 5, 0, false},
		"older table, older than one that cannot be decoded": {[]coltsfootlink.CatalogRecord{operatorRecord(2, "config", "version 5"), operatorRecord(3, "config", "?"), operatorRecord(1, "config", "version 3")}, []Change{Changed, Refreshed, Ignored}, 5, 0, false},
		"table after one that cannot be decoded":             {[]coltsfootlink.CatalogRecord{operatorRecord(1, "config", "?"), operatorRecord(2, "config", "version 3")}, []Change{Refreshed, Changed}, 3, 0, false},
		"zone out of service":                                {[]coltsfootlink.CatalogRecord{operatorRecord(1, "evacuate/a", "out a")}, []Change{Changed}, 0, 0, true},
		"zone returned to service":                           {[]coltsfootlink.CatalogRecord{operatorRecord(1, "evacuate/a", "out a"), operatorRecord(2, "evacuate/a", "")}, []Change{Changed, Changed}, 0, 0, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(textDecoder{})
			for index, record := range test.records {
				var change Change
				state, change, _ = state.WithRecord(baseTime, record)
				So(change, ShouldEqual, test.changes[index])
			}
			catalog := state.Catalog()
			So(catalog.Table.Version, ShouldEqual, test.version)
			So(catalog.Targets, ShouldHaveLength, test.targets)
			So(catalog.ZonesOut["a"], ShouldEqual, test.zoneOut)
		})
	}
}

// TestUnreportedColdStarts checks that a target counts as cold after a restart and after its zone returns to service, even
// if it does not report a cold start.
func TestUnreportedColdStarts(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		cold    bool
	}{
		"warm target":                           {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1 1")}, false},
		"restarted target":                      {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1 1"), targetRecord(2, "t", "target h:1 2")}, true},
		"target whose zone returns to service":  {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1 1"), operatorRecord(2, "evacuate/a", "out a"), operatorRecord(3, "evacuate/a", "")}, true},
		"target whose zone goes out of service": {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1 1"), operatorRecord(2, "evacuate/a", "out a")}, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(textDecoder{})
			for _, record := range append([]coltsfootlink.CatalogRecord{operatorRecord(0, "config", "version 1")}, test.records...) {
				state, _, _ = state.WithRecord(baseTime, record)
			}
			So(state.Catalog().Targets["t"].ColdUntil.After(baseTime), ShouldEqual, test.cold)
		})
	}
}

// TestMoveOrders checks that the catalog holds the newest order of a pool and its deadline.
func TestMoveOrders(t *testing.T) {
	cases := map[string]struct {
		records  []coltsfootlink.CatalogRecord
		to       coltsfootlink.Version
		finishBy time.Time
	}{
		"order":            {[]coltsfootlink.CatalogRecord{operatorRecord(3, "rollout/p", "move v2 3")}, "v2", baseTime.Add(time.Minute)},
		"order read twice": {[]coltsfootlink.CatalogRecord{operatorRecord(3, "rollout/p", "move v2 3"), operatorRecord(3, "rollout/p", "move v2 3")}, "v2", baseTime.Add(time.Minute)},
		"another order":    {[]coltsfootlink.CatalogRecord{operatorRecord(3, "rollout/p", "move v2 3"), operatorRecord(4, "rollout/p", "move v3 4")}, "v3", baseTime.Add(time.Minute + time.Second)},
		"removed order":    {[]coltsfootlink.CatalogRecord{operatorRecord(3, "rollout/p", "move v2 3"), operatorRecord(4, "rollout/p", "")}, "", time.Time{}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(textDecoder{})
			before := state.Catalog().Signature()
			for index, record := range test.records {
				state, _, _ = state.WithRecord(baseTime.Add(time.Duration(index)*time.Second), record)
			}
			move := state.Catalog().Moves["p"]
			So(move.To, ShouldEqual, test.to)
			So(move.FinishBy, ShouldEqual, test.finishBy)
			So(state.Catalog().Signature() == before, ShouldEqual, test.to == "")
		})
	}
}

// TestMergeDoesNotDependOnOrder checks that instances that have read the same records in any order, some of them twice,
// have the same catalog.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []coltsfootlink.CatalogRecord
		version := 0
		for offset := range rapid.IntRange(1, 20).Draw(t, "records") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				version++
				records = append(records, operatorRecord(uint64(offset+1), "config", "version "+strconv.Itoa(version)))
			case 4:
				records = append(records, operatorRecord(uint64(offset+1), "config", "?"))
			case 1:
				value := rapid.SampledFrom([]string{"", "out a"}).Draw(t, "zone")
				records = append(records, operatorRecord(uint64(offset+1), "evacuate/a", value))
			default:
				key := rapid.SampledFrom([]string{"t", "u"}).Draw(t, "target")
				value := rapid.SampledFrom([]string{"", "target h:1", "target h:2", "?"}).Draw(t, "value")
				records = append(records, targetRecord(uint64(offset+1), key, value))
			}
		}
		inOrder, shuffled := NewState(textDecoder{}), NewState(textDecoder{})
		for _, record := range records {
			inOrder, _, _ = inOrder.WithRecord(baseTime, record)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		order := append(append([]coltsfootlink.CatalogRecord(nil), records...), records[:len(records)/2]...)
		rand.New(rand.NewPCG(seed, seed)).Shuffle(len(order), func(left, right int) { order[left], order[right] = order[right], order[left] })
		for _, record := range order {
			shuffled, _, _ = shuffled.WithRecord(baseTime, record)
		}
		if inOrder.Catalog().Signature() != shuffled.Catalog().Signature() {
			t.Fatalf("%v differs from %v", inOrder.Catalog(), shuffled.Catalog())
		}
	})
}

func TestMissing(t *testing.T) {
	Convey("keys that are not among the newest records are removed, unless they were added after the read", t, func() {
		state := NewState(textDecoder{})
		for _, record := range []coltsfootlink.CatalogRecord{targetRecord(1, "old", "target h:1"), targetRecord(2, "kept", "target h:2"), targetRecord(9, "new", "target h:3")} {
			state, _, _ = state.WithRecord(baseTime, record)
		}
		missing := state.Missing(coltsfootlink.TargetStream, []coltsfootlink.CatalogRecord{targetRecord(2, "kept", "target h:2")}, coltsfootlink.Position{Offset: 5})
		So(missing, ShouldResemble, []coltsfootlink.CatalogRecord{{Stream: coltsfootlink.TargetStream, Position: coltsfootlink.Position{Offset: 4}, Key: "old", Removed: true}})
	})
}

// TestOddRecordsAreNotPassedOn checks that an instance that knows nothing but the records of another has its catalog, and
// that records which cannot be decoded are passed on without their values.
func TestOddRecordsAreNotPassedOn(t *testing.T) {
	cases := map[string][]coltsfootlink.CatalogRecord{
		"an odd target":                  {operatorRecord(1, "config", "version 3"), targetRecord(1, "t", "target h:1"), targetRecord(2, "u", "?")},
		"an odd record of a good target": {operatorRecord(1, "config", "version 3"), targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "?")},
		"an odd routing table":           {operatorRecord(1, "config", "version 3"), operatorRecord(2, "config", "?")},
		"an odd key of operators":        {operatorRecord(1, "config", "version 3"), operatorRecord(2, "novel", "?")},
	}
	for name, records := range cases {
		Convey(name, t, func() {
			known, fresh := NewState(textDecoder{}), NewState(textDecoder{})
			for _, record := range records {
				known, _, _ = known.WithRecord(baseTime, record)
			}
			for _, record := range known.Records() {
				So(string(record.Value), ShouldNotEqual, "?")
				fresh, _, _ = fresh.WithRecord(baseTime, record)
			}
			So(fresh.Catalog().Table.Version, ShouldEqual, 3)
			So(fresh.Catalog().Signature(), ShouldEqual, known.Catalog().Signature())
		})
	}
}

// TestOutdatedRecordsStayRemoved checks that what was removed before an instance has read the platform does not come back
// with the records of a peer that has not learned of the removal.
func TestOutdatedRecordsStayRemoved(t *testing.T) {
	outdated := []coltsfootlink.CatalogRecord{
		operatorRecord(1, "config", "version 3"), operatorRecord(2, "evacuate/a", "out a"), targetRecord(4, "left", "target h:1"), targetRecord(5, "kept", "target h:2"),
	}
	newest := map[coltsfootlink.CatalogStream][]coltsfootlink.CatalogRecord{
		coltsfootlink.OperatorStream: {operatorRecord(6, "config", "version 5")},
		coltsfootlink.TargetStream:   {targetRecord(5, "kept", "target h:2")},
	}
	read := func(task *Task) {
		for stream, records := range newest {
			task.handle(coltsfootlink.Delivery{Message: readResult{stream: stream, records: records, complete: true, end: coltsfootlink.Position{Offset: 9}}})
		}
	}
	hear := func(task *Task) {
		task.handle(coltsfootlink.Delivery{From: "i-2", Message: coltsfootlink.News{Records: outdated, Signature: 1}})
	}
	hearComplete := func(task *Task) {
		informed, _, _ := newTask("i-3", viewOf("i-1", "i-2", "i-3"))
		read(informed)
		task.handle(coltsfootlink.Delivery{From: "i-3", Message: coltsfootlink.News{Records: informed.state.Records(), Ends: informed.state.Ends(), Signature: informed.signature}})
	}
	cases := map[string][]func(*Task){
		"the platform is read first":                   {read, hear},
		"the peer is heard first":                      {hear, read},
		"another peer that has read is heard first":    {hearComplete, hear},
		"another peer that has read is heard later":    {hear, hearComplete},
		"the outdated peer is heard before and after":  {hear, read, hear},
		"the outdated peer is heard between the peers": {hearComplete, hear, hearComplete},
	}
	for name, acts := range cases {
		Convey("a target that has left, and a zone that has returned, stay so: "+name, t, func() {
			task, _, _ := newTask("i-1", viewOf("i-1", "i-2", "i-3"))
			for _, act := range acts {
				act(task)
			}
			catalog := task.state.Catalog()
			So(catalog.Table.Version, ShouldEqual, 5)
			So(catalog.ZonesOut, ShouldBeEmpty)
			So(catalog.Targets, ShouldHaveLength, 1)
			So(catalog.Targets["kept"].Address, ShouldEqual, "h:2")
		})
	}
}
