package main

import (
	"context"
	"io"
	"sync"
	"time"

	"coltsfootlink/metrics"
)

const (
	// maxPendingBytes is the maximum size of the buffered lines; lines that exceed it are dropped.
	maxPendingBytes = 256 << 10
	// flushInterval is the time between two flushes.
	flushInterval = 100 * time.Millisecond
)

// logBuffer is a log writer that never blocks its callers: it buffers lines and writes those of an interval together.
type logBuffer struct {
	out io.Writer

	mutex   sync.Mutex
	pending []byte
	dropped int
}

// Write buffers a line, or drops it if the buffer is full; it never blocks and never fails.
func (buffer *logBuffer) Write(line []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if len(buffer.pending)+len(line) > maxPendingBytes {
		buffer.dropped++
	} else {
		buffer.pending = append(buffer.pending, line...)
	}
	return len(line), nil
}

// Run flushes the buffer in intervals until the context ends, and a last time then.
func (buffer *logBuffer) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			buffer.flush(spare)
			return
		case <-ticker.C:
			spare = buffer.flush(spare)
		}
	}
}

// flush writes the buffered lines. It continues with the memory of spare as the buffer, and returns the written memory
// for reuse by the next flush.
func (buffer *logBuffer) flush(spare []byte) []byte {
	buffer.mutex.Lock()
	pending, dropped := buffer.pending, buffer.dropped
	buffer.pending, buffer.dropped = spare[:0], 0
	buffer.mutex.Unlock()
	if dropped > 0 {
		metrics.CountDroppedLines(dropped)
	}
	if len(pending) > 0 {
		// Write errors are ignored: there is no other place to report that the log cannot be written.
		_, _ = buffer.out.Write(pending)
	}
	return pending
}
