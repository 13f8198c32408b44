package memory

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	const bytes = 100
	cases := map[string]struct {
		held, wanted int64
		// released indicates that the bytes that are held are given back while others wait for theirs.
		released bool
		waits    bool
		found    bool
	}{
		"all of it":         {0, bytes, false, false, true},
		"what is left":      {60, 40, false, false, true},
		"more than is left": {60, 41, false, true, false},
		"more than is left, until it is released": {60, 41, true, true, true},
		"more than there is":                      {0, bytes + 1, false, false, false},
	}
	for name, test := range cases {
		Convey("a reservation of "+name, t, func() {
			budget := NewBudget(bytes)
			held, found := budget.TryReserve(test.held)
			So(found, ShouldBeTrue)
			tried, found := budget.TryReserve(test.wanted)
			So(found, ShouldEqual, test.found && !test.waits)
			tried.Release()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if test.released {
				time.AfterFunc(5*time.Millisecond, held.Release)
			}
			reserved, found := budget.Reserve(ctx, test.wanted)
			So(found, ShouldEqual, test.found)
			So(ctx.Err() != nil, ShouldEqual, test.waits && !test.found)
			reserved.Release()
			if !test.released {
				held.Release()
			}
			_, found = budget.TryReserve(bytes)
			So(found, ShouldBeTrue)
		})
	}
}
