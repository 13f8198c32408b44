package supervisor

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Go starts a short-lived goroutine on behalf of a task. If it panics, the panic is logged and the process goes on: nothing
// restarts such a goroutine, so its task must do without its result.
func Go(log zerolog.Logger, name string, work func()) {
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				log.Error().Str("goroutine", name).Str("panic", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("supervisor: goroutine failed")
			}
		}()
		work()
	}()
}
