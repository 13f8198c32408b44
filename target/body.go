package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

const (
	// readBytes is the size of an answer's read buffer.
	readBytes = 16 << 10
	// bytesPerToken is the assumed size of a token, to estimate the cost of answers for which an engine reports none.
	bytesPerToken = 4
	// maxTrailingSpace is how many bytes of white space may follow an end marker.
	maxTrailingSpace = 16
)

// ErrNoEndMarker is the error of an answer that ended without the pool's end marker, so it may be truncated.
var ErrNoEndMarker = errors.New("target: answer ended without its end marker")

// body is the body of an answer. It checks for the pool's end marker and measures the cost.
type body struct {
	response *http.Response
	reader   *bufio.Reader
	pool     coltsfootlink.Pool
	started  time.Time
	clock    coltsfootlink.Clock
	cancel   context.CancelFunc
	read     int64
	// tail holds the last bytes read, enough for the end marker and trailing white space.
	tail []byte
	// cost is set at the end of the answer; zero before.
	cost float64
}

func newBody(response *http.Response, pool coltsfootlink.Pool, started time.Time, clock coltsfootlink.Clock, cancel context.CancelFunc) *body {
	return &body{
		response: response,
		reader:   bufio.NewReaderSize(response.Body, readBytes),
		pool:     pool,
		started:  started,
		clock:    clock,
		cancel:   cancel,
	}
}

// awaitFirstByte blocks until the first byte or the end of the answer.
func (answer *body) awaitFirstByte() error {
	_, err := answer.reader.Peek(1)
	if err == io.EOF {
		return nil
	}
	return err
}

// Read returns io.EOF only at the end of a complete answer. If the end marker is missing, it returns ErrNoEndMarker.
func (answer *body) Read(buffer []byte) (int, error) {
	count, err := answer.reader.Read(buffer)
	answer.read += int64(count)
	answer.updateTail(buffer[:count])
	if err == io.EOF {
		answer.cost = answer.finalCost()
		if !answer.complete() {
			return count, ErrNoEndMarker
		}
	}
	return count, err
}

// Close releases the answer. If it was not read to its end, the connection is closed, so that the target notices.
func (answer *body) Close() error {
	answer.cancel()
	return answer.response.Body.Close()
}

// Cost returns the cost in the pool's unit; before the end of the answer it is an estimate.
func (answer *body) Cost() float64 {
	if answer.cost > 0 {
		return answer.cost
	}
	return answer.estimatedCost()
}

// updateTail appends a chunk to the tail and drops the bytes that are no longer needed.
func (answer *body) updateTail(chunk []byte) {
	size := len(answer.pool.EndMarker)
	if size == 0 {
		return
	}
	answer.tail = append(answer.tail, chunk...)
	if excess := len(answer.tail) - size - maxTrailingSpace; excess > 0 {
		answer.tail = append([]byte(nil), answer.tail[excess:]...)
	}
}

// complete reports whether an answer that has ended has the end marker that it requires.
func (answer *body) complete() bool {
	return !requiresMarker(answer.response.StatusCode) || answer.pool.EndMarker == "" || bytes.HasSuffix(bytes.TrimSpace(answer.tail), []byte(answer.pool.EndMarker))
}

// requiresMarker reports whether answers with the status must end with the pool's end marker: all successes except
// 204 No Content, which has no body.
func requiresMarker(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices && status != http.StatusNoContent
}

// finalCost returns the cost that the target reported, preferably in a trailer, or an estimate if it reported none.
func (answer *body) finalCost() float64 {
	for _, header := range []http.Header{answer.response.Trailer, answer.response.Header} {
		cost, err := strconv.ParseFloat(header.Get(CostHeader), 64)
		if err == nil && cost > 0 {
			return cost
		}
	}
	return answer.estimatedCost()
}

// estimatedCost returns the time since the start for plain pools, in milliseconds, and the assumed number of tokens for
// engines.
func (answer *body) estimatedCost() float64 {
	if answer.pool.Kind == coltsfootlink.PlainPool {
		return millisBetween(answer.started, answer.clock.Now())
	}
	return float64(answer.read) / bytesPerToken
}
