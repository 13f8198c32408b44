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
	"coltsfootlink/memory"
	"coltsfootlink/metrics"
	"coltsfootlink/platform"
	"coltsfootlink/upstream"
	"coltsfootlink/web"
)

const (
	// bufferedAnswerBytes limits how much of a non-streaming answer is buffered. A shorter answer is forwarded once it
	// is complete; a longer one is streamed from there on.
	bufferedAnswerBytes = 1 << 20
	// maxAnswerBytes limits the size of an answer; a target that sends more is assumed never to end.
	maxAnswerBytes = 64 << 20
	// lateChoiceTimeout is how long to wait for a choice of target that arrives after the deadline, so that its permit
	// can be released.
	lateChoiceTimeout = 10 * time.Second
)

// errAnswerTooLong indicates that an answer or an event exceeds its size limit.
var errAnswerTooLong = errors.New("the answer or an event exceeds its size limit")

// chooseTarget asks the dispatcher for a target and waits for its reply until the context is cancelled.
func (current *exchange) chooseTarget(ctx context.Context) dispatch.Choice {
	if !current.acquireSlot() {
		if current.attempts == 0 && current.unsent == 0 {
			current.reportShed()
		}
		return dispatch.Choice{Refusal: current.queueFull()}
	}
	defer current.releaseSlot()
	reply := make(chan dispatch.Choice, 1)
	current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Want{
		ID:        current.head.ID,
		Pool:      current.pool,
		Team:      current.team,
		Rule:      current.rule.Name,
		Work:      current.head.Work,
		Objective: current.sentAt.Add(current.rule.Objective),
		Deadline:  current.deadline,
		// The stop may have been announced after the head of the request, while its body came or at its first target.
		ForwarderEndsAt: web.ForwarderStopping(current.incoming).EndsAt,
		Rank:            current.rank,
		Standing:        current.standing,
		MaxWaitFraction: current.maxWaitFraction,
		Retry:           current.attempts > 0,
		Fingerprint:     current.fingerprint,
		Trial:           current.trial,
		Avoid:           current.avoid,
		Gone:            current.incoming.Context().Done(),
		Reply:           reply,
	}})
	select {
	case choice := <-reply:
		return choice
	case <-ctx.Done():
	}
	// A dispatcher that failed while it handled this request never replies.
	go current.service.releaseLate(reply)
	return dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.PastDeadline, "no target was free before the deadline")}
}

// releaseLate reports a target that arrives after the deadline as unused, so that its permit is released.
func (service *Service) releaseLate(reply <-chan dispatch.Choice) {
	select {
	case choice := <-reply:
		if choice.Refusal == nil {
			service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Report{Serial: choice.Serial, Stage: coltsfootlink.Ended, Result: coltsfootlink.Unused}})
		}
	case <-time.After(lateChoiceTimeout):
	}
}

// attempt sends the request to a target and forwards the answer; it returns nil if the caller has received one.
func (current *exchange) attempt(ctx context.Context, choice dispatch.Choice) *coltsfootlink.Refusal {
	sentAt := current.service.Clock.Now()
	current.target = choice.Target.Name
	current.expectedMillis = choice.ExpectedMillis
	current.reportTrial(choice, sentAt)
	answer, err := current.service.Client.Call(ctx, current.head.ID, platform.TargetRequest{
		Incoming:  current.incoming,
		Target:    choice.Target,
		Team:      current.team,
		Deadline:  current.deadline,
		Body:      current.body,
		LastEvent: current.lastEventID,
	}, current.rule.Repeatable())
	var failure *coltsfootlink.Refusal
	result := coltsfootlink.Succeeded
	progress := &answerProgress{pace: func(bytes int) error { return current.pace(ctx, bytes) }}
	switch {
	case err != nil:
		failure, result, progress.begun = current.callFailure(err)
		progress.received = hasReceived(err)
	default:
		current.attempts++
		current.reportNotice(choice.Target, answer.Head)
		progress.ReadCloser, progress.begun, progress.headAt, progress.framed = answer.Body, true, current.service.Clock.Now(), answer.Framed()
		if answer.Response.StatusCode == http.StatusOK {
			progress.answered = current.reportAnswered
		}
		answer.Body = progress
		failure, result = current.forward(choice, answer, sentAt)
		// Closing has no effect after a complete answer; before that, it tells the target that the request was
		// abandoned.
		_ = answer.Body.Close()
	}
	if result == coltsfootlink.Crashed {
		current.logBreak(choice, progress, sentAt)
		current.reportCrash(ctx, choice, progress, sentAt)
	}
	current.report(choice, coltsfootlink.Ended, result, sentAt)
	return failure
}

// pace waits until the instance may pass on more bytes of long answers. An answer that cannot come to its end before the
// deadline is too long.
func (current *exchange) pace(ctx context.Context, bytes int) error {
	if err := current.service.LongAnswers.WaitN(ctx, bytes); err != nil {
		metrics.Count("long-answers-cut")
		return errors.Mark(err, errAnswerTooLong)
	}
	return nil
}

// reportNotice passes on what a target announced about itself in the head of its answer.
func (current *exchange) reportNotice(target coltsfootlink.Target, head platform.AnswerHead) {
	if !head.Leaving && head.RetryAt.IsZero() {
		return
	}
	current.service.Dispatch.Put(coltsfootlink.Delivery{Message: coltsfootlink.TargetNotice{
		Target: target.Name, Incarnation: target.Incarnation, Leaving: head.Leaving, RetryAt: head.RetryAt,
	}})
}

func (current *exchange) report(choice dispatch.Choice, stage coltsfootlink.ProgressStage, result coltsfootlink.Result, sentAt time.Time) {
	current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Report{
		Serial: choice.Serial,
		Stage:  stage,
		Result: result,
		Millis: int(current.service.Clock.Now().Sub(sentAt).Milliseconds()),
	}})
}

// callFailure classifies a call that returned no answer; begun reports whether a part of its head was received.
func (current *exchange) callFailure(err error) (refusal *coltsfootlink.Refusal, result coltsfootlink.Result, begun bool) {
	var call *coltsfootlink.CallError
	if !errors.As(err, &call) {
		call = &coltsfootlink.CallError{Sent: true, Result: coltsfootlink.Failed, Reason: coltsfootlink.TargetFailed, Cause: err}
	}
	if call.Reason == coltsfootlink.CallerGone {
		return coltsfootlink.Refuse(call.Reason, call.Cause.Error()), call.Result, call.Begun
	}
	if !call.Sent {
		current.unsent++
		return coltsfootlink.Refuse(coltsfootlink.TargetDown, call.Cause.Error()), call.Result, call.Begun
	}
	current.attempts++
	current.mayHaveRun = true
	return coltsfootlink.Refuse(call.Reason, call.Cause.Error()).WithOutcome(coltsfootlink.MayHaveRun), call.Result, call.Begun
}

// hasReceived reports whether the target had received the whole request when a call failed.
func hasReceived(err error) bool {
	var call *coltsfootlink.CallError
	return errors.As(err, &call) && call.Received
}

// forward sends the target's answer to the caller, or returns why it is not a valid answer.
func (current *exchange) forward(choice dispatch.Choice, answer upstream.Answer, sentAt time.Time) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	status := answer.Response.StatusCode
	switch {
	case answer.Head.Misdirected:
		return coltsfootlink.Refuse(coltsfootlink.TargetDown, "another target answers at the address"), coltsfootlink.Refused
	case answer.Head.NotRun:
		return coltsfootlink.Refuse(coltsfootlink.TargetFull, "the target reports that it has not run the request"), coltsfootlink.Failed
	}
	current.mayHaveRun = true
	failed := coltsfootlink.Refuse(coltsfootlink.TargetFailed, answer.Response.Status).WithOutcome(coltsfootlink.MayHaveRun)
	canRepeat := current.rule.Repeatable() && current.attempts < current.rule.MaxAttempts
	switch {
	case answer.Head.Encoded, !answer.Head.Stamped:
		return failed, coltsfootlink.Failed
	case status >= http.StatusInternalServerError && canRepeat, current.started && !current.continuesStream(answer):
		// Another answer cannot continue a stream that has begun; the caller would take it for the end of the stream.
		return failed, coltsfootlink.Failed
	case current.rule.Kind == coltsfootlink.StreamRequest && status == http.StatusOK:
		return current.forwardStream(choice, answer, sentAt)
	default:
		return current.forwardBuffered(choice, answer)
	}
}

// continuesStream reports whether an answer can continue a stream that has begun.
func (current *exchange) continuesStream(answer upstream.Answer) bool {
	return answer.Response.StatusCode == http.StatusOK && answer.Head.MediaType == current.mediaType
}

// bufferAnswer reads an answer up to the size of its buffer, and reports whether it is complete. Without memory for more, the
// buffer is a small one.
func (current *exchange) bufferAnswer(answer upstream.Answer) (buffered []byte, complete bool, reserved memory.Reservation, err error) {
	length := answer.Response.ContentLength
	buffer := new(bytes.Buffer)
	buffered, err = readAll(buffer, io.LimitReader(answer.Body, smallBytes), min(smallBytes, length))
	if err != nil || len(buffered) < smallBytes {
		return buffered, true, reserved, err
	}
	wanted := int64(bufferedAnswerBytes)
	if length >= 0 {
		wanted = min(wanted, length)
	}
	reserved, found := current.service.Memory.TryReserve(wanted)
	if !found {
		return buffered, false, reserved, nil
	}
	// The buffer grows once, so that it holds no more than was reserved.
	buffered, err = readAll(buffer, io.LimitReader(answer.Body, bufferedAnswerBytes-smallBytes), wanted-smallBytes)
	return buffered, len(buffered) < bufferedAnswerBytes, reserved, err
}

// checkEnd returns an error if the answer ended with its connection, and another process has registered as its target since.
func (current *exchange) checkEnd(choice dispatch.Choice, answer upstream.Answer) error {
	hasBody := current.incoming.Method != http.MethodHead
	registered, found := current.service.Gate.Catalog().Targets[choice.Target.Name]
	if hasBody && !answer.Framed() && found && registered.Incarnation != choice.Target.Incarnation {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// forwardBuffered forwards an answer once it is complete, or streams it if it exceeds the buffer.
func (current *exchange) forwardBuffered(choice dispatch.Choice, answer upstream.Answer) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	length := answer.Response.ContentLength
	buffered, complete, reserved, err := current.bufferAnswer(answer)
	defer reserved.Release()
	if err == nil && complete {
		err = current.checkEnd(choice, answer)
	}
	switch {
	case current.incoming.Method == http.MethodHead:
		// An answer to HEAD keeps the length of the body that it leaves out.
	case length > maxAnswerBytes:
		err = errAnswerTooLong
	case complete:
		length = int64(len(buffered))
	}
	if err != nil {
		return current.interruption(err)
	}
	current.startAnswer(answer)
	if length >= 0 {
		platform.SetContentLength(current.writer.Header(), length)
	}
	current.writer.WriteHeader(answer.Response.StatusCode)
	if complete {
		// A write error means that the caller has disconnected.
		_, _ = current.writer.Write(buffered)
	} else if err := current.copyRest(buffered, answer.Body); err != nil {
		return current.interruption(err)
	} else if err := current.checkEnd(choice, answer); err != nil {
		return current.interruption(err)
	}
	result := coltsfootlink.Succeeded
	if answer.Response.StatusCode >= http.StatusInternalServerError {
		result = coltsfootlink.Failed
	}
	current.logOutcome("answered", answer.Response.StatusCode, "")
	return nil, result
}

// copyRest forwards an answer that is longer than its buffer.
func (current *exchange) copyRest(buffered []byte, rest io.Reader) error {
	if err := writeNow(current.writer, buffered); err != nil {
		return err
	}
	buffer := longAnswerBuffers.Get().(*[longAnswerBufferBytes]byte)
	defer longAnswerBuffers.Put(buffer)
	return copyBytes(current.writer, rest, buffer[:], maxAnswerBytes-int64(len(buffered)))
}

// startAnswer records that the answer has begun and copies the target's headers.
func (current *exchange) startAnswer(answer upstream.Answer) {
	current.started = true
	current.mediaType = answer.Head.MediaType
	current.firstAt = current.service.Clock.Now()
	platform.CopyAnswerHeader(current.writer.Header(), answer.Response.Header)
}

// interruption classifies the error that kept an answer from being forwarded completely.
func (current *exchange) interruption(err error) (*coltsfootlink.Refusal, coltsfootlink.Result) {
	reason, result := coltsfootlink.AnswerCut, coltsfootlink.Crashed
	switch {
	case current.incoming.Context().Err() != nil, errors.Is(err, errCallerWrite):
		reason, result = coltsfootlink.CallerGone, coltsfootlink.Cancelled
	case errors.Is(err, errAnswerTooLong):
		reason, result = coltsfootlink.AnswerTooLong, coltsfootlink.Failed
	}
	return coltsfootlink.Refuse(reason, err.Error()).WithOutcome(coltsfootlink.MayHaveRun), result
}
