package coltsfootlink

import "time"

const (
	// stampLogicalBits is the number of low bits of a stamp that count events within one microsecond.
	stampLogicalBits = 12
)

// Stamp is a hybrid logical clock value: microseconds since 1970 and a counter of events within one microsecond.
type Stamp uint64

// StampAt returns the smallest stamp of a point in time.
func StampAt(at time.Time) Stamp { return Stamp(at.UnixMicro()) << stampLogicalBits }

// Time returns the physical time of the stamp.
func (stamp Stamp) Time() time.Time { return time.UnixMicro(int64(stamp >> stampLogicalBits)) }

// Stamper is a hybrid logical clock; its stamps order events across all instances.
type Stamper interface {
	// Next returns a stamp greater than all stamps issued or witnessed so far.
	Next() Stamp
	// Latest returns the greatest stamp issued or witnessed so far; zero if there is none.
	Latest() Stamp
	// Witness advances the clock past a stamp received from another instance.
	Witness(stamp Stamp)
}

// Event is one decision or observation on the timeline.
type Event struct {
	Stamp Stamp
	// Part names the component that recorded the event.
	Part string
	// Text describes what was decided or observed, and why.
	Text string
}

// Recorder adds events to the timeline; it never blocks.
type Recorder interface {
	Record(part, text string)
}
