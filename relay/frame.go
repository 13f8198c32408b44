package relay

import (
	"encoding/binary"
	"math"
	"time"

	"coltsfootlink"
)

// frameKind is the first byte of a frame.
type frameKind byte

// The kinds of frames. An instance sends them on the connections that it forwards; what the other instance sends back is not
// framed.
const (
	// dataFrame precedes bytes that the caller has sent: their number, and how many milliseconds later than sent they are
	// forwarded.
	dataFrame frameKind = 'd'
	// stopFrame announces that the forwarding instance shuts down: in how many milliseconds it begins to refuse what may not end
	// in time, in how many it ends, and by its time of day when it sent the frame.
	stopFrame frameKind = 's'
)

// frameBytes is the size of a frame's header: its kind and three unsigned 16-bit numbers.
const frameBytes = 7

// frame is the header of a frame.
type frame struct {
	kind                 frameKind
	first, second, third uint16
}

// newDataFrame returns the header of data of the given size that is forwarded with a delay.
func newDataFrame(size int, delay time.Duration) frame {
	return frame{kind: dataFrame, first: uint16(size), second: clampMillis(delay)}
}

// newStopFrame returns the frame that announces now that the forwarding instance shuts down.
func newStopFrame(now time.Time, stopping coltsfootlink.Stopping) frame {
	return frame{
		kind:   stopFrame,
		first:  clampMillis(stopping.RefusesAt.Sub(now)),
		second: clampMillis(stopping.EndsAt.Sub(now)),
		third:  uint16(now.UnixMilli()),
	}
}

// stopping returns when the forwarding instance ends, as announced by a stop frame that is read now.
func (frame frame) stopping(now time.Time) coltsfootlink.Stopping {
	sentAt := now.Add(-frame.age(now))
	return coltsfootlink.Stopping{RefusesAt: sentAt.Add(millis(frame.first)), EndsAt: sentAt.Add(millis(frame.second))}
}

// age returns how long ago a stop frame was sent; a receiver that was suspended or short of CPU reads it late. If the receiver's
// time of day is behind, the age is too short, at least zero; if it is ahead, the end is taken for too early, and requests are
// refused that could be served.
func (frame frame) age(now time.Time) time.Duration {
	// The difference of the low 16 bits as a signed number is right up to 32 s in both directions.
	elapsed := int16(uint16(now.UnixMilli()) - frame.third)
	return max(0, time.Duration(elapsed)*time.Millisecond)
}

// put encodes the header.
func (frame frame) put(header []byte) {
	header[0] = byte(frame.kind)
	binary.BigEndian.PutUint16(header[1:], frame.first)
	binary.BigEndian.PutUint16(header[3:], frame.second)
	binary.BigEndian.PutUint16(header[5:], frame.third)
}

// decodeFrame decodes a header.
func decodeFrame(header []byte) frame {
	return frame{
		kind:   frameKind(header[0]),
		first:  binary.BigEndian.Uint16(header[1:]),
		second: binary.BigEndian.Uint16(header[3:]),
		third:  binary.BigEndian.Uint16(header[5:]),
	}
}

// clampMillis returns a duration in milliseconds, clamped to the range of an unsigned 16-bit number.
func clampMillis(duration time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, duration.Milliseconds())))
}

func millis(count uint16) time.Duration { return time.Duration(count) * time.Millisecond }
