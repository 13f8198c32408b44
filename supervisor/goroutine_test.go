package supervisor

import (
	"bytes"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// lockedBuffer is a buffer that goroutines may write to.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
	wrote  chan struct{}
}

// Write appends a log line.
func (locked *lockedBuffer) Write(line []byte) (int, error) {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	defer close(locked.wrote)
	return locked.buffer.Write(line)
}

func TestPanicsInGoroutinesAreLogged(t *testing.T) {
	Convey("a goroutine that panics does not end the process", t, func() {
		log := &lockedBuffer{wrote: make(chan struct{})}
		Go(zerolog.New(log), "work", func() { panic("odd") })
		<-log.wrote
		So(log.buffer.String(), ShouldContainSubstring, `"goroutine":"work","panic":"odd"`)
	})
}
