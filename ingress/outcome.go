package ingress

import (
	"context"
	"net/http"
	"time"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/platform"
)

// giveUp ends a request that no target answers.
func (current *exchange) giveUp(ctx context.Context, failure *coltsfootlink.Refusal) {
	left := failure.Reason == coltsfootlink.CallerGone || current.incoming.Context().Err() != nil
	if ctx.Err() != nil && !left {
		failure = coltsfootlink.Refuse(coltsfootlink.PastDeadline, failure.Detail).WithOutcome(failure.Outcome)
	}
	switch {
	case left:
		current.note("caller left", 0, failure.Error())
		abort()
	case current.started:
		current.note("cut", 0, failure.Error())
		metrics.Count("answers-cut")
		abort()
	case ctx.Err() != nil && current.mayHaveRun:
		current.refuse(http.StatusGatewayTimeout, failure.WithOutcome(coltsfootlink.MayHaveRun))
	case current.mayHaveRun:
		current.refuse(http.StatusBadGateway, failure.WithOutcome(coltsfootlink.MayHaveRun))
	default:
		current.refuse(http.StatusServiceUnavailable, failure)
	}
}

// abort closes the connection, for the library would end the answer as a whole one: a caller that has closed only its
// own direction would take it.
func abort() { panic(http.ErrAbortHandler) }

// refuse answers for the system itself.
func (current *exchange) refuse(status int, refusal *coltsfootlink.Refusal) {
	current.skipBody()
	header := current.writer.Header()
	platform.EchoRequest(header, current.head.ID)
	if status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(header, current.retryAfter(refusal))
	}
	current.writer.WriteHeader(status)
	metrics.CountRefusal(string(refusal.Reason))
	current.note("refused", status, refusal.Error())
}

// retryAfter is how long the caller should stay away.
func (current *exchange) retryAfter(refusal *coltsfootlink.Refusal) time.Duration {
	if refusal.RetryAt.IsZero() {
		return unknownPause / 2
	}
	return max(0, refusal.RetryAt.Sub(current.service.Clock.Now()))
}

// note logs how a request ended and what decided it.
func (current *exchange) note(end string, status int, why string) {
	now := current.service.Clock.Now()
	line := current.service.Log.Info().Str("request", string(current.head.ID)).Str("rule", current.rule.Name).
		Str("team", string(current.team)).Str("pool", string(current.pool)).Str("target", string(current.target)).
		Uint64("permit", current.permit).Str("owner", string(current.owner)).Int("attempts", current.attempts).Int("status", status).Int64("ms", now.Sub(current.arrived).Milliseconds())
	if !current.firstAt.IsZero() {
		first := current.firstAt.Sub(current.arrived)
		line = line.Int("expected-ms", current.expectedMillis).Int64("first-ms", first.Milliseconds()).Bool("late", first > current.rule.Objective)
		metrics.ObserveLatency(string(current.rule.Kind), first)
	}
	if why != "" {
		line = line.Str("why", why)
	}
	line.Msg("ingress: " + end)
	metrics.CountOutcome(end)
}
