package revision

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
	"coltsfootlink/settings"
)

func document(weight int) string {
	return fmt.Sprintf(`
[[availability-zone]]
name = "a"
[[team]]
name = "x"
weight = %d.0
token-hash = "%s"
[[pool]]
name = "p"
kind = "engine"
cold-limit = 1
max-limit = 2
growth-per-second = 1.0
max-cost = 10.0
[[pool.route]]
path = "r"
repeatable = true
`, weight, strings.Repeat("0", 64))
}

func apply(id string, base coltsfootlink.Revision, weight int) Record {
	return Record{ID: id, Base: base, Author: "somebody", Kind: Apply, Document: document(weight)}
}

// log returns a batch of records with consecutive offsets from first on.
func log(first uint64, records ...Record) coltsfootlink.Batch {
	batch := coltsfootlink.Batch{First: coltsfootlink.Position{Offset: first}, Next: coltsfootlink.Position{Offset: first + uint64(len(records))}}
	for index, record := range records {
		body, _ := record.Encode()
		batch.Records = append(batch.Records, coltsfootlink.Record{Position: coltsfootlink.Position{Offset: first + uint64(index)}, Body: body})
	}
	return batch
}

func TestWithBatch(t *testing.T) {
	zoneOut := Record{ID: "z", Base: 1, Kind: Zone, Zone: "a", Out: true}
	cases := map[string]struct {
		batch    coltsfootlink.Batch
		revision coltsfootlink.Revision
		err      any
	}{
		"first record":                          {log(0, apply("1", 0, 1)), 1, nil},
		"two consecutive changes":               {log(0, apply("1", 0, 1), apply("2", 1, 2)), 2, nil},
		"two changes with the same base":        {log(0, apply("1", 0, 1), apply("2", 0, 2)), 1, &ConflictError{}},
		"an invalid document":                   {log(0, Record{ID: "1", Kind: Apply, Document: "[[team]]"}), 0, settings.Findings{}},
		"a zone taken out of service":           {log(0, apply("1", 0, 1), zoneOut), 2, nil},
		"an unknown zone":                       {log(0, apply("1", 0, 1), Record{ID: "z", Base: 1, Kind: Zone, Zone: "b", Out: true}), 1, errors.New("")},
		"a zone that is already in service":     {log(0, apply("1", 0, 1), Record{ID: "z", Base: 1, Kind: Zone, Zone: "a"}), 1, errors.New("")},
		"an unknown kind":                       {log(0, Record{ID: "1", Kind: "dance"}), 0, errors.New("")},
		"a snapshot where records were dropped": {log(5, apply("6", 6, 2), Record{ID: "s", Base: 7, Kind: Snapshot, Document: document(3)}, apply("8", 7, 4)), 8, nil},
		"records were dropped and no snapshot":  {log(5, apply("1", 0, 1)), 0, errors.New("")},
		"an old snapshot has no effect":         {log(0, apply("1", 0, 1), apply("2", 1, 1), Record{ID: "s", Base: 1, Kind: Snapshot, Document: document(9)}), 2, nil},
		"a record that is not valid JSON":       {coltsfootlink.Batch{Records: []coltsfootlink.Record{{Body: []byte("{")}}, Next: coltsfootlink.Position{Offset: 1}}, 0, errors.New("")},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, verdicts := State{}.WithBatch(test.batch)
			So(state.Configuration.Revision, ShouldEqual, test.revision)
			last := verdicts[len(verdicts)-1]
			if strings.HasPrefix(name, "a snapshot where") {
				last = verdicts[len(verdicts)-1]
			}
			switch want := test.err.(type) {
			case nil:
				So(last.Err, ShouldBeNil)
			case *ConflictError:
				So(errors.As(last.Err, &want), ShouldBeTrue)
				So(want.Present, ShouldEqual, coltsfootlink.Revision(1))
			default:
				So(last.Err, ShouldNotBeNil)
			}
		})
	}
}

func TestZonesStayOutWhenADocumentIsApplied(t *testing.T) {
	Convey("a zone that is out of service stays out when a document is applied", t, func() {
		state, _ := State{}.WithBatch(log(0, apply("1", 0, 1), Record{ID: "z", Base: 1, Kind: Zone, Zone: "a", Out: true}, apply("3", 2, 2)))
		So(state.Configuration.Revision, ShouldEqual, coltsfootlink.Revision(3))
		So(state.Configuration.ZoneOut("a"), ShouldBeTrue)
	})
}

func TestWithPeer(t *testing.T) {
	cases := map[string]struct {
		reply    coltsfootlink.RevisionReply
		revision coltsfootlink.Revision
		newer    bool
		fails    bool
	}{
		"a newer revision":    {coltsfootlink.RevisionReply{Revision: 4, Position: coltsfootlink.Position{Offset: 9}, Document: document(2)}, 4, true, false},
		"the same revision":   {coltsfootlink.RevisionReply{Revision: 1, Document: document(2)}, 1, false, false},
		"an invalid document": {coltsfootlink.RevisionReply{Revision: 4, Document: "["}, 1, false, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state, _ := State{}.WithBatch(log(0, apply("1", 0, 1)))
			state, newer, err := state.WithPeer(test.reply)
			So(state.Configuration.Revision, ShouldEqual, test.revision)
			So(newer, ShouldEqual, test.newer)
			So(err != nil, ShouldEqual, test.fails)
		})
	}
	Convey("records already included in the peer's revision are not applied again", t, func() {
		state, _, _ := State{}.WithPeer(coltsfootlink.RevisionReply{Revision: 2, Position: coltsfootlink.Position{Offset: 1}, Document: document(2)})
		state, _ = state.WithBatch(log(0, apply("1", 0, 1), apply("2", 1, 2), apply("3", 2, 3)))
		So(state.Configuration.Revision, ShouldEqual, coltsfootlink.Revision(3))
	})
}

// TestInstancesConverge checks that two instances that read the same log in different batches end up with the same
// configuration, and that the revision never decreases.
func TestInstancesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for index := range rapid.IntRange(1, 12).Draw(t, "records") {
			base := coltsfootlink.Revision(rapid.IntRange(0, index).Draw(t, "base"))
			records = append(records, apply(fmt.Sprint(index), base, 1+index))
		}
		full := log(0, records...)
		left, _ := State{}.WithBatch(full)
		var right State
		for right.next.Before(full.Next) {
			before := right.Configuration.Revision
			upTo := rapid.Uint64Range(right.next.Offset+1, full.Next.Offset).Draw(t, "up to")
			right, _ = right.WithBatch(coltsfootlink.Batch{Records: full.Records[:upTo], Next: coltsfootlink.Position{Offset: upTo}})
			if right.Configuration.Revision < before {
				t.Fatalf("revision decreased from %d to %d", before, right.Configuration.Revision)
			}
		}
		if left.Configuration.Revision != right.Configuration.Revision || left.Configuration.Teams["x"] != right.Configuration.Teams["x"] {
			t.Fatalf("instances differ: %v and %v", left.Configuration, right.Configuration)
		}
	})
}

// TestMovesAfterARollback guards against a version that was rolled back and gets requests again beside the pool's next move, also
// after the configuration was read from a snapshot.
func TestMovesAfterARollback(t *testing.T) {
	cases := map[string]struct {
		outcome  coltsfootlink.MoveState
		to       coltsfootlink.Version
		rejected []coltsfootlink.Version
	}{
		"another version":          {coltsfootlink.MoveRolledBack, "v3", []coltsfootlink.Version{"v2"}},
		"the same version":         {coltsfootlink.MoveRolledBack, "v2", nil},
		"after a completed move":   {coltsfootlink.MoveDone, "v3", nil},
		"back to the one it was":   {coltsfootlink.MoveDone, "v1", nil},
		"back after the roll-back": {coltsfootlink.MoveRolledBack, "v0", []coltsfootlink.Version{"v2"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			configuration, err := settings.ParseFleet("fleet.toml", document(1), coltsfootlink.Configuration{})
			So(err, ShouldBeNil)
			configuration, err = startMove(configuration, Record{Pool: "p", From: "v1", To: "v2"})
			So(err, ShouldBeNil)
			configuration, err = endMove(configuration, Record{Pool: "p"}, test.outcome)
			So(err, ShouldBeNil)
			configuration, err = startMove(configuration, Record{Pool: "p", From: "v5", To: test.to})
			So(err, ShouldBeNil)
			snapshot, err := settings.FormatFleet(configuration)
			So(err, ShouldBeNil)
			configuration, err = settings.ParseFleet("snapshot.toml", snapshot, coltsfootlink.Configuration{})
			So(err, ShouldBeNil)
			So(configuration.Moves["p"].Rejected, ShouldResemble, test.rejected)
		})
	}
}
