package move

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

// TestLedgerUnderRandomOrders guards against an outcome that counts for another order, and against a version without a completed
// move that counts as one in service. Instances learn of random orders, outcomes and restores of the store, some of them late.
func TestLedgerUnderRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		ledger := Ledger{}
		order := coltsfootlink.Move{Pool: "p", To: "v1", Started: at(1, 1), State: coltsfootlink.MoveRunning}
		position, state := coltsfootlink.Position{Era: 1, Offset: 1}, coltsfootlink.MoveRunning
		catalog := coltsfootlink.Catalog{}.WithTarget(coltsfootlink.Target{Name: "t", Pool: "p", Version: "v0"})
		serving, rejected := coltsfootlink.Version("v0"), make(map[coltsfootlink.Version]bool)
		var earlier []coltsfootlink.MoveWord
		show := func() { ledger = ledger.WithCatalog(catalog.WithMove(order)) }
		show()
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			word, _ := ledger.Word(order)
			word = coltsfootlink.MoveWord{Move: word.Move.WithState(state, ""), Share: 0.1, Recorded: state.Final()}
			switch rapid.SampledFrom([]string{"order", "end", "restore", "late"}).Draw(t, "event") {
			case "order":
				earlier = append(earlier, word)
				if state != coltsfootlink.MoveDone && order.To != serving {
					rejected[order.To] = true
				}
				position = coltsfootlink.Position{Era: position.Era, Offset: position.Offset + rapid.Uint64Range(1, 5).Draw(t, "records")}
				to := rapid.SampledFrom([]coltsfootlink.Version{"v0", "v1", "v2", "v3"}).Draw(t, "version")
				order, state = coltsfootlink.Move{Pool: "p", To: to, Started: coltsfootlink.RevisionAt(position), State: coltsfootlink.MoveRunning}, coltsfootlink.MoveRunning
				delete(rejected, to)
				show()
			case "end":
				if state.Final() {
					continue
				}
				state = rapid.SampledFrom([]coltsfootlink.MoveState{coltsfootlink.MoveDone, coltsfootlink.MoveRolledBack}).Draw(t, "outcome")
				word.Move, word.Recorded = word.Move.WithState(state, ""), true
				ledger = ledger.WithWord(now, word)
				if state == coltsfootlink.MoveDone {
					serving = order.To
				}
			case "restore":
				position = coltsfootlink.Position{Era: position.Era + 1, Offset: rapid.Uint64Range(1, position.Offset+3).Draw(t, "offset")}
				order.Shown = coltsfootlink.RevisionAt(position)
				show()
			case "late":
				if len(earlier) > 0 {
					ledger = ledger.WithWord(now, rapid.SampledFrom(earlier).Draw(t, "word"))
				}
			}
			known, _ := ledger.Word(order)
			if known.Move.State != state {
				t.Fatalf("order %+v counts as %s, and is %s", order, known.Move.State, state)
			}
			for _, version := range []coltsfootlink.Version{"v0", "v1", "v2", "v3"} {
				if known.Move.Rejects(version) != rejected[version] {
					t.Fatalf("rejected are %v beside order %+v, expected %v", known.Move.Rejected, order, rejected)
				}
			}
		}
	})
}

// TestVersionsInServiceAtTheFirstOrder guards against an ordered version that counts as the one in service, because an instance that
// starts reads the order before the targets.
func TestVersionsInServiceAtTheFirstOrder(t *testing.T) {
	order := coltsfootlink.Move{Pool: "p", To: "v2", Started: at(1, 9), State: coltsfootlink.MoveRunning}
	with := func(versions ...coltsfootlink.Version) coltsfootlink.Catalog {
		catalog := coltsfootlink.Catalog{}.WithMove(order)
		for _, version := range versions {
			catalog = catalog.WithTarget(coltsfootlink.Target{Name: coltsfootlink.TargetName(version), Pool: "p", Version: version})
		}
		return catalog
	}
	cases := map[string]struct {
		catalogs []coltsfootlink.Catalog
		serving  []coltsfootlink.Version
	}{
		"no targets yet":                     {[]coltsfootlink.Catalog{with()}, nil},
		"targets of both after the order":    {[]coltsfootlink.Catalog{with(), with("v1", "v2")}, []coltsfootlink.Version{"v1"}},
		"the new targets come after it":      {[]coltsfootlink.Catalog{with("v1"), with("v1", "v2")}, []coltsfootlink.Version{"v1"}},
		"two versions":                       {[]coltsfootlink.Catalog{with("v3", "v1")}, []coltsfootlink.Version{"v1", "v3"}},
		"an order to the version in service": {[]coltsfootlink.Catalog{with("v2")}, []coltsfootlink.Version{"v2"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			var ledger Ledger
			for _, catalog := range test.catalogs {
				ledger = ledger.WithCatalog(catalog)
			}
			known, _ := ledger.Word(order)
			So(known.Move.Serving, ShouldResemble, test.serving)
		})
	}
}
