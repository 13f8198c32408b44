package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// newRecord creates the file that RECORD names, or record.txt.
func newRecord() (*record, error) {
	name := os.Getenv("RECORD")
	if name == "" {
		name = "record.txt"
	}
	file, err := os.Create(name)
	return &record{file: file, began: time.Now()}, err
}

// line writes a line with the seconds since the start.
func (record *record) line(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, arguments...))
}
