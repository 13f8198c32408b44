package metrics

import "expvar"

// taskMessages counts the messages that tasks have taken from their mailboxes, by task.
var taskMessages = expvar.NewMap("task-messages")

// CountTaskMessages counts messages that a task has taken from its mailbox.
func CountTaskMessages(task string, count int) { taskMessages.Add(task, int64(count)) }
