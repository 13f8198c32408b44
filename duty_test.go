package coltsfootlink_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// TestFencingToken guards against tokens that fall across a restore of the store, that differ in builds without eras, or that are
// too large for a JSON number.
func TestFencingToken(t *testing.T) {
	cases := map[string]struct {
		acquired coltsfootlink.Position
		token    uint64
	}{
		"store without eras":                              {coltsfootlink.Position{Offset: 11}, 12},
		"a restore of a store whose eras begin with zero": {coltsfootlink.Position{Era: 1}, 1<<36 + 1},
		"a restore of a store whose eras begin with one":  {coltsfootlink.Position{Era: 2}, 2<<36 + 1},
		"after many restores":                             {coltsfootlink.Position{Era: 1<<16 - 1, Offset: 1<<36 - 1}, 1 << 52},
		"last one that JSON can hold":                     {coltsfootlink.Position{Era: 1<<17 - 1, Offset: 1<<36 - 1}, 1 << 53},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(coltsfootlink.FencingToken(test.acquired), ShouldEqual, test.token) })
	}
}
