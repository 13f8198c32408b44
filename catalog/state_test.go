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

// words decodes records of the form "version 3", "out zone", "move version 2", "target address slots" for these tests.
type words struct{}

// Decode returns what a record says.
func (words) Decode(record coltsfootlink.CatalogRecord) (coltsfootlink.Fact, error) {
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

var at = time.UnixMilli(1_700_000_000_000)

// record returns a record; no value stands for a removal.
func record(stream coltsfootlink.CatalogStream, offset uint64, key, value string) coltsfootlink.CatalogRecord {
	return coltsfootlink.CatalogRecord{Stream: stream, Offset: offset, Key: key, Value: []byte(value), Removed: value == ""}
}

func operator(offset uint64, key, value string) coltsfootlink.CatalogRecord {
	return record(coltsfootlink.OperatorStream, offset, key, value)
}

func target(offset uint64, key, value string) coltsfootlink.CatalogRecord {
	return record(coltsfootlink.TargetStream, offset, key, value)
}

func TestRecords(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		changes []Change
		version uint64
		targets int
		out     bool
	}{
		"a table":                       {[]coltsfootlink.CatalogRecord{operator(1, "config", "version 3")}, []Change{Difference}, 3, 0, false},
		"a newer table":                 {[]coltsfootlink.CatalogRecord{operator(1, "config", "version 3"), operator(2, "config", "version 5")}, []Change{Difference, Difference}, 5, 0, false},
		"an older record that is late":  {[]coltsfootlink.CatalogRecord{operator(2, "config", "version 5"), operator(1, "config", "version 3")}, []Change{Difference, Nothing}, 5, 0, false},
		"a newer record that goes back": {[]coltsfootlink.CatalogRecord{operator(1, "config", "version 5"), operator(2, "config", "version 3")}, []Change{Difference, Nothing}, 5, 0, false},
		"a target":                      {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1")}, []Change{Difference}, 0, 1, false},
		"a heartbeat that says no more": {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "t", "target h:1")}, []Change{Difference, Renewal}, 0, 1, false},
		"a target that is gone":         {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "t", "")}, []Change{Difference, Difference}, 0, 0, false},
		"gone and late":                 {[]coltsfootlink.CatalogRecord{target(2, "t", ""), target(1, "t", "target h:1")}, []Change{Renewal, Nothing}, 0, 0, false},
		"an entry that cannot be read":  {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "t", "?")}, []Change{Difference, Difference}, 0, 0, false},
		"a zone that is out":            {[]coltsfootlink.CatalogRecord{operator(1, "evacuate/a", "out a")}, []Change{Difference}, 0, 0, true},
		"a zone that is back":           {[]coltsfootlink.CatalogRecord{operator(1, "evacuate/a", "out a"), operator(2, "evacuate/a", "")}, []Change{Difference, Difference}, 0, 0, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(words{})
			for index, record := range test.records {
				var change Change
				state, change, _ = state.WithRecord(at, record)
				So(change, ShouldEqual, test.changes[index])
			}
			catalog := state.Catalog()
			So(catalog.Table.Version, ShouldEqual, test.version)
			So(catalog.Targets, ShouldHaveLength, test.targets)
			So(catalog.ZonesOut["a"], ShouldEqual, test.out)
		})
	}
}

// TestColdTargets holds for targets that may have turned cold without saying so.
func TestColdTargets(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		cold    bool
	}{
		"a target that says it is warm": {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1 1")}, false},
		"one that started again":        {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1 1"), target(2, "t", "target h:1 2")}, true},
		"one whose zone comes back":     {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1 1"), operator(2, "evacuate/a", "out a"), operator(3, "evacuate/a", "")}, true},
		"one whose zone goes out":       {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1 1"), operator(2, "evacuate/a", "out a")}, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(words{})
			for _, record := range append([]coltsfootlink.CatalogRecord{operator(0, "config", "version 1")}, test.records...) {
				state, _, _ = state.WithRecord(at, record)
			}
			So(state.Catalog().Targets["t"].ColdUntil.After(at), ShouldEqual, test.cold)
		})
	}
}

// TestMoves holds for operators' orders to move.
func TestMoves(t *testing.T) {
	cases := map[string]struct {
		records  []coltsfootlink.CatalogRecord
		to       coltsfootlink.Version
		finishBy time.Time
	}{
		"an order":                     {[]coltsfootlink.CatalogRecord{operator(3, "rollout/p", "move v2 3")}, "v2", at.Add(time.Minute)},
		"an order that is read twice":  {[]coltsfootlink.CatalogRecord{operator(3, "rollout/p", "move v2 3"), operator(3, "rollout/p", "move v2 3")}, "v2", at.Add(time.Minute)},
		"another order":                {[]coltsfootlink.CatalogRecord{operator(3, "rollout/p", "move v2 3"), operator(4, "rollout/p", "move v3 4")}, "v3", at.Add(time.Minute + time.Second)},
		"an order that was taken away": {[]coltsfootlink.CatalogRecord{operator(3, "rollout/p", "move v2 3"), operator(4, "rollout/p", "")}, "", time.Time{}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := NewState(words{})
			before := state.Catalog().Signature()
			for place, record := range test.records {
				state, _, _ = state.WithRecord(at.Add(time.Duration(place)*time.Second), record)
			}
			move := state.Catalog().Moves["p"]
			So(move.To, ShouldEqual, test.to)
			So(move.FinishBy, ShouldEqual, test.finishBy)
			So(state.Catalog().Signature() == before, ShouldEqual, test.to == "")
		})
	}
}

// TestMergeIsOrderFree: instances that have seen the same records in any order, some of them twice, agree.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []coltsfootlink.CatalogRecord
		version := 0
		for offset := range rapid.IntRange(1, 20).Draw(t, "records") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				version++
				records = append(records, operator(uint64(offset+1), "config", "version "+strconv.Itoa(version)))
			case 1:
				value := rapid.SampledFrom([]string{"", "out a"}).Draw(t, "zone")
				records = append(records, operator(uint64(offset+1), "evacuate/a", value))
			default:
				key := rapid.SampledFrom([]string{"t", "u"}).Draw(t, "target")
				value := rapid.SampledFrom([]string{"", "target h:1", "target h:2", "?"}).Draw(t, "value")
				records = append(records, target(uint64(offset+1), key, value))
			}
		}
		inOrder, shuffled := NewState(words{}), NewState(words{})
		for _, record := range records {
			inOrder, _, _ = inOrder.WithRecord(at, record)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		order := append(append([]coltsfootlink.CatalogRecord(nil), records...), records[:len(records)/2]...)
		rand.New(rand.NewPCG(seed, seed)).Shuffle(len(order), func(left, right int) { order[left], order[right] = order[right], order[left] })
		for _, record := range order {
			shuffled, _, _ = shuffled.WithRecord(at, record)
		}
		if inOrder.Catalog().Signature() != shuffled.Catalog().Signature() {
			t.Fatalf("%v differs from %v", inOrder.Catalog(), shuffled.Catalog())
		}
	})
}

func TestMissing(t *testing.T) {
	Convey("keys that are no longer among the newest are gone, unless they came later", t, func() {
		state := NewState(words{})
		for _, record := range []coltsfootlink.CatalogRecord{target(1, "old", "target h:1"), target(2, "kept", "target h:2"), target(9, "new", "target h:3")} {
			state, _, _ = state.WithRecord(at, record)
		}
		missing := state.Missing(coltsfootlink.TargetStream, []coltsfootlink.CatalogRecord{target(2, "kept", "target h:2")}, 5)
		So(missing, ShouldResemble, []coltsfootlink.CatalogRecord{{Stream: coltsfootlink.TargetStream, Offset: 4, Key: "old", Removed: true}})
	})
}
