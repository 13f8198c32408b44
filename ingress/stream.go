package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/platform"
	"coltsfootlink/upstream"
)

const (
	// streamBytes is the size of the buffer of a stream.
	streamBytes = 4 << 10
	// maxEventBytes is the largest event of a stream that can be resumed.
	maxEventBytes = 1 << 20
	// blankBytes is the size of two ends of lines, of which the second makes a blank line.
	blankBytes = len("\r\n\r\n")
)

// readers are the buffers from which streams are read, pieces those in which they are passed on.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBytes) }}
	pieces  = sync.Pool{New: func() any { return new([streamBytes]byte) }}
)

// lineEnds makes the ends of lines alike.
var lineEnds = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// errCaller tells that the caller no longer takes the answer.
var errCaller = errors.New("caller")

// passStream passes the events of a stream on as they come.
func (current *exchange) passStream(choice dispatch.Choice, answer upstream.Answer, sentAt time.Time) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset(answer.Body)
	defer reader.Reset(nil)
	if _, err := reader.Peek(1); err != nil && err != io.EOF {
		return current.broken(err)
	}
	current.report(choice, coltsfootlink.FirstEvent, "", sentAt)
	var err error
	if current.rule.Resumable {
		err = current.copyEvents(answer, reader)
	} else {
		current.begin(answer)
		err = copyBytes(current.writer, wholeEvents(answer, reader), maxAnswerBytes)
	}
	if err != nil {
		if current.started {
			// What came whole is delivered; an error means that the caller has left.
			_ = flush(current.writer)
		}
		return current.broken(err)
	}
	// A whole stream without events has not begun yet.
	current.begin(answer)
	current.note("answered", answer.Response.StatusCode, "")
	return nil, coltsfootlink.Succeeded
}

// wholeEvents returns the reader of an answer; if that is of events, its end in the middle of one is an error.
func wholeEvents(answer upstream.Answer, reader io.Reader) io.Reader {
	if answer.Head.MediaType != platform.EventStream {
		return reader
	}
	return &eventReader{Reader: reader, tail: []byte("\n\n")}
}

// eventReader reads a stream of events; io.EOF only behind a whole one.
type eventReader struct {
	io.Reader
	// tail is the newest bytes, as many as a blank line and the end of the line before it may take.
	tail []byte
}

// Read returns the next bytes.
func (events *eventReader) Read(buffer []byte) (int, error) {
	count, err := events.Reader.Read(buffer)
	events.tail = append(events.tail, buffer[:count]...)
	events.tail = append(events.tail[:0], events.tail[max(0, len(events.tail)-blankBytes):]...)
	if err == io.EOF && !strings.HasSuffix(lineEnds.Replace(string(events.tail)), "\n\n") {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// begin passes the head of an answer on if none has been.
func (current *exchange) begin(answer upstream.Answer) {
	if current.started {
		return
	}
	current.start(answer)
	current.writer.WriteHeader(answer.Response.StatusCode)
}

// copyBytes passes at most that many bytes on as they come; an error if the answer has not ended whole.
func copyBytes(writer http.ResponseWriter, reader io.Reader, most int64) error {
	buffer := pieces.Get().(*[streamBytes]byte)
	defer pieces.Put(buffer)
	for {
		count, err := reader.Read(buffer[:])
		most -= int64(count)
		if most < 0 {
			return errAnswerTooLong
		}
		if count > 0 {
			if err := pass(writer, buffer[:count]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// copyEvents passes whole events on as they come and notes the last one, so that the stream can go on at
// another target behind it; an error if the stream has not ended whole.
func (current *exchange) copyEvents(answer upstream.Answer, reader *bufio.Reader) error {
	var event []byte
	// lineAt is where the newest line begins in the event.
	lineAt := 0
	most := maxAnswerBytes
	for {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		most -= len(part)
		switch {
		case len(event) > maxEventBytes, most < 0:
			return errAnswerTooLong
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			current.unfinished = current.unfinished || len(event) > 0
			return current.endOfEvents(err)
		}
		if len(bytes.TrimRight(event[lineAt:], "\r\n")) > 0 {
			lineAt = len(event)
			continue
		}
		if err := current.passEvent(answer, event); err != nil {
			return err
		}
		event, lineAt = event[:0], 0
		if holdsEvent(reader) {
			continue
		}
		if err := flush(current.writer); err != nil {
			return err
		}
	}
}

// endOfEvents says what the end of a resumable stream means; nil if it is whole.
func (current *exchange) endOfEvents(err error) error {
	switch {
	case err != io.EOF:
		return err
	case current.unfinished:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// passEvent passes an event on if it goes on behind the last one; the answer begins with the first.
func (current *exchange) passEvent(answer upstream.Answer, event []byte) error {
	id, found := platform.EventID(event)
	if found && !follows(current.lastEvent, id) {
		return errors.Newf("event %s came after event %s", id, current.lastEvent)
	}
	current.begin(answer)
	if _, err := current.writer.Write(event); err != nil {
		return errors.Mark(err, errCaller)
	}
	if found {
		current.lastEvent = id
		current.unfinished = false
	}
	return nil
}

// follows says whether an event may come behind the last one: where identifiers are numbers, they increase.
func follows(last, next string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	nextNumber, nextErr := strconv.ParseUint(next, 10, 64)
	return lastErr != nil || nextErr != nil || lastNumber < nextNumber
}

// holdsEvent says whether another whole event has come; events that came together go on together.
func holdsEvent(reader *bufio.Reader) bool {
	// What is buffered can always be looked at.
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// pass writes bytes to a caller at once.
func pass(writer http.ResponseWriter, fresh []byte) error {
	if _, err := writer.Write(fresh); err != nil {
		return errors.Mark(err, errCaller)
	}
	return flush(writer)
}

// flush sends what was written to a caller.
func flush(writer http.ResponseWriter) error {
	if err := http.NewResponseController(writer).Flush(); err != nil {
		return errors.Mark(err, errCaller)
	}
	return nil
}
