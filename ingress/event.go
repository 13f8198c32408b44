package ingress

import (
	"github.com/cockroachdb/errors"

	"coltsfootlink/memory"
)

// eventBuffer holds an event until it is complete.
type eventBuffer struct {
	budget   *memory.Budget
	text     []byte
	reserved memory.Reservation
}

// add appends a part of the event. It returns errAnswerTooLong if the event exceeds maxEventBytes, or if there is no memory for
// one that is not small.
func (event *eventBuffer) add(part []byte) error {
	size := len(event.text) + len(part)
	if size > maxEventBytes {
		return errAnswerTooLong
	}
	if size > smallBytes && event.reserved == (memory.Reservation{}) {
		reserved, found := event.budget.TryReserve(maxEventBytes)
		if !found {
			return errors.Mark(errNoMemory, errAnswerTooLong)
		}
		event.reserved = reserved
		event.text = append(make([]byte, 0, maxEventBytes), event.text...)
	}
	event.text = append(event.text, part...)
	return nil
}

// release gives back the memory that is reserved for the event.
func (event *eventBuffer) release() { event.reserved.Release() }
