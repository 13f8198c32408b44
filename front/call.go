package front

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/entry"
	"coltsfootlink/queue"
	"coltsfootlink/retry"
)

const (
	// maxCrashes is the number of target crashes after which a request is not retried, so that a request that crashes
	// its targets cannot take down a whole pool.
	maxCrashes = 2
	// latePermitTimeout is how long an abandoned request waits for the entry task's decision, so that a permit that was
	// granted too late is released.
	latePermitTimeout = 10 * time.Second
)

// call handles one request from its claim and its permit to the end of the target's answer.
type call struct {
	service *Service
	request coltsfootlink.Request
	pool    coltsfootlink.Pool
	arrived time.Time
	cancel  context.CancelFunc
	permit  coltsfootlink.Permit
	// attempt identifies this call in the claim of its idempotency key; empty for repeatable routes.
	attempt string
	// sent indicates that a target may have received the request.
	sent bool
	// crashes is the number of attempts during which the target crashed.
	crashes int
}

// run sends the request to a target. A request that must not be repeated is claimed first, so that it runs at most once.
func (call *call) run(ctx context.Context) (coltsfootlink.Answer, *coltsfootlink.Refusal) {
	if call.request.Route.Repeatable {
		return call.send(ctx)
	}
	if refusal := call.claim(ctx); refusal != nil {
		return coltsfootlink.Answer{}, refusal
	}
	answer, refusal := call.send(ctx)
	if refusal != nil && !call.sent {
		call.resolve(coltsfootlink.NotRun)
	}
	return answer, refusal
}

// send acquires a permit and sends the request to the permit's target; after a failure it retries if mayRetry allows it.
func (call *call) send(ctx context.Context) (coltsfootlink.Answer, *coltsfootlink.Refusal) {
	for attempt := 1; ; attempt++ {
		decision := call.acquire(ctx, attempt > 1)
		if decision.Refusal != nil {
			return coltsfootlink.Answer{}, call.withOutcome(decision.Refusal)
		}
		call.permit = decision.Permit
		answer, err := call.service.Engine.Call(ctx, decision.Target, call.pool, call.request)
		if err == nil {
			return answer, nil
		}
		failure := asCallError(err)
		call.recordFailure(failure)
		if !call.mayRetry(ctx, attempt) {
			return coltsfootlink.Answer{}, call.refusal(ctx, failure)
		}
	}
}

// acquire requests a permit from the entry task and waits for the decision until the context ends.
func (call *call) acquire(ctx context.Context, isRetry bool) entry.Decision {
	reply := make(chan entry.Decision, 1)
	call.notifyEntry(entry.Acquire{
		Waiting: queue.Waiting{
			ID:       call.request.ID,
			Team:     call.request.Team,
			Pool:     call.request.Pool,
			Class:    call.request.Route.Class,
			Arrived:  call.arrived,
			Deadline: call.request.Deadline,
			CostHint: call.request.CostHint,
		},
		Fingerprint: call.request.Fingerprint,
		Retry:       isRetry,
		Reply:       reply,
	})
	select {
	case decision := <-reply:
		return decision
	case <-ctx.Done():
	}
	call.notifyEntry(entry.Cancel{ID: call.request.ID})
	// The decision may still come. It never does if the entry task failed while it had the request, so the goroutine has
	// a timeout.
	go call.releaseLate(reply)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return entry.Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")}
	}
	return entry.Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.CallerGone, "the caller went away")}
}

// releaseLate releases a permit that is granted too late to be used.
func (call *call) releaseLate(reply <-chan entry.Decision) {
	select {
	case decision := <-reply:
		if decision.Refusal == nil {
			call.release(decision.Permit, coltsfootlink.Usage{Result: coltsfootlink.Unused})
		}
	case <-time.After(latePermitTimeout):
	}
}

// recordFailure records a failed attempt and releases its permit.
func (call *call) recordFailure(failure *coltsfootlink.CallError) {
	call.sent = call.sent || failure.Sent
	if failure.Result == coltsfootlink.Crashed {
		call.crashes++
	}
	call.finish(coltsfootlink.Usage{Result: failure.Result})
}

// mayRetry reports whether the request may be sent again: a request that must not be repeated only if no target can have
// received it.
func (call *call) mayRetry(ctx context.Context, attempt int) bool {
	allowed := call.request.Route.Repeatable || !call.sent
	return allowed && call.crashes < maxCrashes && attempt < retry.MaxAttempts && ctx.Err() == nil
}

// finish releases the permit of the current attempt.
func (call *call) finish(usage coltsfootlink.Usage) { call.release(call.permit, usage) }

// release returns a permit to the entry task, with its usage.
func (call *call) release(permit coltsfootlink.Permit, usage coltsfootlink.Usage) {
	usage.Fingerprint = call.request.Fingerprint
	usage.Route = call.request.Route.Path
	call.notifyEntry(entry.Finish{Permit: permit, Usage: usage})
}

// refusal returns the refusal for the last failed attempt.
func (call *call) refusal(ctx context.Context, failure *coltsfootlink.CallError) *coltsfootlink.Refusal {
	refusal := coltsfootlink.Refuse(failure.Reason, failure.Cause.Error())
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the target did not answer before the deadline")
	case call.crashes >= maxCrashes:
		refusal = coltsfootlink.Refuse(coltsfootlink.CrashingRequest, "targets crashed while they ran this request")
	}
	return call.withOutcome(refusal)
}

// withOutcome gives a refusal the outcome MayHaveRun if the request may have reached a target.
func (call *call) withOutcome(refusal *coltsfootlink.Refusal) *coltsfootlink.Refusal {
	if call.sent {
		return refusal.WithOutcome(coltsfootlink.MayHaveRun)
	}
	return refusal
}

// notifyEntry sends a message to the entry task.
func (call *call) notifyEntry(message coltsfootlink.Message) {
	call.service.Entry.Put(coltsfootlink.Delivery{Message: message})
}

// asCallError returns the CallError in an error. Any other error counts as a failure after the request was sent.
func asCallError(err error) *coltsfootlink.CallError {
	var failure *coltsfootlink.CallError
	if errors.As(err, &failure) {
		return failure
	}
	return &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.TargetFailed, Cause: err}
}
