package admission

import (
	"time"

	"coltsfootlink"
	"coltsfootlink/explain"
)

// inquired answers an operator's query. The table is empty if the arguments cannot be read.
func (task *Task) inquired(now time.Time, inquiry coltsfootlink.Inquiry) coltsfootlink.Table {
	if inquiry.Subject != coltsfootlink.ExplainTargetsSubject {
		return task.table(now)
	}
	arguments, err := explain.ParseArguments[explain.TargetInquiry](inquiry.Arguments)
	if err != nil {
		task.Log.Warn().Err(err).Msg("admission: query to explain a request cannot be read")
		return coltsfootlink.Table{}
	}
	table, err := explain.Table(task.explainTargets(now, arguments))
	if err != nil {
		task.Log.Warn().Err(err).Msg("admission: explanation of a request cannot be encoded")
	}
	return table
}

// explainTargets returns what the task would answer to a request for each of the targets. Nothing is recorded.
func (task *Task) explainTargets(now time.Time, inquiry explain.TargetInquiry) explain.Answers {
	var answers explain.Answers
	for _, target := range inquiry.Targets {
		ask := inquiry.Ask(now, target)
		answer := explain.Answer{Target: target, At: now}
		if ledger, owned := task.ledgers[target]; owned {
			answer = ledger.Explain(now, ask).answer(now, target)
			answer.Engine = ledger.traits.Engine
		}
		if refused := task.refusal(now, ask); refused.Reason != "" {
			answer.Reason, answer.RetryAt = refused.Reason, refused.RetryAt
			if takesNone(refused.Reason) && refused.Reason != coltsfootlink.TrialRunning {
				answer.State = string(refused.Reason)
			}
		}
		answers.Answers = append(answers.Answers, answer)
	}
	return answers
}

// answer returns the explanation in the form in which operators get it.
func (explanation Explanation) answer(now time.Time, target coltsfootlink.TargetName) explain.Answer {
	return explain.Answer{
		Target:         target,
		At:             now,
		Reason:         explanation.Verdict.Reason,
		RetryAt:        explanation.Verdict.RetryAt,
		State:          explanation.state(),
		Known:          true,
		Requests:       explanation.Requests,
		MaxRequests:    explanation.MaxRequests,
		Slots:          explanation.Slots,
		UsedTokens:     explanation.UsedTokens,
		MaxTokens:      explanation.MaxTokens,
		CachedTokens:   explanation.CachedTokens,
		Wait:           explanation.Wait,
		MaxWait:        explanation.MaxWait,
		ExpectedAnswer: explanation.Answer,
		Objective:      explanation.Objective,
		Slowdown:       explanation.Slowdown,
		Unanswered:     explanation.Unanswered,
		Window:         explanation.Window,
		Granted:        explanation.Granted,
		MaxGranted:     explanation.MaxGranted,
	}
}

// state returns what the target does: why it takes no requests, or what limits them.
func (explanation Explanation) state() string {
	switch {
	case explanation.BreakerOpen:
		return explain.BreakerOpen
	case explanation.Unresponsive:
		return explain.Unresponsive
	case explanation.Unavailable != "":
		return string(explanation.Unavailable)
	case explanation.Pace != "":
		return string(explanation.Pace)
	case explanation.Cold:
		return explain.Cold
	default:
		return explain.AtWork
	}
}
