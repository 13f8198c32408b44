package front

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/target"
)

// chunkBytes is the most that is read from a target before it is passed on.
const chunkBytes = 16 << 10

// stream passes a target's answer on to the caller as it comes.
type stream struct {
	call   *call
	answer coltsfootlink.Answer
	ended  bool
}

// WriteTo writes the answer; an error means that it is not whole and the connection has to be aborted.
func (passed *stream) WriteTo(writer io.Writer) (int64, error) {
	buffer := make([]byte, chunkBytes)
	var written int64
	for {
		count, readErr := passed.answer.Body.Read(buffer)
		if count > 0 {
			sent, writeErr := writer.Write(buffer[:count])
			written += int64(sent)
			if writeErr != nil {
				passed.end(coltsfootlink.Cancelled)
				return written, errors.Wrap(writeErr, "front: caller went away")
			}
			flush(writer)
		}
		if readErr == io.EOF {
			passed.end(coltsfootlink.Succeeded)
			return written, nil
		}
		if readErr != nil {
			passed.end(passed.failure(readErr))
			// At least one byte counts as written, so that the connection is aborted.
			return max(1, written), errors.Wrap(readErr, "front: answer cut")
		}
	}
}

// Read returns the next bytes of the answer.
func (passed *stream) Read(buffer []byte) (int, error) { return passed.answer.Body.Read(buffer) }

// Close gives up what is left of the answer.
func (passed *stream) Close() error {
	passed.end(coltsfootlink.Cancelled)
	return nil
}

// end gives the permit back once.
func (passed *stream) end(result coltsfootlink.Result) {
	if passed.ended {
		return
	}
	passed.ended = true
	_ = passed.answer.Body.Close()
	passed.call.cancel()
	passed.call.finish(coltsfootlink.Usage{
		Result:          result,
		Cost:            passed.answer.Body.Cost(),
		FirstByteMillis: passed.answer.FirstByteMillis,
		Incarnation:     passed.answer.Incarnation,
	})
	if result == coltsfootlink.Succeeded {
		passed.call.settle(coltsfootlink.Ran)
		metrics.CountOutcome(string(coltsfootlink.Ran))
		return
	}
	metrics.CountOutcome(string(coltsfootlink.MayHaveRun))
	metrics.CountRefusal(string(coltsfootlink.AnswerCut))
}

// failure tells an answer that ended early from a broken connection and a deadline.
func (passed *stream) failure(err error) coltsfootlink.Result {
	switch {
	case errors.Is(err, target.ErrNoEndMarker):
		return coltsfootlink.Failed
	case !passed.call.service.Clock.Now().Before(passed.call.request.Deadline):
		return coltsfootlink.Cancelled
	default:
		return coltsfootlink.Crashed
	}
}

func flush(writer io.Writer) {
	if response, is := writer.(http.ResponseWriter); is {
		// A writer that cannot flush sends the bytes at the end.
		_ = http.NewResponseController(response).Flush()
	}
}
