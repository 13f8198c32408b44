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
	// streamBytes is the size of a stream's read and copy buffers, longAnswerBufferBytes that of the copy buffer of another
	// long answer.
	streamBytes           = 4 << 10
	longAnswerBufferBytes = 16 << 10
	// maxEventBytes limits the size of an event in a resumable stream, which is buffered until it is complete.
	maxEventBytes = 1 << 20
	// blankLineBytes is the size of the longest end of an event: a line ending and a blank line.
	blankLineBytes = len("\r\n\r\n")
)

// streamReaders pools the read buffers of streams, copyBuffers their copy buffers, and longAnswerBuffers those of other long
// answers.
var (
	streamReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBytes) }}
	copyBuffers   = sync.Pool{New: func() any { return new([streamBytes]byte) }}

	longAnswerBuffers = sync.Pool{New: func() any { return new([longAnswerBufferBytes]byte) }}
)

// lineEndings normalises line endings to \n.
var lineEndings = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// errCallerWrite marks errors of writing to the caller, which mean that the caller has disconnected.
var errCallerWrite = errors.New("writing to the caller failed")

// forwardStream forwards the events of a stream as they arrive.
func (current *exchange) forwardStream(choice dispatch.Choice, answer upstream.Answer, sentAt time.Time) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	reader := streamReaders.Get().(*bufio.Reader)
	defer streamReaders.Put(reader)
	reader.Reset(answer.Body)
	defer reader.Reset(nil)
	if _, err := reader.Peek(1); err != nil && err != io.EOF {
		return current.interruption(err)
	}
	current.report(choice, coltsfootlink.FirstEvent, "", sentAt)
	var err error
	if current.rule.Resumable {
		err = current.copyEvents(answer, reader)
	} else {
		current.writeHead(answer)
		buffer := copyBuffers.Get().(*[streamBytes]byte)
		err = copyBytes(current.writer, completeEvents(answer, reader), buffer[:], maxAnswerBytes)
		copyBuffers.Put(buffer)
	}
	if err == nil {
		err = current.checkEnd(choice, answer)
	}
	if err != nil {
		if current.started {
			// Delivers the complete events before the interruption; an error means that the caller has disconnected.
			_ = flush(current.writer)
		}
		return current.interruption(err)
	}
	// A complete stream without events has not sent its headers yet.
	current.writeHead(answer)
	current.logOutcome("answered", answer.Response.StatusCode, "")
	return nil, coltsfootlink.Succeeded
}

// completeEvents returns a reader for the answer. If the answer is an event stream, an end within an event is an error.
func completeEvents(answer upstream.Answer, reader io.Reader) io.Reader {
	if answer.Head.MediaType != platform.EventStream {
		return reader
	}
	return &eventReader{Reader: reader, tail: []byte("\n\n")}
}

// eventReader reads an event stream and returns io.EOF only if the stream ends after a complete event.
type eventReader struct {
	io.Reader
	// tail holds the last bytes read, enough for a line ending and a blank line.
	tail []byte
}

// Read returns io.ErrUnexpectedEOF if the stream ends within an event.
func (events *eventReader) Read(buffer []byte) (int, error) {
	count, err := events.Reader.Read(buffer)
	events.tail = append(events.tail, buffer[:count]...)
	events.tail = append(events.tail[:0], events.tail[max(0, len(events.tail)-blankLineBytes):]...)
	if err == io.EOF && !strings.HasSuffix(lineEndings.Replace(string(events.tail)), "\n\n") {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// writeHead sends the answer's status and headers unless the answer to the caller has already begun.
func (current *exchange) writeHead(answer upstream.Answer) {
	if current.started {
		return
	}
	current.startAnswer(answer)
	current.writer.WriteHeader(answer.Response.StatusCode)
}

// copyBytes forwards up to limit bytes as they arrive, through a buffer; it returns an error if the answer is longer or ends
// early.
func copyBytes(writer http.ResponseWriter, reader io.Reader, buffer []byte, limit int64) error {
	for {
		count, err := reader.Read(buffer)
		limit -= int64(count)
		if limit < 0 {
			return errAnswerTooLong
		}
		if count > 0 {
			if err := writeNow(writer, buffer[:count]); err != nil {
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

// copyEvents forwards complete events as they arrive and records the last event ID, so that another target can resume
// the stream after it. It returns an error if the stream does not end completely.
func (current *exchange) copyEvents(answer upstream.Answer, reader *bufio.Reader) error {
	event := eventBuffer{budget: current.service.Memory}
	defer event.release()
	// lineStart is the offset of the newest line in the event.
	lineStart := 0
	remaining := maxAnswerBytes
	for {
		part, err := reader.ReadSlice('\n')
		if err := event.add(part); err != nil {
			return err
		}
		remaining -= len(part)
		switch {
		case remaining < 0:
			return errAnswerTooLong
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			current.partialEvent = current.partialEvent || len(event.text) > 0
			return current.endOfEvents(err)
		}
		if len(bytes.TrimRight(event.text[lineStart:], "\r\n")) > 0 {
			lineStart = len(event.text)
			continue
		}
		if err := current.forwardEvent(answer, event.text); err != nil {
			return err
		}
		event.text, lineStart = event.text[:0], 0
		if hasBufferedEvent(reader) {
			continue
		}
		if err := flush(current.writer); err != nil {
			return err
		}
	}
}

// endOfEvents checks how a resumable stream ended; it returns nil if the stream is complete.
func (current *exchange) endOfEvents(err error) error {
	switch {
	case err != io.EOF:
		return err
	case current.partialEvent:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// forwardEvent forwards an event if its ID follows the last one. The first event also starts the answer.
func (current *exchange) forwardEvent(answer upstream.Answer, event []byte) error {
	id, found := platform.EventID(event)
	if found && !isIncreasing(current.lastEventID, id) {
		return errors.Newf("stream out of order: got event %s after event %s", id, current.lastEventID)
	}
	current.writeHead(answer)
	if _, err := current.writer.Write(event); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if found {
		current.lastEventID = id
		current.partialEvent = false
	}
	return nil
}

// isIncreasing reports whether an event ID may follow the last one. Numeric IDs must increase; others are not compared.
func isIncreasing(last, next string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	nextNumber, nextErr := strconv.ParseUint(next, 10, 64)
	return lastErr != nil || nextErr != nil || lastNumber < nextNumber
}

// hasBufferedEvent reports whether another complete event has already arrived; events that arrived together are flushed
// together.
func hasBufferedEvent(reader *bufio.Reader) bool {
	// Peek cannot fail for bytes that are already buffered.
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// writeNow writes data to the caller and flushes it.
func writeNow(writer http.ResponseWriter, data []byte) error {
	if _, err := writer.Write(data); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return flush(writer)
}

// flush sends buffered data to the caller.
func flush(writer http.ResponseWriter) error {
	if err := http.NewResponseController(writer).Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	return nil
}
