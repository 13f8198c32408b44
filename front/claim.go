package front

import (
	"context"
	"time"

	"github.com/google/uuid"

	"coltsfootlink"
	"coltsfootlink/claim"
)

// claimMargin is how long before the caller's deadline a claim has to be decided, so that time is left to send the
// request or the refusal.
const claimMargin = 200 * time.Millisecond

// claim claims the request's idempotency key for this call, so that no other call with the key may run. It returns a
// refusal if the claim does not succeed.
func (call *call) claim(ctx context.Context) *coltsfootlink.Refusal {
	call.attempt = uuid.NewString()
	reply := make(chan coltsfootlink.ClaimReply, 1)
	call.service.Claims.Put(coltsfootlink.Delivery{Message: claim.Claim{
		Key:      call.request.IdempotencyKey,
		Attempt:  call.attempt,
		Deadline: call.request.Deadline.Add(-claimMargin),
		Reply:    reply,
	}})
	select {
	case answer := <-reply:
		return call.claimRefusal(answer)
	case <-ctx.Done():
	}
	// The claim may still be granted, but this call will not send the request.
	call.resolve(coltsfootlink.NotRun)
	refusal := coltsfootlink.Refuse(coltsfootlink.LogUnavailable, "the claim was not decided in time")
	return refusal.WithOutcome(coltsfootlink.MayHaveRun)
}

// claimRefusal returns the refusal for an unsuccessful claim; nil if the claim was granted.
func (call *call) claimRefusal(answer coltsfootlink.ClaimReply) *coltsfootlink.Refusal {
	switch {
	case answer.Won:
		return nil
	case answer.Settled:
		return coltsfootlink.Refuse(coltsfootlink.RepeatedKey, "the request has been claimed before").WithOutcome(answer.Outcome)
	default:
		refusal := coltsfootlink.Refuse(coltsfootlink.LogUnavailable, "the log service did not confirm the claim")
		return refusal.WithOutcome(answer.Outcome).WithRetryAt(call.service.Clock.Now().Add(notReadyRetryDelay))
	}
}

// resolve records the outcome of a claimed request, so that a repetition with the same key can be refused with it.
// Requests to repeatable routes have no claim.
func (call *call) resolve(outcome coltsfootlink.Outcome) {
	if call.request.Route.Repeatable {
		return
	}
	call.service.Claims.Put(coltsfootlink.Delivery{Message: claim.Resolve{
		Key:     call.request.IdempotencyKey,
		Attempt: call.attempt,
		Outcome: outcome,
	}})
}
