package front

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/target"
)

const (
	// chunkBytes is the maximum number of bytes that are read from a target before they are forwarded.
	chunkBytes = 16 << 10
	// writeMargin is how much longer than until its deadline an answer may wait for its caller to read it.
	writeMargin = 500 * time.Millisecond
)

// stream forwards a target's answer to the caller as it arrives.
type stream struct {
	call   *call
	answer coltsfootlink.Answer
	ended  bool
}

// WriteTo forwards the answer. An error means that the answer is incomplete and the caller's connection has to be
// aborted.
func (stream *stream) WriteTo(writer io.Writer) (int64, error) {
	limitWriting(writer, stream.call.request.Deadline.Add(writeMargin))
	buffer := make([]byte, chunkBytes)
	var written int64
	for {
		count, readErr := stream.answer.Body.Read(buffer)
		if count > 0 {
			sent, writeErr := writer.Write(buffer[:count])
			written += int64(sent)
			if writeErr != nil {
				stream.end(coltsfootlink.Cancelled)
				return written, errors.Wrap(writeErr, "front: caller disconnected")
			}
			flush(writer)
		}
		if readErr == io.EOF {
			// The next answer on the connection has its own time.
			limitWriting(writer, time.Time{})
			stream.end(coltsfootlink.Succeeded)
			return written, nil
		}
		if readErr != nil {
			stream.end(stream.classify(readErr))
			// At least one byte is reported as written, so that the generated code aborts the connection and does not
			// send an error response.
			return max(1, written), errors.Wrap(readErr, "front: answer of the target truncated")
		}
	}
}

// Read returns the next bytes of the answer.
func (stream *stream) Read(buffer []byte) (int, error) { return stream.answer.Body.Read(buffer) }

// Close abandons the rest of the answer, if any.
func (stream *stream) Close() error {
	stream.end(coltsfootlink.Cancelled)
	return nil
}

// end releases the permit and records the outcome; only the first call has an effect.
func (stream *stream) end(result coltsfootlink.Result) {
	if stream.ended {
		return
	}
	stream.ended = true
	_ = stream.answer.Body.Close()
	stream.call.cancel()
	stream.call.finish(coltsfootlink.Usage{
		Result:          result,
		Cost:            stream.answer.Body.Cost(),
		FirstByteMillis: stream.answer.FirstByteMillis,
		Incarnation:     stream.answer.Incarnation,
	})
	if result == coltsfootlink.Succeeded {
		stream.call.resolve(coltsfootlink.Ran)
		metrics.CountOutcome(string(coltsfootlink.Ran))
		return
	}
	metrics.CountOutcome(string(coltsfootlink.MayHaveRun))
	metrics.CountRefusal(string(coltsfootlink.AnswerCut))
}

// classify returns the result of an answer that ended early: Failed if the target closed it without its end marker,
// Cancelled if the deadline has passed, and Crashed if the connection broke.
func (stream *stream) classify(err error) coltsfootlink.Result {
	switch {
	case errors.Is(err, target.ErrNoEndMarker):
		return coltsfootlink.Failed
	case !stream.call.service.Clock.Now().Before(stream.call.request.Deadline):
		return coltsfootlink.Cancelled
	default:
		return coltsfootlink.Crashed
	}
}

// limitWriting limits until when writing to a caller that does not read may take; the zero time is no limit.
func limitWriting(writer io.Writer, deadline time.Time) {
	if response, is := writer.(http.ResponseWriter); is {
		// A writer without a connection, such as those in tests, never blocks.
		_ = http.NewResponseController(response).SetWriteDeadline(deadline)
	}
}

func flush(writer io.Writer) {
	if response, is := writer.(http.ResponseWriter); is {
		// A writer that does not support flushing sends the bytes at the end of the response.
		_ = http.NewResponseController(response).Flush()
	}
}
