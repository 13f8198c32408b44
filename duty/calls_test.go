package duty

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var start = time.Unix(1_000_000, 0)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// TestCalls guards against calls that are lost, made twice at a time, or held up by others that fail.
func TestCalls(t *testing.T) {
	window := func(index uint64) coltsfootlink.UsageWindow { return coltsfootlink.UsageWindow{Index: index} }
	first, second, order := Subject{Window: 1}, Subject{Window: 2}, Subject{Pool: "p", Zone: "a"}
	cases := map[string]struct {
		calls Calls
		at    int
		// due is the subject that is due at the time, and count its number of targets; found is false if none is.
		due   Subject
		count int
		found bool
	}{
		"nothing":                    {Calls{}, 0, Subject{}, 0, false},
		"a window":                   {Calls{}.WithWindow(after(0), window(1)), 0, first, 0, true},
		"in progress":                {Calls{}.WithWindow(after(0), window(1)).WithBegun(first), 0, Subject{}, 0, false},
		"confirmed":                  {Calls{}.WithWindow(after(0), window(1)).WithBegun(first).WithConfirmed(first), 9999, Subject{}, 0, false},
		"confirmed and known again":  {Calls{}.WithWindow(after(0), window(1)).WithBegun(first).WithConfirmed(first).WithWindow(after(1), window(1)), 9999, Subject{}, 0, false},
		"failed, before its repeat":  {Calls{}.WithWindow(after(0), window(1)).WithBegun(first).WithFailure(after(0), first, 0), 199, Subject{}, 0, false},
		"failed, at its repeat":      {Calls{}.WithWindow(after(0), window(1)).WithBegun(first).WithFailure(after(0), first, 0), 200, first, 0, true},
		"the delay doubles":          {Calls{}.WithWindow(after(0), window(1)).WithFailure(after(0), first, 0).WithFailure(after(200), first, 0), 599, Subject{}, 0, false},
		"another one does not wait":  {Calls{}.WithWindow(after(0), window(1)).WithWindow(after(0), window(2)).WithBegun(first).WithFailure(after(0), first, 0), 0, second, 0, true},
		"an order":                   {Calls{}.WithOrder(after(0), "p", "a", 6), 0, order, 6, true},
		"the newest order counts":    {Calls{}.WithOrder(after(0), "p", "a", 6).WithOrder(after(0), "p", "a", 7), 0, order, 7, true},
		"replaced while in progress": {Calls{}.WithOrder(after(0), "p", "a", 6).WithBegun(order).WithOrder(after(0), "p", "a", 7), 0, Subject{}, 0, false},
		"replaced, then confirmed":   {Calls{}.WithOrder(after(0), "p", "a", 6).WithBegun(order).WithOrder(after(0), "p", "a", 7).WithConfirmed(order), 0, order, 7, true},
		"the same order again":       {Calls{}.WithOrder(after(0), "p", "a", 6).WithBegun(order).WithConfirmed(order).WithOrder(after(9), "p", "a", 6), 9, order, 6, true},
		"dropped once on record":     {Calls{}.WithWindow(after(0), window(1)).WithWindow(after(0), window(2)).WithoutBefore(2), 0, second, 0, true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			call, found := test.calls.Due(after(test.at))
			So(found, ShouldEqual, test.found)
			So(call.Subject, ShouldResemble, test.due)
			So(call.Count, ShouldEqual, test.count)
		})
	}
	Convey("the longest delay is two seconds and a quarter", t, func() {
		calls := Calls{}.WithWindow(after(0), window(1))
		for range 10 {
			calls = calls.WithFailure(after(0), first, 1)
		}
		_, found := calls.Due(after(2499))
		So(found, ShouldBeFalse)
		_, found = calls.Due(after(2500))
		So(found, ShouldBeTrue)
	})
	Convey("the first unconfirmed window is told for the record", t, func() {
		calls := Calls{}.WithWindow(after(0), window(1)).WithWindow(after(0), window(2)).WithWindow(after(0), window(3))
		So(calls.WithConfirmed(first).FirstUnconfirmed(4), ShouldEqual, 2)
		So(calls.WithConfirmed(second).FirstUnconfirmed(4), ShouldEqual, 1)
		So(Calls{}.WithOrder(after(0), "p", "a", 6).FirstUnconfirmed(4), ShouldEqual, 4)
	})
}
