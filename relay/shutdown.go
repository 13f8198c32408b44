package relay

import (
	"context"
	"sync"

	"coltsfootlink"
)

// shutdown tells those that subscribe once that the instance shuts down. The zero value is ready to use.
type shutdown struct {
	once      sync.Once
	announced context.Context
	cancel    context.CancelFunc
	// stopping is written before announced is done, and read only after that.
	stopping coltsfootlink.Stopping
}

func (shutdown *shutdown) init() {
	shutdown.once.Do(func() { shutdown.announced, shutdown.cancel = context.WithCancel(context.Background()) })
}

// announce tells all subscribers when the instance ends. Further calls have no effect.
func (shutdown *shutdown) announce(stopping coltsfootlink.Stopping) {
	shutdown.init()
	if shutdown.announced.Err() == nil {
		shutdown.stopping = stopping
		shutdown.cancel()
	}
}

// subscribe calls notify in a goroutine of its own once the shutdown is announced, or at once if it has been. The function that
// it returns cancels the subscription.
func (shutdown *shutdown) subscribe(notify func(coltsfootlink.Stopping)) (cancel func() bool) {
	shutdown.init()
	return context.AfterFunc(shutdown.announced, func() { notify(shutdown.stopping) })
}
