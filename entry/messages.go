// Package entry runs the task that queues the requests received by an instance, reports its backlog to the shard owners
// and assigns the permits that they grant.
package entry

import (
	"coltsfootlink"
	"coltsfootlink/queue"
)

// Acquire asks for a permit for a request, which waits in its team's queue until one is granted.
type Acquire struct {
	coltsfootlink.Local

	Waiting     queue.Waiting
	Fingerprint uint64
	// Retry indicates that the request has been sent to a target before, so that it counts against the retry budget.
	Retry bool
	// Reply receives exactly one decision and must be buffered, so that the task never blocks on it.
	Reply chan<- Decision
}

// Decision is the reply to Acquire: a permit and its target, or a refusal.
type Decision struct {
	Permit  coltsfootlink.Permit
	Target  coltsfootlink.Target
	Refusal *coltsfootlink.Refusal
}

// Cancel withdraws a request from the queue. The request is refused at once, unless it has had its decision already.
type Cancel struct {
	coltsfootlink.Local

	ID coltsfootlink.RequestID
}

// Finish returns a permit after its use.
type Finish struct {
	coltsfootlink.Local

	Permit coltsfootlink.Permit
	Usage  coltsfootlink.Usage
}
