package coltsfootlink

import "time"

const (
	// stampLogicalBits is the number of bits of a stamp that count events within a microsecond.
	stampLogicalBits = 12
)

// Stamp is a hybrid logical time: microseconds since 1970 and a count of events within one of them.
type Stamp uint64

// StampAt returns the first stamp of a moment.
func StampAt(at time.Time) Stamp { return Stamp(at.UnixMicro()) << stampLogicalBits }

// Time returns the moment of the stamp.
func (stamp Stamp) Time() time.Time { return time.UnixMicro(int64(stamp >> stampLogicalBits)) }

// Stamper makes stamps that order events over all instances.
type Stamper interface {
	// Next returns a stamp later than all that were made or witnessed.
	Next() Stamp
	// Latest returns the latest stamp that was made or witnessed; zero if there is none.
	Latest() Stamp
	// Witness notes a stamp of another instance.
	Witness(stamp Stamp)
}

// Event is one decision or observation on the time line.
type Event struct {
	Stamp Stamp
	// Part names the part of the system that noted the event.
	Part string
	// Text says what was decided and why.
	Text string
}

// Recorder notes events; it never blocks.
type Recorder interface {
	Record(part, text string)
}
