package timeline

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

// still is a clock that stands still.
type still struct{ at time.Time }

// Now returns always the same time.
func (clock still) Now() time.Time { return clock.at }

var start = time.UnixMilli(1_700_000_000_000)

func TestStampsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hybrid := &Hybrid{Clock: still{at: start}}
		last := coltsfootlink.Stamp(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "witness") {
				seen := coltsfootlink.StampAt(start.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "millis")) * time.Millisecond))
				hybrid.Witness(seen)
				last = max(last, seen)
				if hybrid.Latest() != last {
					t.Fatalf("%d is the latest, not %d", last, hybrid.Latest())
				}
				continue
			}
			next := hybrid.Next()
			if next <= last {
				t.Fatalf("%d after %d", next, last)
			}
			last = next
			if hybrid.Latest() != last {
				t.Fatalf("%d is the latest, not %d", last, hybrid.Latest())
			}
		}
	})
}

func TestRing(t *testing.T) {
	event := func(after time.Duration) coltsfootlink.Event {
		return coltsfootlink.Event{Stamp: coltsfootlink.StampAt(start.Add(after)), Text: after.String()}
	}
	cases := map[string]struct {
		size  int
		since time.Duration
		texts []string
	}{
		"all":             {3, 0, []string{"1s", "2s", "3s"}},
		"a full ring":     {2, 0, []string{"2s", "3s"}},
		"since some time": {3, 2 * time.Second, []string{"2s", "3s"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ring := NewRing(test.size).WithEvent(event(time.Second)).WithEvent(event(2 * time.Second)).WithEvent(event(3 * time.Second))
			var texts []string
			for _, held := range ring.Since(start.Add(test.since)) {
				texts = append(texts, held.Text)
			}
			So(texts, ShouldResemble, test.texts)
		})
	}
}
