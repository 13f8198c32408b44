package ingress

import "coltsfootlink"

// reservedFraction is the fraction of the slots for waiting requests that is reserved for requests within their teams'
// shares and for further attempts.
const reservedFraction = 0.5

// maxWaiting returns the limit on waiting requests that applies to this one: all slots for requests within their shares
// and for further attempts, otherwise those that are not reserved.
func (current *exchange) maxWaiting() int64 {
	limit := current.service.MaxWaiting
	if current.standing == coltsfootlink.Entitled || current.attempts > 0 {
		return limit
	}
	return limit - int64(reservedFraction*float64(limit))
}

// acquireSlot acquires a slot for waiting for a target; it returns false if none is free.
func (current *exchange) acquireSlot() bool {
	waiting := &current.service.waiting
	for {
		taken := waiting.Load()
		if taken >= current.maxWaiting() {
			return false
		}
		if waiting.CompareAndSwap(taken, taken+1) {
			return true
		}
	}
}

// releaseSlot releases the slot.
func (current *exchange) releaseSlot() { current.service.waiting.Add(-1) }

// queueFull returns the refusal of a request for which no slot is free.
func (current *exchange) queueFull() *coltsfootlink.Refusal {
	retryAt := current.service.Clock.Now().Add(otherInstanceRetryDelay)
	return coltsfootlink.Refuse(coltsfootlink.QueueFull, "too many requests wait for a target").WithRetryAt(retryAt)
}
