package front

import (
	"context"
	"time"

	"github.com/google/uuid"

	"coltsfootlink"
	"coltsfootlink/claim"
)

// claimMargin is how long before the caller's deadline the fate of a claim has to be known.
const claimMargin = 200 * time.Millisecond

// claim makes this arrival of the request the only one that may run; a refusal says why it is not.
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
	// The claim may still win, but this attempt never uses it.
	call.settle(coltsfootlink.NotRun)
	refusal := coltsfootlink.Refuse(coltsfootlink.LogUnavailable, "the claim could not be settled in time")
	return refusal.WithOutcome(coltsfootlink.MayHaveRun)
}

func (call *call) claimRefusal(answer coltsfootlink.ClaimReply) *coltsfootlink.Refusal {
	switch {
	case answer.Won:
		return nil
	case answer.Settled:
		return coltsfootlink.Refuse(coltsfootlink.RepeatedKey, "the request has been claimed before").WithOutcome(answer.Outcome)
	default:
		refusal := coltsfootlink.Refuse(coltsfootlink.LogUnavailable, "the log service did not confirm the claim")
		return refusal.WithOutcome(answer.Outcome).WithRetryAt(call.service.Clock.Now().Add(notReadyPause))
	}
}

// settle records how the attempt ended, so that repeats of the request can be told.
func (call *call) settle(outcome coltsfootlink.Outcome) {
	if call.request.Route.Repeatable {
		return
	}
	call.service.Claims.Put(coltsfootlink.Delivery{Message: claim.Resolve{
		Key:     call.request.IdempotencyKey,
		Attempt: call.attempt,
		Outcome: outcome,
	}})
}
