package duty

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// copied returns what is recorded now, as a copy from which the store can be restored.
func (site *site) copied() coltsfootlink.DutyRecords {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	records := site.records
	records.Windows = maps.Clone(records.Windows)
	return records
}

// restore puts an earlier copy of the store in place, in the next era.
func (site *site) restore(records coltsfootlink.DutyRecords) {
	site.set(func() {
		records.End.Era = site.records.End.Era + 1
		site.records = records
	})
}

// TestUsageReportsAcrossARestore guards against windows that are sent with two counts, and against falling or shared tokens,
// after the store has lost its latest records.
func TestUsageReportsAcrossARestore(t *testing.T) {
	cases := map[string]struct {
		// before, between and after are played before the copy, between it and the restore, and after that.
		before, between, after func(site *site)
	}{
		"a reported window is lost": {
			func(site *site) { site.play(20 * time.Second) },
			func(site *site) { site.play(7 * time.Second) },
			func(*site) {},
		},
		"a reported window is lost, and its holder with it": {
			func(site *site) { site.play(20 * time.Second) },
			func(site *site) { site.play(7 * time.Second) },
			func(site *site) { site.stop(site.holderName()) },
		},
		"the acquisition of the holder is lost": {
			func(site *site) { site.play(20 * time.Second) },
			func(site *site) {
				site.stop(site.holderName())
				site.play(9 * time.Second)
			},
			func(*site) {},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite()
				site.start("a", "b", "c")
				time.Sleep(5 * time.Second)
				test.before(site)
				records := site.copied()
				test.between(site)
				site.restore(records)
				test.after(site)
				site.play(40 * time.Second)
				site.stopAll()
				Convey(name, t, func() { So(site.violations, ShouldBeEmpty) })
			})
		})
	}
}
