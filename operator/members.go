package operator

import (
	"context"
	"sync/atomic"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Members is the task that keeps the newest membership view for the service.
type Members struct {
	Inbox *mailbox.Deliveries

	view atomic.Pointer[coltsfootlink.View]
}

// Run stores the membership views that it receives until the context ends.
func (members *Members) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-members.Inbox.Ready():
		}
		for _, delivery := range members.Inbox.Drain() {
			if changed, is := delivery.Message.(coltsfootlink.ViewChanged); is {
				members.view.Store(&changed.View)
			}
		}
	}
}

// View returns the newest view; it is empty until the first one has been received.
func (members *Members) View() coltsfootlink.View {
	view := members.view.Load()
	if view == nil {
		return coltsfootlink.View{}
	}
	return *view
}
