package ingress

import (
	"io"
	"strconv"
	"strings"
	"time"

	"coltsfootlink"
	"coltsfootlink/dispatch"
)

// freeAnswerBytes is how much of an answer is read as fast as it comes. What lies beyond shares the pace of all long answers,
// so that targets that send without end leave the processor to other requests; it is not searched for events either.
const freeAnswerBytes = 1 << 20

// How far an answer had come when it broke off.
const (
	beforeHead  = "before-head"
	withinHead  = "within-head"
	afterHead   = "after-head"
	withinEvent = "within-first-event"
	afterEvents = "after-events"
)

// answerProgress is how far the answer of a target has come. It reads the body of the answer and counts events.
type answerProgress struct {
	io.ReadCloser

	// pace waits until a number of bytes beyond freeAnswerBytes may be passed on; an error ends the answer.
	pace func(bytes int) error
	// answered is called once the target has answered minEvents events, or a whole answer with a length or chunks.
	answered func()
	// begun indicates that a part of the head of the answer was received, and headAt when all of it was; zero before.
	begun  bool
	headAt time.Time
	// received indicates that the target had received the whole request when it broke the connection before an answer.
	received bool
	// bytes is the number of bytes read of the body, and events the number of complete events among them.
	bytes  int64
	events int
	// framed indicates that the end of the answer is marked by a length or chunks.
	framed bool
	// lineBegun and eventBegun indicate that the newest line and the newest event are not empty.
	lineBegun, eventBegun bool
}

// Read reads from the body and counts the events in it.
func (progress *answerProgress) Read(buffer []byte) (int, error) {
	count, err := progress.ReadCloser.Read(buffer)
	progress.bytes += int64(count)
	free := count
	if beyond := int(min(int64(count), progress.bytes-freeAnswerBytes)); beyond > 0 {
		if failure := progress.pace(beyond); failure != nil {
			return count, failure
		}
		free -= beyond
	}
	for _, char := range buffer[:free] {
		progress.count(char)
	}
	if progress.answered != nil && (progress.events >= minEvents || err == io.EOF && progress.framed) {
		progress.answered()
		progress.answered = nil
	}
	return count, err
}

// count takes the next byte of the body. A blank line ends an event.
func (progress *answerProgress) count(char byte) {
	switch {
	case char == '\r':
	case char != '\n':
		progress.lineBegun, progress.eventBegun = true, true
	case progress.lineBegun:
		progress.lineBegun = false
	case progress.eventBegun:
		progress.eventBegun = false
		progress.events++
	}
}

// stage returns how far the answer has come.
func (progress *answerProgress) stage() string {
	switch {
	case !progress.begun:
		return beforeHead
	case progress.headAt.IsZero():
		return withinHead
	case progress.events > 0:
		return afterEvents
	case progress.bytes > 0:
		return withinEvent
	default:
		return afterHead
	}
}

// logBreak logs that the connection to a target broke before the answer was complete, with what tells a request that
// crashed the target from those that were there beside it.
func (current *exchange) logBreak(choice dispatch.Choice, progress *answerProgress, sentAt time.Time) {
	now := current.service.Clock.Now()
	line := current.service.Log.Warn().Str("request", string(current.head.ID)).Str("rule", current.rule.Name).
		Str("team", string(current.team)).Str("target", string(choice.Target.Name)).Uint64("incarnation", choice.Target.Incarnation).
		Int("attempt", current.attempts).Str("fingerprint", strconv.FormatUint(current.fingerprint, 16)).Str("parts", partList(current.head.Work)).
		Str("stage", progress.stage()).Int("events", progress.events).Bool("framed", progress.framed).Int64("ms", now.Sub(sentAt).Milliseconds())
	if !progress.headAt.IsZero() {
		line = line.Int64("since-head-ms", now.Sub(progress.headAt).Milliseconds())
	}
	line.Msg("ingress: connection to target broke during a request")
}

// partList returns the identities of the parts of a prompt that other requests may share, in hexadecimal and separated by spaces.
func partList(work coltsfootlink.Work) string {
	names := make([]string, 0, len(work.SharedParts))
	for _, part := range work.SharedParts {
		names = append(names, part.String())
	}
	return strings.Join(names, " ")
}
