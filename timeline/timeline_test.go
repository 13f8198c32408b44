package timeline

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"coltsfootlink"
)

// fixedClock is a clock that always returns the same time.
type fixedClock struct{ at time.Time }

func (clock fixedClock) Now() time.Time { return clock.at }

var start = time.UnixMilli(1_700_000_000_000)

func TestStampsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hybrid := &HybridClock{Clock: fixedClock{at: start}}
		last := coltsfootlink.Stamp(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "witness") {
				seen := coltsfootlink.StampAt(start.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "millis")) * time.Millisecond))
				hybrid.Witness(seen)
				last = max(last, seen)
				if hybrid.Latest() != last {
					t.Fatalf("Latest returned another stamp: want %d, got %d", last, hybrid.Latest())
				}
				continue
			}
			next := hybrid.Next()
			if next <= last {
				t.Fatalf("stamps must increase: got %d after %d", next, last)
			}
			last = next
			if hybrid.Latest() != last {
				t.Fatalf("Latest returned another stamp: want %d, got %d", last, hybrid.Latest())
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
		"not full":                         {3, 0, []string{"1s", "2s", "3s"}},
		"full, the oldest is dropped":      {2, 0, []string{"2s", "3s"}},
		"events before since are left out": {3, 2 * time.Second, []string{"2s", "3s"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			ring := NewRing(test.size).WithEvent(event(time.Second)).WithEvent(event(2 * time.Second)).WithEvent(event(3 * time.Second))
			var texts []string
			for _, event := range ring.Since(start.Add(test.since)) {
				texts = append(texts, event.Text)
			}
			So(texts, ShouldResemble, test.texts)
		})
	}
}
