package timeline

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// Ring is an immutable ring buffer with the newest events of an instance.
type Ring struct {
	size   int
	events *immutable.List[coltsfootlink.Event]
}

// NewRing returns an empty ring with a capacity of size events.
func NewRing(size int) Ring {
	return Ring{size: size, events: immutable.NewList[coltsfootlink.Event]()}
}

// WithEvent returns the ring with one more event, and without the oldest one if it was full.
func (ring Ring) WithEvent(event coltsfootlink.Event) Ring {
	ring.events = ring.events.Append(event)
	if ring.events.Len() > ring.size {
		ring.events = ring.events.Slice(1, ring.events.Len())
	}
	return ring
}

// Since returns the events at or after a time, oldest first.
func (ring Ring) Since(since time.Time) []coltsfootlink.Event {
	var events []coltsfootlink.Event
	for iterator := ring.events.Iterator(); !iterator.Done(); {
		_, event := iterator.Next()
		if !event.Stamp.Time().Before(since) {
			events = append(events, event)
		}
	}
	return events
}
