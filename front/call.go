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
	// maxBroken is the number of broken connections after which a request is no longer sent.
	maxBroken = 2
	// lateSpan is how long a permit that comes too late is waited for, so that it is given back.
	lateSpan = 10 * time.Second
)

// call is the way of one request through the instance.
type call struct {
	service *Service
	request coltsfootlink.Request
	pool    coltsfootlink.Pool
	arrived time.Time
	cancel  context.CancelFunc
	permit  coltsfootlink.Permit
	// attempt identifies this arrival of a request that may not be repeated.
	attempt string
	// sent says that a target may have been reached.
	sent   bool
	broken int
}

// run waits for a permit and sends the request, again on another target where that is allowed.
func (call *call) run(ctx context.Context) (coltsfootlink.Answer, *coltsfootlink.Refusal) {
	if call.request.Route.Repeatable {
		return call.send(ctx)
	}
	if refusal := call.claim(ctx); refusal != nil {
		return coltsfootlink.Answer{}, refusal
	}
	answer, refusal := call.send(ctx)
	if refusal != nil && !call.sent {
		call.settle(coltsfootlink.NotRun)
	}
	return answer, refusal
}

// send sends the request to a target once a permit allows it.
func (call *call) send(ctx context.Context) (coltsfootlink.Answer, *coltsfootlink.Refusal) {
	for attempt := 1; ; attempt++ {
		decision := call.wait(ctx, attempt > 1)
		if decision.Refusal != nil {
			return coltsfootlink.Answer{}, call.outcome(decision.Refusal)
		}
		call.permit = decision.Permit
		answer, err := call.service.Engine.Call(ctx, decision.Target, call.pool, call.request)
		if err == nil {
			return answer, nil
		}
		failure := callFailure(err)
		call.noteFailure(failure)
		if !call.mayRepeat(ctx, attempt) {
			return coltsfootlink.Answer{}, call.refusal(ctx, failure)
		}
	}
}

// wait asks the entry task for a permit.
func (call *call) wait(ctx context.Context, again bool) entry.Decision {
	reply := make(chan entry.Decision, 1)
	call.tell(entry.Acquire{
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
		Retry:       again,
		Reply:       reply,
	})
	select {
	case decision := <-reply:
		return decision
	case <-ctx.Done():
	}
	call.tell(entry.Cancel{ID: call.request.ID})
	// An entry task that failed with the request in hand never answers.
	go call.giveBack(reply)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return entry.Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")}
	}
	return entry.Decision{Refusal: coltsfootlink.Refuse(coltsfootlink.CallerGone, "the caller went away")}
}

// giveBack gives a permit back that comes too late to be used.
func (call *call) giveBack(reply <-chan entry.Decision) {
	select {
	case decision := <-reply:
		if decision.Refusal == nil {
			call.release(decision.Permit, coltsfootlink.Usage{Result: coltsfootlink.Unused})
		}
	case <-time.After(lateSpan):
	}
}

// noteFailure gives the permit back after a call without an answer.
func (call *call) noteFailure(failure *coltsfootlink.CallError) {
	call.sent = call.sent || failure.Sent
	if failure.Result == coltsfootlink.Crashed {
		call.broken++
	}
	call.finish(coltsfootlink.Usage{Result: failure.Result})
}

func (call *call) mayRepeat(ctx context.Context, attempt int) bool {
	allowed := call.request.Route.Repeatable || !call.sent
	return allowed && call.broken < maxBroken && attempt < retry.MaxAttempts && ctx.Err() == nil
}

// finish gives the permit back.
func (call *call) finish(usage coltsfootlink.Usage) { call.release(call.permit, usage) }

// release gives a permit back.
func (call *call) release(permit coltsfootlink.Permit, usage coltsfootlink.Usage) {
	usage.Fingerprint = call.request.Fingerprint
	usage.Route = call.request.Route.Path
	call.tell(entry.Finish{Permit: permit, Usage: usage})
}

func (call *call) refusal(ctx context.Context, failure *coltsfootlink.CallError) *coltsfootlink.Refusal {
	refusal := coltsfootlink.Refuse(failure.Reason, failure.Cause.Error())
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the target did not answer before the deadline")
	case call.broken >= maxBroken:
		refusal = coltsfootlink.Refuse(coltsfootlink.CrashingRequest, "targets crashed while they ran this request")
	}
	return call.outcome(refusal)
}

// outcome marks the refusal of a request that may have reached a target.
func (call *call) outcome(refusal *coltsfootlink.Refusal) *coltsfootlink.Refusal {
	if call.sent {
		return refusal.WithOutcome(coltsfootlink.MayHaveRun)
	}
	return refusal
}

func (call *call) tell(message coltsfootlink.Message) {
	call.service.Entry.Put(coltsfootlink.Delivery{Message: message})
}

func callFailure(err error) *coltsfootlink.CallError {
	var failure *coltsfootlink.CallError
	if errors.As(err, &failure) {
		return failure
	}
	return &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.TargetFailed, Cause: err}
}
