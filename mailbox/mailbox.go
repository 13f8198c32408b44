// Package mailbox provides the queues through which tasks receive messages.
package mailbox

import (
	"sync"

	"coltsfootlink"
	"coltsfootlink/metrics"
)

// Mailbox is an unbounded queue. Any number of goroutines may send to it; one receives.
type Mailbox[T any] struct {
	mutex sync.Mutex
	items []T
	ready chan struct{}
	// task is the name under which the items are counted; empty if they are not.
	task string
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] {
	return &Mailbox[T]{ready: make(chan struct{}, 1)}
}

// Put appends an item; it never blocks.
func (box *Mailbox[T]) Put(item T) {
	box.mutex.Lock()
	box.items = append(box.items, item)
	box.mutex.Unlock()
	select {
	case box.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives a value after items were put. One value may stand for several items, so the
// receiver calls Drain after each.
func (box *Mailbox[T]) Ready() <-chan struct{} { return box.ready }

// Drain removes and returns all items, oldest first. There may be none, even after a value from Ready.
func (box *Mailbox[T]) Drain() []T {
	box.mutex.Lock()
	defer box.mutex.Unlock()
	items := box.items
	box.items = nil
	if box.task != "" && len(items) > 0 {
		metrics.CountTaskMessages(box.task, len(items))
	}
	return items
}

// Deliveries is the mailbox of a task: a mailbox of messages with their senders.
type Deliveries = Mailbox[coltsfootlink.Delivery]

// NewDeliveries returns an empty mailbox for a task.
func NewDeliveries() *Deliveries { return New[coltsfootlink.Delivery]() }

// NewCounted returns an empty mailbox for a task, whose messages are counted under the task's name.
func NewCounted(task string) *Deliveries {
	box := NewDeliveries()
	box.task = task
	return box
}
