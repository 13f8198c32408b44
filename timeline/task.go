package timeline

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Task keeps the newest events of an instance in memory, logs each event and answers queries for them.
type Task struct {
	Self coltsfootlink.InstanceName
	// MaxEvents is the maximum number of events that are kept; older ones are dropped.
	MaxEvents int
	Log       zerolog.Logger
	Inbox     *mailbox.Deliveries

	ring Ring
}

// recorded is the message by which a Recorder sends an event to the task.
type recorded struct {
	coltsfootlink.Local
	event coltsfootlink.Event
}

// Recorder stamps events and sends them to the inbox of a Task.
type Recorder struct {
	Stamper coltsfootlink.Stamper
	Inbox   *mailbox.Deliveries
}

// Record records an event of a part of the system, such as owner or membership.
func (recorder Recorder) Record(part, text string) {
	event := coltsfootlink.Event{Stamp: recorder.Stamper.Next(), Part: part, Text: text}
	recorder.Inbox.Put(coltsfootlink.Delivery{Message: recorded{event: event}})
}

// Run handles events and queries until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.ring = NewRing(task.MaxEvents)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery.Message)
		}
	}
}

func (task *Task) handle(message coltsfootlink.Message) {
	switch message := message.(type) {
	case recorded:
		task.ring = task.ring.WithEvent(message.event)
		task.Log.Info().Msg(message.event.Part + ": " + message.event.Text)
	case coltsfootlink.Inquiry:
		message.Reply <- task.answer(message.Since)
	}
}

// answer returns the events since a time, in the columns that package operator sorts by.
func (task *Task) answer(since time.Time) coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"time", "stamp", "instance", "part", "event"}}
	for _, event := range task.ring.Since(since) {
		table.Rows = append(table.Rows, []string{
			event.Stamp.Time().UTC().Format(time.RFC3339Nano),
			strconv.FormatUint(uint64(event.Stamp), 10),
			string(task.Self),
			event.Part,
			event.Text,
		})
	}
	return table
}
