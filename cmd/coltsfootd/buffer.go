package main

import (
	"context"
	"io"
	"sync"
	"time"

	"coltsfootlink/metrics"
)

const (
	// maxLineBytes is the most bytes of lines that wait to be written; what comes beyond is left out.
	maxLineBytes = 256 << 10
	// lineInterval is the time between two writes of the lines that wait.
	lineInterval = 100 * time.Millisecond
)

// lines is a log that never waits: lines that come within an interval are written together.
type lines struct {
	to io.Writer

	mutex   sync.Mutex
	waiting []byte
	lost    int
}

// Write takes a line; it never blocks and never fails.
func (lines *lines) Write(line []byte) (int, error) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if len(lines.waiting)+len(line) > maxLineBytes {
		lines.lost++
	} else {
		lines.waiting = append(lines.waiting, line...)
	}
	return len(line), nil
}

// Run writes what waits until the context ends, and then the rest.
func (lines *lines) Run(ctx context.Context) {
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	var written []byte
	for {
		select {
		case <-ctx.Done():
			lines.flush(written)
			return
		case <-ticker.C:
			written = lines.flush(written)
		}
	}
}

// flush writes what waits, makes the given memory the next to be filled, and returns what was written.
func (lines *lines) flush(next []byte) []byte {
	lines.mutex.Lock()
	waiting, lost := lines.waiting, lines.lost
	lines.waiting, lines.lost = next[:0], 0
	lines.mutex.Unlock()
	if lost > 0 {
		metrics.CountLostLines(lost)
	}
	if len(waiting) > 0 {
		// Nobody could be told that the log cannot be written.
		_, _ = lines.to.Write(waiting)
	}
	return waiting
}
