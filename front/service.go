package front

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"coltsfootlink"
	"coltsfootlink/gen/callers"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
)

// notReadyRetryDelay is the delay before a retry that callers are advised of if the instance is not ready or the log
// service does not confirm a claim.
const notReadyRetryDelay = time.Second

// Service implements the callers service of the design.
type Service struct {
	Gate   *Gate
	Engine coltsfootlink.Engine
	Clock  coltsfootlink.Clock
	// RequestTimeout is the time limit of requests without a deadline from the caller.
	RequestTimeout time.Duration
	// Entry is the mailbox of the entry task, which grants permits.
	Entry *mailbox.Deliveries
	// Claims is the mailbox of the claim task, which claims the idempotency keys of requests that must not be repeated.
	Claims *mailbox.Deliveries
}

// Call runs one request and returns the result with the answer's body, which is streamed.
func (service *Service) Call(ctx context.Context, payload *callers.CallPayload, body io.ReadCloser) (*callers.CallResult, io.ReadCloser, error) {
	defer func() { _ = body.Close() }()
	id := coltsfootlink.RequestID(uuid.NewString())
	request, pool, refusal := service.request(id, payload, body)
	if refusal != nil {
		return nil, nil, service.refused(id, refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	call := &call{service: service, request: request, pool: pool, arrived: service.Clock.Now(), cancel: cancel}
	answer, refusal := call.run(ctx)
	if refusal != nil {
		cancel()
		return nil, nil, service.refused(id, refusal)
	}
	setStatus(ctx, answer.Status)
	result := &callers.CallResult{
		Outcome:     string(coltsfootlink.Ran),
		RequestID:   string(id),
		ContentType: answer.ContentType,
	}
	return result, &stream{call: call, answer: answer}, nil
}

// Ready reports to the load balancer whether to send new requests.
func (service *Service) Ready(context.Context) (string, error) {
	if service.Gate.Ready() {
		return "ready", nil
	}
	return "", service.refused("", coltsfootlink.Refuse(coltsfootlink.NotReady, "the instance takes no new requests"))
}

// refused counts a refusal in the metrics and returns it as an error of the design.
func (service *Service) refused(id coltsfootlink.RequestID, refusal *coltsfootlink.Refusal) error {
	metrics.CountOutcome(string(refusal.Outcome))
	metrics.CountRefusal(string(refusal.Reason))
	answer := &callers.Refused{
		Name:      errorName(refusal.Reason),
		Outcome:   string(refusal.Outcome),
		Reason:    string(refusal.Reason),
		Detail:    refusal.Detail,
		RequestID: string(id),
	}
	if !refusal.RetryAt.IsZero() {
		seconds := max(1, int(refusal.RetryAt.Sub(service.Clock.Now()).Round(time.Second)/time.Second))
		answer.RetryAfter = &seconds
	}
	return answer
}

// errorNames maps reasons to the names of the design's errors, which stand for HTTP statuses; all other reasons are
// "unavailable".
var errorNames = map[coltsfootlink.Reason]string{
	coltsfootlink.UnknownTeam:      "unauthorized",
	coltsfootlink.UnknownPool:      "not-found",
	coltsfootlink.UnknownRoute:     "not-found",
	coltsfootlink.BodyTooLarge:     "too-large",
	coltsfootlink.BodyIncomplete:   "bad-request",
	coltsfootlink.BadDeadline:      "bad-request",
	coltsfootlink.BadHint:          "bad-request",
	coltsfootlink.MissingKey:       "bad-request",
	coltsfootlink.MalformedKey:     "bad-request",
	coltsfootlink.ExpiredKey:       "conflict",
	coltsfootlink.RepeatedKey:      "conflict",
	coltsfootlink.CrashingRequest:  "conflict",
	coltsfootlink.PastDeadline:     "deadline",
	coltsfootlink.QueueFull:        "too-many",
	coltsfootlink.NotReady:         "unavailable",
	coltsfootlink.InstanceStopping: "unavailable",
	coltsfootlink.LogUnavailable:   "unavailable",
	coltsfootlink.CallerGone:       "unavailable",
	coltsfootlink.TargetFailed:     "bad-gateway",
	coltsfootlink.AnswerCut:        "bad-gateway",
	coltsfootlink.AnswerCrossed:    "bad-gateway",
}

func errorName(reason coltsfootlink.Reason) string {
	if name, known := errorNames[reason]; known {
		return name
	}
	return "unavailable"
}
