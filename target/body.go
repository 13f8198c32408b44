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
	// readBytes is the size of the read buffer of an answer.
	readBytes = 16 << 10
	// bytesPerToken is the size of a token where an engine does not say its cost.
	bytesPerToken = 4
	// endSpaceBytes is the white space that may follow an end marker.
	endSpaceBytes = 16
)

// ErrUnmarked tells that an answer ended without the pool's end marker.
var ErrUnmarked = errors.New("target: answer ended without its end marker")

// body is the stream of an answer.
type body struct {
	response *http.Response
	reader   *bufio.Reader
	pool     coltsfootlink.Pool
	started  time.Time
	clock    coltsfootlink.Clock
	cancel   context.CancelFunc
	read     int64
	// tail is the newest bytes: the end marker and white space after it.
	tail []byte
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

// waitFirst waits for the first byte or the end of the answer.
func (answer *body) waitFirst() error {
	_, err := answer.reader.Peek(1)
	if err == io.EOF {
		return nil
	}
	return err
}

// Read returns the next bytes; io.EOF only at the end of a whole answer.
func (answer *body) Read(buffer []byte) (int, error) {
	count, err := answer.reader.Read(buffer)
	answer.read += int64(count)
	answer.keepTail(buffer[:count])
	if err == io.EOF {
		answer.cost = answer.finalCost()
		if !answer.whole() {
			return count, ErrUnmarked
		}
	}
	return count, err
}

// Close ends the answer; if it is not whole, the target sees the connection go.
func (answer *body) Close() error {
	answer.cancel()
	return answer.response.Body.Close()
}

// Cost returns the measured cost in the pool's unit.
func (answer *body) Cost() float64 {
	if answer.cost > 0 {
		return answer.cost
	}
	return answer.estimatedCost()
}

func (answer *body) keepTail(fresh []byte) {
	size := len(answer.pool.EndMarker)
	if size == 0 {
		return
	}
	answer.tail = append(answer.tail, fresh...)
	if surplus := len(answer.tail) - size - endSpaceBytes; surplus > 0 {
		answer.tail = append([]byte(nil), answer.tail[surplus:]...)
	}
}

func (answer *body) whole() bool {
	return !endsMarked(answer.response.StatusCode) || answer.pool.EndMarker == "" || bytes.HasSuffix(bytes.TrimSpace(answer.tail), []byte(answer.pool.EndMarker))
}

// endsMarked says whether answers with a status end with the pool's marker: successes that may have a body do.
func endsMarked(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices && status != http.StatusNoContent
}

// finalCost returns what the target says; trailers go before headers.
func (answer *body) finalCost() float64 {
	for _, header := range []http.Header{answer.response.Trailer, answer.response.Header} {
		cost, err := strconv.ParseFloat(header.Get(CostHeader), 64)
		if err == nil && cost > 0 {
			return cost
		}
	}
	return answer.estimatedCost()
}

func (answer *body) estimatedCost() float64 {
	if answer.pool.Kind == coltsfootlink.PlainPool {
		return millisBetween(answer.started, answer.clock.Now())
	}
	return float64(answer.read) / bytesPerToken
}
