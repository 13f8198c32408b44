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
	// in time, and in how many it ends.
	stopFrame frameKind = 's'
)

// frameBytes is the size of a frame's header: its kind and two unsigned 16-bit numbers.
const frameBytes = 5

// frame is the header of a frame.
type frame struct {
	kind          frameKind
	first, second uint16
}

// newDataFrame returns the header of data of the given size that is forwarded with a delay.
func newDataFrame(size int, delay time.Duration) frame {
	return frame{kind: dataFrame, first: uint16(size), second: clampMillis(delay)}
}

// newStopFrame returns the frame that announces now that the forwarding instance shuts down.
func newStopFrame(now time.Time, stopping coltsfootlink.Stopping) frame {
	return frame{kind: stopFrame, first: clampMillis(stopping.RefusesAt.Sub(now)), second: clampMillis(stopping.EndsAt.Sub(now))}
}

// stopping returns when the forwarding instance ends, as announced by a stop frame that arrived now.
func (frame frame) stopping(now time.Time) coltsfootlink.Stopping {
	return coltsfootlink.Stopping{RefusesAt: now.Add(millis(frame.first)), EndsAt: now.Add(millis(frame.second))}
}

// put encodes the header.
func (frame frame) put(header []byte) {
	header[0] = byte(frame.kind)
	binary.BigEndian.PutUint16(header[1:], frame.first)
	binary.BigEndian.PutUint16(header[3:], frame.second)
}

// decodeFrame decodes a header.
func decodeFrame(header []byte) frame {
	return frame{kind: frameKind(header[0]), first: binary.BigEndian.Uint16(header[1:]), second: binary.BigEndian.Uint16(header[3:])}
}

// clampMillis returns a duration in milliseconds, clamped to the range of an unsigned 16-bit number.
func clampMillis(duration time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, duration.Milliseconds())))
}

func millis(count uint16) time.Duration { return time.Duration(count) * time.Millisecond }
