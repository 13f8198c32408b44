package main

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// sink keeps what is written, each write by itself.
type sink struct{ writes []string }

func (sink *sink) Write(text []byte) (int, error) {
	sink.writes = append(sink.writes, string(text))
	return len(text), nil
}

func TestLines(t *testing.T) {
	long := strings.Repeat("x", maxLineBytes/4) + "\n"
	cases := map[string]struct {
		lines []string
		// kept is the number of lines that are written, lost that of those left out.
		kept, lost int
	}{
		"none":          {nil, 0, 0},
		"one":           {[]string{"a\n"}, 1, 0},
		"several":       {[]string{"a\n", "b\n", "c\n"}, 3, 0},
		"more than fit": {[]string{long, long, long, long, "short\n"}, 4, 1},
	}
	for name, test := range cases {
		Convey("lines are written together in their order: "+name, t, func() {
			written := new(sink)
			log := &lines{to: written}
			for _, line := range test.lines {
				count, err := log.Write([]byte(line))
				So(err, ShouldBeNil)
				So(count, ShouldEqual, len(line))
			}
			So(log.lost, ShouldEqual, test.lost)
			var memory []byte
			memory = log.flush(memory)
			So(len(written.writes), ShouldBeLessThanOrEqualTo, 1)
			So(strings.Count(strings.Join(written.writes, ""), "\n"), ShouldEqual, test.kept)
			if test.lost == 0 {
				So(strings.Join(written.writes, ""), ShouldEqual, strings.Join(test.lines, ""))
			}
			for round := range 3 {
				line := fmt.Sprintln("again", round)
				_, _ = log.Write([]byte(line))
				memory = log.flush(memory)
				So(written.writes[len(written.writes)-1], ShouldEqual, line)
			}
		})
	}
	Convey("what waits at the end is written", t, func() {
		written := new(sink)
		log := &lines{to: written}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			log.Run(ctx)
			close(done)
		}()
		_, _ = log.Write([]byte("last\n"))
		cancel()
		<-done
		So(strings.Join(written.writes, ""), ShouldEqual, "last\n")
	})
}
