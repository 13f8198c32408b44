package main

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// writeRecorder records each write separately.
type writeRecorder struct{ writes []string }

func (recorder *writeRecorder) Write(text []byte) (int, error) {
	recorder.writes = append(recorder.writes, string(text))
	return len(text), nil
}

func TestLogBuffer(t *testing.T) {
	long := strings.Repeat("x", maxPendingBytes/4) + "\n"
	cases := map[string]struct {
		lines []string
		// written and dropped are the expected numbers of lines.
		written, dropped int
	}{
		"no line":             {nil, 0, 0},
		"one line":            {[]string{"a\n"}, 1, 0},
		"several lines":       {[]string{"a\n", "b\n", "c\n"}, 3, 0},
		"more lines than fit": {[]string{long, long, long, long, "short\n"}, 4, 1},
	}
	for name, test := range cases {
		Convey("buffered lines are written together in order: "+name, t, func() {
			recorder := new(writeRecorder)
			buffer := &logBuffer{out: recorder}
			for _, line := range test.lines {
				count, err := buffer.Write([]byte(line))
				So(err, ShouldBeNil)
				So(count, ShouldEqual, len(line))
			}
			So(buffer.dropped, ShouldEqual, test.dropped)
			var spare []byte
			spare = buffer.flush(spare)
			So(len(recorder.writes), ShouldBeLessThanOrEqualTo, 1)
			So(strings.Count(strings.Join(recorder.writes, ""), "\n"), ShouldEqual, test.written)
			if test.dropped == 0 {
				So(strings.Join(recorder.writes, ""), ShouldEqual, strings.Join(test.lines, ""))
			}
			for round := range 3 {
				line := fmt.Sprintln("again", round)
				_, _ = buffer.Write([]byte(line))
				spare = buffer.flush(spare)
				So(recorder.writes[len(recorder.writes)-1], ShouldEqual, line)
			}
		})
	}
	Convey("lines that are buffered when the context ends are written", t, func() {
		recorder := new(writeRecorder)
		buffer := &logBuffer{out: recorder}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			buffer.Run(ctx)
			close(done)
		}()
		_, _ = buffer.Write([]byte("last\n"))
		cancel()
		<-done
		So(strings.Join(recorder.writes, ""), ShouldEqual, "last\n")
	})
}
