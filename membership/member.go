package membership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

// member is what is known about one other instance.
type member struct {
	// entry is the newest entry on the instance; an instance that was never seen is unresponsive.
	entry coltsfootlink.HeartbeatEntry
	// listed indicates that the instance is on the instance list, and seed that the settings name it.
	listed, seed bool
	// unresponsiveSince is when the instance was last found or reported unresponsive.
	unresponsiveSince time.Time
	// confirmedUntil is until when the instance's own last heartbeat overrules entries from others that call it
	// unresponsive.
	confirmedUntil time.Time
	// replyDeadline is when the reply to the outstanding probe is due; zero if none is outstanding.
	replyDeadline time.Time
	// indirect indicates that other instances were asked to probe the instance.
	indirect bool
}

// live reports whether the instance is live according to the newest entry.
func (member member) live() bool { return !member.entry.Unresponsive }

// confirmedLive reports whether the instance's own last heartbeat is so recent that an entry calling it unresponsive must
// be wrong.
func (member member) confirmedLive(now time.Time, entry coltsfootlink.HeartbeatEntry) bool {
	sameIncarnation := entry.Instance.Incarnation == member.entry.Instance.Incarnation
	return member.live() && sameIncarnation && entry.Unresponsive && now.Before(member.confirmedUntil)
}

// withoutProbe returns the member without an outstanding probe.
func (member member) withoutProbe() member {
	member.replyDeadline = time.Time{}
	member.indirect = false
	return member
}

// signature is equal for equal entries. It is zero for unresponsive members, since instances forget these at different
// times.
func (member member) signature() uint64 {
	if !member.live() {
		return 0
	}
	return signature(member.entry)
}

func signature(entry coltsfootlink.HeartbeatEntry) uint64 {
	return xxhash.Sum64String(string(entry.Instance.Name) + " " + strconv.FormatUint(entry.Instance.Incarnation, 10) + " " +
		strconv.FormatUint(entry.Sequence, 10) + " " + strconv.FormatBool(entry.Instance.Leaving))
}

// newer reports whether an entry on an instance supersedes the known one.
func newer(entry, known coltsfootlink.HeartbeatEntry) bool {
	switch {
	case entry.Instance.Incarnation != known.Instance.Incarnation:
		return entry.Instance.Incarnation > known.Instance.Incarnation
	case entry.Sequence != known.Sequence:
		return entry.Sequence > known.Sequence
	default:
		return entry.Unresponsive && !known.Unresponsive
	}
}
