package membership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
)

// member is what is known of one instance.
type member struct {
	// beat is the newest word on the instance; one that was never heard of counts as silent.
	beat coltsfootlink.HeartbeatEntry
	// listed says that the instance list names the instance, and seed that the settings do.
	listed, seed bool
	// silentSince is when the instance was last taken for silent.
	silentSince time.Time
	// trustedUntil is how long the instance's own last heartbeat goes before others' words that it is silent.
	trustedUntil time.Time
	// answerBy is when the instance has to have answered a question; zero if none is open.
	answerBy time.Time
	// indirect says that others were asked to find out whether the instance answers.
	indirect bool
}

// live says that the instance answers, as far as is known.
func (member member) live() bool { return !member.beat.Unresponsive }

// trusted says whether the instance itself was heard of so lately that a word of its silence must be mistaken.
func (member member) trusted(now time.Time, word coltsfootlink.HeartbeatEntry) bool {
	sameLife := word.Instance.Incarnation == member.beat.Instance.Incarnation
	return member.live() && sameLife && word.Unresponsive && now.Before(member.trustedUntil)
}

// withoutProbe returns the member with no question open.
func (member member) withoutProbe() member {
	member.answerBy = time.Time{}
	member.indirect = false
	return member
}

// signature is the same for members of which the same is known; zero for those that do not answer, for they are
// forgotten at different times.
func (member member) signature() uint64 {
	if !member.live() {
		return 0
	}
	return signature(member.beat)
}

func signature(beat coltsfootlink.HeartbeatEntry) uint64 {
	return xxhash.Sum64String(string(beat.Instance.Name) + " " + strconv.FormatUint(beat.Instance.Incarnation, 10) + " " +
		strconv.FormatUint(beat.Sequence, 10) + " " + strconv.FormatBool(beat.Instance.Leaving))
}

// newer says whether a word on an instance goes before another one.
func newer(word, than coltsfootlink.HeartbeatEntry) bool {
	switch {
	case word.Instance.Incarnation != than.Instance.Incarnation:
		return word.Instance.Incarnation > than.Instance.Incarnation
	case word.Sequence != than.Sequence:
		return word.Sequence > than.Sequence
	default:
		return word.Unresponsive && !than.Unresponsive
	}
}
