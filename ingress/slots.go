package ingress

import "coltsfootlink"

// keptPart is the part of the places of requests that wait for a target which those within their teams' shares have
// for themselves.
const keptPart = 0.5

// mostChoosing is how many requests may wait for a target where this one takes a place.
func (current *exchange) mostChoosing() int64 {
	most := current.service.MaxChoosing
	if current.standing == coltsfootlink.Entitled || current.attempts > 0 {
		return most
	}
	return most - int64(keptPart*float64(most))
}

// takePlace takes a place among the requests that wait for a target; false if there is none.
func (current *exchange) takePlace() bool {
	choosing := &current.service.choosing
	for {
		taken := choosing.Load()
		if taken >= current.mostChoosing() {
			return false
		}
		if choosing.CompareAndSwap(taken, taken+1) {
			return true
		}
	}
}

// leavePlace gives the place to another request.
func (current *exchange) leavePlace() { current.service.choosing.Add(-1) }

// crowded refuses a request for which there is no place.
func (current *exchange) crowded() *coltsfootlink.Refusal {
	again := current.service.Clock.Now().Add(elsewherePause)
	return coltsfootlink.Refuse(coltsfootlink.QueueFull, "too many requests wait for a target").WithRetryAt(again)
}
