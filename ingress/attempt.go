package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/platform"
	"coltsfootlink/upstream"
)

const (
	// heldBytes is the largest answer of a plain service that is held until it is whole; of a larger one this much is held.
	heldBytes = 1 << 20
	// maxAnswerBytes is the most of an answer that is passed on; a target that sends more does not end.
	maxAnswerBytes = 64 << 20
	// lateSpan is how long a target that comes too late is waited for, so that it is given back.
	lateSpan = 10 * time.Second
)

// errAnswerTooLong tells that an answer does not end where answers do.
var errAnswerTooLong = errors.New("the answer is too long")

// choose asks for a target and waits for it until the context ends.
func (current *exchange) choose(ctx context.Context) dispatch.Choice {
	if !current.takePlace() {
		if current.attempts == 0 && current.unsent == 0 {
			current.shed()
		}
		return dispatch.Choice{Refusal: current.crowded()}
	}
	defer current.leavePlace()
	reply := make(chan dispatch.Choice, 1)
	current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Want{
		ID:              current.head.ID,
		Pool:            current.pool,
		Team:            current.team,
		Rule:            current.rule.Name,
		Work:            current.head.Work,
		Objective:       current.sentAt.Add(current.rule.Objective),
		Deadline:        current.deadline,
		Rank:            current.rank,
		Standing:        current.standing,
		MaxWaitFraction: current.patience,
		Retry:           current.attempts > 0,
		Fingerprint:     current.fingerprint,
		Avoid:           current.avoid,
		Gone:            current.incoming.Context().Done(),
		Reply:           reply,
	}})
	select {
	case choice := <-reply:
		return choice
	case <-ctx.Done():
	}
	// A dispatcher that failed with the question in hand never answers it.
	go current.service.giveBack(reply)
	return dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")}
}

// giveBack tells the dispatcher that a target which comes too late is not used.
func (service *Service) giveBack(reply <-chan dispatch.Choice) {
	select {
	case choice := <-reply:
		if choice.Refusal == nil {
			service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Report{Serial: choice.Serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused}})
		}
	case <-time.After(lateSpan):
	}
}

// try sends the request to a target; nil if the caller has its answer.
func (current *exchange) try(ctx context.Context, choice dispatch.Choice) *coltsfootlink.Refusal {
	sentAt := current.service.Clock.Now()
	current.target = choice.Target.Name
	current.expectedMillis = choice.ExpectedMillis
	answer, err := current.service.Client.Call(ctx, current.head.ID, platform.Forward{
		Incoming:  current.incoming,
		Target:    choice.Target,
		Team:      current.team,
		Deadline:  current.deadline,
		Body:      current.body,
		LastEvent: current.lastEvent,
	}, current.rule.Repeatable())
	var failure *coltsfootlink.Refusal
	result := coltsfootlink.Succeeded
	switch {
	case err != nil:
		failure, result = current.callFailure(err)
	default:
		current.attempts++
		failure, result = current.pass(choice, answer, sentAt)
		// Closing an answer that has ended does nothing; one that has not is seen by the target to be given up.
		_ = answer.Body.Close()
	}
	current.report(choice, coltsfootlink.Ended, result, sentAt)
	return failure
}

func (current *exchange) report(choice dispatch.Choice, stage coltsfootlink.ProgressStage, result coltsfootlink.Result, sentAt time.Time) {
	current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Report{
		Serial: choice.Serial,
		Stage:  stage,
		Result: result,
		Millis: int(current.service.Clock.Now().Sub(sentAt).Milliseconds()),
	}})
}

// callFailure says what a call without an answer means.
func (current *exchange) callFailure(err error) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	var call *coltsfootlink.CallError
	if !errors.As(err, &call) {
		call = &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.TargetFailed, Cause: err}
	}
	if call.Reason == coltsfootlink.CallerGone {
		return coltsfootlink.Refuse(call.Reason, call.Cause.Error()), call.Result
	}
	if !call.Sent {
		current.unsent++
		return coltsfootlink.Refuse(coltsfootlink.TargetDown, call.Cause.Error()), call.Result
	}
	current.attempts++
	current.mayHaveRun = true
	return coltsfootlink.Refuse(call.Reason, call.Cause.Error()).WithOutcome(coltsfootlink.MayHaveRun), call.Result
}

// pass passes an answer on, or says why it is none.
func (current *exchange) pass(choice dispatch.Choice, answer upstream.Answer, sentAt time.Time) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	status := answer.Response.StatusCode
	switch {
	case answer.Head.Misdirected:
		return coltsfootlink.Refuse(coltsfootlink.TargetDown, "another target has the address"), coltsfootlink.Refused
	case answer.Head.NotRun:
		return coltsfootlink.Refuse(coltsfootlink.TargetFull, "the target has not run the request"), coltsfootlink.Failed
	}
	current.mayHaveRun = true
	failed := coltsfootlink.Refuse(coltsfootlink.TargetFailed, answer.Response.Status).WithOutcome(coltsfootlink.MayHaveRun)
	canRepeat := current.rule.Repeatable() && current.attempts < current.rule.MaxAttempts
	switch {
	case answer.Head.Encoded, !answer.Head.Stamped:
		return failed, coltsfootlink.Failed
	case status >= http.StatusInternalServerError && canRepeat, current.started && !current.continues(answer):
		// What does not go on with a stream that has begun would look like its end.
		return failed, coltsfootlink.Failed
	case current.rule.Kind == coltsfootlink.StreamRequest && status == http.StatusOK:
		return current.passStream(choice, answer, sentAt)
	default:
		return current.passWhole(answer)
	}
}

// continues says whether an answer can go on with a stream that has begun.
func (current *exchange) continues(answer upstream.Answer) bool {
	return answer.Response.StatusCode == http.StatusOK && answer.Head.MediaType == current.mediaType
}

// passWhole passes an answer on once it has come whole, or as it comes if it is long.
func (current *exchange) passWhole(answer upstream.Answer) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	length := answer.Response.ContentLength
	held, err := readWhole(new(bytes.Buffer), io.LimitReader(answer.Body, heldBytes), min(preparedBytes, length))
	whole := len(held) < heldBytes
	switch {
	case current.incoming.Method == http.MethodHead:
		// The length is that of a body which is not sent.
	case length > maxAnswerBytes:
		err = errAnswerTooLong
	case whole:
		length = int64(len(held))
	}
	if err != nil {
		return current.broken(err)
	}
	current.start(answer)
	if length >= 0 {
		platform.SetLength(current.writer.Header(), length)
	}
	current.writer.WriteHeader(answer.Response.StatusCode)
	if whole {
		// An error means that the caller has left.
		_, _ = current.writer.Write(held)
	} else if err := copyBytes(current.writer, io.MultiReader(bytes.NewReader(held), answer.Body), maxAnswerBytes); err != nil {
		return current.broken(err)
	}
	result := coltsfootlink.Succeeded
	if answer.Response.StatusCode >= http.StatusInternalServerError {
		result = coltsfootlink.Failed
	}
	current.note("answered", answer.Response.StatusCode, "")
	return nil, result
}

// start notes that the answer begins, and copies the target's headers.
func (current *exchange) start(answer upstream.Answer) {
	current.started = true
	current.mediaType = answer.Head.MediaType
	current.firstAt = current.service.Clock.Now()
	platform.CopyAnswerHeader(current.writer.Header(), answer.Response.Header)
}

// broken says what it means that an answer did not come to its end.
func (current *exchange) broken(err error) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	reason, result := coltsfootlink.AnswerCut, coltsfootlink.Crashed
	switch {
	case current.incoming.Context().Err() != nil, errors.Is(err, errCaller):
		reason, result = coltsfootlink.CallerGone, coltsfootlink.Cancelled
	case errors.Is(err, errAnswerTooLong):
		reason, result = coltsfootlink.AnswerTooLong, coltsfootlink.Failed
	}
	return coltsfootlink.Refuse(reason, err.Error()).WithOutcome(coltsfootlink.MayHaveRun), result
}
