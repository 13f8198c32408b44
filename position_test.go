package coltsfootlink_test

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

// TestPositionOrder guards against a record of an era before a restore that counts as newer than one read after it.
func TestPositionOrder(t *testing.T) {
	at := func(era, offset uint64) coltsfootlink.Position {
		return coltsfootlink.Position{Era: era, Offset: offset}
	}
	cases := map[string]struct {
		left, right coltsfootlink.Position
		compared    int
	}{
		"zero values":                     {at(0, 0), at(0, 0), 0},
		"offsets of one era":              {at(3, 4), at(3, 5), -1},
		"same offset of two eras":         {at(3, 4), at(2, 4), 1},
		"a lower offset of a later era":   {at(3, 4), at(2, 900), 1},
		"next of the same era":            {at(3, 4).Next(), at(3, 5), 0},
		"several further":                 {at(3, 4).Plus(3), at(3, 7), 0},
		"before an offset":                {at(3, 4).Previous(), at(3, 3), 0},
		"before an era":                   {at(3, 0).Previous(), at(2, math.MaxUint64), 0},
		"before the zero value":           {at(0, 0).Previous(), at(0, 0), 0},
		"before an era, after the last":   {at(3, 0).Previous(), at(2, 900), 1},
		"before an era, before the first": {at(3, 0).Previous(), at(3, 0), -1},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			So(test.left.Compare(test.right), ShouldEqual, test.compared)
			So(test.right.Compare(test.left), ShouldEqual, -test.compared)
			So(test.left.Before(test.right), ShouldEqual, test.compared < 0)
		})
	}
}

// TestPositionOrderIsTotal guards against an order that depends on the sequence in which positions are compared.
func TestPositionOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) coltsfootlink.Position {
			return coltsfootlink.Position{Era: rapid.Uint64Range(0, 2).Draw(t, name+" era"), Offset: rapid.Uint64Range(0, 3).Draw(t, name+" offset")}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if (a.Compare(b) == 0) != (a == b) {
			t.Fatalf("%v and %v are equal in the order only", a, b)
		}
		if a.Before(b) && b.Before(c) && !a.Before(c) {
			t.Fatalf("%v, %v and %v are not ordered", a, b, c)
		}
	})
}
