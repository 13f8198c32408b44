package ingress

import (
	"context"
	"net/http"
	"time"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/quarantine"
)

// minEvents is the number of events after which a target has begun to answer and did not crash under the prompt.
const minEvents = 2

// quarantineTimeout is how long the quarantine task may take to reply.
const quarantineTimeout = 200 * time.Millisecond

// admittedByQuarantine reports whether the prompt is not held back because targets crash under it, and refuses the request
// otherwise. This is decided before anything is counted for the team or kept waiting.
func (current *exchange) admittedByQuarantine() bool {
	current.sharedParts = current.head.Work.SharedParts
	if len(current.sharedParts) == 0 {
		return true
	}
	view := current.service.Gate.Barred()
	if !view.Synced {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.NotReady, "it is not known yet which prompts crash targets").WithRetryAt(current.arrived.Add(otherInstanceRetryDelay)))
		return false
	}
	bar, found := view.Bar(current.pool, current.sharedParts)
	if found && bar.MayTry(current.arrived, current.sharedParts) {
		current.trial = bar.Key()
		return true
	}
	if found {
		current.refuse(http.StatusServiceUnavailable, current.barredBy(bar))
	}
	return !found
}

// barredPrompt returns the refusal of a request whose prompt is held back and that is no trial, or whose trial was put off by
// another one while it waited; nil otherwise.
func (current *exchange) barredPrompt() *coltsfootlink.Refusal {
	if len(current.sharedParts) == 0 {
		return nil
	}
	bar, found := current.service.Gate.Barred().Bar(current.pool, current.sharedParts)
	if !found || current.trial != 0 && bar.MayTry(current.service.Clock.Now(), current.sharedParts) {
		return nil
	}
	return current.barredBy(bar)
}

// barredBy returns the refusal of a request that a bar holds back.
func (current *exchange) barredBy(bar quarantine.Bar) *coltsfootlink.Refusal {
	retryAt := bar.TrialAt
	if !current.arrived.Before(retryAt) {
		retryAt = bar.AnyTrialAt
	}
	refusal := coltsfootlink.Refuse(coltsfootlink.PromptBarred, "targets crash under prompts with the same parts").WithRetryAt(retryAt)
	if current.mayHaveRun {
		return refusal.WithOutcome(coltsfootlink.MayHaveRun)
	}
	return refusal
}

// reportAnswered reports that a target has answered the prompt.
func (current *exchange) reportAnswered() {
	if len(current.sharedParts) > 0 {
		current.service.Quarantine.Put(coltsfootlink.Delivery{Message: quarantine.Answered{Pool: current.pool, Parts: current.sharedParts, At: current.service.Clock.Now()}})
	}
}

// reportCrash reports that the target crashed when it had just begun to answer, or was to. A connection that broke for another
// reason leaves the target reachable, and an answer that was well under way shows that its prompt is not the cause. Without a byte of
// the answer, the target must have received the request, and not be shutting down.
func (current *exchange) reportCrash(ctx context.Context, choice dispatch.Choice, progress *answerProgress, sentAt time.Time) {
	if len(current.sharedParts) == 0 || progress.events >= minEvents {
		return
	}
	if !progress.begun && (!progress.received || current.isLeaving(choice.Target)) {
		return
	}
	crashedAt := current.service.Clock.Now()
	if !current.service.Client.Unreachable(ctx, choice.Target) {
		current.service.Log.Warn().Str("request", string(current.head.ID)).Str("target", string(choice.Target.Name)).Bool("trial", current.trial != 0).
			Bool("context-ended", ctx.Err() != nil).Msg("ingress: connection to target broke, but the target is still reachable; not counted as a crash under the prompt")
		return
	}
	reply := make(chan bool, 1)
	current.service.Quarantine.Put(coltsfootlink.Delivery{Message: quarantine.Crashed{
		Crash: current.promptCrash(choice, sentAt, crashedAt).WithUnbegun(!progress.begun),
		Reply: reply,
	}})
	select {
	case mayRepeat := <-reply:
		current.noRepeat = !mayRepeat || current.trial != 0
	case <-time.After(quarantineTimeout):
	}
}

// isLeaving reports whether a target has announced its shutdown, or is no longer registered.
func (current *exchange) isLeaving(target coltsfootlink.Target) bool {
	registered, found := current.service.Gate.Catalog().Targets[target.Name]
	return !found || registered.Leaving
}

// reportTrial reports that the request is being sent as a trial, before a target can crash under it.
func (current *exchange) reportTrial(choice dispatch.Choice, sentAt time.Time) {
	if current.trial != 0 {
		current.service.Quarantine.Put(coltsfootlink.Delivery{Message: quarantine.TrialSent{Crash: current.promptCrash(choice, sentAt, sentAt)}})
	}
}

// promptCrash returns the crash of a target under the request.
func (current *exchange) promptCrash(choice dispatch.Choice, sentAt, crashedAt time.Time) coltsfootlink.PromptCrash {
	suspects := make([]coltsfootlink.Suspect, 0, len(current.sharedParts))
	for _, part := range current.sharedParts {
		suspects = append(suspects, coltsfootlink.Suspect{Part: part})
	}
	return coltsfootlink.PromptCrash{
		Pool: current.pool, Request: current.head.ID, Target: choice.Target.Name, Incarnation: choice.Target.Incarnation,
		Suspects: suspects, SentAt: sentAt, CrashedAt: crashedAt,
	}
}
